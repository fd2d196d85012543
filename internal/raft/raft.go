package raft

import (
	"slices"
	"time"

	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

const (
	// maxEntriesPerMessage bounds the size of an append message.
	maxEntriesPerMessage = 256
	// snapshotRetry is the time after which a snapshot without a reply is sent again. A snapshot of tens of
	// megabytes takes longer than a heartbeat to send, sync and confirm.
	snapshotRetry = 2 * time.Second
	// entryOverhead is about what an entry costs on the wire besides its data.
	entryOverhead = 64
)

// ErrNotLeader is returned by Propose on a replica that can't commit.
var ErrNotLeader = errors.New("not the leader")

// ErrChangePending is returned while an earlier change of members is not committed.
var ErrChangePending = errors.New("a change of members is pending")

type progress struct {
	next, match uint64
	// ackedAt is the latest SentAt that the replica echoed in this term.
	ackedAt time.Duration
	// retriedAt is the time of the last retry after a rejection.
	retriedAt time.Duration
	// snapshotIndex is that of a snapshot sent at snapshotAt and not confirmed yet, or 0.
	snapshotIndex uint64
	snapshotAt    time.Duration
}

// rules are the safety rules that tests replace to show that each of them is needed.
type rules struct {
	// refuses tells whether a vote or pre-vote must be refused, whatever the candidate's log.
	refuses func(m *Machine, now time.Duration) bool
	// commits tells whether an entry of term may be committed by counting replicas.
	commits func(m *Machine, term uint64) bool
	// leaseLength is the length of the leader lease from the send of the heartbeat, on the leader's clock.
	leaseLength time.Duration
	// batch is the largest number of entries in one message.
	batch uint64
}

// Machine is one replica. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	rules rules
	role  Role
	hard  HardState
	// baseIndex and baseTerm describe the entry before the first of log. They are at or before the snapshot:
	// entries that together are smaller than the snapshot are kept for replicas that lag a little.
	baseIndex, baseTerm uint64
	baseMembers         Members
	// changes holds the member lists of log in order; the last one is in force.
	changes  []change
	snapshot *Snapshot
	log      []Entry
	// taken is the last index handed out by Take; synced is the last one on disk. Only synced entries count for
	// the leader's own vote.
	taken, synced uint64
	commit        uint64
	delivered     uint64

	leader string
	// leaderContact is the time of the last message of a leader, or the start. It decides whether a vote is refused.
	leaderContact time.Duration
	// promisedUntil is the end of the lease that this replica held when it last stepped down. It counted itself in
	// the majority of that lease, and its caller may act by the lease for a moment after the step down.
	promisedUntil time.Duration
	// timerStart and electionAfter give the time of the next campaign.
	timerStart    time.Duration
	electionAfter time.Duration
	votes         map[string]bool
	preVote       bool
	peers         map[string]*progress
	lastBeat      time.Duration
	electedAt     time.Duration
	// unsent tells that entries were appended after the last broadcast; proposedAt is the time of the first one.
	unsent     bool
	proposedAt time.Duration
	// termStart is the index of the leader's own no-op entry.
	termStart uint64

	out Effects
}

// New returns a follower with what the disk held.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, role: RoleFollower, hard: cfg.HardState, baseMembers: cfg.Members}
	m.rules = rules{
		refuses: (*Machine).refusesElection, commits: func(m *Machine, term uint64) bool { return term == m.hard.Term },
		leaseLength: cfg.ElectionMin * 100 / (100 + proto.DriftMarginPercent), batch: maxEntriesPerMessage,
	}
	if s := cfg.Snapshot; s != nil {
		m.baseIndex, m.baseTerm, m.baseMembers = s.Index, s.Term, s.Members
		m.commit, m.delivered, m.snapshot = s.Index, s.Index, s
	}
	m.log = slices.Clone(cfg.Log)
	m.recordChanges(m.log)
	m.synced, m.taken = m.lastIndex(), m.lastIndex()
	m.leaderContact = cfg.Now
	m.resetElection(cfg.Now)
	return m
}

// Tick advances the time.
func (m *Machine) Tick(now time.Duration) {
	if m.role == RoleLeader {
		m.tickLeader(now)
		return
	}
	if m.mayCampaign() && now-m.timerStart >= m.electionAfter {
		m.campaign(now, true)
	}
}

// mayCampaign tells whether this replica is a voter. A removal that is not committed doesn't count: if this replica
// alone holds it, its log is the newest, and without its campaign nobody could be elected.
func (m *Machine) mayCampaign() bool {
	return m.Members().IsVoter(m.cfg.ID) || m.ChangePending() && m.membersAt(m.commit).IsVoter(m.cfg.ID)
}

func (m *Machine) tickLeader(now time.Duration) {
	at, ok := m.quorumAck()
	if !ok || at < m.electedAt {
		at = m.electedAt
	}
	if now-at >= m.cfg.ElectionMax {
		// A leader that hears no majority must stop its heartbeats: with a one-way cut they still arrive and would
		// keep the others from electing a leader that can commit.
		m.becomeFollower(now, m.hard.Term, "")
		return
	}
	if now-m.lastBeat >= m.cfg.Heartbeat {
		m.broadcast(now)
	}
}

// Propose appends an entry on the leader and returns its index.
func (m *Machine) Propose(now time.Duration, data []byte) (uint64, error) {
	if now >= m.LeaseUntil() {
		return 0, ErrNotLeader
	}
	e := m.appendOwn(Entry{Kind: EntryCommand, Data: data})
	m.markUnsent(now)
	return e.Index, nil
}

