package emulator_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"sandpass/balance"
	"sandpass/internal/baseline"
	"sandpass/internal/checker"
	"sandpass/internal/emulator"
	"sandpass/internal/faults"
)

func maker(t testing.TB, name string) emulator.PolicyFactory {
	t.Helper()
	m, err := baseline.Factory(name)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// small is a day that takes well under a second.
func small() emulator.World {
	w := emulator.Default()
	w.Duration, w.Instances = 15, 6
	w.Tiers[0].Backends, w.Tiers[1].Backends = 12, 9
	return w
}

// text is all that an account says.
func text(a *checker.Report, events uint64) string {
	return fmt.Sprintln(events, a.Score(true), a.WorstTenSeconds(), a.Operations, a.Answered, a.Relays, a.FurtherRelays, a.Messages, a.Losses, a.Violations,
		a.OfferedBySecond, a.ServedBySecond, a.Quantile(0.5), a.Quantile(0.999))
}

// The same seed has to give the same bytes, however many days are played beside it; else nothing can be shrunk,
// replayed or compared.
func TestSameSeedSameDay(t *testing.T) {
	w := small()
	w.Duration = 10
	w.Rules.Peers, w.Clients.Keys, w.Discovery.OnRequest = true, 500, true
	alone := make([]string, 6)
	for i := range alone {
		alone[i] = text(emulator.Run(w, faults.Random(uint64(i), 4, w.Bounds()), maker(t, "module"), uint64(i)))
	}
	var wait sync.WaitGroup
	for i := range alone {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if got := text(emulator.Run(w, faults.Random(uint64(i), 4, w.Bounds()), maker(t, "module"), uint64(i))); got != alone[i] {
				t.Errorf("seed %d differs beside others:\n%s%s", i, alone[i], got)
			}
		}()
	}
	wait.Wait()
	if alone[0] == alone[1] {
		t.Error("two seeds gave the same day")
	}
}

// All policies have to meet the same clients, or differences by seed would be chance.
func TestPoliciesMeetTheSameClients(t *testing.T) {
	w := small()
	plan := faults.Random(11, 3, w.Bounds())
	var first *checker.Report
	for _, name := range baseline.Names() {
		a, _ := emulator.Run(w, plan, maker(t, name), 3)
		if first == nil {
			first = a
		}
		if a.Operations != first.Operations || a.OfferedUtility != first.OfferedUtility {
			t.Errorf("%s met %d operations worth %v, the first %d worth %v", name, a.Operations, a.OfferedUtility, first.Operations, first.OfferedUtility)
		}
	}
}

// Every kind of trouble, alone and hard, must leave the rules to policies that keep them: what breaks here is the world.
func TestRulesHoldUnderEachTrouble(t *testing.T) {
	for i, k := range faults.Kinds() {
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			trouble(t, i, k)
		})
	}
}

func trouble(t *testing.T, i int, k faults.Kind) {
	w := small()
	w.Duration = 12
	e := w.Bounds()
	f := faults.Fault{Kind: k, Tier: i % 2, Zone: -1, To: -1, Share: 0.4, From: 4, For: 5, Seed: uint64(i)}
	if k.MaxSeverity() > 0 {
		f.Hard = 0.5
	}
	if k == faults.Partition || k == faults.ZoneLoss || k == faults.ZoneShift || k == faults.CustomerFlood {
		f.Zone = 1
	}
	plan := faults.Plan{f}
	if err := plan.Check(e); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"module", "two", "top"} {
		if a, _ := emulator.Run(w, plan, maker(t, name), 5); a.ViolationCount() > 0 {
			t.Errorf("%s with %s: %v", name, k, a.Violations[0])
		}
	}
}

// drawn days with several troubles at once, for the module and two that know less.
func TestRulesHoldOnDrawnDays(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			drawn(t, seed)
		})
	}
}

