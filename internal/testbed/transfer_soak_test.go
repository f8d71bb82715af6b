package testbed

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sandpass/internal/faultnet"
)

const (
	transferClients       = 16
	transferBackends      = 4
	transferRunSeconds    = 4.0    // before the SIGTERM
	shortAnswerBytes      = 64_000 // up to 64 KiB an answer's time is that of its last byte, beyond that of its first
	departureSlackSeconds = 0.15   // an attempt may begin 0.1 s after its client left; the rest is for the machine
	memorySampleInterval  = 50 * time.Millisecond
	maxCrowd              = 300 // bad clients that are connected at once
)

// transferSettings are the settings of a run, for a time limit in milliseconds, "true" or "false" for relays that may be cancelled.
const transferSettings = `{"me": 0, "siblings": 1, "tier": 0, "discovery": "pushed", "azs": ["a"],
 "limits": {"max_relays": 3, "second_copies": true, "cancel": %[2]t, "retry_after": true, "max_retry_after_ms": 2000,
  "connect_timeout_ms": 250, "conn_idle_ms": 30000, "max_open": 1000},
 "load_info": {"fields": [], "how": "none"}, "overage_utility": 0.1, "tick_ms": 5,
 "safety": {"cold_share": 0.3, "cold_ms": 3000, "fall_multiple": 2.5, "drain_grace_ms": 400},
 "realms": [{"name": "acme", "allowance_per_s": 1000}],
 "verbs": [
  {"name": "look", "effect": "idempotent", "key_scope": "all", "window_ms": 5000, "response_goal_ms": %[1]d,
   "time_limit_ms": %[1]d, "utility": 1, "overdue_utility": 0.5, "stream": false},
  {"name": "pay", "effect": "at_most_once", "key_scope": "all", "window_ms": 5000, "response_goal_ms": %[1]d,
   "time_limit_ms": %[1]d, "utility": 5, "overdue_utility": 0.5, "stream": false},
  {"name": "order", "effect": "deduplicated", "key_scope": "cell", "window_ms": 5000, "response_goal_ms": %[1]d,
   "time_limit_ms": %[1]d, "utility": 5, "overdue_utility": 0.5, "stream": false}]}`

// transferRequest is what is known of one Req-Id.
type transferRequest struct {
	verb       string
	plan       transferPlan
	cells      []int // in which it was begun, in order
	notRun     int   // runs that ended as declined
	leftAt     time.Time
	cut        bool // a backend could not write a sound answer to its end
	cutAt      time.Time
	died       bool    // a backend was stopped while it answered
	begunAfter float64 // seconds from the client's departure to the latest begin, if it left
}

// transferWorld is one run: a proxy process, its backends and clients, and what they have seen.
type transferWorld struct {
	t          *testing.T
	seed       uint64
	limit      float64
	memoryMB   int
	address    string
	discovery  *transferDiscovery
	mu         sync.Mutex
	requests   map[string]*transferRequest
	violations []string
	counts     map[string]int
	peakMemory float64
	resets     bool // connections to backends are reset on the way
	processes  []*transferProcess
	stoppedAt  time.Time // when the last SIGTERM was sent
	killedAt   time.Time // when the last SIGKILL was sent to a process that still ran
}

// broken records a broken rule.
func (w *transferWorld) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// count counts an event of a run.
func (w *transferWorld) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// began records that a backend has read a request whole.
func (w *transferWorld) began(id string, cell int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.requests[id]
	if r == nil {
		return // a bad client's
	}
	r.cells = append(r.cells, cell)
	if !r.leftAt.IsZero() {
		r.begunAfter = time.Since(r.leftAt).Seconds()
	}
}

// neverRan records that a backend has declined a request.
func (w *transferWorld) neverRan(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.requests[id]; r != nil {
		r.notRun++
	}
}

// cutOff records that the proxy ended the connection under a sound answer.
func (w *transferWorld) cutOff(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.requests[id]; r != nil {
		r.cut, r.cutAt = true, time.Now()
	}
}

// backendStopped records that a backend was stopped while it answered a request.
func (w *transferWorld) backendStopped(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.requests[id]; r != nil {
		r.died = true
	}
}

