package scale

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second
	pollInterval = 10 * time.Millisecond
)

// proxyProcess is a proxy in a process of its own.
type proxyProcess struct {
	index      int // in the proxies of the fleet
	command    *exec.Cmd
	configPath string
	logPath    string
	done       chan struct{}
	killOnce   sync.Once
}

// startProxyProcess starts the proxy program with a configuration. It does not wait until the proxy is ready.
func startProxyProcess(program []string, environment []string, directory string, index int, config proxyConfig,
	operator string) (*proxyProcess, error) {
	s := &proxyProcess{index: index, done: make(chan struct{}), configPath: filepath.Join(directory, config.Name+".json"),
		logPath: filepath.Join(directory, config.Name+".log")}
	if err := s.writeConfig(config); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(s.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	arguments := append([]string(nil), program[1:]...)
	if operator != "" {
		arguments = append(arguments, "--operator", operator)
	}
	s.command = exec.Command(program[0], arguments...)
	s.command.Env = append(append(os.Environ(), environment...), "NODE_CONFIG="+s.configPath)
	s.command.Stdout, s.command.Stderr = out, out
	// The proxy is killed if this process dies.
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = s.command.Wait() // the log shows how it ended
		close(s.done)
	}()
	return s, nil
}

// writeConfig replaces the configuration file atomically.
func (p *proxyProcess) writeConfig(config proxyConfig) error {
	text, err := config.marshal()
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.configPath+".new", p.configPath)
}

// pid returns the process ID.
func (p *proxyProcess) pid() int { return p.command.Process.Pid }

// awaitReady waits until the proxy accepts clients.
func (p *proxyProcess) awaitReady(address string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		if response, err := client.Get("http://" + address + "/-/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.done:
			return fmt.Errorf("proxy %d ended before it was ready: %s", p.index, p.lastLine())
		case <-time.After(pollInterval):
		}
	}
	return fmt.Errorf("proxy %d was not ready within %v: %s", p.index, readyTimeout, p.lastLine())
}

// lastLine returns the last line of the log.
func (p *proxyProcess) lastLine() string {
	text, _ := os.ReadFile(p.logPath) // without a log the line is empty
	text = bytes.TrimRight(text, "\n")
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

// signalReload sends SIGHUP, which makes the proxy read its configuration again.
func (p *proxyProcess) signalReload() error { return p.command.Process.Signal(syscall.SIGHUP) }

// reloadTimes returns the times in the log at which a new configuration came into force.
func (p *proxyProcess) reloadTimes() (at []time.Time) {
	text, _ := os.ReadFile(p.logPath) // without a log there are no reloads
	for line := range strings.Lines(string(text)) {
		const layout = "2006/01/02 15:04:05.000000"
		if !strings.Contains(line, " msg=reloaded ") || len(line) < len(layout) {
			continue
		}
		if t, err := time.Parse(layout, line[:len(layout)]); err == nil {
			at = append(at, t)
		}
	}
	return at
}

// kill kills the process and waits until it has ended.
func (p *proxyProcess) kill() {
	p.killOnce.Do(func() {
		if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return
		}
		<-p.done
	})
}

// stop sends SIGTERM and kills the process if it does not end within stopTimeout.
func (p *proxyProcess) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // an error means that it has already ended
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
	}
	p.kill()
}
