package raft

import "time"

func (m *Machine) campaign(now time.Duration, pre bool) {
	m.preVote = pre
	m.role = RoleCandidate
	m.leader = ""
	m.resetElection(now)
	m.votes = map[string]bool{m.cfg.ID: true}
	kind, term := MsgPreVote, m.hard.Term+1
	if !pre {
		kind = MsgVote
		m.setHard(HardState{Term: term, Vote: m.cfg.ID})
	}
	for _, v := range m.Members().Voters {
		if v.ID != m.cfg.ID {
			m.sendAs(term, Message{Type: kind, To: v.ID, LogIndex: m.lastIndex(), LogTerm: m.lastTerm()})
		}
	}
	m.countVotes(now)
}

func (m *Machine) onPreVote(now time.Duration, msg Message) {
	if m.rules.refuses(m, now) {
		return
	}
	if msg.Term <= m.hard.Term || !m.isFresh(msg) {
		m.send(Message{Type: MsgPreVoteReply, To: msg.From})
		return
	}
	m.sendAs(msg.Term, Message{Type: MsgPreVoteReply, To: msg.From, Granted: true})
}

func (m *Machine) onVote(now time.Duration, msg Message) {
	if m.rules.refuses(m, now) {
		return
	}
	if msg.Term > m.hard.Term {
		m.becomeFollower(now, msg.Term, "")
	}
	granted := msg.Term == m.hard.Term && m.isFresh(msg) && (m.hard.Vote == "" || m.hard.Vote == msg.From)
	if granted && m.hard.Vote == "" {
		m.setHard(HardState{Term: m.hard.Term, Vote: msg.From})
		m.resetElection(now)
	}
	m.send(Message{Type: MsgVoteReply, To: msg.From, Granted: granted})
}

func (m *Machine) onPreVoteReply(now time.Duration, msg Message) {
	if !msg.Granted {
		if msg.Term > m.hard.Term {
			m.becomeFollower(now, msg.Term, "")
		}
		return
	}
	if m.role == RoleCandidate && m.preVote && msg.Term == m.hard.Term+1 {
		m.votes[msg.From] = true
		m.countVotes(now)
	}
}

func (m *Machine) onVoteReply(now time.Duration, msg Message) {
	if msg.Granted && m.role == RoleCandidate && !m.preVote {
		m.votes[msg.From] = true
		m.countVotes(now)
	}
}

// countVotes moves a candidate on once a majority of the voters agreed.
func (m *Machine) countVotes(now time.Duration) {
	n := 0
	for _, v := range m.Members().Voters {
		if m.votes[v.ID] {
			n++
		}
	}
	if n < len(m.Members().Voters)/2+1 {
		return
	}
	if m.preVote {
		m.campaign(now, false)
		return
	}
	m.becomeLeader(now)
}

func (m *Machine) becomeLeader(now time.Duration) {
	m.role = RoleLeader
	m.leader = m.cfg.ID
	m.peers = map[string]*progress{}
	m.electedAt = now
	m.termStart = m.appendOwn(Entry{Kind: EntryNoop}).Index
	m.broadcast(now)
}

func (m *Machine) becomeFollower(now time.Duration, term uint64, leader string) {
	if m.role == RoleLeader {
		m.promisedUntil = max(m.promisedUntil, m.leaseEnd())
		m.resetElection(now)
	}
	if term > m.hard.Term {
		m.setHard(HardState{Term: term})
	}
	m.role = RoleFollower
	m.leader = leader
	m.peers = nil
}

// refusesElection tells whether a leader may still hold a lease that this replica helped to grant.
func (m *Machine) refusesElection(now time.Duration) bool {
	if m.role == RoleLeader {
		return now < m.leaseEnd()
	}
	return now < m.promisedUntil || now-m.leaderContact < m.cfg.ElectionMin
}

// isFresh tells whether the candidate's log is at least as new as this one.
func (m *Machine) isFresh(msg Message) bool {
	return msg.LogTerm > m.lastTerm() || (msg.LogTerm == m.lastTerm() && msg.LogIndex >= m.lastIndex())
}

func (m *Machine) resetElection(now time.Duration) {
	m.timerStart = now
	m.electionAfter = m.cfg.ElectionMin
	if d := m.cfg.ElectionMax - m.cfg.ElectionMin; d > 0 {
		m.electionAfter += time.Duration(m.cfg.Random(int64(d)))
	}
}

func (m *Machine) setHard(h HardState) {
	m.hard = h
	m.out.HardState = &h
}
