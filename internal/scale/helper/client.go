package helper

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const endWithin = 15 * time.Second

// Process is a helper that was started.
type Process struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *json.Decoder
	mu      sync.Mutex // one request at a time
	ended   chan struct{}
	once    sync.Once
}

// Launch starts a helper of a program that calls Run.
func Launch(program string, role Role, environment ...string) (*Process, error) {
	p := &Process{command: exec.Command(program), ended: make(chan struct{})}
	p.command.Env = append(append(os.Environ(), RoleEnv+"="+string(role)), environment...)
	p.command.Stderr = os.Stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if p.in, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = json.NewDecoder(bufio.NewReader(out))
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_, _ = p.command.Process.Wait()
		close(p.ended)
	}()
	return p, nil
}

// PID is the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Do sends a request and waits for its answer.
func (p *Process) Do(r Request) (*Response, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := json.NewEncoder(p.in).Encode(r); err != nil {
		return nil, fmt.Errorf("helper: %w", err)
	}
	var a Response
	if err := p.out.Decode(&a); err != nil {
		return nil, fmt.Errorf("helper: %w", err)
	}
	if a.Error != "" {
		return &a, errors.New(a.Error)
	}
	return &a, nil
}

// Kill ends the helper at once and waits.
func (p *Process) Kill() {
	p.once.Do(func() {
		p.in.Close()
		_ = p.command.Process.Kill() // it may have ended just now
		<-p.ended
	})
}

// Close ends the helper and waits for it.
func (p *Process) Close() {
	p.once.Do(func() {
		p.in.Close()
		select {
		case <-p.ended:
		case <-time.After(endWithin):
			_ = p.command.Process.Kill() // it may have ended just now
			<-p.ended
		}
	})
}