func drawn(t *testing.T, seed uint64) {
	w := small()
	w.Duration = 12
	plan := faults.Random(seed, 1+int(seed%5), w.Bounds())
	x := w
	x.Rules.Peers, x.Discovery.OnRequest = seed%2 == 0, seed%3 == 0
	x.Load = 0.4 + 0.02*float64(seed)
	if a, _ := emulator.Run(x, plan, maker(t, "module"), seed); a.ViolationCount() > 0 {
		t.Errorf("seed %d: %v\n%v", seed, a.Violations[0], plan)
	}
}

// wrong is the module or another policy with one thing done wrong on purpose.
type wrong struct {
	emulator.Policy
	host  balance.Host
	fleet func(p emulator.Policy, now float64, whole bool, entries []balance.Entry)
	after func(w *wrong, id uint64, result balance.Result)
	known []balance.BackendID
}

func (w *wrong) UpdateBackends(now float64, whole bool, entries []balance.Entry) {
	for _, e := range entries {
		w.known = append(w.known, e.ID)
	}
	if w.fleet != nil {
		w.fleet(w.Policy, now, whole, entries)
		return
	}
	w.Policy.UpdateBackends(now, whole, entries)
}

func (w *wrong) RelayEnded(now float64, id uint64, n int, result balance.Result, took float64, final bool, l balance.LoadReport) {
	if w.after != nil && !final {
		w.after(w, id, result)
	}
	w.Policy.RelayEnded(now, id, n, result, took, final, l)
}

// wrongHost is between a policy and its world.
type wrongHost struct {
	balance.Host
	decline func(h balance.Host, id uint64)
	relay   func(h balance.Host, id uint64, to balance.BackendID)
}

func (h *wrongHost) Decline(id uint64, comeBack float64) {
	if h.decline != nil {
		h.decline(h.Host, id)
		return
	}
	h.Host.Decline(id, comeBack)
}

func (h *wrongHost) Relay(id uint64, to balance.BackendID) {
	if h.relay != nil {
		h.relay(h.Host, id, to)
		return
	}
	h.Host.Relay(id, to)
}

// A judge that can't fail proves nothing: for each rule there are policies that break it, and the first offence is named.
func TestJudgeCatches(t *testing.T) {
	inner := maker(t, "two")
	build := func(h func(balance.Host) *wrongHost, w wrong) emulator.PolicyFactory {
		return func(host balance.Host, s emulator.TrueState, seed uint64, now float64) emulator.Policy {
			x := w
			x.host = host
			if h != nil {
				x.host = h(host)
			}
			x.Policy = inner(x.host, s, seed, now)
			return &x
		}
	}
	roll := faults.Plan{{Kind: faults.RollingReplace, Zone: -1, To: -1, Share: 0.5, From: 3, For: 6}}
	spoil := faults.Plan{{Kind: faults.LoseAnswers, Zone: -1, To: -1, Share: 1, From: 3, For: 6, Hard: 0.3}}
	for _, c := range []struct {
		name string
		rule checker.Rule
		want string
		plan faults.Plan
		make emulator.PolicyFactory
	}{
		{"keeps silent instead of declining", checker.OneAnswer, "never had a final answer",
			faults.Plan{{Kind: faults.Refuse, Zone: -1, To: -1, Share: 1, From: 3, For: 3, Hard: 1}},
			build(func(h balance.Host) *wrongHost {
				return &wrongHost{Host: h, decline: func(balance.Host, uint64) {}}
			}, wrong{})},
		{"declines and relays all the same", checker.OneAnswer, "which is not open", nil,
			build(func(h balance.Host) *wrongHost {
				return &wrongHost{Host: h, relay: func(h balance.Host, id uint64, to balance.BackendID) {
					h.Decline(id, 0)
					h.Relay(id, to)
				}}
			}, wrong{})},
		{"sends each command twice", checker.NoDoubleEffect, "may have run", nil,
			build(func(h balance.Host) *wrongHost {
				return &wrongHost{Host: h, relay: func(h balance.Host, id uint64, to balance.BackendID) {
					h.Relay(id, to)
					h.Relay(id, to)
				}}
			}, wrong{})},
		{"sends again after a broken connection", checker.NoDoubleEffect, "took place twice", spoil,
			build(nil, wrong{after: func(w *wrong, id uint64, result balance.Result) {
				if result == balance.Reset {
					w.host.Relay(id, w.known[int(id)%len(w.known)])
				}
			}})},
		{"declines what may have run", checker.NoDoubleEffect, "declines command", spoil,
			build(nil, wrong{after: func(w *wrong, id uint64, result balance.Result) {
				if result == balance.Reset {
					w.host.Decline(id, 0)
				}
			}})},
		{"takes drains for ready", checker.DrainKept, "after word that it drains", roll,
			build(nil, wrong{fleet: func(p emulator.Policy, now float64, whole bool, entries []balance.Entry) {
				var all []balance.Entry
				for _, e := range entries {
					e.State = balance.Ready
					all = append(all, e)
				}
				p.UpdateBackends(now, whole, all)
			}})},
		{"believes only the newest to be there", checker.ColdProtected, "after its start, got", roll,
			build(nil, wrong{fleet: func(p emulator.Policy, now float64, whole bool, entries []balance.Entry) {
				newest, only := 0.0, entries
				for _, e := range entries {
					if e.State == balance.Ready && e.StartedAt > newest {
						newest, only = e.StartedAt, []balance.Entry{e}
					}
				}
				if only[0].StartedAt > 0 {
					p.UpdateBackends(now, true, only)
				} else {
					p.UpdateBackends(now, whole, entries)
				}
			}})},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, _ := emulator.Run(small(), c.plan, c.make, 9)
			if a.RuleCounts[c.rule] == 0 {
				t.Fatalf("rule %d (%s) was not seen to break; seen: %v %v", c.rule, c.rule, a.RuleCounts, a.Violations)
			}
			for _, b := range a.Violations {
				if b.Rule == c.rule && strings.Contains(b.Text, c.want) && b.At > 0 {
					return
				}
			}
			t.Errorf("no offence says %q; the first is %v", c.want, a.Violations[0])
		})
	}
}

