// This file load-tests one proxy: how many commands per second one core handles, and how much latency it adds. In the open loop
// the latency of a command counts from when it was due, not from when it was sent.

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
	latencySketchError = 0.01 // relative accuracy of latencies
	warmUpShare        = 0.3  // warm-up before a measurement, as a share of its duration
	openLoopShare      = 0.5  // rate of the open loop, as a share of the closed loop's rate
	directBackends     = 4    // number of simulated backends, which answer immediately
)

// Measurement is the result for one number of connections and body size, directly to the backends or through the proxy.
type Measurement struct {
	Connections, Body int
	ClosedLoopRate    float64    // commands per second; each connection sends when it has its answer
	CPU               float64    // CPU seconds of the proxy per command, 0 without a proxy
	OpenLoopRate      float64    // commands per second of the open loop
	Latency           [3]float64 // median, 99th and 99.9th percentile in seconds from when commands were due
	Failed            int
	HotFunctions      []string // functions with the most CPU time in the closed loop
}

// LoadTest measures one proxy in front of backends that answer immediately, and the same clients directly to these backends.
type LoadTest struct {
	Seconds      float64
	Program      []string // command that starts the proxy
	Env          []string
	Profile      bool    // take a CPU profile; the program has to call RunProxyIfRequested
	OpenLoopRate float64 // commands per second of the open loop; 0: half of the closed loop's rate through the proxy
}

// serveImmediately answers each command as soon as it is complete, on as many cores as it needs.
func serveImmediately(l net.Listener, body []byte) {
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

// contentLength is the only header that readHead parses.
var contentLength = []byte("Content-Length: ")

// readHead reads the headers of a message written by this package and returns the length of its body.
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

// loadConn is one client connection that sends one command after another.
type loadConn struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
	body   string
	idBase uint64
	sent   uint64
}

// call sends one command and waits for its answer. It connects if necessary.
func (c *loadConn) call() error {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReaderSize(conn, 8<<10)
	}
	c.sent++
	text := fmt.Appendf(nil, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %016x\r\nReq-Kind: pay\r\nReq-Owner: c0\r\n"+
		"Req-Deadline: 10\r\nContent-Length: %d\r\n\r\n%s",
		emulator.MixSeeds(c.idBase, c.sent), len(c.body), c.body)
	if _, err := c.conn.Write(text); err != nil {
		return c.disconnect(err)
	}
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return c.disconnect(err)
	}
	ok := bytes.HasPrefix(line, []byte("HTTP/1.1 200"))
	n, err := readHead(c.reader)
	if err != nil {
		return c.disconnect(err)
	}
	if _, err := io.CopyN(io.Discard, c.reader, n); err != nil {
		return c.disconnect(err)
	}
	if !ok {
		return errors.New("the command was not answered with status 200")
	}
	return nil
}

// disconnect closes the connection and returns err.
func (c *loadConn) disconnect(err error) error {
	c.conn.Close()
	c.conn = nil
	return err
}

// closedLoop lets each of conns clients send commands one after another. It returns commands per second and the number of failed
// ones. onMark is called at the start and at the end of the measurement.
func closedLoop(ctx context.Context, addrs []string, conns int, body string, seconds float64, onMark func()) (rate float64,
	failedCount int) {
	var done, failed atomic.Int64
	var counting atomic.Bool
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &loadConn{addr: addrs[i%len(addrs)], body: body, idBase: rand.Uint64()}
			for {
				select {
				case <-stop:
					if c.conn != nil {
						c.conn.Close()
					}
					return
				default:
				}
				err := c.call()
				if counting.Load() {
					if done.Add(1); err != nil {
						failed.Add(1)
					}
				}
			}
		}()
	}
	sleep(ctx, warmUpShare*seconds)
	onMark()
	counting.Store(true)
	from := time.Now()
	sleep(ctx, seconds)
	counting.Store(false)
	elapsed := time.Since(from).Seconds()
	onMark()
	close(stop)
	wait.Wait()
	return float64(done.Load()) / elapsed, int(failed.Load())
}

// sleep waits for a number of seconds or until ctx ends.
func sleep(ctx context.Context, seconds float64) {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	case <-ctx.Done():
	}
}

// spinBefore returns for how long a client busy-waits before a command is due: a quarter of the time between two commands, so
// that waiting uses at most a quarter of a core.
func spinBefore(rate float64) time.Duration {
	const least, most = 100 * time.Microsecond, 1500 * time.Microsecond
	return min(most, max(least, time.Duration(float64(time.Second)/rate/4)))
}

