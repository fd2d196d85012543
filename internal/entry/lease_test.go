package entry_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"baobabreach/internal/admit"
	"baobabreach/internal/entry"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/retry"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"
)

type transport func(*http.Request) (*http.Response, error)

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

// Guards against a request that an upstream without a check keeps running after the leader may have given its range to
// another one, and against reporting such a request as not run.
func TestLeaseEndCancelsUncheckedRequests(t *testing.T) {
	for _, checks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			u := model.Upstream{Name: "u", Service: "stock", Incarnation: 1, Address: "10.0.0.1:1", ChecksGrants: checks}
			s := model.NewState().WithService(model.Service{
				Name: "stock", Keyed: true, Ranges: 1, Class: model.ClassShort, DeadlineMs: 5000,
			}).WithUpstream(u)
			s = s.WithRange(s.Ranges[0].Hold(u, 1, false, 1)).WithVersion(1)
			start := time.Now()
			v := route.NewView()
			v.Update(0, route.Update{TTL: 900 * time.Millisecond, Version: 1, Table: route.NewTable(s)})
			var ended time.Duration
			server := entry.New(entry.Config{
				Host: "h", View: v, Clock: func() time.Duration { return time.Since(start) }, Metrics: metric.New(),
				Retry: retry.NewPolicy(),
				Log:   slog.New(slog.DiscardHandler), MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 20,
				AcquireSlot: func(_ context.Context, t entry.SlotRequest) (model.Upstream, func(admit.Result), *proto.Error) {
					return t.Upstreams[0], func(admit.Result) {}, nil
				},
				Client: &http.Client{Transport: transport(func(r *http.Request) (*http.Response, error) {
					_, _ = io.Copy(io.Discard, r.Body)
					httptrace.ContextClientTrace(r.Context()).WroteHeaderField("Host", nil)
					<-r.Context().Done()
					ended = time.Since(start)
					return nil, r.Context().Err()
				})},
			})
			r := httptest.NewRequest(http.MethodGet, "/s/stock/a", nil)
			r.Header.Set(proto.HeaderKey, "k")
			w := httptest.NewRecorder()
			// A renewal during the request moves the end of the lease.
			time.AfterFunc(500*time.Millisecond, func() {
				v.Update(500*time.Millisecond, route.Update{TTL: 900 * time.Millisecond, Version: 1})
			})
			m := mux.NewRouter()
			m.Handle("/s/{service}/{path:.*}", server)
			m.ServeHTTP(w, r)
			want := 1400 * time.Millisecond
			if checks {
				want = 5 * time.Second
			}
			is.Equal(ended, want)
			is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeUnknown))
		})
	}
}
