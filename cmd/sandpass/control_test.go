package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// `sandpass control` runs sandpass-control from its own directory, passes on all arguments and exits with its status.
func TestControlRunsProgramInSameDirectory(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "sandpass")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	out, err := exec.Command(program, "control", "status").CombinedOutput()
	if err == nil || !strings.Contains(string(out), "it must be installed in the same directory as sandpass") {
		t.Errorf("without the control program: %v, %s", err, out)
	}
	script := "#!/bin/sh\necho \"args: $*\"\nexit 5\n"
	if err := os.WriteFile(filepath.Join(folder, controlProgram), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	out, err = exec.Command(program, "control", "status", "--json", "-h").CombinedOutput()
	if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != 5 ||
		strings.TrimSpace(string(out)) != "args: status --json -h" {
		t.Errorf("with the control program: %v, %s", err, out)
	}
}
