// Package scene_test runs the scenarios of testdata against fleets of real processes.
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

// stepLimit is generous: it only ends a step that would never succeed.
const stepLimit = 90 * time.Second

// loadKeys is the number of keys of the load; every upstream of the catalogue owns some of them.
const loadKeys = 24

// turns limits the fleets at one time, so that a busy machine doesn't starve the elections.
var turns = make(chan struct{}, 2)

// Guards against the faults that each script of testdata names in its first line.
func TestScenes(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["scene"] = &scene{
				client: load.NewClient(), orders: map[string]load.Request{}, intents: map[string]string{},
				first: map[string]string{}, seen: map[string]uint64{},
				down: map[string]bool{},
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": step((*scene).change), "send": step((*scene).send), "order": step((*scene).order),
			"call": step((*scene).call), "poison": step((*scene).poison), "flight": step((*scene).flight),
			"join": step((*scene).join), "remember": step((*scene).remember), "refused": step((*scene).refused),
			"limit": step((*scene).limit), "input": step((*scene).input),
			"begin": step((*scene).begin), "load": step((*scene).load), "expect": step((*scene).expect),
			"plan": step((*scene).plan), "confirm": step((*scene).confirm), "race": step((*scene).race),
			"lose-answer": step((*scene).loseAnswer), "changes": step((*scene).changes), "operator": step((*scene).operator),
		},
	})
}

type scene struct {
	fleet  *fleet.Fleet
	client *load.Client
	random *rand.Rand
	orders map[string]load.Request
	last   load.Reply
	// lostName is the process that was killed or paused last.
	lostName   string
	pausedName string
	// down holds the processes that were killed or paused and neither restarted nor resumed.
	down map[string]bool

	flights    sync.WaitGroup
	kept       memory
	supervisor supervisor

	// intents maps the names of plans to their ids, first to the first answers to their confirmations.
	intents, first map[string]string
	// revision is the newest settings revision that a confirmation returned.
	revision uint64
	// seen is the newest revision that each host had in force.
	seen map[string]uint64

	stopLoad func()
	mu       sync.Mutex
	sent     int
	// sentOrders counts the orders among sent.
	sentOrders int
	lost       []string
}

func step(fn func(*scene, context.Context, *testscript.TestScript, []string) error) func(
	*testscript.TestScript, bool, []string,
) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("steps can't be negated")
		}
		ctx, cancel := context.WithTimeout(context.Background(), stepLimit)
		defer cancel()
		ts.Check(fn(ts.Value("scene").(*scene), ctx, ts, args))
	}
}

func (s *scene) start(ctx context.Context, ts *testscript.TestScript, args []string) error {
	turns <- struct{}{}
	ts.Defer(func() { <-turns })
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	s.random = rand.New(rand.NewPCG(1, 0))
	s.fleet, err = fleet.Start(ctx, fleet.Config{
		Binaries: "../../bin", Centres: []string{"a", "b", "c"}, HostsPerCentre: n, BalancerDelay: time.Second,
		OperatorToken: operatorToken,
		Services: append(extra(args[2:]), []fleet.Service{
			{
				Name: "catalogue", Keyed: true, Idempotent: true, Class: "short", Ranges: 12, Upstreams: 3, Slots: 3,
				ServiceTime: 2 * time.Millisecond, Flags: catalogueFlags(args[2:]),
			},
			// Orders of class long run long enough to be interrupted.
			{
				Name: "orders", Class: "short", Upstreams: 3, Slots: 3, Deadline: 5 * time.Second,
				ServiceTime: 2 * time.Millisecond, Flags: []string{"--fault-long-ms=1000", "--fault-crash-body=" + crashText},
			},
		}...),
		Limits: []model.Limit{{Tenant: "partner", Class: model.ClassLong, PerSecond: 40}},
	})
	if err == nil {
		ts.Defer(func() { ts.Check(s.fleet.Close()) })
	}
	return err
}

