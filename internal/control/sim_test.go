package control

import (
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sandpass/internal/revision"
)

// chooser makes the random choices of a history, either through rapid or from a seed.
type chooser interface {
	below(label string, n int) int
}

// defects are faults that a history injects on purpose. They exist only in this test harness.
type defects struct {
	acknowledgeUnsaved   bool // messages are sent and commands acknowledged before they are saved
	noBaseCheck          bool // the submitted base is replaced by the newest revision
	noCanaries           bool // revisions have no canaries
	readLocally          bool // reads are answered without asking the leader
	heldDocumentsIgnored bool // replicas ignore what proxies hold
}

const (
	simFleet    = "shop"
	simReplicas = 5
)

// envelope is a message in transit.
type envelope struct {
	from, to uint64
	message  *raftpb.Message
}

// simReplica is one replica: the contents of its disk, and its node while it runs.
type simReplica struct {
	id        uint64
	disk      PersistedState
	unsynced  []Work // written but not synced; a crash may lose it
	node      *Node  // nil while the replica is stopped
	reads     map[string]revision.Number
	view      *FleetView
	canaries  *CanaryController
	wasLeader bool

	paused bool // the replica does nothing and incoming messages wait
}

// submission is a command of a client with its result.
type submission struct {
	command           Command
	seenBase          revision.Number
	canariesAvailable bool            // whether the leader knew a connected proxy in the scope
	acceptedNumber    revision.Number // 0 until accepted
}

// sim simulates five replicas, the network between them, clients and proxies.
type sim struct {
	choose         chooser
	defects        defects
	now            float64
	replicas       []*simReplica
	network        []envelope
	blockedLinks   map[[2]uint64]bool
	submissions    map[string]*submission
	log            map[uint64]string // command ID of each log index, as first applied by any replica
	outcomes       map[string]string
	newestAccepted revision.Number // the newest revision that was reported to a client as accepted
	contexts       int
	proxies        []*simProxy
	sentTo         map[revision.Number]map[string]bool // by revision: proxies that were sent a document that they refuse
	counts         map[string]int
	violation      error
}

// newSim returns a simulation with all replicas started.
func newSim(choose chooser, injected defects) *sim {
	s := &sim{
		choose:       choose,
		defects:      injected,
		blockedLinks: map[[2]uint64]bool{},
		submissions:  map[string]*submission{},
		log:          map[uint64]string{},
		outcomes:     map[string]string{},
		sentTo:       map[revision.Number]map[string]bool{},
		counts:       map[string]int{},
	}
	for id := range uint64(simReplicas) {
		s.replicas = append(s.replicas, &simReplica{id: id + 1})
		s.start(s.replicas[id])
	}
	s.proxies = newSimProxies()
	return s
}

// fail records the first violation of an invariant.
func (s *sim) fail(format string, values ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, values...)
	}
}

// start starts a replica from its disk.
func (s *sim) start(r *simReplica) {
	var peers []uint64
	for id := range uint64(simReplicas) {
		peers = append(peers, id+1)
	}
	node, err := NewNode(NodeConfig{ID: r.id, Peers: peers, Fleet: simFleet, Persisted: r.disk.copy()})
	if err != nil {
		s.fail("replica %d does not start: %w", r.id, err)
		return
	}
	node.limits = compactionLimits{entries: 12, bytes: SnapshotIntervalBytes, retainedEntries: 4}
	r.node = node
	r.reads = map[string]revision.Number{}
	r.view = NewFleetView()
	r.canaries = NewCanaryController(CanaryConfig{Share: 1})
	r.wasLeader = false
}

// crash stops a replica. A random number of the writes that are not synced is lost.
func (s *sim) crash(r *simReplica) {
	if r.node == nil {
		return
	}
	s.counts["crashes"]++
	kept := s.choose.below("writes kept", len(r.unsynced)+1)
	for _, work := range r.unsynced[:kept] {
		r.disk.save(work)
	}
	r.unsynced = nil
	r.node = nil
	for _, proxy := range s.proxies {
		if proxy.replica == r {
			proxy.disconnect()
		}
	}
}

