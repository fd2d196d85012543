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
	// snapshotRetryInterval is the time after which an unacknowledged snapshot is sent again. Sending, syncing and
	// acknowledging a snapshot of tens of megabytes takes longer than a heartbeat interval.
	snapshotRetryInterval = 2 * time.Second
	// entryOverheadBytes is the approximate encoded size of an entry without its data.
	entryOverheadBytes = 64
)

// ErrNotLeader is returned for proposals to a replica that does not hold the leader lease.
var ErrNotLeader = errors.New("not the leader")

// ErrChangePending is returned while an earlier membership change is not committed.
var ErrChangePending = errors.New("a membership change is pending")

// progress is the leader's view of the log of another replica.
type progress struct {
	nextIndex, matchIndex uint64
	// ackedSentAt is the latest SentAt that the replica has echoed in this term.
	ackedSentAt time.Duration
	// retriedAt is the time of the last resend after a rejected append.
	retriedAt time.Duration
	// snapshotIndex is the index of the snapshot that was sent at snapshotSentAt and is not acknowledged yet, or 0.
	snapshotIndex  uint64
	snapshotSentAt time.Duration
}

// rules holds the safety rules. Tests replace them one by one to show that each is needed.
type rules struct {
	// refusesVote reports whether votes and pre-votes must be refused regardless of the candidate's log.
	refusesVote func(m *Machine, now time.Duration) bool
	// mayCommit reports whether an entry of the given term may be committed by counting replicas.
	mayCommit func(m *Machine, term uint64) bool
	// leaseDuration is the duration of the leader lease on the leader's clock, counted from the time at which the
	// heartbeat was sent.
	leaseDuration time.Duration
	// maxBatchEntries is the maximum number of entries in an append message.
	maxBatchEntries uint64
}

// Machine is the state machine of one replica. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	rules     rules
	role      Role
	hardState HardState
	// baseIndex and baseTerm are the index and term of the entry before log[0]. They are at or before the snapshot:
	// compaction keeps recent entries that are together smaller than the snapshot, for slightly lagging replicas.
	baseIndex, baseTerm uint64
	baseMembers         Members
	// memberChanges holds the member lists in log, in log order. The last one is in force.
	memberChanges []memberChange
	snapshot      *Snapshot
	log           []Entry
	// takenIndex is the last index returned by TakeEffects; syncedIndex is the last one on disk. The leader counts only its
	// synced entries towards a majority.
	takenIndex, syncedIndex uint64
	commitIndex             uint64
	// deliveredIndex is the index of the last entry added to Effects.Committed or covered by a restored snapshot.
	deliveredIndex uint64

	leader string
	// lastLeaderContact is the time of the last message from a leader, initially the start time. Votes are refused for
	// ElectionMin after it.
	lastLeaderContact time.Duration
	// formerLeaseEnd is the end of the lease that this replica held when it last stepped down. The replica is part of
	// the majority that granted that lease, and the caller may rely on the lease for a moment after stepping down.
	formerLeaseEnd time.Duration
	// The next campaign is due at electionTimerStart plus electionTimeout.
	electionTimerStart time.Duration
	electionTimeout    time.Duration
	votes              map[string]bool
	preVote            bool
	peers              map[string]*progress
	lastHeartbeat      time.Duration
	electedAt          time.Duration
	// hasUnsent is set if entries were appended after the last broadcast; unsentSince is the time of the first of them.
	hasUnsent   bool
	unsentSince time.Duration
	// termStartIndex is the index of the no-op entry with which the leader starts its term.
	termStartIndex uint64

	effects Effects
}

// New returns a follower with the stored state in cfg.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, role: RoleFollower, hardState: cfg.HardState, baseMembers: cfg.Members}
	m.rules = rules{
		refusesVote: (*Machine).mustRefuseVote, mayCommit: func(m *Machine, term uint64) bool { return term == m.hardState.Term },
		leaseDuration: cfg.ElectionMin * 100 / (100 + proto.DriftMarginPercent), maxBatchEntries: maxEntriesPerMessage,
	}
	if s := cfg.Snapshot; s != nil {
		m.baseIndex, m.baseTerm, m.baseMembers = s.Index, s.Term, s.Members
		m.commitIndex, m.deliveredIndex, m.snapshot = s.Index, s.Index, s
	}
	m.log = slices.Clone(cfg.Log)
	m.recordMemberChanges(m.log)
	m.syncedIndex, m.takenIndex = m.lastIndex(), m.lastIndex()
	m.lastLeaderContact = cfg.Now
	m.resetElectionTimer(cfg.Now)
	return m
}

