package soak_test

import (
	"fmt"
	"net"
	"net/http"
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

// buildDaemon builds the daemon and returns the path of the binary.
func buildDaemon(t *testing.T) string {
	t.Helper()
	daemonPath := filepath.Join(t.TempDir(), "baobabreach")
	if out, err := exec.Command("go", "build", "-o", daemonPath, "baobabreach/cmd/baobabreach").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return daemonPath
}

func envUint(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// octetLockPort is the port on which a run listens to keep its loopback addresses from other processes and parallel tests.
const octetLockPort = 7539

// freeOctet returns an even second octet of loopback addresses, and keeps it and the next one until the end of the test.
// Tests of a process that start with different numbers rarely try the same octets.
func freeOctet(t *testing.T, start int) int {
	t.Helper()
	const octets = 120
	for i := range octets {
		octet := 2 + 2*((os.Getpid()+start+i)%octets)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", octet, octetLockPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return octet
		}
	}
	t.Fatal("other processes use all loopback addresses")
	return 0
}

// schedule is a seed and the number of entry hosts, which affects the random choice of hosts.
type schedule struct {
	seed       uint64
	entryHosts int
}

// regressions are schedules that revealed a fault.
var regressions = []schedule{
	// A change was acknowledged before it was visible to reads on the leader.
	{seed: 3002, entryHosts: 30},
	// A restarted host took an old leave for a new one and kept using the owner of a key for another second.
	{seed: 3003, entryHosts: 30},
}

// Guards against guarantees that hold in simulations only: real processes are killed, stopped, paused and disconnected.
// SOAK_SEED and SOAK_SEEDS select the first seed and the number of seeds, SOAK_FRONTS the number of entry hosts.
func TestFaults(t *testing.T) {
	daemonPath := buildDaemon(t)
	first, count, entryHosts := envUint("SOAK_SEED", 1), envUint("SOAK_SEEDS", 2), int(envUint("SOAK_FRONTS", 3))
	schedules := slices.Clone(regressions)
	for i := range count {
		schedules = append(schedules, schedule{seed: first + i, entryHosts: entryHosts})
	}
	for i, x := range schedules {
		t.Run(fmt.Sprintf("seed_%d", x.seed), func(t *testing.T) {
			cfg := soak.Config{
				DaemonPath: daemonPath, Dir: t.TempDir(), LoopbackOctet: freeOctet(t, i), EntryHosts: x.entryHosts,
			}
			run, violations, err := soak.RunSchedule(cfg, x.seed)
			answered, failed := run.Counts()
			t.Logf("seed %d: %d answered, %d failed, %d faults", x.seed, answered, failed, len(run.Events))
			if err == nil && answered == 0 {
				violations = append(violations, "no request was answered")
			}
			checkRun(t, run, violations, err, cfg.Dir)
		})
	}
}

// Guards against requests that are cut off without an answer by a planned stop under load, after an upstream ran them.
func TestPlannedStopsCutNothingOff(t *testing.T) {
	cfg := soak.Config{
		DaemonPath: buildDaemon(t), Dir: t.TempDir(), LoopbackOctet: freeOctet(t, 120), EntryHosts: 3,
	}
	run, violations, err := soak.RunPlannedStops(cfg)
	answered, failed := run.Counts()
	t.Logf("%d answered, %d failed, %d stops", answered, failed, len(run.Events))
	if err == nil && answered == 0 {
		violations = append(violations, "no request was answered")
	}
	checkRun(t, run, violations, err, cfg.Dir)
}

// Guards against orders that a stopping host takes too late to answer them: whose first or last bytes arrive after it has
// closed its listener.
func TestLateOrdersAreAnswered(t *testing.T) {
	t.Parallel()
	cfg := soak.Config{
		DaemonPath: buildDaemon(t), Dir: t.TempDir(), LoopbackOctet: freeOctet(t, 80), EntryHosts: 3,
	}
	run, violations, err := soak.RunLateOrders(cfg)
	answered, failed := run.Counts()
	t.Logf("%d answered, %d failed", answered, failed)
	checkRun(t, run, violations, err, cfg.Dir)
}

// Guards against reports that arrive late, doubled or out of order after a change of the leader and bring an upstream that
// has left back into use, or give its keys to another one. SOAK_SEED and SOAK_SEEDS select the schedules.
func TestLateReportsChangeNothing(t *testing.T) {
	t.Parallel()
	runSeeds(t, 90, 3, soak.RunLateReports)
}

// Guards against upstreams that send bytes without end: entry hosts keep them until they run out of memory, and the requests
// of all other callers end with them.
func TestEndlessResponsesLeaveMemory(t *testing.T) { runLogged(t, 110, 4, soak.RunEndlessResponses) }

// Guards against callers that get a part of a response or one that is not valid HTTP, and against refusing unusual ones.
func TestRawResponses(t *testing.T) { runLogged(t, 118, 4, soak.RunRawResponses) }

// Guards against an upstream that sends reports without end: replicas keep them until they run out of memory.
func TestEndlessReportsLeaveMemory(t *testing.T) { runLogged(t, 115, 2, soak.RunEndlessReports) }

// runLogged runs a scenario and logs its events.
func runLogged(t *testing.T, octet, entryHosts int, run func(cfg soak.Config) (*soak.Run, []string, error)) {
	t.Helper()
	cfg := soak.Config{
		DaemonPath: buildDaemon(t), Dir: t.TempDir(), LoopbackOctet: freeOctet(t, octet), EntryHosts: entryHosts,
	}
	r, violations, err := run(cfg)
	for _, e := range r.Events {
		t.Log(e)
	}
	checkRun(t, r, violations, err, cfg.Dir)
}

// Guards against a fleet that never forms a group of replicas because one of them was killed during its first start: its
// settings no longer say that the fleet starts for the first time.
func TestFirstStartSurvivesAKilledReplica(t *testing.T) {
	daemonPath := buildDaemon(t)
	for replica := range 3 {
		cfg := soak.Config{
			DaemonPath: daemonPath, Dir: t.TempDir(), LoopbackOctet: freeOctet(t, 100+replica), EntryHosts: 1,
		}
		run, violations, err := soak.RunKilledFirstStart(cfg, replica)
		checkRun(t, run, violations, err, cfg.Dir)
	}
}

// Guards against requests that are cut off where planned work overlaps: stops of several hosts, hangups, changes of the
// configuration and drained upstreams. SOAK_SEED and SOAK_SEEDS select the schedules.
func TestOverlappingWorkCutsNothingOff(t *testing.T) {
	runSeeds(t, 20, 4, soak.RunOverlappingWork)
}

// runSeeds runs the schedules that SOAK_SEED and SOAK_SEEDS select, one of them by default.
func runSeeds(
	t *testing.T, firstOctet, entryHosts int, run func(cfg soak.Config, seed uint64) (*soak.Run, []string, error),
) {
	t.Helper()
	daemonPath := buildDaemon(t)
	first, count := envUint("SOAK_SEED", 1), envUint("SOAK_SEEDS", 1)
	for i := range count {
		t.Run(fmt.Sprintf("seed_%d", first+i), func(t *testing.T) {
			cfg := soak.Config{
				DaemonPath: daemonPath, Dir: t.TempDir(), LoopbackOctet: freeOctet(t, firstOctet+int(i)), EntryHosts: entryHosts,
			}
			r, violations, err := run(cfg, first+i)
			answered, failed := r.Counts()
			t.Logf("seed %d: %d answered, %d failed", first+i, answered, failed)
			checkRun(t, r, violations, err, cfg.Dir)
		})
	}
}

// Guards against a request that crashes every upstream that runs it and is sent to one upstream after the other: the report
// of the incident named BUDGET.
func TestCrashingRequestIsStopped(t *testing.T) {
	t.Parallel()
	daemonPath := buildDaemon(t)
	for i, crash := range []soak.CrashConfig{
		{Name: "idempotent", Method: http.MethodGet, Service: "orders", Duration: 12 * time.Second},
		{Name: "not idempotent", Method: http.MethodPost, Service: "orders", Duration: 12 * time.Second},
		{Name: "keyed", Method: http.MethodGet, Service: "styles", Duration: 20 * time.Second},
		{
			Name: "leader killed", Method: http.MethodPost, Service: "orders", Duration: 16 * time.Second,
			Disturb: (*soak.Run).KillLeader,
		},
		{
			Name: "hosts restarted", Method: http.MethodPost, Service: "orders", Duration: 16 * time.Second,
			Disturb: (*soak.Run).RestartEntryHosts,
		},
		{
			Name: "all replicas killed", Method: http.MethodPost, Service: "orders", Duration: 16 * time.Second,
			Disturb: (*soak.Run).RestartReplicas,
		},
		{
			Name: "same ID after 100 ms", Method: http.MethodGet, Service: "orders", Duration: 12 * time.Second, SameID: true,
			RunTime: 100 * time.Millisecond,
		},
		{
			Name: "other query each time", Method: http.MethodGet, Service: "orders", Duration: 12 * time.Second, NewQuery: true,
		},
		{
			Name: "address still accepts", Method: http.MethodPost, Service: "orders", Duration: 16 * time.Second,
			End: soak.CrashAccepts,
		},
		{
			Name: "upstreams fall silent", Method: http.MethodPost, Service: "orders", Duration: 24 * time.Second,
			End: soak.CrashSilent,
		},
		{
			Name: "all daemons killed", Method: http.MethodGet, Service: "orders", Duration: 20 * time.Second,
			Disturb: (*soak.Run).RestartAll,
		},
	} {
		t.Run(crash.Name, func(t *testing.T) {
			t.Parallel()
			cfg := soak.Config{
				DaemonPath: daemonPath, Dir: t.TempDir(), LoopbackOctet: freeOctet(t, 40+i), EntryHosts: 4,
			}
			run, violations, err := soak.RunCrashingRequest(cfg, crash)
			if n := len(run.Events); n > 0 {
				t.Log(run.Events[n-1])
			}
			checkRun(t, run, violations, err, cfg.Dir)
		})
	}
}

// Guards against requests to upstreams that have said in their answers that they leave, also after a restart of the
// processes that know of it, and against keys that stay with such an upstream.
func TestLeavingAnswersEndTheUse(t *testing.T) {
	runDisturbed(t, 60, map[string]func(r *soak.Run) error{
		"undisturbed": nil, "replicas killed": (*soak.Run).RestartReplicas, "leader killed": (*soak.Run).KillLeader,
		"hosts killed": (*soak.Run).RestartEntryHosts,
	}, soak.RunLeavingAnswers)
}

// Guards against requests to upstreams, keyed ones too, that refuse all requests and say for how long they want none, and
// against hosts that do not use them again afterwards.
func TestRetryAfterOfUpstreamsIsHonoured(t *testing.T) {
	runDisturbed(t, 70, map[string]func(r *soak.Run) error{
		"undisturbed": nil, "replicas killed": (*soak.Run).RestartReplicas, "hosts killed": (*soak.Run).RestartEntryHosts,
	}, soak.RunTurnAway)
}

// runDisturbed runs a scenario with each of the disturbances.
func runDisturbed(
	t *testing.T, firstOctet int, disturbances map[string]func(r *soak.Run) error,
	run func(cfg soak.Config, disturb func(r *soak.Run) error) (*soak.Run, []string, error),
) {
	t.Helper()
	t.Parallel()
	daemonPath := buildDaemon(t)
	octet := firstOctet
	for name, disturb := range disturbances {
		octet++
		cfg := soak.Config{
			DaemonPath: daemonPath, Dir: t.TempDir(), LoopbackOctet: freeOctet(t, octet), EntryHosts: 3,
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, violations, err := run(cfg, disturb)
			answered, failed := r.Counts()
			t.Logf("%d answered, %d failed", answered, failed)
			checkRun(t, r, violations, err, cfg.Dir)
		})
	}
}

