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

const closeTimeout = 15 * time.Second

// Process is a running helper process.
type Process struct {
	command   *exec.Cmd
	in        io.WriteCloser
	out       *json.Decoder
	mu        sync.Mutex // held during a request: a helper handles one at a time
	done      chan struct{}
	closeOnce sync.Once
}

// Launch starts a program that calls Run as a helper of the given role.
func Launch(program string, role Role, environment ...string) (*Process, error) {
	p := &Process{command: exec.Command(program), done: make(chan struct{})}
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
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Do sends a request and waits for the response.
func (p *Process) Do(r Request) (*Response, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := json.NewEncoder(p.in).Encode(r); err != nil {
		return nil, fmt.Errorf("sending a request to the helper: %w", err)
	}
	var a Response
	if err := p.out.Decode(&a); err != nil {
		return nil, fmt.Errorf("reading the response of the helper: %w", err)
	}
	if a.Error != "" {
		return &a, errors.New(a.Error)
	}
	return &a, nil
}

// Kill kills the helper and waits until it has ended.
func (p *Process) Kill() {
	p.closeOnce.Do(func() {
		p.in.Close()
		_ = p.command.Process.Kill() // an error means that it has already ended
		<-p.done
	})
}

// Close ends the helper by closing its input, and kills it after closeTimeout.
func (p *Process) Close() {
	p.closeOnce.Do(func() {
		p.in.Close()
		select {
		case <-p.done:
		case <-time.After(closeTimeout):
			_ = p.command.Process.Kill() // an error means that it has already ended
			<-p.done
		}
	})
}
