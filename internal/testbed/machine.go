// Package testbed runs an emulated world on real sockets and in real time. Simulated backends, discovery and clients on loopback
// drive real sandpass processes. The package also load-tests a single proxy to measure the cost of a command.
//
// Load is open loop: a command is sent when it is due, whatever became of earlier ones, and its latency counts from then, so
// that a stalled proxy cannot hide its delay. The package uses only loopback addresses and signals only processes that it
// started. It rejects faults that cannot be carried out on sockets and names them in the error.
package testbed

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

// This file simulates a machine on the wall clock: its cores are shared evenly by the running commands, as in the emulator. It
// does not use sockets.

// job is the work of one command on a machine.
type job struct {
	finishAt float64 // value of machine.done at which the job is finished
	index    int
	done     chan struct{}
}

// jobHeap is a heap of running jobs, ordered by when they finish.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *jobHeap) Push(x any)        { j := x.(*job); j.index = len(*h); *h = append(*h, j) }
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	j.index = -1
	return j
}

// machine simulates a number of cores of the same speed. Work is counted in seconds of a core of speed 1.
type machine struct {
	mu                          sync.Mutex
	cores, speed                float64
	overloadFrom, overloadSlope float64
	coldCapacity, warmUpSeconds float64
	started                     time.Time // zero if it started long ago
	slow                        float64
	hung                        bool
	jobs                        jobHeap
	heldCount                   int // commands held without running: queued, or waiting for a nested call
	done, rate                  float64
	updatedAt                   time.Time
	timer                       *time.Timer
	closed                      bool
}

// newMachine returns a running machine without jobs.
func newMachine(cores, speed, overloadFrom, overloadSlope, coldCapacity, warmUpSeconds float64) *machine {
	m := &machine{cores: cores, speed: speed, overloadFrom: overloadFrom, overloadSlope: overloadSlope,
		coldCapacity: coldCapacity, warmUpSeconds: warmUpSeconds, updatedAt: time.Now()}
	m.timer = time.AfterFunc(time.Hour, m.timerFired)
	return m
}

// warmth returns the share of its capacity that a machine has reached after its start.
func (m *machine) warmth(now time.Time) float64 {
	age := now.Sub(m.started).Seconds()
	if m.started.IsZero() || age >= m.warmUpSeconds {
		return 1
	}
	return m.coldCapacity + (1-m.coldCapacity)*age/m.warmUpSeconds
}

// update counts the work done since the last update, finishes jobs and recomputes the rate. The caller holds m.mu.
func (m *machine) update() {
	now := time.Now()
	m.done += m.rate * now.Sub(m.updatedAt).Seconds()
	m.updatedAt = now
	for len(m.jobs) > 0 && m.jobs[0].finishAt <= m.done+1e-9 {
		close(heap.Pop(&m.jobs).(*job).done)
	}
	n := float64(len(m.jobs))
	if n == 0 || m.hung || m.closed {
		m.rate = 0
		m.timer.Stop()
		return
	}
	overload := max(0, (n+float64(m.heldCount))/m.cores-m.overloadFrom)
	m.rate = m.speed * min(1, m.cores/n) * m.warmth(now) * (1 - m.slow) / (1 + m.overloadSlope*overload)
	wait := math.Min(0.1, (m.jobs[0].finishAt-m.done)/m.rate) // recomputed every 0.1 s, since the rate grows during warm-up
	m.timer.Reset(time.Duration(math.Max(0, wait) * float64(time.Second)))
}

// timerFired updates the machine when the next job is due to finish.
func (m *machine) timerFired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update()
}

// change applies a change to the machine between two updates.
func (m *machine) change(apply func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update()
	apply()
	m.update()
}

// run performs an amount of work; it reports false if stop is closed first.
func (m *machine) run(work float64, stop <-chan struct{}) bool {
	j := &job{done: make(chan struct{})}
	m.change(func() {
		j.finishAt = m.done + work
		heap.Push(&m.jobs, j)
	})
	select {
	case <-j.done:
		return true
	case <-stop:
		m.change(func() {
			if j.index >= 0 {
				heap.Remove(&m.jobs, j.index)
			}
		})
		return false
	}
}

// addHeld changes the number of commands that are held without running.
func (m *machine) addHeld(n int) { m.change(func() { m.heldCount += n }) }

// close stops all work for good.
func (m *machine) close() {
	m.change(func() { m.closed = true })
}
