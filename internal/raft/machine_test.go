package raft_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/raft"
)

func newMachine(id string, term uint64, log ...raft.Entry) *raft.Machine {
	return raft.New(raft.Config{
		ID: id, Members: raft.Members{Voters: []raft.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, Log: log,
		HardState: raft.HardState{Term: term}, ElectionMin: electionMin, ElectionMax: electionMin,
		Heartbeat: 50 * time.Millisecond, Random: func(int64) int64 { return 0 },
	})
}

// Guards against a leader lease that starts at the echoed send time of a message from an older term. The random
// schedules did not find this fault.
func TestStaleTermReplyCarriesNoSendTime(t *testing.T) {
	m := newMachine("a", 5)
	m.Step(0, raft.Message{Type: raft.MsgAppend, From: "b", To: "a", Term: 4, SentAt: time.Hour})
	is.New(t).Equal(m.TakeEffects().Messages[0].SentAt, time.Duration(0))
}

// Guards against a delayed snapshot that drops acknowledged entries after it. The random schedules did not find this
// fault.
func TestSnapshotKeepsAgreeingTail(t *testing.T) {
	m := newMachine("a", 1, raft.Entry{Index: 1, Term: 1}, raft.Entry{Index: 2, Term: 1})
	m.Step(0, raft.Message{
		Type: raft.MsgSnapshot, From: "b", To: "a", Term: 1, Snapshot: &raft.Snapshot{Index: 1, Term: 1},
	})
	is := is.New(t)
	is.Equal(m.LastIndex(), uint64(2))
	is.True(m.TakeEffects().Restore == nil)
}

// Guards against a leader that receives no replies and whose heartbeats prevent the election of another leader. The
// random schedules did not find this fault, because they end with all network links restored.
func TestLeaderStepsDownWithoutReplies(t *testing.T) {
	m := newMachine("a", 1)
	m.Tick(time.Second)
	for _, msgType := range []raft.MessageType{raft.MsgPreVoteReply, raft.MsgVoteReply} {
		m.Step(time.Second, raft.Message{Type: msgType, From: "b", To: "a", Term: 2, Granted: true})
	}
	is := is.New(t)
	is.Equal(m.Role(), raft.RoleLeader)
	m.Tick(time.Second + electionMin)
	is.Equal(m.Role(), raft.RoleFollower)
}
