// Package emulator is a deterministic, event-driven world for the decision module: backends, a network, discovery
// and clients on a virtual clock, with hundreds of instances in one world, each driven through balance.Host.
//
// One seed decides a day. The world carries out a faults.Plan and reports what truly happens to a checker.Checker. It
// must never copy the module's logic, read its books, or go by wall time. What it models and what it leaves out is
// told in docs/emulator.md.
package emulator

import (
	"fmt"
	"math"

	"sandpass/balance"
	"sandpass/internal/faults"
)

// World describes the systems in which a day is played. Times are in seconds, work in seconds of a core of speed 1.
// Default gives one; a file changes what it names.
type World struct {
	Duration     float64    `toml:"length"`
	Warmup       float64    `toml:"warmup"`    // seconds from the start that are played and not counted
	Zones        int        `toml:"zones"`     //
	Instances    int        `toml:"instances"` // of the first tier
	InstanceSkew float64    `toml:"skew"`      // spread (sigma of a lognormal) of what instances of the first tier get
	Tick         float64    `toml:"tick"`
	Load         float64    `toml:"load"` // part of the true capacity of the tier that runs out first
	Rate         float64    `toml:"rate"` // commands a second in its place, where above 0
	LoadSwing    float64    `toml:"swing"`
	SwingPeriod  float64    `toml:"wave"` // seconds of a swing
	Tiers        []Tier     `toml:"tiers"`
	Verbs        []Verb     `toml:"verbs"`
	Customers    []Customer `toml:"customers"`
	Net          Network    `toml:"net"`
	Discovery    Discovery  `toml:"discovery"`
	Clients      Clients    `toml:"clients"`
	Rules        Rules      `toml:"rules"`
	Prices       Prices     `toml:"prices"`
}

// Tier is a group of like backends; those of each but the last call the next tier.
type Tier struct {
	Backends       int       `toml:"backends"`
	Cores          float64   `toml:"cores"`
	Slots          int       `toml:"slots"`        // commands in work at once
	Queue          int       `toml:"queue"`        // and waiting, beyond which they are turned away
	Speeds         []float64 `toml:"speeds"`       // classes, dealt out in turn by chance
	WeightFidelity float64   `toml:"nominal"`      // how far the listed weight follows the speed: 0 not at all, 1 wholly
	Connections    int       `toml:"connections"`  // held at once, beyond which new ones are refused
	Handshake      float64   `toml:"handshake"`    // work of a new connection
	IdleTimeout    float64   `toml:"idle"`         // seconds after which an idle connection is closed
	OverloadFrom   float64   `toml:"choke_from"`   // commands a core held, from which it gets less efficient
	OverloadLoss   float64   `toml:"choke"`        // part of its efficiency lost for each more a core, as 1/(1+choke*more)
	CancelStops    bool      `toml:"cancel_stops"` // cancelled work stops
	RejectsExpired bool      `toml:"minds_limit"`  // what waited until its time was up is turned away, not begun
	CellSize       int       `toml:"cell_size"`    // backends in a cell
	CacheSaving    float64   `toml:"key_saves"`    // part of the work that a cell saves on a key that it met lately
	CacheLifetime  float64   `toml:"key_life"`     // seconds for which that holds
}

// Verb is a kind of command.
type Verb struct {
	Name        string    `toml:"name"`
	Effect      string    `toml:"effect"` // pure, receipted, effectful
	Scope       string    `toml:"scope"`  // all, zone, cell
	DedupWindow float64   `toml:"window"`
	Goal        float64   `toml:"goal"`
	Limit       float64   `toml:"limit"`
	Utility     float64   `toml:"utility"`
	LateShare   float64   `toml:"late"` // part of the utility of an answer past the goal
	Share       float64   `toml:"share"`
	Work        []float64 `toml:"work"`   // mean, at each tier
	Spread      float64   `toml:"spread"` // coefficient of variation, lognormal
	Calls       []int     `toml:"calls"`  // one after another, from each tier to the next
}

