package control

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Settings of log compaction.
const (
	SnapshotIntervalEntries = 512     // applied entries after which a new snapshot is due
	SnapshotIntervalBytes   = 8 << 20 // applied bytes after which one is due, from minSnapshotEntries on
	RetainedLogEntries      = 256     // entries before a snapshot that are retained for replicas that lag behind
	minSnapshotEntries      = 16
)

// compactionLimits determines when a snapshot is due and how many entries before it are retained.
type compactionLimits struct {
	entries, bytes, retainedEntries int
}

var defaultCompactionLimits = compactionLimits{
	entries:         SnapshotIntervalEntries,
	bytes:           SnapshotIntervalBytes,
	retainedEntries: RetainedLogEntries,
}

// Work describes the I/O that the caller must do, in this order: save Snapshot, Compaction, Entries and HardState in one
// transaction, synced to disk if MustSync is set; then send Messages; then call Node.Advance. The caller must not modify it.
type Work struct {
	Snapshot   *raftpb.Snapshot  // from the leader, nil for none; it replaces the whole log
	Compaction *Compaction       // of the local log, nil for none
	HardState  *raftpb.HardState // nil if unchanged
	Entries    []*raftpb.Entry   // they replace all saved entries from the index of the first one on
	MustSync   bool
	Messages   []*raftpb.Message

	ready *raft.Ready
}

// Compaction replaces the beginning of the log by a snapshot.
type Compaction struct {
	Snapshot           *raftpb.Snapshot
	FirstRetainedIndex uint64 // entries with a lower index are deleted
}

// Ready returns the next Work, or false if there is none. Advance must be called before Ready is called again.
func (n *Node) Ready() (work Work, found bool) {
	err := n.callRaft(func() error {
		if n.compactionDue() {
			compaction, err := n.compaction()
			if err != nil {
				return &NodeFailedError{Reason: oneLine(err)}
			}
			work = Work{Compaction: compaction, MustSync: true}
			found = true
			return nil
		}
		if found = n.raft.HasReady(); found {
			work = newWork(n.raft.Ready())
			if last := len(work.Entries) - 1; last >= 0 {
				n.lastHandedOutIndex = work.Entries[last].GetIndex()
			}
		}
		return nil
	})
	return work, found && err == nil
}

// newWork converts a raft.Ready.
func newWork(ready raft.Ready) Work {
	work := Work{
		HardState: ready.HardState,
		Entries:   ready.Entries,
		MustSync:  ready.MustSync,
		Messages:  ready.Messages,
		ready:     &ready,
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		work.Snapshot = ready.Snapshot
		work.MustSync = true
	}
	return work
}

// compactionDue reports whether enough entries or bytes were applied since the last snapshot.
func (n *Node) compactionDue() bool {
	sinceSnapshot := int(n.appliedIndex - n.compactedIndex)
	return sinceSnapshot >= n.limits.entries || sinceSnapshot >= minSnapshotEntries && n.bytesSinceSnapshot >= n.limits.bytes
}

// compaction creates a snapshot of the current state.
func (n *Node) compaction() (*Compaction, error) {
	data, err := n.state.Marshal()
	if err != nil {
		return nil, err
	}
	snapshot, err := n.storage.CreateSnapshot(n.appliedIndex, n.confState(), data)
	if err != nil {
		return nil, err
	}
	first, err := n.storage.FirstIndex()
	if err != nil {
		return nil, err
	}
	retained := min(n.appliedIndex, uint64(n.limits.retainedEntries))
	return &Compaction{Snapshot: snapshot, FirstRetainedIndex: max(first, n.appliedIndex-retained+1)}, nil
}

// Advance must be called when the Work is done. It applies the committed commands and returns the effects.
func (n *Node) Advance(work Work) (AdvanceResult, error) {
	var result AdvanceResult
	err := n.callRaft(func() error {
		if work.Compaction != nil {
			return n.advanceCompaction(work.Compaction)
		}
		if work.ready == nil {
			return nil
		}
		if err := n.recordSaved(work, &result); err != nil {
			return &NodeFailedError{Reason: oneLine(err)}
		}
		for _, entry := range work.ready.CommittedEntries {
			n.applyEntry(entry, &result)
		}
		n.pendingReads = append(n.pendingReads, work.ready.ReadStates...)
		n.raft.Advance(*work.ready)
		return nil
	})
	n.completeReads(&result)
	n.abandonPending(&result)
	return result, err
}