// openLoop sends commands at a fixed rate, whatever became of earlier ones. Each command takes the next free connection, and its
// latency counts from when it was due.
func openLoop(ctx context.Context, addrs []string, conns int, body string, rate, seconds float64) (latency [3]float64,
	failedCount int) {
	from := time.Now().Add(50 * time.Millisecond)
	first := int64(warmUpShare * seconds * rate)
	total := int64((1 + warmUpShare) * seconds * rate)
	spin := spinBefore(rate)
	var next atomic.Int64
	var failed atomic.Int64
	sketches := make([]*ddsketch.DDSketch, conns)
	var wait sync.WaitGroup
	for i := range conns {
		sketches[i], _ = ddsketch.NewDefaultDDSketch(latencySketchError)
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &loadConn{addr: addrs[i%len(addrs)], body: body, idBase: rand.Uint64()}
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
				if wait := time.Until(due); wait > 2*spin {
					time.Sleep(wait - spin)
				}
				for time.Until(due) > 0 { // busy-waits, since a sleep may be late by a millisecond
				}
				err := c.call()
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
		_ = all.MergeWith(s) // cannot fail, all sketches have the same parameters
	}
	for k, q := range []float64{0.5, 0.99, 0.999} {
		latency[k], _ = all.GetValueAtQuantile(q)
	}
	return latency, int(failed.Load())
}

// Run measures with a number of connections and a body size in bytes, first directly and then through a proxy.
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
	h := &Harness{world: w, seed: 1, program: l.Program, env: l.Env, dir: dir, lists: []*endpointHistory{newEndpointHistory()},
		recorder: &recorder{world: &w, start: time.Now(), requests: map[uint64]*requestRecord{}}}
	text := bytes.Repeat([]byte("x"), body)
	var addrs []string
	for i := range directBackends {
		ln, err := listenLoopback()
		if err != nil {
			return direct, through, err
		}
		defer ln.Close()
		go serveImmediately(ln, text)
		addrs = append(addrs, ln.Addr().String())
		h.lists[0].add(&backend{serial: i + 1, name: fmt.Sprintf("s-%d", i), address: addrs[i], machine: &machine{cores: 1}}, "ready")
	}
	profilePath := filepath.Join(dir, "profile")
	if l.Profile {
		h.env = append(append([]string(nil), l.Env...), profileEnv+"="+profilePath)
	}
	h.withoutChecker = true
	p, err := h.startProcess(0, 0, 0, 1, "")
	if err != nil {
		return direct, through, err
	}
	var cpu []float64
	none := func() {}
	direct, through = Measurement{Connections: conns, Body: body}, Measurement{Connections: conns, Body: body}
	direct.ClosedLoopRate, direct.Failed = closedLoop(ctx, addrs, conns, string(text), l.Seconds, none)
	through.ClosedLoopRate, through.Failed = closedLoop(ctx, []string{p.listen}, conns, string(text), l.Seconds,
		func() { cpu = append(cpu, cpuSeconds(p.cmd.Process.Pid)) })
	if through.ClosedLoopRate > 0 {
		through.CPU = (cpu[1] - cpu[0]) / l.Seconds / through.ClosedLoopRate
	}
	p.stop(shutdownTimeout)
	if l.Profile {
		if through.HotFunctions, err = hotFunctions(profilePath, 5); err != nil {
			return direct, through, err
		}
	}
	// Latency is measured on another process, so that the profile covers only the closed loop.
	h.env = l.Env
	if p, err = h.startProcess(0, 0, 0, 1, ""); err != nil {
		return direct, through, err
	}
	defer p.stop(shutdownTimeout)
	rate := l.OpenLoopRate
	if rate <= 0 {
		rate = openLoopShare * through.ClosedLoopRate
	}
	direct.OpenLoopRate, through.OpenLoopRate = rate, rate
	var failedCount int
	direct.Latency, failedCount = openLoop(ctx, addrs, conns, string(text), rate, l.Seconds)
	direct.Failed += failedCount
	through.Latency, failedCount = openLoop(ctx, []string{p.listen}, conns, string(text), rate, l.Seconds)
	through.Failed += failedCount
	return direct, through, ctx.Err()
}

// cpuSeconds returns the CPU time that a process has used.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	const tick = 0.01 // seconds, the unit of these fields on Linux
	user, _ := strconv.ParseFloat(string(fields[11]), 64)
	system, _ := strconv.ParseFloat(string(fields[12]), 64)
	return (user + system) * tick
}
