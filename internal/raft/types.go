// Package raft implements the Raft replicated log as a deterministic state machine. It performs no I/O: the caller
// passes in messages and the time, and carries out the returned Effects in order.
package raft

import (
	"slices"
	"time"
)

// EntryKind determines which of Data and Members an entry carries.
type EntryKind string

const (
	// EntryNoop is committed by a new leader before it acts as the leader.
	EntryNoop EntryKind = "noop"
	// EntryCommand carries a command for the replicated state machine.
	EntryCommand EntryKind = "command"
	// EntryMembers carries a new member list, which takes effect as soon as it is appended.
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

// Member is one replica. ID identifies the disk, not the host: a replacement for a lost disk has another ID.
type Member struct {
	ID      string `json:"id"`
	Host    string `json:"host"`
	Address string `json:"address"`
	// DataCentre is empty in groups whose voters are not spread over data centres.
	DataCentre string `json:"data_centre,omitempty"`
}

// Members is the configuration of the group.
type Members struct {
	Voters []Member `json:"voters"`
	// Learners receive the log but are not counted in majorities.
	Learners []Member `json:"learners,omitempty"`
}

// IsVoter reports whether the member with the given ID is a voter. It returns false for learners.
func (m Members) IsVoter(id string) bool {
	return slices.ContainsFunc(m.Voters, func(v Member) bool { return v.ID == id })
}

// All returns the voters followed by the learners.
func (m Members) All() []Member {
	return slices.Concat(m.Voters, m.Learners)
}

// ByID returns the voter or learner with the given ID, and false if there is none.
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

// MessageType determines how a replica handles a Message and which of its fields are used.
type MessageType string

// Message types for elections, replication and catching up by snapshot.
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

// Message is a message between replicas. Fields that are not used by its type are zero.
type Message struct {
	Type MessageType `json:"type"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// LogIndex and LogTerm are the index and term of the candidate's last entry, or of the entry before Entries.
	LogIndex uint64  `json:"log_index,omitempty"`
	LogTerm  uint64  `json:"log_term,omitempty"`
	Entries  []Entry `json:"entries,omitempty"`
	Commit   uint64  `json:"commit,omitempty"`
	Granted  bool    `json:"granted,omitempty"`
	// Match is the last index known to match the leader's log. In a rejection, it is the highest index that may match.
	Match uint64 `json:"match,omitempty"`
	// SentAt is the leader's clock when it sent the message, and is echoed in replies. Leader leases start at it.
	SentAt   time.Duration `json:"sent_at,omitempty"`
	Snapshot *Snapshot     `json:"snapshot,omitempty"`
}

// Effects are the actions for the caller, which must carry them out in the order of the fields.
type Effects struct {
	// Restore replaces the log and the replicated state machine. It is synced first.
	Restore *Snapshot
	// HardState and Entries are synced together. Entries replace all stored entries from Entries[0].Index on.
	HardState *HardState
	Entries   []Entry
	// Messages may be sent only after the sync.
	Messages []Message
	// Committed entries are applied in order, each exactly once.
	Committed []Entry
}

// Empty reports whether there is nothing to carry out.
func (e Effects) Empty() bool {
	return e.Restore == nil && e.HardState == nil && len(e.Entries) == 0 && len(e.Messages) == 0 && len(e.Committed) == 0
}

// Role is the part that a replica currently plays in elections and replication.
type Role string

// A follower accepts entries from the leader, a candidate is running a pre-vote or a vote, and a leader appends entries
// and replicates them.
const (
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Config configures a Machine.
type Config struct {
	ID string
	// Members, Log, HardState and Snapshot are the state stored on disk. Members is used only if there is no snapshot.
	Members   Members
	Log       []Entry
	HardState HardState
	Snapshot  *Snapshot
	// ElectionMin and ElectionMax bound the random election timeout. Votes are refused for ElectionMin after the last
	// message from a leader.
	ElectionMin time.Duration
	ElectionMax time.Duration
	Heartbeat   time.Duration
	// Random returns a random number in [0, n).
	Random func(n int64) int64
	// Now is the start time. It counts as the time of the last message from a leader.
	Now time.Duration
}
