package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"baobabreach/internal/admit"
	"baobabreach/internal/audit"
	"baobabreach/internal/entry"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/retry"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"
)

// Guards against requests that are missing from the audit ring, so that the explain command can't find them: refused
// before or after routing, or routed to an upstream.
func TestEveryOutcomeIsRecorded(t *testing.T) {
	is := is.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(proto.HeaderRequestID, r.Header.Get(proto.HeaderRequestID))
	}))
	defer upstream.Close()
	u := model.Upstream{Name: "u1", Incarnation: 1, Service: "catalogue", Address: upstream.Listener.Addr().String()}
	st := model.NewState().WithService(model.Service{
		Name: "catalogue", Keyed: true, Ranges: 1, Class: model.ClassShort, DeadlineMs: 1000,
	}).WithUpstream(u)
	assignment := st.Ranges[0]
	assignment.Owner, assignment.Incarnation, assignment.Phase, assignment.Epoch = "u1", 1, model.PhaseHeld, 5
	view := route.NewView()
	ring := audit.New("a1", 16)
	now := time.Duration(0)
	server := entry.New(entry.Config{
		Host: "a1", View: view, Clock: func() time.Duration { return now }, Client: upstream.Client(), Metrics: metric.New(),
		Audit: ring, Retry: retry.NewPolicy(), MaxBodyBytes: 1 << 10, MaxResponseBytes: 1 << 10,
		AcquireSlot: func(context.Context, entry.SlotRequest) (model.Upstream, func(admit.Result), *proto.Error) {
			return u, func(admit.Result) {}, nil
		},
	})
	router := mux.NewRouter()
	router.Handle("/s/{service}", server)
	view.Update(0, route.Update{TTL: time.Second, Version: 1, Table: route.NewTable(st.WithRange(assignment).WithVersion(1))})
	sendAndFind := func(key string) audit.Decision {
		r := httptest.NewRequest(http.MethodGet, "/s/catalogue", nil)
		r.Header.Set(proto.HeaderKey, key)
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		decisions := ring.Find(audit.Query{RequestID: w.Header().Get(proto.HeaderRequestID), Limit: 2})
		is.Equal(len(decisions), 1)
		return decisions[0]
	}
	decision := sendAndFind("")
	is.Equal(decision.Code, proto.CodeMissingKey)
	decision = sendAndFind("silk")
	is.Equal(decision.Kind, audit.KindRouted)
	is.Equal(decision.Upstream, "u1")
	is.Equal(decision.Epoch, uint64(5))
	now = 2 * time.Second // after the end of the routing lease
	decision = sendAndFind("silk")
	is.Equal(decision.Code, proto.CodeNoLease)
	is.Equal(decision.Upstream, "u1")
}
