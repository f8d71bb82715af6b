// Package baseline holds plain policies behind the same Host as the module's Balancer, to compare it with.
//
// All keep the four rules (drains, no effect twice, one final answer in time, cold backends left to others while
// there are any) and differ in how they pick. They must never be used to serve, nor grow into a second mechanism.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"sandpass/balance"
	"sandpass/internal/emulator"
)

// Oracle is the name of the policy that sees the true state, in experiments and results.
const Oracle = "top"

const (
	late     = 2.0  // ticks before its limit at which a command is ended
	comeBack = 0.5  // of the response goal, after which a declined client is to come back
	looks    = 0.02 // seconds between the looks that the oracle takes at what it has out
	spare    = 0.6  // part of what a backend bears at its best that the oracle gives to commands of no utility
)

// makers by name, in the order in which they are told.
var makers = []struct {
	name  string
	about string
	make  emulator.PolicyFactory
}{
	{"module", "the decision module as it is", func(h balance.Host, _ emulator.TrueState, seed uint64, now float64) emulator.Policy {
		return balance.New(h, seed, now)
	}},
	{"nocopies", "the module without second copies", func(h balance.Host, _ emulator.TrueState, seed uint64, now float64) emulator.Policy {
		return &limited{balance.New(h, seed, now), func(l *balance.Limits) { l.Hedges = false }}
	}},
	{"fixed", "the module with shares by all siblings there should be, whoever is there", func(h balance.Host, _ emulator.TrueState, seed uint64, now float64) emulator.Policy {
		return &limited{balance.New(h, seed, now), func(l *balance.Limits) { l.FixedInstances = true }}
	}},
	{"random", "any backend", plainly(random)},
	{"robin", "one after another", plainly(robin)},
	{"least", "the least own commands out", plainly(leastOut)},
	{"two", "the better of two drawn, by own commands out", plainly(two)},
	{Oracle, "sees the true state of all backends", plainly(oracle)},
}

// Names of all policies.
func Names() []string {
	var all []string
	for _, m := range makers {
		all = append(all, m.name)
	}
	return all
}

// About is a line on a policy.
func Describe(name string) string {
	for _, m := range makers {
		if m.name == name {
			return m.about
		}
	}
	return ""
}

// Maker by its name.
func Factory(name string) (emulator.PolicyFactory, error) {
	for _, m := range makers {
		if m.name == name {
			return m.make, nil
		}
	}
	return nil, fmt.Errorf("policy %q is unknown; known are %s", name, strings.Join(Names(), ", "))
}

// limited is the module with other limits than it is told.
type limited struct {
	*balance.Balancer
	change func(*balance.Limits)
}

// Turn hands the settings on with the limits changed.
func (m *limited) Configure(now, tick float64, place balance.Placement, verbs []balance.Verb, customers []balance.Customer,
	overage float64, limits balance.Limits, cold balance.ColdStart, mustAsk bool) {
	m.change(&limits)
	m.Balancer.Configure(now, tick, place, verbs, customers, overage, limits, cold, mustAsk)
}

type server struct {
	balance.Entry
	out int
}

type sentTo struct {
	to    *server
	out   bool
	never bool
	at    float64
}

type request struct {
	id      uint64
	verb    *balance.Verb
	expires float64
	sent    []sentTo
	done    bool
	out     int
}

// plain relays at once to whom its pick names, tries again by the rules after a failure, and gives up then.
type plain struct {
	host   balance.Host
	sight  emulator.TrueState
	chance *rand.Rand
	now    float64
	tick   float64
	place  balance.Placement
	most   float64 // highest utility of a verb
	verbs  []balance.Verb
	limits balance.Limits
	cold   balance.ColdStart
	all    []*server
	open   map[uint64]*request
	wakes  map[uint64]uint64 // token to command
	tokens uint64
	turn   int
	asks   bool
	pick   func(p *plain, r *request, from []*server) *server
	usable []*server
}

