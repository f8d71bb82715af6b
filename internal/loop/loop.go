// Package loop implements a single-threaded event loop on epoll, with connections, listeners, datagram sockets and timers.
//
// All callbacks run on the goroutine that called Run. The loop blocks only in epoll_wait, starts no goroutine per connection
// and does not interpret the bytes it moves.
package loop

// This file contains the epoll descriptor, the clock, the timers and the functions posted for the next iteration.

import (
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxEventsPerPoll         = 128       // events per epoll_wait call; timers and posted functions run in between
	minStoppedTimers         = 1024      // stopped timers from which they are removed together
	maxWaitSeconds           = 60.0      // longest wait in one epoll_wait call
	discardBufferBytes       = 256 << 10 // bytes discarded per call
	stallThresholdSeconds    = 0.1       // an iteration this late or this long is a stall of the process
	maxRoundsAfterStall      = 64        // polls before due timers after a stall: 8,192 events, later ones wait
	maxReadSecondsAfterStall = 0.02      // time for these polls; time limits that expire just then have some 50 ms
	pollDelaySeconds         = 0.02      // delay between polls from which the arrival time of input may matter
	stallBacklogSeconds      = 1.0       // time after a stall in which input read may have arrived during it
)

// eventSource handles the events of a descriptor.
type eventSource interface{ handleEvents(events uint32) }

// descriptor is an entry of the descriptor table. generation tells a descriptor from an earlier one with the same number.
type descriptor struct {
	source     eventSource
	generation int32
	interest   uint32 // wanted events
	registered bool   // added to epoll
	unsynced   bool   // epoll does not have the current interest
}

// Loop waits for events of descriptors, timers and posted functions, and runs their callbacks.
type Loop struct {
	epollFD, wakeupFD int
	mu                sync.Mutex // guards wakeupFD, which is -1 after Close, and externalPosts
	startedAt         time.Time
	startUnix         float64 // Unix time in seconds at startedAt
	iterationStart    float64 // when the current iteration began
	callbackStart     float64 // when the running callback was called, 0 if none runs
	descriptors       []descriptor
	timers            timerHeap
	stoppedTimers     int // stopped timers that timers still holds
	posted            []func()
	externalPosts     []func() // posted by other goroutines, guarded by mu
	runningPosts      []func() // functions of the previous iteration, kept to reuse the slice
	freeBuffers       [][]byte // initial-size read buffers for reuse
	MaxBufferBytes    int      // limit of bufferedBytes; accepted connections may use half of it
	bufferedBytes     int      // bytes of read buffers beyond their initial size, and unsent bytes
	discardBuffer     []byte   // target of discarded bytes; the kernel writes nothing to it, so it takes no memory
	stopped           bool
	faultFunc         FaultFunc
	unsynced          []unsyncedFD     // descriptors whose interest epoll does not have
	previousStart     float64          // when the previous iteration began
	backlogUntil      float64          // until when input may have arrived during a stall
	OnStall           func(by float64) // called first after a stall, with its length: the process's state is outdated
}

// WallClock gives a new loop its start time. Tests replace it before they create a loop.
var WallClock = time.Now

// New returns a Loop. Its clock starts at the wall clock's time and is monotonic from then on, so that it is comparable with
// other machines' times and never runs backwards.
func New() (*Loop, error) {
	l := &Loop{startedAt: time.Now(), startUnix: float64(WallClock().UnixNano()) / 1e9, MaxBufferBytes: math.MaxInt,
		discardBuffer: make([]byte, discardBufferBytes), faultFunc: FaultHook}
	l.iterationStart = l.startUnix
	if err := l.openDescriptors(); err != nil {
		return nil, err
	}
	return l, nil
}

// openDescriptors opens the loop's own descriptors.
func (l *Loop) openDescriptors() (err error) {
	if _, err = l.injectFault(SyscallEpollCreate); err == nil {
		l.epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	}
	if err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	if _, err = l.injectFault(SyscallEventfd); err == nil {
		l.wakeupFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	}
	if err != nil {
		unix.Close(l.epollFD)
		return fmt.Errorf("eventfd: %w", err)
	}
	if err = l.register(l.wakeupFD, wakeupSource{l}, unix.EPOLLIN); err != nil {
		unix.Close(l.wakeupFD)
		unix.Close(l.epollFD)
	}
	return err
}

// Now returns Unix time in seconds. Within a callback it returns the time at which the callback was called, so that a
// callback of many small steps reads the clock once.
func (l *Loop) Now() float64 {
	if l.callbackStart > 0 {
		return l.callbackStart
	}
	return l.readClock()
}

// readClock returns the present Unix time in seconds.
func (l *Loop) readClock() float64 { return l.startUnix + time.Since(l.startedAt).Seconds() }

// IterationStart returns when the current iteration began; the input handled now had arrived by then.
func (l *Loop) IterationStart() float64 { return l.iterationStart }

