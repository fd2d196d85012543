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

// attempt waits for a target and a slot and forwards the request. It makes a single attempt, which may be hedged.
func (s *Server) attempt(ctx context.Context, req *Request) (*Response, *proto.Error) {
	if req.Service.Keyed {
		return s.attemptKeyed(ctx, req)
	}
	table, _ := s.cfg.View.Table()
	upstreams := table.Candidates(req.Service.Name)
	if len(upstreams) == 0 {
		return nil, proto.NotRun(proto.CodeNoUpstream, http.StatusServiceUnavailable,
			"service %s has no upstream", req.Service.Name)
	}
	return s.forwardOrRelay(ctx, req, upstreams, route.Target{}, nil)
}

func (s *Server) attemptKeyed(ctx context.Context, req *Request) (*Response, *proto.Error) {
	for {
		table, changed := s.cfg.View.Table()
		if !s.cfg.View.Leased(s.cfg.Clock()) {
			return nil, proto.NotRun(proto.CodeNoLease, http.StatusServiceUnavailable, "host %s holds no routing lease", s.cfg.Host)
		}
		target := table.Owner(req.Service.Name, req.Key)
		if target.Moving {
			if err := waitForOwner(ctx, changed); err != nil {
				return nil, err
			}
			continue
		}
		endRequest, ok := s.cfg.View.BeginRequest(table.Version)
		if !ok {
			continue
		}
		resp, err := s.forwardOrRelay(ctx, req, []model.Upstream{target.Upstream}, target, func() bool {
			return s.cfg.View.Leased(s.cfg.Clock())
		})
		endRequest()
		return resp, err
	}
}

// withLeaseCancel returns a context that is cancelled when the routing lease ends: the leader may then give the range to
// another owner, and an upstream that doesn't check grants would keep running the request.
func (s *Server) withLeaseCancel(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	var timer *time.Timer
	var mu sync.Mutex
	cancelOrRearm := func() {
		mu.Lock()
		defer mu.Unlock()
		left := s.cfg.View.LeaseLeft(s.cfg.Clock())
		switch {
		case ctx.Err() != nil:
		case left <= 0:
			cancel()
		default:
			timer.Reset(left)
		}
	}
	mu.Lock()
	timer = time.AfterFunc(max(0, s.cfg.View.LeaseLeft(s.cfg.Clock())), cancelOrRearm)
	mu.Unlock()
	return ctx, func() {
		cancel()
		timer.Stop()
	}
}

func waitForOwner(ctx context.Context, changed <-chan struct{}) *proto.Error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable, "the key had no owner before the deadline")
	}
}

// forwardOrRelay acquires a slot and sends the request, or leaves both to the dispatcher. mayForward is checked right
// before the send.
func (s *Server) forwardOrRelay(
	ctx context.Context, req *Request, upstreams []model.Upstream, target route.Target, mayForward func() bool,
) (*Response, *proto.Error) {
	slotReq := SlotRequest{Request: req, Upstreams: upstreams}
	if s.cfg.Relay != nil {
		if err := s.checkStop(ctx); err != nil {
			return nil, err
		}
		if mayForward != nil && !mayForward() {
			return nil, errLeaseEnded()
		}
		return s.cfg.Relay(ctx, slotReq, target)
	}
	return s.Forward(ctx, s.cfg.AcquireSlot, slotReq, target, mayForward)
}

func errLeaseEnded() *proto.Error {
	return proto.NotRun(proto.CodeNoLease, http.StatusServiceUnavailable, "the routing lease ended while the request waited")
}

// Forward acquires a slot and sends the request once, or twice if it is hedged. mayForward may be nil.
func (s *Server) Forward(
	ctx context.Context, acquire AcquireSlotFunc, slotReq SlotRequest, target route.Target, mayForward func() bool,
) (*Response, *proto.Error) {
	u, release, err := acquire(ctx, slotReq)
	if err != nil {
		return nil, err
	}
	req := slotReq.Request
	if req.Service.Keyed && !target.Upstream.ChecksGrants {
		var cancel func()
		ctx, cancel = s.withLeaseCancel(ctx)
		defer cancel()
	}
	delay, ok := s.cfg.Retry.HedgeDelay(req.Class)
	if !ok || !req.Idempotent || req.Service.Keyed {
		return s.sendAndRelease(ctx, req, u, target.Assignment, release, mayForward)
	}
	return s.sendHedged(ctx, acquire, slotReq, u, release, delay)
}