func plainly(pick func(*plain, *request, []*server) *server) emulator.PolicyFactory {
	return func(h balance.Host, s emulator.TrueState, seed uint64, now float64) emulator.Policy {
		return &plain{host: h, sight: s, chance: rand.New(rand.NewPCG(seed, 1)), now: now, pick: pick,
			open: map[uint64]*request{}, wakes: map[uint64]uint64{}}
	}
}

func random(p *plain, _ *request, from []*server) *server { return from[p.chance.IntN(len(from))] }

func robin(p *plain, _ *request, from []*server) *server {
	p.turn++
	return from[(p.turn+p.place.Index)%len(from)]
}

func leastOut(p *plain, _ *request, from []*server) *server {
	best := from[0]
	ties := 0
	for _, s := range from {
		if s.out < best.out {
			best, ties = s, 1
		} else if s.out == best.out {
			if ties++; p.chance.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func two(p *plain, _ *request, from []*server) *server {
	a, b := from[p.chance.IntN(len(from))], from[p.chance.IntN(len(from))]
	if b.out < a.out {
		return b
	}
	return a
}

// oracle goes where the command would be through first, and nowhere where all are crowded.
func oracle(p *plain, r *request, from []*server) *server {
	var best *server
	least := math.Inf(1)
	for _, s := range from {
		open, wait, speed, crowd := p.sight.BackendState(s.ID)
		if !open || crowd >= spare+(1-spare)*r.verb.Utility/p.most { // what is worth little makes room for the rest
			continue
		}
		cost := wait + 0.01/speed + p.chance.Float64()*1e-6
		if s.Zone != p.place.Zone {
			cost += 0.002
		}
		if cost < least {
			best, least = s, cost
		}
	}
	if best != nil {
		p.tokens++
		p.wakes[p.tokens] = r.id
		p.host.StartTimer(looks, p.tokens)
	}
	return best
}

// watch is the oracle's look at what it has out: where its backend is lost, it is called back and goes elsewhere.
func (p *plain) watch(r *request) {
	for i, x := range r.sent {
		if !x.out || r.done {
			continue
		}
		if _, _, speed, _ := p.sight.BackendState(x.to.ID); speed <= 0 {
			if r.verb.Effect != balance.Effectful && p.limits.CancelRelays {
				p.host.Cancel(r.id, i)
			}
			continue
		}
		p.tokens++
		p.wakes[p.tokens] = r.id
		p.host.StartTimer(looks, p.tokens)
	}
}

// Turn is told the settings.
func (p *plain) Configure(now, tick float64, place balance.Placement, verbs []balance.Verb, _ []balance.Customer, _ float64,
	limits balance.Limits, cold balance.ColdStart, mustAsk bool) {
	p.now, p.tick, p.place, p.verbs, p.limits, p.cold, p.asks = now, tick, place, verbs, limits, cold, mustAsk
	p.most = 1e-9
	for _, v := range verbs {
		p.most = max(p.most, v.Utility)
	}
	if mustAsk {
		p.host.WatchBackends()
	}
}

// Fleet is told the list.
func (p *plain) UpdateBackends(now float64, whole bool, entries []balance.Entry) {
	p.now = now
	named := map[balance.BackendID]bool{}
	for _, e := range entries {
		named[e.ID] = true
		i := slices.IndexFunc(p.all, func(s *server) bool { return s.ID == e.ID })
		if i < 0 {
			i = len(p.all)
			p.all = append(p.all, &server{})
		}
		p.all[i].Entry = e
	}
	for _, s := range p.all {
		if whole && !named[s.ID] {
			s.State = balance.Gone
		}
	}
	p.all = slices.DeleteFunc(p.all, func(s *server) bool { return s.State == balance.Gone && s.out == 0 })
}

// ListFailed asks again after a while.
func (p *plain) BackendListFailed(now float64) {
	p.now = now
	if p.asks {
		p.tokens++
		p.host.StartTimer(1+p.chance.Float64(), p.tokens)
		p.wakes[p.tokens] = 0
	}
}

// Heard is not used.
func (p *plain) MessageReceived(now float64, _ int, _ []byte) { p.now = now }

// Command sends it at once.
func (p *plain) CommandReceived(now float64, id uint64, verb, _ int, expires float64, _ uint64) {
	p.now = now
	r := &request{id: id, verb: &p.verbs[verb], expires: expires}
	p.open[id] = r
	p.tokens++
	p.wakes[p.tokens] = id
	p.host.StartTimer(expires-now-late*p.tick, p.tokens)
	p.next(r)
}

func (p *plain) may(r *request, s *server) bool {
	if s.State != balance.Ready || slices.ContainsFunc(r.sent, func(x sentTo) bool { return x.to == s }) {
		return false
	}
	i := slices.IndexFunc(r.sent, func(x sentTo) bool { return !x.never })
	if i < 0 || r.verb.Effect == balance.Pure {
		return true
	}
	first := r.sent[i]
	if r.verb.Effect == balance.Effectful || p.now > first.at+r.verb.DedupWindow-p.tick {
		return false
	}
	return r.verb.Scope == balance.ScopeAll || r.verb.Scope == balance.ScopeZone && s.Zone == first.to.Zone ||
		r.verb.Scope == balance.ScopeCell && s.Cell == first.to.Cell
}

// next sends a command on, or gives it up.
func (p *plain) next(r *request) {
	for _, cold := range []bool{false, true} {
		p.usable = p.usable[:0]
		for _, s := range p.all {
			warm := s.StartedAt <= 0 || p.now-s.StartedAt >= p.cold.WarmUp
			if warm != cold && p.may(r, s) {
				p.usable = append(p.usable, s)
			}
		}
		if len(p.usable) > 0 {
			break
		}
	}
	if len(p.usable) > 0 && len(r.sent) < p.limits.MaxRelays && r.expires > p.now+2*p.tick {
		if s := p.pick(p, r, p.usable); s != nil {
			r.sent = append(r.sent, sentTo{to: s, out: true, at: p.now})
			r.out++
			s.out++
			p.host.Relay(r.id, s.ID)
			return
		}
	}
	harmless := r.verb.Effect == balance.Pure || r.verb.Effect == balance.Receipted && r.verb.Scope == balance.ScopeAll ||
		!slices.ContainsFunc(r.sent, func(x sentTo) bool { return !x.never })
	r.done = true
	if harmless {
		p.host.Decline(r.id, min(p.limits.MaxRetryAfter, comeBack*r.verb.Goal))
	} else {
		p.host.Terminate(r.id)
	}
	p.forget(r)
}

func (p *plain) forget(r *request) {
	if r.done && r.out == 0 {
		delete(p.open, r.id)
	}
}

// Outcome is told how a relay ended.
func (p *plain) RelayEnded(now float64, id uint64, n int, result balance.Result, _ float64, final bool, _ balance.LoadReport) {
	p.now = now
	r := p.open[id]
	if r == nil || n >= len(r.sent) || !r.sent[n].out {
		return
	}
	x := &r.sent[n]
	x.out, x.never = false, result.NeverRan()
	x.to.out--
	r.out--
	r.done = r.done || final
	if !r.done && r.out == 0 {
		p.next(r)
		return
	}
	p.forget(r)
}

// Departed is told that nothing is owed any more.
func (p *plain) ClientDisconnected(now float64, id uint64) {
	p.now = now
	if r := p.open[id]; r != nil {
		p.stop(r)
	}
}

func (p *plain) stop(r *request) {
	r.done = true
	for i, x := range r.sent {
		if x.out && p.limits.CancelRelays {
			p.host.Cancel(r.id, i)
		}
	}
	p.forget(r)
}

// Wake is a time limit that is near, or a list to be asked for.
func (p *plain) TimerFired(now float64, token uint64) {
	p.now = now
	id, ok := p.wakes[token]
	delete(p.wakes, token)
	if ok && id == 0 {
		p.host.WatchBackends()
	}
	if r := p.open[id]; r != nil && !r.done && now < r.expires-(late+0.5)*p.tick {
		p.watch(r)
	} else if r != nil && !r.done {
		p.host.Terminate(r.id)
		p.stop(r)
	}
}
