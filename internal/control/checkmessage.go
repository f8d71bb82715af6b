package control

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// checkMessage refuses a message that no correct peer of this cluster sends. The raft library would panic on some of them.
func (n *Node) checkMessage(m *raftpb.Message) error {
	if m == nil {
		return &MessageError{Reason: "the message is empty"}
	}
	if m.GetTo() != n.id || m.GetFrom() == n.id || !slices.Contains(n.peers, m.GetFrom()) {
		return &MessageError{Reason: fmt.Sprintf("sent from replica %d to %d, this is replica %d", m.GetFrom(), m.GetTo(), n.id)}
	}
	if m.GetTerm() == 0 && m.GetType() != raftpb.MsgReadIndex {
		return &MessageError{Reason: fmt.Sprintf("%v without a term", m.GetType())}
	}
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgVoteResp, raftpb.MsgPreVote, raftpb.MsgPreVoteResp, raftpb.MsgHeartbeatResp:
		return nil
	case raftpb.MsgApp:
		return checkEntries(m)
	case raftpb.MsgHeartbeat:
		return n.checkIndex(m, m.GetCommit())
	case raftpb.MsgAppResp:
		return n.checkIndex(m, m.GetIndex())
	case raftpb.MsgReadIndex, raftpb.MsgReadIndexResp:
		return checkRead(m)
	case raftpb.MsgSnap:
		return n.checkSnapshot(m)
	}
	return &MessageError{Reason: fmt.Sprintf("%v is not a message between replicas", m.GetType())}
}

// checkEntries refuses entries whose indexes are not consecutive, whose terms decrease or that are not normal entries.
func checkEntries(m *raftpb.Message) error {
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, entry := range m.GetEntries() {
		index++
		if entry.GetIndex() != index || entry.GetTerm() < term || entry.GetTerm() > m.GetTerm() {
			return &MessageError{Reason: fmt.Sprintf("entry %d of term %d is out of sequence", entry.GetIndex(), entry.GetTerm())}
		}
		if entry.GetType() != raftpb.EntryNormal {
			return &MessageError{Reason: fmt.Sprintf("entry %d has type %v", index, entry.GetType())}
		}
		term = entry.GetTerm()
	}
	return nil
}

// checkIndex refuses an index beyond the end of the log: the peer believes that more is saved here than is.
func (n *Node) checkIndex(m *raftpb.Message, index uint64) error {
	if last := n.lastSavedIndex(); index > last && !m.GetReject() {
		return &MessageError{Reason: fmt.Sprintf("%v refers to entry %d, but the log ends at entry %d", m.GetType(), index, last)}
	}
	return nil
}

// checkRead refuses a read request or response without exactly one context.
func checkRead(m *raftpb.Message) error {
	if entries := m.GetEntries(); len(entries) != 1 || len(entries[0].GetData()) == 0 {
		return &MessageError{Reason: fmt.Sprintf("%v without a context", m.GetType())}
	}
	return nil
}

// checkSnapshot decodes a snapshot before the raft library accepts it, so that an invalid one has no effect. The decoded
// state is kept for installSnapshot.
func (n *Node) checkSnapshot(m *raftpb.Message) error {
	if err := n.checkMembership(m.GetSnapshot()); err != nil {
		return &MessageError{Reason: oneLine(err)}
	}
	state, err := UnmarshalState(m.GetSnapshot().GetData())
	if err != nil {
		return &MessageError{Reason: oneLine(err)}
	}
	if state.Fleet() != n.state.Fleet() {
		err := &FleetMismatchError{Fleet: state.Fleet(), Want: n.state.Fleet()}
		return &MessageError{Reason: err.Error()}
	}
	n.incomingState = state
	n.incomingIndex = m.GetSnapshot().GetMetadata().GetIndex()
	return nil
}
