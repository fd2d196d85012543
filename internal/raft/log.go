package raft

import (
	"slices"
	"time"
)

func (m *Machine) onAppend(now time.Duration, msg Message) {
	m.followLeader(now, msg)
	if msg.LogIndex < m.baseIndex {
		// Everything up to the commit index agrees with every leader of this or a later term.
		m.send(Message{Type: MsgAppendReply, To: msg.From, Match: m.commit, Granted: true, SentAt: msg.SentAt})
		return
	}
	if msg.LogIndex > m.lastIndex() || m.termAt(msg.LogIndex) != msg.LogTerm {
		m.send(Message{Type: MsgAppendReply, To: msg.From, Match: m.retryFrom(msg.LogIndex), SentAt: msg.SentAt})
		return
	}
	for i, e := range msg.Entries {
		if e.Index <= m.lastIndex() && m.termAt(e.Index) == e.Term {
			continue
		}
		m.appendReplicated(msg.Entries[i:])
		break
	}
	match := msg.LogIndex + uint64(len(msg.Entries))
	m.commit = max(m.commit, min(msg.Commit, match))
	m.send(Message{Type: MsgAppendReply, To: msg.From, Granted: true, Match: match, SentAt: msg.SentAt})
}

// retryFrom returns the highest index that may agree with the leader after a mismatch at index. It skips all
// entries of the conflicting term, so that a long divergent tail costs one round trip per term, not per entry.
func (m *Machine) retryFrom(index uint64) uint64 {
	if index > m.lastIndex() {
		return m.lastIndex()
	}
	term := m.termAt(index)
	for index > m.commit && index > m.baseIndex && m.termAt(index) == term {
		index--
	}
	return max(index, m.commit)
}

// appendReplicated replaces the tail of the log from the first entry on.
func (m *Machine) appendReplicated(entries []Entry) {
	first := entries[0].Index
	m.log = append(m.log[:first-m.baseIndex-1], entries...)
	m.dropChangesFrom(first)
	m.recordChanges(entries)
	m.queueEntries(entries)
}

func (m *Machine) onAppendReply(now time.Duration, msg Message) {
	p := m.peers[msg.From]
	if m.role != RoleLeader || p == nil {
		return
	}
	p.ackedAt = max(p.ackedAt, msg.SentAt)
	if p.next > m.baseIndex {
		// A late reply showed that the log is enough. The snapshot may have been lost, so nothing waits for it.
		p.snapshotIndex = 0
	}
	if !msg.Granted {
		// While a snapshot is under way, a rejection only confirms that it has not arrived. A rejection of a message
		// from before the last retry is already answered by it: to answer each one again lets reordered and
		// duplicated messages multiply without bound.
		if p.snapshotIndex == 0 && msg.SentAt >= p.retriedAt {
			p.next, p.retriedAt = max(p.match+1, msg.Match+1), now
			m.sendAppend(now, msg.From)
		}
		return
	}
	p.match = max(p.match, msg.Match)
	p.next = max(p.next, p.match+1)
	if p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	m.advanceCommit(now)
	if m.role == RoleLeader && p.snapshotIndex == 0 && p.next <= m.lastIndex() {
		m.sendAppend(now, msg.From)
	}
}

func (m *Machine) onSnapshot(now time.Duration, msg Message) {
	m.followLeader(now, msg)
	s := msg.Snapshot
	if s == nil || s.Index <= m.commit {
		m.send(Message{Type: MsgSnapshotReply, To: msg.From, Match: m.commit, SentAt: msg.SentAt})
		return
	}
	if s.Index <= m.lastIndex() && m.termAt(s.Index) == s.Term {
		// The log agrees up to the snapshot. Entries after it may have been acknowledged and must stay.
		m.commit = s.Index
		m.send(Message{Type: MsgSnapshotReply, To: msg.From, Match: s.Index, SentAt: msg.SentAt})
		return
	}
	m.log, m.changes = nil, nil
	m.baseIndex, m.baseTerm, m.baseMembers, m.snapshot = s.Index, s.Term, s.Members, s
	m.commit, m.delivered = s.Index, s.Index
	m.synced, m.taken = 0, 0
	m.out.Restore, m.out.Entries, m.out.Committed = s, nil, nil
	m.send(Message{Type: MsgSnapshotReply, To: msg.From, Match: s.Index, SentAt: msg.SentAt})
}

