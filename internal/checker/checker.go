// Package checker holds a day to the four rules, and to a stated budget of further relays, and counts what it was worth.
//
// A world reports plain facts to a Judge: what was asked, sent, run, told and answered, as they truly happened. The
// Judge keeps its own books of them. It must never read the books of a policy, of a proxy or of the world that
// reports, so that a wrong one of these can't hide what it did. Times are in seconds of the day.
package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	accuracy  = 0.01 // relative error of the latency sketch
	mostTexts = 20   // broken rules that are kept with their text; all are counted
	worstSpan = 10   // seconds of the worst stretch
	coldSlack = 3.0  // mean commands over the cold budget that chance may send in a window
	toldPart  = 2.0 / 3
	tenth     = 10.0 // parts of a second in the finer course
)

// Effect says what a second run would do, as in the rules.
type Effect int

const (
	Pure Effect = iota
	Receipted
	Effectful
)

// Scope is the group of backends that drops repeats of a receipted command.
type Scope int

const (
	All Scope = iota
	SameZone
	SameCell
)

// Terms are the figures of the rules and prices.
type Terms struct {
	Slack     float64 // seconds past its limit that a final answer is still in time
	Grace     float64 // seconds after word of a drain
	Multiple  float64 // of its present capacity, at which a cold backend falls
	Window    float64 // seconds over which that counts
	Copies    bool    // second copies are allowed
	Relay     float64 // price of each further relay, as a part of the mean worth
	Message   float64 // of each message to a sibling
	Crossing  float64 // of each relay to another zone
	LateNo    float64 // of a refusal after half of its time with nothing sent
	Length    float64 // seconds of the day
	LimitOff  float64 // seconds that a final answer may be later, where limits may be told wrong
	Free      float64 // relays beyond each command's first that one instance may make in any Span
	Share     float64 // and so many for each command that it took in it
	Span      float64 // seconds, 0: no such budget is stated
	Customers int
}

// Rule numbers the four, and the budget that only some state.
type Rule int

const (
	Answer Rule = 1 + iota // one final answer in time, only what a backend made for it
	Twice                  // no effect twice
	Drain                  // nothing new past the grace
	Cold                   // no cold backend pushed over
	Budget                 // further relays within their budget
	rules  = 5
)

func (r Rule) String() string {
	return [...]string{"", "no command lost", "no effect twice", "drains kept", "cold not pushed over", "further relays in their budget"}[r]
}

// Broken is one broken rule.
type Broken struct {
	Rule Rule
	At   float64
	Text string
}

func (b Broken) String() string {
	return fmt.Sprintf("%.4f s: rule %d (%s): %s", b.At, b.Rule, b.Rule, b.Text)
}

// How says in which way a command was lost.
type How int

const (
	Declined   How = iota // told to come back, and did not get it in the end
	Terminated            // ended without a promise, before its limit
	Limit                 // nothing ended it before its limit
	Late                  // answered past its goal
	Left                  // its client left early
	Unreached             // no instance could be reached
	Died                  // its instance was killed
	hows
)

func (h How) String() string {
	return [...]string{"declined", "terminated", "limit", "late", "left", "unreached", "died"}[h]
}

// Where says at which place the last of it was, or the most of its time was spent.
type Where int

const (
	Instance   Where = iota // held, or never sent on
	Connecting              // no connection came up
	Refused                 // backends turned it away unseen
	Queue                   // in a backend's queue
	Work                    // in a backend's work
	Stuck                   // at a backend that finishes nothing
	Failed                  // a backend failed it
	Network                 // lost or broken on the way
	wheres
)

func (w Where) String() string {
	return [...]string{"instance", "connecting", "refused", "queue", "work", "stuck", "failed", "network"}[w]
}

// Loss is where and how worth was lost; Tier is the one whose backends or instances had it last.
type Loss struct {
	How   How
	Where Where
	Tier  int
}

// Command is what the Judge is told of a command that an instance took.
type Command struct {
	ID       uint64
	Op       uint64 // what the client wants done; its repeats carry the same
	Instance int
	Expires  float64
	Effect   Effect
	Scope    Scope
	Window   float64 // seconds in which repeats of it are dropped
}

// sent is a relay that may have run.
type sent struct {
	zone, cell int
	at         float64
	proven     bool // that it never ran
	out        bool
	backend    int
}

