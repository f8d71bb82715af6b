// This file owns when each backend's process started, by this process's own clock. Lists tell that by other machines' wall
// clocks, which may be off by any span, as this one's may. It must never take a backend for warmer than can be known.
package proxy

import (
	"maps"

	"sandpass/internal/boottime"
)

const (
	agesMost       = 3600.0 // seconds since a start that are told on; what is older is long warm
	departedStarts = 1024   // starts that are remembered of backends which are not listed
)

// incarnation is one process of a backend.
type incarnation struct {
	sinceMs float64 // as lists name it
	started float64 // by the loop's clock; 0 is long ago
}

// startTimes has the incarnation of each backend by its name, also of some that left the list: one that is listed again is
// no new process.
type startTimes map[string]incarnation

// startOf tells when the process that a list names started. One that appears in a list which is followed started since the
// list before, at the latest now. Lists come seconds late, and where the clocks disagree that can't be told from a start
// that long ago: the list is believed only as far as an error does no harm. In the first list, which may be old, only the
// list itself says when.
func (p *Proxy) startOf(name string, sinceMs float64) float64 {
	if known, ok := p.startTimes[name]; ok && known.sinceMs == sinceMs {
		return known.started
	}
	started, now := sinceMs/1000, p.loop.Now()
	if sinceMs > 0 {
		started = min(started, now)
	}
	if sinceMs > 0 && p.watch.listReceived {
		started = max(started, now-p.balancer.MaxTrustedAge())
	}
	p.startTimes[name] = incarnation{sinceMs, started}
	return started
}

// forgetStarts drops what is remembered of backends that are not listed, once that is much.
func (p *Proxy) forgetStarts() {
	if len(p.startTimes) <= len(p.backends.byName)+departedStarts {
		return
	}
	maps.DeleteFunc(p.startTimes, func(name string, _ incarnation) bool { return p.backends.byName[name] == nil })
}

// ages are for how many seconds the listed backends' processes have run, and since when backends were uncordoned, of all
// that is not long ago. They mean the same whatever clock reads them.
type ages struct {
	Starts map[string]float64 `json:"starts,omitempty"`
	Back   map[string]float64 `json:"back,omitempty"`
}

func (p *Proxy) ages() *ages {
	now := p.loop.Now()
	a := &ages{Starts: map[string]float64{}, Back: map[string]float64{}}
	for name := range p.backends.byName {
		if age := now - p.startTimes[name].started; age < agesMost {
			a.Starts[name] = age
		}
	}
	for name, back := range p.maintenance.Uncordoned {
		if age := now - back; age < agesMost {
			a.Back[name] = age
		}
	}
	return a
}

// takeAges takes what another process has told of the backends in its list, so many seconds ago. One that tells no ages is of an earlier version: its
// times are believed as far as they have passed.
func (p *Proxy) takeAges(a *ages, list *endpointUpdate, elapsed float64) {
	now := p.loop.Now()
	if a == nil {
		for name, back := range p.maintenance.Uncordoned {
			p.maintenance.Uncordoned[name] = min(back, now)
		}
		return
	}
	p.maintenance.Uncordoned = map[string]float64{}
	for name, age := range a.Back {
		p.maintenance.Uncordoned[name] = now - age - elapsed
	}
	if list == nil {
		return
	}
	for _, e := range list.Endpoints {
		if own, known := p.startTimes[e.Name]; known && own.sinceMs != e.SinceMs {
			continue // started anew since
		}
		next := incarnation{sinceMs: e.SinceMs}
		if age, young := a.Starts[e.Name]; young {
			next.started = now - age - elapsed
		}
		p.startTimes[e.Name] = next
		if t := p.backends.byName[e.Name]; t != nil && t.sinceMs == e.SinceMs {
			t.listed.StartedAt = next.started
		}
	}
}

// elapsedSince is for how long a snapshot lay. Across a start of the machine that is not known by any clock that can be
// trusted: none of it counts then.
func elapsedSince(saved boottime.Time) float64 {
	seconds, _ := boottime.Now().Since(saved)
	return seconds
}
