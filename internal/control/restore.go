package control

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Index and term of the initial snapshot. It is the same on all replicas and lists the peers, so that no log entry has to.
const (
	initialIndex = 1
	initialTerm  = 1
)

// restore initializes the state from the saved snapshot and the log from the saved entries.
func (n *Node) restore(fleet string, saved PersistedState) error {
	snapshot := saved.Snapshot
	if raft.IsEmptySnap(snapshot) {
		var err error
		if snapshot, err = n.initialSnapshot(fleet); err != nil {
			return err
		}
	}
	if err := n.restoreState(fleet, snapshot); err != nil {
		return err
	}
	n.storage = raft.NewMemoryStorage()
	if err := n.storage.ApplySnapshot(snapshot); err != nil {
		return &StorageError{Reason: oneLine(err)}
	}
	entries, err := entriesAfter(n.appliedIndex, saved.Entries)
	if err != nil {
		return err
	}
	if err := n.storage.Append(entries); err != nil {
		return &StorageError{Reason: oneLine(err)}
	}
	return n.restoreHardState(saved.HardState)
}

// initialSnapshot returns the snapshot of an empty state that a new replica starts from.
func (n *Node) initialSnapshot(fleet string) (*raftpb.Snapshot, error) {
	data, err := NewState(fleet).Marshal()
	if err != nil {
		return nil, err
	}
	return &raftpb.Snapshot{
		Data: data,
		Metadata: &raftpb.SnapshotMetadata{
			ConfState: n.confState(),
			Index:     proto.Uint64(initialIndex),
			Term:      proto.Uint64(initialTerm),
		},
	}, nil
}

// confState returns the raft configuration with all peers as voters.
func (n *Node) confState() *raftpb.ConfState {
	return &raftpb.ConfState{Voters: slices.Clone(n.peers)}
}

// restoreState decodes the state of a saved snapshot.
func (n *Node) restoreState(fleet string, snapshot *raftpb.Snapshot) error {
	if err := n.checkMembership(snapshot); err != nil {
		return &StorageError{Reason: oneLine(err)}
	}
	state, err := UnmarshalState(snapshot.Data)
	if err != nil {
		return &StorageError{Reason: oneLine(err)}
	}
	if state.Fleet() != fleet {
		return &FleetMismatchError{Fleet: state.Fleet(), Want: fleet}
	}
	n.state = state
	n.appliedIndex = snapshot.GetMetadata().GetIndex()
	n.compactedIndex = n.appliedIndex
	return nil
}

// checkMembership refuses a snapshot of another set of replicas.
func (n *Node) checkMembership(snapshot *raftpb.Snapshot) error {
	conf := snapshot.GetMetadata().GetConfState()
	voters := slices.Sorted(slices.Values(conf.GetVoters()))
	if !slices.Equal(voters, n.peers) || len(conf.GetLearners())+len(conf.GetVotersOutgoing())+len(conf.GetLearnersNext()) > 0 {
		return fmt.Errorf("the snapshot belongs to the replicas %v, not %v", voters, n.peers)
	}
	return nil
}

// entriesAfter returns the saved entries after an index. They must be consecutive, with terms that do not decrease.
func entriesAfter(index uint64, saved []*raftpb.Entry) ([]*raftpb.Entry, error) {
	first := slices.IndexFunc(saved, func(entry *raftpb.Entry) bool { return entry.GetIndex() > index })
	if first < 0 {
		return nil, nil
	}
	entries := saved[first:]
	term := uint64(0)
	for i, entry := range entries {
		if entry.GetIndex() != index+1+uint64(i) || entry.GetTerm() < term {
			return nil, &StorageError{Reason: fmt.Sprintf("the log has a gap or a lower term at entry %d", entry.GetIndex())}
		}
		term = entry.GetTerm()
	}
	return entries, nil
}

// restoreHardState checks that the log contains all committed entries and restores the hard state.
func (n *Node) restoreHardState(saved *raftpb.HardState) error {
	hardState := &raftpb.HardState{Term: proto.Uint64(initialTerm), Commit: proto.Uint64(initialIndex)}
	if saved != nil {
		hardState = proto.Clone(saved).(*raftpb.HardState)
	}
	if last := n.lastSavedIndex(); hardState.GetCommit() > last {
		return &StorageError{Reason: fmt.Sprintf("the log ends at entry %d, but entry %d was committed", last, hardState.GetCommit())}
	}
	if hardState.GetCommit() < n.appliedIndex {
		hardState.Commit = proto.Uint64(n.appliedIndex)
	}
	if err := n.storage.SetHardState(hardState); err != nil {
		return &StorageError{Reason: oneLine(err)}
	}
	return nil
}
