package statefile

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var form = Format{Name: "sandpass-test", Version: 3, Suffix: ".test", Description: "a test"}

func TestABodyComesBack(t *testing.T) {
	dir := t.TempDir()
	path := form.Path(dir, "a/b")
	if body, err := form.Read(path); body != nil || err != nil {
		t.Errorf("%q, %v of no file", body, err)
	}
	for _, body := range []string{"", "x", strings.Repeat("line\n", 1000)} {
		if err := Write(path, form.Encode([]byte(body))); err != nil {
			t.Fatal(err)
		}
		if got, err := form.Read(path); err != nil || string(got) != body {
			t.Errorf("%d bytes of %d, %v", len(got), len(body), err)
		}
	}
	if all, _ := os.ReadDir(dir); len(all) != 1 {
		t.Errorf("%d files", len(all))
	}
	if err := os.Truncate(path, sizeMost+1); err != nil {
		t.Fatal(err)
	}
	if _, err := form.Read(path); err == nil || !strings.Contains(err.Error(), "no regular file of at most") {
		t.Errorf("%v of a huge file", err)
	}
}

func TestAReplacementIsMadeWhereItIsAllowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x")
	for _, allowed := range []bool{true, false} {
		text := []byte("first")
		if !allowed {
			text = []byte("second")
		}
		written, err := ReplaceIf(path, text, func() bool { return allowed })
		if err != nil || written != allowed {
			t.Errorf("%t, %v where %t is allowed", written, err, allowed)
		}
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "first" {
		t.Errorf("%q, %v", text, err)
	}
	if all, _ := os.ReadDir(filepath.Dir(path)); len(all) != 1 {
		t.Errorf("%d files are left", len(all))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(form.Encode([]byte("body")))
	f.Add([]byte("sandpass-test 3 0 0\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := form.Decode(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("more than a line: %q", err)
			}
			return
		}
		if again, err := form.Decode(form.Encode(body)); err != nil || !bytes.Equal(again, body) {
			t.Errorf("%q, %v", again, err)
		}
	})
}
