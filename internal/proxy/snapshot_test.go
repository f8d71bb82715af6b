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

// persistentConfig is a configuration whose proxy saves snapshots to a folder.
func persistentConfig(dir, known string) *Config {
	cfg := testConfig(known, nil, settingsText)
	cfg.State.Folder, cfg.State.Fleet, cfg.State.SaveInterval = dir, "shop", 0.1
	return cfg
}

// startPersistent creates and runs a proxy.
func startPersistent(t *testing.T, cfg *Config) *testProxy {
	t.Helper()
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return runProxy(t, p)
}

// The operators' requests, the list and the learned values must survive a kill: the next process restores them
// although discovery is silent and its configuration lists no backends.
func TestSnapshotSurvivesKill(t *testing.T) {
	t.Parallel()
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	dir := t.TempDir()
	r := startPersistent(t, persistentConfig(dir, endpointList(7, true, readyEndpoint("s-a", a), readyEndpoint("s-b", b))))
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
	path := filepath.Join(dir, "n0.state")
	var saved *snapshot.State
	for range 400 { // until it is written
		if saved, _ = snapshot.Load(dir, "shop", "n0"); saved != nil && strings.Contains(string(saved.Maintenance), "s-a") {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if saved == nil {
		t.Fatal("no snapshot was written")
	}
	file, err := os.ReadFile(path) // as a kill would leave it, without a planned end
	if err != nil {
		t.Fatal(err)
	}
	r.requestShutdown()
	<-r.runResult
	r.runResult <- nil
	os.WriteFile(path, file, 0o600)

	before := a.commands.Load()
	s := startPersistent(t, persistentConfig(dir, ""))
	s.onLoop(func() {
		if m := s.balancer.Snapshot(); usual == 0 || m.TypicalLatency < 0.5*usual || m.Incarnation <= saved.Incarnation ||
			len(m.AllLatencies) == 0 {
			t.Errorf("usual %.4f, %.4f before; incarnation %d, %d before; %d bytes of latencies", m.TypicalLatency, usual,
				m.Incarnation, saved.Incarnation, len(m.AllLatencies))
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
		t.Errorf("%d commands to a backend that was cordoned before the kill", n)
	}
	var phase recovery.Phase
	for range 1200 { // some seconds: recovery is complete after two seconds at the usual rates
		if s.onLoop(func() { phase = s.snapshot.recovery.Phase() }); phase == recovery.Full {
			break
		}
		d.roundTrip(requestText("look"))
		time.Sleep(5 * time.Millisecond)
	}
	if phase != recovery.Full {
		t.Errorf("recovery phase %v", phase)
	}
	s.onLoop(func() {
		if text := s.status(); !strings.Contains(text, `"phase":"full"`) || !strings.Contains(text, `"state_kept":true`) {
			t.Error(text)
		}
	})
}

func TestInvalidSnapshotDoesNotFailStart(t *testing.T) {
	t.Parallel()
	b := newFakeBackend(t, echo)
	valid, err := snapshot.Encode(&snapshot.State{Fleet: "shop", Name: "n0", SavedUnix: 1, Incarnation: 5, TypicalLatency: 0.1,
		Drained: true, BackendWeights: map[string]float64{"s-b": 1e9}})
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{"truncated": valid[:len(valid)-9], "garbage": []byte("\x00\x01"), "empty": nil,
		"a newer version": []byte(strings.Replace(string(valid), "state 1", "state 9", 1))} {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, "n0.state"), content, 0o600)
		r := startPersistent(t, persistentConfig(dir, endpointList(1, true, readyEndpoint("s-b", b))))
		time.Sleep(550 * time.Millisecond)
		if status, body, _ := r.dial(t).roundTrip(requestText("look")); status != 200 {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "n0.state"), valid, 0o600)
	cfg := persistentConfig(dir, "")
	cfg.State.Fleet = "mill"
	var foreign *snapshot.FleetMismatchError
	if _, err := New(cfg); !errors.As(err, &foreign) {
		t.Errorf("the folder of another fleet: %v", err)
	}
	// Saved in 1970: the learned values are too old, the operators' requests are not.
	cfg = persistentConfig(dir, endpointList(1, true, readyEndpoint("s-b", b)))
	r := startPersistent(t, cfg)
	r.onLoop(func() {
		if m := r.balancer.Snapshot(); m.TypicalLatency != 0 || m.Incarnation <= 5 || !r.drain.active {
			t.Errorf("usual %v, incarnation %d, drained %t", m.TypicalLatency, m.Incarnation, r.drain.active)
		}
	})
}

// A new version must not write a snapshot before the handover: its state is old and would revert operations that were
// confirmed meanwhile.
func TestNoSnapshotBeforeHandover(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	p := newUnstartedProxy(t, persistentConfig(dir, ""))
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