// drawPlan draws how a request is read and answered.
func (w *transferWorld) drawPlan(rng *rand.Rand) transferPlan {
	p := transferPlan{framing: []string{"length", "chunks", "close"}[rng.IntN(3)], size: 10 + rng.IntN(3000), piece: 16 << 10,
		work: w.limit * 0.3 * rng.Float64()}
	switch rng.IntN(8) {
	case 0: // a late body
		p.size, p.afterHead = 1000+rng.IntN(240_000), 0.3+0.7*rng.Float64()
	case 1: // in lumps
		p.size, p.piece, p.betweenIO = 70_000+rng.IntN(120_000), 30_000+rng.IntN(40_000), 0.2+0.6*rng.Float64()
	case 2: // long and slow
		p.size, p.piece, p.betweenIO = 100_000+rng.IntN(200_000), 8_000, 0.05
	case 3:
		p.fault = []string{"reset", "error", "decline"}[rng.IntN(3)]
	case 4:
		p.size = 300_000 + rng.IntN(1_500_000)
	}
	return p
}

// run sends requests until the time is over.
func (w *transferWorld) run(n int, until time.Time) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(n)))
	var c net.Conn
	var in *bufio.Reader
	used := false
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for serial := 0; time.Now().Before(until); serial++ {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", w.address); err != nil {
				time.Sleep(20 * time.Millisecond)
				c = nil
				continue
			}
			in, used = bufio.NewReader(c), false
		}
		if !w.exchange(c, in, rng, fmt.Sprintf("%d-%d-%d", w.seed, n, serial), used) {
			c.Close()
			c = nil
		}
		used = true
		time.Sleep(seconds(0.1 * rng.Float64()))
	}
}

// exchange sends one request and judges its answer. It reports whether the connection can carry another.
func (w *transferWorld) exchange(c net.Conn, in *bufio.Reader, rng *rand.Rand, id string, used bool) (reusable bool) {
	verb := []string{"look", "pay", "order"}[rng.IntN(3)]
	plan := w.drawPlan(rng)
	body, framing := []byte(nil), "Content-Length: 0\r\n"
	if verb != "look" && rng.IntN(3) == 0 {
		body = numbered(1000 + rng.IntN(1_200_000))
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if rng.IntN(2) == 0 {
			framing = "Transfer-Encoding: chunked\r\n"
			body = chunked(body)
		}
		switch rng.IntN(4) {
		case 0:
			plan.readRate = 50_000 + rng.IntN(300_000)
		case 1:
			plan.stopReading = 1 + rng.IntN(40_000)
		}
	}
	method := "POST"
	if verb == "look" {
		method = "GET"
	}
	head := fmt.Sprintf("%s /%s/x?%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline: %.3f\r\n"+
		"Idempotency-Key: %s\r\n%s\r\n", method, verb, plan.query(), id, verb, w.limit, id, framing)
	if verb == "look" {
		head = strings.Replace(head, "Idempotency-Key: "+id+"\r\nContent-Length: 0\r\n", "", 1)
	}
	record := &transferRequest{verb: verb, plan: plan}
	w.mu.Lock()
	w.requests[id] = record
	w.mu.Unlock()
	w.count("sent")
	started := time.Now()
	c.SetDeadline(started.Add(seconds(3*w.limit + 20)))
	answer := make(chan answerSeen, 1)
	go func() { answer <- readAnswerSeen(c, in) }()
	if _, err := c.Write([]byte(head)); err == nil {
		c.Write(body) // an answer may come before all of it is written
	}
	written := time.Now()
	leaves := rng.IntN(8) == 0
	if leaves {
		select {
		case <-time.After(seconds(rng.Float64() * w.limit)):
			w.leave(c, record, rng, head, body, verb)
			<-answer
			return false
		case seen := <-answer:
			return w.judge(id, record, plan, seen, started, written, used)
		}
	}
	return w.judge(id, record, plan, <-answer, started, written, used)
}

