package opapi_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"baobabreach/internal/claim"
	"baobabreach/internal/intent"
	"baobabreach/internal/model"
	"baobabreach/internal/opapi"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

const nowMs = int64(1_790_000_000_000)

// fixture serves the operator API with an in-process state machine in place of the leader.
type fixture struct {
	machine    *state.Machine
	handler    http.Handler
	index      uint64
	proposeErr error
}

func newFixture() *fixture {
	f := &fixture{machine: state.New()}
	_, _ = f.propose(context.Background(), state.Command{Service: &model.Service{Name: "orders", Class: model.ClassShort}})
	m := mux.NewRouter()
	opapi.New(opapi.Config{
		View: route.NewView(), Now: func() time.Time { return time.UnixMilli(nowMs) }, Propose: f.propose,
		Facts: func() intent.PlanInputs { return intent.PlanInputs{MaxMoves: 8} },
	}).Mount(m)
	f.handler = m
	return f
}

func (f *fixture) propose(_ context.Context, c state.Command) (state.Result, error) {
	if f.proposeErr != nil {
		return state.Result{}, f.proposeErr
	}
	b, err := state.Encode([]state.Command{c})
	if err != nil {
		return state.Result{}, err
	}
	f.index++
	rs, err := f.machine.Apply(f.index, b)
	if err != nil {
		return state.Result{}, err
	}
	return rs[0], nil
}

func (f *fixture) post(path, body string) (int, proto.Error) {
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	var e proto.Error
	_ = json.Unmarshal(w.Body.Bytes(), &e)
	return w.Code, e
}

func intentID(i int) string { return claim.NewID(nowMs+int64(i), make([]byte, 10)) }

// Guards against malformed or partly valid commands being applied: each must be refused with its code and change nothing.
func TestFaultyCommandsChangeNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	before := f.machine.Model()
	long := strings.Repeat("a", opapi.MaxBodyBytes)
	for _, tc := range []struct {
		path, body string
		status     int
		code       proto.Code
	}{
		{opapi.PathPlan, `{`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, `{} {}`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, `{"id":"` + intentID(0) + `","operator":"ann","shrink":{}}`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, `{"id":"` + intentID(0) + `","operator":"` + long + `"}`, 413, proto.CodeTooLarge},
		{opapi.PathPlan, `{"id":"` + intentID(0) + `","operator":"ann"}`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, `{"id":"7","operator":"ann","drain":{"name":"u"}}`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, planBody(0, `"drain":{"name":"u"},"return":{"name":"u"}`), 400, proto.CodeBadRequest},
		{opapi.PathPlan, planBody(0, `"limit":{"tenant":"t","class":"short","per_second":-1}`), 400, proto.CodeBadRequest},
		{opapi.PathPlan, planBody(0, `"service":{"name":"a b"}`), 400, proto.CodeBadRequest},
		{opapi.PathPlan, planBody(0, `"drain":{"name":"`+long[:65]+`"}`), 400, proto.CodeBadRequest},
		{opapi.PathPlan, planBody(1, `"drain":{"name":"nobody"}`), 404, proto.CodeNotFound},
		{opapi.PathPlan, planBody(2, `"stop_dc":{"name":"nowhere"}`), 404, proto.CodeNotFound},
		{opapi.PathPlan, planBody(3, `"keyed":{"service":"nothing"}`), 404, proto.CodeNotFound},
		{opapi.PathPlan, planBody(4, `"split":{"service":"orders","key":"k"}`), 501, intent.CodeNotSupported},
		{opapi.PathPlan, planBody(5, `"members":{"add":"d1"}`), 501, intent.CodeNotSupported},
		{opapi.PathConfirm, `{"id":"` + intentID(9) + `","operator":"ann"}`, 404, proto.CodeNotFound},
		{opapi.PathConfirm, `{"id":"` + intentID(1) + `","operator":"ann"}`, 404, proto.CodeNotFound},
		{opapi.PathConfirm, `{"id":"x","operator":"ann"}`, 400, proto.CodeBadRequest},
	} {
		status, e := f.post(tc.path, tc.body)
		if status != tc.status || e.Code != tc.code || e.Outcome != proto.OutcomeNotRun {
			t.Errorf("%s %.80s: got %d %+v, expected %d %s", tc.path, tc.body, status, e, tc.status, tc.code)
		}
	}
	is.Equal(f.machine.Model(), before)
}

func planBody(i int, change string) string {
	return `{"id":"` + intentID(i) + `","operator":"ann",` + change + `}`
}

// Guards against two conflicting confirmations that both succeed, and against a refusal that does not name the operator
// and intent that were accepted first.
func TestRaceHasOneWinner(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i, operator := range []string{"ann", "bob"} {
		status, _ := f.post(opapi.PathPlan, fmt.Sprintf(
			`{"id":%q,"operator":%q,"limit":{"tenant":"t","class":"long","per_second":%d}}`, intentID(i), operator, i+1))
		is.Equal(status, 200)
	}
	confirm := func(i int, operator string) (int, proto.Error) {
		return f.post(opapi.PathConfirm, `{"id":"`+intentID(i)+`","operator":"`+operator+`"}`)
	}
	status, _ := confirm(1, "bob")
	is.Equal(status, 200)
	status, e := confirm(0, "ann")
	is.Equal(status, 409)
	is.Equal(e.Code, proto.CodeConflict)
	is.True(strings.Contains(e.Message, intentID(1)) && strings.Contains(e.Message, "bob"))
	status, _ = confirm(1, "bob")
	is.Equal(status, 200) // a repeated confirmation returns the first result
	is.Equal(f.machine.Model().Revision, uint64(1))
	is.Equal(f.machine.Model().Limits["t/long"].PerSecond, 2.0)
}

// Guards against a no_leader refusal that reaches the operator without its outcome.
func TestNoLeaderIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.proposeErr = proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "no leader can be reached")
	status, e := f.post(opapi.PathPlan, planBody(0, `"drain":{"name":"u"}`))
	is.Equal(status, 503)
	is.Equal(e.Code, proto.CodeNoLeader)
	is.Equal(e.Outcome, proto.OutcomeNotRun)
}
