package statefile

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var testFormat = Format{Name: "sandpass-test", Version: 3, Suffix: ".test", Description: "a test"}

func TestWriteAndRead(t *testing.T) {
	dir := t.TempDir()
	path := testFormat.Path(dir, "a/b")
	if body, err := testFormat.Read(path); body != nil || err != nil {
		t.Errorf("%q, %v without a file", body, err)
	}
	for _, body := range []string{"", "x", strings.Repeat("line\n", 1000)} {
		if err := Write(path, testFormat.Encode([]byte(body))); err != nil {
			t.Fatal(err)
		}
		if got, err := testFormat.Read(path); err != nil || string(got) != body {
			t.Errorf("%d bytes of %d, %v", len(got), len(body), err)
		}
	}
	if all, _ := os.ReadDir(dir); len(all) != 1 {
		t.Errorf("%d files", len(all))
	}
	if err := os.Truncate(path, maxFileBytes+1); err != nil {
		t.Fatal(err)
	}
	if _, err := testFormat.Read(path); err == nil || !strings.Contains(err.Error(), "not a regular file of at most") {
		t.Errorf("%v of a huge file", err)
	}
}

func TestReplaceIf(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x")
	for _, allowed := range []bool{true, false} {
		text := []byte("first")
		if !allowed {
			text = []byte("second")
		}
		written, err := ReplaceIf(path, text, func() bool { return allowed })
		if err != nil || written != allowed {
			t.Errorf("written %t, %v with allowed %t", written, err, allowed)
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
	f.Add(testFormat.Encode([]byte("body")))
	f.Add([]byte("sandpass-test 3 0 0\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := testFormat.Decode(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("multi-line error: %q", err)
			}
			return
		}
		if again, err := testFormat.Decode(testFormat.Encode(body)); err != nil || !bytes.Equal(again, body) {
			t.Errorf("%q, %v", again, err)
		}
	})
}
