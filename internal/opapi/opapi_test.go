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

// fixture is an operator address whose leader is one state machine in this process.
type fixture struct {
	machine *state.Machine
	handler http.Handler
	index   uint64
	err     error
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
	if f.err != nil {
		return state.Result{}, f.err
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

func id(i int) string { return claim.NewID(nowMs+int64(i), make([]byte, 10)) }

// Guards against commands that are half understood: each must be refused with its code and change nothing.
func TestFaultyCommandsChangeNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	before := f.machine.Model()
	long := strings.Repeat("a", opapi.MaxBodyBytes)
	for _, x := range []struct {
		path, body string
		status     int
		code       proto.Code
	}{
		{opapi.PathPlan, `{`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, `{} {}`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, `{"id":"` + id(0) + `","operator":"ann","shrink":{}}`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, `{"id":"` + id(0) + `","operator":"` + long + `"}`, 413, proto.CodeTooLarge},
		{opapi.PathPlan, `{"id":"` + id(0) + `","operator":"ann"}`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, `{"id":"7","operator":"ann","drain":{"name":"u"}}`, 400, proto.CodeBadRequest},
		{opapi.PathPlan, plan(0, `"drain":{"name":"u"},"return":{"name":"u"}`), 400, proto.CodeBadRequest},
		{opapi.PathPlan, plan(0, `"limit":{"tenant":"t","class":"short","per_second":-1}`), 400, proto.CodeBadRequest},
		{opapi.PathPlan, plan(0, `"service":{"name":"a b"}`), 400, proto.CodeBadRequest},
		{opapi.PathPlan, plan(0, `"drain":{"name":"`+long[:65]+`"}`), 400, proto.CodeBadRequest},
		{opapi.PathPlan, plan(1, `"drain":{"name":"nobody"}`), 404, proto.CodeNotFound},
		{opapi.PathPlan, plan(2, `"stop_dc":{"name":"nowhere"}`), 404, proto.CodeNotFound},
		{opapi.PathPlan, plan(3, `"keyed":{"service":"nothing"}`), 404, proto.CodeNotFound},
		{opapi.PathPlan, plan(4, `"split":{"service":"orders","key":"k"}`), 501, intent.CodeNotSupported},
		{opapi.PathPlan, plan(5, `"members":{"add":"d1"}`), 501, intent.CodeNotSupported},
		{opapi.PathConfirm, `{"id":"` + id(9) + `","operator":"ann"}`, 404, proto.CodeNotFound},
		{opapi.PathConfirm, `{"id":"` + id(1) + `","operator":"ann"}`, 404, proto.CodeNotFound},
		{opapi.PathConfirm, `{"id":"x","operator":"ann"}`, 400, proto.CodeBadRequest},
	} {
		status, e := f.post(x.path, x.body)
		if status != x.status || e.Code != x.code || e.Outcome != proto.OutcomeNotRun {
			t.Errorf("%s %.80s: got %d %+v, expected %d %s", x.path, x.body, status, e, x.status, x.code)
		}
	}
	is.Equal(f.machine.Model(), before)
}

func plan(i int, change string) string {
	return `{"id":"` + id(i) + `","operator":"ann",` + change + `}`
}

// Guards against a race that two operators win, and against a loser that doesn't learn who won.
func TestRaceHasOneWinner(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i, who := range []string{"ann", "bob"} {
		status, _ := f.post(opapi.PathPlan, fmt.Sprintf(
			`{"id":%q,"operator":%q,"limit":{"tenant":"t","class":"long","per_second":%d}}`, id(i), who, i+1))
		is.Equal(status, 200)
	}
	confirm := func(i int, who string) (int, proto.Error) {
		return f.post(opapi.PathConfirm, `{"id":"`+id(i)+`","operator":"`+who+`"}`)
	}
	status, _ := confirm(1, "bob")
	is.Equal(status, 200)
	status, e := confirm(0, "ann")
	is.Equal(status, 409)
	is.Equal(e.Code, proto.CodeConflict)
	is.True(strings.Contains(e.Message, id(1)) && strings.Contains(e.Message, "bob"))
	status, _ = confirm(1, "bob")
	is.Equal(status, 200) // A resend gets the first result.
	is.Equal(f.machine.Model().Revision, uint64(1))
	is.Equal(f.machine.Model().Limits["t/long"].PerSecond, 2.0)
}

// Guards against a refusal without a leader that loses its outcome on the way to the operator.
func TestNoLeaderIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.err = proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "no leader can be reached")
	status, e := f.post(opapi.PathPlan, plan(0, `"drain":{"name":"u"}`))
	is.Equal(status, 503)
	is.Equal(e.Code, proto.CodeNoLeader)
	is.Equal(e.Outcome, proto.OutcomeNotRun)
}
