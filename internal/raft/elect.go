package raft

import "time"

func (m *Machine) campaign(now time.Duration, preVote bool) {
	m.preVote = preVote
	m.role = RoleCandidate
	m.leader = ""
	m.resetElectionTimer(now)
	m.votes = map[string]bool{m.cfg.ID: true}
	msgType, term := MsgPreVote, m.hardState.Term+1
	if !preVote {
		msgType = MsgVote
		m.setHardState(HardState{Term: term, Vote: m.cfg.ID})
	}
	for _, v := range m.Members().Voters {
		if v.ID != m.cfg.ID {
			m.sendInTerm(term, Message{Type: msgType, To: v.ID, LogIndex: m.lastIndex(), LogTerm: m.lastTerm()})
		}
	}
	m.countVotes(now)
}

func (m *Machine) onPreVote(now time.Duration, msg Message) {
	if m.rules.refusesVote(m, now) {
		return
	}
	if msg.Term <= m.hardState.Term || !m.isUpToDate(msg) {
		m.send(Message{Type: MsgPreVoteReply, To: msg.From})
		return
	}
	m.sendInTerm(msg.Term, Message{Type: MsgPreVoteReply, To: msg.From, Granted: true})
}

func (m *Machine) onVote(now time.Duration, msg Message) {
	if m.rules.refusesVote(m, now) {
		return
	}
	if msg.Term > m.hardState.Term {
		m.becomeFollower(now, msg.Term, "")
	}
	granted := msg.Term == m.hardState.Term && m.isUpToDate(msg) && (m.hardState.Vote == "" || m.hardState.Vote == msg.From)
	if granted && m.hardState.Vote == "" {
		m.setHardState(HardState{Term: m.hardState.Term, Vote: msg.From})
		m.resetElectionTimer(now)
	}
	m.send(Message{Type: MsgVoteReply, To: msg.From, Granted: granted})
}

func (m *Machine) onPreVoteReply(now time.Duration, msg Message) {
	if !msg.Granted {
		if msg.Term > m.hardState.Term {
			m.becomeFollower(now, msg.Term, "")
		}
		return
	}
	if m.role == RoleCandidate && m.preVote && msg.Term == m.hardState.Term+1 {
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

// countVotes starts the election after a won pre-vote, and makes the candidate the leader after a won vote.
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
	m.termStartIndex = m.appendAsLeader(Entry{Kind: EntryNoop}).Index
	m.broadcast(now)
}

func (m *Machine) becomeFollower(now time.Duration, term uint64, leader string) {
	if m.role == RoleLeader {
		m.formerLeaseEnd = max(m.formerLeaseEnd, m.leaseEnd())
		m.resetElectionTimer(now)
	}
	if term > m.hardState.Term {
		m.setHardState(HardState{Term: term})
	}
	m.role = RoleFollower
	m.leader = leader
	m.peers = nil
}

// mustRefuseVote reports whether a leader may still hold a lease that this replica helped to grant.
func (m *Machine) mustRefuseVote(now time.Duration) bool {
	if m.role == RoleLeader {
		return now < m.leaseEnd()
	}
	return now < m.formerLeaseEnd || now-m.lastLeaderContact < m.cfg.ElectionMin
}

// isUpToDate reports whether the candidate's log is at least as up to date as this replica's log.
func (m *Machine) isUpToDate(msg Message) bool {
	return msg.LogTerm > m.lastTerm() || (msg.LogTerm == m.lastTerm() && msg.LogIndex >= m.lastIndex())
}

func (m *Machine) resetElectionTimer(now time.Duration) {
	m.electionTimerStart = now
	m.electionTimeout = m.cfg.ElectionMin
	if spread := m.cfg.ElectionMax - m.cfg.ElectionMin; spread > 0 {
		m.electionTimeout += time.Duration(m.cfg.Random(int64(spread)))
	}
}

func (m *Machine) setHardState(h HardState) {
	m.hardState = h
	m.effects.HardState = &h
}
