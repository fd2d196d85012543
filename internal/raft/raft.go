package raft

import (
	"slices"
	"time"

	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// maxEntriesPerMessage bounds the size of an append message.
const maxEntriesPerMessage = 256

// ErrNotLeader is returned by Propose on a replica that can't commit.
var ErrNotLeader = errors.New("not the leader")

// ErrChangePending is returned while an earlier change of members is not committed.
var ErrChangePending = errors.New("a change of members is pending")

type progress struct {
	next, match uint64
	// ackedAt is the latest SentAt that the replica echoed in this term.
	ackedAt time.Duration
}

// Machine is one replica. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	role    Role
	hard    HardState
	members Members
	// baseIndex and baseTerm describe the last entry covered by the snapshot; log starts right after it.
	baseIndex, baseTerm uint64
	baseMembers         Members
	snapshot            *Snapshot
	log                 []Entry
	// synced is the last index on disk; only synced entries count for the leader's own vote.
	synced    uint64
	commit    uint64
	delivered uint64

	leader string
	// leaderContact is the time of the last message of a leader, or the start. It decides whether a vote is refused.
	leaderContact time.Duration
	// timerStart and electionAfter give the time of the next campaign.
	timerStart    time.Duration
	electionAfter time.Duration
	votes         map[string]bool
	preVote       bool
	peers         map[string]*progress
	lastBeat      time.Duration
	// termStart is the index of the leader's own no-op entry.
	termStart uint64

	out Effects
}

// New returns a follower with what the disk held.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, role: RoleFollower, hard: cfg.Hard, members: cfg.Members, baseMembers: cfg.Members}
	if s := cfg.Snapshot; s != nil {
		m.baseIndex, m.baseTerm, m.members, m.baseMembers = s.Index, s.Term, s.Members, s.Members
		m.commit, m.delivered, m.snapshot = s.Index, s.Index, s
	}
	m.log = slices.Clone(cfg.Log)
	m.synced = m.lastIndex()
	m.reloadMembers()
	m.leaderContact = cfg.Now
	m.resetElection(cfg.Now)
	return m
}

// Tick advances the time.
func (m *Machine) Tick(now time.Duration) {
	if m.role == RoleLeader {
		if now-m.lastBeat >= m.cfg.Heartbeat {
			m.broadcast(now)
		}
		return
	}
	if m.members.IsVoter(m.cfg.ID) && now-m.timerStart >= m.electionAfter {
		m.campaign(now, true)
	}
}

// Propose appends an entry on the leader and returns its index.
func (m *Machine) Propose(now time.Duration, data []byte) (uint64, error) {
	if m.role != RoleLeader || now >= m.LeaseUntil() {
		return 0, ErrNotLeader
	}
	e := m.appendOwn(Entry{Kind: EntryCommand, Data: data})
	m.broadcast(now)
	return e.Index, nil
}

// ProposeMembers appends a new member list. It must differ by at most one voter from the present one.
func (m *Machine) ProposeMembers(now time.Duration, members Members) (uint64, error) {
	if m.role != RoleLeader || now >= m.LeaseUntil() {
		return 0, ErrNotLeader
	}
	if m.commit < m.termStart || m.membersIndex() > m.commit {
		return 0, ErrChangePending
	}
	if voterDistance(m.members, members) > 1 {
		return 0, errors.New("members must change by one voter at a time")
	}
	e := m.appendOwn(Entry{Kind: EntryMembers, Members: &members})
	m.reloadMembers()
	m.broadcast(now)
	return e.Index, nil
}