// Each way to lose a command has to be told from the others, or the account would send its reader the wrong way.
func TestLossesAreTold(t *testing.T) {
	all := func(k faults.Kind, hard float64) faults.Plan {
		return faults.Plan{{Kind: k, Zone: -1, To: -1, Share: 1, From: 3, For: 8, Hard: hard}}
	}
	for _, c := range []struct {
		name   string
		policy string
		plan   faults.Plan
		change func(w *emulator.World)
		how    checker.LossCause
		where  checker.LossPlace
		tier   int
	}{
		{"nobody there", "two", faults.Plan{{Kind: faults.KillInstances, Zone: -1, To: -1, Share: 1, From: 3, For: 8}}, nil, checker.Unreached, checker.Instance, 0},
		{"instances killed", "two", faults.Plan{{Kind: faults.KillInstances, Zone: -1, To: -1, Share: 0.5, From: 6, For: 3}},
			func(w *emulator.World) { w.Tiers[0].Speeds, w.Rate = []float64{0.1}, 90 }, checker.InstanceDied, checker.Work, 0},
		{"clients leave", "two", all(faults.ClientsLeave, 1), nil, checker.ClientLeft, checker.Work, 0},
		{"turned away", "two", all(faults.Refuse, 1), nil, checker.Declined, checker.Refused, 0},
		{"failed below", "two", faults.Plan{{Kind: faults.Errors, Tier: 1, Zone: -1, To: -1, Share: 1, From: 3, For: 8, Hard: 1}}, nil, checker.Declined, checker.BackendFailed, 1},
		{"hung", "two", all(faults.Hang, 0), nil, checker.TimedOut, checker.Hung, 0},
		{"hung below", "two", faults.Plan{{Kind: faults.Hang, Tier: 1, Zone: -1, To: -1, Share: 1, From: 3, For: 8}}, nil, checker.TimedOut, checker.Hung, 1},
		{"out of connections", "two", faults.Plan{{Kind: faults.FullTable, Zone: -1, Share: 1, For: 8, Hard: 1}}, nil, checker.Declined, checker.Connecting, 0},
		{"dead", "two", all(faults.Crash, 0), nil, checker.Declined, checker.Connecting, 0},
		{"broken off", "two", all(faults.LoseAnswers, 1), nil, checker.Terminated, checker.Network, 0},
		{"slow", "two", all(faults.Slow, 0.95), nil, checker.Late, checker.Work, 0},
		{"held", "module", nil, func(w *emulator.World) { w.Load = 3 }, checker.Declined, checker.Instance, 0},
		{"queued", "random", nil, func(w *emulator.World) { w.Load, w.Tiers[0].Slots = 0.9, 2 }, checker.Late, checker.Queue, 0},
		{"cut", "two", faults.Plan{{Kind: faults.Partition, Zone: 0, To: -1, From: 3, For: 8, Hard: 1}}, nil, checker.TimedOut, checker.Network, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := small()
			if c.change != nil {
				c.change(&w)
			}
			a, _ := emulator.Run(w, c.plan, maker(t, c.policy), 2)
			for _, l := range a.Losses {
				if l.Cause == c.how && l.Place == c.where && l.Tier == c.tier && l.Count >= 2 {
					return
				}
			}
			t.Errorf("no loss %s at %s of tier %d in %v", c.how, c.where, c.tier, a.Losses)
		})
	}
}