func (s *scene) caller(host string) string {
	for _, h := range s.fleet.Hosts {
		if h.Name == host {
			return h.Caller
		}
	}
	return ""
}

func (s *scene) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return load.NewID(s.random)
}

// send: send HOST KEYS sends every key until it is answered. HOST may be "all", or "others" than the one lost last.
func (s *scene) send(ctx context.Context, _ *testscript.TestScript, args []string) error {
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
				if r := s.client.Send(ctx, h.Caller, q); r.Outcome != proto.OutcomeDone {
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

// order: order NAME HOST sends an order, or resends it with its id, until it is done or unknown.
func (s *scene) order(ctx context.Context, _ *testscript.TestScript, args []string) error {
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
		s.last = s.client.Send(ctx, s.caller(host), q)
		if s.last.Outcome == proto.OutcomeNotRun {
			return fmt.Errorf("order %s through %s: %s %w", args[0], host, s.last.Code, s.last.Err)
		}
		return nil
	})
}

// begin: begin NAME HOST sends a long order and returns once it runs.
func (s *scene) begin(ctx context.Context, ts *testscript.TestScript, args []string) error {
	q := load.Request{ID: s.newID(), Service: "orders", Method: http.MethodPost, Body: args[0], Class: "long"}
	s.orders[args[0]] = q
	done := make(chan struct{})
	ts.Defer(func() { <-done })
	go func() {
		defer close(done)
		s.client.Send(context.Background(), s.caller(args[1]), q)
	}()
	return fleet.Wait(ctx, func(context.Context) error { return s.expectRuns(args[0], 1) })
}