// Guards against a harmless request that is refused because its upstreams ended while it was in flight on all hosts.
func TestHarmlessRequestIsServedAfterCrashes(t *testing.T) {
	t.Parallel()
	daemonPath := buildDaemon(t)
	for i, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			cfg := soak.Config{
				DaemonPath: daemonPath, Dir: t.TempDir(), LoopbackOctet: freeOctet(t, 55+i), EntryHosts: 4,
			}
			run, violations, err := soak.RunHarmlessRequest(cfg, method)
			if n := len(run.Events); n > 0 {
				t.Log(run.Events[n-1])
			}
			checkRun(t, run, violations, err, cfg.Dir)
		})
	}
}

// maxPrintedViolations limits the violations that a failed run prints; all of them are in the count.
const maxPrintedViolations = 20

// checkRun fails the test if the run could not be completed or violated a guarantee, and keeps its logs.
func checkRun(t *testing.T, r *soak.Run, violations []string, err error, dir string) {
	t.Helper()
	if err == nil && len(violations) == 0 {
		return
	}
	t.Errorf("%v\n%d violations:\n%s\nevents:\n%s\nlogs in %s", err, len(violations),
		strings.Join(violations[:min(maxPrintedViolations, len(violations))], "\n"), strings.Join(r.Events, "\n"),
		keepLogs(t, dir))
}

// keepLogs copies the logs of a failed run to a directory that is not removed after the test.
func keepLogs(t *testing.T, dir string) string {
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

// Guards against a checker that misses violations or reports correct behaviour as one.
func TestCheckerReportsViolations(t *testing.T) {
	for name, violate := range map[string]func(c *soak.Checker){
		"run twice":              func(c *soak.Checker) { c.RecordExecution("1", "a", true); c.RecordExecution("1", "b", true) },
		"refused after its run":  func(c *soak.Checker) { c.RecordExecution("1", "a", true); c.RecordRefusal("1") },
		"run after its refusal":  func(c *soak.Checker) { c.RecordRefusal("1"); c.RecordExecution("1", "a", true) },
		"sent long after a stop": func(c *soak.Checker) { c.CheckDrained("1", "a", time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			checker := soak.NewChecker()
			violate(checker)
			is.Equal(len(checker.Violations()), 1)
		})
	}
	is := is.New(t)
	checker := soak.NewChecker()
	checker.RecordExecution("1", "a", false)
	checker.RecordExecution("1", "b", false)
	checker.RecordRefusal("2")
	checker.CheckDrained("3", "a", time.Second)
	is.Equal(len(checker.Violations()), 0)
}
