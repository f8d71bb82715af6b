package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// platform has the listener for clients, a backend and the configuration, shared by successive processes of the program.
type platform struct {
	t            *testing.T
	socket       *os.File
	address      string
	dir          string
	config       string
	backend      net.Listener
	backendDelay atomic.Int64 // nanoseconds per request of the backend
	mu           sync.Mutex
	ran          map[string]int // runs by Req-Id
	ids          atomic.Int64
}

// newPlatform starts the backend and writes the configuration.
func newPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{t: t, dir: t.TempDir(), ran: map[string]int{}}
	p.backendDelay.Store(int64(5 * time.Millisecond))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.address = l.Addr().String()
	if p.socket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	l.Close()
	t.Cleanup(func() { p.socket.Close() })
	if p.backend, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay/large" { // responds with as many bytes as it received
			n, _ := io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Length", fmt.Sprint(n))
			for part := make([]byte, 1<<16); n > 0; n -= int64(len(part)) {
				w.Write(part[:min(n, int64(len(part)))])
			}
			return
		}
		body, _ := io.ReadAll(r.Body)
		p.mu.Lock()
		p.ran[r.Header.Get("Req-Id")]++
		p.mu.Unlock()
		time.Sleep(time.Duration(p.backendDelay.Load()))
		w.Write(append([]byte("echo:"), body...))
	})}
	go server.Serve(p.backend)
	t.Cleanup(func() { server.Close() })
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	c["listen"], c["discovery"] = p.address, "127.0.0.1:1"
	c["known"] = json.RawMessage(fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":"s-1","address":"%s",
		"zone":"a","group":1,"status":"ready","weight":1,"since_ms":0}]}`, p.backend.Addr()))
	p.config = filepath.Join(p.dir, "c.json")
	if text, err = json.Marshal(c); err == nil {
		err = os.WriteFile(p.config, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// process is one running process of the program.
type process struct {
	*exec.Cmd
	out   *output
	ops   string
	ended chan error
}

// start starts a process that inherits the listener, with further arguments.
func (p *platform) start(args ...string) *process {
	p.t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	v := &process{ops: free.Addr().String(), ended: make(chan error, 1)}
	free.Close()
	v.Cmd, v.out = sandpass(p.config, append([]string{"serve"}, args...)...)
	v.ExtraFiles = []*os.File{p.socket}
	v.Env = append(v.Env, "NODE_SOCKET_FD=3", "NODE_OPS="+v.ops, "TMPDIR="+p.dir)
	if err := v.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { v.ended <- v.Wait() }()
	p.t.Cleanup(func() { v.Process.Kill() })
	return v
}

// callOperators makes an operator call and returns its status, 0 if there is no response.
func (v *process) callOperators(method, path string) int {
	r, _ := http.NewRequest(method, "http://"+v.ops+path, nil)
	r.Close = true
	c := http.Client{Timeout: 2 * time.Second}
	response, err := c.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// waitHealthy waits until the health check succeeds, which must happen within 6 s.
func (v *process) waitHealthy(t *testing.T) {
	t.Helper()
	for start := time.Now(); v.callOperators("GET", "/admin/health") != 200; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 6*time.Second {
			t.Fatalf("not healthy within 6 s: %s", v.out)
		}
	}
}

// waitEnded waits for the process to end cleanly, at most 3.7 s.
func (v *process) waitEnded(t *testing.T) {
	t.Helper()
	select {
	case err := <-v.ended:
		if err != nil {
			t.Errorf("ended with %v: %s", err, v.out)
		}
	case <-time.After(3700 * time.Millisecond):
		t.Errorf("still running 3.7 s after SIGTERM: %s", v.out)
	}
}

// sendCommands sends commands over n persistent connections until stop is called, which returns how many were sent, broken off
// and declined.
func (p *platform) sendCommands(n int) (stop func() (sent, broken, declined int64)) {
	var sent, broken, declined atomic.Int64
	var clients sync.WaitGroup
	done := make(chan bool)
	for range n {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c net.Conn
			var in *bufio.Reader
			for {
				select {
				case <-done:
					if c != nil {
						c.Close()
					}
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", p.address); err != nil {
						broken.Add(1)
						continue
					}
					in = bufio.NewReader(c)
				}
				sent.Add(1)
				fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: a\r\nReq-Id: %d\r\nReq-Kind: pay\r\nContent-Length: 0\r\n\r\n",
					p.ids.Add(1))
				response, err := http.ReadResponse(in, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				switch {
				case err != nil:
					broken.Add(1)
				case err == nil && response.StatusCode != 200:
					declined.Add(1)
				}
				if err != nil || response.Close {
					c.Close()
					c = nil
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return func() (int64, int64, int64) {
		close(done)
		clients.Wait()
		return sent.Load(), broken.Load(), declined.Load()
	}
}

// Upgrades under load: no command may be broken off or declined, and none may run twice.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	old := p.start()
	old.waitHealthy(t)
	stop := p.sendCommands(5)
	time.Sleep(700 * time.Millisecond) // after 0.5 s without discovery the list in the configuration is used
	if got := old.callOperators("POST", "/admin/cordon/s-2"); got != 404 {
		t.Errorf("an unknown id: %d", got)
	}
	// Two upgrades in a row; each process learns the operator calls from its predecessor.
	for i := range 2 {
		if i == 1 { // commands that are still running at the old process's SIGTERM
			p.backendDelay.Store(int64(900 * time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
		next := p.start()
		next.waitHealthy(t)
		old.Process.Signal(syscall.SIGTERM)
		old.waitEnded(t)
		p.backendDelay.Store(int64(5 * time.Millisecond))
		for start := time.Now(); !strings.Contains(next.out.String(), "msg=predecessor_gone"); time.Sleep(5 * time.Millisecond) {
			if time.Since(start) > time.Second {
				t.Fatalf("process %d did not notice that its predecessor has ended: %s", i+2, next.out)
			}
		}
		old = next
	}
	// A process that dies before it is healthy must change nothing, nor must one that connects and then sends nothing more.
	killed := p.start()
	killed.Process.Kill()
	<-killed.ended
	silent, err := net.Dial("unix", filepath.Join(p.dir, "sandpass-"+p.address+".sock"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(silent, `{"v":1,"say":"hello","more":true}`)
	time.Sleep(300 * time.Millisecond)
	silent.Close()
	time.Sleep(300 * time.Millisecond)
	// The test needs a thousand commands; on a fast machine the upgrades end before that many have been sent.
	for start := time.Now(); p.ids.Load() < 1000 && time.Since(start) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
	}
	sent, broken, declined := stop()
	if sent < 1000 || broken > 0 || declined > 0 {
		t.Errorf("of %d commands %d were broken off and %d declined: %s", sent, broken, declined, old.out)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.ran {
		if n > 1 {
			t.Errorf("command %s ran %d times", id, n)
		}
	}
}

// Operator calls must survive an upgrade, and a call while both processes run must apply to both.
func TestUpgradeKeepsCordons(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	first := p.start()
	first.waitHealthy(t)
	if got := first.callOperators("POST", "/admin/cordon/s-1"); got != 200 {
		t.Fatalf("cordon: %d", got)
	}
	second := p.start()
	second.waitHealthy(t)
	for _, v := range []*process{first, second} {
		if got := v.callOperators("POST", "/admin/cordon/s-1"); got != 200 {
			t.Errorf("repeated cordon: %d", got)
		}
	}
	request := func() int {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /look/x HTTP/1.1\r\nHost: a\r\nReq-Id: %d\r\nReq-Kind: look\r\n\r\n", p.ids.Add(1))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	if got := request(); got != 503 {
		t.Errorf("status %d though all backends are cordoned", got)
	}
	if got := second.callOperators("POST", "/admin/uncordon/s-1"); got != 200 ||
		!strings.Contains(second.out.String(), "msg=handed_over") {
		t.Errorf("uncordon: %d, %s", got, second.out)
	}
	first.Process.Kill()                                                              // without a handover message
	for start, got := time.Now(), 0; got != 200; time.Sleep(200 * time.Millisecond) { // not at once: the backend is cold
		if got = request(); time.Since(start) > 5*time.Second {
			t.Fatalf("status %d, 5 s after the uncordon", got)
		}
	}
	third := p.start()
	third.waitHealthy(t)
	if got := third.callOperators("POST", "/admin/quiesce"); got != 200 ||
		!strings.Contains(third.out.String(), "left_out=0") {
		t.Errorf("quiesce: %d, %s", got, third.out)
	}
}

// With a state folder too, a new process must take over as soon as it has the state of the running one. The snapshot that it
// reads at its start must not pass for the handover.
func TestUpgradeWithStateFolder(t *testing.T) {
	t.Parallel()
	p, operatorFile := newPlatform(t), writeOperatorFile(t, "0.1")
	first := p.start("--operator", operatorFile)
	first.waitHealthy(t)
	if got := first.callOperators("POST", "/admin/cordon/s-1"); got != 200 { // with a state folder, confirmed once it is saved
		t.Fatalf("cordon: %d", got)
	}
	second := p.start("--operator", operatorFile)
	second.waitHealthy(t)
	// The log is written beside the loop, so the line may come after the answer.
	for start := time.Now(); !strings.Contains(second.out.String(), "msg=accepting successor=true"); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > time.Second {
			t.Fatalf("the new process does not succeed the running one: %s", second.out)
		}
	}
}

// Request and response bodies that together far exceed the memory limit, some read slowly: the process must stay within its
// limit.
func TestLargeBodiesStayWithinMemoryLimit(t *testing.T) {
	const size, clients, limitKB = 32 << 20, 6, 64 << 10
	p := newPlatform(t)
	text, err := os.ReadFile(p.config)
	if err == nil {
		err = os.WriteFile(p.config, []byte(strings.Replace(string(text), `"memory_mb":192`, `"memory_mb":64`, 1)), 0o600)
	}
	if err != nil || !strings.Contains(string(text), `"memory_mb":192`) {
		t.Fatalf("%v, %s", err, text)
	}
	v := p.start()
	v.waitHealthy(t)
	ended := make(chan error, clients)
	for i := range clients {
		go func() {
			r, _ := http.NewRequest("POST", "http://"+p.address+"/pay/large", io.LimitReader(zeroReader{}, size))
			if i%2 == 0 {
				r.ContentLength = size
			}
			r.Header.Set("Req-Id", fmt.Sprint("large-", i))
			r.Header.Set("Req-Kind", "pay")
			response, err := (&http.Transport{}).RoundTrip(r)
			if err != nil {
				ended <- err
				return
			}
			defer response.Body.Close()
			time.Sleep(time.Duration(i) * 200 * time.Millisecond) // does not read for a while
			n, err := io.Copy(io.Discard, response.Body)
			if err == nil && (response.StatusCode != 200 || n != size) {
				err = fmt.Errorf("status %d, %d bytes", response.StatusCode, n)
			}
			ended <- err
		}()
	}
	for range clients {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	var peakKB int
	if _, err := fmt.Sscan(peak, &peakKB); err != nil || peakKB == 0 || peakKB > limitKB {
		t.Errorf("peak of %d kB, limit %d kB, %v", peakKB, limitKB, err)
	}
	t.Logf("peak %d kB for %d MB", peakKB, 2*clients*size>>20)
}

// zeroReader is an endless stream; it leaves the buffer as it is.
type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) { return len(b), nil }

// A bad operator address or inherited descriptor must fail the start with one line of output that names it.
func TestBadSocket(t *testing.T) {
	for name, env := range map[string]string{"ops: ": "NODE_OPS=nowhere", "socket: ": "NODE_SOCKET_FD=x"} {
		cmd, out := sandpass("../../example/config.json", "check")
		cmd.Env = append(cmd.Env, env)
		if err := cmd.Run(); err == nil || strings.Count(out.String(), "\n") != 1 || !strings.Contains(out.String(), name) {
			t.Errorf("check with %s: %v, %q", env, err, out)
		}
	}
	for _, fd := range []string{"x", "-1", "77", "0"} {
		cmd, out := sandpass("../../example/config.json", "serve")
		cmd.Env = append(cmd.Env, "NODE_SOCKET_FD="+fd, "TMPDIR="+t.TempDir())
		if err := cmd.Run(); err == nil || strings.Count(out.String(), "\n") != 1 || !strings.Contains(out.String(), "socket: ") {
			t.Errorf("%s: %v, %q", fd, err, out)
		}
	}
}
