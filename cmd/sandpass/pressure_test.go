package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	leastMemoryMB   = 32   // least memory limit that the platform sets
	mostDescriptors = 1024 // most descriptors that it allows
	crowdSize       = 500  // connections; clients may hold 582 of 1,024 descriptors
	slowRate        = 64e3 // bytes a second of the slowest clients that are served
)

// constrainedProxy is the program as operators build it, under the platform's least memory limit.
type constrainedProxy struct {
	t       *testing.T
	cmd     *exec.Cmd
	out     *output
	address string
}

// buildProgram builds the program, without tests.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sandpass")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// writeConstrainedConfig writes a configuration with the least memory and as many backends, all at one address.
func writeConstrainedConfig(t *testing.T, listen string, backend net.Addr, backends int) (path string) {
	t.Helper()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	text = bytes.ReplaceAll(text, []byte(`"time_limit_ms": 3000`), []byte(`"time_limit_ms": 6000`))
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	var entries []any
	for n := range backends {
		entries = append(entries, map[string]any{"name": fmt.Sprintf("s-%07x", n), "address": backend.String(), "zone": "a", "group": n / 3,
			"status": "ready", "weight": 1, "since_ms": 0})
	}
	c["known"] = map[string]any{"index": 1, "snapshot": true, "endpoints": entries}
	c["limits"] = map[string]any{"cores": 1.0, "memory_mb": leastMemoryMB, "sockets": mostDescriptors}
	c["listen"], c["ops"], c["discovery"] = listen, "127.0.0.1:0", "127.0.0.1:1"
	path = filepath.Join(t.TempDir(), "c.json")
	if text, err = json.Marshal(c); err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// startConstrained starts the program with as many backends, all at one address, and waits until it is ready.
func startConstrained(t *testing.T, program string, backend net.Addr, backends int) *constrainedProxy {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &constrainedProxy{t: t, address: free.Addr().String(), out: &output{}}
	free.Close()
	p.cmd = exec.Command(program, "serve", "--config", writeConstrainedConfig(t, p.address, backend, backends))
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill(); p.cmd.Wait() })
	awaitReady(t, p.address)
	return p
}

// awaitReady waits until the process at the address is ready.
func awaitReady(t *testing.T, address string) {
	t.Helper()
	for range 500 {
		c, err := net.Dial("tcp", address)
		if err == nil {
			answer := roundTrip(c, "GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			c.Close()
			if strings.HasPrefix(answer, "HTTP/1.1 200") {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("not ready")
}

// roundTrip writes a request and reads until the connection ends.
func roundTrip(c net.Conn, request string) string {
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, request)
	answer, _ := io.ReadAll(c)
	return string(answer)
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemoryMB returns the most memory that the process has had resident, in MiB.
func (p *constrainedProxy) peakMemoryMB() float64 {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("the process has ended: %v, %s", err, p.out)
	}
	kilobytes, err := strconv.Atoi(string(peakPattern.FindSubmatch(text)[1]))
	if err != nil {
		p.t.Fatal(err)
	}
	return float64(kilobytes) / 1024
}

// serveBackend passes each connection to a function.
func serveBackend(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { serve(c); c.Close() }()
		}
	}()
	return l
}

// readSlowly discards what comes at the given rate, in bytes a second, until the connection ends.
func readSlowly(c net.Conn, rate float64) {
	part := make([]byte, int(rate/20))
	for _, err := io.ReadFull(c, part); err == nil; _, err = io.ReadFull(c, part) {
		time.Sleep(50 * time.Millisecond)
	}
}

// writeSlowly writes at the given rate, in bytes a second, until the duration has passed or the connection ends.
func writeSlowly(c net.Conn, text []byte, rate float64, duration time.Duration) {
	step := int(rate / 20)
	for until := time.Now().Add(duration); len(text) > 0 && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n := min(step, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// crowd has many clients act at once, each on a connection of its own, and waits for all.
func crowd(address string, act func(n int, c net.Conn)) {
	var clients sync.WaitGroup
	for n := range crowdSize {
		clients.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer c.Close()
			act(n, c)
		})
	}
	clients.Wait()
}

// requestHead returns the head of a request without the empty line.
func requestHead(method, verb string, n int, fields string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: a\r\nReq-Id: id-%d\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline: 6\r\n%s",
		method, verb, n, verb, fields)
}

