package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func full() *State {
	return &State{Fleet: "shop", Name: "n/1", SavedUnix: 1.5e9, Incarnation: 1 << 60, Endpoints: []byte(`{"index":3}`), TypicalLatency: 0.05, ArrivalRate: 20,
		AllLatencies: []byte{1, 2, 3}, VerbLatencies: map[string][]byte{"look": {9}}, BackendWeights: map[string]float64{"b-1": 0.4}, Drained: true}
}

func again() (*State, error) { return full(), nil }

func TestWhatIsPutIsThereAfterwards(t *testing.T) {
	dir := t.TempDir()
	k := NewWriter(dir, "n/1", func(err error) { t.Error(err) })
	for i := range 50 {
		s := full()
		s.ArrivalRate = float64(i)
		k.Put(func() (*State, error) { return s, nil }, nil)
	}
	k.Close()
	s, err := Load(dir, "shop", "n/1")
	want := full()
	if want.ArrivalRate = 49; err != nil || !reflect.DeepEqual(s, want) {
		t.Errorf("%+v %v", s, err)
	}
	if all, _ := os.ReadDir(dir); len(all) != 1 {
		t.Errorf("%d files are left", len(all))
	}
	if s, err := Load(dir, "shop", "n/2"); s != nil || err != nil {
		t.Errorf("another process's: %v %v", s, err)
	}
	var foreign *FleetMismatchError
	if _, err := Load(dir, "mill", "n/1"); !errors.As(err, &foreign) || !strings.Contains(err.Error(), `"shop", not of "mill"`) {
		t.Errorf("a folder of another fleet: %v", err)
	}
}

func TestWhatIsWrongIsOneLine(t *testing.T) {
	good, err := Encode(full())
	if err != nil {
		t.Fatal(err)
	}
	head, body, _ := bytes.Cut(good, []byte("\n"))
	for name, text := range map[string][]byte{
		"no first line": nil, "torn: ": good[:len(good)-1], "checksum": append(append(bytes.Clone(head), '\n'), bytes.Replace(body, []byte("shop"), []byte("shoq"), 1)...),
		"form 2": bytes.Replace(good, []byte("state 1"), []byte("state 2"), 1), "not that of a snapshot": append([]byte("hello 1\n"), body...),
		"cut short": []byte("sandpass-state 1 00\n"),
	} {
		if _, err := Decode(text); err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	dir := t.TempDir()
	os.Mkdir(filepath.Join(dir, "x.state"), 0o700)
	if _, err := Load(dir, "shop", "x"); err == nil {
		t.Error("a folder in a snapshot's place is taken")
	}
}

// A disk that is full says so once, and once that it is well again; nobody waits for it.
func TestADiskThatFails(t *testing.T) {
	var said []string
	fails := errors.New("no space left on device")
	k := &Writer{at: "x", wake: make(chan struct{}, 1), said: func(err error) { said = append(said, fmt.Sprint(err)) }}
	stuck := make(chan bool)
	n := 0
	k.writing = func(string, []byte) error {
		n++
		<-stuck
		if n < 3 {
			return fails
		}
		return nil
	}
	k.done.Go(k.run)
	for range 1000 { // the disk takes none of them yet
		k.Put(again, nil)
	}
	for range 3 {
		stuck <- true
		k.Put(again, nil)
	}
	close(stuck)
	k.Close()
	if len(said) != 2 || said[0] != fails.Error() || said[1] != "<nil>" {
		t.Errorf("%q after %d writings", said, n)
	}
	real := NewWriter(filepath.Join(t.TempDir(), "not", "there"), "n", func(err error) { said = append(said, fmt.Sprint(err)) })
	real.Put(again, nil)
	real.Put(again, nil)
	if real.Close(); len(said) != 3 || !strings.Contains(said[2], "no such file") {
		t.Errorf("%q", said)
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := Encode(full())
	f.Add(good)
	f.Add([]byte("sandpass-state 1 0 0\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Decode(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("more than a line: %q", err)
			}
			return
		}
		if again, err := Encode(s); err != nil {
			t.Errorf("%v", err)
		} else if _, err := Decode(again); err != nil {
			t.Errorf("%v", err)
		}
	})
}
