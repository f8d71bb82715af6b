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

// server is a real proxy process.
type proxyProcess struct {
	index      int // of the fleet's proxies
	command    *exec.Cmd
	configPath string
	logPath    string
	done       chan struct{}
	killOnce   sync.Once
}

// startServer starts PROGRAM serve with a configuration, and does not wait until it is ready.
func startProxyProcess(program []string, environment []string, directory string, index int, l proxyConfig,
	operator string) (*proxyProcess, error) {
	s := &proxyProcess{index: index, done: make(chan struct{}), configPath: filepath.Join(directory, l.Name+".json"),
		logPath: filepath.Join(directory, l.Name+".log")}
	if err := s.writeConfig(l); err != nil {
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
	// A run that is killed leaves no proxy behind.
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = s.command.Wait() // how it ended stands in its log
		close(s.done)
	}()
	return s, nil
}

// write puts the configuration in place whole.
func (s *proxyProcess) writeConfig(l proxyConfig) error {
	text, err := l.marshal()
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.configPath+".new", s.configPath)
}

func (s *proxyProcess) pid() int { return s.command.Process.Pid }

// awaitReady waits until clients may come.
func (s *proxyProcess) awaitReady(address string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		if answer, err := client.Get("http://" + address + "/-/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-s.done:
			return fmt.Errorf("proxy %d ended before it was ready: %s", s.index, s.lastLine())
		case <-time.After(pollInterval):
		}
	}
	return fmt.Errorf("proxy %d was not ready within %v: %s", s.index, readyTimeout, s.lastLine())
}

func (s *proxyProcess) lastLine() string {
	text, _ := os.ReadFile(s.logPath) // none says nothing
	text = bytes.TrimRight(text, "\n")
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

// hangUp has it read its configuration anew.
func (s *proxyProcess) signalReload() error { return s.command.Process.Signal(syscall.SIGHUP) }

// reloads are the times of its log at which a configuration was in force.
func (s *proxyProcess) reloadTimes() (at []time.Time) {
	text, _ := os.ReadFile(s.logPath) // none has no reloads
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

// kill ends it at once and waits.
func (s *proxyProcess) kill() {
	s.killOnce.Do(func() {
		if err := s.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return
		}
		<-s.done
	})
}

// stop asks it to end as planned, and kills it where it does not.
func (s *proxyProcess) stop() {
	_ = s.command.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-s.done:
	case <-time.After(stopTimeout):
	}
	s.kill()
}
