package owner

import "time"

// Defences of a planner that a test can take out.
const (
	DefenceMargin      = "margin"
	DefenceGrant       = "grant"
	DefenceRoutes      = "routes"
	DefencePredecessor = "predecessor"
)

// NewWithout returns a planner without one of its defences; an unknown name takes out none.
func NewWithout(defence string, cfg Config, now time.Duration) *Planner {
	full := New(cfg, now).timing
	switch defence {
	case DefenceMargin:
		full.margin = func(d time.Duration) time.Duration { return d }
	case DefenceGrant:
		full.waitGrant = false
	case DefenceRoutes:
		full.waitRoutes = false
	case DefencePredecessor:
		full.waitPredecessor = false
	}
	return newPlanner(cfg, full, now)
}
