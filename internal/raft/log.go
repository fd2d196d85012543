package raft

import (
	"slices"
	"time"
)

func (m *Machine) onAppend(now time.Duration, msg Message) {
	m.followLeader(now, msg)
	if msg.LogIndex < m.baseIndex {
		m.send(Message{Type: MsgAppendReply, To: msg.From, Match: m.commit, Granted: true, SentAt: msg.SentAt})
		return
	}
	if msg.LogIndex > m.lastIndex() || m.termAt(msg.LogIndex) != msg.LogTerm {
		hint := min(m.lastIndex(), msg.LogIndex-1)
		m.send(Message{Type: MsgAppendReply, To: msg.From, Match: max(hint, m.commit), SentAt: msg.SentAt})
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

// appendReplicated replaces the tail of the log from the first entry on.
func (m *Machine) appendReplicated(entries []Entry) {
	first := entries[0].Index
	m.log = append(slices.Clone(m.log[:first-m.baseIndex-1]), entries...)
	m.queueEntries(entries)
	m.reloadMembers()
}

func (m *Machine) onAppendReply(now time.Duration, msg Message) {
	p := m.peers[msg.From]
	if m.role != RoleLeader || p == nil {
		return
	}
	p.ackedAt = max(p.ackedAt, msg.SentAt)
	if !msg.Granted {
		p.next = max(p.match+1, msg.Match+1)
		m.sendAppend(now, msg.From)
		return
	}
	p.match = max(p.match, msg.Match)
	p.next = max(p.next, p.match+1)
	m.advanceCommit()
	if p.next <= m.lastIndex() {
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
	m.log = nil
	m.baseIndex, m.baseTerm, m.baseMembers, m.members, m.snapshot = s.Index, s.Term, s.Members, s.Members, s
	m.commit, m.delivered = s.Index, s.Index
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
	for _, v := range m.members.All() {
		if v.ID != m.cfg.ID {
			m.sendAppend(now, v.ID)
		}
	}
}

func (m *Machine) sendAppend(now time.Duration, id string) {
	p := m.peers[id]
	if p == nil {
		p = &progress{next: m.lastIndex() + 1}
		m.peers[id] = p
	}
	if p.next <= m.baseIndex {
		m.send(Message{Type: MsgSnapshot, To: id, Snapshot: m.snapshot, SentAt: now})
		p.next = m.baseIndex + 1
		return
	}
	prev := p.next - 1
	last := min(m.lastIndex(), prev+maxEntriesPerMessage)
	entries := slices.Clone(m.log[prev-m.baseIndex : last-m.baseIndex])
	m.send(Message{
		Type: MsgAppend, To: id, LogIndex: prev, LogTerm: m.termAt(prev),
		Entries: entries, Commit: m.commit, SentAt: now,
	})
}

// advanceCommit commits entries of the own term that a majority has synced.
func (m *Machine) advanceCommit() {
	matches := make([]uint64, 0, len(m.members.Voters))
	for _, v := range m.members.Voters {
		matches = append(matches, m.MatchOf(v.ID))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index > m.commit && m.termAt(index) == m.hard.Term {
		m.commit = index
	}
}

func (m *Machine) appendOwn(e Entry) Entry {
	e.Index, e.Term = m.lastIndex()+1, m.hard.Term
	m.log = append(m.log, e)
	m.queueEntries([]Entry{e})
	return e
}

// queueEntries adds entries to the effects; a replaced tail is cut from those still queued.
func (m *Machine) queueEntries(entries []Entry) {
	first := entries[0].Index
	m.synced = min(m.synced, first-1)
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

// reloadMembers takes the newest member list of the log.
func (m *Machine) reloadMembers() {
	m.members = m.membersAt(m.lastIndex())
}

func (m *Machine) membersAt(index uint64) Members {
	for i := index; i > m.baseIndex; i-- {
		if e := m.entry(i); e.Kind == EntryMembers && e.Members != nil {
			return *e.Members
		}
	}
	return m.baseMembers
}

func (m *Machine) membersIndex() uint64 {
	for i := m.lastIndex(); i > m.baseIndex; i-- {
		if m.entry(i).Kind == EntryMembers {
			return i
		}
	}
	return m.baseIndex
}

func (m *Machine) send(msg Message) { m.sendAs(m.hard.Term, msg) }

func (m *Machine) sendAs(term uint64, msg Message) {
	msg.From, msg.Term = m.cfg.ID, term
	m.out.Messages = append(m.out.Messages, msg)
}

func voterDistance(a, b Members) int {
	n := 0
	for _, v := range a.Voters {
		if !b.IsVoter(v.ID) {
			n++
		}
	}
	for _, v := range b.Voters {
		if !a.IsVoter(v.ID) {
			n++
		}
	}
	return n
}
