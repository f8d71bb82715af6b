package control

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Persisted is what a replica's storage holds. The zero value is a replica that begins.
type Persisted struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // nil for none
	Entries   []*raftpb.Entry  // ascending without gaps; those up to the snapshot's index are passed over
}

// NodeConfig describes a replica.
type NodeConfig struct {
	ID        uint64   // one of Peers, not 0
	Peers     []uint64 // all replicas of the cluster, the same at each
	Fleet     string
	Persisted Persisted
}

// Work is what a replica's storage and network are to do, in this order: save Snapshot, Compaction, HardState and Entries
// in one transaction, synced if MustSync; then send Messages; then call Advance.
type Work struct {
	Snapshot   *raftpb.Snapshot  // from the leader: it replaces the whole log
	Compaction *Compaction       // of the own log
	HardState  *raftpb.HardState // nil while unchanged
	Entries    []*raftpb.Entry   // they replace all that is saved from the first one's index on
	MustSync   bool
	Messages   []*raftpb.Message

	ready raft.Ready
}

// Compaction puts a snapshot in the place of the log's beginning.
type Compaction struct {
	Snapshot  *raftpb.Snapshot
	FirstKept uint64 // entries below this index are deleted
}

// Applied is a command that is committed, saved here and carried out.
type Applied struct {
	Index   uint64
	Command Command
	Outcome Outcome
}

// Progress is what became of a Work.
type Progress struct {
	Applied   []Applied
	Reads     [][]byte // contexts of ReadIndex: the state has all that was accepted before the call
	Undecided []string // IDs proposed here that may yet be committed or not: ask again with the same ID
	Restored  bool     // the state was replaced by a leader's snapshot: State gives another one
}

// Node is one replica's consensus core. It does no I/O, has no clock and is not safe for concurrent use.
type Node struct{}

// NewNode starts a replica from what its storage holds.
func NewNode(config NodeConfig) (*Node, error) { panic("not written") }

// Tick is to be called each TickInterval.
func (n *Node) Tick() { panic("not written") }

// Campaign asks for an election now.
func (n *Node) Campaign() error { panic("not written") }

// Step takes a peer's message; the error is a *MessageError for one that changes nothing.
func (n *Node) Step(message *raftpb.Message) error { panic("not written") }

// Propose puts a command into the log, on the leader only: ErrNotLeader, ErrDropped or a *BadCommandError otherwise.
func (n *Node) Propose(c Command) error { panic("not written") }

// ReadIndex asks for a linearizable read; its context comes back in Progress.Reads, or never: ask again then. A context
// must never be used twice by any replica, also not after a restart.
func (n *Node) ReadIndex(context []byte) { panic("not written") }

// Ready gives the next work, false for none. Advance is to follow before Ready is called again.
func (n *Node) Ready() (Work, bool) { panic("not written") }

// Advance says that the work is done, and carries out what it committed.
func (n *Node) Advance(w Work) (Progress, error) { panic("not written") }

// Unreachable says that messages to a peer do not arrive.
func (n *Node) Unreachable(peer uint64) { panic("not written") }

// SnapshotSent says whether a message of type MsgSnap reached the peer. It must be called for each.
func (n *Node) SnapshotSent(peer uint64, arrived bool) { panic("not written") }

// State is the replica's state machine.
func (n *Node) State() *State { panic("not written") }

// Leader is the leader's ID as far as it is known here, 0 for none.
func (n *Node) Leader() uint64 { panic("not written") }

// IsLeader says whether this replica leads.
func (n *Node) IsLeader() bool { panic("not written") }

// Term is the consensus term.
func (n *Node) Term() uint64 { panic("not written") }

// Applied is the index of the last entry that the state has.
func (n *Node) Applied() uint64 { panic("not written") }
