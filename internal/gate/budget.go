package gate

import (
	"sync"
	"time"
)

// BudgetConfig is the bound on repeated sends that all hosts share.
type BudgetConfig struct {
	// Ratio of repeated sends to requests, and Slack for all hosts together, in any Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// usableRatioShare and slackUse are the parts of the bound that are used. A full slack and half of it again may be used within a
	// window, so together they stay below the bound however the hosts' sends coincide.
	usableRatioShare = 0.95
	usableSlackShare = 0.6
	// minBurst lets a host retry at all where many hosts share the slack.
	minBurst = 1.0
)

// Budget bounds the repeated sends of one host per service. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, buckets: map[string]*tokenBucket{}}
}

// RecordRequest counts a request of a caller. hosts is the number of hosts that share the bound.
func (b *Budget) RecordRequest(now time.Duration, service string, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refill(now, service, hosts)
	t.tokens = min(b.burst(hosts), t.tokens+b.cfg.Ratio*usableRatioShare)
}

// Allow allows one more send of a request, or returns false.
func (b *Budget) Allow(now time.Duration, service string, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refill(now, service, hosts)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Remaining returns how many requests of each service may be sent again at present.
func (b *Budget) Remaining() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]float64{}
	for name, t := range b.buckets {
		out[name] = t.tokens
	}
	return out
}

func (b *Budget) burst(hosts int) float64 {
	return max(minBurst, b.cfg.Slack*usableSlackShare/float64(max(1, hosts)))
}

// refill returns the tokens of a service; the slack comes back over one window.
func (b *Budget) refill(now time.Duration, service string, hosts int) *tokenBucket {
	t := b.buckets[service]
	if t == nil {
		t = &tokenBucket{tokens: b.burst(hosts), refilledAt: now}
		b.buckets[service] = t
	}
	if b.cfg.Window > 0 {
		t.tokens = min(b.burst(hosts), t.tokens+b.burst(hosts)*float64(now-t.refilledAt)/float64(b.cfg.Window)/2)
	}
	t.refilledAt = now
	return t
}
