package gate

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
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
	// defaultTimeout is the longest time for a request; the deadline of the caller or the timeout of the route may shorten it.
	defaultTimeout = 30 * time.Second
	// ownerWaitShare is the share of the latency objective for which a keyed request may wait for an owner that accepts it.
	ownerWaitShare = 0.75
	// retryAfter is the Retry-After time of a refusal. Most causes last less than a second.
	retryAfter = 120 * time.Millisecond
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
	body     []byte
	// tableVersion is the version of the routing table that the last attempt used.
	tableVersion uint64
	upstream     string
	tried        map[string]bool
	sends        int
	refusals     int
	// mayHaveRun is true once an upstream may have run the request.
	mayHaveRun bool
	reason     string
	// failedResponse is the last 5xx response of an upstream.
	failedResponse *pipe.Response
	// failedAttempts describes how the first failed attempts ended, at most maxLoggedAttempts of them.
	failedAttempts []string
	// key is the key of a keyed request; the other fields describe the range that contains it.
	key                   int
	rangeFirst, rangeLast uint64
	rangeEpoch            uint64
	bodyBytes             int64
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
	c.gate.cfg.Budget.RecordRequest(c.now(), c.service, c.gate.hostCount())
	if t.Services[c.service].Keyed {
		return c.runKeyed(ctx, r)
	}
	return c.runUnkeyed(ctx, r)
}

// readBody buffers the whole body, so that it can be sent again on a retry.
func (c *call) readBody(r *http.Request, b model.Bounds) (response, bool) {
	maxBytes := b.BodyBytes
	if maxBytes <= 0 {
		maxBytes = c.gate.cfg.MaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return response{Response: pipe.Response{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	if c.gate.bufferedBytes.Load() > c.gate.cfg.MaxBufferedBytes {
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

// runUnkeyed handles a request that any upstream of the service may run.
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

// runKeyed sends a request to the owner of its key, or to the next owner if the key moves meanwhile.
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

// isMisdirected reports whether the upstream refused the request because it does not own the key.
func isMisdirected(failure *pipe.Failure) bool {
	return failure.Stage == pipe.StageRefused && failure.Status == http.StatusMisdirectedRequest
}

// denialReason returns the error code and the reason for not sending a request to the owner of its key.
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

// acquireOwner finds the owner of the key and waits until it can take the request. The request may be sent only with
// AdmissionGranted; an empty Admission means that there is no usable owner.
func (c *call) acquireOwner(
	ctx context.Context, position uint64, ownerDeadline time.Duration,
) (route.Target, <-chan struct{}, Admission) {
	// waitingFor is the owner in whose waiting count this request is included.
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
		if target.Upstream.Name != "" && c.gate.cfg.View.MayRouteTo(c.now(), target.Upstream) {
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

// admissionPollInterval is the interval between checks whether the owner of a key can take a waiting request.
const admissionPollInterval = 15 * time.Millisecond

// recordDemand records the estimated load of a request for a key and returns the estimate. It does so even if the request
// is not sent, so that an owner that is ejected because it fails does not appear idle.
func (c *call) recordDemand(target route.Target, position uint64) time.Duration {
	estimate := c.gate.serviceTimes.estimate(c.service)
	if target.Upstream.Name != "" {
		c.gate.cfg.View.RecordPosition(c.now(), target.Assignment, position, estimate)
	}
	return estimate
}

// sendKeyed makes one attempt at the owner of a key and records its load.
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
		// A connection that failed early gives no information on the service time.
		return resp, failure
	}
	load, estimate := c.gate.serviceTimes.observe(c.service, elapsed)
	if load > recordedLoad {
		c.gate.cfg.View.RecordExtraTime(c.now(), target.Assignment, position, load-recordedLoad)
	}
	c.gate.cfg.Picker.RecordLatencyRatio(c.now(), target.Upstream, elapsed, estimate)
	return resp, failure
}

// awaitNewOwner waits until the key has a new owner, or until the one that refused it may have learned of its assignment.
// It returns false if neither happens before ownerDeadline or the end of the request.
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

// awaitTable waits for a newer routing table, at most for d. It returns false if the request ended first.
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

// send makes one attempt at an upstream for which the picker has already counted the request as in flight.
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

// shouldRetryResponse reports whether to retry after a 5xx response. If so, it takes a retry from the budget and keeps
// the response in case no retry succeeds.
func (c *call) shouldRetryResponse(resp *pipe.Response) bool {
	if resp.Status < http.StatusInternalServerError || !c.route.Idempotent || !c.takeRetryBudget() {
		return false
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
		return c.route.Idempotent && c.takeRetryBudget()
	case pipe.StageRefused:
		return c.refusals < maxRefusals && c.takeRetryBudget()
	}
	// Nothing was sent to the upstream, so the next attempt needs no retry budget.
	return len(c.tried) <= c.route.Attempts+1
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
	return response{Response: pipe.Response{Status: http.StatusServiceUnavailable}, code: code, retryAfter: retryAfter}
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
	switch failure.Stage {
	case pipe.StageNotSent:
		return proto.CodeUpstreamFailed
	case pipe.StageRefused:
		return proto.CodeOverloaded
	}
	return proto.CodeConnectionLost
}

// finish writes the response and one log line.
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
