// Package emulator is a deterministic discrete-event simulation around the balancer: backends, a network, discovery and
// clients on a virtual clock, with hundreds of instances in one simulation, each driven through balance.Host.
//
// A seed determines the whole run. The emulator carries out a faults.Plan and reports what really happens to a
// checker.Checker. It must never copy the balancer's logic, read its state, or use wall-clock time. docs/emulator.md
// describes what is modeled and what is not.
package emulator

import (
	"fmt"
	"math"

	"sandpass/balance"
	"sandpass/internal/faults"
)

// World describes a simulated system. Times are in seconds, work in seconds of a core of speed 1. Default returns one, and
// a file overrides the fields that it names.
type World struct {
	Duration     float64    `toml:"length"`
	Warmup       float64    `toml:"warmup"` // seconds at the start that are simulated but not measured
	Zones        int        `toml:"zones"`
	Instances    int        `toml:"instances"` // number in the first tier
	InstanceSkew float64    `toml:"skew"`      // sigma of the lognormal distribution of the load over the first tier's instances
	Tick         float64    `toml:"tick"`
	Load         float64    `toml:"load"` // share of the true capacity of the tier with the least capacity
	Rate         float64    `toml:"rate"` // commands per second; if above 0 it replaces Load
	LoadSwing    float64    `toml:"swing"`
	SwingPeriod  float64    `toml:"wave"` // seconds
	Tiers        []Tier     `toml:"tiers"`
	Verbs        []Verb     `toml:"verbs"`
	Customers    []Customer `toml:"customers"`
	Net          Network    `toml:"net"`
	Discovery    Discovery  `toml:"discovery"`
	Clients      Clients    `toml:"clients"`
	Rules        Rules      `toml:"rules"`
	Prices       Prices     `toml:"prices"`
}

// Tier is a group of similar backends. Those of each tier but the last call the next tier.
type Tier struct {
	Backends       int       `toml:"backends"`
	Cores          float64   `toml:"cores"`
	Slots          int       `toml:"slots"`        // commands executed at a time
	Queue          int       `toml:"queue"`        // commands waiting; more are refused
	Speeds         []float64 `toml:"speeds"`       // speed classes, distributed evenly at random
	WeightFidelity float64   `toml:"nominal"`      // how far the listed capacity follows the speed: 0 not at all, 1 fully
	Connections    int       `toml:"connections"`  // open at a time; more are refused
	Handshake      float64   `toml:"handshake"`    // work for a new connection
	IdleTimeout    float64   `toml:"idle"`         // seconds after which an idle connection is closed
	OverloadFrom   float64   `toml:"choke_from"`   // commands held per core above which a backend becomes less efficient
	OverloadLoss   float64   `toml:"choke"`        // loss for each more per core: efficiency is 1/(1+choke*more)
	CancelStops    bool      `toml:"cancel_stops"` // a backend stops cancelled work
	RejectsExpired bool      `toml:"minds_limit"`  // a queued command past its limit is refused, not started
	CellSize       int       `toml:"cell_size"`    // backends per cell
	CacheSaving    float64   `toml:"key_saves"`    // share of the work that a cell saves on a key it handled recently
	CacheLifetime  float64   `toml:"key_life"`     // seconds for which it saves that
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
	LateShare   float64   `toml:"late"` // share of the utility of an answer after the goal
	Share       float64   `toml:"share"`
	Work        []float64 `toml:"work"`   // mean at each tier
	Spread      float64   `toml:"spread"` // coefficient of variation, lognormal
	Calls       []int     `toml:"calls"`  // sequential calls from each tier to the next
}

// Customer is one of the customers that share the service.
type Customer struct {
	Share     float64 `toml:"share"`     // share of the load
	Allowance float64 `toml:"allowance"` // share of the load that it may send at full utility
}

// Network describes the network within and between zones. Times are one-way latencies in seconds.
type Network struct {
	SameZone        float64 `toml:"same"`
	CrossZone       float64 `toml:"cross"`
	Client          float64 `toml:"client"`
	Jitter          float64 `toml:"jitter"` // mean additional latency, as a share
	RetransmitDelay float64 `toml:"again"`  // seconds after which lost data is retransmitted
}

// Discovery describes the service that informs instances of backends.
type Discovery struct {
	Lag         [2]float64 `toml:"lag"` // least and greatest delay, drawn for each update of an instance
	OnRequest   bool       `toml:"asked"`
	MaxCallRate float64    `toml:"serves"` // calls per second that it answers if it works on request
}

