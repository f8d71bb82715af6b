package proxy

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandpass/internal/recovery"
	"sandpass/internal/snapshot"
)

// keeping is a configuration whose proxy keeps what it knows in a folder.
func keeping(dir, known string) *Config {
	l := testConfig(known, nil, settingsText)
	l.State.Folder, l.State.Fleet, l.State.SaveInterval = dir, "shop", 0.1
	return l
}

func startKeeping(t *testing.T, l *Config) *testProxy {
	t.Helper()
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p)
}

// What operators said, the list and what was learned hold over a kill: the next process has them though discovery is
// silent and its configuration names nobody.
func TestWhatIsKnownOutlivesTheProcess(t *testing.T) {
	t.Parallel()
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	dir := t.TempDir()
	r := startKeeping(t, keeping(dir, endpointList(7, true, readyEndpoint("s-a", a), readyEndpoint("s-b", b))))
	time.Sleep(600 * time.Millisecond)
	c := r.dial(t)
	for range 60 {
		if status, body, _ := c.roundTrip(requestText("look")); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
	}
	r.onLoop(func() { r.cordon("s-a"); r.saveSnapshot(nil) })
	usual := 0.0
	r.onLoop(func() { usual = r.balancer.Snapshot().TypicalLatency })
	at := filepath.Join(dir, "n0.state")
	var kept *snapshot.State
	for range 400 { // until it is written
		if kept, _ = snapshot.Load(dir, "shop", "n0"); kept != nil && strings.Contains(string(kept.Maintenance), "s-a") {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if kept == nil {
		t.Fatal("nothing is kept")
	}
	file, err := os.ReadFile(at) // as a kill would leave it, not a planned end
	if err != nil {
		t.Fatal(err)
	}
	r.requestShutdown()
	<-r.runResult
	r.runResult <- nil
	os.WriteFile(at, file, 0o600)

	before := a.commands.Load()
	s := startKeeping(t, keeping(dir, ""))
	s.onLoop(func() {
		if m := s.balancer.Snapshot(); usual == 0 || m.TypicalLatency < 0.5*usual || m.Incarnation <= kept.Incarnation || len(m.AllLatencies) == 0 {
			t.Errorf("usual %.4f, %.4f before; life %d, %d before; %d bytes of latencies", m.TypicalLatency, usual, m.Incarnation, kept.Incarnation, len(m.AllLatencies))
		}
	})
	time.Sleep(600 * time.Millisecond)
	d := s.dial(t)
	for range 20 {
		if status, body, _ := d.roundTrip(requestText("look")); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
	}
	if n := a.commands.Load() - before; n > 0 {
		t.Errorf("%d commands to a backend that operators had left out before the kill", n)
	}
	var phase recovery.Phase
	for range 1200 { // some seconds: it is of full use once two of them went as usual
		if s.onLoop(func() { phase = s.snapshot.recovery.Phase() }); phase == recovery.Full {
			break
		}
		d.roundTrip(requestText("look"))
		time.Sleep(5 * time.Millisecond)
	}
	if phase != recovery.Full {
		t.Errorf("%v", phase)
	}
	s.onLoop(func() {
		if text := s.status(); !strings.Contains(text, `"phase":"full"`) || !strings.Contains(text, `"state_kept":true`) {
			t.Error(text)
		}
	})
}

func TestAStateThatIsNoGoodCostsNoStart(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	good, err := snapshot.Encode(&snapshot.State{Fleet: "shop", Name: "n0", SavedUnix: 1, Incarnation: 5, TypicalLatency: 0.1, Drained: true, BackendWeights: map[string]float64{"s-b": 1e9}})
	if err != nil {
		t.Fatal(err)
	}
	for name, bytes := range map[string][]byte{"torn": good[:len(good)-9], "garbage": []byte("\x00\x01"), "empty": nil,
		"a newer form": []byte(strings.Replace(string(good), "state 1", "state 9", 1))} {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, "n0.state"), bytes, 0o600)
		r := startKeeping(t, keeping(dir, endpointList(1, true, readyEndpoint("s-b", b))))
		time.Sleep(550 * time.Millisecond)
		if status, body, _ := r.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "n0.state"), good, 0o600)
	l := keeping(dir, "")
	l.State.Fleet = "mill"
	var foreign *snapshot.FleetMismatchError
	if _, err := New(l); !errors.As(err, &foreign) {
		t.Errorf("the folder of another fleet: %v", err)
	}
	l = keeping(dir, endpointList(1, true, readyEndpoint("s-b", b))) // of 1970: what was learned is too old, what operators said is not
	r := startKeeping(t, l)
	r.onLoop(func() {
		if m := r.balancer.Snapshot(); m.TypicalLatency != 0 || m.Incarnation <= 5 || !r.drain.active {
			t.Errorf("usual %v, life %d, drained %t", m.TypicalLatency, m.Incarnation, r.drain.active)
		}
	})
}

// A new version that the running one has not handed over to yet has an old snapshot: written, it would take back what operators
// were told yes to meanwhile.
func TestNothingIsWrittenBeforeTheHandover(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	p := newUnstartedProxy(t, keeping(dir, ""))
	p.startSnapshots()
	p.saveLastSnapshot()
	if files, err := os.ReadDir(dir); err != nil || len(files) > 0 {
		t.Errorf("%v, %v", files, err)
	}
	p.handover.done = true
	p.startSnapshots()
	p.saveLastSnapshot()
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("%v, %v", files, err)
	}
}
