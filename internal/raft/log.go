package raft

import (
	"slices"
	"time"
)

func (m *Machine) onAppend(now time.Duration, msg Message) {
	m.followLeader(now, msg)
	if msg.LogIndex < m.baseIndex {
		// The log up to the commit index matches that of every leader of this or a later term.
		m.send(Message{Type: MsgAppendReply, To: msg.From, Match: m.commitIndex, Granted: true, SentAt: msg.SentAt})
		return
	}
	if msg.LogIndex > m.lastIndex() || m.termAt(msg.LogIndex) != msg.LogTerm {
		m.send(Message{Type: MsgAppendReply, To: msg.From, Match: m.rejectionHint(msg.LogIndex), SentAt: msg.SentAt})
		return
	}
	for i, e := range msg.Entries {
		if e.Index <= m.lastIndex() && m.termAt(e.Index) == e.Term {
			continue
		}
		m.truncateAndAppend(msg.Entries[i:])
		break
	}
	match := msg.LogIndex + uint64(len(msg.Entries))
	m.commitIndex = max(m.commitIndex, min(msg.Commit, match))
	m.send(Message{Type: MsgAppendReply, To: msg.From, Granted: true, Match: match, SentAt: msg.SentAt})
}

// rejectionHint returns the highest index that may match the leader's log after a mismatch at index. It skips all
// entries of the conflicting term, so that a long divergent tail costs one round trip per term, not per entry.
func (m *Machine) rejectionHint(index uint64) uint64 {
	if index > m.lastIndex() {
		return m.lastIndex()
	}
	term := m.termAt(index)
	for index > m.commitIndex && index > m.baseIndex && m.termAt(index) == term {
		index--
	}
	return max(index, m.commitIndex)
}

// truncateAndAppend replaces the tail of the log, starting at the index of the first entry.
func (m *Machine) truncateAndAppend(entries []Entry) {
	first := entries[0].Index
	m.log = append(m.log[:first-m.baseIndex-1], entries...)
	m.truncateMemberChanges(first)
	m.recordMemberChanges(entries)
	m.queueEntries(entries)
}

func (m *Machine) onAppendReply(now time.Duration, msg Message) {
	p := m.peers[msg.From]
	if m.role != RoleLeader || p == nil {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, msg.SentAt)
	if p.nextIndex > m.baseIndex {
		// A delayed reply showed that the replica can catch up from the log. The snapshot may have been lost, so don't
		// wait for its acknowledgement.
		p.snapshotIndex = 0
	}
	if !msg.Granted {
		// While a snapshot is in flight, a rejection only shows that it has not arrived. Rejections of messages sent
		// before the last retry are ignored because that retry already answers them: if each were answered, reordered
		// and duplicated messages would multiply without bound.
		if p.snapshotIndex == 0 && msg.SentAt >= p.retriedAt {
			p.nextIndex, p.retriedAt = max(p.matchIndex+1, msg.Match+1), now
			m.sendAppend(now, msg.From)
		}
		return
	}
	p.matchIndex = max(p.matchIndex, msg.Match)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.matchIndex >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	m.advanceCommit(now)
	if m.role == RoleLeader && p.snapshotIndex == 0 && p.nextIndex <= m.lastIndex() {
		m.sendAppend(now, msg.From)
	}
}

func (m *Machine) onSnapshot(now time.Duration, msg Message) {
	m.followLeader(now, msg)
	s := msg.Snapshot
	if s == nil || s.Index <= m.commitIndex {
		m.send(Message{Type: MsgSnapshotReply, To: msg.From, Match: m.commitIndex, SentAt: msg.SentAt})
		return
	}
	if s.Index <= m.lastIndex() && m.termAt(s.Index) == s.Term {
		// The log matches up to the snapshot. Entries after it may have been acknowledged and must be kept.
		m.commitIndex = s.Index
		m.send(Message{Type: MsgSnapshotReply, To: msg.From, Match: s.Index, SentAt: msg.SentAt})
		return
	}
	m.log, m.memberChanges = nil, nil
	m.baseIndex, m.baseTerm, m.baseMembers, m.snapshot = s.Index, s.Term, s.Members, s
	m.commitIndex, m.deliveredIndex = s.Index, s.Index
	m.syncedIndex, m.takenIndex = 0, 0
	m.effects.Restore, m.effects.Entries, m.effects.Committed = s, nil, nil
	m.send(Message{Type: MsgSnapshotReply, To: msg.From, Match: s.Index, SentAt: msg.SentAt})
}