// copy returns a deep copy, which shares nothing with a running node.
func (p PersistedState) copy() PersistedState {
	copied := PersistedState{Entries: cloneAll(p.Entries)}
	if p.HardState != nil {
		copied.HardState = proto.Clone(p.HardState).(*raftpb.HardState)
	}
	if p.Snapshot != nil {
		copied.Snapshot = proto.Clone(p.Snapshot).(*raftpb.Snapshot)
	}
	return copied
}

// cloneAll returns deep copies of the entries.
func cloneAll(entries []*raftpb.Entry) []*raftpb.Entry {
	var copied []*raftpb.Entry
	for _, entry := range entries {
		copied = append(copied, proto.Clone(entry).(*raftpb.Entry))
	}
	return copied
}

// save persists a Work as the doc comment of Work specifies.
func (p *PersistedState) save(work Work) {
	if work.Snapshot != nil {
		p.Snapshot = proto.Clone(work.Snapshot).(*raftpb.Snapshot)
		p.Entries = nil
	}
	if work.Compaction != nil {
		p.Snapshot = proto.Clone(work.Compaction.Snapshot).(*raftpb.Snapshot)
		p.Entries = slices.DeleteFunc(p.Entries, func(entry *raftpb.Entry) bool {
			return entry.GetIndex() < work.Compaction.FirstRetainedIndex
		})
	}
	if len(work.Entries) > 0 {
		first := work.Entries[0].GetIndex()
		p.Entries = slices.DeleteFunc(p.Entries, func(entry *raftpb.Entry) bool { return entry.GetIndex() >= first })
		p.Entries = append(p.Entries, cloneAll(work.Entries)...)
	}
	if work.HardState != nil {
		p.HardState = proto.Clone(work.HardState).(*raftpb.HardState)
	}
}

// write buffers a Work and, if it must be synced, saves it and all earlier ones.
func (s *sim) write(r *simReplica, work Work) {
	r.unsynced = append(r.unsynced, work)
	if !work.MustSync {
		return
	}
	synced := len(r.unsynced)
	if s.defects.acknowledgeUnsaved {
		synced-- // it is synced only together with the next one
	}
	for _, earlier := range r.unsynced[:synced] {
		r.disk.save(earlier)
	}
	r.unsynced = slices.Clone(r.unsynced[synced:])
}

// run executes a replica's pending work. A crash may occur between any two steps.
func (s *sim) run(r *simReplica, mayCrash bool) {
	for r.node != nil && !r.paused && s.violation == nil {
		work, found := r.node.Ready()
		if !found {
			break
		}
		crashAt := -1
		if mayCrash {
			crashAt = s.choose.below("crash point", 60)
		}
		if crashAt == 0 {
			s.crash(r)
			return
		}
		s.write(r, work)
		if crashAt == 1 {
			s.crash(r)
			return
		}
		for _, message := range work.Messages {
			s.send(r, message)
		}
		if crashAt == 2 {
			s.crash(r)
			return
		}
		result, err := r.node.Advance(work)
		if err != nil {
			s.fail("replica %d: %w", r.id, err)
			return
		}
		s.checkResult(r, result)
	}
}

// send puts a message on the network, unless its link is blocked.
func (s *sim) send(r *simReplica, message *raftpb.Message) {
	to := message.GetTo()
	if message.GetType() == raftpb.MsgSnap {
		s.counts["snapshots sent"]++
		r.node.ReportSnapshot(to, !s.blockedLinks[[2]uint64{r.id, to}])
	}
	if s.blockedLinks[[2]uint64{r.id, to}] {
		r.node.ReportUnreachable(to)
		return
	}
	s.network = append(s.network, envelope{r.id, to, proto.Clone(message).(*raftpb.Message)})
}

