// This file starts the proxy under test with the command of the deploy file, as the operators do, and ends it.

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

const readyTimeout = 30 * time.Second // the fleet page's limit

// proxyProcess is one running proxy.
type proxyProcess struct {
	address string
	command *exec.Cmd
	exited  chan struct{}
	state   string // how it exited, valid once exited is closed
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// runLine returns the line with which the deploy file starts the proxy.
func runLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("the deploy file has no run line")
	}
	return string(found[1]), nil
}

// configuration is what the platform tells a proxy.
type configuration struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     targets        `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// startProxy starts a proxy in a process group of its own and waits until it is ready.
func startProxy(root, folder string, config configuration) (*proxyProcess, error) {
	run, err := runLine(root)
	if err != nil {
		return nil, err
	}
	if config.Listen, err = freeAddress(); err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "proxy.log"))
	if err != nil {
		return nil, err
	}
	p := &proxyProcess{address: config.Listen, command: exec.Command("/bin/sh", "-c", run), exited: make(chan struct{})}
	p.command.Dir, p.command.Stdout, p.command.Stderr = root, log, log
	p.command.Env = append(os.Environ(), "NODE_NAME="+config.Name, "NODE_LISTEN="+config.Listen,
		"NODE_DISCOVERY="+config.Discovery, "NODE_CONFIG="+path, "TMPDIR="+folder)
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.command.Wait()
		p.state = p.command.ProcessState.String()
		close(p.exited)
	}()
	return p, p.waitReady()
}

// waitReady asks until the proxy says that it is ready.
func (p *proxyProcess) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.exited:
			return fmt.Errorf("the proxy ended before it was ready: %s", p.state)
		default:
		}
		answer, err := http.Get("http://" + p.address + "/-/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the proxy was not ready in time")
}

// running reports whether the process has not exited.
func (p *proxyProcess) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// end kills the process and waits for its end.
func (p *proxyProcess) end() {
	if p != nil && p.command != nil && p.command.Process != nil {
		p.command.Process.Kill()
		<-p.exited
	}
}
