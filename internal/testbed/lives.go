// This file owns what faults do to the first tier's proxies as processes: killed, restarted as planned, standing still, in
// a crash loop. It must never leave one standing still, nor signal a process that this rig did not start.

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
	oldBy = 3 * 3600.0 // seconds by which an old state is older than it was
	wakes = 0.1        // seconds in which a process that goes on has a core: half of 64 want one of a few at once
)

func (r *Harness) front(i int) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fronts[i]
}

// kill ends a proxy at once; the front sends it clients until it notices.
func (r *Harness) kill(i int, p *process) {
	p.kill()
	time.AfterFunc(time.Duration(r.world.Clients.DeathDetection*float64(time.Second)), func() {
		r.mu.Lock()
		if r.fronts[i] == p {
			r.fronts[i] = nil
		}
		r.mu.Unlock()
	})
}

// revive starts a proxy in the place of one, at its address.
func (r *Harness) revive(i int, p *process) *process { return r.reviveAs(i, p, p.me) }

// reviveAs is the same with a number that may be another's: then its messages go where that one's went.
func (r *Harness) reviveAs(i int, p *process, me int) *process {
	if err := r.spoil(p); err != nil {
		r.fail(err)
		return nil
	}
	q, err := r.startProcess(0, me, p.zone, len(r.fronts), p.listen)
	if err != nil {
		r.fail(err)
		return nil
	}
	q.weight, q.again = p.weight, true
	r.mu.Lock()
	r.fronts[i], r.running = q, append(r.running, q)
	r.back = r.clock()
	r.mu.Unlock()
	return q
}

// spoil does to what a proxy has kept what the day has in store for it.
func (r *Harness) spoil(p *process) error {
	if r.SnapshotState == "" || r.SnapshotState == "kept" {
		return nil
	}
	at := filepath.Join(r.dir, "state", p.name()+".state")
	text, err := os.ReadFile(at)
	if err != nil {
		return nil // it may have ended before it kept anything
	}
	switch r.SnapshotState {
	case "lost":
		return os.Remove(at)
	case "torn":
		text = text[:len(text)/2]
	case "old":
		s, err := snapshot.Decode(text)
		if err != nil {
			return err
		}
		s.SavedUnix -= oldBy
		if text, err = snapshot.Encode(s); err != nil {
			return err
		}
	}
	return os.WriteFile(at, text, 0o600)
}

// full reads what the proxy said of its start in its log.
func (p *process) full() (seconds []float64) {
	text, err := os.ReadFile(filepath.Join(p.rig.dir, fmt.Sprintf("p-%d.log", p.serial)))
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

// turnOver kills or restarts a share of the first tier's proxies.
func (r *Harness) turnOver(f faults.Fault, wait func(float64) bool) {
	all := f.PickIndexes(len(r.fronts))
	numbers := map[int]int{} // that each comes back with
	for n, i := range all {
		of := r.front(all[(n+1)%len(all)])
		if of == nil || !r.SwapIndexes {
			of = r.front(i)
		}
		if of != nil {
			numbers[i] = of.me
		}
	}
	one := func(i int, planned bool) {
		p := r.front(i)
		if p == nil {
			return // another fault has it
		}
		if planned { // the front sends it no new clients from now on
			r.mu.Lock()
			r.fronts[i] = nil
			r.mu.Unlock()
			p.stop(endWithin)
		} else {
			r.kill(i, p)
			if !wait(f.From + f.For) {
				return
			}
		}
		r.reviveAs(i, p, numbers[i])
	}
	var done sync.WaitGroup
	for n, i := range all {
		if f.Kind == faults.RestartInstances && !wait(f.From+f.For*float64(n)/float64(len(all))) {
			return
		}
		done.Add(1)
		go func() {
			defer done.Done()
			one(i, f.Kind == faults.RestartInstances)
		}()
	}
	done.Wait()
}

// stall has a share of the proxies stand still.
func (r *Harness) stall(f faults.Fault, wait func(float64) bool) {
	var still []*process
	for _, i := range f.PickIndexes(len(r.fronts)) {
		if p := r.front(i); p != nil && p.signal(syscall.SIGSTOP) {
			still = append(still, p)
		}
	}
	from := r.clock()
	for _, p := range still {
		p.stands(from)
	}
	wait(f.From + f.For)
	for _, p := range still {
		to := r.clock() // noted first: it answers within a millisecond
		p.goesOn(to)
		r.books.client(func(j *checker.Checker) { j.InstanceStalled(p.serial, from, to+wakes) })
		p.signal(syscall.SIGCONT)
	}
}

// crashLoop kills a share of the proxies again and again, each so long after it was ready.
func (r *Harness) crashLoop(f faults.Fault, wait func(float64) bool) {
	var done sync.WaitGroup
	for _, i := range f.PickIndexes(len(r.fronts)) {
		done.Go(func() {
			for p := r.front(i); p != nil && r.clock() < f.From+f.For; {
				r.kill(i, p)
				if p = r.revive(i, p); p == nil || !wait(r.clock()+f.Hard) {
					return
				}
			}
		})
	}
	done.Wait()
}

// signal sends one to a process that has not ended, and tells whether it did.
func (p *process) signal(s syscall.Signal) bool {
	select {
	case <-p.ended:
		return false
	default:
		return p.cmd.Process.Signal(s) == nil
	}
}

// stands and goesOn keep the times at which it stood still.
func (p *process) stands(from float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.still = append(p.still, [2]float64{from, -1})
}

func (p *process) goesOn(to float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.still[len(p.still)-1][1] = to
}

// stood tells whether it stood still at any time since one: what it owed then is no fault of its own.
func (p *process) stood(since float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.still {
		if s[1] < 0 || s[1] >= since {
			return true
		}
	}
	return false
}

// asksToEnd and endAsked keep when it was asked to end.
func (p *process) asksToEnd(at float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = at
}

func (p *process) endAsked() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}