// advanceCompaction removes the compacted entries from the in-memory log.
func (n *Node) advanceCompaction(compaction *Compaction) error {
	n.compactedIndex = compaction.Snapshot.GetMetadata().GetIndex()
	n.bytesSinceSnapshot = 0
	first, err := n.storage.FirstIndex()
	if err == nil && compaction.FirstRetainedIndex > first {
		err = n.storage.Compact(compaction.FirstRetainedIndex - 1)
	}
	if err != nil {
		return &NodeFailedError{Reason: oneLine(err)}
	}
	return nil
}

// recordSaved updates the in-memory log with what has been saved.
func (n *Node) recordSaved(work Work, result *AdvanceResult) error {
	if work.Snapshot != nil {
		if err := n.installSnapshot(work.Snapshot); err != nil {
			return err
		}
		result.StateReplaced = true
	}
	if err := n.storage.Append(work.Entries); err != nil {
		return err
	}
	if work.HardState != nil {
		return n.storage.SetHardState(work.HardState)
	}
	return nil
}

// installSnapshot replaces the log and the state by a leader's snapshot. Step has decoded it in most cases.
func (n *Node) installSnapshot(snapshot *raftpb.Snapshot) error {
	index := snapshot.GetMetadata().GetIndex()
	if n.incomingState == nil || n.incomingIndex != index {
		state, err := UnmarshalState(snapshot.Data)
		if err != nil {
			return err
		}
		n.incomingState = state
	}
	if err := n.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	n.state = n.incomingState
	n.incomingState = nil
	n.appliedIndex = index
	n.compactedIndex = index
	n.bytesSinceSnapshot = 0
	return nil
}

// applyEntry applies one committed entry. An entry that is not a valid command has no effect on any replica.
func (n *Node) applyEntry(entry *raftpb.Entry, result *AdvanceResult) {
	n.appliedIndex = entry.GetIndex()
	n.bytesSinceSnapshot += len(entry.Data)
	if entry.GetType() != raftpb.EntryNormal || len(entry.Data) == 0 {
		return
	}
	command, err := DecodeCommand(entry.Data)
	if err != nil {
		return
	}
	outcome := n.state.Apply(command)
	delete(n.pendingIDs, command.ID)
	result.Applied = append(result.Applied, AppliedCommand{Index: n.appliedIndex, Command: command, Outcome: outcome})
}

// completeReads returns the contexts of the reads whose index has been applied.
func (n *Node) completeReads(result *AdvanceResult) {
	n.pendingReads = slices.DeleteFunc(n.pendingReads, func(read raft.ReadState) bool {
		if read.Index > n.appliedIndex {
			return false
		}
		result.ReadContexts = append(result.ReadContexts, read.RequestCtx)
		return true
	})
}

// abandonPending returns the IDs of all pending proposals as undecided if this replica is no longer the leader of their term:
// another leader determines whether they are committed.
func (n *Node) abandonPending(result *AdvanceResult) {
	if len(n.pendingIDs) == 0 || n.IsLeader() && n.Term() == n.pendingTerm {
		return
	}
	for id := range n.pendingIDs {
		result.Undecided = append(result.Undecided, id)
	}
	slices.Sort(result.Undecided)
	clear(n.pendingIDs)
}

// Step processes a message of a peer. The error is a *MessageError if the message was refused without an effect, or a
// *NodeFailedError.
func (n *Node) Step(message *raftpb.Message) error {
	if err := n.checkMessage(message); err != nil {
		return err
	}
	return n.callRaft(func() error {
		if err := n.raft.Step(message); err != nil {
			return &MessageError{Reason: oneLine(fmt.Errorf("step: %w", err))}
		}
		return nil
	})
}
