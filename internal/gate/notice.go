package gate

import (
	"context"
	"maps"
	"sync"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/poison"
	"baobabreach/internal/route"
)

const (
	// noticeTTL is how long a notice is kept after its upstream is gone from the table, to which it may return.
	noticeTTL = 10 * time.Minute
	// leavingRetryAfter is the time to come back if all upstreams of a service leave. Their successors report by then.
	leavingRetryAfter = time.Second
	// reportLeavingTimeout limits a report to the leader. Sweep repeats it until the table shows the leave.
	reportLeavingTimeout = 500 * time.Millisecond
)

// notices holds what upstream processes have said about themselves in their answers to this host. It is safe for concurrent
// use.
type notices struct {
	mu sync.Mutex
	// leavingSince is the time of the first answer of each process that said that it leaves.
	leavingSince map[poison.Process]time.Duration
	// pausedUntil is the end of the time for which a process wants no requests.
	pausedUntil map[poison.Process]time.Duration
}

func newNotices() *notices {
	return &notices{leavingSince: map[poison.Process]time.Duration{}, pausedUntil: map[poison.Process]time.Duration{}}
}

// record applies the notice of an answer. It returns true if the upstream says for the first time that it leaves.
func (n *notices) record(now time.Duration, u model.Upstream, notice pipe.Notice) bool {
	if notice == (pipe.Notice{}) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := processOf(u)
	if notice.RetryAfter > 0 {
		n.pausedUntil[p] = max(n.pausedUntil[p], now+notice.RetryAfter)
	}
	if _, known := n.leavingSince[p]; known || !notice.Leaving {
		return false
	}
	n.leavingSince[p] = now
	return true
}

// pause returns how long the upstream still wants no requests.
func (n *notices) pause(now time.Duration, u model.Upstream) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(0, n.pausedUntil[processOf(u)]-now)
}

// mayRouteTo returns false for the owner of a key that said longer than grace ago that it leaves.
func (n *notices) mayRouteTo(now time.Duration, u model.Upstream, grace time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, leaving := n.leavingSince[processOf(u)]
	return !leaving || now < since+grace
}

// accepting returns the upstreams that neither leave nor want a pause. If there is none, it returns the time after which
// one may accept requests again.
func (n *notices) accepting(now time.Duration, upstreams []model.Upstream) ([]model.Upstream, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.leavingSince)+len(n.pausedUntil) == 0 {
		return upstreams, 0
	}
	retryAfter := time.Duration(0)
	out := make([]model.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		wait := n.wait(now, u)
		if wait == 0 {
			out = append(out, u)
		} else if retryAfter == 0 || wait < retryAfter {
			retryAfter = wait
		}
	}
	return out, retryAfter
}

// accepts reports whether the upstream neither leaves nor wants a pause.
func (n *notices) accepts(now time.Duration, u model.Upstream) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wait(now, u) == 0
}

// wait returns the time after which the upstream or its successor may accept requests, or 0 if it accepts them now. The
// caller holds mu.
func (n *notices) wait(now time.Duration, u model.Upstream) time.Duration {
	p := processOf(u)
	if _, leaving := n.leavingSince[p]; leaving {
		return leavingRetryAfter
	}
	return max(0, n.pausedUntil[p]-now)
}

// sweep drops notices of processes that have been gone for noticeTTL, and returns the upstreams that leave although the
// table does not say so.
func (n *notices) sweep(now time.Duration, t *route.Table) []model.Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.pausedUntil, func(_ poison.Process, until time.Duration) bool { return now >= until })
	var unknown []model.Upstream
	for p, since := range n.leavingSince {
		u, ok := t.Upstreams[p.Name]
		switch {
		case (!ok || u.Incarnation != p.Incarnation) && now > since+noticeTTL:
			delete(n.leavingSince, p)
		case ok && u.Incarnation == p.Incarnation && u.LeavingSince == 0:
			unknown = append(unknown, u)
		}
	}
	return unknown
}

// noticeOf returns what the response of an attempt says about its upstream.
func noticeOf(resp *pipe.Response, failure *pipe.Failure) pipe.Notice {
	if failure != nil {
		return failure.Notice
	}
	return resp.Notice
}

// recordNotice applies what the response to an attempt says about its upstream.
func (c *call) recordNotice(u model.Upstream, notice pipe.Notice) {
	if !c.gate.notices.record(c.now(), u, notice) {
		return
	}
	c.gate.cfg.Log.Info("upstream says that it leaves", "upstream", u.Name, "incarnation", u.Incarnation, "request", c.id)
	go c.gate.reportLeaving([]model.Upstream{u})
}

// reportLeaving tells the leader which upstreams leave.
func (g *Gate) reportLeaving(upstreams []model.Upstream) {
	if g.cfg.ReportLeaving == nil || len(upstreams) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportLeavingTimeout)
	defer cancel()
	if err := g.cfg.ReportLeaving(ctx, upstreams); err != nil {
		g.cfg.Log.Warn("leaves could not be reported", "upstreams", len(upstreams), "error", err)
	}
}
