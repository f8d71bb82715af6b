package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

// TestMain runs the proxy, or a faulty one, if the environment says so.
func TestMain(m *testing.M) {
	if os.Getenv("WRONG_PROXY") != "" {
		runFaultyProxy(os.Getenv("WRONG_PROXY"))
		return
	}
	if was, err := RunProxyIfRequested(); was {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runFaultyProxy runs a proxy that breaks a rule: it sends each command twice, invents answers, or answers nothing.
func runFaultyProxy(mode string) {
	text, _ := os.ReadFile(os.Getenv("NODE_CONFIG"))
	var c struct{ Listen, Discovery string }
	json.Unmarshal(text, &c)
	a, err := http.Get("http://" + c.Discovery + "/api/targets")
	if err != nil {
		return
	}
	var list struct{ Endpoints []struct{ Address string } }
	json.NewDecoder(a.Body).Decode(&list)
	a.Body.Close()
	n := 0
	http.ListenAndServe(c.Listen, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasPrefix(q.URL.Path, "/-/") {
			return
		}
		if mode == "silent" {
			time.Sleep(10 * time.Second)
			return
		}
		body, _ := io.ReadAll(q.Body)
		var answer []byte
		for range 2 {
			n++
			h, _ := http.NewRequest(q.Method, "http://"+list.Endpoints[n%len(list.Endpoints)].Address+q.URL.Path, bytes.NewReader(body))
			h.Header = q.Header.Clone()
			a, err := http.DefaultClient.Do(h)
			if err != nil {
				w.WriteHeader(500)
				return
			}
			answer, _ = io.ReadAll(a.Body)
			a.Body.Close()
			if mode != "twice" {
				break
			}
		}
		if mode == "made-up" {
			answer = []byte("all is well")
		}
		w.Write(answer)
	}))
}

// smallWorld returns a world of a few processes.
func smallWorld() emulator.World {
	w := emulator.Default()
	w.Duration, w.Warmup, w.Zones, w.Instances, w.Rate = 6, 0.5, 2, 2, 60
	w.Tiers[0].Backends, w.Tiers[1].Backends = 4, 3
	w.Rules.WarmUp, w.Rules.DrainTime, w.Clients.EarlyLeaveShare = 2, 0.8, 0
	return w
}

// runWorld executes a world and plan with real proxies.
func runWorld(t *testing.T, w emulator.World, plan faults.Plan, env ...string) RunOutcome {
	t.Helper()
	if err := plan.Check(w.Bounds()); err != nil {
		t.Fatal(err)
	}
	h, err := New(w, plan, 5, []string{os.Args[0]}, append([]string{RunProxyEnv + "=1"}, env...))
	if err != nil {
		t.Fatal(err)
	}
	out, err := h.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Runs the clients of the emulator through real proxies, with several faults at once. No rule may be broken.
func TestLiveRunBreaksNoRule(t *testing.T) {
	for _, c := range []struct {
		name string
		plan faults.Plan
	}{
		{"backends", faults.Plan{
			{Kind: faults.Crash, Zone: -1, To: -1, Share: 0.25, From: 1.5, For: 1.5},
			{Kind: faults.Slow, Tier: 1, Zone: -1, To: -1, Share: 0.3, From: 2, For: 2, Hard: 0.7},
			{Kind: faults.LoseAnswers, Tier: 0, Zone: -1, To: -1, Share: 1, From: 1, For: 3, Hard: 0.05},
			{Kind: faults.Refuse, Tier: 1, Zone: -1, To: -1, Share: 0.3, From: 3, For: 2, Hard: 0.5},
		}},
		{"fleet", faults.Plan{
			{Kind: faults.RollingReplace, Zone: -1, To: -1, Share: 0.5, From: 1, For: 1.5},
			{Kind: faults.RestartInstances, Zone: -1, To: -1, Share: 0.5, From: 1.5, For: 1},
			{Kind: faults.DiscoverySilent, Zone: -1, To: -1, From: 3, For: 1},
		}},
		{"links", faults.Plan{
			{Kind: faults.Partition, Zone: 1, To: -1, From: 1, For: 1.5, Hard: 1},
			{Kind: faults.Crash, Zone: -1, To: -1, Share: 0.25, From: 3, For: 1},
		}},
		{"one-way partition and a kill", faults.Plan{
			{Kind: faults.Partition, Zone: 0, To: 1, From: 1, For: 2, Hard: 0.5},
			{Kind: faults.KillInstances, Zone: -1, To: -1, Share: 0.5, From: 1.5, For: 1},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := smallWorld()
			out := runWorld(t, w, c.plan)
			a := out.Report
			if want := len(emulator.Arrivals(w, c.plan, 5)); a.Operations == 0 || a.Operations > want {
				t.Errorf("%d operations, want 1 to %d", a.Operations, want)
			}
			if a.ViolationCount() > 0 && out.MaxSendDelay < 0.04 { // otherwise the machine was too busy for a valid run
				t.Errorf("rules: %v", a.Violations)
			}
			if served := a.ServedUtility / a.OfferedUtility; served < 0.6 {
				t.Errorf("served %.2f; lost %v", served, a.Losses)
			}
		})
	}
}

func TestFaultyProxiesAreDetected(t *testing.T) {
	for mode, c := range map[string]struct {
		rule checker.Rule
		want string
	}{
		"twice":   {checker.NoDoubleEffect, "may have run"},
		"made-up": {checker.OneAnswer, "what no backend made"},
		"silent":  {checker.OneAnswer, "never had a final answer"},
	} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			w := smallWorld()
			w.Duration, w.Rate = 2, 20
			w.KeepFirstTier()
			a := runWorld(t, w, nil, "WRONG_PROXY="+mode).Report
			if a.RuleCounts[c.rule] == 0 || !strings.Contains(fmt.Sprint(a.Violations), c.want) {
				t.Errorf("want a violation of rule %d with %q, have %v", c.rule, c.want, a.Violations)
			}
		})
	}
}

