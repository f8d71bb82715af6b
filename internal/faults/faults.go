// Package faults is the plan of what goes wrong in a day, as data.
//
// A Plan can be written by hand in TOML, drawn at random from a seed, and cut down fault by fault. It names what is
// hit, from when, for how long, how hard and how it ramps. It must never act on a world by itself, nor know how one
// is built: the emulator and the stand-ins on sockets carry a plan out.
package faults

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Kind names what goes wrong.
type Kind string

// The kinds. Unless said otherwise a fault hits a share of one tier's backends, and Hard is a part from 0 to 1.
const (
	Crash            Kind = "crash"    // processes die, connections reset; back cold when it ends
	Vanish           Kind = "vanish"   // machines fall silent, nothing is refused; back cold when it ends
	Hang             Kind = "hang"     // accepts work and finishes none of it
	Slow             Kind = "slow"     // Hard of the speed is lost
	NoisyNeighbor    Kind = "flicker"  // a neighbour takes Hard of the machine, on and off each second
	Errors           Kind = "errors"   // Hard of the commands fail at once, having run or not
	Refuse           Kind = "refuse"   // Hard of the commands are turned away unseen
	FullTable        Kind = "table"    // Hard of the connection table is taken by others
	IgnoreCancels    Kind = "deaf"     // cancels are not obeyed
	LoseAnswers      Kind = "spoil"    // Hard of the answers get lost after the command has run
	Reset            Kind = "reset"    // Hard of the connections break under a command, before or after it ran
	RollingReplace   Kind = "roll"     // backends are replaced one after another: drained, gone, a new one cold
	Takeover         Kind = "takeover" // backends die and another service answers at their addresses, listed or not
	Partition        Kind = "cut"      // nothing passes from Zone to To (To -1: to all others); Hard 1 cuts both ways
	Delay            Kind = "delay"    // Hard seconds more on every way between Zone and the others (Zone -1: all ways)
	PacketLoss       Kind = "loss"     // Hard of what is sent in or out of Zone is lost once, and sent again later
	ZoneLoss         Kind = "zone"     // all backends of the zone and tier die and return cold
	DiscoverySilent  Kind = "silent"   // discovery says nothing
	DiscoveryLag     Kind = "lag"      // discovery is Hard seconds later than usual
	DiscoveryStale   Kind = "stale"    // discovery gives whole lists that are Hard seconds old
	DiscoveryPartial Kind = "partial"  // discovery's whole lists leave out Hard of the tier
	KillInstances    Kind = "kill"     // a share of the first tier's instances is killed; back when it ends
	RestartInstances Kind = "restart"  // a share of the first tier's instances restarts, one after another, as planned
	LoadBurst        Kind = "burst"    // Hard times the load comes on top
	CustomerFlood    Kind = "flood"    // the customer numbered Zone sends Hard times its load on top
	ZoneShift        Kind = "shift"    // Hard of the other zones' clients come to Zone
	ClientsLeave     Kind = "rude"     // Hard of the clients leave early
	RetryStorm       Kind = "storm"    // clients try again Hard times more often, at once
	// Not drawn at random, so that plans drawn before are the same; Share is of the keys, or of what the line says.
	LockedKeys      Kind = "lock"    // commands with these keys take turns, Hard seconds each, in their slots, behind the whole tier
	FailingKeys     Kind = "spoilt"  // commands with these keys fail at once at any backend of the tier
	SlowReaders     Kind = "readers" // answers to this share of commands are read for Hard seconds, and hold a place meanwhile
	DeadlineSkew    Kind = "skew"    // at this share of the first tier's instances limits are told Hard seconds too short
	IdleReset       Kind = "reap"    // connections that rested for Hard seconds are dropped unseen: the next command on one is reset
	StartTimeError  Kind = "drift"   // of this share of a tier's backends starts are told Hard seconds too early, of as many too late
	StallInstances  Kind = "stall"   // a share of the first tier's instances stands still, nothing of it closed, and goes on when it ends
	CrashLoop       Kind = "loop"    // a share of the first tier's instances is killed again and again, Hard seconds after it serves
	ReorderMessages Kind = "muddle"  // Hard of the messages between siblings come twice, and as many let the next one pass
	FailingVerb     Kind = "unable"  // this share of a tier's backends fails Hard of the commands of one verb, which Seed draws
)

// form says which figures a kind takes, and between what.
type form struct {
	kind     Kind
	backends bool    // hits a share of a tier's backends
	fronts   bool    // hits a share of the first tier's instances
	zone     bool    // needs a zone
	hard     float64 // largest Hard, 0: none is used
	most     float64 // largest Hard that is drawn
	ramp     bool    // may ramp
	share    bool    // hits a share of something else
}

