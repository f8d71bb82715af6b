// Package faults describes the faults of a run as data.
//
// A Plan can be written by hand in TOML, drawn at random from a seed, and reduced fault by fault. A fault names its targets,
// start, duration, severity and ramp. The package must never inject a fault itself, nor know how a system under test is
// built: the emulator and the testbed on sockets carry a plan out.
package faults

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Unless stated otherwise a fault hits a share of one tier's backends, and Hard is a share from 0
// to 1.
const (
	Crash            Kind = "crash"    // processes crash and connections are reset; the backends are back, cold, when it ends
	Vanish           Kind = "vanish"   // machines stop responding without refusing anything; they are back, cold, when it ends
	Hang             Kind = "hang"     // backends accept commands and finish none
	Slow             Kind = "slow"     // the share Hard of the speed is lost
	NoisyNeighbor    Kind = "flicker"  // a neighbor takes the share Hard of the machine, on and off each second
	Errors           Kind = "errors"   // the share Hard of the commands fails at once, executed or not
	Refuse           Kind = "refuse"   // the share Hard of the commands is refused before they start
	FullTable        Kind = "table"    // others take the share Hard of the connection table
	IgnoreCancels    Kind = "deaf"     // cancelled commands are executed all the same
	LoseAnswers      Kind = "spoil"    // the share Hard of the answers is lost after the command has run
	Reset            Kind = "reset"    // the share Hard of the connections is reset during a command, before or after it ran
	RollingReplace   Kind = "roll"     // backends are replaced one after another: drained, stopped, replaced by a cold one
	Takeover         Kind = "takeover" // backends crash and another one answers at their addresses, listed or not
	Partition        Kind = "cut"      // no traffic passes from Zone to To (-1: all others); Hard 1 cuts both directions
	Delay            Kind = "delay"    // Hard seconds are added between Zone and the others (Zone -1: everywhere)
	PacketLoss       Kind = "loss"     // the share Hard of what is sent into or out of Zone is lost once and retransmitted
	ZoneLoss         Kind = "zone"     // all backends of the zone and tier crash, and are back cold
	DiscoverySilent  Kind = "silent"   // discovery sends nothing
	DiscoveryLag     Kind = "lag"      // discovery is Hard seconds later than usual
	DiscoveryStale   Kind = "stale"    // discovery sends whole lists that are Hard seconds old
	DiscoveryPartial Kind = "partial"  // discovery's whole lists omit the share Hard of the tier
	KillInstances    Kind = "kill"     // a share of the first tier's instances is killed, and started when it ends
	RestartInstances Kind = "restart"  // a share of the first tier's instances restarts gracefully, one after another
	LoadBurst        Kind = "burst"    // clients add Hard times the normal load
	CustomerFlood    Kind = "flood"    // the customer with the number Zone adds Hard times its load
	ZoneShift        Kind = "shift"    // the share Hard of the other zones' clients moves to Zone
	ClientsLeave     Kind = "rude"     // the share Hard of the clients disconnects early
	RetryStorm       Kind = "storm"    // clients retry up to Hard more times, and sooner by a factor of 1 + Hard
	// Random does not draw the kinds below, so that its plans stay the same for each seed. Share applies to the keys, or to
	// what the line names.
	// commands with these keys hold a lock of the tier for Hard seconds each and wait for it in their slots
	LockedKeys  Kind = "lock"
	FailingKeys Kind = "spoilt" // commands with these keys fail at once at every backend of the tier
	// answers to this share of commands hold an answer slot for the Hard seconds that clients read
	SlowReaders  Kind = "readers"
	DeadlineSkew Kind = "skew" // this share of the first tier's instances is given limits Hard seconds too short
	IdleReset    Kind = "reap" // connections idle for Hard seconds are dropped silently; the next command on one is reset
	// this share of a tier's backends is listed as started Hard seconds too early, as many too late
	StartTimeError Kind = "drift"
	// a share of the first tier's instances stalls with its connections open until the fault ends
	StallInstances Kind = "stall"
	CrashLoop      Kind = "loop" // a share of the first tier's instances is killed repeatedly, Hard seconds after each start
	// the share Hard of the messages between peers is duplicated, and as many are delayed past the next
	ReorderMessages Kind = "muddle"
	// this share of a tier's backends fails the share Hard of one verb's commands; Seed chooses the verb
	FailingVerb Kind = "unable"
)

// kindSpec describes which parameters a kind of fault takes, and their ranges.
type kindSpec struct {
	kind        Kind
	backends    bool    // hits a share of a tier's backends
	instances   bool    // hits a share of the first tier's instances
	zone        bool    // requires a zone
	maxSeverity float64 // largest Hard, 0: not used
	maxRandom   float64 // largest Hard that Random draws
	mayRamp     bool    // Random may draw a ramp
	share       bool    // hits a share of something else
}