func TestUnsupportedFaultIsNamedInError(t *testing.T) {
	_, err := New(smallWorld(), faults.Plan{{Kind: faults.Slow}, {Kind: faults.DeadlineSkew}}, 1, nil, nil)
	if err == nil || !strings.Contains(err.Error(), "fault[1] (skew): not supported by sockets on loopback") {
		t.Error(err)
	}
}

func TestProxyStartFailureIsReported(t *testing.T) {
	h, err := New(smallWorld(), nil, 1, []string{"/bin/sh", "-c", "echo no licence >&2; exit 3"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Run(context.Background()); err == nil || !strings.Contains(err.Error(), "ended before it was ready: no licence") {
		t.Error(err)
	}
}

// The load test has to show the latency and CPU time that a proxy adds.
func TestLoadTestMeasuresProxy(t *testing.T) {
	l := LoadTest{Seconds: 0.4, Program: []string{os.Args[0]}, Env: []string{RunProxyEnv + "=1"}, Profile: true, OpenLoopRate: 300}
	var b strings.Builder
	if err := WriteTable(context.Background(), &b, []LoadTest{l}, []string{""}, []int{4}, []int{100}, 1); err != nil {
		t.Fatal(err)
	}
	if text := b.String(); strings.Count(text, "\n| 4 | 100 | ") != 2 || !strings.Contains(text,
		"Dearest at 4 connections, 100 bytes: ") {
		t.Error(text)
	}
	d, m, err := l.Run(context.Background(), 4, 0)
	if err != nil {
		t.Fatal(err)
	}
	if m.ClosedLoopRate <= 0 || m.ClosedLoopRate >= d.ClosedLoopRate || m.CPU <= 0 || m.Failed+d.Failed > 0 || m.Latency[0] <= 0 {
		t.Errorf("direct %+v, through the proxy %+v", d, m)
	}
}

// A stall of the server has to show in the latency of all commands that were due meanwhile.
func TestOpenLoopSeesAStall(t *testing.T) {
	blocked := make(chan struct{})
	s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { <-blocked })}
	l, err := listenLoopback()
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	time.AfterFunc(400*time.Millisecond, func() { close(blocked) })
	latency, failed := openLoop(context.Background(), []string{l.Addr().String()}, 1, "", 200, 0.5)
	if failed > 0 || latency[1] < 0.1 {
		t.Errorf("a stall of 0.4 s shows as %.3f s in the 99th percentile; %d failed", latency[1], failed)
	}
}

func TestMachineSharesCores(t *testing.T) {
	m := newMachine(1, 1, 100, 0, 1, 1)
	defer m.close()
	from := time.Now()
	done := make(chan bool)
	for range 3 {
		go func() { done <- m.run(0.05, nil) }()
	}
	for range 3 {
		<-done
	}
	if took := time.Since(from).Seconds(); took < 0.149 {
		t.Errorf("three commands of 0.05 s on one core took %.3f s", took)
	}
	stop := make(chan struct{})
	close(stop)
	if m.run(10, stop) {
		t.Error("a cancelled command was completed")
	}
	if len(m.jobs) != 0 {
		t.Error("a cancelled command is still running")
	}
}

// testSeeds returns the seeds of a test: its default ones, which run in parallel, or the ones of an environment variable, which
// run one by one: "50" stands for 1 to 50, "51-100" for a range.
func testSeeds(variable string, defaults ...uint64) (seeds []uint64, byHand bool) {
	from, to, isRange := strings.Cut(os.Getenv(variable), "-")
	if !isRange {
		from, to = "1", from
	}
	first, err := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err != nil || err2 != nil {
		return defaults, false
	}
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, true
}