// PollDelayed reports whether the previous poll, or a stall, lies so far back that input read now may have arrived a while
// ago.
func (l *Loop) PollDelayed() bool {
	return l.iterationStart-l.previousStart > pollDelaySeconds || l.iterationStart < l.backlogUntil
}

// Lagging reports the same, or that the current iteration has taken so long that a peer's close may wait to be read.
func (l *Loop) Lagging() bool {
	return l.PollDelayed() || l.readClock()-l.iterationStart > pollDelaySeconds
}

// Post schedules f for the next iteration. It may be called only on the loop's goroutine.
func (l *Loop) Post(f func()) { l.posted = append(l.posted, f) }

// BufferedBytes returns how many bytes read buffers beyond their initial size and unsent data hold; MaxBufferBytes limits it.
func (l *Loop) BufferedBytes() int { return l.bufferedBytes }

// MemoryShort reports whether more than half of MaxBufferBytes is in use.
func (l *Loop) MemoryShort() bool { return l.bufferedBytes > l.MaxBufferBytes/2 }

// TimerCount returns how many timers are scheduled, and stopped ones that are still held.
func (l *Loop) TimerCount() int { return len(l.timers) }

// WakeUp ends the loop's wait from another goroutine, such as the one that receives signals. Once the loop is closed it does
// nothing: the number of wakeupFD may belong to a connection by then, which would get the bytes.
func (l *Loop) WakeUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for err := error(unix.EINTR); err == unix.EINTR && l.wakeupFD >= 0; {
		if _, err = l.injectFault(SyscallWrite); err == nil {
			_, err = unix.Write(l.wakeupFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
		}
	}
}

// PostFromAnyGoroutine schedules f to run on the loop's goroutine soon. A closed loop does not run it.
func (l *Loop) PostFromAnyGoroutine(f func()) {
	l.mu.Lock()
	l.externalPosts = append(l.externalPosts, f)
	l.mu.Unlock()
	l.WakeUp()
}

// runExternalPosts runs the functions posted by other goroutines.
func (l *Loop) runExternalPosts() {
	l.mu.Lock()
	posts := l.externalPosts
	l.externalPosts = nil
	l.mu.Unlock()
	for _, f := range posts {
		l.callbackStart = l.readClock()
		f()
	}
}

// Close closes the loop's own descriptors, after Run has returned.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	unix.Close(l.wakeupFD)
	unix.Close(l.epollFD)
	l.wakeupFD = -1

}

// Stop makes Run return after the current iteration.
func (l *Loop) Stop() { l.stopped = true }

// wakeupSource clears the eventfd by which WakeUp ends a wait.
type wakeupSource struct{ loop *Loop }

func (s wakeupSource) handleEvents(uint32) {
	var b [8]byte
	unix.Read(s.loop.wakeupFD, b[:])
}

// register adds a descriptor to the table and to epoll.
func (l *Loop) register(fd int, source eventSource, interest uint32) error {
	for fd >= len(l.descriptors) {
		l.descriptors = append(l.descriptors, descriptor{})
	}
	l.descriptors[fd] = descriptor{source: source, generation: l.descriptors[fd].generation + 1, interest: interest}
	if err := l.syncInterest(unix.EPOLL_CTL_ADD, fd); err != nil {
		l.descriptors[fd].source = nil
		return fmt.Errorf("epoll add: %w", err)
	}
	return nil
}

// setInterest sets the wanted events of a descriptor.
func (l *Loop) setInterest(fd int, interest uint32) {
	d := &l.descriptors[fd]
	if d.interest = interest; !d.unsynced {
		l.syncInterest(unix.EPOLL_CTL_MOD, fd) // any other error means that the descriptor is not open
	}
}

// closeDescriptor closes a registered descriptor; nothing else may do so.
func (l *Loop) closeDescriptor(fd int) {
	l.descriptors[fd].source = nil
	unix.Close(fd)
}

