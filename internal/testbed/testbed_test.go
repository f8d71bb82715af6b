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

// TestMain is the proxy, or a wrong one, where the environment says so.
func TestMain(m *testing.M) {
	if os.Getenv("WRONG_PROXY") != "" {
		wrongProxy(os.Getenv("WRONG_PROXY"))
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

// wrongProxy breaks a rule on purpose: it sends each command twice, makes answers up, or answers nothing.
func wrongProxy(how string) {
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
		if how == "silent" {
			time.Sleep(10 * time.Second)
			return
		}
		body, _ := io.ReadAll(q.Body)
		var said []byte
		for range 2 {
			n++
			r, _ := http.NewRequest(q.Method, "http://"+list.Endpoints[n%len(list.Endpoints)].Address+q.URL.Path, bytes.NewReader(body))
			r.Header = q.Header.Clone()
			a, err := http.DefaultClient.Do(r)
			if err != nil {
				w.WriteHeader(500)
				return
			}
			said, _ = io.ReadAll(a.Body)
			a.Body.Close()
			if how != "twice" {
				break
			}
		}
		if how == "made-up" {
			said = []byte("all is well")
		}
		w.Write(said)
	}))
}

// tiny is a world of a few processes.
func tiny() emulator.World {
	w := emulator.Default()
	w.Duration, w.Warmup, w.Zones, w.Instances, w.Rate = 6, 0.5, 2, 2, 60
	w.Tiers[0].Backends, w.Tiers[1].Backends = 4, 3
	w.Rules.WarmUp, w.Rules.DrainTime, w.Clients.EarlyLeaveShare = 2, 0.8, 0
	return w
}

func play(t *testing.T, w emulator.World, plan faults.Plan, env ...string) RunOutcome {
	t.Helper()
	if err := plan.Check(w.Bounds()); err != nil {
		t.Fatal(err)
	}
	r, err := New(w, plan, 5, []string{os.Args[0]}, append([]string{RunProxyEnv + "=1"}, env...))
	if err != nil {
		t.Fatal(err)
	}
	out, err := r.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// The same clients as in the emulator, through real proxies, with several troubles at once.
func TestLiveDayKeepsTheRules(t *testing.T) {
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
		{"one-way cut and a kill", faults.Plan{
			{Kind: faults.Partition, Zone: 0, To: 1, From: 1, For: 2, Hard: 0.5},
			{Kind: faults.KillInstances, Zone: -1, To: -1, Share: 0.5, From: 1.5, For: 1},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := tiny()
			out := play(t, w, c.plan)
			a := out.Account
			if want := len(emulator.Arrivals(w, c.plan, 5)); a.Operations == 0 || a.Operations > want {
				t.Errorf("%d operations of %d", a.Operations, want)
			}
			if a.ViolationCount() > 0 && out.MaxSendDelay < 0.04 { // else the machine at hand is no measure
				t.Errorf("rules: %v", a.Violations)
			}
			if served := a.ServedUtility / a.OfferedUtility; served < 0.6 {
				t.Errorf("served %.2f; lost %v", served, a.Losses)
			}
		})
	}
}

func TestWrongProxiesAreCaughtOnSockets(t *testing.T) {
	for how, c := range map[string]struct {
		rule checker.Rule
		want string
	}{
		"twice":   {checker.NoDoubleEffect, "may have run"},
		"made-up": {checker.OneAnswer, "what no backend made"},
		"silent":  {checker.OneAnswer, "never had a final answer"},
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			w := tiny()
			w.Duration, w.Rate = 2, 20
			w.KeepFirstTier()
			a := play(t, w, nil, "WRONG_PROXY="+how).Account
			if a.RuleCounts[c.rule] == 0 || !strings.Contains(fmt.Sprint(a.Violations), c.want) {
				t.Errorf("want rule %d and %q, have %v", c.rule, c.want, a.Violations)
			}
		})
	}
}

func TestWhatSocketsCannotDoIsNamed(t *testing.T) {
	_, err := New(tiny(), faults.Plan{{Kind: faults.Slow}, {Kind: faults.DeadlineSkew}}, 1, nil, nil)
	if err == nil || !strings.Contains(err.Error(), "fault[1] (skew): sockets on loopback can't carry this out") {
		t.Error(err)
	}
}

func TestProxyThatDoesNotStartIsNamed(t *testing.T) {
	r, err := New(tiny(), nil, 1, []string{"/bin/sh", "-c", "echo no licence >&2; exit 3"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Run(context.Background()); err == nil || !strings.Contains(err.Error(), "ended before it was ready: no licence") {
		t.Error(err)
	}
}

// The measure must see a proxy that adds time, and count from when a command was due.
func TestLoadMeasures(t *testing.T) {
	l := LoadTest{Seconds: 0.4, Program: []string{os.Args[0]}, Env: []string{RunProxyEnv + "=1"}, Profile: true, OpenLoopRate: 300}
	var b strings.Builder
	if err := WriteTable(context.Background(), &b, []LoadTest{l}, []string{""}, []int{4}, []int{100}, 1); err != nil {
		t.Fatal(err)
	}
	if text := b.String(); strings.Count(text, "\n| 4 | 100 | ") != 2 || !strings.Contains(text, "Dearest at 4 connections, 100 bytes: ") {
		t.Error(text)
	}
	d, m, err := l.Run(context.Background(), 4, 0)
	if err != nil {
		t.Fatal(err)
	}
	if m.ClosedLoopRate <= 0 || m.ClosedLoopRate >= d.ClosedLoopRate || m.CPU <= 0 || m.Failed+d.Failed > 0 || m.Latency[0] <= 0 {
		t.Errorf("straight %+v, through %+v", d, m)
	}
}

// A server that stands still for a while must show in the latency of all that were due meanwhile.
func TestOpenLoopSeesAStall(t *testing.T) {
	still := make(chan struct{})
	s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { <-still })}
	l, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	time.AfterFunc(400*time.Millisecond, func() { close(still) })
	late, bad := open(context.Background(), []string{l.Addr().String()}, 1, "", 200, 0.5)
	if bad > 0 || late[1] < 0.1 {
		t.Errorf("a stall of 0.4 s shows as %.3f s in the 99th part, %d failed", late[1], bad)
	}
}

func TestMachineSharesItsCores(t *testing.T) {
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
		t.Error("a command that is stopped was done")
	}
	if len(m.jobs) != 0 {
		t.Error("a command that is stopped stays in work")
	}
}

// seedsOf are the seeds that a test plays: its own, side by side, or by hand and one by one as many as the variable says, "50",
// or those between two, "51-100".
func seedsOf(variable string, own ...uint64) (seeds []uint64, byHand bool) {
	from, to, span := strings.Cut(os.Getenv(variable), "-")
	if !span {
		from, to = "1", from
	}
	first, err := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err != nil || err2 != nil {
		return own, false
	}
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, true
}
