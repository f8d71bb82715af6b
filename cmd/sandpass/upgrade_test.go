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

// platform holds the clients' listener, a backend and the configuration for several versions of the program.
type platform struct {
	t       *testing.T
	socket  *os.File
	at      string
	dir     string
	config  string
	backend net.Listener
	slow    atomic.Int64 // nanoseconds that the backend takes
	mu      sync.Mutex
	ran     map[string]int // commands by Req-Id
	ids     atomic.Int64
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{t: t, dir: t.TempDir(), ran: map[string]int{}}
	p.slow.Store(int64(5 * time.Millisecond))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.at = l.Addr().String()
	if p.socket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	l.Close()
	t.Cleanup(func() { p.socket.Close() })
	if p.backend, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay/large" { // gives back as many bytes as it got
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
		time.Sleep(time.Duration(p.slow.Load()))
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
	c["listen"], c["discovery"] = p.at, "127.0.0.1:1"
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

// process is one version of the program.
type process struct {
	*exec.Cmd
	out   *output
	ops   string
	ended chan error
}

func (p *platform) start() *process {
	p.t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	v := &process{ops: free.Addr().String(), ended: make(chan error, 1)}
	free.Close()
	v.Cmd, v.out = sandpass(p.config, "serve")
	v.ExtraFiles = []*os.File{p.socket}
	v.Env = append(v.Env, "NODE_SOCKET_FD=3", "NODE_OPS="+v.ops, "TMPDIR="+p.dir)
	if err := v.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { v.ended <- v.Wait() }()
	p.t.Cleanup(func() { v.Process.Kill() })
	return v
}

// call is an operators' call, 0 where nobody answers.
func (v *process) call(method, path string) int {
	r, _ := http.NewRequest(method, "http://"+v.ops+path, nil)
	r.Close = true
	c := http.Client{Timeout: 2 * time.Second}
	rsp, err := c.Do(r)
	if err != nil {
		return 0
	}
	rsp.Body.Close()
	return rsp.StatusCode
}

// takes waits for the yes, which is due within 6 s.
func (v *process) takes(t *testing.T) {
	t.Helper()
	for began := time.Now(); v.call("GET", "/admin/health") != 200; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 6*time.Second {
			t.Fatalf("no yes within 6 s: %s", v.out)
		}
	}
}

func (v *process) gone(t *testing.T) {
	t.Helper()
	select {
	case err := <-v.ended:
		if err != nil {
			t.Errorf("ended with %v: %s", err, v.out)
		}
	case <-time.After(3700 * time.Millisecond):
		t.Errorf("still there 3.7 s after SIGTERM: %s", v.out)
	}
}

// crowd sends commands over kept connections until stop is called, which tells how many came to nothing.
func (p *platform) crowd(n int) (stop func() (all, broken, declined int64)) {
	var all, broken, declined atomic.Int64
	var wait sync.WaitGroup
	end := make(chan bool)
	for range n {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var c net.Conn
			var in *bufio.Reader
			for {
				select {
				case <-end:
					if c != nil {
						c.Close()
					}
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", p.at); err != nil {
						broken.Add(1)
						continue
					}
					in = bufio.NewReader(c)
				}
				all.Add(1)
				fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: a\r\nReq-Id: %d\r\nReq-Kind: pay\r\nContent-Length: 0\r\n\r\n",
					p.ids.Add(1))
				rsp, err := http.ReadResponse(in, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, rsp.Body)
				}
				switch {
				case err != nil:
					broken.Add(1)
				case err == nil && rsp.StatusCode != 200:
					declined.Add(1)
				}
				if err != nil || rsp.Close {
					c.Close()
					c = nil
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return func() (int64, int64, int64) {
		close(end)
		wait.Wait()
		return all.Load(), broken.Load(), declined.Load()
	}
}

