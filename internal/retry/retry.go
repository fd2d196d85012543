// Package retry decides what an attempt means for its request: the outcome of a response, whether and when to send
// again, and whether to hedge. It performs no I/O.
package retry

import (
	"slices"
	"sync"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

const (
	// retryShare and hedgeShare are the extra sends per request of a host.
	retryShare = 0.1
	hedgeShare = 0.02
	// budgetBurst is the number of extra sends that an unused budget allows at once.
	budgetBurst = 10
	// samples is the number of service times that the hedging delay is taken from.
	samples      = 256
	sampleRefit  = 32
	minSamples   = 64
	hedgeAt      = 0.95
	minHedgeWait = time.Millisecond
	// firstGrantWait and maxGrantWait pace an idempotent request that was refused as stale_grant while no newer table
	// arrives: a new owner learns of its grant only with its next announcement.
	firstGrantWait = 25 * time.Millisecond
	maxGrantWait   = 200 * time.Millisecond
	maxShedTries   = 32
	// maxFailedTries bounds the resends after a failure, so that a request that crashes upstreams ends soon.
	maxFailedTries = 2
)

// Action tells what to do after a failed attempt.
type Action string

const (
	// ActionStop returns the error to the caller.
	ActionStop Action = "stop"
	// ActionAgain sends the request again at once.
	ActionAgain Action = "again"
	// ActionAwait waits for a newer routing table or the given time, then sends again.
	ActionAwait Action = "await"
)

// Attempts counts the attempts of one request. The zero value is a request that was not sent yet.
type Attempts struct {
	// Sheds and Grants count refusals by an upstream for lack of room and for a stale grant; Failures counts the rest.
	Sheds, Grants, Failures int
}

// Policy holds the budgets of one host. It is safe for concurrent use.
type Policy struct {
	mu    sync.Mutex
	retry float64
	hedge float64
	times map[model.Class]*times
}

// NewPolicy returns a policy with full budgets.
func NewPolicy() *Policy {
	return &Policy{
		retry: budgetBurst, hedge: 1,
		times: map[model.Class]*times{model.ClassShort: {}, model.ClassLong: {}},
	}
}

// RecordRequest counts one request of a caller and fills the budgets.
func (p *Policy) RecordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry = min(budgetBurst, p.retry+retryShare)
	p.hedge = min(budgetBurst, p.hedge+hedgeShare)
}

// Decide returns what to do after a failed attempt, and the time to wait with ActionAwait. A request that is not
// idempotent is never sent again, whatever the outcome.
func (p *Policy) Decide(a *Attempts, idempotent bool, e *proto.Error) (Action, time.Duration) {
	if !idempotent {
		return ActionStop, 0
	}
	switch e.Code {
	case proto.CodeStaleGrant:
		wait := min(firstGrantWait<<min(a.Grants, 3), maxGrantWait)
		a.Grants++
		return ActionAwait, wait
	case proto.CodeUpstreamShed:
		// The queue paces these by the back-off of the upstream; they cost the upstream no work.
		a.Sheds++
		if a.Sheds < maxShedTries {
			return ActionAgain, 0
		}
	case proto.CodeUpstreamFailed, proto.CodeConnectionLost, proto.CodeCrossedAnswer, proto.CodeTruncatedAnswer:
		a.Failures++
		if a.Failures <= maxFailedTries && p.take(&p.retry) {
			return ActionAgain, 0
		}
	}
	return ActionStop, 0
}

// TakeHedge takes one hedged send from the budget.
func (p *Policy) TakeHedge() bool { return p.take(&p.hedge) }

func (p *Policy) take(tokens *float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// Observe records the service time of a complete answer.
func (p *Policy) Observe(c model.Class, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.times[c]; t != nil {
		t.add(d)
	}
}

// HedgeDelay is the p95 of the class, or false until enough service times were seen.
func (p *Policy) HedgeDelay(c model.Class) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.times[c]
	if t == nil || t.count < minSamples {
		return 0, false
	}
	return max(minHedgeWait, t.p95), true
}

type times struct {
	ring  [samples]time.Duration
	count int
	p95   time.Duration
}

func (t *times) add(d time.Duration) {
	t.ring[t.count%samples] = d
	t.count++
	if t.count%sampleRefit == 0 {
		s := slices.Sorted(slices.Values(t.ring[:min(t.count, samples)]))
		t.p95 = s[int(float64(len(s)-1)*hedgeAt)]
	}
}

// ResultKind tells the slot queue what the error of an attempt says about the upstream.
func ResultKind(e *proto.Error) admit.Kind {
	if e == nil {
		return admit.KindDone
	}
	switch e.Code {
	case proto.CodeUpstreamShed:
		return admit.KindShed
	case proto.CodeUpstreamFailed, proto.CodeConnectionLost, proto.CodeCrossedAnswer, proto.CodeTruncatedAnswer:
		return admit.KindFailed
	}
	return admit.KindNeutral
}
