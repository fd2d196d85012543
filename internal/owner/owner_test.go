package owner_test

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"baobabreach/internal/owner"
)

const (
	warmUp    = 1500 * ms
	faultTime = 4 * time.Second
	settling  = 16 * time.Second
	// settleTries bounds the further seconds: merges of former hot keys run one after another, and each waits for the
	// longest request on its parts.
	settleTries = 10
)

// play runs one generated schedule of faults and returns the simulation with the first violation in err.
func play(seed uint64, without string, settle bool) *sim {
	s := newSim(seed, without)
	s.run(warmUp)
	s.faults = true
	for at := time.Duration(0); at < faultTime && s.err == nil; at += time.Duration(s.r.IntN(400)) * ms {
		s.run(warmUp + at)
		s.schedule()
	}
	if settle && s.err == nil {
		s.faults = false
		s.every(func() time.Duration { s.confirmLosses(); return 3 * time.Second })
		s.run(warmUp + faultTime + settling)
		s.settle()
	}
	return s
}

// settle checks that the assignment comes to rest.
func (s *sim) settle() {
	for range settleTries {
		if s.err != nil {
			return
		}
		at := s.now
		if s.checkSettled(); s.err == nil {
			return
		}
		last := s.err
		s.err = nil
		if s.run(at + time.Second); s.err == nil && s.now >= warmUp+faultTime+settling+settleTries*time.Second {
			s.err = last
		}
	}
}

// Guards against two owners of a key, assignments that revert and gaps in the space, under generated faults.
func TestOwnershipIsExclusive(t *testing.T) {
	const schedules, groups = 2000, 10
	var splits atomic.Int64
	// The schedules keep little and allocate much, so a larger heap saves a good part of the processor time.
	gc := debug.SetGCPercent(400)
	t.Cleanup(func() {
		debug.SetGCPercent(gc)
		if splits.Load() == 0 {
			t.Error("no schedule split a range")
		}
	})
	for g := range uint64(groups) {
		t.Run(fmt.Sprint(g), func(t *testing.T) {
			t.Parallel()
			for seed := g; seed < schedules; seed += groups {
				s := play(seed, "", seed%(20*groups) < groups)
				if s.err != nil {
					t.Fatalf("seed %d: %v", seed, s.err)
				}
				splits.Add(int64(s.splits))
			}
		})
	}
}

// Runs further schedules for SOAK_SECONDS from SOAK_SEED on.
func TestSoakOwnership(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	if seconds == 0 {
		t.Skip("SOAK_SECONDS is not set")
	}
	seed, _ := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	n := 0
	for ; time.Now().Before(end); seed++ {
		if s := play(seed, "", true); s.err != nil {
			t.Fatalf("seed %d: %v", seed, s.err)
		}
		n++
	}
	t.Logf("%d schedules, next seed %d", n, seed)
}

// playSilent drains an upstream that falls silent at the same moment, so that it keeps its grant to the end while
// the leader only waits for that end.
func playSilent(seed uint64, without string) *sim {
	s := newSim(seed, without)
	s.lossless = true
	s.run(warmUp + time.Duration(s.r.IntN(200))*ms)
	s.drained["u0"] = true
	s.procs[0].silent = true
	s.run(warmUp + 1300*ms)
	return s
}

// Guards against defences that no schedule needs, and against schedules too weak to show that they are needed: each
// named seed finds a second owner without the defence and none with it.
func TestEachDefenceIsNeeded(t *testing.T) {
	faults := func(seed uint64, without string) *sim { return play(seed, without, false) }
	for _, d := range []struct {
		name string
		play func(uint64, string) *sim
		seed uint64
	}{
		{owner.DefenceMargin, playSilent, 3262},
		{owner.DefenceGrant, faults, 0},
		{owner.DefenceRoutes, faults, 21},
		{owner.DefencePredecessor, faults, 3},
		{withoutOrder, faults, 9},
	} {
		t.Run(d.name, func(t *testing.T) {
			if s := d.play(d.seed, ""); s.err != nil {
				t.Fatalf("with all defences: %v", s.err)
			}
			s := d.play(d.seed, d.name)
			if s.err == nil {
				t.Fatal("no violation without the defence")
			}
			t.Log(s.err)
		})
	}
}
