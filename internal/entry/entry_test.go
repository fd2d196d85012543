package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"baobabreach/internal/admit"
	"baobabreach/internal/claim"
	"baobabreach/internal/entry"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/retry"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// bench is an entry server in front of fake upstreams that are connected by pipes.
type bench struct {
	view   *route.View
	server http.Handler
	client *http.Client
	policy *retry.Policy
	// sends and claims count what reached an upstream or the log.
	sends, claims atomic.Int64
}

// newBench serves the requests to every upstream with reply, which writes what it wants to the raw connection.
func newBench(t *testing.T, limited bool, reply func(n int64, r *http.Request, c net.Conn)) *bench {
	b := &bench{view: route.NewView(), policy: retry.NewPolicy()}
	t.Cleanup(func() { b.client.CloseIdleConnections() })
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	b.setTable(1)
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go b.serve(far, reply)
		return near, nil
	}
	b.client = &http.Client{Transport: &http.Transport{DialContext: dial}}
	s := entry.New(entry.Config{
		Host: "a1", View: b.view, Clock: clock, Metrics: metric.New(), Log: slog.New(slog.DiscardHandler), Retry: b.policy,
		MaxBodyBytes: 100, MaxResponseBytes: 1000, MaxHeaderBytes: 2000,
		Client: b.client,
		Propose: func(_ context.Context, c state.Command) (state.Result, error) {
			b.claims.Add(1)
			return state.Result{Claim: &claim.Result{Status: claim.StatusGranted}}, nil
		},
		AcquireSlot: func(_ context.Context, t entry.SlotRequest) (model.Upstream, func(admit.Result), *proto.Error) {
			u := t.Upstreams[0]
			if t.NoWait {
				u = t.Upstreams[1]
			}
			return u, func(admit.Result) {}, nil
		},
		Limit: func(time.Duration, string, model.Class) (time.Duration, bool) { return time.Second, !limited },
	})
	m := mux.NewRouter()
	m.Handle("/s/{service}/{path:.*}", s)
	b.server = m
	return b
}

func (b *bench) setTable(version uint64) {
	t := &route.Table{
		Version: version,
		Services: map[string]model.Service{
			"free":  {Name: "free", Class: model.ClassShort, DeadlineMs: 2000},
			"keyed": {Name: "keyed", Keyed: true, Class: model.ClassShort, DeadlineMs: 2000},
		},
		Upstreams: map[string]model.Upstream{
			"f1": {Name: "f1", Service: "free", Address: "10.0.0.1:1"}, "f2": {Name: "f2", Service: "free", Address: "10.0.0.2:1"},
			"k1": {Name: "k1", Service: "keyed", Address: "10.0.0.3:1"},
		},
		Ranges: []model.Assignment{
			{ID: 1, Service: "keyed", Last: ^uint64(0), Epoch: version, Owner: "k1", Phase: model.PhaseHeld},
		},
	}
	b.view.Update(0, route.Update{TTL: time.Hour, Version: t.Version, Table: t})
}

func (b *bench) call(method, path, body string, headers ...string) (*httptest.ResponseRecorder, proto.Error) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	b.server.ServeHTTP(w, r)
	var e proto.Error
	_ = json.Unmarshal(w.Body.Bytes(), &e)
	return w, e
}

func (b *bench) serve(c net.Conn, reply func(n int64, r *http.Request, c net.Conn)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(r.Body)
		reply(b.sends.Add(1), r, c)
	}
}

func answer(c net.Conn, status int, id, body string, headers ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, proto.HeaderRequestID, id, len(body), strings.Join(headers, ""), body)
}

func id(r *http.Request) string { return r.Header.Get(proto.HeaderRequestID) }

// Guards against bad input that reaches an upstream or the log, or that is refused without a typed error.
func TestBadInput(t *testing.T) {
	long := strings.Repeat("x", 3000)
	for _, x := range []struct {
		name, path, body string
		headers          []string
		limited          bool
		code             proto.Code
	}{
		{"headers", "/s/free/x", "", []string{"X-Long", long}, false, proto.CodeTooLarge},
		{"body", "/s/free/x", long, nil, false, proto.CodeTooLarge},
		{"service", "/s/none/x", "", nil, false, proto.CodeUnknownService},
		{"key", "/s/keyed/x", "", nil, false, proto.CodeMissingKey},
		{"long key", "/s/keyed/x", "", []string{proto.HeaderKey, long[:600]}, false, proto.CodeBadRequest},
		{"request id", "/s/free/x", "", []string{proto.HeaderRequestID, "1"}, false, proto.CodeBadRequestID},
		{"class", "/s/free/x", "", []string{proto.HeaderClass, "medium"}, false, proto.CodeBadRequest},
		{"deadline", "/s/free/x", "", []string{proto.HeaderDeadlineMs, "-5"}, false, proto.CodeBadRequest},
		{"deadline word", "/s/free/x", "", []string{proto.HeaderDeadlineMs, "soon"}, false, proto.CodeBadRequest},
		{"limit", "/s/free/x", "", nil, true, proto.CodeLimited},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, x.limited, func(int64, *http.Request, net.Conn) {})
			w, e := b.call(http.MethodPost, x.path, x.body, x.headers...)
			is.Equal(e.Code, x.code)
			is.Equal(w.Code, e.Status)
			is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeNotRun))
			is.Equal(b.sends.Load()+b.claims.Load(), int64(0))
		})
	}
}

