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

func TestSaveAndLoad(t *testing.T) {
	file := configFile{t.TempDir(), identity}
	if c, err := file.load(); err != nil || c.Revision != 0 {
		t.Errorf("%+v, %v before anything was saved", c, err)
	}
	if err := file.save(testConfiguration(t)); err != nil {
		t.Fatal(err)
	}
	if c, err := file.load(); err != nil || !reflect.DeepEqual(c, testConfiguration(t)) {
		t.Errorf("%+v, %v", c, err)
	}
	other := file
	other.identity.Fleet = "mill"
	var mismatch *statefile.FleetMismatchError
	if _, err := other.load(); !errors.As(err, &mismatch) {
		t.Errorf("a folder of another fleet: %v", err)
	}
	if all, _ := os.ReadDir(file.folder); len(all) != 1 {
		t.Errorf("%d files are left", len(all))
	}
}

// Two processes of one proxy save at the same time: the newest configuration stays.
func TestConcurrentSavesKeepTheNewest(t *testing.T) {
	file := configFile{t.TempDir(), identity}
	var all sync.WaitGroup
	for process := range 2 {
		all.Go(func() {
			for i := range 50 {
				c := testConfiguration(t)
				if c.Revision = revision.Number(3 + i); process == 1 {
					c.Revision = revision.Number(60 - i)
				}
				if err := file.save(c); err != nil {
					t.Error(err)
				}
				if got, err := file.load(); err != nil || got.Revision < c.Revision {
					t.Errorf("revision %d on disk after %d was saved: %v", got.Revision, c.Revision, err)
				}
			}
		})
	}
	all.Wait()
	if c, err := file.load(); err != nil || c.Revision != 60 {
		t.Errorf("%d, %v", c.Revision, err)
	}
}

func TestErrorsOfDamagedFiles(t *testing.T) {
	file := configFile{t.TempDir(), identity}
	if err := file.save(testConfiguration(t)); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(file.path())
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{
		"truncated: ":           good[:len(good)-3],
		"not that of a saved":   []byte("sandpass-state 1 0 0\n"),
		"version 2":             []byte(strings.Replace(string(good), "config 1", "config 2", 1)),
		"checksum mismatch":     []byte(strings.Replace(string(good), `"a":1`, `"a":7`, 1)),
		`scope "rack:1"`:        fileFormat.Encode([]byte(`{"fleet":"shop","held":[{"scope":"rack:1"}]}`)),
		"held[0] fleet: line 1": fileFormat.Encode([]byte(`{"fleet":"shop","held":[{"scope":"fleet","document":[1]}]}`)),
		"held[0] fleet: a is null": fileFormat.Encode([]byte(
			`{"fleet":"shop","held":[{"scope":"fleet","document":{"a":null}}]}`)),
	} {
		if err := os.WriteFile(file.path(), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := file.load(); err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") ||
			!strings.HasPrefix(err.Error(), file.path()) {
			t.Errorf("%s: %v", name, err)
		}
		if err := file.save(testConfiguration(t)); err != nil {
			t.Errorf("%s: the damaged file was not replaced: %v", name, err)
		}
	}
	if err := (configFile{file.folder + "/none", identity}).save(testConfiguration(t)); err == nil ||
		!strings.Contains(err.Error(), "no such file") {
		t.Errorf("save without a folder: %v", err)
	}
}

func FuzzSavedFile(f *testing.F) {
	f.Add([]byte(`{"fleet":"shop","name":"p1","revision":3,"held":[{"scope":"fleet","number":1,"document":{"a":1}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		file := configFile{"x", identity}
		c, err := file.decode(body)
		if err == nil && revision.Checksum(c.Effective) != c.Checksum {
			t.Errorf("%+v", c)
		}
	})
}
