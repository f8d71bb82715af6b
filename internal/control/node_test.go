package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/cryptotest"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sandpass/internal/revision"
)

// newSimWithLeader returns a simulation of five replicas that have elected a leader.
func newSimWithLeader(t *testing.T) *sim {
	t.Helper()
	cryptotest.SetGlobalRandom(t, 1)
	s := newSim(seedChooser{rand.New(rand.NewPCG(1, 1))}, defects{})
	for range 30 {
		s.round()
	}
	if s.violation != nil || s.leader() == nil {
		t.Fatal("no leader after 30 ticks:", s.violation)
	}
	return s
}

// follower returns a replica that is not the leader.
func (s *sim) follower() *simReplica {
	for _, r := range s.replicas {
		if !r.node.IsLeader() {
			return r
		}
	}
	return nil
}

func TestOnlyLeaderAcceptsProposals(t *testing.T) {
	s := newSimWithLeader(t)
	command := apply("a", revision.FleetScope, 0, "{}")
	if err := s.follower().node.Propose(command); !errors.Is(err, ErrNotLeader) {
		t.Errorf("proposal to a follower: got %v", err)
	}
	invalid := new(InvalidCommandError)
	if err := s.leader().node.Propose(Command{}); !errors.As(err, &invalid) {
		t.Errorf("empty command: got %v", err)
	}
	if err := s.leader().node.Propose(command); err != nil {
		t.Fatal(err)
	}
	s.round()
	for _, r := range s.replicas {
		if r.node.State().NewestNumber() != 1 {
			t.Errorf("replica %d is at revision %d, want 1", r.id, r.node.State().NewestNumber())
		}
	}
}

func TestLeaderWithoutQuorumReportsProposalAsUndecided(t *testing.T) {
	s := newSimWithLeader(t)
	leader := s.leader()
	for _, r := range s.replicas {
		s.blockedLinks[[2]uint64{r.id, leader.id}] = true
		s.blockedLinks[[2]uint64{leader.id, r.id}] = true
	}
	if err := leader.node.Propose(apply("a", revision.FleetScope, 0, "{}")); err != nil {
		t.Fatal(err)
	}
	for range 30 {
		s.round()
	}
	if s.counts["undecided"] != 1 || leader.node.IsLeader() {
		t.Errorf("%d proposals are undecided, want 1; still the leader: %v", s.counts["undecided"], leader.node.IsLeader())
	}
	if err := leader.node.Propose(apply("b", revision.FleetScope, 0, "{}")); !errors.Is(err, ErrNotLeader) {
		t.Errorf("next proposal: got %v", err)
	}
	if other := s.leader(); other == nil || other == leader {
		t.Error("the others have no leader")
	}
}

func TestPausedLeaderServesNoStaleRead(t *testing.T) {
	s := newSimWithLeader(t)
	old := s.leader()
	old.paused = true
	for range 40 {
		s.round()
	}
	fresh := s.leader()
	if fresh == nil {
		t.Fatal("the others have no leader")
	}
	command := apply("a", revision.FleetScope, 0, "{}")
	s.submissions[command.ID] = &submission{command: command}
	if err := fresh.node.Propose(command); err != nil {
		t.Fatal(err)
	}
	s.round()
	if s.newestAccepted != 1 {
		t.Fatal("the change is not accepted")
	}
	old.paused = false
	if !old.node.IsLeader() {
		t.Fatal("the paused replica no longer considers itself the leader")
	}
	s.startRead(old)
	s.run(old, false)
	for range 10 {
		s.round()
	}
	s.startRead(old)
	s.round()
	if s.violation != nil {
		t.Error(s.violation)
	}
	if s.counts["reads"] == 0 {
		t.Error("the paused replica never answers a read")
	}
}