// Customer shares the service with others.
type Customer struct {
	Share     float64 `toml:"share"`     // of the load
	Allowance float64 `toml:"allowance"` // part of the load it may send at full worth
}

// Net is the way between zones; times are one way.
type Network struct {
	SameZone        float64 `toml:"same"`
	CrossZone       float64 `toml:"cross"`
	Client          float64 `toml:"client"`
	Jitter          float64 `toml:"jitter"` // mean of what comes on top, as a part
	RetransmitDelay float64 `toml:"again"`  // seconds after which what was lost is sent again
}

// Discovery tells each instance what changed.
type Discovery struct {
	Lag         [2]float64 `toml:"lag"` // drawn for each instance and word
	OnRequest   bool       `toml:"asked"`
	MaxCallRate float64    `toml:"serves"` // calls a second that it answers, where it must be asked
}

// Clients come by themselves, whatever becomes of those before.
type Clients struct {
	Retries         int     `toml:"retries"`   // at most, by the rules
	TryShare        float64 `toml:"try_share"` // part of the limit after which one try is given up
	RetryBackoff    float64 `toml:"backoff"`   // seconds before another try, doubling, with jitter
	RetryAfterShare float64 `toml:"follow"`    // part of the clients that follow when to come back
	DeathDetection  float64 `toml:"notice"`    // seconds until the front notices a dead instance
	EarlyLeaveShare float64 `toml:"early"`     // part that leaves early
	OverageUtility  float64 `toml:"over"`      // worth of what a customer sends over its allowance, as a part
	Keys            int     `toml:"keys"`
}

// Rules are what instances may do, and the figures of the four rules.
type Rules struct {
	MaxRelays      int     `toml:"relays"`
	SecondCopies   bool    `toml:"copies"`
	CancelRelays   bool    `toml:"cancel"`
	Peers          bool    `toml:"peers"`
	MaxRetryAfter  float64 `toml:"come_back"`
	AnswerSlack    float64 `toml:"slack"`
	DrainGrace     float64 `toml:"grace"`
	DrainTime      float64 `toml:"drain"` // seconds from the word of a drain until the backend ends
	ConnectTimeout float64 `toml:"connect"`
	ColdShare      float64 `toml:"cold_share"`
	WarmUp         float64 `toml:"cold_span"`
	ColdMultiple   float64 `toml:"cold_multiple"`
	ColdWindow     float64 `toml:"cold_window"`
	AnswerSlots    int     `toml:"answers"`   // places of a first-tier instance for answers that clients read, 0: no bound
	DeadlineError  float64 `toml:"limit_off"` // seconds by which a limit may be told wrong
	FreeRelays     float64 `toml:"free"`      // further relays of one instance in any span
	FreeRelayRatio float64 `toml:"free_share"`
	BudgetWindow   float64 `toml:"free_span"` // seconds, 0: no budget
	StartTimeError float64 `toml:"start_off"` // seconds by which the time of a start may be told wrong
}

// Prices come off, each as a part of the mean worth of a command.
type Prices struct {
	Relay        float64 `toml:"relay"`
	Message      float64 `toml:"message"`
	ZoneCrossing float64 `toml:"crossing"`
	LateDecline  float64 `toml:"late_no"`
}

