package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sandpass/internal/faultinject"
	"sandpass/internal/snapshot"
)

// TestMain runs the program itself if SANDPASS_ITSELF is 1, so that tests can start the test binary as the proxy.
func TestMain(m *testing.M) {
	if os.Getenv("SANDPASS_ITSELF") == "1" {
		if err := faultinject.Install(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// output collects the output of a process.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// sandpass returns a command that runs the program, and its output.
func sandpass(config string, args ...string) (*exec.Cmd, *output) {
	out := &output{}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "SANDPASS_ITSELF=1", "NODE_CONFIG="+config)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, out
}

// A start with a bad configuration, operator file or command must fail with status 1 and one line of output.
func TestBadStart(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(broken, []byte(`{"listen": 7`), 0o600); err != nil {
		t.Fatal(err)
	}
	operatorFile := filepath.Join(t.TempDir(), "o.toml")
	if err := os.WriteFile(operatorFile, []byte("[state]\nfoldr = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	foreign := t.TempDir()
	ours := filepath.Join(t.TempDir(), "ours.toml")
	if err := os.WriteFile(ours, fmt.Appendf(nil, "[state]\nfolder = %q\nfleet = \"mill\"\n", foreign), 0o600); err != nil {
		t.Fatal(err)
	}
	theirs, err := snapshot.Encode(&snapshot.State{Fleet: "shop", Name: "n0"})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(foreign, "n0.state"), theirs, 0o600); err != nil {
		t.Fatal(err)
	}
	good := "../../example/config.json"
	for name, c := range map[string]struct {
		config string
		args   []string
	}{
		"no operator file":       {good, []string{"check", "--operator", operatorFile + "x"}},
		"an unknown key":         {good, []string{"check", "--operator", operatorFile}},
		"another fleet's folder": {good, []string{"serve", "--operator", ours}},
		"no configuration":       {"", []string{"serve"}}, "missing configuration": {broken + "x", []string{"serve"}},
		"not JSON": {broken, []string{"serve"}}, "not JSON, checked": {broken, []string{"check"}},
		"unknown command": {"", []string{"dance"}},
	} {
		cmd, out := sandpass(c.config, c.args...)
		err := cmd.Run()
		if cmd.ProcessState.ExitCode() != 1 || strings.Count(out.String(), "\n") != 1 {
			t.Errorf("%s: %v, %q", name, err, out)
		}
	}
}

// startServing starts the program with the example configuration and waits until it listens.
func startServing(t *testing.T) (cmd *exec.Cmd, out *output, config, changed string) {
	t.Helper()
	config, address := writeConfig(t)
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	changed = string(text)
	cmd, out = sandpass(config, "serve")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	for range 500 { // for at most five seconds
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return cmd, out, config, changed
}

// waitFor waits until the output contains the text.
func (o *output) waitFor(t *testing.T, want string) {
	t.Helper()
	for range 500 {
		if strings.Contains(o.String(), want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%q is not in the output: %s", want, o)
}

// A SIGTERM during a reload waited until the configuration was read, here from a FIFO that never ends. A second SIGTERM must
// change nothing.
func TestSIGTERMDuringReload(t *testing.T) {
	cmd, out, config, _ := startServing(t)
	if err := os.Remove(config); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(config, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	writer, err := os.OpenFile(config, os.O_WRONLY, 0) // blocks until the program opens it for reading
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	cmd.Process.Signal(syscall.SIGTERM)
	out.waitFor(t, "msg=ending")
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || !strings.Contains(out.String(), "msg=ended") {
		t.Errorf("graceful shutdown: %v, %s", err, out)
	}
}

// A SIGTERM before the proxy has any list of backends must lead to a graceful shutdown as well.
func TestServe(t *testing.T) {
	cmd, out, config, changed := startServing(t)
	// SIGHUP makes it read the file again: a valid one is applied, an invalid one only logged.
	for _, step := range []struct{ from, to, want string }{
		{"127.0.0.1:1", "127.0.0.1:2", "msg=reloaded discovery=127.0.0.1:2"}, {`"seed"`, `"seed`, "msg=reload_not_taken"},
	} {
		changed = strings.Replace(changed, step.from, step.to, 1)
		if err := os.WriteFile(config, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		out.waitFor(t, step.want)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("graceful shutdown: %v, %s", err, out)
	}
}