func TestOneWayPartitionLeavesOneLeader(t *testing.T) {
	for name, block := range map[string]func(s *sim, leader, other uint64){
		"from the leader": func(s *sim, leader, other uint64) { s.blockedLinks[[2]uint64{leader, other}] = true },
		"to the leader":   func(s *sim, leader, other uint64) { s.blockedLinks[[2]uint64{other, leader}] = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimWithLeader(t)
			old := s.leader()
			for _, r := range s.replicas {
				if r != old {
					block(s, old.id, r.id)
				}
			}
			for range 50 {
				s.round()
			}
			leaders := 0
			for _, r := range s.replicas {
				if !r.node.IsLeader() {
					continue
				}
				leaders++
				if err := r.node.Propose(apply("a", revision.FleetScope, 0, "{}")); err != nil {
					t.Error(err)
				}
			}
			s.round()
			if leaders != 1 || s.follower().node.State().NewestNumber()+old.node.State().NewestNumber() == 0 {
				t.Errorf("%d leaders, want 1; a follower is at revision %d", leaders, s.follower().node.State().NewestNumber())
			}
		})
	}
}

func TestLargeCommandsMakeSnapshotDue(t *testing.T) {
	s := newSimWithLeader(t)
	leader := s.leader()
	leader.node.limits = defaultCompactionLimits
	large := fmt.Sprintf(`{"a":%q}`, strings.Repeat("x", SnapshotIntervalBytes/minSnapshotEntries))
	for i := range minSnapshotEntries {
		if leader.disk.Snapshot != nil {
			t.Fatalf("there is a snapshot after %d commands", i)
		}
		if err := leader.node.Propose(apply(fmt.Sprint(i), revision.FleetScope, revision.Number(i), large)); err != nil {
			t.Fatal(err)
		}
		s.round()
	}
	if leader.disk.Snapshot == nil {
		t.Error("there is no snapshot")
	}
}

