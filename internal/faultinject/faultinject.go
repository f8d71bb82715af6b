// Package faultinject injects faults into a process under test: failing system calls, failing file writes and a wall clock with
// an offset, as a line of rules says. Test programs call Install before they start a proxy. No production program links it.
package faultinject

import (
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sandpass/internal/loop"
	"sandpass/internal/statefile"
)

// Env is the environment variable with the rules, separated by commas:
//
//	socket@1=ENFILE       the first call fails
//	sync_file@3-9=EIO     the third to the ninth call fail
//	epoll_ctl%7=ENOMEM    one call in seven fails, drawn from the seed
//	read%3=1              one read in three moves at most one byte
//	seed=5                seed of the draws, default 0
//	clock=-3600           offset of the wall clock in seconds, from the start of the process
//	clock~10              offset drawn from -10 s to 10 s, from the seed and the name of the configuration file
//
// Calls are those of internal/loop, and the steps of internal/statefile with the suffix _file.
const Env = "SANDPASS_INJECTED"

// errnos are the errors that a rule may name.
var errnos = map[string]unix.Errno{
	"EADDRINUSE": unix.EADDRINUSE, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "ECONNABORTED": unix.ECONNABORTED,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "EINTR": unix.EINTR, "EIO": unix.EIO, "EMFILE": unix.EMFILE, "ENETDOWN": unix.ENETDOWN,
	"ENETUNREACH": unix.ENETUNREACH, "ENFILE": unix.ENFILE, "ENOBUFS": unix.ENOBUFS, "ENOMEM": unix.ENOMEM,
	"ENOSPC": unix.ENOSPC, "EPERM": unix.EPERM, "EPROTO": unix.EPROTO, "ETIMEDOUT": unix.ETIMEDOUT,
}

// fileSuffix distinguishes the steps of writing a file from the calls on sockets.
const fileSuffix = "_file"

// rule is one entry of the rules: the calls it applies to and the effect on them.
type rule struct {
	call        string
	first, last int // numbers of the calls, counted from 1; used if oneIn is 0
	oneIn       int // one call in this many is drawn
	maxBytes    int // bytes moved at most; used if err is nil
	err         error
}

// Plan holds the faults to inject into a process. It is safe for concurrent use.
type Plan struct {
	ClockOffset time.Duration // offset of the wall clock
	rules       []rule
	seed        uint64
	mu          sync.Mutex
	calls       map[string]int
}

// Parse parses rules separated by commas.
func Parse(text string) (*Plan, error) {
	p := &Plan{calls: map[string]int{}}
	for _, entry := range strings.Split(text, ",") {
		if entry == "" {
			continue
		}
		if limit, drawn := strings.CutPrefix(entry, "clock~"); drawn {
			entry = "clock=" + p.drawClockOffset(limit)
		}
		name, value, found := strings.Cut(entry, "=")
		if !found {
			return nil, fmt.Errorf("%q: no value", entry)
		}
		if err := p.add(name, value); err != nil {
			return nil, fmt.Errorf("%q: %w", entry, err)
		}
	}
	return p, nil
}

// drawClockOffset draws an offset of at most limit seconds in either direction.
func (p *Plan) drawClockOffset(limit string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", p.seed, filepath.Base(os.Getenv("NODE_CONFIG")))
	span, _ := strconv.ParseFloat(limit, 64)
	return strconv.FormatFloat(span*(float64(h.Sum64()>>40)/(1<<23)-1), 'f', 3, 64)
}

// add parses one entry.
func (p *Plan) add(name, value string) (err error) {
	switch name {
	case "seed":
		p.seed, err = strconv.ParseUint(value, 10, 64)
		return err
	case "clock":
		seconds, err := strconv.ParseFloat(value, 64)
		p.ClockOffset = time.Duration(seconds * float64(time.Second))
		return err
	}
	r := rule{err: errnos[value]}
	if r.err == unix.Errno(0) {
		if r.maxBytes, err = strconv.Atoi(value); err != nil || r.maxBytes < 1 {
			return fmt.Errorf("neither an error name nor a number of bytes")
		}
		r.err = nil
	}
	if call, part, drawn := strings.Cut(name, "%"); drawn {
		r.call = call
		r.oneIn, err = strconv.Atoi(part)
	} else {
		call, numbers, _ := strings.Cut(name, "@")
		from, to, span := strings.Cut(numbers, "-")
		if r.call, to = call, map[bool]string{true: to, false: from}[span]; err == nil {
			r.first, err = strconv.Atoi(from)
		}
		if err == nil {
			r.last, err = strconv.Atoi(to)
		}
	}
	p.rules = append(p.rules, r)
	return err
}

// apply counts a call and returns its effect: a bound on the bytes moved, 0 for none, or an error.
func (p *Plan) apply(call string) (maxBytes int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[call]++
	n := p.calls[call]
	for i, r := range p.rules {
		if r.call != call || r.oneIn == 0 && (n < r.first || n > r.last) || r.oneIn > 0 && !p.isDrawn(i, n, r.oneIn) {
			continue
		}
		if r.err != nil {
			return 0, r.err
		}
		maxBytes = r.maxBytes
	}
	return maxBytes, nil
}

// isDrawn reports whether the n-th call is drawn for a rule.
func (p *Plan) isDrawn(rule, n, oneIn int) bool {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %d", p.seed, rule, n)
	return (h.Sum64()>>20)%uint64(oneIn) == 0
}

// LoopFault is the loop.FaultFunc of the plan.
func (p *Plan) LoopFault(call loop.Syscall) (int, error) { return p.apply(string(call)) }

// FileFault is the fault function of the plan for file writes.
func (p *Plan) FileFault(step statefile.Step) error {
	_, err := p.apply(string(step) + fileSuffix)
	return err
}

// Install injects the faults given in the environment variable Env, if any, into this process.
func Install() error {
	text := os.Getenv(Env)
	if text == "" {
		return nil
	}
	p, err := Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", Env, err)
	}
	loop.FaultHook, statefile.FaultHook = p.LoopFault, p.FileFault
	loop.WallClock = func() time.Time { return time.Now().Add(p.ClockOffset) }
	return nil
}