func (m *Machine) onSnapshotReply(now time.Duration, msg Message) {
	msg.Granted = true
	m.onAppendReply(now, msg)
}

func (m *Machine) followLeader(now time.Duration, msg Message) {
	m.becomeFollower(now, msg.Term, msg.From)
	m.lastLeaderContact = now
	m.resetElectionTimer(now)
}

// broadcast sends every other member a heartbeat with the next entries that it lacks.
func (m *Machine) broadcast(now time.Duration) {
	m.lastHeartbeat = now
	m.hasUnsent = false
	for _, v := range m.Members().All() {
		if v.ID != m.cfg.ID {
			m.sendAppend(now, v.ID)
		}
	}
}

// sendAppend sends the next entries and assumes that they arrive. A lost message is detected when the replica rejects
// the next one, which is at the latest the next heartbeat.
func (m *Machine) sendAppend(now time.Duration, id string) {
	p := m.peers[id]
	if p == nil {
		p = &progress{nextIndex: m.lastIndex() + 1}
		m.peers[id] = p
	}
	if p.nextIndex <= m.baseIndex {
		m.sendSnapshot(now, id, p)
		return
	}
	prev := p.nextIndex - 1
	last := min(m.lastIndex(), prev+m.rules.maxBatchEntries)
	entries := slices.Clone(m.log[prev-m.baseIndex : last-m.baseIndex])
	p.nextIndex = last + 1
	m.send(Message{
		Type: MsgAppend, To: id, LogIndex: prev, LogTerm: m.termAt(prev),
		Entries: entries, Commit: m.commitIndex, SentAt: now,
	})
}

// sendSnapshot sends the snapshot at most once per snapshotRetryInterval, and otherwise a heartbeat with log index 0,
// which matches any log.
func (m *Machine) sendSnapshot(now time.Duration, id string, p *progress) {
	if p.snapshotIndex > 0 && now-p.snapshotSentAt < snapshotRetryInterval {
		m.send(Message{Type: MsgAppend, To: id, SentAt: now})
		return
	}
	p.snapshotIndex, p.snapshotSentAt = m.snapshot.Index, now
	m.send(Message{Type: MsgSnapshot, To: id, Snapshot: m.snapshot, SentAt: now})
}

// advanceCommit commits entries of the leader's own term that a majority of the voters has synced. A leader that has
// been removed as a voter steps down once its removal is committed.
func (m *Machine) advanceCommit(now time.Duration) {
	members := m.Members()
	matches := make([]uint64, 0, len(members.Voters))
	for _, v := range members.Voters {
		matches = append(matches, m.MatchIndex(v.ID))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= m.commitIndex || !m.rules.mayCommit(m, m.termAt(index)) {
		return
	}
	m.commitIndex = index
	if !members.IsVoter(m.cfg.ID) && !m.MemberChangePending() {
		m.becomeFollower(now, m.hardState.Term, "")
	}
}

func (m *Machine) appendAsLeader(e Entry) Entry {
	e.Index, e.Term = m.lastIndex()+1, m.hardState.Term
	m.log = append(m.log, e)
	m.recordMemberChanges([]Entry{e})
	m.queueEntries([]Entry{e})
	return e
}

// queueEntries adds entries to the effects and drops queued entries that they replace.
func (m *Machine) queueEntries(entries []Entry) {
	first := entries[0].Index
	m.syncedIndex = min(m.syncedIndex, first-1)
	m.takenIndex = min(m.takenIndex, first-1)
	i := slices.IndexFunc(m.effects.Entries, func(e Entry) bool { return e.Index >= first })
	if i >= 0 {
		m.effects.Entries = m.effects.Entries[:i]
	}
	m.effects.Entries = append(m.effects.Entries, entries...)
}

func (m *Machine) lastIndex() uint64 { return m.baseIndex + uint64(len(m.log)) }

func (m *Machine) lastTerm() uint64 { return m.termAt(m.lastIndex()) }

func (m *Machine) termAt(index uint64) uint64 {
	if index == m.baseIndex {
		return m.baseTerm
	}
	return m.entry(index).Term
}

func (m *Machine) entry(index uint64) Entry { return m.log[index-m.baseIndex-1] }

func (m *Machine) send(msg Message) { m.sendInTerm(m.hardState.Term, msg) }

func (m *Machine) sendInTerm(term uint64, msg Message) {
	msg.From, msg.Term = m.cfg.ID, term
	m.effects.Messages = append(m.effects.Messages, msg)
}
