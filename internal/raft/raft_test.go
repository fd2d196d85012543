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

const shards = 8

// Guards against two leaders with a lease, lost or changed acknowledged entries and logs that disagree.
func TestSchedules(t *testing.T) {
	for k, v := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		is.New(t).NoErr(flag.Set(k, v))
	}
	for shard := range shards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				s := schedules.Draw(t, "schedule")
				s.Seed = s.Seed*shards + uint64(shard)
				if err := run(s, defences{}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Guards against rules that no test would miss: with each defence taken out, the named seed must fail.
func TestDefencesMatter(t *testing.T) {
	const twoLeases, otherEntry = "both hold a lease", "was committed there"
	for name, c := range map[string]struct {
		out     defences
		seed    int
		failure string
	}{
		"sticky votes":     {defences{noSticky: true}, 70, twoLeases},
		"lease length":     {defences{longLease: true}, 53, twoLeases},
		"sync before send": {defences{noSync: true}, 25, otherEntry},
		"new identity":     {defences{sameIdentity: true}, 12, otherEntry},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := schedules.Example(c.seed)
			is.NoErr(run(s, defences{}))
			err := run(s, c.out)
			is.True(err != nil) // the schedule must fail without the defence
			is.True(strings.Contains(err.Error(), c.failure))
		})
	}
}

// Guards against a replica that is never caught up: the leader waited for a lost snapshot although a late reply had
// moved the replica back to the log, and ignored its rejections. Found by a soak run.
func TestSnapshotOvertakenByALateReply(t *testing.T) {
	is.New(t).NoErr(run(schedules.Example(20286186), defences{}))
}

// Guards against a commit of an earlier term's entry by counting replicas: a replica that holds it still votes for a
// candidate with a later term, which then replaces it. Random schedules did not find this within 4,000 runs.
func TestOwnTermOnly(t *testing.T) {
	is := is.New(t)
	start := func(id string, hard uint64) *raft.Machine {
		return raft.New(raft.Config{
			ID: id, Members: raft.Members{Voters: []raft.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}},
			Log: []raft.Entry{{Index: 1, Term: 2}}, HardState: raft.HardState{Term: hard}, ElectionMin: electionMin,
			ElectionMax: electionMin, Random: func(int64) int64 { return 0 },
		})
	}
	for _, anyTerm := range []bool{false, true} {
		a := start("a", 3)
		if anyTerm {
			a.WithAnyTerm()
		}
		a.Tick(time.Second)
		for _, k := range []raft.MessageType{raft.MsgPreVoteReply, raft.MsgVoteReply} {
			a.Step(time.Second, raft.Message{Type: k, From: "c", To: "a", Term: 4, Granted: true})
		}
		is.Equal(a.Role(), raft.RoleLeader)
		a.TakeEffects()
		a.MarkPersisted()
		a.Step(time.Second, raft.Message{Type: raft.MsgAppendReply, From: "c", To: "a", Term: 4, Granted: true, Match: 1})
		is.Equal(a.Commit() == 1, anyTerm)
	}
	c := start("c", 4)
	c.Step(time.Second, raft.Message{Type: raft.MsgVote, From: "b", To: "c", Term: 5, LogIndex: 1, LogTerm: 3})
	is.True(c.TakeEffects().Messages[0].Granted)
	c.Step(time.Second, raft.Message{
		Type: raft.MsgAppend, From: "b", To: "c", Term: 5, Entries: []raft.Entry{{Index: 1, Term: 3}},
	})
	is.Equal(c.EntriesAfterSnapshot()[0].Term, uint64(3))
}

// TestSoak runs fresh schedules for SOAK_SECONDS from SOAK_SEED on; see the soak target of the Makefile.
func TestSoak(t *testing.T) {
	first, err := strconv.Atoi(os.Getenv("SOAK_SEED"))
	if err != nil {
		t.Skip("SOAK_SEED is not set")
	}
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var next atomic.Int64
	var g sync.WaitGroup
	for range shards {
		g.Go(func() {
			for n := next.Add(1) - 1; n == 0 || time.Now().Before(end) && !t.Failed(); n = next.Add(1) - 1 {
				if err := run(schedules.Example(first+int(n)), defences{}); err != nil {
					t.Errorf("SEED=%d: %v", first+int(n), err)
				}
			}
		})
	}
	g.Wait()
	fmt.Printf("soak: %d schedules from SEED=%d\n", next.Load(), first)
}