type taken struct {
	Command
	relays []sent
	ended  bool
	outs   int // relays whose end was not told yet
}

type ran struct {
	at, sent   float64
	zone, cell int
}

type pair struct{ instance, backend int }

type window struct {
	at, work float64
	told     bool
}

type colds struct {
	recent         []window
	work, informed float64
	over           bool
}

// Judge is told the facts of one day. Make it with New; not safe for concurrent calls.
type Judge struct {
	terms   Terms
	taken   map[uint64]*taken
	spare   []*taken
	effect  map[uint64]ran
	out     map[pair]float64 // when an instance was told that a backend is draining or gone
	starts  map[pair]float64 // the start of a backend that an instance was told of
	cold    map[int]*colds
	came    map[int][]float64 // by instance, when commands came in the last Span
	further map[int][]float64 // and when further relays were sent
	work    float64           // mean work of a command that reached a cold backend, for the slack
	works   float64
	a       Account
}

// Account is what the Judge found.
type Account struct {
	Asked, Served                    float64 // worth
	Relays, Copies, Messages, Cross  int
	Ops, Answered, LateNos, Commands int
	Prices                           float64 // worth
	Losses                           []Lost  // largest worth first
	Rules                            [rules + 1]int
	Broken                           []Broken // the first ones
	AskedBy, ServedBy                []float64
	AskedIn, ServedIn                []float64          // the same by tenths of a second
	Sent                             map[int][]int      // by backend, relays in each second
	Opened                           map[int][]int      // by backend, new connections in each second
	Lists                            map[int][]int      // by instance, calls for the whole list in each second
	Latency                          *ddsketch.DDSketch // of answered operations, from when they were due
	loss                             [hows][wheres][8]lossSum
	customers                        [][2]float64
}

type lossSum struct {
	count int
	worth float64
}

// Lost is a line of the account of losses.
type Lost struct {
	Loss
	Count int
	Worth float64
}

// New starts a day.
func New(t Terms) *Judge {
	s, _ := ddsketch.NewDefaultDDSketch(accuracy) // fails only for an accuracy out of range
	return &Judge{
		terms: t, taken: map[uint64]*taken{}, effect: map[uint64]ran{}, out: map[pair]float64{},
		starts: map[pair]float64{}, cold: map[int]*colds{}, came: map[int][]float64{}, further: map[int][]float64{},
		a: Account{Latency: s, AskedBy: make([]float64, int(math.Ceil(t.Length))+1),
			ServedBy: make([]float64, int(math.Ceil(t.Length))+1), AskedIn: make([]float64, int(math.Ceil(tenth*t.Length))+1),
			ServedIn: make([]float64, int(math.Ceil(tenth*t.Length))+1),
			Sent:     map[int][]int{}, Opened: map[int][]int{}, Lists: map[int][]int{}, customers: make([][2]float64, t.Customers)},
	}
}

func (j *Judge) broken(r Rule, at float64, format string, args ...any) {
	j.a.Rules[r]++
	if len(j.a.Broken) < mostTexts {
		j.a.Broken = append(j.a.Broken, Broken{r, at, fmt.Sprintf(format, args...)})
	}
}

// Asked is told of what a client wants done, and what that is worth.
func (j *Judge) Asked(at float64, customer int, worth float64) {
	j.a.Ops++
	j.a.Asked += worth
	j.a.AskedBy[j.second(at)] += worth
	j.a.AskedIn[min(int(tenth*at), len(j.a.AskedIn)-1)] += worth
	if customer < len(j.a.customers) {
		j.a.customers[customer][0] += worth
	}
}

func (j *Judge) second(at float64) int { return min(int(at), len(j.a.AskedBy)-1) }

// Got is told that a client has its answer, for what was due at a time, and of its worth now.
func (j *Judge) Got(due, at float64, customer int, worth float64) {
	j.a.Answered++
	j.a.Served += worth
	j.a.ServedBy[j.second(due)] += worth
	j.a.ServedIn[min(int(tenth*due), len(j.a.ServedIn)-1)] += worth
	if customer < len(j.a.customers) {
		j.a.customers[customer][1] += worth
	}
	_ = j.a.Latency.Add(max(at-due, 1e-6)) // fails only for what is no number
}

