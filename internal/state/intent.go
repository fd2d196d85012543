package state

import "baobabreach/internal/intent"

// PlanIntent stores the plan of an intent.
type PlanIntent struct {
	Intent intent.Intent `json:"intent"`
	Facts  intent.Facts  `json:"facts"`
	// NowMs is the proposer's wall clock in milliseconds since the Unix epoch.
	NowMs int64 `json:"now_ms"`
}

// ConfirmIntent executes a stored plan.
type ConfirmIntent struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
}

func (m *Machine) planIntent(c PlanIntent) Result {
	r := m.intents.Plan(c.Intent, m.model, c.Facts, c.NowMs)
	return Result{Applied: r.Refusal == nil, Intent: &r}
}

func (m *Machine) confirmIntent(c ConfirmIntent, index uint64) Result {
	r, next := m.intents.Confirm(c.ID, c.Operator, m.model, index)
	m.model = next
	return Result{Applied: r.Confirmation != nil, Intent: &r}
}

// Intents returns the results of the latest intents. It must not be changed.
func (m *Machine) Intents() *intent.Table { return m.intents }
