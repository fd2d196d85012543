package raft

import "math"

// isWellFormed reports whether the fields of a message fit together and to the log, as those of every correct replica do.
// Other messages are ignored: they would corrupt the log or end the process.
func (m *Machine) isWellFormed(msg Message) bool {
	switch msg.Type {
	case MsgAppend:
		return m.hasWellFormedEntries(msg)
	case MsgAppendReply, MsgSnapshotReply:
		return msg.Term < m.hardState.Term || m.role != RoleLeader || msg.Match <= m.lastIndex()
	case MsgSnapshot:
		s := msg.Snapshot
		return s == nil || s.Index > 0 && s.Index < math.MaxInt64 && s.Term <= msg.Term && len(s.Members.Voters) > 0
	}
	return true
}

// hasWellFormedEntries reports whether the entries follow the log index without a gap, and do not change a committed entry.
func (m *Machine) hasWellFormedEntries(msg Message) bool {
	if msg.LogIndex > math.MaxInt64 {
		return false
	}
	term := msg.LogTerm
	for i, e := range msg.Entries {
		if e.Index != msg.LogIndex+uint64(i)+1 || e.Term < term || e.Term > msg.Term {
			return false
		}
		if e.Kind == EntryMembers && (e.Members == nil || len(e.Members.Voters) == 0) {
			return false
		}
		isCommitted := e.Index > m.baseIndex && e.Index <= m.commitIndex
		if isCommitted && msg.LogIndex >= m.baseIndex && m.termAt(e.Index) != e.Term {
			return false
		}
		term = e.Term
	}
	return true
}
