// Package scene_test runs the scenario scripts in testdata against fleets of real processes.
package scene_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"baobabreach/internal/fleet"
	"baobabreach/internal/load"
	"baobabreach/internal/model"
	"baobabreach/internal/stub"
	"baobabreach/pkg/proto"

	"github.com/rogpeppe/go-internal/testscript"
)

// stepTimeout is long, so that it only ends a step that would never succeed.
const stepTimeout = 90 * time.Second

// loadKeyCount is the number of keys in the load: enough for every upstream of the catalogue to own some of them.
const loadKeyCount = 24

// fleetSlots limits the number of fleets that run at the same time, because leader elections time out on an overloaded
// machine.
var fleetSlots = make(chan struct{}, 2)

// Guards against the failures that the first line of each script in testdata names.
func TestScenes(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["scene"] = &scenario{
				client: load.NewClient(), orders: map[string]load.Request{}, intentIDs: map[string]string{},
				firstAnswers: map[string]string{}, seenRevisions: map[string]uint64{},
				down: map[string]bool{},
			}
			return nil
		},
		// The comment of each method shows the usage of its script command in quotes.
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": stepCommand((*scenario).fleetCommand), "send": stepCommand((*scenario).send),
			"order": stepCommand((*scenario).order),
			"call":  stepCommand((*scenario).call), "poison": stepCommand((*scenario).poison),
			"flight": stepCommand((*scenario).startLongRequests),
			"join":   stepCommand((*scenario).joinLongRequests), "remember": stepCommand((*scenario).saveBaseline),
			"refused": stepCommand((*scenario).expectRefusal),
			"limit":   stepCommand((*scenario).limit), "input": stepCommand((*scenario).sendInvalidInput),
			"begin": stepCommand((*scenario).startLongOrder), "load": stepCommand((*scenario).load),
			"expect": stepCommand((*scenario).expect),
			"plan":   stepCommand((*scenario).plan), "confirm": stepCommand((*scenario).confirm),
			"race":        stepCommand((*scenario).race),
			"lose-answer": stepCommand((*scenario).confirmThenKill), "changes": stepCommand((*scenario).changes),
			"operator": stepCommand((*scenario).operator),
		},
	})
}

// scenario is the state of one script.
type scenario struct {
	fleet  *fleet.Fleet
	client *load.Client
	random *rand.Rand
	// orders maps the names of orders in the script to their requests.
	orders    map[string]load.Request
	lastReply load.Reply
	// lastLost is the process that was last killed, paused or removed, or whose disk was lost last.
	lastLost   string
	lastPaused string
	// down holds the processes that were killed or paused and not restarted or resumed since.
	down map[string]bool

	longRequests sync.WaitGroup
	baseline     baseline
	supervisor   supervisor

	// intentIDs maps the names of plans to their intent IDs, firstAnswers to the output of their first confirmation.
	intentIDs, firstAnswers map[string]string
	// revision is the newest settings revision that a confirmation returned.
	revision uint64
	// seenRevisions holds the newest revision observed on each host.
	seenRevisions map[string]uint64

	stopLoad func()
	mu       sync.Mutex
	// sent counts the requests of the load that have ended.
	sent int
	// sentOrders counts the orders among sent.
	sentOrders   int
	lostRequests []string
}

func stepCommand(fn func(*scenario, context.Context, *testscript.TestScript, []string) error) func(
	*testscript.TestScript, bool, []string,
) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("steps don't support negation")
		}
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		s := ts.Value("scene").(*scenario)
		err := fn(s, ctx, ts, args)
		if err != nil && s.fleet != nil {
			// The fleet removes its logs when the script ends.
			logs, copyErr := s.fleet.CopyLogs()
			ts.Logf("logs in %s (error: %v)", logs, copyErr)
		}
		ts.Check(err)
	}
}

func (s *scenario) startFleet(ctx context.Context, ts *testscript.TestScript, args []string) error {
	fleetSlots <- struct{}{}
	ts.Defer(func() { <-fleetSlots })
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	s.random = rand.New(rand.NewPCG(1, 0))
	s.fleet, err = fleet.Start(ctx, fleet.Config{
		Binaries: "../../bin", DataCentres: []string{"a", "b", "c"}, HostsPerCentre: n, BalancerDelay: time.Second,
		OperatorToken: operatorToken,
		Services: append(extraServices(args[2:]), []fleet.Service{
			{
				Name: "catalogue", Keyed: true, Idempotent: true, Class: "short", Ranges: 12, Upstreams: 3, Slots: 3,
				ServiceTime: 2 * time.Millisecond, Flags: catalogueFlags(args[2:]),
			},
			// Orders of class long take 1 s, long enough to be interrupted.
			{
				Name: "orders", Class: "short", Upstreams: 3, Slots: 3, Deadline: 5 * time.Second,
				ServiceTime: 2 * time.Millisecond, Flags: []string{"--fault-long-ms=1000", "--fault-crash-body=" + crashBody},
			},
		}...),
		Limits: []model.Limit{{Tenant: "partner", Class: model.ClassLong, PerSecond: 40}},
	})
	if err == nil {
		ts.Defer(func() { ts.Check(s.fleet.Close()) })
	}
	return err
}

