package gate

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

const (
	// defaultTimeout bounds a request before its route is known and without a deadline of the caller.
	defaultTimeout = 30 * time.Second
	// ownerWaitShare is the share of the latency objective that a keyed request waits for an owner.
	ownerWaitShare = 0.75
	// retryAfter tells callers when to come back after a refusal. Most causes are over within a second.
	retryAfter = 120 * time.Millisecond
	// ownerPause paces the sends to an owner that is about to get or lose the key.
	ownerPause = 150 * time.Millisecond
	// maxRefusals bounds the sends of one request that upstreams refused.
	maxRefusals = 6
)

// call is one request of a caller.
type call struct {
	gate    *Gate
	id      string
	started time.Duration
	// until is when the caller or the route gives up.
	until time.Duration
	route model.Route
	part  string
	body  []byte
	// version is that of the table that the last try used.
	version  uint64
	upstream string
	tried    map[string]bool
	sends    int
	refusals int
	// maybeRan is true once a try may have run.
	maybeRan bool
	reason   string
	// failed is the last answer of an upstream that was a failure.
	failed *pipe.Answer
	// trail says how the tries before the last one ended, at most maxTrail of them.
	trail []string
	// key, first, last and epoch describe the range that a keyed request was routed by.
	key         int
	first, last uint64
	epoch       uint64
	buffered    int64
}

// maxTrail bounds the tries that the line of a request tells of.
const maxTrail = 6

// tell notes how a try ended, for the line of the request.
func (c *call) tell(ending string) {
	if len(c.trail) < maxTrail {
		c.trail = append(c.trail, ending)
	}
}

// reply is the final answer. Code is empty for an answer of an upstream.
type reply struct {
	pipe.Answer
	code       proto.Code
	retryAfter time.Duration
}

func (c *call) now() time.Duration { return c.gate.cfg.Clock() }

// limit bounds the request by the deadline of the caller.
func (c *call) limit(r *http.Request) (context.Context, context.CancelFunc) {
	left := defaultTimeout
	if ms, err := strconv.ParseFloat(r.Header.Get(c.gate.cfg.Names.Deadline), 64); err == nil && ms > 0 {
		left = min(left, time.Duration(ms*float64(time.Millisecond)))
	}
	c.until = c.started + left
	return context.WithTimeout(r.Context(), left)
}

func (c *call) run(ctx context.Context, r *http.Request) reply {
	t, _ := c.gate.cfg.View.Table()
	if t.Version == 0 || len(t.Routes) == 0 {
		return c.refuse(proto.CodeNoLease, "no configuration yet")
	}
	c.version = t.Version
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	rt, ok := findRoute(t, host, r.URL.Path)
	if !ok && c.gate.cfg.View.Provisional() {
		return c.refuse(proto.CodeNoLease, "the route is not in the table of a replica that may lack the last changes")
	}
	if !ok {
		return reply{Answer: pipe.Answer{Status: http.StatusNotFound}, code: proto.CodeNotFound}
	}
	c.route, c.part = rt, choosePart(rt)
	c.until = min(c.until, c.started+time.Duration(rt.TimeoutMs)*time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, c.until-c.now())
	defer cancel()
	if a, ok := c.readBody(r, t.Bounds); !ok {
		return a
	}
	c.gate.cfg.Budget.Started(c.now(), c.part, c.gate.hosts())
	if t.Services[c.part].Keyed {
		return c.runKeyed(ctx, r)
	}
	return c.runAny(ctx, r)
}

