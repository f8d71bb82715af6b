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

func testState() *State {
	return &State{Fleet: "shop", Name: "n/1", SavedUnix: 1.5e9, Incarnation: 1 << 60, Endpoints: []byte(`{"index":3}`),
		TypicalLatency: 0.05, ArrivalRate: 20, AllLatencies: []byte{1, 2, 3}, VerbLatencies: map[string][]byte{"look": {9}},
		BackendWeights: map[string]float64{"b-1": 0.4}, Drained: true}
}

func buildTestState() (*State, error) { return testState(), nil }

func TestPutAndLoad(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, "n/1", func(err error) { t.Error(err) })
	for i := range 50 {
		s := testState()
		s.ArrivalRate = float64(i)
		w.Put(func() (*State, error) { return s, nil }, nil)
	}
	w.Close()
	s, err := Load(dir, "shop", "n/1")
	want := testState()
	if want.ArrivalRate = 49; err != nil || !reflect.DeepEqual(s, want) {
		t.Errorf("%+v %v", s, err)
	}
	if all, _ := os.ReadDir(dir); len(all) != 1 {
		t.Errorf("%d files are left", len(all))
	}
	if s, err := Load(dir, "shop", "n/2"); s != nil || err != nil {
		t.Errorf("snapshot of another process: %v %v", s, err)
	}
	var mismatch *FleetMismatchError
	if _, err := Load(dir, "mill", "n/1"); !errors.As(err, &mismatch) || !strings.Contains(err.Error(), `"shop", not of "mill"`) {
		t.Errorf("a folder of another fleet: %v", err)
	}
}

func TestErrorsOfDamagedFiles(t *testing.T) {
	good, err := Encode(testState())
	if err != nil {
		t.Fatal(err)
	}
	head, body, _ := bytes.Cut(good, []byte("\n"))
	for name, text := range map[string][]byte{
		"no header line": nil, "truncated: ": good[:len(good)-1],
		"checksum": append(append(bytes.Clone(head), '\n'),
			bytes.Replace(body, []byte("shop"), []byte("shoq"), 1)...),
		"version 2":              bytes.Replace(good, []byte("state 1"), []byte("state 2"), 1),
		"not that of a snapshot": append([]byte("hello 1\n"), body...),
		"header is truncated":    []byte("sandpass-state 1 00\n"),
	} {
		if _, err := Decode(text); err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	dir := t.TempDir()
	os.Mkdir(filepath.Join(dir, "x.state"), 0o700)
	if _, err := Load(dir, "shop", "x"); err == nil {
		t.Error("a folder is accepted as a snapshot file")
	}
}

// A full disk must be reported once, and its recovery once, and Put must not block meanwhile.
func TestDiskErrorsAreReportedOnce(t *testing.T) {
	var reported []string
	fails := errors.New("no space left on device")
	w := &Writer{path: "x", wake: make(chan struct{}, 1),
		onStatus: func(err error) { reported = append(reported, fmt.Sprint(err)) }}
	block := make(chan bool)
	n := 0
	w.writeFile = func(string, []byte) error {
		n++
		<-block
		if n < 3 {
			return fails
		}
		return nil
	}
	w.done.Go(w.run)
	for range 1000 { // no write has ended yet
		w.Put(buildTestState, nil)
	}
	for range 3 {
		block <- true
		w.Put(buildTestState, nil)
	}
	close(block)
	w.Close()
	if len(reported) != 2 || reported[0] != fails.Error() || reported[1] != "<nil>" {
		t.Errorf("%q after %d writes", reported, n)
	}
	real := NewWriter(filepath.Join(t.TempDir(), "not", "there"), "n",
		func(err error) { reported = append(reported, fmt.Sprint(err)) })
	real.Put(buildTestState, nil)
	real.Put(buildTestState, nil)
	if real.Close(); len(reported) != 3 || !strings.Contains(reported[2], "no such file") {
		t.Errorf("%q", reported)
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := Encode(testState())
	f.Add(good)
	f.Add([]byte("sandpass-state 1 0 0\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Decode(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("multi-line error: %q", err)
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