// leave closes a client's connection. Some clients send the same request once more on another one.
func (w *transferWorld) leave(c net.Conn, record *transferRequest, rng *rand.Rand, head string, body []byte, verb string) {
	w.mu.Lock()
	record.leftAt = time.Now()
	w.mu.Unlock()
	c.Close()
	w.count("left")
	if verb == "look" || rng.IntN(2) == 0 {
		return
	}
	time.Sleep(seconds(0.3 * rng.Float64()))
	again, err := net.Dial("tcp", w.address)
	if err != nil {
		return
	}
	defer again.Close()
	w.count("came again")
	w.mu.Lock()
	record.leftAt = time.Time{} // it is served if it has not run
	w.mu.Unlock()
	again.SetDeadline(time.Now().Add(seconds(3 * w.limit)))
	go func() {
		again.Write([]byte(head))
		again.Write(body)
	}()
	http.ReadResponse(bufio.NewReader(again), nil)
}

// answerSeen is an answer as its client has seen it.
type answerSeen struct {
	status      int // 0 if the connection ended first
	body        []byte
	err         error // of reading the body
	firstAt     time.Time
	endedAt     time.Time
	keepsAlive  bool
	anyBytes    bool
	contentKind string
}

// readAnswerSeen reads an answer.
func readAnswerSeen(c net.Conn, in *bufio.Reader) (seen answerSeen) {
	defer func() { seen.endedAt = time.Now() }()
	if _, err := in.Peek(1); err != nil {
		seen.err = err
		return seen
	}
	seen.firstAt, seen.anyBytes = time.Now(), true
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		seen.err = err
		return seen
	}
	seen.status, seen.keepsAlive = response.StatusCode, !response.Close
	seen.body, seen.err = io.ReadAll(response.Body)
	return seen
}

// judge records what an answer breaks of the rules on lost requests, and reports whether the connection can carry another request.
func (w *transferWorld) judge(id string, r *transferRequest, plan transferPlan, seen answerSeen, started, written time.Time, used bool) bool {
	w.mu.Lock()
	runs, cut, cutAt, died := len(r.cells), r.cut, r.cutAt, r.died
	stoppedAt, killedAt := w.stoppedAt, w.killedAt
	w.mu.Unlock()
	killed := !killedAt.IsZero() && seen.endedAt.Sub(killedAt).Abs() < 300*time.Millisecond
	due := written.Add(seconds(w.limit))
	// An answer that has begun and can't be finished has failed; what is sent soon after the SIGTERM may be found unanswered, unless
	// its time is over by then.
	if killed && seen.status == 200 {
		w.count("killed while it answered")
		return false
	}
	if killed && started.Before(stoppedAt.Add(seconds(killMarginSeconds))) && due.After(killedAt) {
		w.count("killed")
		return false
	}
	took := seen.endedAt
	if seen.status == 200 && plan.size > shortAnswerBytes {
		took = seen.firstAt
	}
	if late := took.Sub(due).Seconds(); late > 0.05 {
		w.count("late")
		if late > overdueSeconds {
			w.broken("%s %s %s: answered (%d) %.2f s after its time; %s", r.verb, id, sinceStop(started, stoppedAt), seen.status, late, plan.query())
		}
	}
	switch {
	case seen.status == 0 && !seen.anyBytes && used && runs == 0 && seen.endedAt.Sub(started).Seconds() < crossedSeconds+0.2:
		w.count("crossed a close")
	case seen.status == 0:
		w.broken("%s %s %s: no answer, %v after %.2f s, %d runs; %s", r.verb, id, sinceStop(started, stoppedAt), seen.err,
			seen.endedAt.Sub(started).Seconds(), runs, plan.query())
	case seen.status == 200 && seen.err != nil:
		w.count("incomplete")
		if plan.fault == "" && !w.resets && !died {
			w.broken("%s %s %s: cut off after %d of %d bytes, %.2f s after its time; %s", r.verb, id, sinceStop(started, stoppedAt), len(seen.body),
				plan.size, seen.endedAt.Sub(due).Seconds(), plan.query())
		}
	case seen.status == 200 && !bytes.Equal(seen.body, answerBody(id, plan.size)):
		w.broken("%s %s: %d bytes that no backend made for it", r.verb, id, len(seen.body))
	case seen.status == 200:
		w.count("served")
	case seen.status == 503:
		w.count("declined")
	default:
		w.count(fmt.Sprint("status ", seen.status))
	}
	if seen.status != 200 && cut && !w.resets && !died && cutAt.Before(due.Add(-60*time.Millisecond)) && cutAt.Before(seen.endedAt.Add(50*time.Millisecond)) {
		w.broken("%s %s %s: a sound answer was cut off %.2f s before its time; status %d; %s", r.verb, id, sinceStop(started, stoppedAt),
			due.Sub(cutAt).Seconds(), seen.status, plan.query())
	}
	return seen.status != 0 && seen.err == nil && seen.keepsAlive
}

