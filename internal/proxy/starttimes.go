// This file tracks when each backend's process started, by this process's own clock. Lists give start times by other
// machines' wall clocks, which may be wrong by any amount, as may this machine's. A backend must never be considered
// warmer than is certain.

package proxy

import (
	"maps"

	"sandpass/internal/boottime"
)

const (
	maxAgeSeconds     = 3600.0 // older processes are long warm, and their ages are left out
	maxUnlistedStarts = 1024   // limit of start times kept for backends that are not listed
)

// backendProcess is one process of a backend.
type backendProcess struct {
	sinceMs float64 // as listed, Unix milliseconds
	started float64 // by the loop's clock; 0 means long ago
}

// startTimes maps a backend's name to its latest process. It keeps some backends that left the list: one that is
// listed again may be the same process.
type startTimes map[string]backendProcess

// processStart returns when a listed process started. A process that first appears in a watched list started since
// the previous update, and now at the latest. Updates may arrive seconds late, and with differing clocks this looks
// like an earlier start: the listed time is trusted only as far as an error does no harm. The first list may be old,
// so its start times are taken as they are.
func (p *Proxy) processStart(name string, sinceMs float64) float64 {
	if known, ok := p.startTimes[name]; ok && known.sinceMs == sinceMs {
		return known.started
	}
	started, now := sinceMs/1000, p.loop.Now()
	if sinceMs > 0 {
		started = min(started, now)
	}
	if sinceMs > 0 && p.watch.listApplied {
		started = max(started, now-p.balancer.MaxTrustedAge())
	}
	p.startTimes[name] = backendProcess{sinceMs, started}
	return started
}

// pruneStarts deletes the start times of unlisted backends once there are too many.
func (p *Proxy) pruneStarts() {
	if len(p.startTimes) <= len(p.backends.byName)+maxUnlistedStarts {
		return
	}
	maps.DeleteFunc(p.startTimes, func(name string, _ backendProcess) bool { return p.backends.byName[name] == nil })
}

// processAges holds for how many seconds the listed backends' processes have run, and how many seconds ago backends
// were uncordoned, where that is recent. Ages, unlike timestamps, don't depend on the reader's clock.
type processAges struct {
	Starts     map[string]float64 `json:"starts,omitempty"`
	Uncordoned map[string]float64 `json:"back,omitempty"`
}

// collectAges returns the ages as of now.
func (p *Proxy) collectAges() *processAges {
	now := p.loop.Now()
	a := &processAges{Starts: map[string]float64{}, Uncordoned: map[string]float64{}}
	for name := range p.backends.byName {
		if age := now - p.startTimes[name].started; age < maxAgeSeconds {
			a.Starts[name] = age
		}
	}
	for name, at := range p.maintenance.Uncordoned {
		if age := now - at; age < maxAgeSeconds {
			a.Uncordoned[name] = age
		}
	}
	return a
}

// applyAges takes over the ages that another process reported for the backends in its list, elapsed seconds ago. An
// earlier version reports none: its uncordon times are taken over, but not as later than now.
func (p *Proxy) applyAges(a *processAges, list *endpointUpdate, elapsed float64) {
	now := p.loop.Now()
	if a == nil {
		for name, at := range p.maintenance.Uncordoned {
			p.maintenance.Uncordoned[name] = min(at, now)
		}
		return
	}
	p.maintenance.Uncordoned = map[string]float64{}
	for name, age := range a.Uncordoned {
		p.maintenance.Uncordoned[name] = now - age - elapsed
	}
	if list == nil {
		return
	}
	for _, e := range list.Endpoints {
		if current, known := p.startTimes[e.Name]; known && current.sinceMs != e.SinceMs {
			continue // restarted since
		}
		next := backendProcess{sinceMs: e.SinceMs}
		if age, recent := a.Starts[e.Name]; recent {
			next.started = now - age - elapsed
		}
		p.startTimes[e.Name] = next
		if b := p.backends.byName[e.Name]; b != nil && b.sinceMs == e.SinceMs {
			b.listed.StartedAt = next.started
		}
	}
}

// elapsedSince returns the age of a snapshot in seconds. After a reboot no trustworthy clock tells it, and it is 0.
func elapsedSince(saved boottime.Time) float64 {
	seconds, _ := boottime.Now().Since(saved)
	return seconds
}
