package control

import (
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sandpass/internal/revision"
)

// chooser makes the choices of a history: rapid's, or those of a seed.
type chooser interface {
	below(label string, n int) int
}

// defects are what a history may have wrong on purpose. They live in this harness only.
type defects struct {
	acknowledgeUnsaved   bool // messages leave and commands count before they are saved
	noBaseCheck          bool // a submitter's base is replaced by the newest revision
	noCanaries           bool // revisions have no canaries
	readLocally          bool // reads don't ask the leader
	heldDocumentsIgnored bool // replicas take proxies to hold nothing
}

const (
	simFleet    = "shop"
	simReplicas = 5
)

// envelope is a message under way.
type envelope struct {
	from, to uint64
	message  *raftpb.Message
}

// simReplica is one replica: what is on its disk, and the node while it runs.
type simReplica struct {
	id        uint64
	disk      PersistedState
	unsynced  []Work // written and not synced: a crash may lose it
	node      *Node  // nil while it is down
	reads     map[string]revision.Number
	view      *FleetView
	canaries  *CanaryController
	wasLeader bool

	paused bool // it does nothing, what comes in waits
}

// submission is what a client asked for and what it was told.
type submission struct {
	command           Command
	seenBase          revision.Number
	canariesAvailable bool            // the leader knew of a proxy that the scope concerns
	acceptedNumber    revision.Number // told as accepted, 0 while not
}

// sim is five replicas, the network between them, clients and proxies.
type sim struct {
	choose         chooser
	defects        defects
	now            float64
	replicas       []*simReplica
	network        []envelope
	blockedLinks   map[[2]uint64]bool
	submissions    map[string]*submission
	log            map[uint64]string // what each index of the log holds, by whoever applied it first
	outcomes       map[string]string
	newestAccepted revision.Number // the newest that a client was told
	contexts       int
	proxies        []*simProxy
	sentTo         map[revision.Number]map[string]bool // proxies that a refused document was sent to
	counts         map[string]int
	violation      error
}

func newSim(choose chooser, wrong defects) *sim {
	s := &sim{
		choose:       choose,
		defects:      wrong,
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

// fail notes the first violation of what has to hold.
func (s *sim) fail(format string, values ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, values...)
	}
}

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

// crash stops a replica; what is not synced is lost if the choice falls so.
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

// copy gives what a disk holds, so that nothing of a running node is on it.
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

func cloneAll(entries []*raftpb.Entry) []*raftpb.Entry {
	var copied []*raftpb.Entry
	for _, entry := range entries {
		copied = append(copied, proto.Clone(entry).(*raftpb.Entry))
	}
	return copied
}

// save writes a Work as the doc comment of Work asks it.
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

// write saves a Work, and all before it if it has to be synced.
func (s *sim) write(r *simReplica, work Work) {
	r.unsynced = append(r.unsynced, work)
	if !work.MustSync {
		return
	}
	synced := len(r.unsynced)
	if s.defects.acknowledgeUnsaved {
		synced-- // it is synced with the next one only
	}
	for _, earlier := range r.unsynced[:synced] {
		r.disk.save(earlier)
	}
	r.unsynced = slices.Clone(r.unsynced[synced:])
}