func TestExcessiveUncommittedProposalsAreDropped(t *testing.T) {
	s := newSimWithLeader(t)
	leader := s.leader()
	large := fmt.Sprintf(`{"a":%q}`, strings.Repeat("x", 1<<20-100))
	for i := range 32 {
		err := leader.node.Propose(apply(fmt.Sprint(i), revision.FleetScope, 0, large))
		if errors.Is(err, ErrDropped) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Error("none of 32 proposals of 1 MB is dropped")
}

func TestLaggingReplicaCatchesUpBySnapshot(t *testing.T) {
	s := newSimWithLeader(t)
	lagging := s.follower()
	s.crash(lagging)
	base := revision.Number(0)
	for i := range 40 {
		if err := s.leader().node.Propose(apply(fmt.Sprint(i), revision.FleetScope, base, "{}")); err != nil {
			t.Fatal(err)
		}
		s.round()
		base = s.leader().node.State().NewestNumber()
	}
	s.start(lagging)
	for range 20 {
		s.round()
	}
	if lagging.node.State().NewestNumber() != 40 || s.counts["states restored"] == 0 {
		t.Errorf("the replica is at revision %d, want 40; %d states were restored",
			lagging.node.State().NewestNumber(), s.counts["states restored"])
	}
	s.crash(lagging)
	s.start(lagging)
	for range 20 {
		s.round()
	}
	s.checkReplicas()
	if s.violation != nil {
		t.Error(s.violation)
	}
}

func TestInconsistentStorageIsRefused(t *testing.T) {
	s := newSimWithLeader(t)
	for i := range 3 {
		if err := s.leader().node.Propose(apply(fmt.Sprint(i), revision.FleetScope, revision.Number(i), "{}")); err != nil {
			t.Fatal(err)
		}
		s.round()
	}
	good := s.replicas[0].disk
	for name, corrupt := range map[string]func(*PersistedState){
		"a gap": func(p *PersistedState) { p.Entries = append(p.Entries[:1:1], p.Entries[2:]...) },
		"a truncated log": func(p *PersistedState) {
			p.Entries = p.Entries[:1]
			p.HardState.Commit = proto.Uint64(4)
		},
		"a truncated snapshot": func(p *PersistedState) {
			p.Snapshot = &raftpb.Snapshot{Data: []byte("{"), Metadata: &raftpb.SnapshotMetadata{
				Index: proto.Uint64(2), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3, 4, 5}},
			}}
		},
		"a snapshot of other replicas": func(p *PersistedState) {
			p.Snapshot = &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(2), Term: proto.Uint64(1)}}
		},
	} {
		saved := good.copy()
		corrupt(&saved)
		_, err := NewNode(NodeConfig{ID: 1, Peers: []uint64{1, 2, 3, 4, 5}, Fleet: simFleet, Persisted: saved})
		invalid := new(StorageError)
		if !errors.As(err, &invalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := NewNode(NodeConfig{ID: 1, Peers: []uint64{1, 2, 3, 4, 5}, Fleet: simFleet, Persisted: good.copy()}); err != nil {
		t.Error("consistent storage is refused:", err)
	}
	for _, peers := range [][]uint64{nil, {2, 3}, {1, 1, 2}} {
		if _, err := NewNode(NodeConfig{ID: 1, Peers: peers, Fleet: simFleet}); err == nil {
			t.Errorf("peers %v are accepted", peers)
		}
	}
}

func TestInvalidMessagesHaveNoEffect(t *testing.T) {
	s := newSimWithLeader(t)
	r := s.follower()
	from := s.leader().id
	foreign, err := NewState("other").Marshal()
	if err != nil {
		t.Fatal(err)
	}
	voters := &raftpb.ConfState{Voters: []uint64{1, 2, 3, 4, 5}}
	message := func(kind raftpb.MessageType, change func(*raftpb.Message)) *raftpb.Message {
		m := &raftpb.Message{
			Type: kind.Enum(),
			From: proto.Uint64(from),
			To:   proto.Uint64(r.id),
			Term: proto.Uint64(r.node.Term()),
		}
		change(m)
		return m
	}
	for name, m := range map[string]*raftpb.Message{
		"no message":              nil,
		"empty":                   {},
		"from an unknown replica": message(raftpb.MsgHeartbeat, func(m *raftpb.Message) { m.From = proto.Uint64(9) }),
		"to another replica":      message(raftpb.MsgHeartbeat, func(m *raftpb.Message) { m.To = proto.Uint64(9) }),
		"from itself":             message(raftpb.MsgHeartbeat, func(m *raftpb.Message) { m.From = m.To }),
		"of a local type":         message(raftpb.MsgHup, func(*raftpb.Message) {}),
		"without a term":          message(raftpb.MsgApp, func(m *raftpb.Message) { m.Term = nil }),
		"beyond the log":          message(raftpb.MsgHeartbeat, func(m *raftpb.Message) { m.Commit = proto.Uint64(999) }),
		"response beyond the log": message(raftpb.MsgAppResp, func(m *raftpb.Message) { m.Index = proto.Uint64(999) }),
		"read without a context":  message(raftpb.MsgReadIndex, func(*raftpb.Message) {}),
		"entries with a gap": message(raftpb.MsgApp, func(m *raftpb.Message) {
			m.Entries = []*raftpb.Entry{{Index: proto.Uint64(7)}}
		}),
		"a change of peers": message(raftpb.MsgApp, func(m *raftpb.Message) {
			m.Entries = []*raftpb.Entry{{Index: proto.Uint64(1), Type: raftpb.EntryConfChange.Enum()}}
		}),
		"no snapshot": message(raftpb.MsgSnap, func(*raftpb.Message) {}),
		"a truncated snapshot": message(raftpb.MsgSnap, func(m *raftpb.Message) {
			m.Snapshot = &raftpb.Snapshot{Data: []byte("x"), Metadata: &raftpb.SnapshotMetadata{ConfState: voters}}
		}),
		"a snapshot of another fleet": message(raftpb.MsgSnap, func(m *raftpb.Message) {
			m.Snapshot = &raftpb.Snapshot{Data: foreign, Metadata: &raftpb.SnapshotMetadata{ConfState: voters}}
		}),
	} {
		invalid := new(MessageError)
		if err := r.node.Step(m); !errors.As(err, &invalid) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, any := r.node.Ready(); any || r.node.Err() != nil {
		t.Error("the messages caused work or a failure:", r.node.Err())
	}
}

func TestCommittedEntryThatIsNoCommandHasNoEffect(t *testing.T) {
	s := newSimWithLeader(t)
	before := s.leader().node.AppliedIndex()
	if err := s.leader().node.raft.Propose([]byte("{no command")); err != nil {
		t.Fatal(err)
	}
	s.round()
	for _, r := range s.replicas {
		if r.node.AppliedIndex() != before+1 || r.node.State().NewestNumber() != 0 || r.node.Err() != nil {
			t.Errorf("replica %d: applied index %d, error %v", r.id, r.node.AppliedIndex(), r.node.Err())
		}
	}
}