// Guards against a process that passes its memory limit under a crowd: hundreds of clients that write slowly, stop half way
// through a large request, send heads of very many short fields, or read long answers slowly.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	program := buildProgram(t)
	const actSeconds = 4 * time.Second
	large := bytes.Repeat([]byte("x"), 900<<10)
	shortFields := strings.Repeat("a:\r\n", 3900)
	smallChunks := bytes.Repeat([]byte("1\r\nx\r\n"), 4096)
	longAnswer := serveBackend(t, func(c net.Conn) {
		in := make([]byte, 4096)
		for {
			if _, err := c.Read(in); err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 4<<20)
			for range 64 {
				if _, err := c.Write(large[:64<<10]); err != nil {
					return
				}
			}
		}
	})
	slowReader := serveBackend(t, func(c net.Conn) { readSlowly(c, slowRate) })
	hung := serveBackend(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	slowWriters := func(n int, c net.Conn) {
		io.WriteString(c, requestHead("POST", "pay", n, "Content-Length: 250000\r\n\r\n"))
		writeSlowly(c, large[:250000], slowRate, actSeconds)
	}
	stopped := func(n int, c net.Conn) {
		io.WriteString(c, requestHead("POST", "pay", n, "Content-Length: 921600\r\n\r\n"))
		c.Write(large[:450<<10])
		time.Sleep(actSeconds)
	}
	stoppedBuffered := func(n int, c net.Conn) {
		io.WriteString(c, requestHead("POST", "pay", n, "Content-Length: 250000\r\n\r\n"))
		c.Write(large[:125000])
		time.Sleep(actSeconds)
	}
	manyFields := func(n int, c net.Conn) {
		io.WriteString(c, requestHead("GET", "look", n, shortFields))
		time.Sleep(actSeconds)
	}
	slowReaders := func(n int, c net.Conn) {
		io.WriteString(c, requestHead("GET", "look", n, "\r\n"))
		c.SetDeadline(time.Now().Add(actSeconds))
		readSlowly(c, slowRate)
	}
	completeHeads := func(n int, c net.Conn) {
		io.WriteString(c, requestHead("GET", "look", n, shortFields+"\r\n"))
		time.Sleep(actSeconds)
	}
	chunks := func(n int, c net.Conn) {
		io.WriteString(c, requestHead("POST", "pay", n, "Transfer-Encoding: chunked\r\n\r\n"))
		c.SetDeadline(time.Now().Add(actSeconds))
		for _, err := c.Write(smallChunks); err == nil; _, err = c.Write(smallChunks) {
		}
	}
	sendsAhead := func(n int, c net.Conn) {
		c.SetDeadline(time.Now().Add(actSeconds))
		for i := range 200 {
			io.WriteString(c, requestHead("POST", "pay", 1000*n+i, "Content-Length: 4096\r\n\r\n"))
			if _, err := c.Write(large[:4096]); err != nil {
				return
			}
		}
		io.Copy(io.Discard, c)
	}
	kinds := []func(int, net.Conn){slowWriters, stopped, stoppedBuffered, manyFields, slowReaders, completeHeads, chunks, sendsAhead}
	mixed := func(n int, c net.Conn) { kinds[n%len(kinds)](n, c) }
	const mostBackends = 3200
	for _, test := range []struct {
		name    string
		backend net.Listener
		act     func(int, net.Conn)
	}{
		{"nothing", longAnswer, func(int, net.Conn) {}},
		{"slow writers", slowReader, slowWriters},
		{"stopped half way", slowReader, stopped},
		{"stopped half way in a buffered body", slowReader, stoppedBuffered},
		{"many short fields", longAnswer, manyFields},
		{"slow readers", longAnswer, slowReaders},
		{"complete heads of many short fields", hung, completeHeads},
		{"bodies of very small chunks", slowReader, chunks},
		{"requests sent ahead", hung, sendsAhead},
		{"mixed, long answers", longAnswer, mixed},
		{"mixed, slow backend", slowReader, mixed},
		{"mixed, 3,200 backends", longAnswer, mixed},
		{"nothing, 3,200 backends", longAnswer, func(int, net.Conn) {}},
		{"three waves", longAnswer, func(n int, c net.Conn) {
			mixed(n, c)
			for range 2 {
				if c, err := net.Dial("tcp", c.RemoteAddr().String()); err == nil {
					mixed(n+1, c)
					c.Close()
				}
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			backends := 1
			if strings.Contains(test.name, "3,200 backends") {
				backends = mostBackends
			}
			p := startConstrained(t, program, test.backend.Addr(), backends)
			crowd(p.address, test.act)
			peak := p.peakMemoryMB()
			t.Logf("peak %.1f MiB of %d", peak, leastMemoryMB)
			if peak > leastMemoryMB {
				t.Errorf("peak of %.1f MiB over the limit of %d", peak, leastMemoryMB)
			}
		})
	}
}
