package raft_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
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
	for name, c := range map[string]struct {
		out  defences
		seed int
	}{
		"sticky votes":     {defences{noSticky: true}, 0},
		"lease length":     {defences{longLease: true}, 0},
		"own term only":    {defences{anyTerm: true}, 0},
		"sync before send": {defences{noSync: true}, 0},
		"new identity":     {defences{sameIdentity: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := schedules.Example(c.seed)
			is.NoErr(run(s, defences{}))
			err := run(s, c.out)
			is.True(err != nil) // the schedule must fail without the defence
			t.Log(err)
		})
	}
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
