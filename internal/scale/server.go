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
	readyWithin = 20 * time.Second
	endWithin   = 8 * time.Second
	lookEvery   = 10 * time.Millisecond
)

// server is a real proxy process.
type server struct {
	index   int // of the fleet's proxies
	command *exec.Cmd
	config  string
	logPath string
	ended   chan struct{}
	once    sync.Once
}

// startServer starts PROGRAM serve with a configuration, and does not wait until it is ready.
func startServer(program []string, environment []string, directory string, index int, l launch,
	operator string) (*server, error) {
	s := &server{index: index, ended: make(chan struct{}), config: filepath.Join(directory, l.Name+".json"),
		logPath: filepath.Join(directory, l.Name+".log")}
	if err := s.write(l); err != nil {
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
	s.command.Env = append(append(os.Environ(), environment...), "NODE_CONFIG="+s.config)
	s.command.Stdout, s.command.Stderr = out, out
	// A run that is killed leaves no proxy behind.
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = s.command.Wait() // how it ended stands in its log
		close(s.ended)
	}()
	return s, nil
}

// write puts the configuration in place whole.
func (s *server) write(l launch) error {
	text, err := l.text()
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.config+".new", s.config)
}

func (s *server) pid() int { return s.command.Process.Pid }

// awaitReady waits until clients may come.
func (s *server) awaitReady(address string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); {
		if answer, err := client.Get("http://" + address + "/-/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-s.ended:
			return fmt.Errorf("proxy %d ended before it was ready: %s", s.index, s.lastLine())
		case <-time.After(lookEvery):
		}
	}
	return fmt.Errorf("proxy %d was not ready within %v: %s", s.index, readyWithin, s.lastLine())
}

func (s *server) lastLine() string {
	text, _ := os.ReadFile(s.logPath) // none says nothing
	text = bytes.TrimRight(text, "\n")
	return string(text[bytes.LastIndexByte(text, '\n')+1:])
}

// hangUp has it read its configuration anew.
func (s *server) hangUp() error { return s.command.Process.Signal(syscall.SIGHUP) }

// reloads are the times of its log at which a configuration was in force.
func (s *server) reloads() (at []time.Time) {
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
func (s *server) kill() {
	s.once.Do(func() {
		if err := s.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return
		}
		<-s.ended
	})
}

// stop asks it to end as planned, and kills it where it does not.
func (s *server) stop() {
	_ = s.command.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-s.ended:
	case <-time.After(endWithin):
	}
	s.kill()
}
