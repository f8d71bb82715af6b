// This file owns the measure of one proxy: how many commands a second one core carries, and what it adds to each. It must
// never count a command from when it was sent instead of from when it was due.

package testbed

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"sandpass/internal/emulator"
)

const (
	sketchError = 0.01 // relative, of latencies
	settle      = 0.3  // part of a measure that goes before and is not counted
	openPart    = 0.5  // of the closed loop's rate, at which latency is measured in open loop
	straight    = 4    // stand-ins that answer at once
)

// Measure is one line: so many connections, straight to the backends or through the proxy.
type Measurement struct {
	Connections, Body int
	ClosedLoopRate    float64    // commands a second, each connection sending when it has its answer
	CPU               float64    // seconds of the proxy's core for each command, 0 straight
	OpenLoopRate      float64    // commands a second of the open loop
	Latency           [3]float64 // median, 99%, 99.9% in seconds from when they were due
	Failed            int
	HotFunctions      []string // functions of the proxy's profile in the closed loop
}

// Load measures one proxy before stand-ins that answer at once, and the same clients straight to these.
type LoadTest struct {
	Seconds      float64
	Program      []string // starts the proxy
	Env          []string
	Profile      bool    // the program is one that calls Here
	OpenLoopRate float64 // commands a second of the open loop, 0: half of what the closed loop reached through the proxy
}

// answerAtOnce answers every command as soon as it is whole, over so much of the machine as it needs.
func answerAtOnce(l net.Listener, body []byte) {
	head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	text := append(head, body...)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReaderSize(c, 8<<10)
			for {
				n, err := readHead(in)
				if err != nil {
					return
				}
				if _, err := io.CopyN(io.Discard, in, n); err != nil {
					return
				}
				if _, err := c.Write(text); err != nil {
					return
				}
			}
		}()
	}
}

var contentLength = []byte("Content-Length: ")

// readHead reads a head of our own making and gives the length of its body.
func readHead(in *bufio.Reader) (int64, error) {
	n := int64(0)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return n, nil
		}
		if bytes.HasPrefix(line, contentLength) {
			if n, err = strconv.ParseInt(string(line[len(contentLength):]), 10, 64); err != nil {
				return 0, err
			}
		}
	}
}

// counter is one client's connection, which sends command after command.
type counter struct {
	at   string
	conn net.Conn
	in   *bufio.Reader
	body string
	base uint64
	n    uint64
}

func (c *counter) once() error {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.at)
		if err != nil {
			return err
		}
		c.conn, c.in = conn, bufio.NewReaderSize(conn, 8<<10)
	}
	c.n++
	text := fmt.Appendf(nil, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %016x\r\nReq-Kind: pay\r\nReq-Owner: c0\r\nReq-Deadline: 10\r\nContent-Length: %d\r\n\r\n%s",
		emulator.MixSeeds(c.base, c.n), len(c.body), c.body)
	if _, err := c.conn.Write(text); err != nil {
		return c.lost(err)
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return c.lost(err)
	}
	ok := bytes.HasPrefix(line, []byte("HTTP/1.1 200"))
	n, err := readHead(c.in)
	if err != nil {
		return c.lost(err)
	}
	if _, err := io.CopyN(io.Discard, c.in, n); err != nil {
		return c.lost(err)
	}
	if !ok {
		return errors.New("not answered")
	}
	return nil
}

func (c *counter) lost(err error) error {
	c.conn.Close()
	c.conn = nil
	return err
}

// closed has so many clients send one after another, and gives commands a second and how many failed.
func closed(ctx context.Context, at []string, conns int, body string, seconds float64, begun func()) (rate float64, bad int) {
	var done, failed atomic.Int64
	var counting atomic.Bool
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &counter{at: at[i%len(at)], body: body, base: rand.Uint64()}
			for {
				select {
				case <-stop:
					if c.conn != nil {
						c.conn.Close()
					}
					return
				default:
				}
				err := c.once()
				if counting.Load() {
					if done.Add(1); err != nil {
						failed.Add(1)
					}
				}
			}
		}()
	}
	pause(ctx, settle*seconds)
	begun()
	counting.Store(true)
	from := time.Now()
	pause(ctx, seconds)
	counting.Store(false)
	took := time.Since(from).Seconds()
	begun()
	close(stop)
	wait.Wait()
	return float64(done.Load()) / took, int(failed.Load())
}

func pause(ctx context.Context, seconds float64) {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	case <-ctx.Done():
	}
}

// awakeBefore is for how long before a command is due its client no longer sleeps: a quarter of the time between two
// commands, so that waiting takes a quarter of a core at most.
func awakeBefore(rate float64) time.Duration {
	const least, most = 100 * time.Microsecond, 1500 * time.Microsecond
	return min(most, max(least, time.Duration(float64(time.Second)/rate/4)))
}

