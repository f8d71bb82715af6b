package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/cryptotest"

	"pgregory.net/rapid"
)

// rapidChooser draws from rapid, so that rapid can shrink a failing history.
type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) below(label string, n int) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }

// seedChooser draws from a seeded random generator.
type seedChooser struct{ *rand.Rand }

func (c seedChooser) below(_ string, n int) int { return c.IntN(n) }

// actions are the possible steps of a history, chosen in proportion to their weights.
var actions = []struct {
	weight int
	do     func(*sim)
}{
	{10, (*sim).round},
	{8, (*sim).submit},
	{3, (*sim).resubmit},
	{6, func(s *sim) { s.startRead(s.anyReplica()) }},
	{30, (*sim).deliverAnyMessage},
	{4, (*sim).dropAnyMessage},
	{4, (*sim).duplicateAnyMessage},
	{10, func(s *sim) { s.run(s.anyReplica(), true) }},
	{10, (*sim).tickAny},
	{2, func(s *sim) { s.crash(s.anyReplica()) }},
	{4, (*sim).startAny},
	{3, (*sim).blockAnyLink},
	{3, func(s *sim) { clear(s.blockedLinks) }},
	{20, func(s *sim) { s.stepProxy(s.anyProxy(), s.anyReplica()) }},
	{3, func(s *sim) { s.anyProxy().disconnect() }},
	{1, func(s *sim) { s.damage(s.anyProxy()) }},
	{3, (*sim).campaignAny},
}

func (s *sim) anyReplica() *simReplica { return s.replicas[s.choose.below("replica", simReplicas)] }
func (s *sim) anyProxy() *simProxy     { return s.proxies[s.choose.below("proxy", len(s.proxies))] }
func (s *sim) anyMessage() int         { return s.choose.below("message", len(s.network)) }
func (s *sim) removeMessage(at int)    { s.network = append(s.network[:at:at], s.network[at+1:]...) }

// deliverAnyMessage delivers a random message and runs its receiver.
func (s *sim) deliverAnyMessage() {
	if len(s.network) == 0 {
		return
	}
	at := s.anyMessage()
	message := s.network[at]
	s.removeMessage(at)
	s.deliver(message)
	s.run(s.replicas[message.to-1], true)
}

// dropAnyMessage loses a random message.
func (s *sim) dropAnyMessage() {
	if len(s.network) > 0 {
		s.removeMessage(s.anyMessage())
	}
}

// duplicateAnyMessage lets a random message arrive once more.
func (s *sim) duplicateAnyMessage() {
	if len(s.network) > 0 {
		s.network = append(s.network, s.network[s.anyMessage()])
	}
}

// tickAny advances the time by one tick, and the clock of a random replica by one to ElectionTicks ticks.
func (s *sim) tickAny() {
	s.now += TickInterval.Seconds()
	if r := s.anyReplica(); r.node != nil {
		for range 1 + s.choose.below("ticks", ElectionTicks) {
			r.node.Tick()
		}
		s.run(r, true)
	}
	s.proposeCanaryCommands()
}

// startAny starts a random replica if it does not run.
func (s *sim) startAny() {
	if r := s.anyReplica(); r.node == nil {
		s.start(r)
	}
}

// blockAnyLink blocks one direction between two replicas, or all outgoing links of one replica.
func (s *sim) blockAnyLink() {
	from := uint64(1 + s.choose.below("blocked sender", simReplicas))
	if s.choose.below("block all", 3) == 0 {
		for to := range uint64(simReplicas) {
			s.blockedLinks[[2]uint64{from, to + 1}] = true
		}
		return
	}
	s.blockedLinks[[2]uint64{from, uint64(1 + s.choose.below("blocked receiver", simReplicas))}] = true
}

// campaignAny lets a random replica start an election.
func (s *sim) campaignAny() {
	if r := s.anyReplica(); r.node != nil {
		_ = r.node.Campaign()
		s.run(r, true)
	}
}

// runHistory executes a number of random actions, ends all faults and checks the invariants.
func (s *sim) runHistory(steps int) error {
	total := 0
	for _, action := range actions {
		total += action.weight
	}
	for range 20 {
		s.round()
	}
	for range steps {
		drawn := s.choose.below("action", total)
		for _, action := range actions {
			if drawn -= action.weight; drawn < 0 {
				action.do(s)
				break
			}
		}
		if s.violation != nil {
			return s.violation
		}
	}
	s.settle()
	if s.violation == nil {
		s.checkSettled()
	}
	return s.violation
}

func TestRandomHistoriesOfFiveReplicas(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(r *rapid.T) {
		cryptotest.SetGlobalRandom(t, rapid.Uint64().Draw(r, "election time-outs"))
		s := newSim(rapidChooser{r}, defects{})
		if err := s.runHistory(300); err != nil {
			r.Fatal(err)
		}
		for key, count := range s.counts {
			counts[key] += count
		}
	})
	t.Log(counts)
	for _, key := range []string{
		"accepted", "crashes", "reads", "updates", "full updates", "refusals", "patches",
		"snapshots sent", "states restored", "undecided",
	} {
		if counts[key] == 0 {
			t.Errorf("no history covered %q", key)
		}
	}
}

// firstViolation runs histories of consecutive seeds until one fails. It returns nil if none does.
func firstViolation(t *testing.T, injected defects, seeds int) error {
	for seed := range uint64(seeds) {
		cryptotest.SetGlobalRandom(t, seed)
		s := newSim(seedChooser{rand.New(rand.NewPCG(seed, 1))}, injected)
		if err := s.runHistory(300); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}

func TestSeededDefectsAreCaught(t *testing.T) {
	for name, injected := range map[string]defects{
		"acknowledged before saved":   {acknowledgeUnsaved: true},
		"the base is not checked":     {noBaseCheck: true},
		"no canaries":                 {noCanaries: true},
		"reads do not ask the leader": {readLocally: true},
		"held documents ignored":      {heldDocumentsIgnored: true},
	} {
		t.Run(name, func(t *testing.T) {
			err := firstViolation(t, injected, 30)
			if err == nil {
				t.Fatal("none of 30 histories detects the defect")
			}
			t.Logf("%.200v", err)
		})
	}
}

func TestSeededHistoriesWithoutDefects(t *testing.T) {
	if err := firstViolation(t, defects{}, 30); err != nil {
		t.Fatal(err)
	}
}
