package scene_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"baobabreach/internal/claim"
	"baobabreach/internal/fleet"
	"baobabreach/internal/intent"
	"baobabreach/internal/load"
	"baobabreach/internal/model"
	"baobabreach/internal/opapi"
	"baobabreach/internal/peer"
	"baobabreach/pkg/proto"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// crashBody crashes the stub upstreams of pages and orders when a request body contains it.
	crashBody     = "crash"
	operatorToken = "scene-token"
	pollInterval  = 20 * time.Millisecond
)

// extraServices returns the optional services of a fleet: pages, which is idempotent and not keyed.
func extraServices(options []string) []fleet.Service {
	if !slices.Contains(options, "pages") {
		return nil
	}
	return []fleet.Service{{
		Name: "pages", Idempotent: true, Class: "short", Upstreams: 3, Slots: 3, Deadline: 5 * time.Second,
		ServiceTime: 2 * time.Millisecond, Flags: []string{"--fault-long-ms=1000", "--fault-crash-body=" + crashBody},
	}}
}

func catalogueFlags(options []string) []string {
	if slices.Contains(options, "nocheck") {
		return []string{"--no-check"}
	}
	return nil
}

// supervisor restarts crashed upstreams and counts the crashes per service.
type supervisor struct {
	mu      sync.Mutex
	crashes map[string]int
}

func (s *scenario) supervise(ts *testscript.TestScript) error {
	s.supervisor.crashes = map[string]int{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	ts.Defer(func() {
		cancel()
		<-done
	})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			s.restartCrashed()
			time.Sleep(pollInterval)
		}
	}()
	return nil
}

func (s *scenario) restartCrashed() {
	for _, n := range s.fleet.Crashed() {
		i := slices.IndexFunc(s.fleet.Upstreams, func(u fleet.Upstream) bool { return u.Name == n })
		s.supervisor.mu.Lock()
		s.supervisor.crashes[s.fleet.Upstreams[i].Service]++
		s.supervisor.mu.Unlock()
		_ = s.fleet.Restart(n)
	}
}

func (s *scenario) crashCount(service string) int {
	s.supervisor.mu.Lock()
	defer s.supervisor.mu.Unlock()
	return s.supervisor.crashes[service]
}

func (s *scenario) runningHosts() []fleet.Host {
	return slices.DeleteFunc(slices.Clone(s.fleet.Hosts), func(h fleet.Host) bool {
		return s.down[h.Name] || !s.fleet.Running(h.Name)
	})
}

// call implements "call SERVICE METHOD HOST BODY": it sends one request under a new ID.
func (s *scenario) call(ctx context.Context, _ *testscript.TestScript, args []string) error {
	s.lastReply = s.client.Send(ctx, s.callerAddress(args[2]), load.Request{
		ID: s.newID(), Service: args[0], Method: args[1], Body: args[3],
	})
	return nil
}

// poison implements "poison SERVICE METHOD CRASHES|refused": it sends a request that crashes upstreams, under new IDs and
// through each host in turn, until it has crashed CRASHES upstreams or every host in turn has refused it as quarantined.
func (s *scenario) poison(ctx context.Context, ts *testscript.TestScript, args []string) error {
	hosts := s.runningHosts()
	want, err := strconv.Atoi(args[2])
	if err != nil {
		want = -1
	}
	refused := 0
	for i := 0; refused < len(hosts) && s.crashCount(args[0]) != want; i++ {
		s.lastReply = s.client.Send(ctx, hosts[i%len(hosts)].CallerAddress, load.Request{
			ID: s.newID(), Service: args[0], Method: args[1], Body: crashBody,
		})
		ts.Logf("%s: %s %s", hosts[i%len(hosts)].Name, s.lastReply.Outcome, s.lastReply.Code)
		switch {
		case s.lastReply.Outcome == proto.OutcomeDone:
			return fmt.Errorf("%s answered a request that should have crashed it", s.lastReply.Upstream)
		case s.lastReply.Code == proto.CodeQuarantined && s.lastReply.Outcome == proto.OutcomeNotRun:
			refused++
		case refused > 0:
			return fmt.Errorf("%s replied %s %s after another host had refused the request as quarantined",
				hosts[i%len(hosts)].Name, s.lastReply.Outcome, s.lastReply.Code)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("after %d crashes the last reply is %s %s: %w",
				s.crashCount(args[0]), s.lastReply.Outcome, s.lastReply.Code, ctx.Err())
		}
		// Waits for the supervisor, which counts a crash only after the process has exited.
		time.Sleep(3 * pollInterval)
	}
	return nil
}

