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
	// ownerRetryInterval paces the sends to an owner that is about to get or lose the key.
	ownerRetryInterval = 150 * time.Millisecond
	// maxRefusals bounds the sends of one request that upstreams refused.
	maxRefusals = 6
)

// call is one request of a caller.
type call struct {
	gate    *Gate
	id      string
	started time.Duration
	// deadline is when the caller or the route gives up.
	deadline time.Duration
	route    model.Route
	service  string
	body     []byte
	// tableVersion is that of the table that the last try used.
	tableVersion uint64
	upstream     string
	tried        map[string]bool
	sends        int
	refusals     int
	// mayHaveRun is true once a try may have run.
	mayHaveRun bool
	reason     string
	// failedResponse is the last answer of an upstream that was a failure.
	failedResponse *pipe.Response
	// failedAttempts says how the tries before the last one ended, at most maxTrail of them.
	failedAttempts []string
	// key, first, last and epoch describe the range that a keyed request was routed by.
	key                   int
	rangeFirst, rangeLast uint64
	rangeEpoch            uint64
	bodyBytes             int64
}

// maxLoggedAttempts bounds the tries that the line of a request tells of.
const maxLoggedAttempts = 6

// recordFailedAttempt notes how a try ended, for the line of the request.
func (c *call) recordFailedAttempt(outcome string) {
	if len(c.failedAttempts) < maxLoggedAttempts {
		c.failedAttempts = append(c.failedAttempts, outcome)
	}
}

// response is the final answer. Code is empty for an answer of an upstream.
type response struct {
	pipe.Response
	code       proto.Code
	retryAfter time.Duration
}

func (c *call) now() time.Duration { return c.gate.cfg.Clock() }

// withCallerDeadline bounds the request by the deadline of the caller.
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
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	rt, ok := findRoute(t, host, r.URL.Path)
	if !ok && c.gate.cfg.View.Provisional() {
		return c.refuse(proto.CodeNoLease, "the route is not in the table of a replica that may lack the last changes")
	}
	if !ok {
		return response{Response: pipe.Response{Status: http.StatusNotFound}, code: proto.CodeNotFound}
	}
	c.route, c.service = rt, chooseService(rt)
	c.deadline = min(c.deadline, c.started+time.Duration(rt.TimeoutMs)*time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, c.deadline-c.now())
	defer cancel()
	if resp, ok := c.readBody(r, t.Bounds); !ok {
		return resp
	}
	c.gate.cfg.Budget.RecordRequest(c.now(), c.service, c.gate.hostCount())
	if t.Services[c.service].Keyed {
		return c.runKeyed(ctx, r)
	}
	return c.runUnkeyed(ctx, r)
}