// deliver passes a copy of a message to its receiver.
func (s *sim) deliver(sent envelope) {
	r := s.replicas[sent.to-1]
	if r.paused {
		s.network = append(s.network, sent)
		return
	}
	if r.node == nil || s.blockedLinks[[2]uint64{sent.from, sent.to}] {
		return
	}
	if err := r.node.Step(proto.Clone(sent.message).(*raftpb.Message)); err != nil {
		if r.node.Err() != nil {
			s.fail("replica %d: %w", r.id, err)
		}
		s.counts["messages refused"]++
	}
}

// checkResult checks the effects of a completed Work.
func (s *sim) checkResult(r *simReplica, result AdvanceResult) {
	if result.StateReplaced {
		s.counts["states restored"]++
	}
	for _, applied := range result.Applied {
		s.checkApplied(r, applied)
	}
	for _, context := range result.ReadContexts {
		s.checkRead(r, string(context))
	}
	s.counts["undecided"] += len(result.Undecided)
}

// checkApplied checks that all replicas apply the same command at the same index, with the same outcome and the base that
// its author saw.
func (s *sim) checkApplied(r *simReplica, applied AppliedCommand) {
	id := applied.Command.ID
	if before, found := s.log[applied.Index]; found && before != id {
		s.fail("entry %d is %s on one replica and %s on replica %d", applied.Index, before, id, r.id)
	}
	s.log[applied.Index] = id
	outcome := fmt.Sprint(applied.Outcome)
	if before, found := s.outcomes[id]; found && before != outcome {
		s.fail("%s has the outcome %s on one replica and %s on replica %d", id, before, outcome, r.id)
	}
	s.outcomes[id] = outcome
	submitted := s.submissions[id]
	if submitted == nil || applied.Outcome.Err != nil {
		return
	}
	submitted.acceptedNumber = applied.Outcome.Number
	s.newestAccepted = max(s.newestAccepted, submitted.acceptedNumber)
	entry, found := r.node.State().Entry(submitted.acceptedNumber)
	if found && entry.Previous != submitted.seenBase {
		s.fail("revision %d follows revision %d, but its author saw revision %d", entry.Number, entry.Previous, submitted.seenBase)
	}
}

// startRead starts a linearizable read at a replica.
func (s *sim) startRead(r *simReplica) {
	if r.node == nil {
		return
	}
	s.contexts++
	context := fmt.Sprintf("read %d", s.contexts)
	r.reads[context] = s.newestAccepted
	if s.defects.readLocally {
		s.checkRead(r, context)
		return
	}
	r.node.ReadIndex([]byte(context))
}

// checkRead checks that a read returns all revisions that were accepted before it started.
func (s *sim) checkRead(r *simReplica, context string) {
	minimum, started := r.reads[context]
	if !started {
		return
	}
	delete(r.reads, context)
	s.counts["reads"]++
	if newest := r.node.State().NewestNumber(); newest < minimum {
		s.fail("a read at replica %d returns revision %d as newest, but revision %d was accepted before it", r.id, newest, minimum)
	}
}

// leader returns a running replica that considers itself the leader. If there are several, it chooses one.
func (s *sim) leader() *simReplica {
	var leaders []*simReplica
	for _, r := range s.replicas {
		if r.node != nil && !r.paused && r.node.IsLeader() {
			leaders = append(leaders, r)
		}
	}
	if len(leaders) == 0 {
		return nil
	}
	return leaders[s.choose.below("leader", len(leaders))]
}

