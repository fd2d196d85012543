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
	// retryRatio and hedgeShare are the extra sends per request of a host.
	retryRatio = 0.1
	hedgeRatio = 0.02
	// budgetBurst is the number of extra sends that an unused budget allows at once.
	budgetBurst = 10
	// sampleWindow is the number of service times that the hedging delay is taken from.
	sampleWindow  = 256
	refitInterval = 32
	minSamples    = 64
	hedgeQuantile = 0.95
	minHedgeDelay = time.Millisecond
	// minStaleGrantWait and maxGrantWait pace an idempotent request that was refused as stale_grant while no newer table
	// arrives: a new owner learns of its grant only with its next announcement.
	minStaleGrantWait = 25 * time.Millisecond
	maxStaleGrantWait = 200 * time.Millisecond
	maxShedAttempts   = 32
	// maxFailureRetries bounds the resends after a failure, so that a request that crashes upstreams ends soon.
	maxFailureRetries = 2
)

// Action tells what to do after a failed attempt.
type Action string

const (
	// ActionStop returns the error to the caller.
	ActionStop Action = "stop"
	// ActionRetry sends the request again at once.
	ActionRetry Action = "again"
	// ActionAwait waits for a newer routing table or the given time, then sends again.
	ActionAwait Action = "await"
)

// Attempts counts the attempts of one request. The zero value is a request that was not sent yet.
type Attempts struct {
	// Sheds and Grants count refusals by an upstream for lack of room and for a stale grant; Failures counts the rest.
	Sheds, StaleGrants, Failures int
}

// Policy holds the budgets of one host. It is safe for concurrent use.
type Policy struct {
	mu           sync.Mutex
	retryTokens  float64
	hedgeTokens  float64
	serviceTimes map[model.Class]*latencyWindow
}

// NewPolicy returns a policy with full budgets.
func NewPolicy() *Policy {
	return &Policy{
		retryTokens: budgetBurst, hedgeTokens: 1,
		serviceTimes: map[model.Class]*latencyWindow{model.ClassShort: {}, model.ClassLong: {}},
	}
}

// Started counts one request of a caller and fills the budgets.
func (p *Policy) Started() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryTokens = min(budgetBurst, p.retryTokens+retryRatio)
	p.hedgeTokens = min(budgetBurst, p.hedgeTokens+hedgeRatio)
}

// Decide returns what to do after a failed attempt, and the time to wait with ActionAwait. A request that is not
// idempotent is never sent again, whatever the outcome.
func (p *Policy) Decide(a *Attempts, idempotent bool, e *proto.Error) (Action, time.Duration) {
	if !idempotent {
		return ActionStop, 0
	}
	switch e.Code {
	case proto.CodeStaleGrant:
		wait := min(minStaleGrantWait<<min(a.StaleGrants, 3), maxStaleGrantWait)
		a.StaleGrants++
		return ActionAwait, wait
	case proto.CodeUpstreamShed:
		// The queue paces these by the back-off of the upstream; they cost the upstream no work.
		a.Sheds++
		if a.Sheds < maxShedAttempts {
			return ActionRetry, 0
		}
	case proto.CodeUpstreamFailed, proto.CodeConnectionLost, proto.CodeCrossedAnswer, proto.CodeTruncatedAnswer:
		a.Failures++
		if a.Failures <= maxFailureRetries && p.takeToken(&p.retryTokens) {
			return ActionRetry, 0
		}
	}
	return ActionStop, 0
}

// Hedge takes one hedged send from the budget.
func (p *Policy) Hedge() bool { return p.takeToken(&p.hedgeTokens) }

func (p *Policy) takeToken(tokens *float64) bool {
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
	if t := p.serviceTimes[c]; t != nil {
		t.add(d)
	}
}

// HedgeDelay is the p95 of the class, or false until enough service times were seen.
func (p *Policy) HedgeDelay(c model.Class) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.serviceTimes[c]
	if t == nil || t.count < minSamples {
		return 0, false
	}
	return max(minHedgeDelay, t.p95), true
}

type latencyWindow struct {
	samples [sampleWindow]time.Duration
	count   int
	p95     time.Duration
}

func (t *latencyWindow) add(d time.Duration) {
	t.samples[t.count%sampleWindow] = d
	t.count++
	if t.count%refitInterval == 0 {
		sorted := slices.Sorted(slices.Values(t.samples[:min(t.count, sampleWindow)]))
		t.p95 = sorted[int(float64(len(sorted)-1)*hedgeQuantile)]
	}
}

// Kind tells the slot queue what the error of an attempt says about the upstream.
func Kind(e *proto.Error) admit.Kind {
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