// open has commands come at a rate, whatever became of those before; a free connection takes the next, and latency
// counts from when it was due.
func open(ctx context.Context, at []string, conns int, body string, rate, seconds float64) (late [3]float64, bad int) {
	from := time.Now().Add(50 * time.Millisecond)
	first := int64(settle * seconds * rate)
	total := int64((1 + settle) * seconds * rate)
	awake := awakeBefore(rate)
	var next atomic.Int64
	var failed atomic.Int64
	sketches := make([]*ddsketch.DDSketch, conns)
	var wait sync.WaitGroup
	for i := range conns {
		sketches[i], _ = ddsketch.NewDefaultDDSketch(sketchError)
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &counter{at: at[i%len(at)], body: body, base: rand.Uint64()}
			defer func() {
				if c.conn != nil {
					c.conn.Close()
				}
			}()
			for ctx.Err() == nil {
				n := next.Add(1) - 1
				if n >= total {
					return
				}
				due := from.Add(time.Duration(float64(n) / rate * float64(time.Second)))
				if wait := time.Until(due); wait > 2*awake {
					time.Sleep(wait - awake)
				}
				for time.Until(due) > 0 { // the last of it without sleep, which may be late by a millisecond
				}
				err := c.once()
				if n >= first {
					if err != nil {
						failed.Add(1)
					}
					_ = sketches[i].Add(time.Since(due).Seconds())
				}
			}
		}()
	}
	wait.Wait()
	all := sketches[0]
	for _, s := range sketches[1:] {
		_ = all.MergeWith(s) // of one kind, so it can't fail
	}
	for k, q := range []float64{0.5, 0.99, 0.999} {
		late[k], _ = all.GetValueAtQuantile(q)
	}
	return late, int(failed.Load())
}

// Run measures at so many connections with bodies of so many bytes: straight first, then through a proxy.
func (l *LoadTest) Run(ctx context.Context, conns, body int) (direct, through Measurement, err error) {
	dir, err := os.MkdirTemp("", "sandlab-")
	if err != nil {
		return direct, through, err
	}
	defer os.RemoveAll(dir)
	w := emulator.Default()
	w.Tiers = w.Tiers[:1]
	w.Zones, w.Customers = 1, []emulator.Customer{{Share: 1, Allowance: 1}}
	w.Rate = 1e6
	w.Verbs = []emulator.Verb{{Name: "pay", Effect: "effectful", Goal: 5, Limit: 10, Utility: 1, Share: 1, Work: []float64{0.001}}}
	r := &Harness{world: w, seed: 1, program: l.Program, env: l.Env, dir: dir, lists: []*tierList{newTierList()},
		books: &books{world: &w, start: time.Now(), all: map[uint64]*record{}}}
	text := bytes.Repeat([]byte("x"), body)
	var at []string
	for i := range straight {
		ln, err := listen()
		if err != nil {
			return direct, through, err
		}
		defer ln.Close()
		go answerAtOnce(ln, text)
		at = append(at, ln.Addr().String())
		r.lists[0].add(&backend{serial: i + 1, name: fmt.Sprintf("s-%d", i), address: at[i], machine: &machine{cores: 1}}, "ready")
	}
	place := filepath.Join(dir, "profile")
	if l.Profile {
		r.env = append(append([]string(nil), l.Env...), profileEnv+"="+place)
	}
	r.quiet = true
	p, err := r.startProcess(0, 0, 0, 1, "")
	if err != nil {
		return direct, through, err
	}
	var used []float64
	none := func() {}
	direct, through = Measurement{Connections: conns, Body: body}, Measurement{Connections: conns, Body: body}
	direct.ClosedLoopRate, direct.Failed = closed(ctx, at, conns, string(text), l.Seconds, none)
	through.ClosedLoopRate, through.Failed = closed(ctx, []string{p.listen}, conns, string(text), l.Seconds,
		func() { used = append(used, processor(p.cmd.Process.Pid)) })
	if through.ClosedLoopRate > 0 {
		through.CPU = (used[1] - used[0]) / l.Seconds / through.ClosedLoopRate
	}
	p.stop(endWithin)
	if l.Profile {
		if through.HotFunctions, err = dearest(place, 5); err != nil {
			return direct, through, err
		}
	}
	// Latency on another process, so that the profile is of the closed loop alone.
	r.env = l.Env
	if p, err = r.startProcess(0, 0, 0, 1, ""); err != nil {
		return direct, through, err
	}
	defer p.stop(endWithin)
	rate := l.OpenLoopRate
	if rate <= 0 {
		rate = openPart * through.ClosedLoopRate
	}
	direct.OpenLoopRate, through.OpenLoopRate = rate, rate
	var bad int
	direct.Latency, bad = open(ctx, at, conns, string(text), rate, l.Seconds)
	direct.Failed += bad
	through.Latency, bad = open(ctx, []string{p.listen}, conns, string(text), rate, l.Seconds)
	through.Failed += bad
	return direct, through, ctx.Err()
}

// processor is the time in seconds that a process has had of a core.
func processor(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const tick = 0.01 // seconds: what Linux counts these in
	user, _ := strconv.ParseFloat(string(fields[11]), 64)
	system, _ := strconv.ParseFloat(string(fields[12]), 64)
	return (user + system) * tick
}
