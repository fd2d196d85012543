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
	warmUp       = 1500 * ms
	faultTime    = 4 * time.Second
	convergeTime = 16 * time.Second
	// convergeRetries limits the additional seconds for convergence: merges of former hot keys run one after another,
	// and each waits for the longest request on its parts.
	convergeRetries = 10
)

// runSchedule runs one generated schedule of faults and returns the simulation with the first violation in err.
func runSchedule(seed uint64, disabled string, converge bool) *sim {
	s := newSim(seed, disabled)
	s.run(warmUp)
	s.faultsEnabled = true
	for at := time.Duration(0); at < faultTime && s.err == nil; at += time.Duration(s.r.IntN(400)) * ms {
		s.run(warmUp + at)
		s.injectFault()
	}
	if converge && s.err == nil {
		s.faultsEnabled = false
		s.every(func() time.Duration { s.confirmLosses(); return 3 * time.Second })
		s.run(warmUp + faultTime + convergeTime)
		s.awaitConvergence()
	}
	return s
}

// awaitConvergence runs the simulation until checkConverged passes and sets err if it does not in time.
func (s *sim) awaitConvergence() {
	for range convergeRetries {
		if s.err != nil {
			return
		}
		at := s.now
		if s.checkConverged(); s.err == nil {
			return
		}
		last := s.err
		s.err = nil
		if s.run(at + time.Second); s.err == nil && s.now >= warmUp+faultTime+convergeTime+convergeRetries*time.Second {
			s.err = last
		}
	}
}

// Guards against two owners of a key, assignments that revert and gaps in the hash space, under generated faults.
func TestOwnershipIsExclusive(t *testing.T) {
	const schedules, groups = 2000, 10
	var splits atomic.Int64
	// The schedules keep little memory and allocate much, so a larger heap saves much of the processor time.
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
				s := runSchedule(seed, "", seed%(20*groups) < groups)
				if s.err != nil {
					t.Fatalf("seed %d: %v", seed, s.err)
				}
				splits.Add(int64(s.splits))
			}
		})
	}
}

// Runs further schedules for SOAK_SECONDS, starting with the seed SOAK_SEED.
func TestSoakOwnership(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	if seconds == 0 {
		t.Skip("SOAK_SECONDS is not set")
	}
	seed, _ := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	n := 0
	for ; time.Now().Before(end); seed++ {
		if s := runSchedule(seed, "", true); s.err != nil {
			t.Fatalf("seed %d: %v", seed, s.err)
		}
		n++
	}
	t.Logf("%d schedules, next seed %d", n, seed)
}

// runSilentDrain drains an upstream that falls silent at the same moment. It keeps its grant until the grant expires,
// while the leader only waits for that expiry.
func runSilentDrain(seed uint64, disabled string) *sim {
	s := newSim(seed, disabled)
	s.lossless = true
	s.run(warmUp + time.Duration(s.r.IntN(200))*ms)
	s.drained["u0"] = true
	s.processes[0].silent = true
	s.run(warmUp + 1300*ms)
	return s
}

// Guards against safeguards that no schedule needs and against schedules too weak to show the need: with the given
// seed, a second owner occurs without the safeguard and none occurs with it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	faults := func(seed uint64, disabled string) *sim { return runSchedule(seed, disabled, false) }
	for _, d := range []struct {
		name string
		run  func(uint64, string) *sim
		seed uint64
	}{
		{owner.SafeguardMargin, runSilentDrain, 3262},
		{owner.SafeguardGrant, faults, 0},
		{owner.SafeguardRoutingLeases, faults, 21},
		{owner.SafeguardPredecessor, faults, 3},
		{withoutOrder, faults, 9},
	} {
		t.Run(d.name, func(t *testing.T) {
			if s := d.run(d.seed, ""); s.err != nil {
				t.Fatalf("violation with all safeguards: %v", s.err)
			}
			s := d.run(d.seed, d.name)
			if s.err == nil {
				t.Fatal("no violation without the safeguard")
			}
			t.Log(s.err)
		})
	}
}