func (m *Machine) onSnapshotReply(now time.Duration, msg Message) {
	msg.Granted = true
	m.onAppendReply(now, msg)
}

func (m *Machine) followLeader(now time.Duration, msg Message) {
	m.becomeFollower(now, msg.Term, msg.From)
	m.leaderContact = now
	m.resetElection(now)
}

// broadcast sends a heartbeat with whatever entries each replica lacks.
func (m *Machine) broadcast(now time.Duration) {
	m.lastBeat = now
	m.unsent = false
	for _, v := range m.Members().All() {
		if v.ID != m.cfg.ID {
			m.sendAppend(now, v.ID)
		}
	}
}

// sendAppend sends the next entries and assumes that they arrive. A lost message is noticed by the rejection of
// the next one, at the latest of the next heartbeat.
func (m *Machine) sendAppend(now time.Duration, id string) {
	p := m.peers[id]
	if p == nil {
		p = &progress{next: m.lastIndex() + 1}
		m.peers[id] = p
	}
	if p.next <= m.baseIndex {
		m.sendSnapshot(now, id, p)
		return
	}
	prev := p.next - 1
	last := min(m.lastIndex(), prev+m.rules.batch)
	entries := slices.Clone(m.log[prev-m.baseIndex : last-m.baseIndex])
	p.next = last + 1
	m.send(Message{
		Type: MsgAppend, To: id, LogIndex: prev, LogTerm: m.termAt(prev),
		Entries: entries, Commit: m.commit, SentAt: now,
	})
}

// sendSnapshot sends the snapshot once per snapshotRetry, and otherwise a heartbeat that matches any log.
func (m *Machine) sendSnapshot(now time.Duration, id string, p *progress) {
	if p.snapshotIndex > 0 && now-p.snapshotAt < snapshotRetry {
		m.send(Message{Type: MsgAppend, To: id, SentAt: now})
		return
	}
	p.snapshotIndex, p.snapshotAt = m.snapshot.Index, now
	m.send(Message{Type: MsgSnapshot, To: id, Snapshot: m.snapshot, SentAt: now})
}

// advanceCommit commits entries of the own term that a majority has synced. A leader that is no voter any more
// steps down once its removal is committed.
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
	if index <= m.commit || !m.rules.commits(m, m.termAt(index)) {
		return
	}
	m.commit = index
	if !members.IsVoter(m.cfg.ID) && !m.ChangePending() {
		m.becomeFollower(now, m.hard.Term, "")
	}
}

func (m *Machine) appendOwn(e Entry) Entry {
	e.Index, e.Term = m.lastIndex()+1, m.hard.Term
	m.log = append(m.log, e)
	m.recordChanges([]Entry{e})
	m.queueEntries([]Entry{e})
	return e
}

// queueEntries adds entries to the effects; a replaced tail is cut from those still queued.
func (m *Machine) queueEntries(entries []Entry) {
	first := entries[0].Index
	m.synced = min(m.synced, first-1)
	m.taken = min(m.taken, first-1)
	i := slices.IndexFunc(m.out.Entries, func(e Entry) bool { return e.Index >= first })
	if i >= 0 {
		m.out.Entries = m.out.Entries[:i]
	}
	m.out.Entries = append(m.out.Entries, entries...)
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

func (m *Machine) send(msg Message) { m.sendAs(m.hard.Term, msg) }

func (m *Machine) sendAs(term uint64, msg Message) {
	msg.From, msg.Term = m.cfg.ID, term
	m.out.Messages = append(m.out.Messages, msg)
}
