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

// TestMain is the program itself where the environment says so.
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

// output is what a process has said so far.
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

func sandpass(config string, args ...string) (*exec.Cmd, *output) {
	out := &output{}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "SANDPASS_ITSELF=1", "NODE_CONFIG="+config)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd, out
}

func TestBadStart(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(broken, []byte(`{"listen": 7`), 0o600); err != nil {
		t.Fatal(err)
	}
	words := filepath.Join(t.TempDir(), "o.toml")
	if err := os.WriteFile(words, []byte("[state]\nfoldr = \"x\"\n"), 0o600); err != nil {
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
		"no operators' file": {good, []string{"check", "--operator", words + "x"}}, "a key nobody knows": {good, []string{"check", "--operator", words}},
		"another fleet's folder": {good, []string{"serve", "--operator", ours}},
		"no configuration":       {"", []string{"serve"}}, "none there": {broken + "x", []string{"serve"}},
		"not JSON": {broken, []string{"serve"}}, "checked": {broken, []string{"check"}}, "unknown": {"", []string{"dance"}},
	} {
		cmd, out := sandpass(c.config, c.args...)
		err := cmd.Run()
		if cmd.ProcessState.ExitCode() != 1 || strings.Count(out.String(), "\n") != 1 {
			t.Errorf("%s: %v, %q", name, err, out)
		}
	}
}

// serving starts the program with the example's configuration, and waits until it listens.
func serving(t *testing.T) (cmd *exec.Cmd, out *output, config, changed string) {
	t.Helper()
	config, at := configured(t)
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
	for range 500 { // it listens within five seconds
		if c, err := net.Dial("tcp", at); err == nil {
			c.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return cmd, out, config, changed
}

// said waits until the process has said something.
func (o *output) said(t *testing.T, want string) {
	t.Helper()
	for range 500 {
		if strings.Contains(o.String(), want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no %s in %s", want, o)
}

// SIGTERM that came while a configuration was being read waited for that: here for a file that never comes to its end. A second
// one is no other end than the first.
func TestSIGTERMInTheMiddleOfAReload(t *testing.T) {
	cmd, out, config, _ := serving(t)
	if err := os.Remove(config); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(config, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	writer, err := os.OpenFile(config, os.O_WRONLY, 0) // waits until it is read
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	cmd.Process.Signal(syscall.SIGTERM)
	out.said(t, "msg=ending")
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || !strings.Contains(out.String(), "msg=ended") {
		t.Errorf("a planned end: %v, %s", err, out)
	}
}

// SIGTERM before there is any list is a planned end as well.
func TestServe(t *testing.T) {
	cmd, out, config, changed := serving(t)
	// SIGHUP has it read the file again: a good one is turned to, a bad one only named.
	for _, step := range []struct{ from, to, want string }{
		{"127.0.0.1:1", "127.0.0.1:2", "msg=reloaded discovery=127.0.0.1:2"}, {`"seed"`, `"seed`, "msg=reload_not_taken"},
	} {
		changed = strings.Replace(changed, step.from, step.to, 1)
		if err := os.WriteFile(config, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		out.said(t, step.want)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("a planned end: %v, %s", err, out)
	}
}
