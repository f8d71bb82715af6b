package control

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Settings of the consensus core.
const (
	ElectionTicks  = 10 // without a word from the leader until an election; the library adds up to as many at random
	HeartbeatTicks = 1  // between two heartbeats

	messageBytesMost     = 1 << 20  // of entries in one message
	uncommittedBytesMost = 16 << 20 // of entries that wait for a quorum; more are dropped
	inflightMessagesMost = 64       // to a peer without an answer
)

// Persisted is what a replica's storage holds. The zero value is a replica that begins.
type PersistedState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // nil for none
	Entries   []*raftpb.Entry  // ascending without gaps; those up to the snapshot's index are passed over
}

// NodeConfig describes a replica.
type NodeConfig struct {
	ID        uint64   // one of Peers, not 0
	Peers     []uint64 // all replicas of the cluster, the same at each
	Fleet     string
	Persisted PersistedState
}

// Applied is a command that is committed, saved here and carried out.
type AppliedCommand struct {
	Index   uint64
	Command Command
	Outcome Outcome
}

// Progress is what became of a Work.
type AdvanceResult struct {
	Applied       []AppliedCommand
	ReadContexts  [][]byte // contexts of ReadIndex: the state has all that was accepted before the call
	Undecided     []string // IDs proposed here that may yet be committed or not: ask again with the same ID
	StateReplaced bool     // the state was replaced by a leader's snapshot: State gives another one
}

// Node is one replica's consensus core, over the etcd project's raft library with its PreVote and CheckQuorum. It does no
// I/O, has no clock and is not safe for concurrent use. The only randomness is the library's election time-out.
type Node struct {
	id      uint64
	peers   []uint64
	raft    *raft.RawNode
	storage *raft.MemoryStorage // what is saved of the log
	state   *State
	applied uint64
	failed  error

	pending     map[string]bool // IDs proposed here in pendingTerm
	pendingTerm uint64
	reads       []raft.ReadState // waiting for entries to be applied

	incoming      *State // the state of a leader's snapshot that Step took
	incomingIndex uint64

	limits         compactionLimits
	compactedIndex uint64 // of the newest snapshot
	loggedBytes    int    // of commands applied since
	handedOut      uint64 // the last entry that Ready gave to be saved
}

// NewNode starts a replica from what its storage holds. Errors: *StorageError, *FleetError, or what is wrong with the
// list of peers.
func NewNode(config NodeConfig) (node *Node, err error) {
	peers := slices.Sorted(slices.Values(config.Peers))
	if config.ID == 0 || !slices.Contains(peers, config.ID) || len(slices.Compact(slices.Clone(peers))) != len(peers) {
		return nil, fmt.Errorf("replica %d: the peers %v do not have it, or have one twice", config.ID, config.Peers)
	}
	n := &Node{id: config.ID, peers: peers, pending: map[string]bool{}, limits: defaultLimits}
	defer recoverAs(&err, func(reason string) error { return &StorageError{Reason: reason} })
	if err := n.restore(config.Fleet, config.Persisted); err != nil {
		return nil, err
	}
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID:                        config.ID,
		ElectionTick:              ElectionTicks,
		HeartbeatTick:             HeartbeatTicks,
		Storage:                   n.storage,
		Applied:                   n.applied,
		MaxSizePerMsg:             messageBytesMost,
		MaxUncommittedEntriesSize: uncommittedBytesMost,
		MaxInflightMsgs:           inflightMessagesMost,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		Logger:                    quietLogger{},
	})
	if err != nil {
		return nil, err
	}
	return n, nil
}

// recoverAs turns a panic of the library into an error.
func recoverAs(err *error, wrap func(reason string) error) {
	if cause := recover(); cause != nil {
		*err = wrap(oneLine(fmt.Errorf("%v", cause)))
	}
}

// guarded runs a call of the library. Once it has panicked, the node has failed.
func (n *Node) guarded(call func() error) (err error) {
	if n.failed != nil {
		return n.failed
	}
	defer func() {
		if failed := new(NodeFailedError); errors.As(err, &failed) {
			n.failed = err
		}
	}()
	defer recoverAs(&err, func(reason string) error { return &NodeFailedError{Reason: reason} })
	return call()
}

// Tick is to be called each TickInterval.
func (n *Node) Tick() {
	_ = n.guarded(func() error {
		n.raft.Tick()
		return nil
	})
}

// Campaign asks for an election now.
func (n *Node) Campaign() error { return n.guarded(n.raft.Campaign) }

// Propose puts a command into the log, on the leader only: ErrNotLeader, ErrDropped or a *BadCommandError otherwise.
func (n *Node) Propose(c Command) error {
	text, err := EncodeCommand(c)
	if err != nil {
		return err
	}
	if !n.IsLeader() {
		return ErrNotLeader
	}
	err = n.guarded(func() error { return n.raft.Propose(text) })
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrDropped
	}
	if err == nil {
		n.pending[c.ID] = true
		n.pendingTerm = n.Term()
	}
	return err
}

// ReadIndex asks for a linearizable read; its context comes back in Progress.Reads, or never: ask again then. A context
// must never be used twice by any replica, also not after a restart.
func (n *Node) ReadIndex(context []byte) {
	_ = n.guarded(func() error {
		n.raft.ReadIndex(context)
		return nil
	})
}

// Unreachable says that messages to a peer do not arrive.
func (n *Node) ReportUnreachable(peer uint64) {
	_ = n.guarded(func() error {
		n.raft.ReportUnreachable(peer)
		return nil
	})
}

// SnapshotSent says whether a message of type MsgSnap reached the peer. It must be called for each.
func (n *Node) ReportSnapshot(peer uint64, arrived bool) {
	status := raft.SnapshotFailure
	if arrived {
		status = raft.SnapshotFinish
	}
	_ = n.guarded(func() error {
		n.raft.ReportSnapshot(peer, status)
		return nil
	})
}

// Failed tells why the node does nothing more, nil while it does.
func (n *Node) Err() error { return n.failed }

// State is the replica's state machine.
func (n *Node) State() *State { return n.state }

// Leader is the leader's ID as far as it is known here, 0 for none.
func (n *Node) Leader() uint64 { return n.raft.BasicStatus().Lead }

// IsLeader says whether this replica leads.
func (n *Node) IsLeader() bool { return n.raft.BasicStatus().RaftState == raft.StateLeader }

// Term is the consensus term.
func (n *Node) Term() uint64 { return n.raft.BasicStatus().GetTerm() }

// Applied is the index of the last entry that the state has.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// lastSaved is the index of the last entry that may be saved.
func (n *Node) lastSaved() uint64 {
	last, err := n.storage.LastIndex()
	if err != nil {
		return n.handedOut
	}
	return max(last, n.handedOut)
}

// quietLogger drops the library's log lines. What it calls a panic is one.
type quietLogger struct{}

func (quietLogger) Debug(...any)            {}
func (quietLogger) Debugf(string, ...any)   {}
func (quietLogger) Error(...any)            {}
func (quietLogger) Errorf(string, ...any)   {}
func (quietLogger) Info(...any)             {}
func (quietLogger) Infof(string, ...any)    {}
func (quietLogger) Warning(...any)          {}
func (quietLogger) Warningf(string, ...any) {}

func (quietLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (quietLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
