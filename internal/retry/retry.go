// Package retry decides whether and when to retry a failed attempt, whether to hedge a request, and what an error
// indicates about the upstream. It performs no I/O.
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
	// retryRatio and hedgeRatio are the retries and hedged sends allowed per request of a host.
	retryRatio = 0.1
	hedgeRatio = 0.02
	// budgetBurst is the most tokens that an unused budget accumulates.
	budgetBurst = 10
	// sampleWindow is the number of recent service times from which the hedging delay is computed.
	sampleWindow = 256
	// samplesPerRefit is the number of new service times after which the hedging delay is computed again.
	samplesPerRefit = 32
	// minSamples is the number of service times below which HedgeDelay returns false.
	minSamples    = 64
	hedgeQuantile = 0.95
	minHedgeDelay = time.Millisecond
	// minStaleGrantWait and maxStaleGrantWait bound the back-off of an idempotent request that was refused with stale_grant
	// while no newer routing table arrives: a new owner learns of its grant only with its next announcement.
	minStaleGrantWait = 25 * time.Millisecond
	maxStaleGrantWait = 200 * time.Millisecond
	maxShedAttempts   = 32
	// maxFailureRetries bounds the retries after failures, so that a request that crashes upstreams is soon abandoned.
	maxFailureRetries = 2
)

// Action is what to do after a failed attempt.
type Action string

const (
	// ActionStop returns the error to the caller.
	ActionStop Action = "stop"
	// ActionRetry retries at once.
	ActionRetry Action = "again"
	// ActionAwait waits for a newer routing table, at most for the given time, then retries.
	ActionAwait Action = "await"
)

// Attempts counts the failed attempts of one request. The zero value is a request that has not been sent.
type Attempts struct {
	// Sheds and StaleGrants count refusals by an upstream for lack of capacity and for a stale grant; Failures counts
	// all other failures.
	Sheds, StaleGrants, Failures int
}

// Policy holds the retry and hedging budgets of one host. It is safe for concurrent use.
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

// RecordRequest adds the tokens earned by one caller request to both budgets.
func (p *Policy) RecordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryTokens = min(budgetBurst, p.retryTokens+retryRatio)
	p.hedgeTokens = min(budgetBurst, p.hedgeTokens+hedgeRatio)
}

// Decide returns what to do after a failed attempt, and how long to wait if that is ActionAwait. A request that is not
// idempotent is never retried.
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
		// No retry token is needed: the slot queue applies the upstream's back-off, and a shed request costs it no work.
		a.Sheds++
		if a.Sheds < maxShedAttempts {
			return ActionRetry, 0
		}
	case proto.CodeUpstreamFailed, proto.CodeConnectionLost, proto.CodeCrossedAnswer, proto.CodeTruncatedAnswer,
		proto.CodeInvalidAnswer:
		a.Failures++
		if a.Failures <= maxFailureRetries && p.takeToken(&p.retryTokens) {
			return ActionRetry, 0
		}
	}
	return ActionStop, 0
}

// TakeHedge takes one token from the hedging budget; it returns false if none is left.
func (p *Policy) TakeHedge() bool { return p.takeToken(&p.hedgeTokens) }

func (p *Policy) takeToken(tokens *float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// Observe records the service time of a complete response.
func (p *Policy) Observe(c model.Class, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.serviceTimes[c]; t != nil {
		t.add(d)
	}
}

// HedgeDelay returns the 95th percentile of the service times of the class, or false if there are too few samples.
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
	if t.count%samplesPerRefit == 0 {
		sorted := slices.Sorted(slices.Values(t.samples[:min(t.count, sampleWindow)]))
		t.p95 = sorted[int(float64(len(sorted)-1)*hedgeQuantile)]
	}
}

// ResultKind classifies the error of an attempt for the slot queue.
func ResultKind(e *proto.Error) admit.Kind {
	if e == nil {
		return admit.KindDone
	}
	switch e.Code {
	case proto.CodeUpstreamShed:
		return admit.KindShed
	case proto.CodeUpstreamFailed, proto.CodeConnectionLost, proto.CodeCrossedAnswer, proto.CodeTruncatedAnswer,
		proto.CodeInvalidAnswer:
		return admit.KindFailed
	}
	return admit.KindNeutral
}
