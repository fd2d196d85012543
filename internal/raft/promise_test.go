package raft_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/raft"
)

// Guards against two leaders with a lease: a leader counts itself in the majority that backs its lease, so once it has
// stepped down it must still refuse votes until the lease would have ended.
func TestFormerLeaderKeepsItsPromise(t *testing.T) {
	is := is.New(t)
	const now = 400 * time.Millisecond
	m := raft.New(raft.Config{
		ID: "a", Members: raft.Members{Voters: []raft.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}},
		ElectionMin: electionMin, ElectionMax: electionMin, Heartbeat: electionMin / 6,
		Random: func(int64) int64 { return 0 },
	})
	deliver := func(at time.Duration, msg raft.Message) raft.Effects {
		msg.To = "a"
		m.Step(at, msg)
		e := m.TakeEffects()
		m.MarkPersisted()
		return e
	}
	m.Tick(now)
	deliver(now, raft.Message{Type: raft.MsgPreVoteReply, From: "b", Term: 1, Granted: true})
	deliver(now, raft.Message{Type: raft.MsgVoteReply, From: "b", Term: 1, Granted: true})
	deliver(now, raft.Message{Type: raft.MsgAppendReply, From: "b", Term: 1, Granted: true, Match: 1, SentAt: now})
	lease := m.LeaseUntil()
	is.True(lease > now)

	deliver(now, raft.Message{Type: raft.MsgAppendReply, From: "c", Term: 5})
	is.Equal(m.Role(), raft.RoleFollower)
	vote := raft.Message{Type: raft.MsgVote, From: "c", Term: 6, LogIndex: 9, LogTerm: 5}
	is.Equal(len(deliver(lease-1, vote).Messages), 0)
	granted := deliver(lease, vote).Messages
	is.Equal(len(granted), 1)
	is.True(granted[0].Granted)
}
