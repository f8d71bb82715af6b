package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"sandpass/internal/faultinject"
)

// configured writes the example's configuration with an address that is free, and gives both.
func configured(t *testing.T) (config, at string) {
	t.Helper()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at = free.Addr().String()
	free.Close()
	config = filepath.Join(t.TempDir(), "c.json")
	changed := strings.NewReplacer("127.0.0.1:9000", at, "127.0.0.1:9100", "127.0.0.1:0", "127.0.0.1:8500", "127.0.0.1:1").Replace(string(text))
	if err := os.WriteFile(config, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return config, at
}

// answers waits until the process at the address answers whether it is ready, with either word.
func answers(at string, within time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		answer, err := client.Get("http://" + at + "/-/ready")
		if err == nil {
			answer.Body.Close()
			return nil
		}
		if time.Now().After(until) {
			return err
		}
	}
}

// A call of the start that fails for a moment delays it; nine in ten processes have 10 s, the others 30.
func TestAStartOutlivesCallsThatFail(t *testing.T) {
	for _, rules := range []string{"socket@1=ENFILE", "socket@1=ENOBUFS", "socket@1-5=EMFILE", "bind@1=EADDRNOTAVAIL", "bind@1-20=EADDRINUSE",
		"listen@1=EADDRINUSE", "epoll_create@1=ENFILE", "epoll_create@1-3=ENOMEM", "eventfd@1=ENFILE", "epoll_ctl@1=ENOMEM",
		"epoll_ctl@2=ENOSPC", "socket@1=ENFILE,bind@1=EADDRNOTAVAIL,listen@1=EADDRINUSE,epoll_ctl@1-2=ENOMEM"} {
		t.Run(rules, func(t *testing.T) {
			t.Parallel()
			config, at := configured(t)
			cmd, out := sandpass(config, "serve")
			cmd.Env = append(cmd.Env, faultinject.Env+"="+rules)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			if err := answers(at, 10*time.Second); err != nil {
				cmd.Process.Kill()
				t.Fatalf("%v; the process: %v, %s", err, <-ended, out)
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("its end: %v, %s", err, out)
			}
		})
	}
}

// runLine is the operators' own command with this test program in the place of theirs.
func runLine(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if run, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			quoted, err := strconv.QuotedPrefix(run)
			if err != nil {
				t.Fatal(err)
			}
			command, err := strconv.Unquote(quoted)
			if err != nil || !strings.Contains(command, "bin/sandpass") {
				t.Fatalf("%s: %v", line, err)
			}
			return strings.Replace(command, "bin/sandpass", os.Args[0], 1)
		}
	}
	t.Fatal("the deploy file has no run")
	return ""
}

// status is a field of the process's status as the kernel tells it, nothing once it has ended.
func status(pid int, field string) string {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// inSet tells whether a set of signals, as status tells it, holds one.
func inSet(set string, s syscall.Signal) bool {
	bits, err := strconv.ParseUint(set, 16, 64)
	return err == nil && bits>>(s-1)&1 == 1
}

// SIGHUP ends no process, however early it comes after exec: the configuration is read after that.
func TestSIGHUPRightAfterExec(t *testing.T) {
	run := runLine(t)
	for i := range 10 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			config, at := configured(t)
			out := &output{}
			cmd := exec.Command("/bin/sh", "-c", run)
			cmd.Env = append(os.Environ(), "SANDPASS_ITSELF=1", "NODE_CONFIG="+config)
			cmd.Stdout, cmd.Stderr = out, out
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			for status(cmd.Process.Pid, "Name") == "sh" { // until it is the program: the signal is for that
			}
			time.Sleep(time.Duration(i) * time.Millisecond)
			cmd.Process.Signal(syscall.SIGHUP)
			if err := answers(at, 10*time.Second); err != nil {
				cmd.Process.Kill()
				t.Fatalf("%v; the process: %v, %s", err, <-ended, out)
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("its end: %v, %s", err, out)
			}
		})
	}
}

// SIGTERM before any of the program's Go code runs ends it as well, and in order.
func TestSIGTERMRightAfterExec(t *testing.T) {
	for i := range 5 {
		config, _ := configured(t)
		cmd, out := sandpass(config, "serve")
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		until := time.Now().Add(5 * time.Second)
		for !inSet(status(cmd.Process.Pid, "SigCgt"), syscall.SIGTERM) && time.Now().Before(until) {
		}
		time.Sleep(time.Duration(i) * time.Millisecond)
		cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("%d: %v, %s", i, err, out)
			}
		case <-time.After(10 * time.Second):
			cmd.Process.Kill()
			t.Errorf("%d: it did not end, %s", i, out)
		}
	}
}