// kindSpecs describes all kinds. The last notRandom ones are not drawn by Random.
var kindSpecs = []kindSpec{
	{kind: Crash, backends: true}, {kind: Vanish, backends: true}, {kind: Hang, backends: true},
	{kind: Slow, backends: true, maxSeverity: 0.99, maxRandom: 0.95, mayRamp: true},
	{kind: NoisyNeighbor, backends: true, maxSeverity: 0.99, maxRandom: 0.9},
	{kind: Errors, backends: true, maxSeverity: 1, maxRandom: 1, mayRamp: true},
	{kind: Refuse, backends: true, maxSeverity: 1, maxRandom: 1, mayRamp: true},
	{kind: FullTable, backends: true, maxSeverity: 1, maxRandom: 0.95},
	{kind: IgnoreCancels, backends: true},
	{kind: LoseAnswers, backends: true, maxSeverity: 1, maxRandom: 0.5, mayRamp: true},
	{kind: Reset, backends: true, maxSeverity: 1, maxRandom: 0.3, mayRamp: true},
	{kind: RollingReplace, backends: true}, {kind: Takeover, backends: true},
	{kind: Partition, zone: true, maxSeverity: 1, maxRandom: 1},
	{kind: Delay, maxSeverity: 10, maxRandom: 0.3, mayRamp: true},
	{kind: PacketLoss, maxSeverity: 0.9, maxRandom: 0.2, mayRamp: true},
	{kind: ZoneLoss, zone: true},
	{kind: DiscoverySilent}, {kind: DiscoveryLag, maxSeverity: 60, maxRandom: 8},
	{kind: DiscoveryStale, maxSeverity: 60, maxRandom: 15}, {kind: DiscoveryPartial, maxSeverity: 1, maxRandom: 0.6},
	{kind: KillInstances, instances: true}, {kind: RestartInstances, instances: true},
	{kind: LoadBurst, maxSeverity: 100, maxRandom: 1.5, mayRamp: true},
	{kind: CustomerFlood, maxSeverity: 100, maxRandom: 6, mayRamp: true},
	{kind: ZoneShift, zone: true, maxSeverity: 1, maxRandom: 0.8, mayRamp: true},
	{kind: ClientsLeave, maxSeverity: 1, maxRandom: 0.4}, {kind: RetryStorm, maxSeverity: 20, maxRandom: 5},
	{kind: LockedKeys, maxSeverity: 60, share: true}, {kind: FailingKeys, share: true},
	{kind: SlowReaders, maxSeverity: 60, share: true},
	{kind: DeadlineSkew, maxSeverity: 60, share: true},
	{kind: IdleReset, maxSeverity: 600}, {kind: StartTimeError, maxSeverity: 60, share: true},
	{kind: FailingVerb, backends: true, maxSeverity: 1},
	{kind: StallInstances, instances: true}, {kind: CrashLoop, instances: true, maxSeverity: 60},
	{kind: ReorderMessages, maxSeverity: 1},
}

const notRandom = 10 // number of kinds at the end of kindSpecs that Random does not draw

// specOf returns the specification of a kind, and false if the kind is unknown.
func specOf(k Kind) (kindSpec, bool) {
	i := slices.IndexFunc(kindSpecs, func(f kindSpec) bool { return f.kind == k })
	if i < 0 {
		return kindSpec{}, false
	}
	return kindSpecs[i], true
}

// Kinds returns all kinds, in the order of kindSpecs.
func Kinds() []Kind {
	all := make([]Kind, len(kindSpecs))
	for i, f := range kindSpecs {
		all[i] = f.kind
	}
	return all
}

// MaxSeverity returns the largest severity, the field Hard, of the kind, or 0 if it does not use it.
func (k Kind) MaxSeverity() float64 {
	f, _ := specOf(k)
	return f.maxSeverity
}

// Fault is one fault of a plan. Times are in seconds since the start of the run.
type Fault struct {
	Kind  Kind    `toml:"kind"`
	Tier  int     `toml:"tier"`  // tier of the backends; 0 receives the clients' commands
	Zone  int     `toml:"zone"`  // -1: any
	To    int     `toml:"to"`    // other end of a Partition, -1: all other zones
	Share float64 `toml:"share"` // share of the possible targets, at least one
	From  float64 `toml:"from"`
	For   float64 `toml:"for"`  // duration
	Ramp  float64 `toml:"ramp"` // seconds over which the severity rises, and falls again
	Hard  float64 `toml:"hard"` // severity
	Seed  uint64  `toml:"seed"` // selects the targets, so that adding or removing other faults does not change them
}

// SeverityAt returns the severity at a time including the ramps, or 0 if the fault is not active.
func (f Fault) SeverityAt(t float64) float64 {
	if t < f.From || t >= f.From+f.For {
		return 0
	}
	if f.Ramp <= 0 {
		return f.Hard
	}
	return f.Hard * min(1, (t-f.From)/f.Ramp, (f.From+f.For-t)/f.Ramp)
}

// Ramps tells whether the severity changes while the fault is active.
func (f Fault) Ramps() bool { return f.Ramp > 0 && f.For > 0 }