func (s *scene) name(ctx context.Context, arg string) (name string, err error) {
	if arg == "lost" {
		return s.lostName, nil
	}
	if arg == "paused" {
		return s.pausedName, nil
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

// change: fleet start HOSTS-PER-CENTRE [pages|nocheck] | fleet kill|pause|stop|restart|resume|lose|wipe|twin NAME |
// fleet wait|balance|repaired|supervise | fleet hold DURATION
//
// NAME may be "leader", "lost" for the process that was killed or paused last, or "paused" for the one paused last.
func (s *scene) change(ctx context.Context, ts *testscript.TestScript, args []string) error {
	if args[0] == "start" {
		return s.start(ctx, ts, args)
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
		return hold(ctx, args[1])
	}
	n, err := s.name(ctx, args[1])
	if err != nil {
		return err
	}
	switch args[0] {
	case "kill":
		s.lostName, s.down[n] = n, true
		return s.fleet.Kill(n)
	case "lose":
		s.lostName, s.down[n] = n, true
		return s.fleet.LoseDisk(n)
	case "pause":
		s.lostName, s.pausedName, s.down[n] = n, n, true
		return s.fleet.Pause(n)
	case "resume":
		delete(s.down, n)
		return s.fleet.Resume(n)
	case "twin":
		_, err := s.fleet.StartTwin(n)
		return err
	case "stop":
		return s.fleet.Stop(ctx, n)
	case "restart":
		delete(s.down, n)
		return s.fleet.Restart(n)
	case "wipe":
		return s.fleet.Wipe(n)
	}
	return fmt.Errorf("unknown change %q", args[0])
}

// load: load start | load stop
func (s *scene) load(ctx context.Context, _ *testscript.TestScript, args []string) error {
	if args[0] == "stop" {
		s.stopLoad()
		return nil
	}
	running, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, h := range s.fleet.Hosts {
		wg.Go(func() { s.loadHost(running, h, i) })
	}
	s.stopLoad = func() {
		cancel()
		wg.Wait()
	}
	return fleet.Wait(ctx, func(context.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.sent < 20*len(s.fleet.Hosts) {
			return fmt.Errorf("%d requests were answered", s.sent)
		}
		return nil
	})
}

// loadHost sends to a host while it says that it is ready, as a load balancer does.
func (s *scene) loadHost(ctx context.Context, h fleet.Host, i int) {
	ready := http.Client{Timeout: time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		if resp, err := ready.Get("http://" + h.Caller + "/readyz"); err != nil {
			return
		} else if _ = resp.Body.Close(); resp.StatusCode != http.StatusOK {
			return
		}
		q := load.Request{ID: s.newID(), Service: "catalogue", Key: fmt.Sprintf("key-%d", n%loadKeys)}
		if i%2 == 0 {
			q = load.Request{ID: q.ID, Service: "orders", Method: http.MethodPost, Class: "long"}
		}
		r := s.client.Send(context.Background(), h.Caller, q)
		s.mu.Lock()
		s.sent++
		if q.Service == "orders" {
			s.sentOrders++
		}
		if r.Err != nil || r.Outcome == proto.OutcomeUnknown {
			s.lost = append(s.lost, fmt.Sprintf("%s through %s: %s %v", q.ID, h.Name, r.Code, r.Err))
		}
		s.mu.Unlock()
	}
}

// expect: expect runs ORDER N | expect outcome OUTCOME | expect fresh | expect lossless | expect newest|current HOST |
// expect code CODE | expect crashes SERVICE N | expect unused UPSTREAM | expect fenced |
// expect settings|assignments|unchanged | expect idle|busy UPSTREAM... | expect role HOST ROLE
func (s *scene) expect(ctx context.Context, _ *testscript.TestScript, args []string) error {
	switch args[0] {
	case "runs":
		n, err := strconv.Atoi(args[2])
		if err != nil {
			return err
		}
		return s.expectRuns(args[1], n)
	case "outcome":
		if string(s.last.Outcome) != args[1] {
			return fmt.Errorf("the last outcome is %s %s, expected %s", s.last.Outcome, s.last.Code, args[1])
		}
		return nil
	case "fresh":
		return s.expectFresh()
	case "lossless":
		if len(s.lost) > 0 {
			return fmt.Errorf("%d of %d requests were lost: %s", len(s.lost), s.sent, s.lost[0])
		}
		return nil
	}
	if err := s.expectOperated(ctx, args); !errors.Is(err, errUnknownStep) {
		return err
	}
	return s.expectMore(ctx, args)
}

var errUnknownStep = errors.New("unknown expectation")

func unknownStep(name string) error {
	return fmt.Errorf("%w %q", errUnknownStep, name)
}

func (s *scene) expectRuns(order string, want int) error {
	xs, err := s.fleet.Executions()
	n := 0
	for _, x := range xs {
		if x.RequestID == s.orders[order].ID {
			n++
		}
	}
	if err == nil && n != want {
		err = fmt.Errorf("order %s ran %d times, expected %d", order, n, want)
	}
	return err
}

// expectFresh fails if two upstreams ran one epoch of a range, or an epoch after a later one.
func (s *scene) expectFresh() error {
	xs, err := s.fleet.Executions()
	if err != nil {
		return err
	}
	type fence struct{ id, epoch uint64 }
	owner, first := map[fence]string{}, map[fence]int64{}
	for _, x := range xs {
		f := fence{x.Range, x.Epoch}
		if o, ok := owner[f]; ok && o != x.Upstream && x.Epoch > 0 {
			return fmt.Errorf("%s and %s both ran range %d epoch %d", o, x.Upstream, x.Range, x.Epoch)
		}
		if at, ok := first[f]; !ok || x.StartNs < at {
			first[f] = x.StartNs
		}
		owner[f] = x.Upstream
	}
	for _, x := range xs {
		for f, at := range first {
			if f.id == x.Range && f.epoch > x.Epoch && x.StartNs > at {
				return fmt.Errorf("stale run: %s", describe(x))
			}
		}
	}
	return nil
}

func describe(x stub.Execution) string {
	return fmt.Sprintf("%s on %s, range %d epoch %d", x.RequestID, x.Upstream, x.Range, x.Epoch)
}
