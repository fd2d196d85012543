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
	// ratioUse and slackUse are the parts of the bound that are used. A full slack and half of it again may be used within a
	// window, so together they stay below the bound however the hosts' sends coincide.
	ratioUse = 0.95
	slackUse = 0.6
	// minBurst lets a host retry at all where many hosts share the slack.
	minBurst = 1.0
)

// Budget bounds the repeated sends of one host per service. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu       sync.Mutex
	services map[string]*tokens
}

type tokens struct {
	left float64
	at   time.Duration
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget { return &Budget{cfg: cfg, services: map[string]*tokens{}} }

// Started counts a request of a caller. hosts is the number of hosts that share the bound.
func (b *Budget) Started(now time.Duration, service string, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.of(now, service, hosts)
	t.left = min(b.burst(hosts), t.left+b.cfg.Ratio*ratioUse)
}

// Take allows one more send of a request, or returns false.
func (b *Budget) Take(now time.Duration, service string, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.of(now, service, hosts)
	if t.left < 1 {
		return false
	}
	t.left--
	return true
}

// Left returns how many requests of each service may be sent again at present.
func (b *Budget) Left() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]float64{}
	for name, t := range b.services {
		out[name] = t.left
	}
	return out
}

func (b *Budget) burst(hosts int) float64 {
	return max(minBurst, b.cfg.Slack*slackUse/float64(max(1, hosts)))
}

// of returns the tokens of a service; the slack comes back over one window.
func (b *Budget) of(now time.Duration, service string, hosts int) *tokens {
	t := b.services[service]
	if t == nil {
		t = &tokens{left: b.burst(hosts), at: now}
		b.services[service] = t
	}
	if b.cfg.Window > 0 {
		t.left = min(b.burst(hosts), t.left+b.burst(hosts)*float64(now-t.at)/float64(b.cfg.Window)/2)
	}
	t.at = now
	return t
}
