// This file runs a proxy inside the test or sandlab program, which starts itself as a child process, so that a CPU profile can
// be taken. Operators run cmd/sandpass instead.

package testbed

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"slices"
	"sort"
	"sync/atomic"
	"syscall"

	"github.com/google/pprof/profile"

	"sandpass/internal/proxy"
)

// Environment variables that make a program which calls RunProxyIfRequested the proxy.
const (
	RunProxyEnv = "SANDLAB_PROXY"
	profileEnv  = "SANDLAB_PROFILE"
	operatorEnv = "SANDLAB_OPERATOR"
)

// RunProxyIfRequested runs the proxy if RunProxyEnv is set to 1, and reports whether it did.
func RunProxyIfRequested() (bool, error) {
	if os.Getenv(RunProxyEnv) != "1" {
		return false, nil
	}
	text, err := os.ReadFile(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return true, err
	}
	config, err := proxy.ParseConfig(text)
	if err != nil {
		return true, err
	}
	if err := config.LoadOperatorFile(os.Getenv(operatorEnv)); err != nil {
		return true, err
	}
	runtime.GOMAXPROCS(1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	p, err := proxy.New(config)
	if err != nil {
		return true, err
	}
	if path := os.Getenv(profileEnv); path != "" {
		out, err := os.Create(path)
		if err != nil {
			return true, err
		}
		defer out.Close()
		if err := pprof.StartCPUProfile(out); err != nil {
			return true, err
		}
		defer pprof.StopCPUProfile()
	}
	var stopRequested atomic.Bool
	go func() {
		<-signals
		stopRequested.Store(true)
		p.WakeUp()
	}()
	return true, p.Run(stopRequested.Load)
}

// hotFunctions names the n functions of a profile with the highest flat time, that is without the functions they call.
func hotFunctions(path string, n int) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	p, err := profile.Parse(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	flat := map[string]int64{}
	total := int64(0)
	for _, s := range p.Sample {
		v := s.Value[len(s.Value)-1]
		total += v
		if len(s.Location) > 0 && len(s.Location[0].Line) > 0 {
			flat[s.Location[0].Line[0].Function.Name] += v
		}
	}
	var names []string
	for f := range flat {
		names = append(names, f)
	}
	sort.Strings(names)
	slices.SortStableFunc(names, func(x, y string) int { return int(flat[y] - flat[x]) })
	var out []string
	for _, f := range names[:min(n, len(names))] {
		out = append(out, fmt.Sprintf("%s %.0f%%", f, 100*float64(flat[f])/float64(max(1, total))))
	}
	return out, nil
}
