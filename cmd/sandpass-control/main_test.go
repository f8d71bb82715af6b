package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandpass/internal/controlapi"
	"sandpass/internal/controlserver"
	"sandpass/internal/revision"
)

// startReplica starts the only control replica of a fleet and returns its address.
func startReplica(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	base, err := filepath.Abs("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("fleet = \"shop\"\nname = \"c1\"\nfolder = \"log\"\nlisten = %q\ncheck_base = %q\n"+
		"[[replica]]\nname = \"c1\"\naddress = %q\n",
		address, base, address)
	config, err := controlserver.ReadConfig(writeFile(t, "control.toml", text))
	if err != nil {
		t.Fatal(err)
	}
	server, err := controlserver.New(config)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run() }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return address
}

// writeFile writes a file into a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs a control command and returns its exit code, output and error text.
func runCommand(t *testing.T, args ...string) (code int, out, problem string) {
	t.Helper()
	command := controlCommand()
	var stdout, stderr bytes.Buffer
	command.SetOut(&stdout)
	command.SetErr(&stderr)
	command.SetArgs(args)
	command.SilenceErrors, command.SilenceUsage = true, true
	if err := command.ExecuteContext(context.Background()); err != nil {
		return exitCode(err), stdout.String(), stderr.String() + err.Error()
	}
	return exitOK, stdout.String(), stderr.String()
}

// expectCommand runs a command and checks its exit code and a text that it must print.
func expectCommand(t *testing.T, code int, want string, args ...string) string {
	t.Helper()
	got, out, problem := runCommand(t, args...)
	if got != code || !strings.Contains(out+problem, want) {
		t.Errorf("%q: got exit code %d and %s%s; want %d and %q", args, got, out, problem, code, want)
	}
	return out
}

// All client commands must work against a running replica, with the documented exit codes.
func TestCommandsAgainstReplica(t *testing.T) {
	address := startReplica(t)
	more := writeFile(t, "more.json", `{"settings":{"overage_utility":0.2}}`)
	less := writeFile(t, "less.json", `{"settings":{"overage_utility":0.05}}`)
	wrong := writeFile(t, "wrong.json", `{"settings":{"tick_ms":"soon"}}`)
	malformed := writeFile(t, "malformed.json", "{\n \"settings\": }")
	at := "--replicas=" + address
	expectCommand(t, exitOK, "revision 1 accepted for fleet, made from revision 0", "apply", more, at, "--scope=fleet",
		"--reason=more", "--author=anna")
	expectCommand(t, exitOK, "0.05", "diff", less, at, "--scope=fleet")
	expectCommand(t, exitOK, "would be refused", "diff", wrong, at, "--scope=fleet")
	expectCommand(t, exitConflict, "anna", "apply", less, at, "--scope=fleet", "--reason=less", "--author=bert", "--base=0")
	expectCommand(t, exitRefused, "fleet", "apply", wrong, at, "--scope=fleet", "--reason=wrong", "--author=bert")
	expectCommand(t, exitUsage, "line 2, column", "apply", malformed, at, "--scope=fleet", "--reason=wrong", "--author=bert")
	expectCommand(t, exitOK, "revision 2 accepted for zone:eu-1", "apply", less, at, "--scope=zone:eu-1",
		"--reason=less", "--author=bert", "--wait")
	expectCommand(t, exitOK, "settings.overage_utility", "show", at, "--proxy=p1", "--zone=eu-1", "--origins")
	expectCommand(t, exitOK, "revision 1", "show", at, "--scope=fleet")
	expectCommand(t, exitOK, "revision 3 accepted for zone:eu-1", "rollback", "2", at, "--reason=back", "--author=bert")
	expectCommand(t, exitOK, "rollback to 2", "history", at, "--scope=zone:eu-1")
	expectCommand(t, exitUsage, "not in the history", "rollback", "77", at, "--reason=back", "--author=bert")
	expectCommand(t, exitOK, "newest revision 3", "status", at)
	var status controlapi.StatusResponse
	text := expectCommand(t, exitOK, "{", "status", at, "--json")
	if err := json.Unmarshal([]byte(text), &status); err != nil || status.Leader != "c1" {
		t.Errorf("status --json: got %+v, error %v; want leader c1", status, err)
	}
}

// Usage errors must end with exit code 2 and an error of one line.
func TestUsageErrorsExitWithUsageCode(t *testing.T) {
	file := writeFile(t, "some.json", "{}")
	at := "--replicas=127.0.0.1:1"
	for _, args := range [][]string{
		{"aply"}, {"apply", at, "--scope=fleet", "--reason=r"}, {"apply", file, at, "--scope=rack:1", "--reason=r", "--author=a"},
		{"apply", file, at, "--reason=r", "--author=a"}, {"apply", file, at, "--scope=fleet", "--author=a"},
		{"apply", file + ".missing", at, "--scope=fleet", "--reason=r", "--author=a"},
		{"history", at, "--limit=many"}, {"history", at, "--colour"}, {"show", at}, {"show", at, "--scope=fleet", "--proxy=p1"},
		{"rollback", "first", at, "--reason=r", "--author=a"}, {"status", "--replicas="}, {"serve"}, {"serve", "--config=" + file},
	} {
		if code, _, problem := runCommand(t, args...); code != exitUsage || problem == "" || strings.Contains(problem, "\n") {
			t.Errorf("%q: got exit code %d and error %q; want code 2 and an error of one line", args, code, problem)
		}
	}
}

// If no replica can be reached, reads and changes must end with exit code 5.
func TestUnreachableReplicasExitWithNoQuorumCode(t *testing.T) {
	file := writeFile(t, "some.json", "{}")
	expectCommand(t, exitNoQuorum, "no replica answers", "status", "--replicas=127.0.0.1:1", "--timeout=300ms")
	expectCommand(t, exitNoQuorum, "no replica answers", "apply", file, "--replicas=127.0.0.1:1", "--timeout=300ms",
		"--scope=fleet", "--reason=r", "--author=a", "--base=0")
}

// If a connected proxy never reports the revision, --wait must give up at its timeout and name the proxy.
func TestWaitTimeoutNamesMissingProxies(t *testing.T) {
	address := startReplica(t)
	at := "--replicas=" + address
	expectCommand(t, exitOK, "newest revision 0", "status", at)
	body, out := io.Pipe()
	defer out.Close()
	go json.NewEncoder(out).Encode(revision.Hello{Protocol: 1, Identity: revision.Identity{Fleet: "shop", Proxy: "mute"}})
	answer, err := http.Post("http://"+address+revision.WatchPath, "application/json", body)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	file := writeFile(t, "some.json", `{"settings":{"overage_utility":0.2}}`)
	start := time.Now()
	expectCommand(t, exitNotInForce, "mute (at 0)", "apply", file, at, "--scope=fleet", "--reason=r",
		"--author=a", "--wait", "--timeout=2s")
	if took := time.Since(start); took > 4*time.Second {
		t.Errorf("--wait with a timeout of 2s took %v, want at most 4s", took)
	}
}
