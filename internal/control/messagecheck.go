package control

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// checkMessage finds a message that no sound peer of this cluster sends. The library would panic at some of them.
func (n *Node) checkMessage(m *raftpb.Message) error {
	if m == nil {
		return &MessageError{Reason: "it is empty"}
	}
	if m.GetTo() != n.id || m.GetFrom() == n.id || !slices.Contains(n.peers, m.GetFrom()) {
		return &MessageError{Reason: fmt.Sprintf("from replica %d to %d, this is %d", m.GetFrom(), m.GetTo(), n.id)}
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
	return &MessageError{Reason: fmt.Sprintf("%v is not for another replica", m.GetType())}
}

// checkEntries finds entries that do not follow from each other.
func checkEntries(m *raftpb.Message) error {
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, entry := range m.GetEntries() {
		index++
		if entry.GetIndex() != index || entry.GetTerm() < term || entry.GetTerm() > m.GetTerm() {
			return &MessageError{Reason: fmt.Sprintf("entry %d of term %d does not follow", entry.GetIndex(), entry.GetTerm())}
		}
		if entry.GetType() != raftpb.EntryNormal {
			return &MessageError{Reason: fmt.Sprintf("entry %d is %v", index, entry.GetType())}
		}
		term = entry.GetTerm()
	}
	return nil
}

// checkIndex finds an index beyond the log, from a peer that believes more to be saved here than is.
func (n *Node) checkIndex(m *raftpb.Message, index uint64) error {
	if last := n.lastSaved(); index > last && !m.GetReject() {
		return &MessageError{Reason: fmt.Sprintf("%v is about entry %d, the log ends at %d", m.GetType(), index, last)}
	}
	return nil
}

// checkRead finds a read without its context.
func checkRead(m *raftpb.Message) error {
	if entries := m.GetEntries(); len(entries) != 1 || len(entries[0].GetData()) == 0 {
		return &MessageError{Reason: fmt.Sprintf("%v without a context", m.GetType())}
	}
	return nil
}

// checkSnapshot reads a snapshot before the library takes it, so that a bad one changes nothing.
func (n *Node) checkSnapshot(m *raftpb.Message) error {
	if err := n.checkPeers(m.GetSnapshot()); err != nil {
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
	n.incoming = state
	n.incomingIndex = m.GetSnapshot().GetMetadata().GetIndex()
	return nil
}
