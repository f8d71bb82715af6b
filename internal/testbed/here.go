// This file owns a proxy that runs in this very program, started by it as a child of itself, so that a profile can be
// taken. It must never be what operators run: that is cmd/sandpass.

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

// The environment that makes a program which calls Here the proxy.
const (
	RunProxyEnv = "SANDLAB_PROXY"
	profileEnv  = "SANDLAB_PROFILE"
	operatorEnv = "SANDLAB_OPERATOR"
)

// Here runs the proxy if the environment says so, and tells whether it did.
func RunProxyIfRequested() (bool, error) {
	if os.Getenv(RunProxyEnv) != "1" {
		return false, nil
	}
	text, err := os.ReadFile(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return true, err
	}
	l, err := proxy.ParseConfig(text)
	if err != nil {
		return true, err
	}
	if err := l.LoadOperatorFile(os.Getenv(operatorEnv)); err != nil {
		return true, err
	}
	runtime.GOMAXPROCS(1)
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	p, err := proxy.New(l)
	if err != nil {
		return true, err
	}
	if place := os.Getenv(profileEnv); place != "" {
		out, err := os.Create(place)
		if err != nil {
			return true, err
		}
		defer out.Close()
		if err := pprof.StartCPUProfile(out); err != nil {
			return true, err
		}
		defer pprof.StopCPUProfile()
	}
	var asked atomic.Bool
	go func() {
		<-ends
		asked.Store(true)
		p.WakeUp()
	}()
	return true, p.Run(asked.Load)
}

// dearest names the functions of a profile in which most of the time is spent, themselves alone and with what they call.
func dearest(place string, n int) ([]string, error) {
	in, err := os.Open(place)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	p, err := profile.Parse(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", place, err)
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