// Clients describes the clients. They arrive in open loop, whatever happened to earlier ones.
type Clients struct {
	Retries         int     `toml:"retries"`   // at most, and only where the rules allow a retry
	TryShare        float64 `toml:"try_share"` // share of the limit after which a try times out
	RetryBackoff    float64 `toml:"backoff"`   // seconds before a retry, doubling, with jitter
	RetryAfterShare float64 `toml:"follow"`    // share of the clients that honor the advised retry delay
	DeathDetection  float64 `toml:"notice"`    // seconds until the front detects a killed instance
	EarlyLeaveShare float64 `toml:"early"`     // share that disconnects early
	OverageUtility  float64 `toml:"over"`      // share of the utility of commands over a customer's allowance
	Keys            int     `toml:"keys"`
}

// Rules describes what instances may do, and the parameters of the four rules.
type Rules struct {
	MaxRelays      int     `toml:"relays"`
	Hedges         bool    `toml:"copies"`
	CancelRelays   bool    `toml:"cancel"`
	Peers          bool    `toml:"peers"`
	MaxRetryAfter  float64 `toml:"come_back"`
	AnswerSlack    float64 `toml:"slack"`
	DrainGrace     float64 `toml:"grace"`
	DrainTime      float64 `toml:"drain"` // seconds from the announcement of a drain until the backend stops
	ConnectTimeout float64 `toml:"connect"`
	ColdShare      float64 `toml:"cold_share"`
	WarmUp         float64 `toml:"cold_span"`
	ColdMultiple   float64 `toml:"cold_multiple"`
	ColdWindow     float64 `toml:"cold_window"`
	AnswerSlots    int     `toml:"answers"`   // answers that clients of a first-tier instance may be reading, 0: unlimited
	DeadlineError  float64 `toml:"limit_off"` // seconds by which a reported limit may be wrong
	FreeRelays     float64 `toml:"free"`      // further relays that one instance may send in any BudgetWindow
	FreeRelayRatio float64 `toml:"free_share"`
	BudgetWindow   float64 `toml:"free_span"` // seconds, 0: no budget
	StartTimeError float64 `toml:"start_off"` // seconds by which a listed start may be wrong
}

// Prices are subtracted from the utility, each as a share of the mean utility of a command.
type Prices struct {
	Relay        float64 `toml:"relay"`
	Message      float64 `toml:"message"`
	ZoneCrossing float64 `toml:"crossing"`
	LateDecline  float64 `toml:"late_no"`
}

