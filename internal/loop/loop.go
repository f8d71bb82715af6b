// Package loop is the project's own event loop on epoll. This file owns the epoll descriptor, the clock, the timers
// and the list of things to do on the next turn. Everything it calls runs on the one goroutine in Run; it must never
// block but in epoll_wait, never start anything for a connection, and know nothing of what the bytes mean.
package loop

import (
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	eventsATurn = 128       // events taken at once: timers and posted work get their turn in between
	longestWait = 60.0      // seconds of one wait in the kernel
	sinkSize    = 256 << 10 // bytes thrown away at once
	stoodFrom   = 0.1       // seconds by which a turn comes too late, or lasts, from which the process has stood still
	afterStand  = 64        // rounds of events that are taken then before what is due: 8,192, the rest keeps its turn
	standRead   = 0.02      // seconds that these may take: limits that fall due just then have some 50 ms
	sleptFrom   = 0.02      // seconds since the last look from which it may matter when what is read had come
	backlogFor  = 1.0       // seconds after a pause in which what is read may be of it
)

// source is what a descriptor belongs to.
type source interface{ event(mask uint32) }

// place is a slot of the descriptor table; gen tells a descriptor from an earlier one of the same number.
type place struct {
	of     source
	gen    int32
	mask   uint32 // events that are wanted
	known  bool   // the kernel has it in its set
	behind bool   // and does not know what is wanted
}

// Loop waits for descriptors, timers and posted work, and calls back.
type Loop struct {
	epoll, bell    int
	ringing        sync.Mutex // what other goroutines touch: the bell, which is gone after Close, and called
	started        time.Time
	base           float64 // Unix time in seconds at the start
	turn           float64 // when this turn began
	now            float64 // when what runs now was called, 0 while nothing is
	places         []place
	timers         timers
	posted         []func()
	called         []func() // from other goroutines, under ringing
	running        []func() // those of the turn before, kept for its space
	spare          [][]byte // read buffers at rest
	MaxBufferBytes int      // bytes that read buffers beyond their first size and unsent bytes may hold; accepted connections get half
	grown          int      // bytes that they do hold
	sink           []byte   // where bytes go that nobody wants; the kernel writes none, so it takes no memory
	stopped        bool
	faults         FaultFunc
	behind         []behind         // descriptors of which the kernel does not know what is wanted
	looked         float64          // when the turn before began
	backlog        float64          // until when what is read may have come in a pause
	OnStall        func(by float64) // is told, before anything else, that the process stood still so long: what it knows is old
}

// WallClock is what a new loop takes the time from. Tests replace it before they make a loop.
var WallClock = time.Now

// New makes a loop; its clock is the wall's at the start and monotonic from there, so that it compares with other
// machines' times and never runs backwards.
func New() (*Loop, error) {
	l := &Loop{started: time.Now(), base: float64(WallClock().UnixNano()) / 1e9, MaxBufferBytes: math.MaxInt, sink: make([]byte, sinkSize),
		faults: Faults}
	l.turn = l.base
	if err := l.open(); err != nil {
		return nil, err
	}
	return l, nil
}

// open makes the loop's own descriptors.
func (l *Loop) open() (err error) {
	if _, err = l.fault(SyscallEpollCreate); err == nil {
		l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	}
	if err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	if _, err = l.fault(SyscallEventfd); err == nil {
		l.bell, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	}
	if err != nil {
		unix.Close(l.epoll)
		return fmt.Errorf("eventfd: %w", err)
	}
	if err = l.add(l.bell, bellSource{l}, unix.EPOLLIN); err != nil {
		unix.Close(l.bell)
		unix.Close(l.epoll)
	}
	return err
}

// Now is Unix time in seconds: while the loop calls something, the time at which it did, so that one call of many small
// steps reads the clock once.
func (l *Loop) Now() float64 {
	if l.now > 0 {
		return l.now
	}
	return l.clock()
}

func (l *Loop) clock() float64 { return l.base + time.Since(l.started).Seconds() }

// Turn is when the turn began: what is handled now had arrived by then.
func (l *Loop) IterationStart() float64 { return l.turn }

// Slept tells that the loop last looked, or stood still, so long ago that what is read now may have come a while before.
func (l *Loop) PollDelayed() bool { return l.turn-l.looked > sleptFrom || l.turn < l.backlog }

// Late tells the same, also of a turn that has gone on for so long: others' ends may wait to be read since.
func (l *Loop) Lagging() bool { return l.PollDelayed() || l.clock()-l.turn > sleptFrom }

// Post has f run on the next turn; only for the loop's own goroutine.
func (l *Loop) Post(f func()) { l.posted = append(l.posted, f) }

// Held is how many bytes beyond first buffers connections hold.
func (l *Loop) BufferedBytes() int { return l.grown }

// Ring ends a wait from another goroutine, such as the one that receives signals. Once the loop is closed it does nothing:
// the bell's number may be another's by then, a connection's, and would get these bytes.
func (l *Loop) WakeUp() {
	l.ringing.Lock()
	defer l.ringing.Unlock()
	for err := error(unix.EINTR); err == unix.EINTR && l.bell >= 0; {
		if _, err = l.fault(SyscallWrite); err == nil {
			_, err = unix.Write(l.bell, []byte{1, 0, 0, 0, 0, 0, 0, 0})
		}
	}
}

// Call has f run on the loop's goroutine soon; it may be called from any. A loop that is closed runs it no more.
func (l *Loop) PostFromAnyGoroutine(f func()) {
	l.ringing.Lock()
	l.called = append(l.called, f)
	l.ringing.Unlock()
	l.WakeUp()
}

