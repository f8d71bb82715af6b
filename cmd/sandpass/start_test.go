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

// writeConfig writes the example configuration with a free address, and returns its path and the address.
func writeConfig(t *testing.T) (config, address string) {
	t.Helper()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = free.Addr().String()
	free.Close()
	config = filepath.Join(t.TempDir(), "c.json")
	changed := strings.NewReplacer("127.0.0.1:9000", address, "127.0.0.1:9100", "127.0.0.1:0",
		"127.0.0.1:8500", "127.0.0.1:1").Replace(string(text))
	if err := os.WriteFile(config, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return config, address
}

// waitReachable waits until the process at the address responds to the readiness check, with any status.
func waitReachable(address string, timeout time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + address + "/-/ready")
		if err == nil {
			response.Body.Close()
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}

// A system call that fails temporarily during startup may only delay it. Nine in ten processes must start within 10 s, the others
// within 30 s.
func TestStartSurvivesFailingSystemCalls(t *testing.T) {
	for _, rules := range []string{"socket@1=ENFILE", "socket@1=ENOBUFS", "socket@1-5=EMFILE", "bind@1=EADDRNOTAVAIL",
		"bind@1-20=EADDRINUSE", "listen@1=EADDRINUSE", "epoll_create@1=ENFILE", "epoll_create@1-3=ENOMEM",
		"eventfd@1=ENFILE", "epoll_ctl@1=ENOMEM", "epoll_ctl@2=ENOSPC",
		"socket@1=ENFILE,bind@1=EADDRNOTAVAIL,listen@1=EADDRINUSE,epoll_ctl@1-2=ENOMEM"} {
		t.Run(rules, func(t *testing.T) {
			t.Parallel()
			config, address := writeConfig(t)
			cmd, out := sandpass(config, "serve")
			cmd.Env = append(cmd.Env, faultinject.Env+"="+rules)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			if err := waitReachable(address, 10*time.Second); err != nil {
				cmd.Process.Kill()
				t.Fatalf("%v; the process: %v, %s", err, <-ended, out)
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("shutdown: %v, %s", err, out)
			}
		})
	}
}

// deployedCommand returns the command in the deployment file, with the test binary in place of bin/sandpass.
func deployedCommand(t *testing.T) string {
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
	t.Fatal("the deployment file has no run line")
	return ""
}

// status returns a field of /proc/PID/status, "" once the process has ended.
func status(pid int, field string) string {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// inSet reports whether a signal set, in the format of /proc/PID/status, contains the signal.
func inSet(set string, s syscall.Signal) bool {
	bits, err := strconv.ParseUint(set, 16, 64)
	return err == nil && bits>>(s-1)&1 == 1
}

// A SIGHUP must not end the process, however early after exec it arrives: the configuration is read later anyway.
func TestSIGHUPRightAfterExec(t *testing.T) {
	run := deployedCommand(t)
	for i := range 10 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			config, address := writeConfig(t)
			out := &output{}
			cmd := exec.Command("/bin/sh", "-c", run)
			cmd.Env = append(os.Environ(), "SANDPASS_ITSELF=1", "NODE_CONFIG="+config)
			cmd.Stdout, cmd.Stderr = out, out
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			for status(cmd.Process.Pid, "Name") == "sh" { // until the shell has executed the program
			}
			time.Sleep(time.Duration(i) * time.Millisecond)
			cmd.Process.Signal(syscall.SIGHUP)
			if err := waitReachable(address, 10*time.Second); err != nil {
				cmd.Process.Kill()
				t.Fatalf("%v; the process: %v, %s", err, <-ended, out)
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("shutdown: %v, %s", err, out)
			}
		})
	}
}

// A SIGTERM before any Go code of the program runs must end it with status 0.
func TestSIGTERMRightAfterExec(t *testing.T) {
	for i := range 5 {
		config, _ := writeConfig(t)
		cmd, out := sandpass(config, "serve")
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		deadline := time.Now().Add(5 * time.Second)
		for !inSet(status(cmd.Process.Pid, "SigCgt"), syscall.SIGTERM) && time.Now().Before(deadline) {
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
			t.Errorf("%d: the process did not end, %s", i, out)
		}
	}
}

// Guards against a start that waits without a word of why: the log names each error that it waits for, not only the first.
func TestStartLogsEachErrorThatItWaitsFor(t *testing.T) {
	t.Parallel()
	config, address := writeConfig(t)
	other, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	cmd, out := sandpass(config, "serve")
	cmd.Env = append(cmd.Env, faultinject.Env+"=socket@1=ENFILE")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	out.waitFor(t, "too many open files in system")
	out.waitFor(t, "address already in use")
}
