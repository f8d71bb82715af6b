// This file starts and ends the project's proxy as its operators do: by the run line of the deploy file, with its configuration in
// NODE_CONFIG.

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// proxyProcess is a running proxy.
type proxyProcess struct {
	record *record
	name   string
	listen string
	ops    string
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error // of its end
}

// platform starts proxies for one case.
type platform struct {
	record *record
	root   string // of the repository
	folder string // temporary, removed at the end
	all    []*proxyProcess
}

// newPlatform makes the temporary folder.
func newPlatform(r *record, root string) (*platform, error) {
	folder, err := os.MkdirTemp("", "sandpass-review-")
	return &platform{record: r, root: root, folder: folder}, err
}

// close ends all processes that were started and removes the folder.
func (p *platform) close() {
	for _, process := range p.all {
		process.kill()
	}
	os.RemoveAll(p.folder)
}

// runLine returns the run line of the deploy file.
func (p *platform) runLine() (string, error) {
	file, err := os.Open(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, found := strings.CutPrefix(lines.Text(), `run = "`); found {
			return rest[:strings.LastIndex(rest, `"`)], nil
		}
	}
	return "", errors.New("the deploy file has no run line")
}

// freeAddress returns an address where nobody listens. Its host is a loopback address of this process alone, so that no other script
// that runs beside it takes the port before the proxy does.
func freeAddress() string {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, 1+pid&127))
	if err != nil {
		return "127.0.0.1:1"
	}
	defer listener.Close()
	return listener.Addr().String()
}

// writeConfig writes a configuration by replacing the file.
func (p *platform) writeConfig(name string, config map[string]any) (string, error) {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.folder, name+".json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// startOptions are what differs between two starts.
type startOptions struct {
	ops      string
	listener *os.File // the clients' listening socket that the process inherits, nil for none
}

// start starts a proxy and waits until it is ready.
func (p *platform) start(name, listen string, config map[string]any, options startOptions) (*proxyProcess, error) {
	run, err := p.runLine()
	if err != nil {
		return nil, err
	}
	path, err := p.writeConfig(name, config)
	if err != nil {
		return nil, err
	}
	temporary := filepath.Join(p.folder, "tmp-"+name)
	os.MkdirAll(temporary, 0o755)
	log, err := os.OpenFile(filepath.Join(p.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	process := &proxyProcess{record: p.record, name: name, listen: listen, ops: options.ops, ended: make(chan struct{})}
	process.cmd = exec.Command("/bin/sh", "-c", run)
	process.cmd.Dir, process.cmd.Stdout, process.cmd.Stderr = p.root, log, log
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	process.cmd.Env = append(os.Environ(), "NODE_NAME="+name, "NODE_LISTEN="+listen, "NODE_CONFIG="+path, "TMPDIR="+temporary,
		"NODE_DISCOVERY="+config["discovery"].(string), "NODE_OPS="+options.ops)
	if options.listener != nil {
		process.cmd.ExtraFiles = []*os.File{options.listener, options.listener, options.listener}
		process.cmd.Env = append(process.cmd.Env, "NODE_SOCKET_FD=5")
	}
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	p.all = append(p.all, process)
	p.record.note("platform starts proxy=%s pid=%d listen=%s", name, process.cmd.Process.Pid, listen)
	go func() {
		process.err = process.cmd.Wait()
		p.record.note("platform sees the end of proxy=%s pid=%d result=%v", name, process.cmd.Process.Pid, process.err)
		close(process.ended)
	}()
	return process, nil
}

// panicOf returns the line of a proxy's log that says why the program crashed, empty if there is none.
func (p *platform) panicOf(name string) string {
	text, _ := os.ReadFile(filepath.Join(p.folder, name+".log"))
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// hasEnded reports whether the process has ended.
func (x *proxyProcess) hasEnded() bool {
	select {
	case <-x.ended:
		return true
	default:
		return false
	}
}

// get makes one call and returns the status, 0 if there was no answer.
func get(method, url string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// waitReady waits until the proxy says yes at its readiness path.
func (x *proxyProcess) waitReady(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until) && !x.hasEnded(); time.Sleep(20 * time.Millisecond) {
		if get("GET", "http://"+x.listen+"/-/ready") == 200 {
			x.record.note("platform sees proxy=%s ready", x.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", x.name, within)
}

// signal sends a signal to the process.
func (x *proxyProcess) signal(s syscall.Signal) {
	x.record.note("platform sends %v to proxy=%s pid=%d", s, x.name, x.cmd.Process.Pid)
	x.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (x *proxyProcess) kill() {
	if !x.hasEnded() {
		x.cmd.Process.Kill()
		<-x.ended
	}
}

// endPlanned sends SIGTERM, and SIGKILL if the process has not ended within the time that the pages set.
func (x *proxyProcess) endPlanned() {
	x.signal(syscall.SIGTERM)
	select {
	case <-x.ended:
	case <-time.After(3700 * time.Millisecond):
		x.record.note("platform sends killed to proxy=%s", x.name)
		x.kill()
	}
}