// ProposeMembers appends a new member list. It must differ by at most one voter from the present one, and a new
// voter must have been a learner that has synced every committed entry.
func (m *Machine) ProposeMembers(now time.Duration, members Members) (uint64, error) {
	if now >= m.LeaseUntil() {
		return 0, ErrNotLeader
	}
	if m.ChangePending() {
		return 0, ErrChangePending
	}
	if err := m.checkChange(members); err != nil {
		return 0, err
	}
	e := m.appendOwn(Entry{Kind: EntryMembers, Members: &members})
	m.markUnsent(now)
	return e.Index, nil
}

// markUnsent lets the next Take send the appended entries, so that a batch of proposals makes one message.
func (m *Machine) markUnsent(now time.Duration) {
	if !m.unsent {
		m.unsent, m.proposedAt = true, now
	}
}

// Step handles a message of another replica.
//
// A message for another identity is dropped: it was meant for a disk that this host has lost.
func (m *Machine) Step(now time.Duration, msg Message) {
	if msg.To != m.cfg.ID {
		return
	}
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
			// Without SentAt: the sender may lead a later term by now, possibly after a restart that reset its clock,
			// and must not take this as an acknowledgement of its present lease.
			m.send(Message{Type: MsgAppendReply, To: msg.From, Match: m.commit})
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

// TakeEffects returns the effects gathered since the last call.
func (m *Machine) TakeEffects() Effects {
	if m.unsent && m.role == RoleLeader {
		// The time of the oldest unsent proposal is at or before the send, so a lease that counts from it is not longer.
		m.broadcast(m.proposedAt)
	}
	for m.delivered < m.commit {
		m.delivered++
		m.out.Committed = append(m.out.Committed, m.entry(m.delivered))
	}
	m.taken = m.lastIndex()
	out := m.out
	m.out = Effects{}
	return out
}

// MarkPersisted tells that everything returned by Take so far is on disk.
func (m *Machine) MarkPersisted() {
	m.synced = m.taken
	if m.role == RoleLeader {
		m.advanceCommit(m.lastBeat)
	}
}

// Compact records that the state machine up to index is in a snapshot and drops the entries before it, except for
// as many as are together smaller than the snapshot: sending those is cheaper to a replica that lags a little.
func (m *Machine) Compact(index uint64, data []byte) (Snapshot, bool) {
	if index <= m.SnapshotIndex() || index > m.delivered {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: m.termAt(index), Members: m.membersAt(index), Data: data}
	m.snapshot = &s
	keep, size := index, 0
	for keep > m.baseIndex {
		size += len(m.entry(keep).Data) + entryOverhead
		if size > len(data) {
			break
		}
		keep--
	}
	members, term := m.membersAt(keep), m.termAt(keep)
	m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return c.index <= keep })
	m.log = slices.Clone(m.log[keep-m.baseIndex:])
	m.baseIndex, m.baseTerm, m.baseMembers = keep, term, members
	return s, true
}

// LeaseUntil returns the end of the leader lease, or 0 if the replica may not act as the leader: it does not lead,
// has not committed an entry of its own term, or lacks acknowledgements.
// The replica may act only while the time is before the result.
func (m *Machine) LeaseUntil() time.Duration {
	if !m.HasCommittedInTerm() {
		return 0
	}
	return m.leaseEnd()
}

func (m *Machine) leaseEnd() time.Duration {
	at, ok := m.quorumAck()
	if m.role != RoleLeader || !ok {
		return 0
	}
	return at + m.rules.leaseLength
}

// quorumAck returns the latest send time that a majority of the voters has acknowledged in this term.
func (m *Machine) quorumAck() (time.Duration, bool) {
	members := m.Members()
	acks := make([]time.Duration, 0, len(members.Voters))
	for _, v := range members.Voters {
		if p := m.peers[v.ID]; p != nil && p.ackedAt > 0 {
			acks = append(acks, p.ackedAt)
		}
	}
	need := len(members.Voters)/2 + 1
	if members.IsVoter(m.cfg.ID) {
		need--
	}
	if need == 0 {
		return m.lastBeat, true
	}
	if len(acks) < need {
		return 0, false
	}
	slices.Sort(acks)
	return acks[len(acks)-need], true
}

// HasCommittedInTerm tells whether the leader has committed an entry of its own term.
func (m *Machine) HasCommittedInTerm() bool {
	return m.role == RoleLeader && m.commit >= m.termStart
}

// Role returns the present role.
func (m *Machine) Role() Role { return m.role }

// Term returns the present term.
func (m *Machine) Term() uint64 { return m.hard.Term }

// Leader returns the identity of the leader of the present term, or "".
func (m *Machine) Leader() string { return m.leader }

// Commit returns the index of the last committed entry.
func (m *Machine) Commit() uint64 { return m.commit }

// LastIndex returns the index of the last entry of the log.
func (m *Machine) LastIndex() uint64 { return m.lastIndex() }

// EntriesAfterSnapshot returns the entries after the snapshot.
func (m *Machine) EntriesAfterSnapshot() []Entry {
	return slices.Clone(m.log[m.SnapshotIndex()-m.baseIndex:])
}

// SnapshotIndex returns the index of the last entry covered by the snapshot.
func (m *Machine) SnapshotIndex() uint64 {
	if m.snapshot == nil {
		return m.baseIndex
	}
	return m.snapshot.Index
}

// MatchIndex returns the last index that the replica is known to have on disk; on the leader only.
func (m *Machine) MatchIndex(id string) uint64 {
	if id == m.cfg.ID {
		return m.synced
	}
	if p := m.peers[id]; p != nil {
		return p.match
	}
	return 0
}
