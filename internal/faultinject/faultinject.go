// Package injected has system calls, writings of files and the wall clock of a process under test fail or step as a line of
// text says. Test programs call Install before they start a proxy; nothing that operators run links it.
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

// Env is the environment's variable that has the rules, with commas between them:
//
//	socket@1=ENFILE       the first call fails
//	sync_file@3-9=EIO     so do the third to the ninth
//	epoll_ctl%7=ENOMEM    one call in seven fails, drawn by the seed
//	read%3=1              one read in three moves one byte at most
//	seed=5                for what is drawn; 0 without it
//	clock=-3600           the wall clock is so many seconds off when the process starts
//	clock~10              by a draw of so many seconds either way, by the seed and the name of the configuration's file
//
// Calls are those of internal/loop, and the steps of internal/statefile with _file behind.
const Env = "SANDPASS_INJECTED"

var errnos = map[string]unix.Errno{
	"EADDRINUSE": unix.EADDRINUSE, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "ECONNABORTED": unix.ECONNABORTED,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "EINTR": unix.EINTR, "EIO": unix.EIO, "EMFILE": unix.EMFILE, "ENETDOWN": unix.ENETDOWN,
	"ENETUNREACH": unix.ENETUNREACH, "ENFILE": unix.ENFILE, "ENOBUFS": unix.ENOBUFS, "ENOMEM": unix.ENOMEM,
	"ENOSPC": unix.ENOSPC, "EPERM": unix.EPERM, "EPROTO": unix.EPROTO, "ETIMEDOUT": unix.ETIMEDOUT,
}

// fileSuffix sets the steps of writing a file apart from the calls on sockets.
const fileSuffix = "_file"

// rule is one entry: which calls it is about, and what becomes of them.
type rule struct {
	call        string
	first, last int // numbers of the calls, from 1; or
	oneIn       int // the part of them that is drawn
	most        int // bytes moved at most, or
	err         error
}

// Plan is what a process is to suffer. It may be asked by several goroutines.
type Plan struct {
	ClockOffset time.Duration // by which the wall clock is off
	rules       []rule
	seed        uint64
	mu          sync.Mutex
	calls       map[string]int
}

// Parse reads rules.
func Parse(text string) (*Plan, error) {
	p := &Plan{calls: map[string]int{}}
	for _, word := range strings.Split(text, ",") {
		if word == "" {
			continue
		}
		if most, drawn := strings.CutPrefix(word, "clock~"); drawn {
			word = "clock=" + p.drawnClock(most)
		}
		name, value, found := strings.Cut(word, "=")
		if !found {
			return nil, fmt.Errorf("%q: no value", word)
		}
		if err := p.add(name, value); err != nil {
			return nil, fmt.Errorf("%q: %w", word, err)
		}
	}
	return p, nil
}

// drawnClock is a span of so many seconds at most either way.
func (p *Plan) drawnClock(most string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", p.seed, filepath.Base(os.Getenv("NODE_CONFIG")))
	span, _ := strconv.ParseFloat(most, 64)
	return strconv.FormatFloat(span*(float64(h.Sum64()>>40)/(1<<23)-1), 'f', 3, 64)
}

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
		if r.most, err = strconv.Atoi(value); err != nil || r.most < 1 {
			return fmt.Errorf("neither an error nor a number of bytes")
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

// next tells what becomes of the next such call.
func (p *Plan) next(call string) (most int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[call]++
	n := p.calls[call]
	for i, r := range p.rules {
		if r.call != call || r.oneIn == 0 && (n < r.first || n > r.last) || r.oneIn > 0 && !p.drawn(i, n, r.oneIn) {
			continue
		}
		if r.err != nil {
			return 0, r.err
		}
		most = r.most
	}
	return most, nil
}

func (p *Plan) drawn(rule, n, oneIn int) bool {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %d", p.seed, rule, n)
	return (h.Sum64()>>20)%uint64(oneIn) == 0
}

// Loop is the plan as a loop asks it.
func (p *Plan) LoopFault(call loop.Syscall) (int, error) { return p.next(string(call)) }

// File is the plan as the writings of files ask it.
func (p *Plan) FileFault(step statefile.Step) error {
	_, err := p.next(string(step) + fileSuffix)
	return err
}

// Install has this process suffer what the environment says, if anything.
func Install() error {
	text := os.Getenv(Env)
	if text == "" {
		return nil
	}
	p, err := Parse(text)
	if err != nil {
		return fmt.Errorf("%s: %w", Env, err)
	}
	loop.Faults, statefile.FaultHook = p.LoopFault, p.FileFault
	loop.WallClock = func() time.Time { return time.Now().Add(p.ClockOffset) }
	return nil
}