var forms = []form{
	{kind: Crash, backends: true}, {kind: Vanish, backends: true}, {kind: Hang, backends: true},
	{kind: Slow, backends: true, hard: 0.99, most: 0.95, ramp: true},
	{kind: NoisyNeighbor, backends: true, hard: 0.99, most: 0.9},
	{kind: Errors, backends: true, hard: 1, most: 1, ramp: true},
	{kind: Refuse, backends: true, hard: 1, most: 1, ramp: true},
	{kind: FullTable, backends: true, hard: 1, most: 0.95},
	{kind: IgnoreCancels, backends: true},
	{kind: LoseAnswers, backends: true, hard: 1, most: 0.5, ramp: true},
	{kind: Reset, backends: true, hard: 1, most: 0.3, ramp: true},
	{kind: RollingReplace, backends: true}, {kind: Takeover, backends: true},
	{kind: Partition, zone: true, hard: 1, most: 1},
	{kind: Delay, hard: 10, most: 0.3, ramp: true}, {kind: PacketLoss, hard: 0.9, most: 0.2, ramp: true},
	{kind: ZoneLoss, zone: true},
	{kind: DiscoverySilent}, {kind: DiscoveryLag, hard: 60, most: 8}, {kind: DiscoveryStale, hard: 60, most: 15}, {kind: DiscoveryPartial, hard: 1, most: 0.6},
	{kind: KillInstances, fronts: true}, {kind: RestartInstances, fronts: true},
	{kind: LoadBurst, hard: 100, most: 1.5, ramp: true}, {kind: CustomerFlood, hard: 100, most: 6, ramp: true},
	{kind: ZoneShift, zone: true, hard: 1, most: 0.8, ramp: true},
	{kind: ClientsLeave, hard: 1, most: 0.4}, {kind: RetryStorm, hard: 20, most: 5},
	{kind: LockedKeys, hard: 60, share: true}, {kind: FailingKeys, share: true}, {kind: SlowReaders, hard: 60, share: true},
	{kind: DeadlineSkew, hard: 60, share: true},
	{kind: IdleReset, hard: 600}, {kind: StartTimeError, hard: 60, share: true}, {kind: FailingVerb, backends: true, hard: 1},
	{kind: StallInstances, fronts: true}, {kind: CrashLoop, fronts: true, hard: 60}, {kind: ReorderMessages, hard: 1},
}

const byHand = 10 // of these, at the end, which are not drawn

func formOf(k Kind) (form, bool) {
	i := slices.IndexFunc(forms, func(f form) bool { return f.kind == k })
	if i < 0 {
		return form{}, false
	}
	return forms[i], true
}

// Kinds names all kinds, in the order of this page.
func Kinds() []Kind {
	all := make([]Kind, len(forms))
	for i, f := range forms {
		all[i] = f.kind
	}
	return all
}

// Hard is the largest Hard that the kind takes, 0 if it takes none.
func (k Kind) MaxSeverity() float64 {
	f, _ := formOf(k)
	return f.hard
}

// Fault is one thing that goes wrong. Times are in seconds of the day.
type Fault struct {
	Kind  Kind    `toml:"kind"`
	Tier  int     `toml:"tier"`  // of backends, 0 is the one that clients' commands go to
	Zone  int     `toml:"zone"`  // -1: any
	To    int     `toml:"to"`    // the other end of a cut, -1: all others
	Share float64 `toml:"share"` // part of what could be hit, at least one
	From  float64 `toml:"from"`
	For   float64 `toml:"for"`
	Ramp  float64 `toml:"ramp"` // seconds over which it comes on, and goes again
	Hard  float64 `toml:"hard"`
	Seed  uint64  `toml:"seed"` // draws what is hit, so that another fault more or less changes nothing here
}

// At is how hard the fault is at a time, ramps counted, or 0.
func (f Fault) SeverityAt(t float64) float64 {
	if t < f.From || t >= f.From+f.For {
		return 0
	}
	if f.Ramp <= 0 {
		return f.Hard
	}
	return f.Hard * min(1, (t-f.From)/f.Ramp, (f.From+f.For-t)/f.Ramp)
}

// Ramps tells whether the fault changes while it is in force.
func (f Fault) Ramps() bool { return f.Ramp > 0 && f.For > 0 }

// String is a line for a report.
func (f Fault) String() string {
	form, _ := formOf(f.Kind)
	s := fmt.Sprintf("%s %.4g-%.4g s", f.Kind, f.From, f.From+f.For)
	if form.backends {
		s += fmt.Sprintf(" tier %d share %.2g", f.Tier, f.Share)
	} else if form.fronts || form.share {
		s += fmt.Sprintf(" share %.2g", f.Share)
	}
	if f.Zone >= 0 {
		s += fmt.Sprintf(" zone %d", f.Zone)
	}
	if form.hard > 0 {
		s += fmt.Sprintf(" hard %.3g", f.Hard)
	}
	if f.Ramp > 0 {
		s += fmt.Sprintf(" ramp %.3g s", f.Ramp)
	}
	return s
}

