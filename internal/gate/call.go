package gate

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/room"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

const (
	// defaultTimeout is the longest time for a request; the deadline of the caller or the timeout of the route may shorten it.
	defaultTimeout = 30 * time.Second
	// ownerWaitShare is the share of the latency objective for which a keyed request may wait for an owner that accepts it.
	ownerWaitShare = 0.75
	// minRetryAfter is the shortest Retry-After time of a refusal. Most causes last less than a second.
	minRetryAfter = 120 * time.Millisecond
	// ownerRetryInterval is the pause before a retry at an owner that refused a key which it is about to gain or lose.
	ownerRetryInterval = 150 * time.Millisecond
	// maxRefusals is the number of refusals by upstreams after which a request is not retried.
	maxRefusals = 6
)

// call is the state of one caller request.
type call struct {
	gate    *Gate
	id      string
	started time.Duration
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Duration
	route    model.Route
	service  string
	// method, host and target are those of the request.
	method, host, target string
	body                 []byte
	// contents holds the fingerprints of the content once they have been needed.
	contents []string
	// tableVersion is the version of the routing table that the last attempt used.
	tableVersion uint64
	upstream     string
	tried        map[string]bool
	// questions is the number of questions to brokers, unanswered those without an answer in time, and askingTime the time that
	// all of them took.
	questions, unanswered int
	askingTime            time.Duration
	sends                 int
	refusals              int
	// mayHaveRun is true once an upstream may have run the request.
	mayHaveRun bool
	reason     string
	// retryAfter is the time after which the broker that refused the request expects to have room.
	retryAfter time.Duration
	// failedResponse is the last 5xx response of an upstream.
	failedResponse *pipe.Response
	// failedAttempts describes how the first failed attempts ended, at most maxLoggedAttempts of them.
	failedAttempts []string
	// keyed is true for a request of a keyed service. key is its key; the other fields describe the range that contains it.
	keyed                 bool
	key                   int
	rangeFirst, rangeLast uint64
	rangeEpoch            uint64
	// buffer is the room of the body.
	buffer *room.Buffer
	// responses holds the responses of upstreams until the caller has its own.
	responses []*pipe.Response
}

// maxLoggedAttempts is the largest number of failed attempts in the log line of a request.
const maxLoggedAttempts = 6

// recordFailedAttempt records how an attempt ended, for the log line of the request.
func (c *call) recordFailedAttempt(outcome string) {
	if len(c.failedAttempts) < maxLoggedAttempts {
		c.failedAttempts = append(c.failedAttempts, outcome)
	}
}

// response is the final response to the caller. code is empty if the response came from an upstream.
type response struct {
	pipe.Response
	code       proto.Code
	retryAfter time.Duration
}

func (c *call) now() time.Duration { return c.gate.cfg.Clock() }

// withCallerDeadline sets c.deadline to the deadline of the caller, at most defaultTimeout from now, and applies it to the
// context of the request.
func (c *call) withCallerDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	timeout := defaultTimeout
	if ms, err := strconv.ParseFloat(r.Header.Get(c.gate.cfg.Names.Deadline), 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms*float64(time.Millisecond)))
	}
	c.deadline = c.started + timeout
	return context.WithTimeout(r.Context(), timeout)
}

