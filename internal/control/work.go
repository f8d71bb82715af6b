package control

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Compaction of the log.
const (
	SnapshotIntervalEntries = 512     // entries applied since the last snapshot make the next one due
	SnapshotIntervalBytes   = 8 << 20 // bytes of commands applied since it do, too, after snapshotEntriesMin
	RetainedLogEntries      = 256     // entries before a snapshot that stay for replicas that are a little behind
	snapshotEntriesMin      = 16
)

// compactionLimits says when a snapshot is due and what stays of the log.
type compactionLimits struct {
	entries, bytes, kept int
}

var defaultLimits = compactionLimits{entries: SnapshotIntervalEntries, bytes: SnapshotIntervalBytes, kept: RetainedLogEntries}

// Work is what a replica's storage and network are to do, in this order: save Snapshot, Compaction, Entries and HardState
// in one transaction, synced if MustSync; then send Messages; then call Advance. Nothing in it may be changed.
type Work struct {
	Snapshot   *raftpb.Snapshot  // from the leader, nil for none: it replaces the whole log
	Compaction *Compaction       // of the own log, nil for none
	HardState  *raftpb.HardState // nil while unchanged
	Entries    []*raftpb.Entry   // they replace all that is saved from the first one's index on
	MustSync   bool
	Messages   []*raftpb.Message

	ready *raft.Ready
}

// Compaction puts a snapshot in the place of the log's beginning.
type Compaction struct {
	Snapshot           *raftpb.Snapshot
	FirstRetainedIndex uint64 // entries below this index are deleted
}

// Ready gives the next work, false for none. Advance is to follow before Ready is called again.
func (n *Node) Ready() (work Work, any bool) {
	err := n.guarded(func() error {
		if n.compactionDue() {
			compaction, err := n.compaction()
			if err != nil {
				return &NodeFailedError{Reason: oneLine(err)}
			}
			work = Work{Compaction: compaction, MustSync: true}
			any = true
			return nil
		}
		if any = n.raft.HasReady(); any {
			work = newWork(n.raft.Ready())
			if last := len(work.Entries) - 1; last >= 0 {
				n.handedOut = work.Entries[last].GetIndex()
			}
		}
		return nil
	})
	return work, any && err == nil
}

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

// compactionDue says whether enough was applied since the last snapshot.
func (n *Node) compactionDue() bool {
	since := int(n.applied - n.compactedIndex)
	return since >= n.limits.entries || since >= snapshotEntriesMin && n.loggedBytes >= n.limits.bytes
}

// compaction makes a snapshot of the state as it is now.
func (n *Node) compaction() (*Compaction, error) {
	data, err := n.state.Marshal()
	if err != nil {
		return nil, err
	}
	snapshot, err := n.storage.CreateSnapshot(n.applied, n.confState(), data)
	if err != nil {
		return nil, err
	}
	first, err := n.storage.FirstIndex()
	if err != nil {
		return nil, err
	}
	behind := min(n.applied, uint64(n.limits.kept))
	return &Compaction{Snapshot: snapshot, FirstRetainedIndex: max(first, n.applied-behind+1)}, nil
}

// Advance says that the work is done, and carries out what it committed.
func (n *Node) Advance(work Work) (AdvanceResult, error) {
	var progress AdvanceResult
	err := n.guarded(func() error {
		if work.Compaction != nil {
			return n.advanceCompaction(work.Compaction)
		}
		if work.ready == nil {
			return nil
		}
		if err := n.store(work, &progress); err != nil {
			return &NodeFailedError{Reason: oneLine(err)}
		}
		for _, entry := range work.ready.CommittedEntries {
			n.applyEntry(entry, &progress)
		}
		n.reads = append(n.reads, work.ready.ReadStates...)
		n.raft.Advance(*work.ready)
		return nil
	})
	n.finishReads(&progress)
	n.giveUpPending(&progress)
	return progress, err
}

func (n *Node) advanceCompaction(compaction *Compaction) error {
	n.compactedIndex = compaction.Snapshot.GetMetadata().GetIndex()
	n.loggedBytes = 0
	first, err := n.storage.FirstIndex()
	if err == nil && compaction.FirstRetainedIndex > first {
		err = n.storage.Compact(compaction.FirstRetainedIndex - 1)
	}
	if err != nil {
		return &NodeFailedError{Reason: oneLine(err)}
	}
	return nil
}

// store takes over what has been saved.
func (n *Node) store(work Work, progress *AdvanceResult) error {
	if work.Snapshot != nil {
		if err := n.takeSnapshot(work.Snapshot); err != nil {
			return err
		}
		progress.StateReplaced = true
	}
	if err := n.storage.Append(work.Entries); err != nil {
		return err
	}
	if work.HardState != nil {
		return n.storage.SetHardState(work.HardState)
	}
	return nil
}

// takeSnapshot puts a leader's snapshot in the place of log and state. Step has read it.
func (n *Node) takeSnapshot(snapshot *raftpb.Snapshot) error {
	index := snapshot.GetMetadata().GetIndex()
	if n.incoming == nil || n.incomingIndex != index {
		state, err := UnmarshalState(snapshot.Data)
		if err != nil {
			return err
		}
		n.incoming = state
	}
	if err := n.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	n.state = n.incoming
	n.incoming = nil
	n.applied = index
	n.compactedIndex = index
	n.loggedBytes = 0
	return nil
}

// applyEntry carries out one committed entry. What is no command changes nothing, at every replica alike.
func (n *Node) applyEntry(entry *raftpb.Entry, progress *AdvanceResult) {
	n.applied = entry.GetIndex()
	n.loggedBytes += len(entry.Data)
	if entry.GetType() != raftpb.EntryNormal || len(entry.Data) == 0 {
		return
	}
	command, err := DecodeCommand(entry.Data)
	if err != nil {
		return
	}
	outcome := n.state.Apply(command)
	delete(n.pending, command.ID)
	progress.Applied = append(progress.Applied, AppliedCommand{Index: n.applied, Command: command, Outcome: outcome})
}

// finishReads gives the reads that the state is far enough for.
func (n *Node) finishReads(progress *AdvanceResult) {
	n.reads = slices.DeleteFunc(n.reads, func(read raft.ReadState) bool {
		if read.Index > n.applied {
			return false
		}
		progress.ReadContexts = append(progress.ReadContexts, read.RequestCtx)
		return true
	})
}

// giveUpPending tells the proposals whose fate another leader decides.
func (n *Node) giveUpPending(progress *AdvanceResult) {
	if len(n.pending) == 0 || n.IsLeader() && n.Term() == n.pendingTerm {
		return
	}
	for id := range n.pending {
		progress.Undecided = append(progress.Undecided, id)
	}
	slices.Sort(progress.Undecided)
	clear(n.pending)
}

// Step takes a peer's message. The error is a *MessageError for one that changes nothing, or a *FailedError.
func (n *Node) Step(message *raftpb.Message) error {
	if err := n.checkMessage(message); err != nil {
		return err
	}
	return n.guarded(func() error {
		if err := n.raft.Step(message); err != nil {
			return &MessageError{Reason: oneLine(fmt.Errorf("step: %w", err))}
		}
		return nil
	})
}
