package state

import (
	"baobabreach/internal/intent"
	"baobabreach/internal/model"
)

// PlanIntent plans an intent and stores the plan.
type PlanIntent struct {
	Intent intent.Intent     `json:"intent"`
	Inputs intent.PlanInputs `json:"facts"`
	// NowMs is the proposer's wall clock in milliseconds since the Unix epoch.
	NowMs int64 `json:"now_ms"`
	// Members is the leader's view of the group. It is part of the command because replicas that replay the log have no
	// other source for it.
	Members []model.Member `json:"members,omitempty"`
}

// ConfirmIntent executes a stored plan.
type ConfirmIntent struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	// Members is the leader's view of the group, as in PlanIntent.
	Members []model.Member `json:"members,omitempty"`
}

func (m *Machine) planIntent(c PlanIntent) Result {
	r := m.intents.Plan(c.Intent, m.model.WithMembers(c.Members), c.Inputs, c.NowMs)
	return Result{Applied: r.Refusal == nil, Intent: &r}
}

func (m *Machine) confirmIntent(c ConfirmIntent, index uint64) Result {
	before := m.model.WithMembers(c.Members)
	r, next := m.intents.Confirm(c.ID, c.Operator, before, index)
	if next != before {
		m.model = next.WithMembers(nil)
	}
	return Result{Applied: r.Confirmation != nil, Intent: &r}
}

// Intents returns the results of the latest intents. Callers must not change them.
func (m *Machine) Intents() *intent.Table { return m.intents }
