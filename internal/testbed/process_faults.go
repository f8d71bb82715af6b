// This file carries out the faults of first-tier proxy processes: kills, planned restarts, stalls and crash loops. Every stalled
// process is resumed, and only processes that this harness started are signaled.

package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sandpass/internal/checker"
	"sandpass/internal/faults"
	"sandpass/internal/snapshot"
)

const (
	snapshotAgeSeconds = 3 * 3600.0 // added to the age of an "old" snapshot
	resumeSeconds      = 0.1        // until a resumed process gets a core: half of 64 proxies may compete for a few cores
)

// proxyAt returns the i-th proxy of the first tier, nil while the front considers it down.
func (h *Harness) proxyAt(i int) *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proxies[i]
}

// killProxy kills a proxy. The front sends it new clients until it notices.
func (h *Harness) killProxy(i int, p *process) {
	p.kill()
	time.AfterFunc(time.Duration(h.world.Clients.DeathDetection*float64(time.Second)), func() {
		h.mu.Lock()
		if h.proxies[i] == p {
			h.proxies[i] = nil
		}
		h.mu.Unlock()
	})
}

// restartProxy starts a proxy at the address of a previous one.
func (h *Harness) restartProxy(i int, p *process) *process { return h.restartProxyAs(i, p, p.index) }

// restartProxyAs does the same with the index of another proxy, to whose address peer messages are then sent.
func (h *Harness) restartProxyAs(i int, p *process, index int) *process {
	if err := h.damageSnapshot(p); err != nil {
		h.fail(err)
		return nil
	}
	restarted, err := h.startProcess(0, index, p.zone, len(h.proxies), p.listen)
	if err != nil {
		h.fail(err)
		return nil
	}
	restarted.weight, restarted.restarted = p.weight, true
	h.mu.Lock()
	h.proxies[i], h.allProxies = restarted, append(h.allProxies, restarted)
	h.lastRestart = h.now()
	h.mu.Unlock()
	return restarted
}

// damageSnapshot changes the stored snapshot of a proxy as SnapshotState demands.
func (h *Harness) damageSnapshot(p *process) error {
	if h.SnapshotState == "" || h.SnapshotState == "kept" {
		return nil
	}
	path := filepath.Join(h.dir, "state", p.name()+".state")
	text, err := os.ReadFile(path)
	if err != nil {
		return nil // it may have ended before it stored a snapshot
	}
	switch h.SnapshotState {
	case "lost":
		return os.Remove(path)
	case "torn":
		text = text[:len(text)/2]
	case "old":
		s, err := snapshot.Decode(text)
		if err != nil {
			return err
		}
		s.SavedUnix -= snapshotAgeSeconds
		if text, err = snapshot.Encode(s); err != nil {
			return err
		}
	}
	return os.WriteFile(path, text, 0o600)
}

// recoverySeconds reads the time to full recovery from the proxy's log.
func (p *process) recoverySeconds() (seconds []float64) {
	text, err := os.ReadFile(filepath.Join(p.harness.dir, fmt.Sprintf("p-%d.log", p.serial)))
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(text)) {
		var s float64
		if _, rest, ok := strings.Cut(line, "msg=full seconds="); ok {
			if _, err := fmt.Sscanf(rest, "%f", &s); err == nil {
				seconds = append(seconds, s)
			}
		}
	}
	return seconds
}

// killOrRestart kills or restarts a share of the first tier's proxies.
func (h *Harness) killOrRestart(f faults.Fault, wait func(float64) bool) {
	targets := f.PickIndexes(len(h.proxies))
	newIndexes := map[int]int{} // index that each proxy restarts with
	for n, i := range targets {
		source := h.proxyAt(targets[(n+1)%len(targets)])
		if source == nil || !h.SwapIndexes {
			source = h.proxyAt(i)
		}
		if source != nil {
			newIndexes[i] = source.index
		}
	}
	restartOne := func(i int, planned bool) {
		p := h.proxyAt(i)
		if p == nil {
			return // stopped by another fault
		}
		if planned { // from now on the front sends it no new clients
			h.mu.Lock()
			h.proxies[i] = nil
			h.mu.Unlock()
			p.stop(shutdownTimeout)
		} else {
			h.killProxy(i, p)
			if !wait(f.From + f.For) {
				return
			}
		}
		h.restartProxyAs(i, p, newIndexes[i])
	}
	var done sync.WaitGroup
	for n, i := range targets {
		if f.Kind == faults.RestartInstances && !wait(f.From+f.For*float64(n)/float64(len(targets))) {
			return
		}
		done.Add(1)
		go func() {
			defer done.Done()
			restartOne(i, f.Kind == faults.RestartInstances)
		}()
	}
	done.Wait()
}

// stallProxies suspends a share of the proxies for the duration of the fault.
func (h *Harness) stallProxies(f faults.Fault, wait func(float64) bool) {
	var stalled []*process
	for _, i := range f.PickIndexes(len(h.proxies)) {
		if p := h.proxyAt(i); p != nil && p.signal(syscall.SIGSTOP) {
			stalled = append(stalled, p)
		}
	}
	from := h.now()
	for _, p := range stalled {
		p.stallBegan(from)
	}
	wait(f.From + f.For)
	for _, p := range stalled {
		to := h.now() // recorded before SIGCONT, since the process answers within a millisecond
		p.stallEnded(to)
		h.recorder.withChecker(func(c *checker.Checker) { c.InstanceStalled(p.serial, from, to+resumeSeconds) })
		p.signal(syscall.SIGCONT)
	}
}

// crashLoop kills a share of the proxies repeatedly, each a fixed time after it is ready.
func (h *Harness) crashLoop(f faults.Fault, wait func(float64) bool) {
	var done sync.WaitGroup
	for _, i := range f.PickIndexes(len(h.proxies)) {
		done.Go(func() {
			for p := h.proxyAt(i); p != nil && h.now() < f.From+f.For; {
				h.killProxy(i, p)
				if p = h.restartProxy(i, p); p == nil || !wait(h.now()+f.Hard) {
					return
				}
			}
		})
	}
	done.Wait()
}

// signal sends a signal to a process that has not ended, and reports whether it did.
func (p *process) signal(s syscall.Signal) bool {
	select {
	case <-p.ended:
		return false
	default:
		return p.cmd.Process.Signal(s) == nil
	}
}

// stallBegan records the start of a stall.
func (p *process) stallBegan(from float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalls = append(p.stalls, [2]float64{from, -1})
}

// stallEnded records the end of the current stall.
func (p *process) stallEnded(to float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalls[len(p.stalls)-1][1] = to
}

// stalledSince reports whether the process was stalled at any time since the given one. It is not at fault for requests of that
// time.
func (p *process) stalledSince(since float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stalls {
		if s[1] < 0 || s[1] >= since {
			return true
		}
	}
	return false
}

// recordStopRequest records when the process was asked to stop.
func (p *process) recordStopRequest(at float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = at
}

// stopRequestedAt returns when the process was asked to stop, 0 if it was not.
func (p *process) stopRequestedAt() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequested
}