func (s *scenario) callerAddress(host string) string {
	for _, h := range s.fleet.Hosts {
		if h.Name == host {
			return h.CallerAddress
		}
	}
	return ""
}

func (s *scenario) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return load.NewID(s.random)
}

// send implements "send HOST KEYS": it sends a request for each of KEYS keys and retries it until it is done. HOST may be
// "all", or "others" for all hosts that are not down.
func (s *scenario) send(ctx context.Context, _ *testscript.TestScript, args []string) error {
	keys, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for _, h := range s.fleet.Hosts {
		if args[0] != h.Name && args[0] != "all" && (args[0] != "others" || s.down[h.Name]) || !s.fleet.Running(h.Name) {
			continue
		}
		for k := range keys {
			q := load.Request{Service: "catalogue", Key: fmt.Sprintf("key-%d", k), Deadline: time.Second}
			if err := fleet.Wait(ctx, func(ctx context.Context) error {
				q.ID = s.newID()
				if r := s.client.Send(ctx, h.CallerAddress, q); r.Outcome != proto.OutcomeDone {
					return fmt.Errorf("%s through %s: %s %s %w", q.Key, h.Name, r.Outcome, r.Code, r.Err)
				}
				return nil
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// order implements "order NAME HOST": it sends an order, or resends it under its ID, until its outcome is done or unknown.
// HOST may be "others" for a host that is not down.
func (s *scenario) order(ctx context.Context, _ *testscript.TestScript, args []string) error {
	q, ok := s.orders[args[0]]
	if !ok {
		q = load.Request{ID: s.newID(), Service: "orders", Method: http.MethodPost, Body: args[0]}
		s.orders[args[0]] = q
	}
	host := args[1]
	if host == "others" {
		for _, h := range s.fleet.Hosts {
			if !s.down[h.Name] && s.fleet.Running(h.Name) {
				host = h.Name
			}
		}
	}
	return fleet.Wait(ctx, func(ctx context.Context) error {
		s.lastReply = s.client.Send(ctx, s.callerAddress(host), q)
		if s.lastReply.Outcome == proto.OutcomeNotRun {
			return fmt.Errorf("order %s through %s: %s %w", args[0], host, s.lastReply.Code, s.lastReply.Err)
		}
		return nil
	})
}

// startLongOrder implements "begin NAME HOST": it sends an order of class long and returns once it is running.
func (s *scenario) startLongOrder(ctx context.Context, ts *testscript.TestScript, args []string) error {
	q := load.Request{ID: s.newID(), Service: "orders", Method: http.MethodPost, Body: args[0], Class: "long"}
	s.orders[args[0]] = q
	done := make(chan struct{})
	ts.Defer(func() { <-done })
	go func() {
		defer close(done)
		s.client.Send(context.Background(), s.callerAddress(args[1]), q)
	}()
	return fleet.Wait(ctx, func(context.Context) error { return s.expectRuns(args[0], 1) })
}

func (s *scenario) resolveName(ctx context.Context, arg string) (name string, err error) {
	if arg == "lost" {
		return s.lastLost, nil
	}
	if arg == "paused" {
		return s.lastPaused, nil
	}
	if arg != "leader" {
		return arg, nil
	}
	err = fleet.Wait(ctx, func(ctx context.Context) (err error) {
		name, err = s.fleet.Leader(ctx)
		return err
	})
	return name, err
}

// fleetCommand implements "fleet start HOSTS-PER-CENTRE [pages|nocheck]",
// "fleet kill|pause|stop|restart|resume|lose|wipe|twin NAME", "fleet wait|balance|repaired|supervise" and
// "fleet hold DURATION".
//
// NAME may be "leader", "lost" for the process that was killed or paused last, or "paused" for the last paused process.
func (s *scenario) fleetCommand(ctx context.Context, ts *testscript.TestScript, args []string) error {
	if args[0] == "start" {
		return s.startFleet(ctx, ts, args)
	}
	switch args[0] {
	case "wait":
		return s.fleet.WaitReady(ctx)
	case "balance":
		return fleet.Wait(ctx, s.fleet.CheckBalanced)
	case "supervise":
		return s.supervise(ts)
	case "repaired":
		return fleet.Wait(ctx, s.checkRepaired)
	case "hold":
		return waitFor(ctx, args[1])
	}
	n, err := s.resolveName(ctx, args[1])
	if err != nil {
		return err
	}
	switch args[0] {
	case "kill":
		s.lastLost, s.down[n] = n, true
		return s.fleet.Kill(n)
	case "lose":
		s.lastLost, s.down[n] = n, true
		return s.fleet.KillAndWipe(n)
	case "pause":
		s.lastLost, s.lastPaused, s.down[n] = n, n, true
		return s.fleet.Pause(n)
	case "resume":
		delete(s.down, n)
		return s.fleet.Resume(n)
	case "twin":
		_, err := s.fleet.StartDuplicate(n)
		return err
	case "stop":
		return s.fleet.Stop(ctx, n)
	case "restart":
		delete(s.down, n)
		return s.fleet.Restart(n)
	case "wipe":
		return s.fleet.Wipe(n)
	}
	return fmt.Errorf("unknown fleet command %q", args[0])
}

// load implements "load start" and "load stop". The start returns once 20 requests per host were answered.
func (s *scenario) load(ctx context.Context, _ *testscript.TestScript, args []string) error {
	if args[0] == "stop" {
		s.stopLoad()
		return nil
	}
	loadCtx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, h := range s.fleet.Hosts {
		wg.Go(func() { s.loadHost(loadCtx, h, i) })
	}
	s.stopLoad = func() {
		cancel()
		wg.Wait()
	}
	return fleet.Wait(ctx, func(context.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.sent < 20*len(s.fleet.Hosts) {
			return fmt.Errorf("only %d requests were answered", s.sent)
		}
		return nil
	})
}

// loadHost sends requests to a host until it is no longer ready, as a load balancer does.
func (s *scenario) loadHost(ctx context.Context, h fleet.Host, i int) {
	readinessClient := http.Client{Timeout: time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		if resp, err := readinessClient.Get("http://" + h.CallerAddress + "/readyz"); err != nil {
			return
		} else if _ = resp.Body.Close(); resp.StatusCode != http.StatusOK {
			return
		}
		q := load.Request{ID: s.newID(), Service: "catalogue", Key: fmt.Sprintf("key-%d", n%loadKeyCount)}
		if i%2 == 0 {
			q = load.Request{ID: q.ID, Service: "orders", Method: http.MethodPost, Class: "long"}
		}
		r := s.client.Send(context.Background(), h.CallerAddress, q)
		s.mu.Lock()
		s.sent++
		if q.Service == "orders" {
			s.sentOrders++
		}
		if r.Err != nil || r.Outcome == proto.OutcomeUnknown {
			s.lostRequests = append(s.lostRequests, fmt.Sprintf("%s through %s: %s %v", q.ID, h.Name, r.Code, r.Err))
		}
		s.mu.Unlock()
	}
}

// expect implements "expect runs ORDER N", "expect outcome OUTCOME", "expect fresh" and "expect lossless", and passes all
// other forms on to expectFleetState and expectTrafficOrBaseline.
func (s *scenario) expect(ctx context.Context, _ *testscript.TestScript, args []string) error {
	switch args[0] {
	case "runs":
		n, err := strconv.Atoi(args[2])
		if err != nil {
			return err
		}
		return s.expectRuns(args[1], n)
	case "outcome":
		if string(s.lastReply.Outcome) != args[1] {
			return fmt.Errorf("last reply: got outcome %s with code %q, want outcome %s",
				s.lastReply.Outcome, s.lastReply.Code, args[1])
		}
		return nil
	case "fresh":
		return s.expectEpochOrder()
	case "lossless":
		if len(s.lostRequests) > 0 {
			return fmt.Errorf("%d of %d requests were lost: %s", len(s.lostRequests), s.sent, s.lostRequests[0])
		}
		return nil
	}
	if err := s.expectFleetState(ctx, args); !errors.Is(err, errUnknownExpectation) {
		return err
	}
	return s.expectTrafficOrBaseline(ctx, args)
}

var errUnknownExpectation = errors.New("unknown expectation")

func unknownExpectation(name string) error {
	return fmt.Errorf("%w %q", errUnknownExpectation, name)
}

func (s *scenario) expectRuns(order string, want int) error {
	xs, err := s.fleet.Executions()
	n := 0
	for _, x := range xs {
		if x.RequestID == s.orders[order].ID {
			n++
		}
	}
	if err == nil && n != want {
		err = fmt.Errorf("order %s was executed %d times, want %d", order, n, want)
	}
	return err
}

// expectEpochOrder fails if two upstreams executed requests of the same epoch of a range, or if a request of an epoch
// started after one of a later epoch.
func (s *scenario) expectEpochOrder() error {
	xs, err := s.fleet.Executions()
	if err != nil {
		return err
	}
	type fence struct{ id, epoch uint64 }
	owner, firstStart := map[fence]string{}, map[fence]int64{}
	for _, x := range xs {
		f := fence{x.Range, x.Epoch}
		if o, ok := owner[f]; ok && o != x.Upstream && x.Epoch > 0 {
			return fmt.Errorf("%s and %s both executed requests of range %d epoch %d", o, x.Upstream, x.Range, x.Epoch)
		}
		if at, ok := firstStart[f]; !ok || x.StartNs < at {
			firstStart[f] = x.StartNs
		}
		owner[f] = x.Upstream
	}
	for _, x := range xs {
		for f, at := range firstStart {
			if f.id == x.Range && f.epoch > x.Epoch && x.StartNs > at {
				return fmt.Errorf("executed after a later epoch of the range: %s", describeExecution(x))
			}
		}
	}
	return nil
}

func describeExecution(x stub.Execution) string {
	return fmt.Sprintf("%s on %s, range %d epoch %d", x.RequestID, x.Upstream, x.Range, x.Epoch)
}