// Lost is told that worth was lost, and how.
func (j *Judge) Lost(l Loss, worth float64) {
	s := &j.a.loss[l.How][l.Where][min(max(l.Tier, 0), 7)]
	s.count++
	s.worth += worth
}

// Taken is told that a live instance has a command, and owes it one final answer.
func (j *Judge) Taken(at float64, c Command) {
	if _, ok := j.taken[c.ID]; ok {
		j.broken(Answer, at, "id %x is given twice: the world is wrong", c.ID)
		return
	}
	j.a.Commands++
	var t *taken
	if n := len(j.spare); n > 0 {
		t, j.spare = j.spare[n-1], j.spare[:n-1]
		*t = taken{relays: t.relays[:0]}
	} else {
		t = &taken{}
	}
	t.Command = c
	if j.terms.Span > 0 {
		j.came[c.Instance] = append(j.came[c.Instance], at)
	}
	j.taken[c.ID] = t
}

// Opened is told that an instance opens a connection to a backend.
func (j *Judge) Opened(at float64, backend int) { j.tick(j.a.Opened, backend, at) }

// Asking is told that an instance asks discovery for the whole list.
func (j *Judge) Asking(at float64, instance int) { j.tick(j.a.Lists, instance, at) }

// tick counts one more for who it is of, in the second.
func (j *Judge) tick(all map[int][]int, who int, at float64) {
	s := all[who]
	for n := j.second(max(0, at)); len(s) <= n; {
		s = append(s, 0)
	}
	s[j.second(max(0, at))]++
	all[who] = s
}

// Sent is told of a relay to a backend as the instance named it.
func (j *Judge) Sent(at float64, id uint64, backend, zone, cell int, crosses bool) {
	j.a.Relays++
	j.tick(j.a.Sent, backend, at)
	if crosses {
		j.a.Cross++
	}
	t := j.taken[id]
	if t == nil {
		j.broken(Answer, at, "a relay for command %x, which is not open", id)
		return
	}
	if t.ended {
		j.broken(Answer, at, "instance %d relays command %x after its final answer", t.Instance, id)
	}
	if since, ok := j.out[pair{t.Instance, backend}]; ok && at > since+j.terms.Grace {
		j.broken(Drain, at, "instance %d sends command %x to backend %d, %.0f ms after word that it drains or is gone",
			t.Instance, id, backend, 1000*(at-since))
	}
	if len(t.relays) > 0 {
		j.a.Copies++
		j.budget(at, t)
	}
	j.again(at, t, backend, zone, cell)
	t.relays = append(t.relays, sent{zone, cell, at, false, true, backend})
	t.outs++
}

// budget counts one more further relay of an instance. Moot ones count as well, which is stricter than the rule.
func (j *Judge) budget(at float64, t *taken) {
	if j.terms.Span <= 0 {
		return
	}
	recent := func(all []float64) []float64 {
		i, _ := slices.BinarySearch(all, at-j.terms.Span)
		return all[i:]
	}
	i := t.Instance
	j.came[i], j.further[i] = recent(j.came[i]), append(recent(j.further[i]), at)
	if sent, may := float64(len(j.further[i])), j.terms.Free+j.terms.Share*float64(len(j.came[i])); sent > may {
		j.broken(Budget, at, "instance %d makes %.0f further relays in %.3g s, where %.1f are allowed", i, sent, j.terms.Span, may)
	}
}

// again holds a further relay to the rule on effects.
func (j *Judge) again(at float64, t *taken, backend, zone, cell int) {
	first := slices.IndexFunc(t.relays, func(s sent) bool { return !s.proven })
	if first < 0 {
		return
	}
	if !j.terms.Copies && slices.ContainsFunc(t.relays, func(s sent) bool { return s.out }) {
		j.broken(Twice, at, "instance %d has two relays of command %x out where that is not allowed", t.Instance, t.ID)
	}
	f := t.relays[first]
	switch {
	case t.Effect == Effectful:
		j.broken(Twice, at, "instance %d sends effectful command %x to backend %d while relay %d to backend %d may have run",
			t.Instance, t.ID, backend, first, f.backend)
	case t.Effect == Receipted && at > f.at+t.Window:
		j.broken(Twice, at, "instance %d sends receipted command %x %.3f s after relay %d, its window is %.3f s",
			t.Instance, t.ID, at-f.at, first, t.Window)
	case t.Effect == Receipted && (t.Scope == SameZone && zone != f.zone || t.Scope == SameCell && cell != f.cell):
		j.broken(Twice, at, "instance %d sends receipted command %x to backend %d, outside of the group of relay %d",
			t.Instance, t.ID, backend, first)
	}
}