// sinceStop describes when a request was sent.
func sinceStop(started, stoppedAt time.Time) string {
	if stoppedAt.IsZero() || started.Before(stoppedAt) {
		return "in service"
	}
	return fmt.Sprintf("%.2f s after SIGTERM", started.Sub(stoppedAt).Seconds())
}

// checkEffects records requests that ran more often, elsewhere or later than the rules allow.
func (w *transferWorld) checkEffects() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.requests {
		runs := len(r.cells) - r.notRun
		if r.verb == "pay" && runs > 1 {
			w.violations = append(w.violations, fmt.Sprintf("pay %s ran %d times", id, runs))
		}
		for _, cell := range r.cells {
			if r.verb == "order" && cell != r.cells[0] && r.notRun == 0 {
				w.violations = append(w.violations, fmt.Sprintf("order %s ran in cells %v", id, r.cells))
				break
			}
		}
		allowed := 0.1 + departureSlackSeconds
		if r.plan.readRate > 0 { // a backend that reads slowly may have had the last byte in its receive buffer, of twice the size set
			allowed += 2 * transferReceiveBuffer / float64(r.plan.readRate)
		}
		if r.begunAfter > allowed {
			w.violations = append(w.violations, fmt.Sprintf("%s %s began %.2f s after its client had left; %s", r.verb, id, r.begunAfter,
				r.plan.query()))
		}
	}
}

var requestIDPattern = regexp.MustCompile(`\d+-\d+-\d+`)

// logOf returns the log lines about the request that a violation names.
func (w *transferWorld) logOf(violation string) (lines string) {
	id := strconv.Quote(requestIDPattern.FindString(violation))
	for _, p := range w.processes {
		for line := range strings.Lines(p.log.String()) {
			if strings.Contains(line, "id="+id) {
				lines += "\n    " + strings.TrimSpace(line)
			}
		}
	}
	return lines
}

// numbered returns a body of n bytes.
func numbered(n int) []byte { return bytes.Repeat([]byte("0123456789abcde\n"), n/16+1)[:n] }

// chunked encodes a body in chunks.
func chunked(body []byte) []byte {
	var text bytes.Buffer
	for at := 0; at < len(body); at += 10_000 {
		part := body[at:min(at+10_000, len(body))]
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	text.WriteString("0\r\n\r\n")
	return text.Bytes()
}

// runCrowd keeps bad clients connected that write slowly, stop half way, send very many short fields or read slowly.
func (w *transferWorld) runCrowd(size int, until time.Time, tasks *sync.WaitGroup) {
	fields := strings.Repeat("a:\r\n", 3500)
	for n := range size {
		tasks.Go(func() {
			rng := rand.New(rand.NewPCG(w.seed, 5000+uint64(n)))
			for serial := 0; time.Now().Before(until); serial++ {
				c, err := net.Dial("tcp", w.address)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				plan := transferPlan{framing: "length", size: 2 << 20, piece: 64 << 10}
				head := fmt.Sprintf("POST /pay/x?%s HTTP/1.1\r\nHost: a\r\nReq-Id: bad-%d-%d\r\nReq-Kind: pay\r\nReq-Deadline: 2\r\n", plan.query(), n, serial)
				c.SetDeadline(time.Now().Add(seconds(0.5 + 2*rng.Float64())))
				switch rng.IntN(4) {
				case 0:
					io.WriteString(c, head+"Content-Length: 200000\r\n\r\n")
					for _, err := c.Write(make([]byte, 3000)); err == nil; _, err = c.Write(make([]byte, 3000)) {
						time.Sleep(50 * time.Millisecond)
					}
				case 1:
					io.WriteString(c, head+"Content-Length: 900000\r\n\r\n")
					c.Write(make([]byte, 400_000))
				case 2:
					io.WriteString(c, head+fields)
				case 3:
					io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
					for _, err := c.Read(make([]byte, 3000)); err == nil; _, err = c.Read(make([]byte, 3000)) {
						time.Sleep(50 * time.Millisecond)
					}
				}
				io.Copy(io.Discard, c)
				c.Close()
			}
		})
	}
}

// runFlood sends small requests on one connection at full speed.
func (w *transferWorld) runFlood(until time.Time) {
	for n := 0; time.Now().Before(until); {
		c, err := net.Dial("tcp", w.address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.SetDeadline(until)
		go io.Copy(io.Discard, c)
		for err == nil {
			n++
			_, err = fmt.Fprintf(c, "GET /look/x HTTP/1.1\r\nHost: a\r\nReq-Id: flood-%d\r\nReq-Kind: look\r\nReq-Deadline: 0.00001\r\n\r\n", n)
		}
		c.Close()
	}
}

var peakResident = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// watchMemory notes the most memory that a process has had resident, until it ends.
func (w *transferWorld) watchMemory(pid int, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memorySampleInterval):
		}
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if match := peakResident.FindSubmatch(text); match != nil {
			kilobytes, _ := strconv.Atoi(string(match[1]))
			w.mu.Lock()
			w.peakMemory = max(w.peakMemory, float64(kilobytes)/1024)
			w.mu.Unlock()
		}
	}
}

