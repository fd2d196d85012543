package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"baobabreach/internal/soak"

	"github.com/matryer/is"
)

// build builds the daemon once.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "baobabreach")
	if out, err := exec.Command("go", "build", "-o", program, "baobabreach/cmd/baobabreach").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

func setting(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// schedule is a seed with the number of entry hosts, on which the choice of machines depends.
type schedule struct {
	seed   uint64
	fronts int
}

// regressions are schedules that once failed.
var regressions = []schedule{
	// A change was acknowledged before readers on the leader could see it.
	{seed: 3002, fronts: 30},
	// A host that was restarted took an old leave for a new one and used the owner of a key for another second.
	{seed: 3003, fronts: 30},
}

// Guards against promises that hold in simulations only: the real programs are killed, stopped, paused and cut off.
// SOAK_SEED and SOAK_SEEDS choose other schedules, SOAK_FRONTS a larger fleet.
func TestFaults(t *testing.T) {
	program := build(t)
	first, count, fronts := setting("SOAK_SEED", 1), setting("SOAK_SEEDS", 2), int(setting("SOAK_FRONTS", 3))
	schedules := slices.Clone(regressions)
	for i := range count {
		schedules = append(schedules, schedule{seed: first + i, fronts: fronts})
	}
	for i, x := range schedules {
		seed := x.seed
		cfg := soak.Config{Program: program, Dir: t.TempDir(), Net: 2 + 2*((os.Getpid()+i)%120), Fronts: x.fronts}
		run, violations, err := soak.Play(cfg, seed)
		answered, failed := run.Counts()
		t.Logf("seed %d: %d answered, %d failed, %d faults", seed, answered, failed, len(run.Events))
		if err == nil && answered == 0 {
			violations = append(violations, "nothing was answered")
		}
		if err != nil || len(violations) > 0 {
			t.Errorf("seed %d: %v\nviolations:\n%s\nevents:\n%s\nlogs in %s", seed, err, strings.Join(violations, "\n"),
				strings.Join(run.Events, "\n"), keep(t, cfg.Dir))
		}
	}
}

// keep copies the logs of a failed run to a place that outlives the test.
func keep(t *testing.T, dir string) string {
	t.Helper()
	to, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(to, "run"), os.DirFS(dir)); err != nil {
		t.Log(err)
	}
	return to
}

// Guards against checks that pass whatever happens.
func TestTheLedgerFindsBrokenPromises(t *testing.T) {
	for name, breakIt := range map[string]func(l *soak.Ledger){
		"run twice":              func(l *soak.Ledger) { l.Run("1", "a", true); l.Run("1", "b", true) },
		"refused after its run":  func(l *soak.Ledger) { l.Run("1", "a", true); l.Refused("1") },
		"run after its refusal":  func(l *soak.Ledger) { l.Refused("1"); l.Run("1", "a", true) },
		"sent long after a stop": func(l *soak.Ledger) { l.Late("1", "a", time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := soak.NewLedger()
			breakIt(l)
			is.Equal(len(l.Violations()), 1)
		})
	}
	is := is.New(t)
	l := soak.NewLedger()
	l.Run("1", "a", false)
	l.Run("1", "b", false)
	l.Refused("2")
	l.Late("3", "a", time.Second)
	is.Equal(len(l.Violations()), 0)
}