// Told is told that an instance has heard how a relay ended, and whether that proves it never ran.
func (j *Judge) Told(id uint64, relay int, never bool) {
	if t := j.taken[id]; t != nil && relay < len(t.relays) && t.relays[relay].out {
		t.relays[relay].out, t.relays[relay].proven = false, never
		t.outs--
		j.forget(t)
	}
}

// Ended is told of a command's final answer: declined says whether it promised that trying again is harmless, and
// made whether a backend made an answer for it.
func (j *Judge) Ended(at float64, id uint64, declined, answered, made bool) {
	t := j.taken[id]
	if t == nil {
		j.broken(Answer, at, "a final answer for command %x, which is not open", id)
		return
	}
	if t.ended {
		j.broken(Answer, at, "command %x at instance %d gets a second final answer", id, t.Instance)
		return
	}
	if at > t.Expires+j.terms.Slack+j.terms.LimitOff {
		j.broken(Answer, at, "command %x at instance %d has its final answer %.0f ms after its limit",
			id, t.Instance, 1000*(at-t.Expires))
	}
	if answered && !made {
		j.broken(Answer, at, "command %x at instance %d is answered with what no backend made", id, t.Instance)
	}
	if declined && t.Effect != Pure && !(t.Effect == Receipted && t.Scope == All) {
		if i := slices.IndexFunc(t.relays, func(s sent) bool { return !s.proven }); i >= 0 {
			j.broken(Twice, at, "instance %d declines command %x while relay %d to backend %d may have run",
				t.Instance, id, i, t.relays[i].backend)
		}
	}
	t.ended = true
	j.forget(t)
}

// LateNo is told of a refusal after more than half of the time, with nothing ever sent.
func (j *Judge) LateNo(worth float64) {
	j.a.LateNos++
	j.a.Prices += j.terms.LateNo * worth
}

// Departed is told that nothing is owed for a command any more.
func (j *Judge) Departed(id uint64) {
	if t := j.taken[id]; t != nil {
		t.ended = true
		j.forget(t)
	}
}

func (j *Judge) forget(t *taken) {
	if t.ended && t.outs == 0 {
		delete(j.taken, t.ID)
		j.spare = append(j.spare, t)
	}
}

// Stood is told that an instance stood still from one time to another, by no doing of its own: what it owes by then is
// due when it goes on.
func (j *Judge) Stood(instance int, from, to float64) {
	for _, t := range j.taken { // each by itself, so no order is needed
		if t.Instance == instance && t.Expires > from-j.terms.Slack {
			t.Expires = max(t.Expires, to)
		}
	}
}

// Killed is told that an instance is no more: what it held is its clients' affair, and what it knew is gone.
func (j *Judge) Killed(instance int) {
	for id, t := range j.taken { // no order is needed: each is judged by itself
		if t.Instance == instance {
			delete(j.taken, id)
		}
	}
	for p := range j.out {
		if p.instance == instance {
			delete(j.out, p)
		}
	}
	for p := range j.starts {
		if p.instance == instance {
			delete(j.starts, p)
		}
	}
}

// Listed is told that an instance was told of a backend: whether it is ready, and when it started.
func (j *Judge) Listed(at float64, instance, backend int, ready bool, started float64) {
	p := pair{instance, backend}
	if ready {
		delete(j.out, p)
	} else if _, ok := j.out[p]; !ok {
		j.out[p] = at
	}
	if started > 0 {
		j.starts[p] = started
	}
}

// Ran is told that a command's effect took place at a backend, whatever becomes of the answer. The window in which
// repeats are dropped is one of sends.
func (j *Judge) Ran(at, sent float64, op uint64, e Effect, s Scope, span float64, zone, cell int) {
	if e == Pure {
		return
	}
	r, before := j.effect[op]
	if before && (e == Effectful || sent > r.sent+span || s == SameZone && zone != r.zone || s == SameCell && cell != r.cell) {
		j.broken(Twice, at, "the effect of operation %x took place twice, first at %.4f s", op, r.at)
	}
	if !before {
		j.effect[op] = ran{at: at, sent: sent, zone: zone, cell: cell}
	}
}