// transferProcess is one process of the proxy.
type transferProcess struct {
	*exec.Cmd
	ended chan struct{}
	log   bytes.Buffer
}

// startProcess starts the proxy and waits until it is ready.
func (w *transferWorld) startProcess(program, config string) *transferProcess {
	p := &transferProcess{Cmd: exec.Command(program, "serve", "--config", config), ended: make(chan struct{})}
	p.Stdout, p.Stderr = &p.log, &p.log
	if err := p.Start(); err != nil {
		w.t.Fatal(err)
	}
	go func() { p.Wait(); close(p.ended) }()
	w.processes = append(w.processes, p)
	go w.watchMemory(p.Process.Pid, p.ended)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if response, err := client.Get("http://" + w.address + "/-/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == 200 {
				return p
			}
		}
		if time.Since(start) > readyTimeout {
			w.t.Fatalf("not ready: %s", p.log.String())
		}
	}
}

// stopProcess asks the process to stop, with a series of further signals, and kills it at the earliest moment that the pages allow.
func (w *transferWorld) stopProcess(p *transferProcess, rng *rand.Rand) {
	select {
	case <-p.ended:
		w.broken("the process ended by itself: %v, %s", p.ProcessState, p.log.String()[max(0, p.log.Len()-2000):])
		return
	default:
	}
	w.mu.Lock()
	w.stoppedAt = time.Now()
	w.mu.Unlock()
	p.Process.Signal(syscall.SIGTERM)
	untilKill := killDelaySeconds(w.limit)
	for range rng.IntN(4) {
		signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}[rng.IntN(3)]
		time.AfterFunc(seconds(untilKill*rng.Float64()), func() { p.Process.Signal(signal) })
	}
	select {
	case <-p.ended:
		if status := p.ProcessState.ExitCode(); status != 0 {
			w.broken("the process ended with %d after SIGTERM: %s", status, p.log.String()[max(0, p.log.Len()-2000):])
		}
	case <-time.After(seconds(untilKill)):
		w.mu.Lock()
		w.killedAt = time.Now()
		w.mu.Unlock()
		w.count("SIGKILL")
		p.Process.Kill()
		<-p.ended
	}
}

// replaceBackend ends a backend and starts another process of another cell at its address, of which discovery tells later.
func (w *transferWorld) replaceBackend(old *transferBackend, delay float64) *transferBackend {
	address := old.listener.Addr().String()
	old.stop()
	time.Sleep(seconds(delay / 2))
	later, err := startTransferBackend(w, old.name+"-later", old.cell+10, address)
	if err != nil {
		w.count("address taken")
		w.discovery.list(old, "gone", time.Time{})
		return nil
	}
	started := time.Now()
	time.Sleep(seconds(delay))
	w.discovery.list(later, "ready", started)
	time.Sleep(seconds(delay))
	w.discovery.list(old, "gone", time.Time{})
	return later
}

// Slow and broken transfers by real processes: backends that write late, in lumps and slowly, that read slowly or stop, clients that
// leave and come again, a crowd, a flood, connections that are reset on the way, backends replaced at their addresses, and signals in
// series with the kill at the earliest moment. TRANSFER_SEEDS selects other seeds for a manual run.
func TestTransferSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sandpass")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/sandpass").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds, byHand := testSeeds("TRANSFER_SEEDS", 1, 2, 3)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if byHand {
				t.Parallel()
			}
			runTransfers(t, program, seed)
		})
	}
}