// Default returns a plausible small world with two tiers, three zones, and four verbs of the three effects.
func Default() World {
	return World{
		Duration: 40, Warmup: 1, Zones: 3, Instances: 12, InstanceSkew: 0.5, Tick: 0.001, Load: 0.6, LoadSwing: 0.15,
		SwingPeriod: 20,
		Tiers: []Tier{
			{Backends: 24, Cores: 2, Slots: 16, Queue: 24, Speeds: []float64{0.7, 1, 1.4}, WeightFidelity: 0.5, Connections: 64,
				Handshake: 0.0005, IdleTimeout: 10, OverloadFrom: 5, OverloadLoss: 0.06, CancelStops: true, RejectsExpired: true,
				CellSize: 4},
			{Backends: 16, Cores: 2, Slots: 16, Queue: 24, Speeds: []float64{0.8, 1, 1.2}, WeightFidelity: 0.5, Connections: 96,
				Handshake: 0.0005, IdleTimeout: 10, OverloadFrom: 5, OverloadLoss: 0.06, CancelStops: true, RejectsExpired: true,
				CellSize: 4},
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
		Clients: Clients{Retries: 2, TryShare: 1, RetryBackoff: 0.1, RetryAfterShare: 0.7, DeathDetection: 2,
			EarlyLeaveShare: 0.01, OverageUtility: 0.1,
			Keys: 0},
		Rules: Rules{MaxRelays: 4, Hedges: true, CancelRelays: true, MaxRetryAfter: 2, AnswerSlack: 0.002, DrainGrace: 0.4,
			DrainTime: 3, ConnectTimeout: 0.25,
			ColdShare: 0.2, WarmUp: 8, ColdMultiple: 3, ColdWindow: 1},
		Prices: Prices{Relay: 0.02, Message: 0.002, ZoneCrossing: 0.005, LateDecline: 0.3},
	}
}

// KeepFirstTier removes all tiers but the first, whose backends then make no calls.
func (w *World) KeepFirstTier() {
	w.Tiers = w.Tiers[:1]
	for i := range w.Verbs {
		w.Verbs[i].Work, w.Verbs[i].Calls = w.Verbs[i].Work[:1], nil
	}
}

// Bounds returns the bounds for fault plans for this world.
func (w *World) Bounds() faults.Bounds {
	bounds := faults.Bounds{Duration: w.Duration, Zones: w.Zones, Customers: len(w.Customers)}
	for _, t := range w.Tiers {
		bounds.Backends = append(bounds.Backends, t.Backends)
	}
	return bounds
}

// namedValue is a value with its name in a file and its range.
type namedValue struct {
	name     string
	value    float64
	min, max float64
}

// checkRanges returns an error for the first value that is out of its range.
func checkRanges(prefix string, all []namedValue) error {
	for _, item := range all {
		if math.IsNaN(item.value) || item.value < item.min || item.value > item.max {
			return fmt.Errorf("%s%s = %v is not between %v and %v", prefix, item.name, item.value, item.min, item.max)
		}
	}
	return nil
}

// Check returns an error for the first invalid value, with its name in a file.
func (w *World) Check() error {
	const unlimited = 1e9
	if err := checkRanges("world.", []namedValue{
		{"length", w.Duration, 1, 86400}, {"warmup", w.Warmup, 0, w.Duration}, {"zones", float64(w.Zones), 1, 64},
		{"instances", float64(w.Instances), 1, 10000}, {"skew", w.InstanceSkew, 0, 3}, {"tick", w.Tick, 1e-5, 1},
		{"load", w.Load, 0, 100}, {"rate", w.Rate, 0, 1e6}, {"swing", w.LoadSwing, 0, 1}, {"wave", w.SwingPeriod, 0.1, unlimited},
		{"net.same", w.Net.SameZone, 1e-6, 10}, {"net.cross", w.Net.CrossZone, 1e-6, 10}, {"net.client", w.Net.Client, 1e-6, 10},
		{"net.jitter", w.Net.Jitter, 0, 100}, {"net.again", w.Net.RetransmitDelay, 0.001, 100},
		{"discovery.lag[0]", w.Discovery.Lag[0], 0, 3600}, {"discovery.lag[1]", w.Discovery.Lag[1], w.Discovery.Lag[0], 3600},
		{"discovery.serves", w.Discovery.MaxCallRate, 0.001, unlimited},
		{"clients.retries", float64(w.Clients.Retries), 0, 100}, {"clients.try_share", w.Clients.TryShare, 0.01, 1},
		{"clients.backoff", w.Clients.RetryBackoff, 0.001, 3600}, {"clients.follow", w.Clients.RetryAfterShare, 0, 1},
		{"clients.notice", w.Clients.DeathDetection, 0, 3600}, {"clients.early", w.Clients.EarlyLeaveShare, 0, 1},
		{"rules.answers", float64(w.Rules.AnswerSlots), 0, unlimited}, {"rules.limit_off", w.Rules.DeadlineError, 0, 3600},
		{"rules.free", w.Rules.FreeRelays, 0, unlimited},
		{"rules.free_share", w.Rules.FreeRelayRatio, 0, unlimited}, {"rules.free_span", w.Rules.BudgetWindow, 0, 600},
		{"rules.start_off", w.Rules.StartTimeError, 0, 3600},
		{"clients.over", w.Clients.OverageUtility, 0, 1}, {"clients.keys", float64(w.Clients.Keys), 0, unlimited},
		{"rules.relays", float64(w.Rules.MaxRelays), 1, 100}, {"rules.come_back", w.Rules.MaxRetryAfter, 0, 3600},
		{"rules.slack", w.Rules.AnswerSlack, 0, 10}, {"rules.grace", w.Rules.DrainGrace, 0, 60},
		{"rules.drain", w.Rules.DrainTime, 0, 3600},
		{"rules.connect", w.Rules.ConnectTimeout, 0.001, 60}, {"rules.cold_share", w.Rules.ColdShare, 0.01, 1},
		{"rules.cold_span", w.Rules.WarmUp, 0, 3600}, {"rules.cold_multiple", w.Rules.ColdMultiple, 1, unlimited},
		{"rules.cold_window", w.Rules.ColdWindow, 0.01, 60},
		{"prices.relay", w.Prices.Relay, 0, 1}, {"prices.message", w.Prices.Message, 0, 1},
		{"prices.crossing", w.Prices.ZoneCrossing, 0, 1}, {"prices.late_no", w.Prices.LateDecline, 0, 1},
		{"tiers", float64(len(w.Tiers)), 1, 7}, {"verbs", float64(len(w.Verbs)), 1, 1000},
	}); err != nil {
		return err
	}
	for i, t := range w.Tiers {
		if err := checkRanges(fmt.Sprintf("world.tiers[%d].", i), []namedValue{
			{"backends", float64(t.Backends), 1, 100000}, {"cores", t.Cores, 0.01, 1e4}, {"slots", float64(t.Slots), 1, 1e6},
			{"queue", float64(t.Queue), 0, 1e6}, {"nominal", t.WeightFidelity, 0, 1},
			{"connections", float64(t.Connections), 1, 1e6},
			{"handshake", t.Handshake, 0, 10}, {"idle", t.IdleTimeout, 0.01, unlimited},
			{"choke_from", t.OverloadFrom, 0, unlimited},
			{"choke", t.OverloadLoss, 0, 100}, {"key_saves", t.CacheSaving, 0, 1}, {"key_life", t.CacheLifetime, 0, unlimited},
			{"cell_size", float64(t.CellSize), 1, 65535}, {"speeds", float64(len(t.Speeds)), 1, 1000},
		}); err != nil {
			return err
		}
		for k, s := range t.Speeds {
			if err := checkRanges(fmt.Sprintf("world.tiers[%d].", i),
				[]namedValue{{fmt.Sprintf("speeds[%d]", k), s, 0.001, 1000}}); err != nil {
				return err
			}
		}
	}
	share := 0.0
	for i, v := range w.Verbs {
		prefix := fmt.Sprintf("world.verbs[%d].", i)
		if _, ok := effects[v.Effect]; !ok {
			return fmt.Errorf("%seffect %q is not pure, receipted or effectful", prefix, v.Effect)
		}
		if _, ok := scopes[v.Scope]; !ok && v.Effect == "receipted" {
			return fmt.Errorf("%sscope %q is not all, zone or cell", prefix, v.Scope)
		}
		if len(v.Work) != len(w.Tiers) {
			return fmt.Errorf("%swork has %d figures for %d tiers", prefix, len(v.Work), len(w.Tiers))
		}
		if len(v.Calls) != len(w.Tiers)-1 {
			return fmt.Errorf("%scalls has %d figures, but %d tiers need %d", prefix, len(v.Calls), len(w.Tiers), len(w.Tiers)-1)
		}
		all := []namedValue{
			{"goal", v.Goal, 0.001, 3600}, {"limit", v.Limit, v.Goal, 3600}, {"utility", v.Utility, 0, unlimited},
			{"late", v.LateShare, 0, 1}, {"share", v.Share, 0, unlimited}, {"spread", v.Spread, 0, 10},
			{"window", v.DedupWindow, 0, 86400},
		}
		for k, value := range v.Work {
			all = append(all, namedValue{fmt.Sprintf("work[%d]", k), value, 1e-6, 3600})
		}
		for k, value := range v.Calls {
			all = append(all, namedValue{fmt.Sprintf("calls[%d]", k), float64(value), 0, 100})
		}
		if err := checkRanges(prefix, all); err != nil {
			return err
		}
		share += v.Share
	}
	if share <= 0 {
		return fmt.Errorf("world.verbs: no verb has a share of the load")
	}
	for i, c := range w.Customers {
		if err := checkRanges(fmt.Sprintf("world.customers[%d].", i),
			[]namedValue{{"share", c.Share, 0, unlimited}, {"allowance", c.Allowance, 0, unlimited}}); err != nil {
			return err
		}
	}
	return nil
}

var (
	effects = map[string]balance.Effect{"pure": balance.Pure, "receipted": balance.Receipted, "effectful": balance.Effectful}
	scopes  = map[string]balance.Scope{"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone,
		"cell": balance.ScopeCell}
)

// meanWork returns the mean work at a tier for one client command of the verb, including all calls from earlier tiers.
func (v *Verb) meanWork(tier int) float64 {
	calls := 1.0
	for _, n := range v.Calls[:tier] {
		calls *= float64(n)
	}
	return calls * v.Work[tier]
}

// CommandRate returns the mean number of client commands per second without load swings and faults.
func (w *World) CommandRate() float64 {
	if w.Rate > 0 {
		return w.Rate
	}
	maxRate, share := math.Inf(1), 0.0
	for _, v := range w.Verbs {
		share += v.Share
	}
	for i, t := range w.Tiers {
		speed, work := 0.0, 0.0
		for _, s := range t.Speeds {
			speed += s / float64(len(t.Speeds))
		}
		for _, v := range w.Verbs {
			work += v.Share / share * v.meanWork(i)
		}
		if work > 0 {
			maxRate = min(maxRate, float64(t.Backends)*t.Cores*speed/work)
		}
	}
	return w.Load * maxRate
}