// submit has a client submit a new revision to the leader, with the base that a random replica shows.
func (s *sim) submit() {
	shown := s.replicas[s.choose.below("shown by", simReplicas)]
	leader := s.leader()
	if leader == nil || shown.node == nil {
		return
	}
	scope := simScopes[s.choose.below("scope", len(simScopes))]
	base, _ := shown.node.State().Latest(scope)
	id := fmt.Sprintf("c%d", len(s.submissions))
	key := fmt.Sprint("k", s.choose.below("key", 3))
	document := fmt.Sprintf(`{%q:%d,"by":%q,"same":%q}`, key, len(s.submissions), id, strings.Repeat("same ", 30))
	if s.choose.below("bad", 8) == 0 {
		document = fmt.Sprintf(`{"bad":true,"by":%q}`, id)
	}
	apply := ApplyCommand{
		Scope:    scope,
		Base:     base.Number,
		Document: revision.Document(document),
		Author:   "anna",
		Reason:   id,
		Canaries: leader.canaries.SelectCanaries(leader.view.ConnectedIdentities(), scope),
	}
	if s.defects.noCanaries {
		apply.Canaries = nil
	}
	if newest, _ := leader.node.State().Latest(scope); s.defects.noBaseCheck {
		apply.Base = newest.Number
	}
	submitted := &submission{command: Command{ID: id, Apply: &apply}, seenBase: base.Number}
	submitted.canariesAvailable = slices.ContainsFunc(leader.view.ConnectedIdentities(), func(identity revision.Identity) bool {
		return scopeIncludes(scope, identity)
	})
	s.submissions[id] = submitted
	if leader.node.Propose(submitted.command) == nil {
		s.counts["submitted"]++
	}
}

// resubmit submits an earlier command again with the same ID, as a client does after a lost answer.
func (s *sim) resubmit() {
	leader := s.leader()
	if leader == nil || len(s.submissions) == 0 {
		return
	}
	id := fmt.Sprintf("c%d", s.choose.below("again", len(s.submissions)))
	_ = leader.node.Propose(s.submissions[id].command)
}

// proposeCanaryCommands has each leader propose the pending commands of its CanaryController.
func (s *sim) proposeCanaryCommands() {
	for _, r := range s.replicas {
		if r.node == nil || r.paused {
			continue
		}
		leads := r.node.IsLeader()
		if leads && !r.wasLeader {
			r.canaries.ResetFromFleet(s.now, r.view)
		}
		r.wasLeader = leads
		if !leads {
			continue
		}
		for _, command := range r.canaries.PendingCommands(s.now, r.node.State()) {
			_ = r.node.Propose(command)
		}
	}
}

// settle unblocks all links, starts all replicas and lets enough time pass for them to become consistent.
func (s *sim) settle() {
	clear(s.blockedLinks)
	for _, r := range s.replicas {
		if r.node == nil {
			s.start(r)
		}
	}
	for range 150 {
		s.round()
		for _, proxy := range s.proxies {
			s.stepProxy(proxy, s.replicas[len(proxy.identity.Proxy)%simReplicas])
		}
		if s.violation != nil {
			return
		}
	}
}

// round simulates one tick without faults.
func (s *sim) round() {
	s.now += TickInterval.Seconds()
	for _, r := range s.replicas {
		if r.node != nil && !r.paused {
			r.node.Tick()
			s.run(r, false)
		}
	}
	s.proposeCanaryCommands()
	for range 6 {
		waiting := s.network
		s.network = nil
		for _, message := range waiting {
			s.deliver(message)
		}
		for _, r := range s.replicas {
			s.run(r, false)
		}
	}
}

// checkSettled checks the invariants that must hold after settle.
func (s *sim) checkSettled() {
	s.checkReplicas()
	for _, proxy := range s.proxies {
		proxy.checkSettled(s, s.replicas[0].node.State())
	}
}

// checkReplicas checks that all replicas have equal states with all accepted revisions, and that there is a leader.
func (s *sim) checkReplicas() {
	var first []byte
	for _, r := range s.replicas {
		text, err := r.node.State().Marshal()
		if err != nil {
			s.fail("replica %d: %w", r.id, err)
			return
		}
		if first == nil {
			first = text
		}
		if string(text) != string(first) {
			s.fail("the states of replica %d and replica 1 differ:\n%s\n%s", r.id, text, first)
		}
	}
	state := s.replicas[0].node.State()
	for id, submitted := range s.submissions {
		if submitted.acceptedNumber == 0 {
			continue
		}
		s.counts["accepted"]++
		if entry, found := state.Entry(submitted.acceptedNumber); !found || entry.Reason != id {
			s.fail("revision %d (%s) was accepted but is lost", submitted.acceptedNumber, id)
		}
	}
	if leader := s.leader(); leader == nil {
		s.fail("there is no leader after all faults have ended")
	}
}
