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

// offClock has proxies that are made from now on take the wall clock for so many seconds off.
func offClock(t *testing.T, seconds float64) {
	t.Helper()
	was := loop.WallClock
	t.Cleanup(func() { loop.WallClock = was })
	loop.WallClock = func() time.Time { return time.Now().Add(time.Duration(seconds * float64(time.Second))) }
}

// started is a list entry whose process started so many seconds ago by the true clock.
func started(name string, b *fakeBackend, ago float64) jsonObject {
	l := readyEndpoint(name, b)
	l["since_ms"] = time.Now().UnixMilli() - int64(1000*ago)
	return l
}

// agesOf are the seconds since the starts that count for the backends, by the proxy's own clock.
func agesOf(p *Proxy) map[string]float64 {
	all := map[string]float64{}
	for name, t := range p.backends.byName {
		all[name] = p.loop.Now() - p.maintenance.applyTo(name, t.listed).StartedAt
	}
	return all
}

// made is a proxy that does not run: its loop is the test's own goroutine.
func newUnstartedProxy(t *testing.T, l *Config) *Proxy {
	t.Helper()
	p, err := New(l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.loop.Close)
	return p
}

// What a process knows of starts and uncordons holds for the next one by real time, also where the wall clock was stepped in
// between. Not parallel: the clock is every loop's.
func TestAgesOutliveAStepOfTheClock(t *testing.T) {
	a, b := newFakeBackend(t, echo), newFakeBackend(t, echo)
	known := endpointList(7, true, started("s-old", a, 7200), started("s-young", b, 3), readyEndpoint("s-uncordoned", a))
	for _, step := range []float64{0, 10, -10, 3600, -3600} {
		dir := t.TempDir()
		p := newUnstartedProxy(t, keeping(dir, known))
		p.handover.done = true
		p.startSnapshots()
		was := agesOf(p)
		p.cordon("s-uncordoned")
		p.uncordon("s-uncordoned")
		p.saveLastSnapshot()
		offClock(t, step)
		is := agesOf(newUnstartedProxy(t, keeping(dir, known)))
		if is["s-young"] < was["s-young"] || is["s-young"] > was["s-young"]+1 || is["s-uncordoned"] > 1 || is["s-uncordoned"] < 0 || is["s-old"] < 3600 {
			t.Errorf("clock off by %.0f s: %v after %v", step, is, was)
		}
		offClock(t, 0)
	}
}

// The same over an upgrade, from one process to the next, and of a process that tells no ages.
func TestAgesAreHandedOverByRealTime(t *testing.T) {
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
		state, earlier := handoverMessage{}, handoverMessage{}
		if json.Unmarshal(text, &state) != nil || json.Unmarshal(text, &earlier) != nil {
			t.Fatalf("%s", text)
		}
		next := newUnstartedProxy(t, testConfig("", nil, settingsText))
		next.takeOver(&state, 0)
		if is := agesOf(next); math.Abs(is["s-young"]-3) > 1 || math.Abs(is["s-uncordoned"]) > 1 || is["s-old"] < 3600 {
			t.Errorf("clock off by %.0f s: %v", step, is)
		}
		earlier.Ages = nil
		old := newUnstartedProxy(t, testConfig("", nil, settingsText))
		old.takeOver(&earlier, 0)
		for name, age := range agesOf(old) {
			if age < 0 {
				t.Errorf("clock off by %.0f s, no ages: %s starts in %.0f s", step, name, -age)
			}
		}
	}
}

// A backend that a list leaves out and names again is no new process; one that comes with another start is.
func TestABackendThatIsListedAgainIsNoNewProcess(t *testing.T) {
	a := newFakeBackend(t, echo)
	p := newUnstartedProxy(t, testConfig("", nil, settingsText))
	apply := func(text string) {
		u := parseUpdate(t, text)
		p.applyEndpoints(u)
		p.watch.listReceived = true
	}
	age := func() float64 { return p.loop.Now() - p.backends.byName["s-a"].listed.StartedAt }
	first, again := started("s-a", a, 100), started("s-a", a, 50)
	apply(endpointList(1, true, first, readyEndpoint("s-b", a)))
	apply(endpointList(2, true, readyEndpoint("s-b", a)))
	apply(endpointList(3, true, first, readyEndpoint("s-b", a)))
	if got := age(); got < 100 || got > 110 {
		t.Errorf("listed again: %.1f s old", got)
	}
	apply(endpointList(4, false, again))
	if got := age(); got > 5 {
		t.Errorf("a new process: %.1f s old", got)
	}
	for i := range 3 * departedStarts {
		p.startOf(string(rune('a'+i%26))+time.Duration(i).String(), 1000)
	}
	if p.forgetStarts(); len(p.startTimes) > len(p.backends.byName) {
		t.Errorf("%d starts are remembered", len(p.startTimes))
	}
}

// A snapshot of an earlier version tells neither ages nor when it was written but by the wall clock.
func TestASnapshotWithoutAgesIsTaken(t *testing.T) {
	a := newFakeBackend(t, echo)
	dir := t.TempDir()
	now := float64(time.Now().UnixMilli()) / 1000
	for name, saved := range map[string]float64{"earlier": now - 5, "the future": now + 3600} {
		text, err := snapshot.Encode(&snapshot.State{Fleet: "shop", Name: "n0", SavedUnix: saved, Endpoints: json.RawMessage(endpointList(9, true, readyEndpoint("s-a", a))),
			Maintenance: json.RawMessage(`{"out":{},"back":{"s-a":` + strconv.FormatFloat(saved, 'f', 3, 64) + `}}`)})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "n0.state"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if got := agesOf(newUnstartedProxy(t, keeping(dir, "")))["s-a"]; got < 0 || got > 10 {
			t.Errorf("%s: uncordoned %.1f s ago", name, got)
		}
	}
}
