package configwatch

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"

	"sandpass/internal/revision"
	"sandpass/internal/statefile"
)

func TestWhatIsSavedIsReadAgain(t *testing.T) {
	at := file{t.TempDir(), identity}
	if c, err := at.load(); err != nil || c.Revision != 0 {
		t.Errorf("%+v, %v before anything was saved", c, err)
	}
	if err := at.save(holds(t)); err != nil {
		t.Fatal(err)
	}
	if c, err := at.load(); err != nil || !reflect.DeepEqual(c, holds(t)) {
		t.Errorf("%+v, %v", c, err)
	}
	other := at
	other.identity.Fleet = "mill"
	var foreign *statefile.FleetMismatchError
	if _, err := other.load(); !errors.As(err, &foreign) {
		t.Errorf("a folder of another fleet: %v", err)
	}
	if all, _ := os.ReadDir(at.folder); len(all) != 1 {
		t.Errorf("%d files are left", len(all))
	}
}

// Two processes of one proxy write at once: the newest stays.
func TestNoProcessWritesOverANewerOne(t *testing.T) {
	at := file{t.TempDir(), identity}
	var all sync.WaitGroup
	for process := range 2 {
		all.Go(func() {
			for i := range 50 {
				c := holds(t)
				if c.Revision = revision.Number(3 + i); process == 1 {
					c.Revision = revision.Number(60 - i)
				}
				if err := at.save(c); err != nil {
					t.Error(err)
				}
				if got, err := at.load(); err != nil || got.Revision < c.Revision {
					t.Errorf("%d lies there after %d was saved: %v", got.Revision, c.Revision, err)
				}
			}
		})
	}
	all.Wait()
	if c, err := at.load(); err != nil || c.Revision != 60 {
		t.Errorf("%d, %v", c.Revision, err)
	}
}

func TestASavedFileThatIsSpoiltIsOneLine(t *testing.T) {
	at := file{t.TempDir(), identity}
	if err := at.save(holds(t)); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(at.path())
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{
		"torn":                  good[:len(good)-3],
		"not that of a saved":   []byte("sandpass-state 1 0 0\n"),
		"form 2":                []byte(strings.Replace(string(good), "config 1", "config 2", 1)),
		"checksum is wrong":     []byte(strings.Replace(string(good), `"a":1`, `"a":7`, 1)),
		`scope "rack:1"`:        form.Encode([]byte(`{"fleet":"shop","held":[{"scope":"rack:1"}]}`)),
		"held[0] fleet: line 1": form.Encode([]byte(`{"fleet":"shop","held":[{"scope":"fleet","document":[1]}]}`)),
		"held[0] fleet: a is null": form.Encode([]byte(
			`{"fleet":"shop","held":[{"scope":"fleet","document":{"a":null}}]}`)),
	} {
		if err := os.WriteFile(at.path(), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := at.load(); err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") ||
			!strings.HasPrefix(err.Error(), at.path()) {
			t.Errorf("%s: %v", name, err)
		}
		if err := at.save(holds(t)); err != nil {
			t.Errorf("%s: what can't be read is not replaced: %v", name, err)
		}
	}
	if err := (file{at.folder + "/none", identity}).save(holds(t)); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("saved without a folder: %v", err)
	}
}

func FuzzSavedFile(f *testing.F) {
	f.Add([]byte(`{"fleet":"shop","name":"p1","revision":3,"held":[{"scope":"fleet","number":1,"document":{"a":1}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		at := file{"x", identity}
		c, err := at.decode(body)
		if err == nil && revision.Checksum(c.Effective) != c.Checksum {
			t.Errorf("%+v", c)
		}
	})
}
