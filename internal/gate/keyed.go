package gate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"
)

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
		if resp, ok := c.checkContent(ctx); !ok {
			return resp
		}
		target, changed, admission, chosen := c.acquireOwner(ctx, position, ownerDeadline)
		if admission != AdmissionGranted {
			c.recordDemand(target, position)
			code, reason := denialReason(admission)
			return c.giveUp(ctx, code, reason)
		}
		if !c.maySend() {
			c.endAttempt(chosen, assign.ResultNeutral, pipe.Notice{}, 0)
			return c.refuseStopping(ctx)
		}
		resp, failure := c.sendKeyed(ctx, r, target, chosen, position)
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
	case AdmissionTurnedAway:
		return proto.CodeOverloaded, "the owner of the key wants no requests for a while, or all upstreams of the service leave"
	case AdmissionUnreachable:
		return proto.CodeNoUpstream, "the data centre of the owner of the key can't be reached"
	}
	return proto.CodeNoUpstream, "the key has no owner"
}

// acquireOwner finds the owner of the key and waits until it can take the request. The request may be sent only with
// AdmissionGranted; an empty Admission means that there is no usable owner.
func (c *call) acquireOwner(
	ctx context.Context, position uint64, ownerDeadline time.Duration,
) (route.Target, <-chan struct{}, Admission, choice) {
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
		if pause := c.gate.notices.pause(c.now(), target.Upstream); pause > 0 {
			cancelWait()
			c.retryAfter = pause
			return target, changed, AdmissionTurnedAway, choice{}
		}
		if c.mayRouteTo(target.Upstream) {
			c.upstream = target.Upstream.Name
			c.rangeFirst, c.rangeLast = target.Assignment.First/model.OrderedSpan, target.Assignment.Last/model.OrderedSpan
			c.rangeEpoch = target.Assignment.Epoch
			if waitingFor.Name == "" {
				if chosen, decided := c.askForOwner(ctx, target.Upstream); decided != "" {
					return target, changed, decided, chosen
				}
			}
			admission = c.gate.cfg.Picker.Acquire(c.now(), target.Upstream, waitingFor.Name != "")
		} else if c.noneAccepts(t) {
			// The key can't move to an upstream that would run the request.
			cancelWait()
			c.retryAfter = leavingRetryAfter
			return target, changed, AdmissionTurnedAway, choice{}
		}
		switch admission {
		case AdmissionGranted:
			return target, changed, admission, choice{upstream: target.Upstream}
		case AdmissionQueueFull, AdmissionEjected:
			cancelWait()
			return target, changed, admission, choice{}
		case AdmissionWait:
			waitingFor, pause = target.Upstream, min(pause, admissionPollInterval)
		}
		if c.now() >= ownerDeadline || !c.awaitTable(ctx, changed, pause) {
			cancelWait()
			return target, changed, admission, choice{}
		}
	}
}

// mayRouteTo reports whether the owner of a key exists and still gets requests if it leaves.
func (c *call) mayRouteTo(owner model.Upstream) bool {
	view := c.gate.cfg.View
	return owner.Name != "" && view.MayRouteTo(c.now(), owner) &&
		c.gate.notices.mayRouteTo(c.now(), owner, view.LeavingGrace())
}

// noneAccepts reports whether the service has upstreams that all leave or turn requests away.
func (c *call) noneAccepts(t *route.Table) bool {
	known := false
	for _, u := range t.Upstreams {
		if u.Service != c.service {
			continue
		}
		if t.AcceptsWork(u) && c.gate.notices.accepts(c.now(), u) {
			return false
		}
		known = true
	}
	return known
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
	ctx context.Context, r *http.Request, target route.Target, chosen choice, position uint64,
) (*pipe.Response, *pipe.Failure) {
	sentAt := c.now()
	recordedLoad := c.recordDemand(target, position)
	resp, failure := c.send(ctx, r, chosen)
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
