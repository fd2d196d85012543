package intent_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/intent"
	"baobabreach/internal/model"
)

func fleet() *model.State {
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

// Guards against plans that hide what a change moves or whom it leaves without service.
func TestPlanTellsTheEffects(t *testing.T) {
	is := is.New(t)
	s := fleet()
	f := intent.PlanInputs{MaxMoves: 1, PerSecond: map[string]float64{"catalogue": 10}}
	p := intent.New(intent.Intent{ID: id(1), StopDC: &intent.DataCentre{Name: "a"}}, s, f)
	is.Equal(p.Changes, []string{"data centre a: stopped false -> true"})
	is.Equal(p.Moves, 2)
	is.Equal(p.Effects, []intent.Effect{
		{Service: "catalogue", KeyShare: 0.5, RequestShare: 0.5, RequestsPerSecond: 5, Moves: 2},
		{Service: "orders", RequestShare: 1},
	})
	is.Equal(p.Warnings, []string{"no upstream left for service orders", "one upstream left for service catalogue"})
	p = intent.New(intent.Intent{ID: id(2), Return: &intent.Upstream{Name: "c1"}}, s, f)
	is.Equal(p.Warnings, []string{"this changes nothing"})
	p = intent.New(intent.Intent{ID: id(3), Return: &intent.Upstream{Name: "c1"}}, s.WithDrained("c1", true), f)
	is.Equal(p.Moves, 0) // c1 still holds its fair share.
	p = intent.New(intent.Intent{ID: id(4), Keyed: &intent.Keyed{Service: "orders", Ranges: 8}}, s, f)
	is.Equal(p.Effects, []intent.Effect{{Service: "orders", KeyShare: 1, RequestShare: 1, Moves: 8}})
}

// Guards against unbounded memory, and against a second execution once the result of an intent is dropped.
func TestDroppedIntentsAreNeverExecutedAgain(t *testing.T) {
	is := is.New(t)
	table, s := intent.NewTable(), fleet()
	f := intent.PlanInputs{MaxMoves: 8}
	first := intent.Intent{ID: id(0), Operator: "ann", Drain: &intent.Upstream{Name: "c1"}}
	is.True(table.Plan(first, s, f, startMs).Plan != nil)
	r, s := table.Confirm(first.ID, "ann", s, 1)
	is.Equal(r.Confirmation.Revision, uint64(1))
	for i := range intent.MaxRecords {
		in := intent.Intent{ID: id(i + 1), Operator: "ann", Return: &intent.Upstream{Name: "c1"}}
		is.True(table.Plan(in, s, f, startMs).Plan != nil)
		is.True(len(table.Records) <= intent.MaxRecords)
	}
	is.Equal(table.Plan(first, s, f, startMs).Refusal.Code, intent.CodeIntentExpired)
	r, next := table.Confirm(first.ID, "ann", s, 2)
	is.Equal(r.Refusal.Code, intent.CodeIntentExpired)
	is.Equal(next, s)
}

// Guards against an id that stands for two different changes.
func TestIDOfAnotherIntentIsRefused(t *testing.T) {
	is := is.New(t)
	table, s := intent.NewTable(), fleet()
	in := intent.Intent{ID: id(0), Operator: "ann", Drain: &intent.Upstream{Name: "c1"}}
	is.True(table.Plan(in, s, intent.PlanInputs{}, startMs).Plan != nil)
	in.Drain = &intent.Upstream{Name: "c2"}
	is.Equal(table.Plan(in, s, intent.PlanInputs{}, startMs).Refusal.Code, intent.CodeIntentReused)
	ahead := intent.Intent{ID: id(3_600_000), Operator: "ann", Drain: in.Drain}
	is.True(table.Plan(ahead, s, intent.PlanInputs{}, startMs).Refusal != nil)
}