// run does a replica's work. A crash may fall between any two steps of it.
func (s *sim) run(r *simReplica, mayCrash bool) {
	for r.node != nil && !r.paused && s.violation == nil {
		work, any := r.node.Ready()
		if !any {
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
		progress, err := r.node.Advance(work)
		if err != nil {
			s.fail("replica %d: %w", r.id, err)
			return
		}
		s.checkResult(r, progress)
	}
}

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

// deliver hands a message over. The bytes travel, not the value.
func (s *sim) deliver(one envelope) {
	r := s.replicas[one.to-1]
	if r.paused {
		s.network = append(s.network, one)
		return
	}
	if r.node == nil || s.blockedLinks[[2]uint64{one.from, one.to}] {
		return
	}
	if err := r.node.Step(proto.Clone(one.message).(*raftpb.Message)); err != nil {
		if r.node.Err() != nil {
			s.fail("replica %d: %w", r.id, err)
		}
		s.counts["messages refused"]++
	}
}

// took checks what a replica's state went through.
func (s *sim) checkResult(r *simReplica, progress AdvanceResult) {
	if progress.StateReplaced {
		s.counts["states restored"]++
	}
	for _, applied := range progress.Applied {
		s.checkApplied(r, applied)
	}
	for _, context := range progress.ReadContexts {
		s.checkRead(r, string(context))
	}
	s.counts["undecided"] += len(progress.Undecided)
}

func (s *sim) checkApplied(r *simReplica, applied AppliedCommand) {
	id := applied.Command.ID
	if before, known := s.log[applied.Index]; known && before != id {
		s.fail("entry %d is %s at one replica and %s at replica %d", applied.Index, before, id, r.id)
	}
	s.log[applied.Index] = id
	told := fmt.Sprint(applied.Outcome)
	if before, known := s.outcomes[id]; known && before != told {
		s.fail("%s has the outcome %s at one replica and %s at replica %d", id, before, told, r.id)
	}
	s.outcomes[id] = told
	asked := s.submissions[id]
	if asked == nil || applied.Outcome.Err != nil {
		return
	}
	asked.acceptedNumber = applied.Outcome.Number
	s.newestAccepted = max(s.newestAccepted, asked.acceptedNumber)
	entry, known := r.node.State().Entry(asked.acceptedNumber)
	if known && entry.Previous != asked.seenBase {
		s.fail("revision %d follows %d, its author saw %d", entry.Number, entry.Previous, asked.seenBase)
	}
}

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

func (s *sim) checkRead(r *simReplica, context string) {
	least, asked := r.reads[context]
	if !asked {
		return
	}
	delete(r.reads, context)
	s.counts["reads"]++
	if newest := r.node.State().NewestNumber(); newest < least {
		s.fail("a read at replica %d tells revision %d as newest, %d was accepted before it", r.id, newest, least)
	}
}

// leader gives a replica that believes to lead and runs, of several any one.
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

// submit has a client ask the leader for a new revision, on the base that some replica shows.
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
	asked := &submission{command: Command{ID: id, Apply: &apply}, seenBase: base.Number}
	asked.canariesAvailable = slices.ContainsFunc(leader.view.ConnectedIdentities(), func(identity revision.Identity) bool {
		return scopeIncludes(scope, identity)
	})
	s.submissions[id] = asked
	if leader.node.Propose(asked.command) == nil {
		s.counts["submitted"]++
	}
}

// resubmit asks again under the same ID, as after an answer that was lost.
func (s *sim) resubmit() {
	leader := s.leader()
	if leader == nil || len(s.submissions) == 0 {
		return
	}
	id := fmt.Sprintf("c%d", s.choose.below("again", len(s.submissions)))
	_ = leader.node.Propose(s.submissions[id].command)
}

// guard has each leader propose what its guard finds due.
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

// settle heals all and lets time pass until the replicas are quiet.
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

// round lets a tick's time pass without trouble.
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
		for _, one := range waiting {
			s.deliver(one)
		}
		for _, r := range s.replicas {
			s.run(r, false)
		}
	}
}

// checkSettled looks for what must hold once all is healed.
func (s *sim) checkSettled() {
	s.checkReplicas()
	for _, proxy := range s.proxies {
		proxy.checkSettled(s, s.replicas[0].node.State())
	}
}

// checkReplicas looks for equal states that have all that was accepted, and a leader.
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
			s.fail("after the healing replica %d has another state than replica 1:\n%s\n%s", r.id, text, first)
		}
	}
	state := s.replicas[0].node.State()
	for id, asked := range s.submissions {
		if asked.acceptedNumber == 0 {
			continue
		}
		s.counts["accepted"]++
		if entry, known := state.Entry(asked.acceptedNumber); !known || entry.Reason != id {
			s.fail("revision %d (%s) was accepted and is lost", asked.acceptedNumber, id)
		}
	}
	if leader := s.leader(); leader == nil {
		s.fail("nobody leads after the healing")
	}
}
