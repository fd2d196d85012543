// Package raft implements the replicated log as a deterministic state machine. It performs no I/O: the caller
// feeds messages and the time in, and carries out the Effects in order.
package raft

import (
	"slices"
	"time"
)

// EntryKind tells what an entry carries.
type EntryKind string

const (
	// EntryNoop is committed by a new leader before it acts.
	EntryNoop EntryKind = "noop"
	// EntryCommand carries a command for the replicated state machine.
	EntryCommand EntryKind = "command"
	// EntryMembers carries a new member list, in force from the moment it is appended.
	EntryMembers EntryKind = "members"
)

// Entry is one record of the log.
type Entry struct {
	Index   uint64    `json:"index"`
	Term    uint64    `json:"term"`
	Kind    EntryKind `json:"kind"`
	Data    []byte    `json:"data,omitempty"`
	Members *Members  `json:"members,omitempty"`
}

// Member is one replica. ID belongs to the disk, not to the host: a lost disk returns under another ID.
type Member struct {
	ID      string `json:"id"`
	Host    string `json:"host"`
	Address string `json:"address"`
}

// Members is the configuration of the group.
type Members struct {
	Voters []Member `json:"voters"`
	// Learners receive the log but count in no majority.
	Learners []Member `json:"learners,omitempty"`
}

// IsVoter tells whether id is a voter.
func (m Members) IsVoter(id string) bool {
	return slices.ContainsFunc(m.Voters, func(v Member) bool { return v.ID == id })
}

// All returns voters and learners.
func (m Members) All() []Member {
	return slices.Concat(m.Voters, m.Learners)
}

// ByID returns the member with the identity id.
func (m Members) ByID(id string) (Member, bool) {
	for _, v := range m.All() {
		if v.ID == id {
			return v, true
		}
	}
	return Member{}, false
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// MessageType names a message between replicas.
type MessageType string

// Messages of elections, replication and catch-up.
const (
	MsgPreVote       MessageType = "pre_vote"
	MsgPreVoteReply  MessageType = "pre_vote_reply"
	MsgVote          MessageType = "vote"
	MsgVoteReply     MessageType = "vote_reply"
	MsgAppend        MessageType = "append"
	MsgAppendReply   MessageType = "append_reply"
	MsgSnapshot      MessageType = "snapshot"
	MsgSnapshotReply MessageType = "snapshot_reply"
)

// Message is exchanged between replicas. Fields that a type doesn't use are zero.
type Message struct {
	Type MessageType `json:"type"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// LogIndex and LogTerm describe the candidate's last entry or the entry before Entries.
	LogIndex uint64  `json:"log_index,omitempty"`
	LogTerm  uint64  `json:"log_term,omitempty"`
	Entries  []Entry `json:"entries,omitempty"`
	Commit   uint64  `json:"commit,omitempty"`
	Granted  bool    `json:"granted,omitempty"`
	// Match is the last index known to agree with the leader; on rejection, the highest index worth a try.
	Match uint64 `json:"match,omitempty"`
	// SentAt is the leader's clock at the send, echoed by replies. Leader leases count from it.
	SentAt   time.Duration `json:"sent_at,omitempty"`
	Snapshot *Snapshot     `json:"snapshot,omitempty"`
}

// Effects must be carried out in the order of the fields.
type Effects struct {
	// Restore replaces the log and the state machine; synced first.
	Restore *Snapshot
	// HardState and Entries are synced together. Entries replace any stored entry from Entries[0].Index on.
	HardState *HardState
	Entries   []Entry
	// Messages may be sent only after the sync.
	Messages []Message
	// Committed is applied in order, each entry once.
	Committed []Entry
}

// Empty tells whether there is nothing to do.
func (e Effects) Empty() bool {
	return e.Restore == nil && e.HardState == nil && len(e.Entries) == 0 && len(e.Messages) == 0 && len(e.Committed) == 0
}

// Role is the role of a replica.
type Role string

// Roles of a replica.
const (
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Config configures a Machine.
type Config struct {
	ID string
	// Members, Log, Hard and Snapshot are what the disk held at the start. Members is used only without a snapshot.
	Members   Members
	Log       []Entry
	HardState HardState
	Snapshot  *Snapshot
	// ElectionMin and ElectionMax bound the random election timeout; a vote is refused for ElectionMin after contact.
	ElectionMin time.Duration
	ElectionMax time.Duration
	Heartbeat   time.Duration
	// Random returns a number in [0, n).
	Random func(n int64) int64
	// Now is the time of the start, counted as leader contact.
	Now time.Duration
}
