package intent_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/intent"
	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// replicaGroup returns a group of three voters on a1, b1 and c1, led by a1, with the changes applied in order.
func replicaGroup(changes ...func(ms []model.Member) []model.Member) []model.Member {
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

func unreachable(i int) func([]model.Member) []model.Member {
	return func(ms []model.Member) []model.Member {
		ms[i].Live = false
		return ms
	}
}

func withoutReplica(i int) func([]model.Member) []model.Member {
	return func(ms []model.Member) []model.Member {
		ms[i] = model.Member{Host: ms[i].Host, Role: model.RoleNone}
		return ms
	}
}

func withLearner(host string) func([]model.Member) []model.Member {
	return func(ms []model.Member) []model.Member {
		return append(ms, model.Member{Host: host, ID: "4", Role: model.RoleLearner, Live: true})
	}
}

// Guards against changes of replicas that leave no majority or overlap with another change, and against plans that don't
// warn of the risk.
func TestMemberChangesArePlanned(t *testing.T) {
	for _, tc := range []struct {
		members []model.Member
		removed string
		change  intent.Members
		expect  string
	}{
		{replicaGroup(), "", intent.Members{Remove: "c1"}, "this leaves 2 replicas of the settings"},
		{replicaGroup(), "", intent.Members{Remove: "a1"}, "host a1 leads"},
		{replicaGroup(unreachable(2)), "", intent.Members{Remove: "c1"}, "this leaves 2 replicas of the settings"},
		{replicaGroup(withoutReplica(2)), "c1", intent.Members{Remove: "b1"}, "this leaves one replica of the settings"},
		{replicaGroup(unreachable(2)), "", intent.Members{Remove: "b1"}, string(intent.CodeMembersUnsafe)},
		{replicaGroup(withoutReplica(1), withoutReplica(2)), "b1", intent.Members{Remove: "a1"}, string(intent.CodeMembersUnsafe)},
		{replicaGroup(withLearner("c1")), "", intent.Members{Remove: "b1"}, string(intent.CodeMembersChanging)},
		{replicaGroup(withLearner("c1")), "", intent.Members{Remove: "c1"}, "this leaves 2 replicas of the settings"},
		{replicaGroup(), "c1", intent.Members{Remove: "b1"}, string(intent.CodeMembersChanging)},
		{replicaGroup(), "c1", intent.Members{Add: "c1"}, string(intent.CodeMembersChanging)},
		{replicaGroup(withoutReplica(2)), "c1", intent.Members{Remove: "c1"}, string(proto.CodeNotFound)},
		{replicaGroup(), "", intent.Members{Remove: "d1"}, string(proto.CodeNotFound)},
		{replicaGroup(), "", intent.Members{Add: "d1"}, string(intent.CodeNotSupported)},
		{replicaGroup(withoutReplica(2)), "c1", intent.Members{Add: "c1"}, "empty data folder"},
		{replicaGroup(), "", intent.Members{Add: "c1"}, "this changes nothing"},
	} {
		s := model.NewState().WithMembers(tc.members).WithRemovedReplica("none", true)
		if tc.removed != "" {
			s = s.WithRemovedReplica(tc.removed, true)
		}
		got := ""
		r := intent.NewTable().Plan(
			intent.Intent{ID: intentID(1), Operator: "ann", Members: &tc.change}, s, intent.PlanInputs{}, startMs)
		if r.Refusal != nil {
			got = string(r.Refusal.Code)
		} else {
			got = strings.Join(r.Plan.Warnings, "; ")
		}
		if !strings.Contains(got, tc.expect) {
			t.Errorf("%+v: got %q, expected %q", tc.change, got, tc.expect)
		}
	}
}

// Guards against a confirmation that is checked against the group as planned, although another replica has been lost
// since.
func TestMembersAreCheckedAgainAtConfirmation(t *testing.T) {
	is := is.New(t)
	table, s := intent.NewTable(), model.NewState().WithMembers(replicaGroup())
	in := intent.Intent{ID: intentID(1), Operator: "ann", Members: &intent.Members{Remove: "c1"}}
	is.True(table.Plan(in, s, intent.PlanInputs{}, startMs).Plan != nil)
	r, next := table.Confirm(in.ID, "ann", s.WithMembers(replicaGroup(unreachable(1))), 1)
	is.Equal(r.Refusal.Code, intent.CodeMembersUnsafe)
	is.True(!next.RemovedReplicas["c1"])
}
