// Package testbed plays an emulated world on real sockets: its backends, discovery and clients as stand-ins on loopback, in
// real time, driving real sandpass processes. It also loads one proxy to see what a command costs.
//
// Load is open loop: a command is sent when it is due, whatever became of those before, and its latency counts from
// then, so that a proxy that stalls can't hide it. The package must never reach beyond loopback, nor end a process that
// it did not start. What it can't carry out on sockets it refuses by name.
package testbed

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

// This file owns the stand-in for a machine: cores shared evenly by the commands in work, as in the emulator, on the
// wall clock. It must never know of sockets.

// job is one command's work on a machine.
type job struct {
	need  float64 // of done, at which it is through
	index int
	done  chan struct{}
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].need < h[j].need }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *jobHeap) Push(x any)        { j := x.(*job); j.index = len(*h); *h = append(*h, j) }
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	j.index = -1
	return j
}

// machine is cores of a speed. What it does for each command is counted in seconds of a core of speed 1.
type machine struct {
	mu                  sync.Mutex
	cores, speed        float64
	chokeFrom, choke    float64
	coldShare, coldSpan float64
	started             time.Time // zero: long ago
	slow                float64
	hang                bool
	jobs                jobHeap
	extra               int // held without working: queued, or waiting for a call
	done, rate          float64
	at                  time.Time
	timer               *time.Timer
	closed              bool
}

func newMachine(cores, speed, chokeFrom, choke, coldShare, coldSpan float64) *machine {
	m := &machine{cores: cores, speed: speed, chokeFrom: chokeFrom, choke: choke, coldShare: coldShare, coldSpan: coldSpan, at: time.Now()}
	m.timer = time.AfterFunc(time.Hour, m.due)
	return m
}

// warmth is the part of its capacity that it has.
func (m *machine) warmth(now time.Time) float64 {
	age := now.Sub(m.started).Seconds()
	if m.started.IsZero() || age >= m.coldSpan {
		return 1
	}
	return m.coldShare + (1-m.coldShare)*age/m.coldSpan
}

// retake counts what was done and takes the rate anew; m.mu is held.
func (m *machine) retake() {
	now := time.Now()
	m.done += m.rate * now.Sub(m.at).Seconds()
	m.at = now
	for len(m.jobs) > 0 && m.jobs[0].need <= m.done+1e-9 {
		close(heap.Pop(&m.jobs).(*job).done)
	}
	n := float64(len(m.jobs))
	if n == 0 || m.hang || m.closed {
		m.rate = 0
		m.timer.Stop()
		return
	}
	crowd := max(0, (n+float64(m.extra))/m.cores-m.chokeFrom)
	m.rate = m.speed * min(1, m.cores/n) * m.warmth(now) * (1 - m.slow) / (1 + m.choke*crowd)
	wait := math.Min(0.1, (m.jobs[0].need-m.done)/m.rate) // while it is cold the rate grows
	m.timer.Reset(time.Duration(math.Max(0, wait) * float64(time.Second)))
}

func (m *machine) due() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retake()
}

// change does something to the machine between two rates.
func (m *machine) change(what func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retake()
	what()
	m.retake()
}

// run does so much work and tells whether it came to its end before stop.
func (m *machine) run(work float64, stop <-chan struct{}) bool {
	j := &job{done: make(chan struct{})}
	m.change(func() {
		j.need = m.done + work
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

// held counts commands that are held beside those in work.
func (m *machine) held(n int) { m.change(func() { m.extra += n }) }

func (m *machine) close() {
	m.change(func() { m.closed = true })
}