// sendAndRelease sends the request and releases the slot with the result, from which the slot pool learns whether the
// upstream works. mayForward is checked right before the send, after every wait.
func (s *Server) sendAndRelease(
	ctx context.Context, req *Request, u model.Upstream, assignment model.Assignment, release func(admit.Result),
	mayForward func() bool,
) (*Response, *proto.Error) {
	guarded, err := s.cfg.Guard.begin(ctx, req, u, s.newHolderID())
	if err != nil {
		release(admit.Result{Kind: admit.KindNeutral})
		return nil, err
	}
	start := s.cfg.Clock()
	err = s.checkStop(ctx)
	if err == nil && mayForward != nil && !mayForward() {
		err = errLeaseEnded()
	}
	if err != nil {
		guarded.end(ctx, false, false)
		release(admit.Result{Kind: admit.KindNeutral})
		return nil, err
	}
	resp, err := s.send(ctx, req, u, assignment)
	guarded.end(ctx, brokeConnection(ctx, err), err == nil)
	result := admit.Result{Kind: retry.ResultKind(err), Elapsed: s.cfg.Clock() - start}
	if err != nil {
		result.RetryAfter = ms(err.RetryAfterMs)
	} else {
		s.cfg.Retry.Observe(req.Class, result.Elapsed)
	}
	if result.Kind == admit.KindFailed && errors.Is(ctx.Err(), context.Canceled) {
		result.Kind = admit.KindNeutral
	}
	release(result)
	if req.Service.Keyed && (err == nil || err.Outcome != proto.OutcomeNotRun) {
		s.cfg.View.Record(start+result.Elapsed, req.Service.Name, model.HashKey(req.Service.Name, req.Key),
			assignment.ID, result.Elapsed)
	}
	return resp, err
}

type attemptResult struct {
	resp *Response
	err  *proto.Error
}

// sendHedged sends the request and, if there is no response after delay, sends it again to another upstream that has a
// free slot. The first complete response wins and the other send is cancelled.
func (s *Server) sendHedged(
	ctx context.Context, acquire AcquireSlotFunc, slotReq SlotRequest, u model.Upstream, release func(admit.Result),
	delay time.Duration,
) (*Response, *proto.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	sendTo := func(u model.Upstream, release func(admit.Result)) {
		resp, err := s.sendAndRelease(ctx, slotReq.Request, u, model.Assignment{}, release, nil)
		results <- attemptResult{resp, err}
	}
	go sendTo(u, release)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.resp, r.err
	case <-timer.C:
	}
	sends := 1
	if second, releaseSecond, ok := s.acquireHedgeSlot(ctx, acquire, slotReq, u); ok {
		s.cfg.Metrics.Inc("hedged")
		go sendTo(second, releaseSecond)
		sends++
	}
	r := <-results
	if r.err != nil && sends == 2 {
		mayHaveRun := r.err.Outcome != proto.OutcomeNotRun
		if r = <-results; r.err != nil {
			r.err = withUnknownOutcome(r.err, mayHaveRun)
		}
	}
	return r.resp, r.err
}

// acquireHedgeSlot acquires a slot of another upstream without waiting, within the hedging budget.
func (s *Server) acquireHedgeSlot(
	ctx context.Context, acquire AcquireSlotFunc, slotReq SlotRequest, first model.Upstream,
) (model.Upstream, func(admit.Result), bool) {
	if !s.cfg.Retry.TakeHedge() {
		return model.Upstream{}, nil, false
	}
	slotReq.NoWait = true
	u, release, err := acquire(ctx, slotReq)
	if err != nil {
		return u, nil, false
	}
	if u.Name == first.Name {
		release(admit.Result{Kind: admit.KindNeutral})
		return u, nil, false
	}
	return u, release, true
}

// brokeConnection reports whether the upstream broke the connection, as it does when it crashes.
func brokeConnection(ctx context.Context, err *proto.Error) bool {
	return err != nil && ctx.Err() == nil && (err.Code == proto.CodeConnectionLost || err.Code == proto.CodeTruncatedAnswer)
}

// send sends the request once and reads the complete response.
func (s *Server) send(
	ctx context.Context, req *Request, u model.Upstream, assignment model.Assignment,
) (*Response, *proto.Error) {
	resp, err := s.client.Send(ctx, u, wire.Request{
		ID: req.ID, Method: req.Method, Path: req.Path, Query: req.Query, Header: req.Header, Body: req.Body,
		Keyed: req.Service.Keyed, Fence: assignment.Fence(),
	})
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: resp.Status, Header: resp.Header, Body: resp.Body, Upstream: u.Name, Outcome: proto.OutcomeDone,
	}, nil
}