// Guards against a second send of a non-idempotent request, by the retry policy or by net/http itself, when the
// upstream closes a connection that has served requests before, with and without reading the request.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "order"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, false, func(n int64, r *http.Request, c net.Conn) {
				if n == 1 {
					answer(c, 200, id(r), "ok")
					return
				}
				_ = c.Close()
			})
			w, _ := b.call(http.MethodPost, "/s/free/x", body)
			is.Equal(w.Code, 200)
			w, e := b.call(http.MethodPost, "/s/free/x", body, "Idempotency-Key", "k", "X-Idempotency-Key", "k")
			is.Equal(e.Code, proto.CodeConnectionLost)
			is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeUnknown))
			is.Equal(b.sends.Load(), int64(2)) // one per call
		})
	}
}

// Guards against an order that waits for its whole deadline at a host that is cut off from the leader.
func TestHostWithoutLeaseRefusesOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, false, func(_ int64, r *http.Request, c net.Conn) { answer(c, 200, id(r), "ok") })
		time.Sleep(2 * time.Hour) // the lease of the bench lasts for one
		_, e := b.call(http.MethodPost, "/s/free/x", "order")
		is.Equal(e.Code, proto.CodeNoLease)
		is.Equal(e.Outcome, proto.OutcomeNotRun)
		is.Equal(b.claims.Load(), int64(0))
		is.Equal(b.sends.Load(), int64(0))
	})
}

// Guards against a truncated, late or crossed answer that reaches a caller as the answer to its own request.
func TestMisbehavingUpstream(t *testing.T) {
	for name, first := range map[string]func(r *http.Request, c net.Conn){
		"truncated": func(r *http.Request, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\n%s: %s\r\nContent-Length: 50\r\n\r\nwrong", proto.HeaderRequestID, id(r))
			_ = c.Close()
		},
		"crossed": func(_ *http.Request, c net.Conn) { answer(c, 200, "0190a6f4-0000-7000-8000-000000000000", "wrong") },
		"two answers": func(r *http.Request, c net.Conn) {
			answer(c, 500, id(r), "failed")
			go answer(c, 200, id(r), "wrong")
		},
		"no id":   func(_ *http.Request, c net.Conn) { answer(c, 200, "", "wrong") },
		"garbage": func(_ *http.Request, c net.Conn) { _, _ = io.WriteString(c, "SSH-2.0\r\n\r\n"); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t, false, func(n int64, r *http.Request, c net.Conn) {
					if n == 1 {
						first(r, c)
						return
					}
					answer(c, 200, id(r), "right")
				})
				w, _ := b.call(http.MethodGet, "/s/free/x", "")
				is.Equal(w.Body.String(), "right")
				is.Equal(b.sends.Load(), int64(2))
			})
		})
	}
}

// Guards against an answer that arrives after its request was given up and is taken for that of the next request.
func TestLateAnswerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, false, func(n int64, r *http.Request, c net.Conn) {
			if n == 1 {
				time.Sleep(200 * time.Millisecond)
			}
			answer(c, 200, id(r), fmt.Sprint(n))
		})
		w, _ := b.call(http.MethodGet, "/s/free/x", "", proto.HeaderDeadlineMs, "100")
		is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeUnknown))
		w, _ = b.call(http.MethodGet, "/s/free/x", "")
		is.Equal(w.Body.String(), "2")
		time.Sleep(time.Second)
	})
}

// Guards against a request that spins on a stale grant, and one that doesn't use the next table at once.
func TestStaleGrantWaitsForTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, false, func(_ int64, r *http.Request, c net.Conn) {
			if r.Header.Get(proto.HeaderEpoch) == "2" {
				answer(c, 200, id(r), "ok")
				return
			}
			answer(c, 409, id(r), `{"code":"stale_grant"}`, proto.HeaderOutcome+": not_run\r\n")
		})
		start := time.Now()
		time.AfterFunc(time.Second, func() { b.setTable(2) })
		w, _ := b.call(http.MethodGet, "/s/keyed/x", "", proto.HeaderKey, "k")
		is.Equal(w.Body.String(), "ok")
		is.Equal(time.Since(start), time.Second)
		is.True(b.sends.Load() <= 10)
		b.setTable(3)
		w, e := b.call(http.MethodPost, "/s/keyed/x", "", proto.HeaderKey, "k")
		is.Equal(e.Code, proto.CodeStaleGrant)
		is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeNotRun))
	})
}

// Guards against a straggler that is not hedged, a hedge beyond the budget, and a loser that keeps running.
func TestHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var cancelled atomic.Int64
		b := newBench(t, false, func(_ int64, r *http.Request, c net.Conn) {
			if r.Host != "10.0.0.1:1" {
				answer(c, 200, id(r), "fast")
				return
			}
			one := make([]byte, 1)
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := c.Read(one); errors.Is(err, io.EOF) {
				cancelled.Add(1)
				return
			}
			answer(c, 200, id(r), "slow")
		})
		for range 64 {
			b.policy.Observe(model.ClassShort, 10*time.Millisecond)
		}
		start := time.Now()
		w, _ := b.call(http.MethodGet, "/s/free/x", "")
		is.Equal(w.Body.String(), "fast")
		is.Equal(time.Since(start), 10*time.Millisecond)
		synctest.Wait()
		is.Equal(cancelled.Load(), int64(1))
		w, _ = b.call(http.MethodGet, "/s/free/x", "")
		is.Equal(w.Body.String(), "slow") // the budget is spent
	})
}

// Guards against "not run" for a request whose first send may have been executed.
func TestUnknownOutcomeSticks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, false, func(n int64, r *http.Request, c net.Conn) {
			if n == 1 {
				_ = c.Close()
				return
			}
			answer(c, 503, id(r), `{"code":"quarantined"}`, proto.HeaderOutcome+": not_run\r\n")
		})
		w, _ := b.call(http.MethodGet, "/s/free/x", "")
		is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeUnknown))
	})
}