// Step handles a message of another replica.
func (m *Machine) Step(now time.Duration, msg Message) {
	switch msg.Type {
	case MsgPreVote:
		m.onPreVote(now, msg)
		return
	case MsgVote:
		m.onVote(now, msg)
		return
	case MsgPreVoteReply:
		m.onPreVoteReply(now, msg)
		return
	}
	if msg.Term < m.hard.Term {
		if msg.Type == MsgAppend || msg.Type == MsgSnapshot {
			m.send(Message{Type: MsgAppendReply, To: msg.From, Match: m.lastIndex(), SentAt: msg.SentAt})
		}
		return
	}
	if msg.Term > m.hard.Term {
		m.becomeFollower(now, msg.Term, "")
	}
	switch msg.Type {
	case MsgVoteReply:
		m.onVoteReply(now, msg)
	case MsgAppend:
		m.onAppend(now, msg)
	case MsgAppendReply:
		m.onAppendReply(now, msg)
	case MsgSnapshot:
		m.onSnapshot(now, msg)
	case MsgSnapshotReply:
		m.onSnapshotReply(now, msg)
	}
}

// Take returns the effects gathered since the last call.
func (m *Machine) Take() Effects {
	for m.delivered < m.commit {
		m.delivered++
		m.out.Committed = append(m.out.Committed, m.entry(m.delivered))
	}
	out := m.out
	m.out = Effects{}
	return out
}

// Persisted tells that everything returned by Take so far is on disk.
func (m *Machine) Persisted() {
	if len(m.out.Entries) > 0 {
		m.synced = m.out.Entries[0].Index - 1
	} else {
		m.synced = m.lastIndex()
	}
	if m.role == RoleLeader {
		m.advanceCommit()
	}
}

// Compact records that the state machine up to index is in a snapshot and drops those entries.
func (m *Machine) Compact(index uint64, data []byte) (Snapshot, bool) {
	if index <= m.baseIndex || index > m.delivered {
		return Snapshot{}, false
	}
	members := m.membersAt(index)
	s := Snapshot{Index: index, Term: m.termAt(index), Members: members, Data: data}
	m.log = slices.Clone(m.log[index-m.baseIndex:])
	m.baseIndex, m.baseTerm, m.baseMembers, m.snapshot = s.Index, s.Term, members, &s
	return s, true
}

// LeaseUntil returns the end of the leader lease, or 0 if the replica may not act as the leader.
// The replica may act only while the time is before the result.
func (m *Machine) LeaseUntil() time.Duration {
	if m.role != RoleLeader {
		return 0
	}
	acks := make([]time.Duration, 0, len(m.members.Voters))
	for _, v := range m.members.Voters {
		if v.ID == m.cfg.ID {
			continue
		}
		if p := m.peers[v.ID]; p != nil {
			acks = append(acks, p.ackedAt)
		}
	}
	need := len(m.members.Voters)/2 + 1
	if m.members.IsVoter(m.cfg.ID) {
		need--
	}
	length := m.cfg.ElectionMin * 100 / (100 + proto.DriftMarginPercent)
	if need == 0 {
		return m.lastBeat + length
	}
	if len(acks) < need {
		return 0
	}
	slices.Sort(acks)
	at := acks[len(acks)-need]
	if at == 0 {
		return 0
	}
	return at + length
}

// Ready tells whether the leader has committed an entry of its own term.
func (m *Machine) Ready() bool {
	return m.role == RoleLeader && m.commit >= m.termStart
}

// Role returns the present role.
func (m *Machine) Role() Role { return m.role }

// Term returns the present term.
func (m *Machine) Term() uint64 { return m.hard.Term }

// Leader returns the identity of the leader of the present term, or "".
func (m *Machine) Leader() string { return m.leader }

// Members returns the present member list.
func (m *Machine) Members() Members { return m.members }

// Commit returns the index of the last committed entry.
func (m *Machine) Commit() uint64 { return m.commit }

// LastIndex returns the index of the last entry of the log.
func (m *Machine) LastIndex() uint64 { return m.lastIndex() }

// Tail returns the entries after the snapshot.
func (m *Machine) Tail() []Entry { return slices.Clone(m.log) }

// BaseIndex returns the index of the last entry covered by the snapshot.
func (m *Machine) BaseIndex() uint64 { return m.baseIndex }

// MatchOf returns the last index that the replica is known to have on disk; on the leader only.
func (m *Machine) MatchOf(id string) uint64 {
	if id == m.cfg.ID {
		return m.synced
	}
	if p := m.peers[id]; p != nil {
		return p.match
	}
	return 0
}