// startLongRequests implements "flight SERVICE METHOD HOST N": it starts N identical requests of class long in the
// background and returns once they are running. Each is resent under a new ID until it is answered or quarantined.
func (s *scenario) startLongRequests(ctx context.Context, _ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	before, err := s.fleet.Executions()
	if err != nil {
		return err
	}
	for range n {
		q := load.Request{Service: args[0], Method: args[1], Class: "long", Body: "identical", Deadline: 5 * time.Second}
		s.longRequests.Go(func() { s.sendUntilDone(s.callerAddress(args[2]), q) })
	}
	return fleet.Wait(ctx, func(context.Context) error {
		xs, err := s.fleet.Executions()
		if err == nil && len(xs) < len(before)+n {
			err = fmt.Errorf("%d of %d requests were started", len(xs)-len(before), n)
		}
		return err
	})
}

func (s *scenario) sendUntilDone(host string, q load.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	var r load.Reply
	for i := 0; ctx.Err() == nil; i++ {
		q.ID = s.newID()
		if r = s.client.Send(ctx, host, q); r.Outcome == proto.OutcomeDone {
			return
		}
		if r.Code == proto.CodeQuarantined {
			break
		}
		time.Sleep(pollInterval)
		if h := s.fleet.Hosts[i%len(s.fleet.Hosts)]; s.fleet.Running(h.Name) {
			host = h.CallerAddress
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostRequests = append(s.lostRequests, fmt.Sprintf("%s %s: %s %s", q.Method, q.Service, r.Outcome, r.Code))
}

// joinLongRequests implements "join": it waits for the requests started by "flight". Those that were not answered count as
// lost.
func (s *scenario) joinLongRequests(context.Context, *testscript.TestScript, []string) error {
	s.longRequests.Wait()
	return nil
}

// baseline is the state of the fleet that "remember" saves.
type baseline struct {
	owners   map[uint64]fleet.Ownership
	overview opapi.Fleet
	replicas map[string]string
}

// saveBaseline implements "remember": it saves settings, assignments and replica IDs, with which "expect settings",
// "expect assignments", "expect unchanged" and "fleet repaired" compare the current ones.
func (s *scenario) saveBaseline(ctx context.Context, _ *testscript.TestScript, _ []string) error {
	return fleet.Wait(ctx, func(ctx context.Context) (err error) {
		if s.baseline.overview, err = s.fleet.Overview(ctx); err != nil {
			return err
		}
		if s.baseline.owners, err = s.fleet.RangeOwners(ctx); err != nil {
			return err
		}
		rs, err := s.fleet.Replicas(ctx)
		s.baseline.replicas = map[string]string{}
		for h, r := range rs {
			s.baseline.replicas[h] = r.ID
		}
		return err
	})
}

// checkRepaired fails unless the group has three voters and no learner, every running replica is a member on its own
// host, and the replica that was lost last has a new ID.
func (s *scenario) checkRepaired(ctx context.Context) error {
	rs, err := s.fleet.Replicas(ctx)
	if err != nil {
		return err
	}
	for h, r := range rs {
		if len(r.Members.Voters) != 3 || len(r.Members.Learners) > 0 {
			return fmt.Errorf("replica %s sees %d voters and %d learners, want 3 and 0",
				h, len(r.Members.Voters), len(r.Members.Learners))
		}
		m, ok := r.Members.ByID(r.ID)
		if !ok || m.Host != h {
			return fmt.Errorf("replica %s is not a member", h)
		}
	}
	if s.lastLost != "" && rs[s.lastLost].ID == s.baseline.replicas[s.lastLost] {
		return fmt.Errorf("replica %s kept its ID after it was lost", s.lastLost)
	}
	return nil
}

// limit implements "limit TENANT N": it plans and confirms a limit of N requests of class long per second through the
// first running host.
func (s *scenario) limit(ctx context.Context, _ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	h := "http://" + s.runningHosts()[0].OperatorAddress
	return fleet.Wait(ctx, func(ctx context.Context) error {
		in := intent.Intent{
			ID: s.newID(), Operator: "scene",
			Limit: &intent.Limit{Tenant: args[0], Class: model.ClassLong, PerSecond: float64(n)},
		}
		p, err := peer.Call[intent.Intent, intent.Plan](ctx, http.DefaultClient, h+opapi.PathPlan, operatorToken, in)
		if err != nil {
			return err
		}
		_, err = peer.Call[opapi.ConfirmRequest, intent.Confirmation](ctx, http.DefaultClient, h+opapi.PathConfirm, operatorToken,
			opapi.ConfirmRequest{ID: p.ID, Operator: "scene"})
		return err
	})
}

// expectRefusal implements "refused ORDER HOST": it sends a keyed request through a host until its outcome is not_run, then
// a new order that must be refused with the same outcome.
func (s *scenario) expectRefusal(ctx context.Context, _ *testscript.TestScript, args []string) error {
	host := s.callerAddress(args[1])
	err := fleet.Wait(ctx, func(ctx context.Context) error {
		r := s.client.Send(ctx, host, load.Request{ID: s.newID(), Service: "catalogue", Key: "key-0"})
		if r.Outcome != proto.OutcomeNotRun {
			return fmt.Errorf("keyed request: got outcome %s with code %q, want not_run", r.Outcome, r.Code)
		}
		return nil
	})
	if err != nil {
		return err
	}
	q := load.Request{
		ID: s.newID(), Service: "orders", Method: http.MethodPost, Body: args[0], Deadline: time.Second,
	}
	s.orders[args[0]] = q
	if r := s.client.Send(ctx, host, q); r.Outcome != proto.OutcomeNotRun {
		return fmt.Errorf("order: got outcome %s with code %q, want not_run: %w", r.Outcome, r.Code, r.Err)
	}
	return nil
}

func waitFor(ctx context.Context, arg string) error {
	d, err := time.ParseDuration(arg)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// expectTrafficOrBaseline implements "expect code CODE", "expect crashes SERVICE N" (at most N), "expect unused UPSTREAM",
// "expect fenced" and "expect settings|assignments|unchanged".
func (s *scenario) expectTrafficOrBaseline(ctx context.Context, args []string) error {
	switch args[0] {
	case "code":
		if string(s.lastReply.Code) != args[1] {
			return fmt.Errorf("last reply: got code %q, want %q", s.lastReply.Code, args[1])
		}
		return nil
	case "crashes":
		n, err := strconv.Atoi(args[2])
		if got := s.crashCount(args[1]); err == nil && got > n {
			err = fmt.Errorf("%d crashes of upstreams of %s, want at most %d", got, args[1], n)
		}
		return err
	case "unused":
		xs, err := s.fleet.Executions()
		for _, x := range xs {
			if x.Upstream == args[1] {
				return fmt.Errorf("%s executed request %s, want none", args[1], x.RequestID)
			}
		}
		return err
	case "fenced":
		return s.expectFenced()
	case "settings", "assignments", "unchanged":
		return fleet.Wait(ctx, func(ctx context.Context) error { return s.compareWithBaseline(ctx, args[0]) })
	}
	return unknownExpectation(args[0])
}

// expectFenced fails if an upstream executed a request that was sent after a request of a later epoch of the range had
// started. Requests sent before are allowed: an owner that does not check grants still executes what it had received
// before it froze once it resumes, and nothing can cancel these requests.
func (s *scenario) expectFenced() error {
	xs, err := s.fleet.Executions()
	if err != nil {
		return err
	}
	for _, x := range xs {
		sentMs, err := claim.IDTime(x.RequestID)
		if err != nil {
			return err
		}
		for _, y := range xs {
			if y.Range == x.Range && y.Epoch > x.Epoch && sentMs > y.StartNs/int64(time.Millisecond) {
				return fmt.Errorf("executed, but sent after a later epoch had started: %s", describeExecution(x))
			}
		}
	}
	return nil
}

// checkAssignmentsKept fails if an assignment of the baseline was lost or reverted. A range may have moved under a later
// epoch: on a busy machine an upstream that does not announce itself for 0.9 s correctly loses its grant.
func (s *scenario) checkAssignmentsKept(now map[uint64]fleet.Ownership) error {
	for r, before := range s.baseline.owners {
		current, ok := now[r]
		if !ok || current.Epoch < before.Epoch || (current.Epoch == before.Epoch && current.Upstream != before.Upstream) {
			return fmt.Errorf("range %d: got %+v, want %+v or a later epoch", r, current, before)
		}
	}
	return nil
}

// compareWithBaseline fails if the assignments, settings or table version of the fleet differ from the baseline.
func (s *scenario) compareWithBaseline(ctx context.Context, expectation string) error {
	if expectation == "assignments" {
		now, err := s.fleet.RangeOwners(ctx)
		if err != nil {
			return err
		}
		return s.checkAssignmentsKept(now)
	}
	now, err := s.fleet.Overview(ctx)
	if err != nil {
		return err
	}
	before := s.baseline.overview
	if now.Revision != before.Revision || !slices.Equal(now.Limits, before.Limits) {
		return fmt.Errorf("got revision %d with limits %v, want revision %d with %v",
			now.Revision, now.Limits, before.Revision, before.Limits)
	}
	if expectation == "unchanged" && now.TableVersion != before.TableVersion {
		return fmt.Errorf("got table version %d, want %d", now.TableVersion, before.TableVersion)
	}
	return nil
}