// Reached is told of work that reached a backend that is cold: capacity is what it can do just now.
func (j *Judge) Reached(at float64, backend, instance int, work, capacity, started float64) {
	c := j.cold[backend]
	if c == nil {
		c = &colds{}
		j.cold[backend] = c
	}
	j.work, j.works = j.work+work, j.works+1
	told := j.starts[pair{instance, backend}] >= started
	c.recent = append(c.recent, window{at, work, told})
	c.work += work
	if told {
		c.informed += work
	}
	for c.recent[0].at < at-j.terms.Window {
		c.work -= c.recent[0].work
		if c.recent[0].told {
			c.informed -= c.recent[0].work
		}
		c.recent = c.recent[1:]
	}
	over := c.work > j.terms.Multiple*capacity*j.terms.Window+coldSlack*j.work/j.works
	if over && !c.over && c.informed >= toldPart*c.work {
		j.broken(Cold, at, "backend %d, %.2f s after its start, got %.3f s of work within %.2f s; it bears %.3f s",
			backend, at-started, c.work, j.terms.Window, j.terms.Multiple*capacity*j.terms.Window)
	}
	c.over = over
}

// Message is told of a message to a sibling.
func (j *Judge) Message() { j.a.Messages++ }

// Close ends the day and gives the account.
func (j *Judge) Close(at float64) *Account {
	var open []*taken
	for _, t := range j.taken {
		if !t.ended {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(x, y *taken) int { return cmp.Or(cmp.Compare(x.Expires, y.Expires), cmp.Compare(x.ID, y.ID)) })
	for _, t := range open {
		j.broken(Answer, t.Expires+j.terms.Slack, "command %x at instance %d never had a final answer", t.ID, t.Instance)
	}
	a := &j.a
	slices.SortStableFunc(a.Broken, func(x, y Broken) int { return cmp.Compare(x.At, y.At) })
	mean := a.Asked / max(1, float64(a.Ops))
	a.Prices += mean * (j.terms.Relay*float64(a.Copies) + j.terms.Message*float64(a.Messages) + j.terms.Crossing*float64(a.Cross))
	for h := range hows {
		for w := range wheres {
			for tier, s := range a.loss[h][w] {
				if s.count > 0 {
					a.Losses = append(a.Losses, Lost{Loss{h, w, tier}, s.count, s.worth})
				}
			}
		}
	}
	slices.SortStableFunc(a.Losses, func(x, y Lost) int { return cmp.Compare(y.Worth, x.Worth) })
	return a
}

// G is the part of the worth asked for that was served, less the prices; 0 if a rule was broken and strict is set.
func (a *Account) G(strict bool) float64 {
	if strict && a.Count() > 0 || a.Asked == 0 {
		return 0
	}
	return (a.Served - a.Prices) / a.Asked
}

// Count is the number of broken rules.
func (a *Account) Count() int { return a.Rules[1] + a.Rules[2] + a.Rules[3] + a.Rules[4] + a.Rules[5] }

// Worst is the part served in the worst ten seconds, by when things were due.
func (a *Account) Worst() float64 {
	worst := 1.0
	for i := range a.AskedBy {
		if i+worstSpan > len(a.AskedBy) {
			break
		}
		asked, served := 0.0, 0.0
		for k := range worstSpan {
			asked, served = asked+a.AskedBy[i+k], served+a.ServedBy[i+k]
		}
		if asked > a.Asked*worstSpan/float64(len(a.AskedBy))/2 { // a few at the ends of the day tell nothing
			worst = min(worst, served/asked)
		}
	}
	return worst
}

// WorstCustomer is the part served of the customer that fared worst, 1 where there are none.
func (a *Account) WorstCustomer() float64 {
	worst := 1.0
	for _, c := range a.customers {
		if c[0] > 0 {
			worst = min(worst, c[1]/c[0])
		}
	}
	return worst
}

// Quantile of the answered operations' latencies in seconds, 0 where there were none.
func (a *Account) Quantile(q float64) float64 {
	x, err := a.Latency.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return x
}
