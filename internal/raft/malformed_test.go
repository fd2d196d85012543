package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"baobabreach/internal/raft"

	"github.com/matryer/is"
)

// randomMessage returns a message whose fields need not fit together, as a damaged or foreign sender may send it.
func randomMessage(r *rand.Rand) raft.Message {
	types := []raft.MessageType{
		raft.MsgPreVote, raft.MsgPreVoteReply, raft.MsgVote, raft.MsgVoteReply, raft.MsgAppend, raft.MsgAppendReply,
		raft.MsgSnapshot, raft.MsgSnapshotReply, "unknown",
	}
	small := func() uint64 {
		if r.IntN(20) == 0 {
			return r.Uint64()
		}
		return r.Uint64N(8)
	}
	msg := raft.Message{
		Type: types[r.IntN(len(types))], From: string(rune('a' + r.IntN(4))), To: "a", Term: r.Uint64N(6), LogIndex: small(),
		LogTerm: r.Uint64N(6), Commit: small(), Granted: r.IntN(2) == 0, Match: small(),
		SentAt: time.Duration(r.Int64N(int64(5 * time.Second))),
	}
	for range r.IntN(4) {
		e := raft.Entry{Index: small(), Term: r.Uint64N(6), Data: []byte("x")}
		if r.IntN(2) == 0 {
			e.Index = msg.LogIndex + uint64(len(msg.Entries)) + 1
		}
		if r.IntN(4) == 0 {
			e.Kind = raft.EntryMembers
			if r.IntN(2) == 0 {
				e.Members = &raft.Members{}
			}
		}
		msg.Entries = append(msg.Entries, e)
	}
	if r.IntN(3) == 0 {
		msg.Snapshot = &raft.Snapshot{Index: small(), Term: r.Uint64N(6)}
	}
	return msg
}

// Guards against a malformed message of another replica that ends the process: a panic here would stop a replica, and
// after the same message every other one.
func TestMalformedMessagesDoNotPanic(t *testing.T) {
	is := is.New(t)
	const machines, messages = 300, 60
	leaders := 0
	for seed := range uint64(machines) {
		r := rand.New(rand.NewPCG(seed, 7))
		members := raft.Members{Voters: []raft.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
		if seed%2 == 0 {
			// Such a replica elects itself.
			members = raft.Members{Voters: members.Voters[:1], Learners: members.Voters[1:]}
		}
		m := raft.New(raft.Config{
			ID: "a", Members: members, ElectionMin: electionMin, ElectionMax: 2 * electionMin,
			Heartbeat: electionMin / 10,
			Random:    func(n int64) int64 { return r.Int64N(max(n, 1)) },
		})
		now := time.Duration(0)
		for range messages {
			now += time.Duration(r.Int64N(int64(electionMin)))
			m.Tick(now)
			msg := randomMessage(r)
			if r.IntN(2) == 0 {
				// Messages of the current term reach candidates and leaders.
				msg.Term = m.Term()
			}
			m.Step(now, msg)
			leaders += boolToInt(m.Role() == raft.RoleLeader)
			m.TakeEffects()
			m.MarkPersisted()
		}
	}
	is.True(leaders > machines)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
