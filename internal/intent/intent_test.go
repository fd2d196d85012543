package intent_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/intent"
	"baobabreach/internal/model"
)

func testState() *model.State {
	s := model.NewState().WithService(model.Service{Name: "catalogue", Keyed: true, Ranges: 4}).
		WithService(model.Service{Name: "orders"})
	for _, u := range []model.Upstream{
		{Name: "c1", Service: "catalogue", DataCentre: "a", Incarnation: 1, ChecksGrants: true},
		{Name: "c2", Service: "catalogue", DataCentre: "b", Incarnation: 1, ChecksGrants: true},
		{Name: "o1", Service: "orders", DataCentre: "a", Slots: 3},
	} {
		s = s.WithUpstream(u)
	}
	for i, a := range s.Ranges {
		a.Phase, a.Owner, a.Incarnation = model.PhaseHeld, []string{"c1", "c2"}[i%2], 1
		s = s.WithRange(a)
	}
	return s
}

// Guards against plans that omit the ranges that a change moves or the services that it leaves without an upstream.
func TestPlanListsEffectsAndWarnings(t *testing.T) {
	is := is.New(t)
	s := testState()
	inputs := intent.PlanInputs{MaxMoves: 1, PerSecond: map[string]float64{"catalogue": 10}}
	plan := intent.NewPlan(intent.Intent{ID: intentID(1), StopDC: &intent.DataCentre{Name: "a"}}, s, inputs)
	is.Equal(plan.Changes, []string{"data centre a: stopped false -> true"})
	is.Equal(plan.Moves, 2)
	is.Equal(plan.Effects, []intent.Effect{
		{Service: "catalogue", KeyShare: 0.5, RequestShare: 0.5, RequestsPerSecond: 5, Moves: 2},
		{Service: "orders", RequestShare: 1},
	})
	is.Equal(plan.Warnings, []string{"no upstream left for service orders", "one upstream left for service catalogue"})
	plan = intent.NewPlan(intent.Intent{ID: intentID(2), Return: &intent.Upstream{Name: "c1"}}, s, inputs)
	is.Equal(plan.Warnings, []string{"this changes nothing"})
	plan = intent.NewPlan(
		intent.Intent{ID: intentID(3), Return: &intent.Upstream{Name: "c1"}}, s.WithDrained("c1", true), inputs)
	is.Equal(plan.Moves, 0) // c1 still owns its fair share of the ranges
	plan = intent.NewPlan(intent.Intent{ID: intentID(4), Keyed: &intent.MakeKeyed{Service: "orders", Ranges: 8}}, s, inputs)
	is.Equal(plan.Effects, []intent.Effect{{Service: "orders", KeyShare: 1, RequestShare: 1, Moves: 8}})
}

// Guards against unbounded memory, and against a second execution once the result of an intent is evicted.
func TestEvictedIntentsAreNeverExecutedAgain(t *testing.T) {
	is := is.New(t)
	table, s := intent.NewTable(), testState()
	inputs := intent.PlanInputs{MaxMoves: 8}
	first := intent.Intent{ID: intentID(0), Operator: "ann", Drain: &intent.Upstream{Name: "c1"}}
	is.True(table.Plan(first, s, inputs, startMs).Plan != nil)
	result, s := table.Confirm(first.ID, "ann", s, 1)
	is.Equal(result.Confirmation.Revision, uint64(1))
	for i := range intent.MaxRecords {
		in := intent.Intent{ID: intentID(i + 1), Operator: "ann", Return: &intent.Upstream{Name: "c1"}}
		is.True(table.Plan(in, s, inputs, startMs).Plan != nil)
		is.True(len(table.Records) <= intent.MaxRecords)
	}
	is.Equal(table.Plan(first, s, inputs, startMs).Refusal.Code, intent.CodeIntentExpired)
	result, next := table.Confirm(first.ID, "ann", s, 2)
	is.Equal(result.Refusal.Code, intent.CodeIntentExpired)
	is.Equal(next, s)
}

// Guards against an ID that is accepted for two different changes, and against IDs too far ahead of the log's time.
func TestReusedIntentIDIsRefused(t *testing.T) {
	is := is.New(t)
	table, s := intent.NewTable(), testState()
	in := intent.Intent{ID: intentID(0), Operator: "ann", Drain: &intent.Upstream{Name: "c1"}}
	is.True(table.Plan(in, s, intent.PlanInputs{}, startMs).Plan != nil)
	in.Drain = &intent.Upstream{Name: "c2"}
	is.Equal(table.Plan(in, s, intent.PlanInputs{}, startMs).Refusal.Code, intent.CodeIntentReused)
	ahead := intent.Intent{ID: intentID(3_600_000), Operator: "ann", Drain: in.Drain}
	is.True(table.Plan(ahead, s, intent.PlanInputs{}, startMs).Refusal != nil)
}