func (c *call) run(ctx context.Context, r *http.Request) response {
	t, _ := c.gate.cfg.View.Table()
	if t.Version == 0 || len(t.Routes) == 0 {
		return c.refuse(proto.CodeNoLease, "no configuration yet")
	}
	c.tableVersion = t.Version
	if limit := cmp.Or(t.Bounds.HeaderBytes, c.gate.cfg.MaxHeaderBytes); limit > 0 && room.HeaderBytes(r) > limit {
		c.reason = "headers are larger than " + strconv.FormatInt(limit, 10) + " bytes"
		return response{
			Response: pipe.Response{Status: http.StatusRequestHeaderFieldsTooLarge}, code: proto.CodeTooLarge,
		}
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	rt, ok := findRoute(t, host, forwardedPath(r))
	if !ok && c.gate.cfg.View.Provisional() {
		return c.refuse(proto.CodeNoLease, "the route is not in the table of a replica that may lack the last changes")
	}
	if !ok {
		return response{Response: pipe.Response{Status: http.StatusNotFound}, code: proto.CodeNotFound}
	}
	c.route = rt
	if c.service, ok = chooseService(rt, rand.Float64()); !ok {
		return c.refuse(proto.CodeNoUpstream, "all weights of the route are 0")
	}
	c.deadline = min(c.deadline, c.started+time.Duration(rt.TimeoutMs)*time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, c.deadline-c.now())
	defer cancel()
	if resp, ok := c.readBody(r, t.Bounds); !ok {
		return resp
	}
	if !c.maySend() {
		return c.refuseStopping(ctx)
	}
	c.gate.cfg.Budget.RecordRequest(c.now(), c.service, c.gate.hostCount())
	c.keyed = t.Services[c.service].Keyed
	if c.keyed {
		return c.runKeyed(ctx, r)
	}
	return c.runUnkeyed(ctx, r)
}

// runUnkeyed handles a request that any upstream of the service may run.
func (c *call) runUnkeyed(ctx context.Context, r *http.Request) response {
	for {
		if resp, ok := c.checkContent(ctx); !ok {
			return resp
		}
		chosen, admission := c.chooseUpstream(ctx)
		switch admission {
		case AdmissionGranted:
		case AdmissionQueueFull:
			return c.giveUp(ctx, proto.CodeOverloaded, "all upstreams that were considered are busy")
		case AdmissionTurnedAway:
			return c.giveUp(ctx, proto.CodeOverloaded, "all upstreams turn requests away or leave")
		default:
			return c.giveUp(ctx, proto.CodeNoUpstream, "no upstream is left to try")
		}
		if !c.maySend() {
			c.endAttempt(chosen, assign.ResultNeutral, pipe.Notice{}, 0)
			return c.refuseStopping(ctx)
		}
		resp, failure := c.send(ctx, r, chosen)
		if failure == nil {
			if !c.shouldRetryResponse(resp) {
				return response{Response: *resp}
			}
			continue
		}
		if !c.shouldRetryFailure(ctx, failure) {
			return c.giveUp(ctx, errorCode(failure), failure.Error())
		}
	}
}

// maySend reports whether the host, if it is being stopped, runs long enough to pass on the response of an upstream.
func (c *call) maySend() bool { return c.gate.cfg.Drain.MaySend(c.now(), c.deadline) }

func (c *call) refuseStopping(ctx context.Context) response {
	return c.giveUp(ctx, proto.CodeStopping, "the host stops before the deadline of the request")
}

// send makes one attempt at an upstream for which the picker has already counted the request as in flight.
func (c *call) send(ctx context.Context, r *http.Request, chosen choice) (*pipe.Response, *pipe.Failure) {
	now := c.now()
	u := chosen.upstream
	c.upstream = u.Name
	c.sends++
	resp, failure := c.gate.cfg.Pool.Send(ctx, pipe.Request{
		ID: c.id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: c.body,
		Timeout: c.deadline - now, Upstream: u.Name, Address: u.Address,
	})
	notice := noticeOf(resp, failure)
	c.endAttempt(chosen, c.attemptResult(ctx, resp, failure), notice, c.now()-now)
	c.recordRun(ctx, u, now, failure)
	c.recordNotice(u, notice)
	if failure == nil {
		c.responses = append(c.responses, resp)
		c.mayHaveRun = true
		c.tried[u.Name] = true
		return resp, nil
	}
	switch failure.Stage {
	case pipe.StageUnknown:
		c.mayHaveRun = true
		c.tried[u.Name] = true
	case pipe.StageRefused:
		c.refusals++
		// The owner of a key refuses it until it learns of its assignment.
		if !c.keyed || !isMisdirected(failure) {
			c.tried[u.Name] = true
		}
	case pipe.StageNotSent:
		c.tried[u.Name] = true
	}
	c.recordFailedAttempt(u.Name + " " + string(failure.Stage) + ": " + failure.Error())
	return nil, failure
}

// attemptResult returns what an attempt shows about its upstream.
func (c *call) attemptResult(ctx context.Context, resp *pipe.Response, failure *pipe.Failure) assign.Result {
	switch {
	case failure == nil && resp.Status < http.StatusInternalServerError:
		return assign.ResultSuccess
	case failure == nil:
		return assign.ResultFailed
	case isMisdirected(failure) && c.keyed, failure.Stage == pipe.StageNotSent && failure.NoRoom():
		return assign.ResultNeutral
	case isMisdirected(failure):
		return assign.ResultMisdirected
	case failure.Stage == pipe.StageRefused:
		return assign.ResultRefused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return assign.ResultTimedOut
	case ctx.Err() != nil:
		return assign.ResultNeutral
	case failure.Reset():
		return assign.ResultReset
	}
	return assign.ResultFailed
}

// shouldRetryResponse reports whether to retry after a 5xx response. If so, it takes a retry from the budget and keeps
// the response in case no retry succeeds.
func (c *call) shouldRetryResponse(resp *pipe.Response) bool {
	if resp.Status < http.StatusInternalServerError || !c.route.Idempotent || !c.takeRetryBudget() {
		return false
	}
	if c.failedResponse != nil {
		c.failedResponse.Release()
	}
	c.failedResponse = resp
	c.recordFailedAttempt(c.upstream + " answered " + strconv.Itoa(resp.Status))
	return true
}

// shouldRetryFailure reports whether to retry after an attempt without a response. If so, it takes a retry from the
// budget, unless nothing was sent.
func (c *call) shouldRetryFailure(ctx context.Context, failure *pipe.Failure) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.Stage {
	case pipe.StageUnknown:
		if failure.Broken && c.suspectedOfCrashes() {
			return false
		}
		return c.route.Idempotent && c.takeRetryBudget()
	case pipe.StageRefused:
		return c.refusals < maxRefusals && c.takeRetryBudget()
	}
	// Nothing was sent to the upstream, so the next attempt needs no retry budget. It would find no room either.
	return !failure.NoRoom() && len(c.tried) <= c.route.Attempts+1
}

