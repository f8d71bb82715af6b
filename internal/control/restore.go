package control

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// All replicas begin with the same first snapshot, which names the peers: no entry of the log has to.
const (
	firstIndex = 1
	firstTerm  = 1
)

// restore builds the log's saved part and the state at its snapshot.
func (n *Node) restore(fleet string, saved PersistedState) error {
	snapshot := saved.Snapshot
	if raft.IsEmptySnap(snapshot) {
		var err error
		if snapshot, err = n.firstSnapshot(fleet); err != nil {
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
	entries, err := entriesAfter(n.applied, saved.Entries)
	if err != nil {
		return err
	}
	if err := n.storage.Append(entries); err != nil {
		return &StorageError{Reason: oneLine(err)}
	}
	return n.restoreHardState(saved.HardState)
}

func (n *Node) firstSnapshot(fleet string) (*raftpb.Snapshot, error) {
	data, err := NewState(fleet).Marshal()
	if err != nil {
		return nil, err
	}
	return &raftpb.Snapshot{
		Data: data,
		Metadata: &raftpb.SnapshotMetadata{
			ConfState: n.confState(),
			Index:     proto.Uint64(firstIndex),
			Term:      proto.Uint64(firstTerm),
		},
	}, nil
}

func (n *Node) confState() *raftpb.ConfState {
	return &raftpb.ConfState{Voters: slices.Clone(n.peers)}
}

// restoreState reads the state of a saved snapshot.
func (n *Node) restoreState(fleet string, snapshot *raftpb.Snapshot) error {
	if err := n.checkPeers(snapshot); err != nil {
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
	n.applied = snapshot.GetMetadata().GetIndex()
	n.compactedIndex = n.applied
	return nil
}

// checkPeers finds a snapshot of another set of replicas.
func (n *Node) checkPeers(snapshot *raftpb.Snapshot) error {
	conf := snapshot.GetMetadata().GetConfState()
	voters := slices.Sorted(slices.Values(conf.GetVoters()))
	if !slices.Equal(voters, n.peers) || len(conf.GetLearners())+len(conf.GetVotersOutgoing())+len(conf.GetLearnersNext()) > 0 {
		return fmt.Errorf("the snapshot is of the replicas %v, not %v", voters, n.peers)
	}
	return nil
}

// entriesAfter gives the saved entries behind a snapshot.
func entriesAfter(index uint64, saved []*raftpb.Entry) ([]*raftpb.Entry, error) {
	first := slices.IndexFunc(saved, func(entry *raftpb.Entry) bool { return entry.GetIndex() > index })
	if first < 0 {
		return nil, nil
	}
	entries := saved[first:]
	term := uint64(0)
	for i, entry := range entries {
		if entry.GetIndex() != index+1+uint64(i) || entry.GetTerm() < term {
			return nil, &StorageError{Reason: fmt.Sprintf("the log has a gap before entry %d", entry.GetIndex())}
		}
		term = entry.GetTerm()
	}
	return entries, nil
}

// restoreHardState checks that the log is as long as it was known to be.
func (n *Node) restoreHardState(saved *raftpb.HardState) error {
	hard := &raftpb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(firstIndex)}
	if saved != nil {
		hard = proto.Clone(saved).(*raftpb.HardState)
	}
	if last := n.lastSaved(); hard.GetCommit() > last {
		return &StorageError{Reason: fmt.Sprintf("the log ends at entry %d, %d was committed", last, hard.GetCommit())}
	}
	if hard.GetCommit() < n.applied {
		hard.Commit = proto.Uint64(n.applied)
	}
	if err := n.storage.SetHardState(hard); err != nil {
		return &StorageError{Reason: oneLine(err)}
	}
	return nil
}
