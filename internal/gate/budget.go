package gate

import (
	"sync"
	"time"
)

// BudgetConfig is the limit on retries that all hosts share.
type BudgetConfig struct {
	// In any Window, the retries of all hosts together may reach Ratio times their requests, plus Slack.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// StartedAt is the time of the start of the process.
	StartedAt time.Duration
	// FirstStart is true if the whole fleet starts for the first time. A process that is started later does not know what an
	// earlier one on its host has spent in the present window.
	FirstStart bool
}

const (
	// usableRatioShare and usableSlackShare are the parts of Ratio and Slack that the hosts use. A host can use its full
	// slack and regain half of it within a window, so these shares keep all hosts together below the limit however their
	// retries coincide.
	usableRatioShare = 0.95
	usableSlackShare = 0.6
	// minBurst allows each host a retry even if many hosts share the slack.
	minBurst = 1.0
)

// Budget limits the retries of one host per service. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewBudget returns a budget that starts full at the first start of the fleet and empty otherwise.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, buckets: map[string]*tokenBucket{}}
}

// RecordRequest adds the tokens earned by one caller request. hostCount is the number of hosts that share the
// limit.
func (b *Budget) RecordRequest(now time.Duration, service string, hostCount int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refill(now, service, hostCount)
	t.tokens = min(b.burst(hostCount), t.tokens+b.cfg.Ratio*usableRatioShare)
}

// Allow takes one token for a retry, or returns false if there is none.
func (b *Budget) Allow(now time.Duration, service string, hostCount int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.refill(now, service, hostCount)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Remaining returns the number of retries currently available for each service.
func (b *Budget) Remaining() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]float64{}
	for name, t := range b.buckets {
		out[name] = t.tokens
	}
	return out
}

func (b *Budget) burst(hostCount int) float64 {
	return max(minBurst, b.cfg.Slack*usableSlackShare/float64(max(1, hostCount)))
}

// refill adds the tokens regained since the last call, half of the slack per window, and returns the service's bucket.
func (b *Budget) refill(now time.Duration, service string, hostCount int) *tokenBucket {
	t := b.buckets[service]
	if t == nil {
		t = &tokenBucket{refilledAt: b.cfg.StartedAt}
		if b.cfg.FirstStart {
			t.tokens = b.burst(hostCount)
		}
		b.buckets[service] = t
	}
	if b.cfg.Window > 0 {
		t.tokens = min(b.burst(hostCount), t.tokens+b.burst(hostCount)*float64(now-t.refilledAt)/float64(b.cfg.Window)/2)
	}
	t.refilledAt = now
	return t
}
