package raft_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/raft"
)

func machine(id string, term uint64, log ...raft.Entry) *raft.Machine {
	return raft.New(raft.Config{
		ID: id, Members: raft.Members{Voters: []raft.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, Log: log,
		HardState: raft.HardState{Term: term}, ElectionMin: electionMin, ElectionMax: electionMin,
		Heartbeat: 50 * time.Millisecond, Random: func(int64) int64 { return 0 },
	})
}

// Guards against a lease that starts at the echo of a message of an older term. The schedules did not find it.
func TestStaleTermReplyCarriesNoSendTime(t *testing.T) {
	m := machine("a", 5)
	m.Step(0, raft.Message{Type: raft.MsgAppend, From: "b", To: "a", Term: 4, SentAt: time.Hour})
	is.New(t).Equal(m.TakeEffects().Messages[0].SentAt, time.Duration(0))
}

// Guards against a late snapshot that drops acknowledged entries after it. The schedules did not find it.
func TestSnapshotKeepsAgreeingTail(t *testing.T) {
	m := machine("a", 1, raft.Entry{Index: 1, Term: 1}, raft.Entry{Index: 2, Term: 1})
	m.Step(0, raft.Message{
		Type: raft.MsgSnapshot, From: "b", To: "a", Term: 1, Snapshot: &raft.Snapshot{Index: 1, Term: 1},
	})
	is := is.New(t)
	is.Equal(m.LastIndex(), uint64(2))
	is.True(m.TakeEffects().Restore == nil)
}

// Guards against a leader that hears nobody and whose heartbeats keep the others from electing another one. The
// schedules did not find it, because they end with all cuts healed.
func TestLeaderStepsDownWithoutReplies(t *testing.T) {
	m := machine("a", 1)
	m.Tick(time.Second)
	for _, k := range []raft.MessageType{raft.MsgPreVoteReply, raft.MsgVoteReply} {
		m.Step(time.Second, raft.Message{Type: k, From: "b", To: "a", Term: 2, Granted: true})
	}
	is := is.New(t)
	is.Equal(m.Role(), raft.RoleLeader)
	m.Tick(time.Second + electionMin)
	is.Equal(m.Role(), raft.RoleFollower)
}
