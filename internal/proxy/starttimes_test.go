package proxy

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"sandpass/internal/loop"
	"sandpass/internal/snapshot"
)

// offClock shifts the wall clock by so many seconds for proxies that are created from now on.
func offClock(t *testing.T, seconds float64) {
	t.Helper()
	saved := loop.WallClock
	t.Cleanup(func() { loop.WallClock = saved })
	loop.WallClock = func() time.Time { return time.Now().Add(time.Duration(seconds * float64(time.Second))) }
}

// started is a list entry whose process started so many seconds ago by the true clock.
func started(name string, b *fakeBackend, ago float64) jsonObject {
	entry := readyEndpoint(name, b)
	entry["since_ms"] = time.Now().UnixMilli() - int64(1000*ago)
	return entry
}

// agesOf returns the seconds since each backend's effective start, by the proxy's own clock.
func agesOf(p *Proxy) map[string]float64 {
	ages := map[string]float64{}
	for name, t := range p.backends.byName {
		ages[name] = p.loop.Now() - p.maintenance.applyTo(name, t.listed).StartedAt
	}
	return ages
}

// newUnstartedProxy creates a proxy that is not run: the test's goroutine acts as its loop.
func newUnstartedProxy(t *testing.T, cfg *Config) *Proxy {
	t.Helper()
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.loop.Close)
	return p
}

// Starts and uncordon times must keep their real age in the next process, even if the wall clock was stepped in
// between. Not parallel: the clock is shared by all loops.
func TestAgesSurviveClockSteps(t *testing.T) {
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	known := endpointList(7, true, started("s-old", a, 7200), started("s-young", b, 3), readyEndpoint("s-uncordoned", a))
	for _, step := range []float64{0, 10, -10, 3600, -3600} {
		dir := t.TempDir()
		p := newUnstartedProxy(t, persistentConfig(dir, known))
		p.handover.done = true
		p.startSnapshots()
		before := agesOf(p)
		p.cordon("s-uncordoned")
		p.uncordon("s-uncordoned")
		p.saveLastSnapshot()
		offClock(t, step)
		after := agesOf(newUnstartedProxy(t, persistentConfig(dir, known)))
		if after["s-young"] < before["s-young"] || after["s-young"] > before["s-young"]+1 || after["s-uncordoned"] > 1 ||
			after["s-uncordoned"] < 0 || after["s-old"] < 3600 {
			t.Errorf("clock off by %.0f s: ages %v after %v", step, after, before)
		}
		offClock(t, 0)
	}
}

// Ages must also survive a handover between processes with different clocks, and the handover from a version that
// reports none.
func TestAgesSurviveHandoverWithClockSteps(t *testing.T) {
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	known := endpointList(7, true, started("s-old", a, 7200), started("s-young", b, 3), readyEndpoint("s-uncordoned", a))
	p := newUnstartedProxy(t, testConfig(known, nil, settingsText))
	p.cordon("s-uncordoned")
	p.uncordon("s-uncordoned")
	text, err := json.Marshal(p.handoverState())
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []float64{0, 10, -10, 3600, -3600} {
		offClock(t, step)
		state, withoutAges := handoverMessage{}, handoverMessage{}
		if json.Unmarshal(text, &state) != nil || json.Unmarshal(text, &withoutAges) != nil {
			t.Fatalf("%s", text)
		}
		next := newUnstartedProxy(t, testConfig("", nil, settingsText))
		next.applyState(&state, 0)
		if ages := agesOf(next); math.Abs(ages["s-young"]-3) > 1 || math.Abs(ages["s-uncordoned"]) > 1 || ages["s-old"] < 3600 {
			t.Errorf("clock off by %.0f s: ages %v", step, ages)
		}
		withoutAges.StartAges = nil
		fromEarlier := newUnstartedProxy(t, testConfig("", nil, settingsText))
		fromEarlier.applyState(&withoutAges, 0)
		for name, age := range agesOf(fromEarlier) {
			if age < 0 {
				t.Errorf("clock off by %.0f s, no ages: %s started %.0f s in the future", step, name, -age)
			}
		}
	}
}

// A backend that leaves the list and returns must keep its start time, unless it is listed with another start.
func TestRelistedBackendKeepsStartTime(t *testing.T) {
	a := newFakeBackend(t, echo)
	p := newUnstartedProxy(t, testConfig("", nil, settingsText))
	apply := func(text string) {
		u := parseUpdate(t, text)
		p.applyEndpoints(u)
		p.watch.listApplied = true
	}
	age := func() float64 { return p.loop.Now() - p.backends.byName["s-a"].listed.StartedAt }
	first, restarted := started("s-a", a, 100), started("s-a", a, 50)
	apply(endpointList(1, true, first, readyEndpoint("s-b", a)))
	apply(endpointList(2, true, readyEndpoint("s-b", a)))
	apply(endpointList(3, true, first, readyEndpoint("s-b", a)))
	if got := age(); got < 100 || got > 110 {
		t.Errorf("listed again: %.1f s old", got)
	}
	apply(endpointList(4, false, restarted))
	if got := age(); got > 5 {
		t.Errorf("a new process: %.1f s old", got)
	}
	for i := range 3 * maxUnlistedStarts {
		p.processStart(string(rune('a'+i%26))+time.Duration(i).String(), 1000)
	}
	if p.pruneStarts(); len(p.startTimes) > len(p.backends.byName) {
		t.Errorf("%d start times are kept", len(p.startTimes))
	}
}

// A snapshot of an earlier version has no ages, and only a wall clock time of its writing.
func TestSnapshotWithoutAges(t *testing.T) {
	a := newFakeBackend(t, echo)
	dir := t.TempDir()
	now := float64(time.Now().UnixMilli()) / 1000
	for name, saved := range map[string]float64{"earlier": now - 5, "the future": now + 3600} {
		text, err := snapshot.Encode(&snapshot.State{Fleet: "shop", Name: "n0", SavedUnix: saved,
			Endpoints:   json.RawMessage(endpointList(9, true, readyEndpoint("s-a", a))),
			Maintenance: json.RawMessage(`{"out":{},"back":{"s-a":` + strconv.FormatFloat(saved, 'f', 3, 64) + `}}`)})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "n0.state"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if got := agesOf(newUnstartedProxy(t, persistentConfig(dir, "")))["s-a"]; got < 0 || got > 10 {
			t.Errorf("%s: uncordoned %.1f s ago", name, got)
		}
	}
}
