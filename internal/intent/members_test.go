package intent_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/intent"
	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// group is a group of three voters on a1, b1 and c1, whose leader is on a1. Each change is applied to a copy.
func group(changes ...func(ms []model.Member) []model.Member) []model.Member {
	ms := []model.Member{
		{Host: "a1", ID: "1", Role: model.RoleVoter, Live: true, Leader: true},
		{Host: "b1", ID: "2", Role: model.RoleVoter, Live: true},
		{Host: "c1", ID: "3", Role: model.RoleVoter, Live: true},
	}
	for _, c := range changes {
		ms = c(ms)
	}
	return ms
}

func lost(i int) func([]model.Member) []model.Member {
	return func(ms []model.Member) []model.Member {
		ms[i].Live = false
		return ms
	}
}

func gone(i int) func([]model.Member) []model.Member {
	return func(ms []model.Member) []model.Member {
		ms[i] = model.Member{Host: ms[i].Host, Role: model.RoleNone}
		return ms
	}
}

func learner(host string) func([]model.Member) []model.Member {
	return func(ms []model.Member) []model.Member {
		return append(ms, model.Member{Host: host, ID: "4", Role: model.RoleLearner, Live: true})
	}
}

// Guards against changes of replicas that leave no majority or overlap, and against plans that hide the risk.
func TestMembersArePlanned(t *testing.T) {
	for _, x := range []struct {
		members []model.Member
		removed string
		change  intent.Members
		expect  string
	}{
		{group(), "", intent.Members{Remove: "c1"}, "this leaves 2 replicas of the settings"},
		{group(), "", intent.Members{Remove: "a1"}, "host a1 leads"},
		{group(lost(2)), "", intent.Members{Remove: "c1"}, "this leaves 2 replicas of the settings"},
		{group(gone(2)), "c1", intent.Members{Remove: "b1"}, "this leaves one replica of the settings"},
		{group(lost(2)), "", intent.Members{Remove: "b1"}, string(intent.CodeMembersUnsafe)},
		{group(gone(1), gone(2)), "b1", intent.Members{Remove: "a1"}, string(intent.CodeMembersUnsafe)},
		{group(learner("c1")), "", intent.Members{Remove: "b1"}, string(intent.CodeMembersChanging)},
		{group(learner("c1")), "", intent.Members{Remove: "c1"}, "this leaves 2 replicas of the settings"},
		{group(), "c1", intent.Members{Remove: "b1"}, string(intent.CodeMembersChanging)},
		{group(), "c1", intent.Members{Add: "c1"}, string(intent.CodeMembersChanging)},
		{group(gone(2)), "c1", intent.Members{Remove: "c1"}, string(proto.CodeNotFound)},
		{group(), "", intent.Members{Remove: "d1"}, string(proto.CodeNotFound)},
		{group(), "", intent.Members{Add: "d1"}, string(intent.CodeNotSupported)},
		{group(gone(2)), "c1", intent.Members{Add: "c1"}, "empty data folder"},
		{group(), "", intent.Members{Add: "c1"}, "this changes nothing"},
	} {
		s := model.NewState().WithMembers(x.members).WithRemovedReplica("none", true)
		if x.removed != "" {
			s = s.WithRemovedReplica(x.removed, true)
		}
		got := ""
		r := intent.NewTable().Plan(intent.Intent{ID: id(1), Operator: "ann", Members: &x.change}, s, intent.PlanInputs{}, startMs)
		if r.Refusal != nil {
			got = string(r.Refusal.Code)
		} else {
			got = strings.Join(r.Plan.Warnings, "; ")
		}
		if !strings.Contains(got, x.expect) {
			t.Errorf("%+v: got %q, expected %q", x.change, got, x.expect)
		}
	}
}

// Guards against a confirmation that goes by the group of the plan, although another replica was lost since then.
func TestMembersAreCheckedAtTheConfirmation(t *testing.T) {
	is := is.New(t)
	table, s := intent.NewTable(), model.NewState().WithMembers(group())
	in := intent.Intent{ID: id(1), Operator: "ann", Members: &intent.Members{Remove: "c1"}}
	is.True(table.Plan(in, s, intent.PlanInputs{}, startMs).Plan != nil)
	r, next := table.Confirm(in.ID, "ann", s.WithMembers(group(lost(1))), 1)
	is.Equal(r.Refusal.Code, intent.CodeMembersUnsafe)
	is.True(!next.RemovedReplicas["c1"])
}