// A crowd that comes again too soon keeps a tier choked long after what set it off is gone; a world without this would
// be too kind to policies that turn nothing away.
func TestRetryStormOutlivesItsCause(t *testing.T) {
	w := small()
	w.Duration, w.Load, w.Clients.Retries, w.Clients.RetryAfterShare = 40, 0.5, 6, 0
	w.Tiers[0].OverloadLoss, w.Tiers[0].CancelStops, w.Tiers[0].Queue = 0.5, false, 60
	burst := faults.Plan{{Kind: faults.LoadBurst, Zone: -1, From: 8, For: 4, Hard: 3}}
	after := func(name string) float64 {
		a, _ := emulator.Run(w, burst, maker(t, name), 4)
		asked, served := 0.0, 0.0
		for s := 25; s < 39; s++ { // the burst is over for 13 s and more
			asked, served = asked+a.OfferedBySecond[s], served+a.ServedBySecond[s]
		}
		return served / asked
	}
	if plain := after("two"); plain > 0.5 {
		t.Errorf("the better of two has recovered to %.2f 13 s after the burst: nothing chokes here", plain)
	}
	if calm, _ := emulator.Run(w, nil, maker(t, "two"), 4); calm.Score(true) < 0.8 {
		t.Errorf("without the burst the better of two serves %.2f: it is not the burst that chokes", calm.Score(true))
	}
}

// A cancelled command that a backend runs all the same takes its capacity, and its effect counts.
func TestDeafBackendsStillRun(t *testing.T) {
	w := small()
	run := func(plan faults.Plan) *checker.Report {
		x := w
		x.Clients.EarlyLeaveShare = 0.6
		a, _ := emulator.Run(x, plan, maker(t, "two"), 6)
		return a
	}
	deaf := faults.Plan{{Kind: faults.IgnoreCancels, Zone: -1, Share: 1, From: 0, For: 15}, {Kind: faults.IgnoreCancels, Tier: 1, Zone: -1, Share: 1, From: 0, For: 15}}
	if a, b := run(nil).Quantile(0.95), run(deaf).Quantile(0.95); b <= a {
		t.Errorf("cancels that are not obeyed cost nothing: 95%% in %.4f s, %.4f s with them obeyed", b, a)
	}
}

// What a list names may be another backend by now: the command reaches who is there, and counts where it ran.
func TestAddressTakenOver(t *testing.T) {
	w := small()
	plan := faults.Plan{{Kind: faults.Takeover, Zone: -1, Share: 0.6, From: 4, For: 4}, {Kind: faults.DiscoverySilent, Zone: -1, From: 3, For: 9}}
	a, _ := emulator.Run(w, plan, maker(t, "module"), 3)
	if a.ViolationCount() > 0 {
		t.Errorf("rules: %v", a.Violations[0])
	}
	if g := a.Score(true); g < 0.5 {
		t.Errorf("G %.2f: the backends that answer at the old addresses serve nobody", g)
	}
}
