package owner

import "time"

// Safeguards of a planner that a test can disable.
const (
	SafeguardMargin        = "margin"
	SafeguardGrant         = "grant"
	SafeguardRoutingLeases = "routes"
	SafeguardPredecessor   = "predecessor"
)

// NewWithout returns a planner without one of its safeguards. An unknown name disables none.
func NewWithout(safeguard string, cfg Config, now time.Duration) *Planner {
	guards := New(cfg, now).safeguards
	switch safeguard {
	case SafeguardMargin:
		guards.margin = func(d time.Duration) time.Duration { return d }
	case SafeguardGrant:
		guards.waitGrant = false
	case SafeguardRoutingLeases:
		guards.waitRoutingLeases = false
	case SafeguardPredecessor:
		guards.waitPredecessor = false
	}
	return newPlanner(cfg, guards, now)
}
