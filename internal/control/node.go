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
	ElectionTicks  = 10 // ticks without a message from the leader until an election; the raft library adds up to as many at random
	HeartbeatTicks = 1  // ticks between two heartbeats

	maxMessageBytes     = 1 << 20  // size of the entries in one message
	maxUncommittedBytes = 16 << 20 // size of the uncommitted entries; proposals beyond it are dropped
	maxInflightMessages = 64       // number of unacknowledged messages to a peer
)

// PersistedState is the contents of a replica's storage. The zero value is that of a new replica.
type PersistedState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // nil for none
	Entries   []*raftpb.Entry  // ascending without gaps; those up to the snapshot's index are ignored
}

// NodeConfig configures a Node.
type NodeConfig struct {
	ID        uint64   // one of Peers, not 0
	Peers     []uint64 // IDs of all replicas of the cluster, the same on each replica
	Fleet     string
	Persisted PersistedState
}

// AppliedCommand is a command that is committed, saved on this replica and applied to its state.
type AppliedCommand struct {
	Index   uint64
	Command Command
	Outcome Outcome
}

// AdvanceResult describes the effects of a completed Work.
type AdvanceResult struct {
	Applied       []AppliedCommand
	ReadContexts  [][]byte // contexts of ReadIndex calls; the state contains everything accepted before the call
	Undecided     []string // IDs proposed here that may or may not be committed; propose again with the same ID
	StateReplaced bool     // a leader's snapshot replaced the state; State returns the new one
}

// Node is the consensus core of one replica. It uses the etcd project's raft library with PreVote and CheckQuorum enabled. It
// does no I/O, reads no clock and is not safe for concurrent use. The only random value is the library's election timeout.
type Node struct {
	id           uint64
	peers        []uint64
	raft         *raft.RawNode
	storage      *raft.MemoryStorage // the saved part of the log
	state        *State
	appliedIndex uint64
	failure      error

	pendingIDs   map[string]bool // IDs proposed here in pendingTerm
	pendingTerm  uint64
	pendingReads []raft.ReadState // reads that wait until enough entries are applied

	incomingState *State // decoded state of a leader's snapshot that Step accepted
	incomingIndex uint64

	limits             compactionLimits
	compactedIndex     uint64 // index of the newest snapshot
	bytesSinceSnapshot int    // size of the commands applied since the newest snapshot
	lastHandedOutIndex uint64 // index of the last entry that Ready returned to be saved
}

// NewNode starts a replica from its persisted state. The error is a *StorageError, a *FleetMismatchError or one about the
// list of peers.
func NewNode(config NodeConfig) (node *Node, err error) {
	peers := slices.Sorted(slices.Values(config.Peers))
	if config.ID == 0 || !slices.Contains(peers, config.ID) || len(slices.Compact(slices.Clone(peers))) != len(peers) {
		return nil, fmt.Errorf("replica %d: the peers %v do not contain its ID or contain a duplicate", config.ID, config.Peers)
	}
	n := &Node{id: config.ID, peers: peers, pendingIDs: map[string]bool{}, limits: defaultCompactionLimits}
	defer panicToError(&err, func(reason string) error { return &StorageError{Reason: reason} })
	if err := n.restore(config.Fleet, config.Persisted); err != nil {
		return nil, err
	}
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID:                        config.ID,
		ElectionTick:              ElectionTicks,
		HeartbeatTick:             HeartbeatTicks,
		Storage:                   n.storage,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		Logger:                    discardLogger{},
	})
	if err != nil {
		return nil, err
	}
	return n, nil
}

// panicToError recovers from a panic of the raft library and stores it as an error. It must be deferred.
func panicToError(err *error, wrap func(reason string) error) {
	if cause := recover(); cause != nil {
		*err = wrap(oneLine(fmt.Errorf("%v", cause)))
	}
}

// callRaft runs a call of the raft library. If it panics or returns a *NodeFailedError, the node fails: this and all later
// calls return that error.
func (n *Node) callRaft(call func() error) (err error) {
	if n.failure != nil {
		return n.failure
	}
	defer func() {
		if failed := new(NodeFailedError); errors.As(err, &failed) {
			n.failure = err
		}
	}()
	defer panicToError(&err, func(reason string) error { return &NodeFailedError{Reason: reason} })
	return call()
}

// Tick advances the logical clock. It must be called once per TickInterval.
func (n *Node) Tick() {
	_ = n.callRaft(func() error {
		n.raft.Tick()
		return nil
	})
}

// Campaign starts an election immediately.
func (n *Node) Campaign() error { return n.callRaft(n.raft.Campaign) }

// Propose appends a command to the log. Only the leader accepts proposals. The error may be ErrNotLeader, ErrDropped, an
// *InvalidCommandError or a *NodeFailedError.
func (n *Node) Propose(c Command) error {
	encoded, err := EncodeCommand(c)
	if err != nil {
		return err
	}
	if !n.IsLeader() {
		return ErrNotLeader
	}
	err = n.callRaft(func() error { return n.raft.Propose(encoded) })
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrDropped
	}
	if err == nil {
		n.pendingIDs[c.ID] = true
		n.pendingTerm = n.Term()
	}
	return err
}

// ReadIndex requests a linearizable read. Its context is returned in AdvanceResult.ReadContexts, or never, in which case the
// caller should repeat the request. A context must be unique among all replicas, even after a restart.
func (n *Node) ReadIndex(context []byte) {
	_ = n.callRaft(func() error {
		n.raft.ReadIndex(context)
		return nil
	})
}

// ReportUnreachable reports that messages to a peer do not arrive.
func (n *Node) ReportUnreachable(peer uint64) {
	_ = n.callRaft(func() error {
		n.raft.ReportUnreachable(peer)
		return nil
	})
}

// ReportSnapshot reports whether a message of type MsgSnap reached the peer. It must be called for every such message.
func (n *Node) ReportSnapshot(peer uint64, arrived bool) {
	status := raft.SnapshotFailure
	if arrived {
		status = raft.SnapshotFinish
	}
	_ = n.callRaft(func() error {
		n.raft.ReportSnapshot(peer, status)
		return nil
	})
}

// Err returns the error that stopped the node, or nil while it works.
func (n *Node) Err() error { return n.failure }

// State returns the replica's state machine.
func (n *Node) State() *State { return n.state }

// Leader returns the leader's ID that this replica knows, or 0.
func (n *Node) Leader() uint64 { return n.raft.BasicStatus().Lead }

// IsLeader reports whether this replica is the leader.
func (n *Node) IsLeader() bool { return n.raft.BasicStatus().RaftState == raft.StateLeader }

// Term returns the current consensus term.
func (n *Node) Term() uint64 { return n.raft.BasicStatus().GetTerm() }

// AppliedIndex returns the index of the last entry that was applied to the state.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// lastSavedIndex returns the index of the last entry that is or may be saved.
func (n *Node) lastSavedIndex() uint64 {
	last, err := n.storage.LastIndex()
	if err != nil {
		return n.lastHandedOutIndex
	}
	return max(last, n.lastHandedOutIndex)
}

// discardLogger discards the raft library's log lines, but panics where the library logs a panic or a fatal error.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}

func (discardLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (discardLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