// runCalled runs what other goroutines have asked for.
func (l *Loop) runCalled() {
	l.ringing.Lock()
	called := l.called
	l.called = nil
	l.ringing.Unlock()
	for _, f := range called {
		l.now = l.clock()
		f()
	}
}

// Close gives back what the loop itself holds, after Run.
func (l *Loop) Close() {
	l.ringing.Lock()
	defer l.ringing.Unlock()
	unix.Close(l.bell)
	unix.Close(l.epoll)
	l.bell = -1

}

// Stop lets Run return after this turn.
func (l *Loop) Stop() { l.stopped = true }

type bellSource struct{ l *Loop }

func (s bellSource) event(uint32) {
	var b [8]byte
	unix.Read(s.l.bell, b[:])
}

func (l *Loop) add(fd int, of source, mask uint32) error {
	for fd >= len(l.places) {
		l.places = append(l.places, place{})
	}
	l.places[fd] = place{of: of, gen: l.places[fd].gen + 1, mask: mask}
	if err := l.control(unix.EPOLL_CTL_ADD, fd); err != nil {
		l.places[fd].of = nil
		return fmt.Errorf("epoll add: %w", err)
	}
	return nil
}

func (l *Loop) change(fd int, mask uint32) {
	p := &l.places[fd]
	if p.mask = mask; !p.behind {
		l.control(unix.EPOLL_CTL_MOD, fd) // fails otherwise only for a descriptor that is not there
	}
}

// drop is the one place where a descriptor in the loop is given back.
func (l *Loop) drop(fd int) {
	l.places[fd].of = nil
	unix.Close(fd)
}

// Run serves until Stop; each is called first in every turn.
func (l *Loop) Run(each func()) error {
	var events [eventsATurn]unix.EpollEvent
	for !l.stopped {
		wait := l.wait()
		asked, began := l.clock(), l.turn
		n, err := l.epollWait(events[:], wait)
		rounds := 1
		if err == unix.EINTR { // also after a stop: what has come meanwhile goes before what is due
			n, err = l.epollWait(events[:], 0)
		}
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.looked, l.turn = began, l.clock()
		l.now = l.turn
		if by := max(l.turn-asked-float64(wait)/1000, asked-began); by > stoodFrom && l.OnStall != nil {
			l.OnStall(by)
			l.backlog = l.turn + backlogFor
			rounds = afterStand
		}
		each()
		l.runCalled()
		for ; n > 0 && rounds > 0; rounds-- {
			for i := range n {
				e := &events[i]
				if p := l.places[e.Fd]; p.of != nil && p.gen == e.Pad {
					l.now = l.clock()
					p.of.event(e.Events)
				}
			}
			if n = 0; rounds > 1 && l.clock() < l.turn+standRead {
				n, _ = l.epollWait(events[:], 0) // interrupted: the next turn has them
			}
		}
		if len(l.behind) > 0 {
			l.catchUp()
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.turn {
			l.now = l.clock() // for each: those due after a pause are many, and what they do goes by the time
			if t := l.timers.pop(); t.do != nil {
				t.do()
			} else if t.wake != nil {
				t.wake(t.token)
			}
		}
		l.running, l.posted = l.posted, l.running[:0]
		for i, f := range l.running {
			l.now = l.clock()
			f()
			l.running[i] = nil
		}
		l.now = 0
	}
	return nil
}

// wait is how many milliseconds may pass in the kernel.
func (l *Loop) wait() int {
	if len(l.posted) > 0 {
		return 0
	}
	for len(l.timers) > 0 && l.timers[0].t.off() {
		l.timers.pop()
	}
	seconds := longestWait
	if len(l.behind) > 0 {
		seconds = behindEvery
	}
	if len(l.timers) > 0 {
		seconds = min(seconds, max(0, l.timers[0].at-l.Now()))
	}
	return int(math.Ceil(seconds * 1000))
}

// Timer is one call in the future.
type Timer struct {
	do    func()
	wake  func(uint64)
	token uint64
}

func (t *Timer) off() bool { return t.do == nil && t.wake == nil }

// Stop calls it off; nil is fine.
func (t *Timer) Stop() {
	if t != nil {
		t.do, t.wake = nil, nil
	}
}

// After has f run in so many seconds.
func (l *Loop) After(seconds float64, f func()) *Timer {
	t := &Timer{do: f}
	l.timers.push(due{l.Now() + max(0, seconds), t})
	return t
}

// Wake has f run with the token in so many seconds; it can't be called off, and nothing is made for it but its entry.
func (l *Loop) AfterToken(seconds float64, f func(uint64), token uint64) {
	l.timers.push(due{l.Now() + max(0, seconds), &Timer{wake: f, token: token}})
}

// due is a timer with its time beside it, so that ordering follows no pointer.
type due struct {
	at float64
	t  *Timer
}

// timers is a heap, four to a knot: there are tens of thousands where every command has some, and half as many steps
// go through the memory for it.
type timers []due

func (h *timers) push(d due) {
	*h = append(*h, d)
	all := *h
	i := len(all) - 1
	for i > 0 {
		up := (i - 1) / 4
		if all[up].at <= d.at {
			break
		}
		all[i] = all[up]
		i = up
	}
	all[i] = d
}

func (h *timers) pop() *Timer {
	all := *h
	first, n := all[0].t, len(all)-1
	last := all[n]
	all[n] = due{}
	all = all[:n]
	*h = all
	i := 0
	for {
		down := 4*i + 1
		if down >= n {
			break
		}
		least := down
		for k := down + 1; k < min(down+4, n); k++ {
			if all[k].at < all[least].at {
				least = k
			}
		}
		if last.at <= all[least].at {
			break
		}
		all[i] = all[least]
		i = least
	}
	if n > 0 {
		all[i] = last
	}
	return first
}