// Default is a plausible small world: two tiers, three zones, four verbs of the three effects.
func Default() World {
	return World{
		Duration: 40, Warmup: 1, Zones: 3, Instances: 12, InstanceSkew: 0.5, Tick: 0.001, Load: 0.6, LoadSwing: 0.15, SwingPeriod: 20,
		Tiers: []Tier{
			{Backends: 24, Cores: 2, Slots: 16, Queue: 24, Speeds: []float64{0.7, 1, 1.4}, WeightFidelity: 0.5, Connections: 64,
				Handshake: 0.0005, IdleTimeout: 10, OverloadFrom: 5, OverloadLoss: 0.06, CancelStops: true, RejectsExpired: true, CellSize: 4},
			{Backends: 16, Cores: 2, Slots: 16, Queue: 24, Speeds: []float64{0.8, 1, 1.2}, WeightFidelity: 0.5, Connections: 96,
				Handshake: 0.0005, IdleTimeout: 10, OverloadFrom: 5, OverloadLoss: 0.06, CancelStops: true, RejectsExpired: true, CellSize: 4},
		},
		Verbs: []Verb{
			{Name: "look", Effect: "pure", Goal: 0.3, Limit: 1, Utility: 1, LateShare: 0.2, Share: 0.55,
				Work: []float64{0.012, 0.010}, Spread: 1, Calls: []int{1}},
			{Name: "search", Effect: "pure", Goal: 0.6, Limit: 1.5, Utility: 2, LateShare: 0.2, Share: 0.2,
				Work: []float64{0.030, 0.012}, Spread: 1.2, Calls: []int{2}},
			{Name: "keep", Effect: "receipted", Scope: "all", DedupWindow: 10, Goal: 0.5, Limit: 1.5, Utility: 3, LateShare: 0.3,
				Share: 0.15, Work: []float64{0.018, 0.014}, Spread: 0.8, Calls: []int{1}},
			{Name: "book", Effect: "effectful", Goal: 0.8, Limit: 2, Utility: 5, LateShare: 0.4, Share: 0.1,
				Work: []float64{0.025, 0.018}, Spread: 0.8, Calls: []int{1}},
		},
		Customers: []Customer{{0.4, 0.5}, {0.3, 0.4}, {0.2, 0.3}, {0.1, 0.2}},
		Net:       Network{SameZone: 0.0003, CrossZone: 0.0012, Client: 0.002, Jitter: 0.2, RetransmitDelay: 0.2},
		Discovery: Discovery{Lag: [2]float64{0.1, 0.8}, MaxCallRate: 200},
		Clients: Clients{Retries: 2, TryShare: 1, RetryBackoff: 0.1, RetryAfterShare: 0.7, DeathDetection: 2, EarlyLeaveShare: 0.01, OverageUtility: 0.1,
			Keys: 0},
		Rules: Rules{MaxRelays: 4, SecondCopies: true, CancelRelays: true, MaxRetryAfter: 2, AnswerSlack: 0.002, DrainGrace: 0.4, DrainTime: 3, ConnectTimeout: 0.25,
			ColdShare: 0.2, WarmUp: 8, ColdMultiple: 3, ColdWindow: 1},
		Prices: Prices{Relay: 0.02, Message: 0.002, ZoneCrossing: 0.005, LateDecline: 0.3},
	}
}

// OneTier leaves the first tier alone, whose backends then call nobody.
func (w *World) KeepFirstTier() {
	w.Tiers = w.Tiers[:1]
	for i := range w.Verbs {
		w.Verbs[i].Work, w.Verbs[i].Calls = w.Verbs[i].Work[:1], nil
	}
}

// Extent is what a fault plan for this world may name.
func (w *World) Bounds() faults.Bounds {
	e := faults.Bounds{Length: w.Duration, Zones: w.Zones, Customers: len(w.Customers)}
	for _, t := range w.Tiers {
		e.Backends = append(e.Backends, t.Backends)
	}
	return e
}

type figure struct {
	name        string
	v           float64
	least, most float64
}

func inside(where string, all []figure) error {
	for _, x := range all {
		if math.IsNaN(x.v) || x.v < x.least || x.v > x.most {
			return fmt.Errorf("%s%s = %v is not between %v and %v", where, x.name, x.v, x.least, x.most)
		}
	}
	return nil
}

