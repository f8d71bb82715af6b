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

// startReplica starts a fleet's only control replica, and gives its address.
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

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs a control command.
func runCommand(t *testing.T, args ...string) (code int, out, problem string) {
	t.Helper()
	command := controlCommand()
	var output, complaint bytes.Buffer
	command.SetOut(&output)
	command.SetErr(&complaint)
	command.SetArgs(args)
	command.SilenceErrors, command.SilenceUsage = true, true
	if err := command.ExecuteContext(context.Background()); err != nil {
		return exitCode(err), output.String(), complaint.String() + err.Error()
	}
	return exitDone, output.String(), complaint.String()
}

// mustControl runs a command whose exit code and words are known.
func mustControl(t *testing.T, code int, words string, args ...string) string {
	t.Helper()
	got, out, problem := runCommand(t, args...)
	if got != code || !strings.Contains(out+problem, words) {
		t.Errorf("%q: %d, %s%s; wanted %d and %q", args, got, out, problem, code, words)
	}
	return out
}

func TestAnOperatorsWay(t *testing.T) {
	address := startReplica(t)
	more := writeFile(t, "more.json", `{"settings":{"overage_utility":0.2}}`)
	less := writeFile(t, "less.json", `{"settings":{"overage_utility":0.05}}`)
	wrong := writeFile(t, "wrong.json", `{"settings":{"tick_ms":"soon"}}`)
	malformed := writeFile(t, "malformed.json", "{\n \"settings\": }")
	at := "--replicas=" + address
	mustControl(t, exitDone, "revision 1 accepted for fleet, made from revision 0", "apply", more, at, "--scope=fleet",
		"--reason=more", "--author=anna")
	mustControl(t, exitDone, "0.05", "diff", less, at, "--scope=fleet")
	mustControl(t, exitDone, "would be refused", "diff", wrong, at, "--scope=fleet")
	mustControl(t, exitConflict, "anna", "apply", less, at, "--scope=fleet", "--reason=less", "--author=bert", "--base=0")
	mustControl(t, exitRefused, "fleet", "apply", wrong, at, "--scope=fleet", "--reason=wrong", "--author=bert")
	mustControl(t, exitUsage, "line 2, column", "apply", malformed, at, "--scope=fleet", "--reason=wrong", "--author=bert")
	mustControl(t, exitDone, "revision 2 accepted for zone:eu-1", "apply", less, at, "--scope=zone:eu-1",
		"--reason=less", "--author=bert", "--wait")
	mustControl(t, exitDone, "settings.overage_utility", "show", at, "--proxy=p1", "--zone=eu-1", "--origins")
	mustControl(t, exitDone, "revision 1", "show", at, "--scope=fleet")
	mustControl(t, exitDone, "revision 3 accepted for zone:eu-1", "rollback", "2", at, "--reason=back", "--author=bert")
	mustControl(t, exitDone, "rollback to 2", "history", at, "--scope=zone:eu-1")
	mustControl(t, exitUsage, "not in the history", "rollback", "77", at, "--reason=back", "--author=bert")
	mustControl(t, exitDone, "newest revision 3", "status", at)
	var status controlapi.StatusResponse
	text := mustControl(t, exitDone, "{", "status", at, "--json")
	if err := json.Unmarshal([]byte(text), &status); err != nil || status.Leader != "c1" {
		t.Errorf("%+v, %v", status, err)
	}
}

func TestUsageMistakesHaveTheirExitCode(t *testing.T) {
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
			t.Errorf("%q: %d, %q", args, code, problem)
		}
	}
}

func TestNobodyAnswers(t *testing.T) {
	file := writeFile(t, "some.json", "{}")
	mustControl(t, exitNoQuorum, "no replica answers", "status", "--replicas=127.0.0.1:1", "--timeout=300ms")
	mustControl(t, exitNoQuorum, "no replica answers", "apply", file, "--replicas=127.0.0.1:1", "--timeout=300ms",
		"--scope=fleet", "--reason=r", "--author=a", "--base=0")
}

func TestWaitingInVainNamesWhoIsMissing(t *testing.T) {
	address := startReplica(t)
	at := "--replicas=" + address
	mustControl(t, exitDone, "newest revision 0", "status", at)
	body, out := io.Pipe()
	defer out.Close()
	go json.NewEncoder(out).Encode(revision.Hello{Protocol: 1, Identity: revision.Identity{Fleet: "shop", Proxy: "mute"}})
	answer, err := http.Post("http://"+address+revision.WatchPath, "application/json", body)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	file := writeFile(t, "some.json", `{"settings":{"overage_utility":0.2}}`)
	begin := time.Now()
	mustControl(t, exitWaiting, "mute (at 0)", "apply", file, at, "--scope=fleet", "--reason=r",
		"--author=a", "--wait", "--timeout=2s")
	if took := time.Since(begin); took > 4*time.Second {
		t.Errorf("it took %v", took)
	}
}
