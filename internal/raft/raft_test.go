package raft_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabreach/internal/raft"
)

const shardCount = 8

// Guards against two leaders with overlapping leases, lost or changed acknowledged entries, and diverging logs.
func TestSchedules(t *testing.T) {
	for k, v := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		is.New(t).NoErr(flag.Set(k, v))
	}
	for shard := range shardCount {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				s := schedules.Draw(t, "schedule")
				s.Seed = s.Seed*shardCount + uint64(shard)
				if err := runSchedule(s, disabledSafeguards{}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Guards against safety rules that no test covers: with a safeguard disabled, the schedule of its seed must fail.
func TestDisabledSafeguardFails(t *testing.T) {
	const overlappingLeases, divergentCommit = "both hold a lease", "was committed there"
	for name, c := range map[string]struct {
		disabled disabledSafeguards
		seed     int
		failure  string
	}{
		"sticky votes":     {disabledSafeguards{noVoteRefusal: true}, 70, overlappingLeases},
		"lease length":     {disabledSafeguards{longLease: true}, 53, overlappingLeases},
		"sync before send": {disabledSafeguards{noSync: true}, 25, divergentCommit},
		"new identity":     {disabledSafeguards{reusedIdentity: true}, 12, divergentCommit},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := schedules.Example(c.seed)
			is.NoErr(runSchedule(s, disabledSafeguards{}))
			err := runSchedule(s, c.disabled)
			is.True(err != nil) // the schedule must fail with the safeguard disabled
			is.True(strings.Contains(err.Error(), c.failure))
		})
	}
}

// Guards against a replica that never catches up: after a delayed reply, the leader replicated from the log again but
// still waited for a lost snapshot and ignored the rejections from the replica. Found by a soak run.
func TestLateReplyEndsWaitForSnapshot(t *testing.T) {
	is.New(t).NoErr(runSchedule(schedules.Example(20286186), disabledSafeguards{}))
}

// Guards against committing an entry of an earlier term by counting replicas: a replica that has the entry still votes
// for a candidate whose last entry has a later term, and that candidate then replaces the entry. Random schedules did
// not find this fault within 4,000 runs.
func TestLeaderCommitsOnlyOwnTerm(t *testing.T) {
	is := is.New(t)
	newVoter := func(id string, term uint64) *raft.Machine {
		return raft.New(raft.Config{
			ID: id, Members: raft.Members{Voters: []raft.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}},
			Log: []raft.Entry{{Index: 1, Term: 2}}, HardState: raft.HardState{Term: term}, ElectionMin: electionMin,
			ElectionMax: electionMin, Random: func(int64) int64 { return 0 },
		})
	}
	for _, anyTerm := range []bool{false, true} {
		leader := newVoter("a", 3)
		if anyTerm {
			leader.AllowCommitOfAnyTerm()
		}
		leader.Tick(time.Second)
		for _, msgType := range []raft.MessageType{raft.MsgPreVoteReply, raft.MsgVoteReply} {
			leader.Step(time.Second, raft.Message{Type: msgType, From: "c", To: "a", Term: 4, Granted: true})
		}
		is.Equal(leader.Role(), raft.RoleLeader)
		leader.TakeEffects()
		leader.MarkPersisted()
		leader.Step(time.Second, raft.Message{Type: raft.MsgAppendReply, From: "c", To: "a", Term: 4, Granted: true, Match: 1})
		is.Equal(leader.CommitIndex() == 1, anyTerm)
	}
	voter := newVoter("c", 4)
	voter.Step(time.Second, raft.Message{Type: raft.MsgVote, From: "b", To: "c", Term: 5, LogIndex: 1, LogTerm: 3})
	is.True(voter.TakeEffects().Messages[0].Granted)
	voter.Step(time.Second, raft.Message{
		Type: raft.MsgAppend, From: "b", To: "c", Term: 5, Entries: []raft.Entry{{Index: 1, Term: 3}},
	})
	is.Equal(voter.EntriesAfterSnapshot()[0].Term, uint64(3))
}

// TestSoak runs schedules with consecutive seeds, starting at SOAK_SEED, for SOAK_SECONDS. See the soak target in the
// Makefile.
func TestSoak(t *testing.T) {
	firstSeed, err := strconv.Atoi(os.Getenv("SOAK_SEED"))
	if err != nil {
		t.Skip("SOAK_SEED is not set")
	}
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var next atomic.Int64
	var g sync.WaitGroup
	for range shardCount {
		g.Go(func() {
			for n := next.Add(1) - 1; n == 0 || time.Now().Before(end) && !t.Failed(); n = next.Add(1) - 1 {
				if err := runSchedule(schedules.Example(firstSeed+int(n)), disabledSafeguards{}); err != nil {
					t.Errorf("SEED=%d: %v", firstSeed+int(n), err)
				}
			}
		})
	}
	g.Wait()
	fmt.Printf("soak: %d schedules from SEED=%d\n", next.Load(), firstSeed)
}