func TestUpgrade(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	old := p.start()
	old.takes(t)
	stop := p.crowd(5)
	time.Sleep(700 * time.Millisecond) // the list is old for 0.5 s
	if got := old.call("POST", "/admin/cordon/s-2"); got != 404 {
		t.Errorf("an unknown id: %d", got)
	}
	// Two versions in a row; what one learned of operators the next knows.
	for i := range 2 {
		if i == 1 { // commands that outlast the old one's SIGTERM
			p.slow.Store(int64(900 * time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
		next := p.start()
		next.takes(t)
		old.Process.Signal(syscall.SIGTERM)
		old.gone(t)
		p.slow.Store(int64(5 * time.Millisecond))
		for began := time.Now(); !strings.Contains(next.out.String(), "msg=predecessor_gone"); time.Sleep(5 * time.Millisecond) {
			if time.Since(began) > time.Second {
				t.Fatalf("version %d does not know that it is alone: %s", i+2, next.out)
			}
		}
		old = next
	}
	// One that dies before its yes changes nothing, nor does one that connects and says nothing.
	dead := p.start()
	dead.Process.Kill()
	<-dead.ended
	mute, err := net.Dial("unix", filepath.Join(p.dir, "sandpass-"+p.at+".sock"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(mute, `{"v":1,"say":"hello","more":true}`)
	time.Sleep(300 * time.Millisecond)
	mute.Close()
	time.Sleep(300 * time.Millisecond)
	// The thousand must have come, however fast the machine is.
	for began := time.Now(); p.ids.Load() < 1000 && time.Since(began) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
	}
	all, broken, declined := stop()
	if all < 1000 || broken > 0 || declined > 0 {
		t.Errorf("of %d commands %d broke on a fresh connection, %d were declined: %s", all, broken, declined, old.out)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.ran {
		if n > 1 {
			t.Errorf("command %s ran %d times", id, n)
		}
	}
}

// What operators said holds over an upgrade, and a call during the overlap holds in both processes.
func TestUpgradeLeftOut(t *testing.T) {
	t.Parallel()
	p := newPlatform(t)
	one := p.start()
	one.takes(t)
	if got := one.call("POST", "/admin/cordon/s-1"); got != 200 {
		t.Fatalf("cordon: %d", got)
	}
	two := p.start()
	two.takes(t)
	for _, v := range []*process{one, two} {
		if got := v.call("POST", "/admin/cordon/s-1"); got != 200 {
			t.Errorf("left out, and not known: %d", got)
		}
	}
	ask := func() int {
		c, err := net.Dial("tcp", p.at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /look/x HTTP/1.1\r\nHost: a\r\nReq-Id: %d\r\nReq-Kind: look\r\n\r\n", p.ids.Add(1))
		rsp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return rsp.StatusCode
	}
	if got := ask(); got != 503 {
		t.Errorf("%d though all is left out", got)
	}
	if got := two.call("POST", "/admin/uncordon/s-1"); got != 200 || !strings.Contains(two.out.String(), "msg=handed_over") {
		t.Errorf("called back: %d, %s", got, two.out)
	}
	one.Process.Kill()                                                                // without a word
	for began, got := time.Now(), 0; got != 200; time.Sleep(200 * time.Millisecond) { // it is cold: not at once
		if got = ask(); time.Since(began) > 5*time.Second {
			t.Fatalf("%d, 5 s after the call back", got)
		}
	}
	three := p.start()
	three.takes(t)
	if got := three.call("POST", "/admin/quiesce"); got != 200 || !strings.Contains(three.out.String(), "left_out=0") {
		t.Errorf("%d, %s", got, three.out)
	}
}

// Bodies far over the memory limit together, both ways, some read slowly: the process keeps to its limit.
func TestLargeWithLittleMemory(t *testing.T) {
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
	v.takes(t)
	ended := make(chan error, clients)
	for i := range clients {
		go func() {
			r, _ := http.NewRequest("POST", "http://"+p.at+"/pay/large", io.LimitReader(zeros{}, size))
			if i%2 == 0 {
				r.ContentLength = size
			}
			r.Header.Set("Req-Id", fmt.Sprint("large-", i))
			r.Header.Set("Req-Kind", "pay")
			rsp, err := (&http.Transport{}).RoundTrip(r)
			if err != nil {
				ended <- err
				return
			}
			defer rsp.Body.Close()
			time.Sleep(time.Duration(i) * 200 * time.Millisecond) // does not read for a while
			n, err := io.Copy(io.Discard, rsp.Body)
			if err == nil && (rsp.StatusCode != 200 || n != size) {
				err = fmt.Errorf("status %d, %d bytes", rsp.StatusCode, n)
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
	var kB int
	if _, err := fmt.Sscan(peak, &kB); err != nil || kB == 0 || kB > limitKB {
		t.Errorf("%d kB at the peak of %d, %v", kB, limitKB, err)
	}
	t.Logf("peak %d kB for %d MB", kB, 2*clients*size>>20)
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

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