// readBody holds the whole body, so that it can be sent again.
func (c *call) readBody(r *http.Request, b model.Bounds) (reply, bool) {
	bound := b.BodyBytes
	if bound <= 0 {
		bound = c.gate.cfg.MaxBodyBytes
	}
	if r.ContentLength > bound {
		return reply{Answer: pipe.Answer{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	if c.gate.buffered.Load() > c.gate.cfg.MaxBuffered {
		return c.refuse(proto.CodeOverloaded, "too many request bodies are held"), false
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bound+1))
	c.buffered = int64(len(body))
	c.gate.buffered.Add(c.buffered)
	switch {
	case err != nil:
		c.reason = "body can't be read: " + err.Error()
		return reply{Answer: pipe.Answer{Status: http.StatusBadRequest}, code: proto.CodeBadRequest}, false
	case int64(len(body)) > bound:
		return reply{Answer: pipe.Answer{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	c.body = body
	return reply{}, true
}

// runAny sends a request that any upstream of the service may run.
func (c *call) runAny(ctx context.Context, r *http.Request) reply {
	for {
		t, _ := c.gate.cfg.View.Table()
		c.version = t.Version
		u, ok := c.gate.cfg.Picker.Pick(c.now(), t.Candidates(c.part), c.tried)
		if !ok {
			return c.giveUp(ctx, proto.CodeNoUpstream, "no upstream is left to try")
		}
		a, f := c.send(ctx, r, u)
		if f == nil {
			if !c.retriesAnswer(a) {
				return reply{Answer: *a}
			}
			continue
		}
		if !c.again(ctx, f) {
			return c.giveUp(ctx, codeOf(f), f.Error())
		}
	}
}

// runKeyed sends a request to the owner of its key and follows the key while it moves.
func (c *call) runKeyed(ctx context.Context, r *http.Request) reply {
	key, err := strconv.ParseUint(r.Header.Get(c.gate.cfg.Names.Key), 10, 16)
	if err != nil {
		c.reason = "key " + strconv.Quote(r.Header.Get(c.gate.cfg.Names.Key)) + " is no number from 0 to 65535"
		return reply{Answer: pipe.Answer{Status: http.StatusBadRequest}, code: proto.CodeMissingKey}
	}
	c.key = int(key)
	position := model.OrderedPosition(uint16(key))
	patience := c.started + time.Duration(ownerWaitShare*float64(c.route.ObjectiveMs))*time.Millisecond
	for {
		to, changed, room := c.takeOwner(ctx, position, patience)
		if room != RoomFree {
			c.recordDemand(to, position)
			code, reason := lackOfRoom(room)
			return c.giveUp(ctx, code, reason)
		}
		a, f := c.sendKeyed(ctx, r, to, position)
		if f == nil {
			if !c.retriesAnswer(a) {
				return reply{Answer: *a}
			}
			continue
		}
		if misdirected(f) && !c.awaitMove(ctx, to, position, patience, changed) {
			return c.giveUp(ctx, proto.CodeStaleGrant, f.Error())
		}
		if !c.again(ctx, f) {
			return c.giveUp(ctx, codeOf(f), f.Error())
		}
	}
}

// misdirected tells whether the upstream does not hold the key.
func misdirected(f *pipe.Failure) bool {
	return f.Stage == pipe.StageRefused && f.Status == http.StatusMisdirectedRequest
}

// lackOfRoom says why a request was not sent to the owner of its key.
func lackOfRoom(room Room) (proto.Code, string) {
	switch room {
	case RoomEjected:
		return proto.CodeNoUpstream, "the owner of the key fails and is left alone for a while"
	case RoomNone:
		return proto.CodeOverloaded, "enough requests wait for the owner of the key"
	case RoomWait:
		return proto.CodeOverloaded, "the owner of the key had no room in time"
	}
	return proto.CodeNoUpstream, "the key has no owner"
}

// takeOwner finds the owner of the key and waits until it has room. With RoomFree the request is to be sent; an empty
// room means that there is no owner.
func (c *call) takeOwner(
	ctx context.Context, position uint64, patience time.Duration,
) (route.Target, <-chan struct{}, Room) {
	// waiting is the owner that counts this request among those that wait for it.
	var waiting model.Upstream
	leave := func() {
		if waiting.Name != "" {
			c.gate.cfg.Picker.Leave(waiting)
			waiting = model.Upstream{}
		}
	}
	for {
		t, changed := c.gate.cfg.View.Table()
		c.version = t.Version
		to := t.OwnerAt(c.part, position)
		if to.Upstream != waiting {
			leave()
		}
		pause, room := patience-c.now(), Room("")
		if to.Upstream.Name != "" && c.gate.cfg.View.MayRouteTo(c.now(), to.Upstream) {
			c.upstream = to.Upstream.Name
			c.first, c.last = to.Assignment.First/model.OrderedSpan, to.Assignment.Last/model.OrderedSpan
			c.epoch = to.Assignment.Epoch
			room = c.gate.cfg.Picker.Take(c.now(), to.Upstream, waiting.Name != "")
		}
		switch room {
		case RoomFree:
			return to, changed, room
		case RoomNone, RoomEjected:
			leave()
			return to, changed, room
		case RoomWait:
			waiting, pause = to.Upstream, min(pause, roomPause)
		}
		if c.now() >= patience || !c.await(ctx, changed, pause) {
			leave()
			return to, changed, room
		}
	}
}

// roomPause paces the checks for room at the owner of a key.
const roomPause = 15 * time.Millisecond

// recordDemand notes a request for a key at once, whether its owner gets it or not: an owner that is left alone because it
// fails must not look idle.
func (c *call) recordDemand(to route.Target, position uint64) time.Duration {
	usual := c.gate.work.usual(c.part)
	if to.Upstream.Name != "" {
		c.gate.cfg.View.RecordPosition(c.now(), to.Assignment, position, usual)
	}
	return usual
}

// sendKeyed makes one try at the owner of a key and takes note of its load.
func (c *call) sendKeyed(
	ctx context.Context, r *http.Request, to route.Target, position uint64,
) (*pipe.Answer, *pipe.Failure) {
	sent := c.now()
	recorded := c.recordDemand(to, position)
	a, f := c.send(ctx, r, to.Upstream)
	if f != nil && f.Stage != pipe.StageUnknown {
		return a, f
	}
	elapsed := c.now() - sent
	if f != nil && elapsed < recorded {
		// A connection that broke soon says nothing of the work.
		return a, f
	}
	load, usual := c.gate.work.observe(c.part, elapsed)
	if load > recorded {
		c.gate.cfg.View.RecordExtraTime(c.now(), to.Assignment, position, load-recorded)
	}
	c.gate.cfg.Picker.Slow(c.now(), to.Upstream, elapsed, usual)
	return a, f
}

// awaitMove waits until the key has another owner than the one that refused it, or that one may have learned of it.
func (c *call) awaitMove(
	ctx context.Context, was route.Target, position uint64, patience time.Duration, changed <-chan struct{},
) bool {
	again := c.now() + ownerPause
	if was.Moving {
		again = patience
	}
	for c.now() < patience {
		if !c.await(ctx, changed, min(again, patience)-c.now()) {
			return false
		}
		var t *route.Table
		t, changed = c.gate.cfg.View.Table()
		to := t.OwnerAt(c.part, position)
		if to.Assignment.Epoch != was.Assignment.Epoch || c.now() >= again && !to.Moving {
			return true
		}
		if to.Moving {
			again = patience
		}
	}
	return false
}

// await waits for a newer table, at most for d. It returns false if the request ended meanwhile.
func (c *call) await(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}

// send makes one try at an upstream that the picker has counted.
func (c *call) send(ctx context.Context, r *http.Request, u model.Upstream) (*pipe.Answer, *pipe.Failure) {
	now := c.now()
	c.upstream = u.Name
	c.sends++
	a, f := c.gate.cfg.Pool.Send(ctx, pipe.Request{
		ID: c.id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: c.body,
		Left: c.until - now, Upstream: u.Name, Address: u.Address,
	})
	c.gate.cfg.Picker.Done(c.now(), u, resultOf(ctx, a, f), c.now()-now)
	if f == nil {
		c.maybeRan = true
		c.tried[u.Name] = true
		return a, nil
	}
	switch f.Stage {
	case pipe.StageUnknown:
		c.maybeRan = true
		c.tried[u.Name] = true
	case pipe.StageRefused:
		c.refusals++
		if f.Status != http.StatusMisdirectedRequest {
			c.tried[u.Name] = true
		}
	case pipe.StageNotSent:
		c.tried[u.Name] = true
	}
	c.tell(u.Name + " " + string(f.Stage) + ": " + f.Error())
	return nil, f
}

func resultOf(ctx context.Context, a *pipe.Answer, f *pipe.Failure) Result {
	switch {
	case f == nil && a.Status < http.StatusInternalServerError:
		return ResultDone
	case f == nil:
		return ResultFailed
	case f.Stage == pipe.StageRefused && f.Status == http.StatusMisdirectedRequest:
		return ResultNeutral
	case f.Stage == pipe.StageRefused:
		return ResultRefused
	case ctx.Err() != nil:
		return ResultNeutral
	}
	return ResultFailed
}

// retriesAnswer tells whether an upstream's own failure is worth another try.
func (c *call) retriesAnswer(a *pipe.Answer) bool {
	if a.Status < http.StatusInternalServerError || !c.route.Idempotent || !c.mayResend() {
		return false
	}
	c.failed = a
	c.tell(c.upstream + " answered " + strconv.Itoa(a.Status))
	return true
}

// again tells whether the request may be sent once more after the failure.
func (c *call) again(ctx context.Context, f *pipe.Failure) bool {
	if ctx.Err() != nil {
		return false
	}
	switch f.Stage {
	case pipe.StageUnknown:
		return c.route.Idempotent && c.mayResend()
	case pipe.StageRefused:
		return c.refusals < maxRefusals && c.mayResend()
	}
	// Nothing reached the upstream, so nothing is repeated.
	return len(c.tried) <= c.route.Attempts+1
}

// mayResend takes one repeated send from the budget, within the attempts of the route.
func (c *call) mayResend() bool {
	if len(c.tried) >= max(1, c.route.Attempts) {
		return false
	}
	return c.gate.cfg.Budget.Take(c.now(), c.part, c.gate.hosts())
}

// refuse answers a request that was not run and never will be.
func (c *call) refuse(code proto.Code, reason string) reply {
	c.reason = reason
	return reply{Answer: pipe.Answer{Status: http.StatusServiceUnavailable}, code: code, retryAfter: retryAfter}
}

// giveUp answers a request without an answer of an upstream.
func (c *call) giveUp(ctx context.Context, code proto.Code, reason string) reply {
	c.reason = reason
	switch {
	case c.failed != nil:
		// The upstream's own failure says more than one of ours.
		return reply{Answer: *c.failed}
	case !c.maybeRan:
		return c.refuse(code, reason)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reply{Answer: pipe.Answer{Status: http.StatusGatewayTimeout}, code: proto.CodeDeadline}
	}
	return reply{Answer: pipe.Answer{Status: http.StatusBadGateway}, code: code}
}

func codeOf(f *pipe.Failure) proto.Code {
	switch f.Stage {
	case pipe.StageNotSent:
		return proto.CodeUpstreamFailed
	case pipe.StageRefused:
		return proto.CodeOverloaded
	}
	return proto.CodeConnectionLost
}

// finish writes the answer, and one log line.
func (c *call) finish(w http.ResponseWriter, r *http.Request, a reply) {
	c.gate.buffered.Add(-c.buffered)
	h := w.Header()
	for k, vs := range a.Header {
		h[k] = vs
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil
		}
	}
	if a.code != "" {
		h.Set(c.gate.cfg.Names.RequestID, c.id)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if c.gate.stopping.Load() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	if r.Method != http.MethodHead {
		// A caller that has left gets no answer.
		_, _ = w.Write(a.Body)
	}
	c.log(r.Context(), a)
}

// outcome tells what the caller can rely on.
func (c *call) outcome(a reply) proto.Outcome {
	switch {
	case a.code == "":
		return proto.OutcomeDone
	case c.maybeRan:
		return proto.OutcomeUnknown
	}
	return proto.OutcomeNotRun
}

func (c *call) log(ctx context.Context, a reply) {
	elapsed := c.now() - c.started
	outcome := c.outcome(a)
	if m := c.gate.cfg.Metrics; m != nil {
		m.Observe(c.route.Name, model.ClassShort, outcome, elapsed)
	}
	level := slog.LevelInfo
	if a.code != "" {
		level = slog.LevelWarn
	}
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.String("route", c.route.Name), slog.Uint64("route_version", c.route.Version),
		slog.Uint64("table", c.version), slog.String("service", c.part), slog.String("upstream", c.upstream),
		slog.Int("sends", c.sends), slog.Int("status", a.Status), slog.String("outcome", string(outcome)),
		slog.Int64("ms", elapsed.Milliseconds()),
	}
	if a.code != "" {
		attrs = append(attrs, slog.String("code", string(a.code)), slog.String("reason", c.reason),
			slog.Bool("caller_left", ctx.Err() != nil))
	}
	if c.epoch > 0 {
		attrs = append(attrs, slog.Int("key", c.key), slog.Uint64("first", c.first), slog.Uint64("last", c.last),
			slog.Uint64("epoch", c.epoch))
	}
	if len(c.trail) > 0 {
		attrs = append(attrs, slog.Any("tries", c.trail))
	}
	c.gate.cfg.Log.LogAttrs(ctx, level, "request", attrs...)
}