// String returns the fault as a line of a report.
func (f Fault) String() string {
	spec, _ := specOf(f.Kind)
	s := fmt.Sprintf("%s %.4g-%.4g s", f.Kind, f.From, f.From+f.For)
	if spec.backends {
		s += fmt.Sprintf(" tier %d share %.2g", f.Tier, f.Share)
	} else if spec.instances || spec.share {
		s += fmt.Sprintf(" share %.2g", f.Share)
	}
	if f.Zone >= 0 {
		s += fmt.Sprintf(" zone %d", f.Zone)
	}
	if spec.maxSeverity > 0 {
		s += fmt.Sprintf(" hard %.3g", f.Hard)
	}
	if f.Ramp > 0 {
		s += fmt.Sprintf(" ramp %.3g s", f.Ramp)
	}
	return s
}

// Plan holds all faults of a run. Several may be active at once.
type Plan []Fault

// Bounds is the size of the system that a plan is for, and so the limits of what its faults may name.
type Bounds struct {
	Duration  float64 // seconds
	Backends  []int   // of each tier
	Zones     int
	Customers int
}

// Check returns an error for the first fault with a target outside the bounds or a value out of range.
func (p Plan) Check(e Bounds) error {
	for i, f := range p {
		if err := f.check(e); err != nil {
			return fmt.Errorf("fault[%d] (%s): %w", i, f.Kind, err)
		}
	}
	return nil
}

// check returns an error for the first target or value of the fault that is not valid.
func (f Fault) check(e Bounds) error {
	spec, ok := specOf(f.Kind)
	if !ok {
		return fmt.Errorf("kind %q is unknown; known are %s", f.Kind, kindNames())
	}
	for _, value := range []struct {
		name     string
		v, least float64
		most     float64
	}{
		{"from", f.From, 0, e.Duration}, {"for", f.For, 0, math.MaxFloat64}, {"ramp", f.Ramp, 0, math.MaxFloat64},
		{"hard", f.Hard, 0, spec.maxSeverity}, {"share", f.Share, 0, 1},
	} {
		if math.IsNaN(value.v) || value.v < value.least || value.v > value.most {
			return fmt.Errorf("%s = %v is not between %v and %v", value.name, value.v, value.least, value.most)
		}
	}
	if (spec.backends || f.Kind == DiscoveryPartial || f.Kind == ZoneLoss || spec.share) && (f.Tier < 0 ||
		f.Tier >= len(e.Backends)) {
		return fmt.Errorf("tier %d is not one of %d", f.Tier, len(e.Backends))
	}
	zones, what := e.Zones, "zone"
	if f.Kind == CustomerFlood {
		zones, what = e.Customers, "customer"
	}
	if f.Zone < -1 || f.Zone >= zones || f.Zone < 0 && (spec.zone || f.Kind == CustomerFlood) {
		return fmt.Errorf("%s %d is not one of %d", what, f.Zone, zones)
	}
	if f.To < -1 || f.To >= e.Zones {
		return fmt.Errorf("to %d is not one of %d zones", f.To, e.Zones)
	}
	return nil
}

// kindNames returns the names of all kinds, for error messages.
func kindNames() string {
	var all []string
	for _, f := range kindSpecs {
		all = append(all, string(f.kind))
	}
	return strings.Join(all, ", ")
}

// Random returns a plan of count faults drawn from a seed within the bounds. Faults start before 0.6 of the run and last up
// to a quarter of it, so that their consequences show before its end.
func Random(seed uint64, count int, e Bounds) Plan {
	r := rand.New(rand.NewPCG(seed, 0x706c616e))
	var p Plan
	for len(p) < count {
		spec := kindSpecs[r.IntN(len(kindSpecs)-notRandom)]
		// Each value is drawn whether or not it is used, so that the kind of one fault does not change the others.
		fault := Fault{
			Kind: spec.kind, Tier: r.IntN(len(e.Backends)), Zone: r.IntN(max(1, e.Zones)), To: -1,
			Share: round(0.1 + 0.5*r.Float64()), From: round((0.1 + 0.5*r.Float64()) * e.Duration),
			For: round((0.05 + 0.2*r.Float64()) * e.Duration), Hard: round(spec.maxRandom * (0.2 + 0.8*r.Float64())),
			Seed: r.Uint64() >> 1, // TOML integers are signed
		}
		ramp, anyZone, customer := r.Float64(), r.Float64() < 0.5, r.IntN(max(1, e.Customers))
		if spec.mayRamp && ramp < 0.3 {
			fault.Ramp = round(fault.For * ramp)
		}
		if spec.kind == CustomerFlood {
			if e.Customers == 0 {
				continue
			}
			fault.Zone = customer
		} else if e.Zones < 2 && spec.zone {
			continue
		} else if !spec.zone && anyZone || e.Zones < 2 {
			fault.Zone = -1
		}
		p = append(p, fault)
	}
	return p
}

// round keeps three decimals, so that a plan is readable, and identical after it is written and read.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// Reductions returns the plans that are one step simpler than p: each fault left out, then each without its ramp, shorter,
// with fewer targets, and less severe. The order is fixed.
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