// Tick advances the clock and starts campaigns and heartbeats that are due.
func (m *Machine) Tick(now time.Duration) {
	if m.role == RoleLeader {
		m.tickLeader(now)
		return
	}
	if m.canCampaign() && now-m.electionTimerStart >= m.electionTimeout {
		m.campaign(now, true)
	}
}

// canCampaign reports whether this replica is a voter. An uncommitted removal is ignored: if no other replica has the
// removal in its log, this log is the most recent one, and nobody else could win an election.
func (m *Machine) canCampaign() bool {
	return m.Members().IsVoter(m.cfg.ID) || m.MemberChangePending() && m.membersAt(m.commitIndex).IsVoter(m.cfg.ID)
}

func (m *Machine) tickLeader(now time.Duration) {
	lastAck, ok := m.quorumAckTime()
	if !ok || lastAck < m.electedAt {
		lastAck = m.electedAt
	}
	if now-lastAck >= m.cfg.ElectionMax {
		// A leader without replies from a majority must stop its heartbeats: under a one-way network partition they
		// still arrive and would prevent the election of a leader that can commit.
		m.becomeFollower(now, m.hardState.Term, "")
		return
	}
	if now-m.lastHeartbeat >= m.cfg.Heartbeat {
		m.broadcast(now)
	}
}

// Propose appends a command on the leader and returns the index of its entry.
func (m *Machine) Propose(now time.Duration, data []byte) (uint64, error) {
	if now >= m.LeaseUntil() {
		return 0, ErrNotLeader
	}
	e := m.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	m.markUnsent(now)
	return e.Index, nil
}

// ProposeMembers appends a new member list. The list may differ from the current one by at most one voter, and a new
// voter must be a learner that has synced every committed entry.
func (m *Machine) ProposeMembers(now time.Duration, members Members) (uint64, error) {
	if now >= m.LeaseUntil() {
		return 0, ErrNotLeader
	}
	if m.MemberChangePending() {
		return 0, ErrChangePending
	}
	if err := m.validateChange(members); err != nil {
		return 0, err
	}
	e := m.appendAsLeader(Entry{Kind: EntryMembers, Members: &members})
	m.markUnsent(now)
	return e.Index, nil
}

// markUnsent makes the next TakeEffects send the appended entries, so that a batch of proposals is sent in one message.
func (m *Machine) markUnsent(now time.Duration) {
	if !m.hasUnsent {
		m.hasUnsent, m.unsentSince = true, now
	}
}

