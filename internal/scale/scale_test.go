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

// sandpassProgram is the proxy as operators start it, built for these tests.
var sandpassProgram string

// TestMain is a helper where the environment says so.
func TestMain(m *testing.M) {
	if was, err := helper.Run(); was {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(withProgram(m))
}

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

func programs() Programs {
	return Programs{Proxy: []string{sandpassProgram, "serve"}, Helper: os.Args[0]}
}

var smallComparison = ComparisonOptions{ProxiesEach: 6, Restarts: 12, RestartsPerSecond: 6, CallsPerSecond: 100, CallSeconds: 5,
	IdleTime: 2 * time.Second, Replicas: 3, Changes: 4}

func TestHollowProxiesAreLikeRealOnes(t *testing.T) {
	t.Parallel()
	all, err := CompareInProcess(context.Background(), smallComparison, programs())
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range all {
		t.Logf("%s: real %.1f, hollow %.1f, %+.1f%%", l.Kind, l.Real, l.InProcess, 100*l.RelativeDifference())
		if silent := strings.HasPrefix(l.Kind, "list watch, restarts, ") && strings.HasSuffix(l.Kind, " out"); silent != (l.Real == 0) {
			t.Errorf("%s: %.1f was counted, and only an open watch has nothing to send", l.Kind, l.Real)
		}
	}
	for _, l := range OutsideTolerance(all) {
		t.Errorf("%s: real %.1f, hollow %.1f", l.Kind, l.Real, l.InProcess)
	}
}

func TestAHollowProxyThatSkipsItsWorkIsFound(t *testing.T) {
	t.Parallel()
	o := smallComparison
	o.SeedDefect, o.Restarts, o.CallSeconds = true, 3, 0.5
	all, err := CompareInProcess(context.Background(), o, programs())
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range all {
		if l.Real > 0 && len(OutsideTolerance([]Comparison{l})) == 0 {
			t.Errorf("%s: real %.1f, hollow %.1f, where the hollow proxies do nothing", l.Kind, l.Real, l.InProcess)
		}
	}
	if len(OutsideTolerance(all)) < 6 {
		t.Errorf("%d kinds differ where the hollow proxies do nothing", len(OutsideTolerance(all)))
	}
}

// signalZero tells by its error that a process is no more.
func checkProcessExists(pid int) error { return syscall.Kill(pid, 0) }