// runTransfers plays one seed.
func runTransfers(t *testing.T, program string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x7472616e))
	w := &transferWorld{t: t, seed: seed, limit: 0.4 * math.Exp(rng.Float64()*math.Log(3/0.4)), memoryMB: []int{32, 32, 64, 192}[rng.IntN(4)],
		requests: map[string]*transferRequest{}, counts: map[string]int{}}
	crowd, flood, cancel := 0, rng.IntN(3) == 0, rng.IntN(3) > 0
	if rng.IntN(2) == 0 {
		crowd = 50 + rng.IntN(maxCrowd-50)
	}
	var err error
	w.resets = rng.IntN(4) == 0
	if w.discovery, err = startTransferDiscovery(); err != nil {
		t.Fatal(err)
	}
	defer w.discovery.Close()
	var backends []*transferBackend
	var links []*faultnet.StreamForwarder
	for n := range transferBackends {
		b, err := startTransferBackend(w, fmt.Sprintf("s-%d", n), n/2, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		backends = append(backends, b)
		if w.resets {
			link, err := faultnet.NewStreamForwarder(b.address, seed+uint64(n))
			if err != nil {
				t.Fatal(err)
			}
			links, b.address = append(links, link), link.Addr()
		}
		w.discovery.list(b, "ready", time.Time{})
	}
	defer func() {
		for _, b := range backends {
			b.stop()
		}
		for _, l := range links {
			l.Close()
		}
	}()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxyAddress := free.Addr().String()
	free.Close()
	w.address = proxyAddress
	config := filepath.Join(t.TempDir(), "c.json")
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": proxyAddress, "discovery": w.discovery.Addr().String(), "seed": "8c1f",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": w.memoryMB, "sockets": 1024},
		"settings": json.RawMessage(fmt.Sprintf(transferSettings, int(1000*w.limit), cancel))})
	if err == nil {
		err = os.WriteFile(config, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	process := w.startProcess(program, config)
	stopAt := time.Now().Add(seconds(transferRunSeconds))
	until := stopAt.Add(seconds(killDelaySeconds(w.limit) + 2.5))
	var tasks sync.WaitGroup
	for n := range transferClients {
		tasks.Go(func() { w.run(n, until) })
	}
	w.runCrowd(crowd, until, &tasks)
	if flood {
		tasks.Go(func() { w.runFlood(until) })
	}
	if w.resets {
		tasks.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				time.Sleep(400 * time.Millisecond)
				links[n%len(links)].Reset()
			}
		})
	} else if rng.IntN(2) == 0 {
		at, victim := time.Now().Add(seconds(1+2*rng.Float64())), rng.IntN(transferBackends)
		tasks.Go(func() {
			time.Sleep(time.Until(at))
			if later := w.replaceBackend(backends[victim], 0.5); later != nil {
				w.mu.Lock()
				backends = append(backends, later)
				w.mu.Unlock()
			}
		})
	}
	for range rng.IntN(3) {
		time.Sleep(seconds(0.5))
		process.Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(time.Until(stopAt))
	w.stopProcess(process, rng)
	process = w.startProcess(program, config)
	tasks.Wait()
	time.Sleep(seconds(0.3)) // for requests that are still on their way to a backend
	w.stopProcess(process, rng)
	w.checkEffects()
	t.Logf("limit %.2f s, %d MB, cancel %t, crowd %d, flood %t, resets %t: %v, peak %.1f MiB", w.limit, w.memoryMB, cancel, crowd, flood,
		w.resets, w.counts, w.peakMemory)
	if w.peakMemory > float64(w.memoryMB) {
		t.Errorf("peak of %.1f MiB over the limit of %d", w.peakMemory, w.memoryMB)
	}
	for _, v := range w.violations {
		t.Error("broken: " + v + w.logOf(v))
	}
	if w.counts["served"]*5 < w.counts["sent"] {
		t.Errorf("%d of %d requests served", w.counts["served"], w.counts["sent"])
		for _, p := range w.processes {
			t.Log(p.log.String())
		}
	}
}