// Step handles a message from another replica.
//
// Messages to another ID are dropped: they are addressed to a disk that this host has lost.
func (m *Machine) Step(now time.Duration, msg Message) {
	if msg.To != m.cfg.ID || !m.isWellFormed(msg) {
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
	if msg.Term < m.hardState.Term {
		if msg.Type == MsgAppend || msg.Type == MsgSnapshot {
			// The reply has no SentAt: by now, the sender may be the leader of a later term, possibly after a restart
			// that reset its clock, and must not take the reply as an acknowledgement of its current lease.
			m.send(Message{Type: MsgAppendReply, To: msg.From, Match: m.commitIndex})
		}
		return
	}
	if msg.Term > m.hardState.Term {
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

// TakeEffects returns the effects accumulated since the last call.
func (m *Machine) TakeEffects() Effects {
	if m.hasUnsent && m.role == RoleLeader {
		// The oldest unsent proposal is not later than this broadcast, so counting the lease from it cannot extend it.
		m.broadcast(m.unsentSince)
	}
	for m.deliveredIndex < m.commitIndex {
		m.deliveredIndex++
		m.effects.Committed = append(m.effects.Committed, m.entry(m.deliveredIndex))
	}
	m.takenIndex = m.lastIndex()
	effects := m.effects
	m.effects = Effects{}
	return effects
}

// MarkPersisted records that everything returned by TakeEffects so far is on disk.
func (m *Machine) MarkPersisted() {
	m.syncedIndex = m.takenIndex
	if m.role == RoleLeader {
		m.advanceCommit(m.lastHeartbeat)
	}
}

// Compact makes data the snapshot of the replicated state machine at index and drops the entries it covers, except
// the last ones that are together no larger than the snapshot: sending those to a slightly lagging replica is cheaper
// than sending the snapshot.
func (m *Machine) Compact(index uint64, data []byte) (Snapshot, bool) {
	if index <= m.SnapshotIndex() || index > m.deliveredIndex {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: m.termAt(index), Members: m.membersAt(index), Data: data}
	m.snapshot = &s
	base, size := index, 0
	for base > m.baseIndex {
		size += len(m.entry(base).Data) + entryOverheadBytes
		if size > len(data) {
			break
		}
		base--
	}
	members, term := m.membersAt(base), m.termAt(base)
	m.memberChanges = slices.DeleteFunc(m.memberChanges, func(c memberChange) bool { return c.index <= base })
	m.log = slices.Clone(m.log[base-m.baseIndex:])
	m.baseIndex, m.baseTerm, m.baseMembers = base, term, members
	return s, true
}

// LeaseUntil returns the end of the leader lease. It returns 0 if the replica may not act as the leader because it is
// not the leader, has not committed an entry of its own term, or lacks acknowledgements from a majority.
// The replica may act as the leader only before the returned time.
func (m *Machine) LeaseUntil() time.Duration {
	if !m.HasCommittedInTerm() {
		return 0
	}
	return m.leaseEnd()
}

func (m *Machine) leaseEnd() time.Duration {
	sentAt, ok := m.quorumAckTime()
	if m.role != RoleLeader || !ok {
		return 0
	}
	return sentAt + m.rules.leaseDuration
}

// quorumAckTime returns the latest send time acknowledged by a majority of the voters in this term, and false if there
// is none.
func (m *Machine) quorumAckTime() (time.Duration, bool) {
	members := m.Members()
	acks := make([]time.Duration, 0, len(members.Voters))
	for _, v := range members.Voters {
		if p := m.peers[v.ID]; p != nil && p.ackedSentAt > 0 {
			acks = append(acks, p.ackedSentAt)
		}
	}
	required := len(members.Voters)/2 + 1
	if members.IsVoter(m.cfg.ID) {
		required--
	}
	if required == 0 {
		return m.lastHeartbeat, true
	}
	if len(acks) < required {
		return 0, false
	}
	slices.Sort(acks)
	return acks[len(acks)-required], true
}

// HasCommittedInTerm reports whether this replica is the leader and has committed an entry of its own term.
func (m *Machine) HasCommittedInTerm() bool {
	return m.role == RoleLeader && m.commitIndex >= m.termStartIndex
}

// Role returns the current role. A leader may act as such only before LeaseUntil.
func (m *Machine) Role() Role { return m.role }

// Term returns the replica's current term, which never decreases.
func (m *Machine) Term() uint64 { return m.hardState.Term }

// Leader returns the ID of the leader of the current term, or "" if it is unknown.
func (m *Machine) Leader() string { return m.leader }

// CommitIndex returns the index of the last committed entry.
func (m *Machine) CommitIndex() uint64 { return m.commitIndex }

// LastIndex returns the index of the last entry in the log.
func (m *Machine) LastIndex() uint64 { return m.lastIndex() }

// EntriesAfterSnapshot returns a copy of the log after the snapshot, including uncommitted entries.
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

// MatchIndex returns the last index that the replica is known to have on disk. It is valid only on the leader.
func (m *Machine) MatchIndex(id string) uint64 {
	if id == m.cfg.ID {
		return m.syncedIndex
	}
	if p := m.peers[id]; p != nil {
		return p.matchIndex
	}
	return 0
}
