package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/model"
	"baobabreach/internal/retry"
	"baobabreach/internal/route"
	"baobabreach/internal/wire"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// attempt waits for a target and a slot and forwards the request once.
func (s *Server) attempt(ctx context.Context, q *Request) (*Response, *proto.Error) {
	if q.Service.Keyed {
		return s.attemptKeyed(ctx, q)
	}
	table, _ := s.cfg.View.Table()
	us := table.Candidates(q.Service.Name)
	if len(us) == 0 {
		return nil, proto.NotRun(proto.CodeNoUpstream, http.StatusServiceUnavailable, "service %s has no upstream", q.Service.Name)
	}
	return s.forwardTo(ctx, q, us, route.Target{}, nil)
}

func (s *Server) attemptKeyed(ctx context.Context, q *Request) (*Response, *proto.Error) {
	for {
		table, changed := s.cfg.View.Table()
		if !s.cfg.View.Leased(s.cfg.Clock()) {
			return nil, proto.NotRun(proto.CodeNoLease, http.StatusServiceUnavailable, "host %s holds no routing lease", s.cfg.Host)
		}
		t := table.Owner(q.Service.Name, q.Key)
		if t.Moving {
			if err := waitFor(ctx, changed); err != nil {
				return nil, err
			}
			continue
		}
		done, ok := s.cfg.View.BeginRequest(table.Version)
		if !ok {
			continue
		}
		a, err := s.forwardTo(ctx, q, []model.Upstream{t.Upstream}, t, func() bool {
			return s.cfg.View.Leased(s.cfg.Clock())
		})
		done()
		return a, err
	}
}

// whileLeased returns a context that is cancelled when the routing lease ends: after that the leader may give the
// range to another owner, and an upstream that doesn't check grants would keep running the request.
func (s *Server) whileLeased(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	var t *time.Timer
	var mu sync.Mutex
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		left := s.cfg.View.LeaseLeft(s.cfg.Clock())
		switch {
		case ctx.Err() != nil:
		case left <= 0:
			cancel()
		default:
			t.Reset(left)
		}
	}
	mu.Lock()
	t = time.AfterFunc(max(0, s.cfg.View.LeaseLeft(s.cfg.Clock())), check)
	mu.Unlock()
	return ctx, func() {
		cancel()
		t.Stop()
	}
}

func waitFor(ctx context.Context, changed <-chan struct{}) *proto.Error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable, "the key had no owner before the deadline")
	}
}

// forwardTo takes a slot and sends the request, or hands both to the dispatcher. mayForward is checked right before
// the send.
func (s *Server) forwardTo(
	ctx context.Context, q *Request, us []model.Upstream, t route.Target, mayForward func() bool,
) (*Response, *proto.Error) {
	ticket := SlotRequest{Request: q, Upstreams: us}
	if s.cfg.Relay != nil {
		if mayForward != nil && !mayForward() {
			return nil, errLeaseEnded()
		}
		return s.cfg.Relay(ctx, ticket, t)
	}
	return s.Forward(ctx, s.cfg.AcquireSlot, ticket, t, mayForward)
}

func errLeaseEnded() *proto.Error {
	return proto.NotRun(proto.CodeNoLease, http.StatusServiceUnavailable, "the routing lease ended while the request waited")
}

// Forward takes a slot and sends the request once, or twice if it is hedged. mayForward may be nil.
func (s *Server) Forward(
	ctx context.Context, slots AcquireSlotFunc, ticket SlotRequest, t route.Target, mayForward func() bool,
) (*Response, *proto.Error) {
	u, release, err := slots(ctx, ticket)
	if err != nil {
		return nil, err
	}
	q := ticket.Request
	if q.Service.Keyed && !t.Upstream.ChecksGrants {
		var stop func()
		ctx, stop = s.whileLeased(ctx)
		defer stop()
	}
	delay, ok := s.cfg.Retry.HedgeDelay(q.Class)
	if !ok || !q.Idempotent || q.Service.Keyed {
		return s.sendAndRelease(ctx, q, u, t.Assignment, release, mayForward)
	}
	return s.hedged(ctx, slots, ticket, u, release, delay)
}