// Plan is all that goes wrong in a day. Several faults may be in force at once.
type Plan []Fault

// Extent is what a plan may name: the world that it is for.
type Bounds struct {
	Length    float64 // seconds
	Backends  []int   // of each tier
	Zones     int
	Customers int
}

// Check tells the first thing in the plan that the world lacks or that is no sensible figure.
func (p Plan) Check(e Bounds) error {
	for i, f := range p {
		if err := f.check(e); err != nil {
			return fmt.Errorf("fault[%d] (%s): %w", i, f.Kind, err)
		}
	}
	return nil
}

func (f Fault) check(e Bounds) error {
	form, ok := formOf(f.Kind)
	if !ok {
		return fmt.Errorf("kind %q is unknown; known are %s", f.Kind, names())
	}
	for _, x := range []struct {
		name     string
		v, least float64
		most     float64
	}{
		{"from", f.From, 0, e.Length}, {"for", f.For, 0, math.MaxFloat64}, {"ramp", f.Ramp, 0, math.MaxFloat64},
		{"hard", f.Hard, 0, form.hard}, {"share", f.Share, 0, 1},
	} {
		if math.IsNaN(x.v) || x.v < x.least || x.v > x.most {
			return fmt.Errorf("%s = %v is not between %v and %v", x.name, x.v, x.least, x.most)
		}
	}
	if (form.backends || f.Kind == DiscoveryPartial || f.Kind == ZoneLoss || form.share) && (f.Tier < 0 || f.Tier >= len(e.Backends)) {
		return fmt.Errorf("tier %d is not one of %d", f.Tier, len(e.Backends))
	}
	zones, what := e.Zones, "zone"
	if f.Kind == CustomerFlood {
		zones, what = e.Customers, "customer"
	}
	if f.Zone < -1 || f.Zone >= zones || f.Zone < 0 && (form.zone || f.Kind == CustomerFlood) {
		return fmt.Errorf("%s %d is not one of %d", what, f.Zone, zones)
	}
	if f.To < -1 || f.To >= e.Zones {
		return fmt.Errorf("to %d is not one of %d zones", f.To, e.Zones)
	}
	return nil
}

func names() string {
	var all []string
	for _, f := range forms {
		all = append(all, string(f.kind))
	}
	return strings.Join(all, ", ")
}

// Draw is a plan of so many faults from a seed, sensible for the world; the later half of the day is left for
// what the faults set off.
func Random(seed uint64, count int, e Bounds) Plan {
	r := rand.New(rand.NewPCG(seed, 0x706c616e))
	var p Plan
	for len(p) < count {
		f := forms[r.IntN(len(forms)-byHand)]
		// Each figure is drawn whether or not it is used: a kind more or less leaves the others as they are.
		x := Fault{
			Kind: f.kind, Tier: r.IntN(len(e.Backends)), Zone: r.IntN(max(1, e.Zones)), To: -1,
			Share: round(0.1 + 0.5*r.Float64()), From: round((0.1 + 0.5*r.Float64()) * e.Length),
			For: round((0.05 + 0.2*r.Float64()) * e.Length), Hard: round(f.most * (0.2 + 0.8*r.Float64())),
			Seed: r.Uint64() >> 1, // TOML's integers are signed
		}
		ramp, anyZone, customer := r.Float64(), r.Float64() < 0.5, r.IntN(max(1, e.Customers))
		if f.ramp && ramp < 0.3 {
			x.Ramp = round(x.For * ramp)
		}
		if f.kind == CustomerFlood {
			if e.Customers == 0 {
				continue
			}
			x.Zone = customer
		} else if e.Zones < 2 && f.zone {
			continue
		} else if !f.zone && anyZone || e.Zones < 2 {
			x.Zone = -1
		}
		p = append(p, x)
	}
	return p
}

// round keeps three digits, so that a plan reads well and is the same once written and read.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// Smaller are the plans one step less than p: each fault left out, then each made shorter, then milder. The
// order is fixed.
func (p Plan) Reductions() []Plan {
	var all []Plan
	for i := range p {
		all = append(all, slices.Delete(slices.Clone(p), i, i+1))
	}
	for _, change := range []func(*Fault) bool{
		func(f *Fault) bool { f.Ramp = 0; return true },
		func(f *Fault) bool { f.For = round(f.For / 2); return f.For >= 0.5 },
		func(f *Fault) bool { f.Share = round(f.Share / 2); return f.Share >= 0.05 },
		func(f *Fault) bool { f.Hard = round(f.Hard * 0.6); return f.Hard >= 0.05 },
	} {
		for i := range p {
			q := slices.Clone(p)
			if change(&q[i]) && q[i] != p[i] {
				all = append(all, q)
			}
		}
	}
	return all
}