// Check tells the first figure that no world can have, by its name in a file.
func (w *World) Check() error {
	const any = 1e9
	if err := inside("world.", []figure{
		{"length", w.Duration, 1, 86400}, {"warmup", w.Warmup, 0, w.Duration}, {"zones", float64(w.Zones), 1, 64},
		{"instances", float64(w.Instances), 1, 10000}, {"skew", w.InstanceSkew, 0, 3}, {"tick", w.Tick, 1e-5, 1},
		{"load", w.Load, 0, 100}, {"rate", w.Rate, 0, 1e6}, {"swing", w.LoadSwing, 0, 1}, {"wave", w.SwingPeriod, 0.1, any},
		{"net.same", w.Net.SameZone, 1e-6, 10}, {"net.cross", w.Net.CrossZone, 1e-6, 10}, {"net.client", w.Net.Client, 1e-6, 10},
		{"net.jitter", w.Net.Jitter, 0, 100}, {"net.again", w.Net.RetransmitDelay, 0.001, 100},
		{"discovery.lag[0]", w.Discovery.Lag[0], 0, 3600}, {"discovery.lag[1]", w.Discovery.Lag[1], w.Discovery.Lag[0], 3600},
		{"discovery.serves", w.Discovery.MaxCallRate, 0.001, any},
		{"clients.retries", float64(w.Clients.Retries), 0, 100}, {"clients.try_share", w.Clients.TryShare, 0.01, 1},
		{"clients.backoff", w.Clients.RetryBackoff, 0.001, 3600}, {"clients.follow", w.Clients.RetryAfterShare, 0, 1},
		{"clients.notice", w.Clients.DeathDetection, 0, 3600}, {"clients.early", w.Clients.EarlyLeaveShare, 0, 1},
		{"rules.answers", float64(w.Rules.AnswerSlots), 0, any}, {"rules.limit_off", w.Rules.DeadlineError, 0, 3600}, {"rules.free", w.Rules.FreeRelays, 0, any},
		{"rules.free_share", w.Rules.FreeRelayRatio, 0, any}, {"rules.free_span", w.Rules.BudgetWindow, 0, 600},
		{"rules.start_off", w.Rules.StartTimeError, 0, 3600},
		{"clients.over", w.Clients.OverageUtility, 0, 1}, {"clients.keys", float64(w.Clients.Keys), 0, any},
		{"rules.relays", float64(w.Rules.MaxRelays), 1, 100}, {"rules.come_back", w.Rules.MaxRetryAfter, 0, 3600},
		{"rules.slack", w.Rules.AnswerSlack, 0, 10}, {"rules.grace", w.Rules.DrainGrace, 0, 60}, {"rules.drain", w.Rules.DrainTime, 0, 3600},
		{"rules.connect", w.Rules.ConnectTimeout, 0.001, 60}, {"rules.cold_share", w.Rules.ColdShare, 0.01, 1},
		{"rules.cold_span", w.Rules.WarmUp, 0, 3600}, {"rules.cold_multiple", w.Rules.ColdMultiple, 1, any},
		{"rules.cold_window", w.Rules.ColdWindow, 0.01, 60},
		{"prices.relay", w.Prices.Relay, 0, 1}, {"prices.message", w.Prices.Message, 0, 1},
		{"prices.crossing", w.Prices.ZoneCrossing, 0, 1}, {"prices.late_no", w.Prices.LateDecline, 0, 1},
		{"tiers", float64(len(w.Tiers)), 1, 7}, {"verbs", float64(len(w.Verbs)), 1, 1000},
	}); err != nil {
		return err
	}
	for i, t := range w.Tiers {
		if err := inside(fmt.Sprintf("world.tiers[%d].", i), []figure{
			{"backends", float64(t.Backends), 1, 100000}, {"cores", t.Cores, 0.01, 1e4}, {"slots", float64(t.Slots), 1, 1e6},
			{"queue", float64(t.Queue), 0, 1e6}, {"nominal", t.WeightFidelity, 0, 1}, {"connections", float64(t.Connections), 1, 1e6},
			{"handshake", t.Handshake, 0, 10}, {"idle", t.IdleTimeout, 0.01, any}, {"choke_from", t.OverloadFrom, 0, any},
			{"choke", t.OverloadLoss, 0, 100}, {"key_saves", t.CacheSaving, 0, 1}, {"key_life", t.CacheLifetime, 0, any}, {"cell_size", float64(t.CellSize), 1, 65535}, {"speeds", float64(len(t.Speeds)), 1, 1000},
		}); err != nil {
			return err
		}
		for k, s := range t.Speeds {
			if err := inside(fmt.Sprintf("world.tiers[%d].", i), []figure{{fmt.Sprintf("speeds[%d]", k), s, 0.001, 1000}}); err != nil {
				return err
			}
		}
	}
	share := 0.0
	for i, v := range w.Verbs {
		where := fmt.Sprintf("world.verbs[%d].", i)
		if _, ok := effects[v.Effect]; !ok {
			return fmt.Errorf("%seffect %q is not pure, receipted or effectful", where, v.Effect)
		}
		if _, ok := scopes[v.Scope]; !ok && v.Effect == "receipted" {
			return fmt.Errorf("%sscope %q is not all, zone or cell", where, v.Scope)
		}
		if len(v.Work) != len(w.Tiers) {
			return fmt.Errorf("%swork has %d figures for %d tiers", where, len(v.Work), len(w.Tiers))
		}
		if len(v.Calls) != len(w.Tiers)-1 {
			return fmt.Errorf("%scalls has %d figures, between %d tiers there are %d", where, len(v.Calls), len(w.Tiers), len(w.Tiers)-1)
		}
		all := []figure{
			{"goal", v.Goal, 0.001, 3600}, {"limit", v.Limit, v.Goal, 3600}, {"utility", v.Utility, 0, any},
			{"late", v.LateShare, 0, 1}, {"share", v.Share, 0, any}, {"spread", v.Spread, 0, 10}, {"window", v.DedupWindow, 0, 86400},
		}
		for k, x := range v.Work {
			all = append(all, figure{fmt.Sprintf("work[%d]", k), x, 1e-6, 3600})
		}
		for k, x := range v.Calls {
			all = append(all, figure{fmt.Sprintf("calls[%d]", k), float64(x), 0, 100})
		}
		if err := inside(where, all); err != nil {
			return err
		}
		share += v.Share
	}
	if share <= 0 {
		return fmt.Errorf("world.verbs: no verb has a share of the load")
	}
	for i, c := range w.Customers {
		if err := inside(fmt.Sprintf("world.customers[%d].", i), []figure{{"share", c.Share, 0, any}, {"allowance", c.Allowance, 0, any}}); err != nil {
			return err
		}
	}
	return nil
}

var (
	effects = map[string]balance.Effect{"pure": balance.Pure, "receipted": balance.Receipted, "effectful": balance.Effectful}
	scopes  = map[string]balance.Scope{"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}
)

// mean work of a command of the verb at a tier, calls from the tiers before counted.
func (v *Verb) mean(tier int) float64 {
	calls := 1.0
	for _, n := range v.Calls[:tier] {
		calls *= float64(n)
	}
	return calls * v.Work[tier]
}

// CommandRate is how many commands a second come in the mean, before swings and faults.
func (w *World) CommandRate() float64 {
	if w.Rate > 0 {
		return w.Rate
	}
	most, share := math.Inf(1), 0.0
	for _, v := range w.Verbs {
		share += v.Share
	}
	for i, t := range w.Tiers {
		speed, work := 0.0, 0.0
		for _, s := range t.Speeds {
			speed += s / float64(len(t.Speeds))
		}
		for _, v := range w.Verbs {
			work += v.Share / share * v.mean(i)
		}
		if work > 0 {
			most = min(most, float64(t.Backends)*t.Cores*speed/work)
		}
	}
	return w.Load * most
}
