package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sandpass/internal/scale/helper"
)

// sandpassProgram is the path of the proxy program, built for these tests.
var sandpassProgram string

// TestMain runs this program as a helper if the environment says so, and otherwise builds the proxy and runs the tests.
func TestMain(m *testing.M) {
	if isHelper, err := helper.Run(); isHelper {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(withProgram(m))
}

// withProgram builds the proxy and runs the tests.
func withProgram(m *testing.M) int {
	directory, err := os.MkdirTemp("", "scale-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	sandpassProgram = filepath.Join(directory, "sandpass")
	if out, err := exec.Command("go", "build", "-o", directory+"/", "sandpass/cmd/sandpass",
		"sandpass/cmd/sandpass-control").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		return 1
	}
	return m.Run()
}

// programs returns the programs of a run: the proxy, and this test program as the helper.
func programs() Programs {
	return Programs{Proxy: []string{sandpassProgram, "serve"}, Helper: os.Args[0]}
}

// smallComparison is a comparison of six proxies of each kind.
var smallComparison = ComparisonOptions{ProxiesEach: 6, Restarts: 12, RestartsPerSecond: 6, CallsPerSecond: 100, CallSeconds: 5,
	IdleTime: 2 * time.Second, Replicas: 3, Changes: 4}

func TestInProcessProxiesMatchRealOnes(t *testing.T) {
	t.Parallel()
	all, err := CompareInProcess(context.Background(), smallComparison, programs())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range all {
		t.Logf("%s: real %.1f, in-process %.1f, %+.1f%%", c.Kind, c.Real, c.InProcess, 100*c.RelativeDifference())
		if silent := strings.HasPrefix(c.Kind, "list watch, restarts, ") &&
			strings.HasSuffix(c.Kind, " out"); silent != (c.Real == 0) {
			t.Errorf("%s: counted %.1f; only an open watch should send nothing", c.Kind, c.Real)
		}
	}
	for _, c := range OutsideTolerance(all) {
		t.Errorf("%s: real %.1f, in-process %.1f", c.Kind, c.Real, c.InProcess)
	}
}

func TestComparisonFindsIdleInProcessProxies(t *testing.T) {
	t.Parallel()
	o := smallComparison
	o.SeedDefect, o.Restarts, o.CallSeconds = true, 3, 0.5
	all, err := CompareInProcess(context.Background(), o, programs())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range all {
		if c.Real > 0 && len(OutsideTolerance([]Comparison{c})) == 0 {
			t.Errorf("%s: real %.1f, in-process %.1f, although the in-process proxies do not run", c.Kind, c.Real, c.InProcess)
		}
	}
	if len(OutsideTolerance(all)) < 6 {
		t.Errorf("only %d kinds differ although the in-process proxies do not run", len(OutsideTolerance(all)))
	}
}

// checkProcessExists returns an error if there is no process with the ID.
func checkProcessExists(pid int) error { return syscall.Kill(pid, 0) }