// readBody holds the whole body, so that it can be sent again.
func (c *call) readBody(r *http.Request, b model.Bounds) (response, bool) {
	maxBytes := b.BodyBytes
	if maxBytes <= 0 {
		maxBytes = c.gate.cfg.MaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return response{Response: pipe.Response{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	if c.gate.bufferedBytes.Load() > c.gate.cfg.MaxBuffered {
		return c.refuse(proto.CodeOverloaded, "too many request bodies are held"), false
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	c.bodyBytes = int64(len(body))
	c.gate.bufferedBytes.Add(c.bodyBytes)
	switch {
	case err != nil:
		c.reason = "body can't be read: " + err.Error()
		return response{Response: pipe.Response{Status: http.StatusBadRequest}, code: proto.CodeBadRequest}, false
	case int64(len(body)) > maxBytes:
		return response{Response: pipe.Response{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	c.body = body
	return response{}, true
}

// runUnkeyed sends a request that any upstream of the service may run.
func (c *call) runUnkeyed(ctx context.Context, r *http.Request) response {
	for {
		t, _ := c.gate.cfg.View.Table()
		c.tableVersion = t.Version
		u, ok := c.gate.cfg.Picker.Pick(c.now(), t.Candidates(c.service), c.tried)
		if !ok {
			return c.giveUp(ctx, proto.CodeNoUpstream, "no upstream is left to try")
		}
		resp, failure := c.send(ctx, r, u)
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

// runKeyed sends a request to the owner of its key and follows the key while it moves.
func (c *call) runKeyed(ctx context.Context, r *http.Request) response {
	key, err := strconv.ParseUint(r.Header.Get(c.gate.cfg.Names.Key), 10, 16)
	if err != nil {
		c.reason = "key " + strconv.Quote(r.Header.Get(c.gate.cfg.Names.Key)) + " is no number from 0 to 65535"
		return response{Response: pipe.Response{Status: http.StatusBadRequest}, code: proto.CodeMissingKey}
	}
	c.key = int(key)
	position := model.OrderedPosition(uint16(key))
	ownerDeadline := c.started + time.Duration(ownerWaitShare*float64(c.route.ObjectiveMs))*time.Millisecond
	for {
		target, changed, admission := c.acquireOwner(ctx, position, ownerDeadline)
		if admission != AdmissionGranted {
			c.recordDemand(target, position)
			code, reason := denialReason(admission)
			return c.giveUp(ctx, code, reason)
		}
		resp, failure := c.sendKeyed(ctx, r, target, position)
		if failure == nil {
			if !c.shouldRetryResponse(resp) {
				return response{Response: *resp}
			}
			continue
		}
		if isMisdirected(failure) && !c.awaitNewOwner(ctx, target, position, ownerDeadline, changed) {
			return c.giveUp(ctx, proto.CodeStaleGrant, failure.Error())
		}
		if !c.shouldRetryFailure(ctx, failure) {
			return c.giveUp(ctx, errorCode(failure), failure.Error())
		}
	}
}

// isMisdirected tells whether the upstream does not hold the key.
func isMisdirected(failure *pipe.Failure) bool {
	return failure.Stage == pipe.StageRefused && failure.Status == http.StatusMisdirectedRequest
}

// denialReason says why a request was not sent to the owner of its key.
func denialReason(admission Admission) (proto.Code, string) {
	switch admission {
	case AdmissionEjected:
		return proto.CodeNoUpstream, "the owner of the key fails and is left alone for a while"
	case AdmissionQueueFull:
		return proto.CodeOverloaded, "enough requests wait for the owner of the key"
	case AdmissionWait:
		return proto.CodeOverloaded, "the owner of the key had no room in time"
	}
	return proto.CodeNoUpstream, "the key has no owner"
}

// acquireOwner finds the owner of the key and waits until it has room. With RoomFree the request is to be sent; an empty
// room means that there is no owner.
func (c *call) acquireOwner(
	ctx context.Context, position uint64, ownerDeadline time.Duration,
) (route.Target, <-chan struct{}, Admission) {
	// waitingFor is the owner that counts this request among those that wait for it.
	var waitingFor model.Upstream
	cancelWait := func() {
		if waitingFor.Name != "" {
			c.gate.cfg.Picker.CancelWait(waitingFor)
			waitingFor = model.Upstream{}
		}
	}
	for {
		t, changed := c.gate.cfg.View.Table()
		c.tableVersion = t.Version
		target := t.OwnerAt(c.service, position)
		if target.Upstream != waitingFor {
			cancelWait()
		}
		pause, admission := ownerDeadline-c.now(), Admission("")
		if target.Upstream.Name != "" && c.gate.cfg.View.MayUse(c.now(), target.Upstream) {
			c.upstream = target.Upstream.Name
			c.rangeFirst, c.rangeLast = target.Assignment.First/model.OrderedSpan, target.Assignment.Last/model.OrderedSpan
			c.rangeEpoch = target.Assignment.Epoch
			admission = c.gate.cfg.Picker.Acquire(c.now(), target.Upstream, waitingFor.Name != "")
		}
		switch admission {
		case AdmissionGranted:
			return target, changed, admission
		case AdmissionQueueFull, AdmissionEjected:
			cancelWait()
			return target, changed, admission
		case AdmissionWait:
			waitingFor, pause = target.Upstream, min(pause, admissionPollInterval)
		}
		if c.now() >= ownerDeadline || !c.awaitTable(ctx, changed, pause) {
			cancelWait()
			return target, changed, admission
		}
	}
}

// admissionPollInterval paces the checks for room at the owner of a key.
const admissionPollInterval = 15 * time.Millisecond

// recordDemand notes a request for a key at once, whether its owner gets it or not: an owner that is left alone because it
// fails must not look idle.
func (c *call) recordDemand(target route.Target, position uint64) time.Duration {
	estimate := c.gate.serviceTimes.estimate(c.service)
	if target.Upstream.Name != "" {
		c.gate.cfg.View.RecordPosition(c.now(), target.Assignment, position, estimate)
	}
	return estimate
}

// sendKeyed makes one try at the owner of a key and takes note of its load.
func (c *call) sendKeyed(
	ctx context.Context, r *http.Request, target route.Target, position uint64,
) (*pipe.Response, *pipe.Failure) {
	sentAt := c.now()
	recordedLoad := c.recordDemand(target, position)
	resp, failure := c.send(ctx, r, target.Upstream)
	if failure != nil && failure.Stage != pipe.StageUnknown {
		return resp, failure
	}
	elapsed := c.now() - sentAt
	if failure != nil && elapsed < recordedLoad {
		// A connection that broke soon says nothing of the work.
		return resp, failure
	}
	load, estimate := c.gate.serviceTimes.observe(c.service, elapsed)
	if load > recordedLoad {
		c.gate.cfg.View.RecordWait(c.now(), target.Assignment, position, load-recordedLoad)
	}
	c.gate.cfg.Picker.RecordLatencyRatio(c.now(), target.Upstream, elapsed, estimate)
	return resp, failure
}

// awaitNewOwner waits until the key has another owner than the one that refused it, or that one may have learned of it.
func (c *call) awaitNewOwner(
	ctx context.Context, refusedBy route.Target, position uint64, ownerDeadline time.Duration, changed <-chan struct{},
) bool {
	retryAt := c.now() + ownerRetryInterval
	if refusedBy.Moving {
		retryAt = ownerDeadline
	}
	for c.now() < ownerDeadline {
		if !c.awaitTable(ctx, changed, min(retryAt, ownerDeadline)-c.now()) {
			return false
		}
		var t *route.Table
		t, changed = c.gate.cfg.View.Table()
		target := t.OwnerAt(c.service, position)
		if target.Assignment.Epoch != refusedBy.Assignment.Epoch || c.now() >= retryAt && !target.Moving {
			return true
		}
		if target.Moving {
			retryAt = ownerDeadline
		}
	}
	return false
}

// awaitTable waits for a newer table, at most for d. It returns false if the request ended meanwhile.
func (c *call) awaitTable(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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
func (c *call) send(ctx context.Context, r *http.Request, u model.Upstream) (*pipe.Response, *pipe.Failure) {
	now := c.now()
	c.upstream = u.Name
	c.sends++
	resp, failure := c.gate.cfg.Pool.Send(ctx, pipe.Request{
		ID: c.id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: c.body,
		Timeout: c.deadline - now, Upstream: u.Name, Address: u.Address,
	})
	c.gate.cfg.Picker.Done(c.now(), u, attemptResult(ctx, resp, failure), c.now()-now)
	if failure == nil {
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
		if failure.Status != http.StatusMisdirectedRequest {
			c.tried[u.Name] = true
		}
	case pipe.StageNotSent:
		c.tried[u.Name] = true
	}
	c.recordFailedAttempt(u.Name + " " + string(failure.Stage) + ": " + failure.Error())
	return nil, failure
}

func attemptResult(ctx context.Context, resp *pipe.Response, failure *pipe.Failure) Result {
	switch {
	case failure == nil && resp.Status < http.StatusInternalServerError:
		return ResultSuccess
	case failure == nil:
		return ResultFailed
	case failure.Stage == pipe.StageRefused && failure.Status == http.StatusMisdirectedRequest:
		return ResultNeutral
	case failure.Stage == pipe.StageRefused:
		return ResultRefused
	case ctx.Err() != nil:
		return ResultNeutral
	}
	return ResultFailed
}

// shouldRetryResponse tells whether an upstream's own failure is worth another try.
func (c *call) shouldRetryResponse(resp *pipe.Response) bool {
	if resp.Status < http.StatusInternalServerError || !c.route.Idempotent || !c.takeRetryBudget() {
		return false
	}
	c.failedResponse = resp
	c.recordFailedAttempt(c.upstream + " answered " + strconv.Itoa(resp.Status))
	return true
}

// shouldRetryFailure tells whether the request may be sent once more after the failure.
func (c *call) shouldRetryFailure(ctx context.Context, failure *pipe.Failure) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.Stage {
	case pipe.StageUnknown:
		return c.route.Idempotent && c.takeRetryBudget()
	case pipe.StageRefused:
		return c.refusals < maxRefusals && c.takeRetryBudget()
	}
	// Nothing reached the upstream, so nothing is repeated.
	return len(c.tried) <= c.route.Attempts+1
}

// takeRetryBudget takes one repeated send from the budget, within the attempts of the route.
func (c *call) takeRetryBudget() bool {
	if len(c.tried) >= max(1, c.route.Attempts) {
		return false
	}
	return c.gate.cfg.Budget.Allow(c.now(), c.service, c.gate.hostCount())
}

// refuse answers a request that was not run and never will be.
func (c *call) refuse(code proto.Code, reason string) response {
	c.reason = reason
	return response{Response: pipe.Response{Status: http.StatusServiceUnavailable}, code: code, retryAfter: retryAfter}
}

// giveUp answers a request without an answer of an upstream.
func (c *call) giveUp(ctx context.Context, code proto.Code, reason string) response {
	c.reason = reason
	switch {
	case c.failedResponse != nil:
		// The upstream's own failure says more than one of ours.
		return response{Response: *c.failedResponse}
	case !c.mayHaveRun:
		return c.refuse(code, reason)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return response{Response: pipe.Response{Status: http.StatusGatewayTimeout}, code: proto.CodeDeadline}
	}
	return response{Response: pipe.Response{Status: http.StatusBadGateway}, code: code}
}

func errorCode(failure *pipe.Failure) proto.Code {
	switch failure.Stage {
	case pipe.StageNotSent:
		return proto.CodeUpstreamFailed
	case pipe.StageRefused:
		return proto.CodeOverloaded
	}
	return proto.CodeConnectionLost
}

// finish writes the answer, and one log line.
func (c *call) finish(w http.ResponseWriter, r *http.Request, resp response) {
	c.gate.bufferedBytes.Add(-c.bodyBytes)
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
	if c.gate.stopping.Load() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	if r.Method != http.MethodHead {
		// A caller that has left gets no answer.
		_, _ = w.Write(resp.Body)
	}
	c.log(r.Context(), resp)
}

// outcome tells what the caller can rely on.
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
	if resp.code != "" {
		attrs = append(attrs, slog.String("code", string(resp.code)), slog.String("reason", c.reason),
			slog.Bool("caller_left", ctx.Err() != nil))
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