// takeRetryBudget takes one retry from the budget unless the route's attempts are used up.
func (c *call) takeRetryBudget() bool {
	if len(c.tried) >= max(1, c.route.Attempts) {
		return false
	}
	return c.gate.cfg.Budget.Allow(c.now(), c.service, c.gate.hostCount())
}

// refuse returns the response to a request that did not run and will not run.
func (c *call) refuse(code proto.Code, reason string) response {
	c.reason = reason
	return response{
		Response: pipe.Response{Status: http.StatusServiceUnavailable}, code: code, retryAfter: max(minRetryAfter, c.retryAfter),
	}
}

// giveUp returns the response to a request for which no further attempt is made.
func (c *call) giveUp(ctx context.Context, code proto.Code, reason string) response {
	c.reason = reason
	switch {
	case c.failedResponse != nil:
		// The upstream's error response is more informative than one generated here.
		return response{Response: *c.failedResponse}
	case !c.mayHaveRun:
		return c.refuse(code, reason)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return response{Response: pipe.Response{Status: http.StatusGatewayTimeout}, code: proto.CodeDeadline}
	}
	return response{Response: pipe.Response{Status: http.StatusBadGateway}, code: code}
}

func errorCode(failure *pipe.Failure) proto.Code {
	switch {
	case failure.Stage == pipe.StageRefused, failure.NoRoom():
		return proto.CodeOverloaded
	case failure.Stage == pipe.StageNotSent:
		return proto.CodeUpstreamFailed
	}
	return proto.CodeConnectionLost
}

// finish writes the response and one log line.
func (c *call) finish(w http.ResponseWriter, r *http.Request, resp response) {
	c.body = nil
	c.buffer.Release()
	defer func() {
		for _, held := range c.responses {
			held.Release()
		}
	}()
	h := w.Header()
	for k, vs := range resp.Header {
		h[k] = vs
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := h[k]; !ok {
			h[k] = nil
		}
	}
	if resp.code != "" {
		h.Set(c.gate.cfg.Names.RequestID, c.id)
	}
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	if r.Method != http.MethodHead {
		// A write error means that the caller has disconnected.
		_, _ = w.Write(resp.Body)
	}
	c.log(r.Context(), resp)
}

// outcome reports whether the request ran, as far as it is known.
func (c *call) outcome(resp response) proto.Outcome {
	switch {
	case resp.code == "":
		return proto.OutcomeDone
	case c.mayHaveRun:
		return proto.OutcomeUnknown
	}
	return proto.OutcomeNotRun
}

func (c *call) log(ctx context.Context, resp response) {
	elapsed := c.now() - c.started
	outcome := c.outcome(resp)
	if m := c.gate.cfg.Metrics; m != nil {
		m.Observe(c.route.Name, model.ClassShort, outcome, elapsed)
	}
	level := slog.LevelInfo
	if resp.code != "" {
		level = slog.LevelWarn
	}
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.String("route", c.route.Name), slog.Uint64("route_version", c.route.Version),
		slog.Uint64("table", c.tableVersion), slog.String("service", c.service), slog.String("upstream", c.upstream),
		slog.Int("sends", c.sends), slog.Int("status", resp.Status), slog.String("outcome", string(outcome)),
		slog.Int64("ms", elapsed.Milliseconds()),
	}
	if c.questions > 0 {
		attrs = append(attrs, slog.Int("questions", c.questions), slog.Int("unanswered", c.unanswered),
			slog.Int64("asking_us", c.askingTime.Microseconds()))
	}
	if resp.code != "" {
		attrs = append(attrs, slog.String("code", string(resp.code)), slog.String("reason", c.reason),
			slog.Bool("caller_left", errors.Is(context.Cause(ctx), context.Canceled)))
	}
	if c.rangeEpoch > 0 {
		attrs = append(attrs, slog.Int("key", c.key), slog.Uint64("first", c.rangeFirst), slog.Uint64("last", c.rangeLast),
			slog.Uint64("epoch", c.rangeEpoch))
	}
	if len(c.failedAttempts) > 0 {
		attrs = append(attrs, slog.Any("tries", c.failedAttempts))
	}
	c.gate.cfg.Log.LogAttrs(ctx, level, "request", attrs...)
}