// sendAndRelease sends the request and gives the slot back with what the result tells about the upstream. mayForward
// is checked right before the send, after every wait.
func (s *Server) sendAndRelease(
	ctx context.Context, q *Request, u model.Upstream, a model.Assignment, release func(admit.Result),
	mayForward func() bool,
) (*Response, *proto.Error) {
	pass, err := s.cfg.Guard.enter(ctx, q, u, s.newHolder())
	if err != nil {
		release(admit.Result{Kind: admit.KindNeutral})
		return nil, err
	}
	start := s.cfg.Clock()
	if mayForward != nil && !mayForward() {
		pass.leave(ctx, false, false)
		release(admit.Result{Kind: admit.KindNeutral})
		return nil, errLeaseEnded()
	}
	answer, err := s.send(ctx, q, u, a)
	pass.leave(ctx, isBroken(ctx, err), err == nil)
	r := admit.Result{Kind: retry.ResultKind(err), Elapsed: s.cfg.Clock() - start}
	if err != nil {
		r.RetryAfter = ms(err.RetryAfterMs)
	} else {
		s.cfg.Retry.Observe(q.Class, r.Elapsed)
	}
	if r.Kind == admit.KindFailed && errors.Is(ctx.Err(), context.Canceled) {
		r.Kind = admit.KindNeutral
	}
	release(r)
	if q.Service.Keyed && (err == nil || err.Outcome != proto.OutcomeNotRun) {
		s.cfg.View.Record(start+r.Elapsed, q.Service.Name, model.HashKey(q.Service.Name, q.Key), a.ID, r.Elapsed)
	}
	return answer, err
}

type attemptResult struct {
	answer *Response
	err    *proto.Error
}

// hedged sends the request and, once it has taken longer than delay, a second time to another upstream that has room
// at once. The first complete answer wins and the other send is cancelled.
func (s *Server) hedged(
	ctx context.Context, slots AcquireSlotFunc, ticket SlotRequest, u model.Upstream, release func(admit.Result), delay time.Duration,
) (*Response, *proto.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	run := func(u model.Upstream, release func(admit.Result)) {
		a, err := s.sendAndRelease(ctx, ticket.Request, u, model.Assignment{}, release, nil)
		results <- attemptResult{a, err}
	}
	go run(u, release)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.answer, r.err
	case <-timer.C:
	}
	sent := 1
	if second, giveBack, ok := s.secondSlot(ctx, slots, ticket, u); ok {
		s.cfg.Metrics.Inc("hedged")
		go run(second, giveBack)
		sent++
	}
	r := <-results
	if r.err != nil && sent == 2 {
		ran := r.err.Outcome != proto.OutcomeNotRun
		if r = <-results; r.err != nil {
			r.err = mayHaveRun(r.err, ran)
		}
	}
	return r.answer, r.err
}

// secondSlot takes a free slot of another upstream within the hedging budget.
func (s *Server) secondSlot(
	ctx context.Context, slots AcquireSlotFunc, ticket SlotRequest, first model.Upstream,
) (model.Upstream, func(admit.Result), bool) {
	if !s.cfg.Retry.TakeHedge() {
		return model.Upstream{}, nil, false
	}
	ticket.NoWait = true
	u, release, err := slots(ctx, ticket)
	if err != nil {
		return u, nil, false
	}
	if u.Name == first.Name {
		release(admit.Result{Kind: admit.KindNeutral})
		return u, nil, false
	}
	return u, release, true
}

// isBroken tells whether the upstream broke the connection, which a crash does.
func isBroken(ctx context.Context, err *proto.Error) bool {
	return err != nil && ctx.Err() == nil && (err.Code == proto.CodeConnectionLost || err.Code == proto.CodeTruncatedAnswer)
}

// send forwards the request once and reads the whole answer.
func (s *Server) send(ctx context.Context, q *Request, u model.Upstream, a model.Assignment) (*Response, *proto.Error) {
	w, err := s.wire.Send(ctx, u, wire.Request{
		ID: q.ID, Method: q.Method, Path: q.Path, Query: q.Query, Header: q.Header, Body: q.Body,
		Keyed: q.Service.Keyed, Fence: a.Fence(),
	})
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: w.Status, Header: w.Header, Body: w.Body, Upstream: u.Name, Outcome: proto.OutcomeDone,
	}, nil
}