// Run handles events until Stop; beforeEvents is called first in every iteration.
func (l *Loop) Run(beforeEvents func()) error {
	var events [maxEventsPerPoll]unix.EpollEvent
	for !l.stopped {
		timeout := l.waitMilliseconds()
		pollStart, previousStart := l.readClock(), l.iterationStart
		n, err := l.epollWait(events[:], timeout)
		rounds := 1
		if err == unix.EINTR { // also after a stopped process resumes: pending input is handled before due timers
			n, err = l.epollWait(events[:], 0)
		}
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.previousStart, l.iterationStart = previousStart, l.readClock()
		l.callbackStart = l.iterationStart
		if stall := max(l.iterationStart-pollStart-float64(timeout)/1000,
			pollStart-previousStart); stall > stallThresholdSeconds && l.OnStall != nil {
			l.OnStall(stall)
			l.backlogUntil = l.iterationStart + stallBacklogSeconds
			rounds = maxRoundsAfterStall
		}
		beforeEvents()
		l.runExternalPosts()
		for ; n > 0 && rounds > 0; rounds-- {
			for i := range n {
				e := &events[i]
				if d := l.descriptors[e.Fd]; d.source != nil && d.generation == e.Pad {
					l.callbackStart = l.readClock()
					d.source.handleEvents(e.Events)
				}
			}
			if n = 0; rounds > 1 && l.readClock() < l.iterationStart+maxReadSecondsAfterStall {
				n, _ = l.epollWait(events[:], 0) // if interrupted, the next iteration gets the events
			}
		}
		if len(l.unsynced) > 0 {
			l.pollUnsynced()
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.iterationStart {
			l.callbackStart = l.readClock() // for each timer: after a stall many are due, and their callbacks depend on the time
			if t := l.popTimer(); t.callback != nil {
				t.callback()
			} else if t.tokenCallback != nil {
				t.tokenCallback(t.token)
			}
		}
		l.runningPosts, l.posted = l.posted, l.runningPosts[:0]
		for i, f := range l.runningPosts {
			l.callbackStart = l.readClock()
			f()
			l.runningPosts[i] = nil
		}
		l.callbackStart = 0
	}
	return nil
}

// waitMilliseconds returns the timeout of the next epoll_wait call.
func (l *Loop) waitMilliseconds() int {
	if len(l.posted) > 0 {
		return 0
	}
	for len(l.timers) > 0 && l.timers[0].timer.stopped() {
		l.popTimer()
	}
	seconds := maxWaitSeconds
	if len(l.unsynced) > 0 {
		seconds = unsyncedPollSeconds
	}
	if len(l.timers) > 0 {
		seconds = min(seconds, max(0, l.timers[0].at-l.Now()))
	}
	return int(math.Ceil(seconds * 1000))
}

// Timer is a scheduled callback.
type Timer struct {
	loop          *Loop // nil once the timer is no longer in the loop's heap
	callback      func()
	tokenCallback func(uint64)
	token         uint64
}

// stopped reports whether the timer was stopped.
func (t *Timer) stopped() bool { return t.callback == nil && t.tokenCallback == nil }

// Stop cancels the timer; t may be nil.
func (t *Timer) Stop() {
	if t == nil || t.stopped() {
		return
	}
	t.callback, t.tokenCallback = nil, nil
	if t.loop != nil {
		t.loop.stoppedTimers++
	}
}

// After schedules f to run in the given number of seconds.
func (l *Loop) After(seconds float64, f func()) *Timer {
	return l.schedule(seconds, &Timer{loop: l, callback: f})
}

// AfterToken schedules f to run with the token in the given number of seconds. It needs no closure: it allocates only its entry.
func (l *Loop) AfterToken(seconds float64, f func(uint64), token uint64) *Timer {
	return l.schedule(seconds, &Timer{loop: l, tokenCallback: f, token: token})
}

// schedule adds a timer. It first removes the stopped ones if they are the greater part: a stopped timer would otherwise take
// memory until it was due.
func (l *Loop) schedule(seconds float64, t *Timer) *Timer {
	if l.stoppedTimers > max(minStoppedTimers, len(l.timers)/2) {
		l.timers.removeStopped()
		l.stoppedTimers = 0
	}
	l.timers.push(timerEntry{l.Now() + max(0, seconds), t})
	return t
}

// popTimer removes the timer that is due first and returns it.
func (l *Loop) popTimer() *Timer {
	t := l.timers.pop()
	t.loop = nil
	if t.stopped() {
		l.stoppedTimers--
	}
	return t
}

// timerEntry is a timer and its due time, which is stored here so that comparing entries follows no pointer.
type timerEntry struct {
	at    float64
	timer *Timer
}

// timerHeap is a 4-ary min-heap. With several timers per command it has tens of thousands of entries; compared with a binary
// heap, half as many steps go through memory.
type timerHeap []timerEntry

// removeStopped removes the entries of stopped timers.
func (h *timerHeap) removeStopped() {
	all := *h
	*h = all[:0]
	for _, entry := range all {
		if !entry.timer.stopped() {
			h.push(entry)
		}
	}
	clear(all[len(*h):])
}

// push adds an entry.
func (h *timerHeap) push(entry timerEntry) {
	*h = append(*h, entry)
	entries := *h
	i := len(entries) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if entries[parent].at <= entry.at {
			break
		}
		entries[i] = entries[parent]
		i = parent
	}
	entries[i] = entry
}

// pop removes the timer that is due first and returns it.
func (h *timerHeap) pop() *Timer {
	entries := *h
	first, n := entries[0].timer, len(entries)-1
	last := entries[n]
	entries[n] = timerEntry{}
	entries = entries[:n]
	*h = entries
	i := 0
	for {
		child := 4*i + 1
		if child >= n {
			break
		}
		earliest := child
		for k := child + 1; k < min(child+4, n); k++ {
			if entries[k].at < entries[earliest].at {
				earliest = k
			}
		}
		if last.at <= entries[earliest].at {
			break
		}
		entries[i] = entries[earliest]
		i = earliest
	}
	if n > 0 {
		entries[i] = last
	}
	return first
}
