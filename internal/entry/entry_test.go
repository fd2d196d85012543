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
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"baobabreach/internal/admit"
	"baobabreach/internal/claim"
	"baobabreach/internal/drain"
	"baobabreach/internal/entry"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/retry"
	"baobabreach/internal/room"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// testServer is an entry server with fake upstreams that are connected by in-memory pipes.
type testServer struct {
	view     *route.View
	server   http.Handler
	client   *http.Client
	policy   *retry.Policy
	drain    *drain.Drain
	clock    func() time.Duration
	requests *room.Room
	// claim is the result of each proposal.
	claim claim.Result
	// sends counts the requests that reached an upstream, and proposals counts the commands passed to Propose.
	sends, proposals atomic.Int64
}

// newTestServer returns a server whose upstreams call reply with the number of the request and the raw connection. If
// overLimit is set, every request is refused as over its limit.
func newTestServer(t *testing.T, overLimit bool, reply func(n int64, r *http.Request, c net.Conn)) *testServer {
	ts := &testServer{
		view: route.NewView(), policy: retry.NewPolicy(), drain: drain.New(drain.Config{Timeout: time.Second}),
		requests: room.New(1000), claim: claim.Result{Status: claim.StatusGranted},
	}
	t.Cleanup(func() { ts.client.CloseIdleConnections() })
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	ts.clock = clock
	ts.setTable(1)
	dial := func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go ts.serve(serverConn, reply)
		return clientConn, nil
	}
	ts.client = &http.Client{Transport: &http.Transport{DialContext: dial}}
	s := entry.New(entry.Config{
		Host: "a1", View: ts.view, Clock: clock, Metrics: metric.New(), Log: slog.New(slog.DiscardHandler), Retry: ts.policy,
		Drain:        ts.drain,
		MaxBodyBytes: 100, MaxResponseBytes: 1000, MaxHeaderBytes: 2000, Requests: ts.requests,
		Client: ts.client,
		Propose: func(_ context.Context, c state.Command) (state.Result, error) {
			ts.proposals.Add(1)
			return state.Result{Claim: &ts.claim}, nil
		},
		AcquireSlot: func(_ context.Context, slotReq entry.SlotRequest) (model.Upstream, func(admit.Result), *proto.Error) {
			u := slotReq.Upstreams[0]
			if slotReq.NoWait {
				u = slotReq.Upstreams[1]
			}
			return u, func(admit.Result) {}, nil
		},
		Limit: func(time.Duration, string, model.Class) (time.Duration, bool) { return time.Second, !overLimit },
	})
	router := mux.NewRouter()
	router.Handle("/s/{service}/{path:.*}", s)
	ts.server = router
	return ts
}

func (ts *testServer) setTable(version uint64) {
	table := &route.Table{
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
	ts.view.Update(0, route.Update{TTL: time.Hour, Version: table.Version, Table: table})
}

func (ts *testServer) call(method, path, body string, headers ...string) (*httptest.ResponseRecorder, proto.Error) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	ts.server.ServeHTTP(w, r)
	var e proto.Error
	_ = json.Unmarshal(w.Body.Bytes(), &e)
	return w, e
}

func (ts *testServer) serve(c net.Conn, reply func(n int64, r *http.Request, c net.Conn)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(r.Body)
		reply(ts.sends.Add(1), r, c)
	}
}

func respond(c net.Conn, status int, id, body string, headers ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, proto.HeaderRequestID, id, len(body), strings.Join(headers, ""), body)
}

func requestID(r *http.Request) string { return r.Header.Get(proto.HeaderRequestID) }

// Guards against a recorded answer with a status that no response has, which ends the connection of the caller.
func TestInvalidRecordedAnswerIsNotReplayed(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t, false, func(int64, *http.Request, net.Conn) {})
	for _, status := range []int{0, 99, 100, 600, 1000} {
		ts.claim = claim.Result{Status: claim.StatusDone, Answer: &claim.Answer{HTTPStatus: status, ContentType: "text/plain"}}
		w, e := ts.call(http.MethodPost, "/s/free/x", "order")
		is.Equal(w.Code, http.StatusBadGateway)
		is.Equal(e.Outcome, proto.OutcomeUnknown)
	}
	is.Equal(ts.sends.Load(), int64(0))
}

// Guards against an invalid request that reaches an upstream or the log, or that is refused without a typed error.
func TestInvalidRequestIsRefused(t *testing.T) {
	long := strings.Repeat("x", 3000)
	for _, tt := range []struct {
		name, path, body string
		headers          []string
		overLimit        bool
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
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ts := newTestServer(t, tt.overLimit, func(int64, *http.Request, net.Conn) {})
			w, e := ts.call(http.MethodPost, tt.path, tt.body, tt.headers...)
			is.Equal(e.Code, tt.code)
			is.Equal(w.Code, e.Status)
			is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeNotRun))
			is.Equal(ts.sends.Load()+ts.proposals.Load(), int64(0))
		})
	}
}

// Guards against a second send of a non-idempotent request, by the retry policy or by net/http, when the upstream closes
// a reused connection without a response. Covers requests with and without a body.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "order"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ts := newTestServer(t, false, func(n int64, r *http.Request, c net.Conn) {
				if n == 1 {
					respond(c, 200, requestID(r), "ok")
					return
				}
				_ = c.Close()
			})
			w, _ := ts.call(http.MethodPost, "/s/free/x", body)
			is.Equal(w.Code, 200)
			w, e := ts.call(http.MethodPost, "/s/free/x", body, "Idempotency-Key", "k", "X-Idempotency-Key", "k")
			is.Equal(e.Code, proto.CodeConnectionLost)
			is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeUnknown))
			is.Equal(ts.sends.Load(), int64(2)) // one send per call
		})
	}
}

// Guards against a non-idempotent request that waits for its whole deadline on a host that is cut off from the leader.
func TestHostWithoutLeaseRefusesNonIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ts := newTestServer(t, false, func(_ int64, r *http.Request, c net.Conn) { respond(c, 200, requestID(r), "ok") })
		time.Sleep(2 * time.Hour) // longer than the lease of the test server, which is one hour
		_, e := ts.call(http.MethodPost, "/s/free/x", "order")
		is.Equal(e.Code, proto.CodeNoLease)
		is.Equal(e.Outcome, proto.OutcomeNotRun)
		is.Equal(ts.proposals.Load(), int64(0))
		is.Equal(ts.sends.Load(), int64(0))
	})
}

// Guards against a caller that gets a truncated response, a late one, or one to another request.
func TestFaultyResponseIsNotReturned(t *testing.T) {
	for name, firstReply := range map[string]func(r *http.Request, c net.Conn){
		"truncated": func(r *http.Request, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\n%s: %s\r\nContent-Length: 50\r\n\r\nwrong", proto.HeaderRequestID, requestID(r))
			_ = c.Close()
		},
		"crossed": func(_ *http.Request, c net.Conn) { respond(c, 200, "0190a6f4-0000-7000-8000-000000000000", "wrong") },
		"two answers": func(r *http.Request, c net.Conn) {
			respond(c, 500, requestID(r), "failed")
			go respond(c, 200, requestID(r), "wrong")
		},
		"no id":   func(_ *http.Request, c net.Conn) { respond(c, 200, "", "wrong") },
		"garbage": func(_ *http.Request, c net.Conn) { _, _ = io.WriteString(c, "SSH-2.0\r\n\r\n"); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ts := newTestServer(t, false, func(n int64, r *http.Request, c net.Conn) {
					if n == 1 {
						firstReply(r, c)
						return
					}
					respond(c, 200, requestID(r), "right")
				})
				w, _ := ts.call(http.MethodGet, "/s/free/x", "")
				is.Equal(w.Body.String(), "right")
				is.Equal(ts.sends.Load(), int64(2))
			})
		})
	}
}

// Guards against a response that arrives after its request has timed out and is taken for that of the next request.
func TestLateResponseIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ts := newTestServer(t, false, func(n int64, r *http.Request, c net.Conn) {
			if n == 1 {
				time.Sleep(200 * time.Millisecond)
			}
			respond(c, 200, requestID(r), fmt.Sprint(n))
		})
		w, _ := ts.call(http.MethodGet, "/s/free/x", "", proto.HeaderDeadlineMs, "100")
		is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeUnknown))
		w, _ = ts.call(http.MethodGet, "/s/free/x", "")
		is.Equal(w.Body.String(), "2")
		time.Sleep(time.Second)
	})
}

// Guards against retries of a stale grant in a tight loop, and against a wait that doesn't end with the next table.
func TestStaleGrantWaitsForNewerTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ts := newTestServer(t, false, func(_ int64, r *http.Request, c net.Conn) {
			if r.Header.Get(proto.HeaderEpoch) == "2" {
				respond(c, 200, requestID(r), "ok")
				return
			}
			respond(c, 409, requestID(r), `{"code":"stale_grant"}`, proto.HeaderOutcome+": not_run\r\n")
		})
		start := time.Now()
		time.AfterFunc(time.Second, func() { ts.setTable(2) })
		w, _ := ts.call(http.MethodGet, "/s/keyed/x", "", proto.HeaderKey, "k")
		is.Equal(w.Body.String(), "ok")
		is.Equal(time.Since(start), time.Second)
		is.True(ts.sends.Load() <= 10)
		ts.setTable(3)
		w, e := ts.call(http.MethodPost, "/s/keyed/x", "", proto.HeaderKey, "k")
		is.Equal(e.Code, proto.CodeStaleGrant)
		is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeNotRun))
	})
}

// Guards against a slow request that is not hedged, a hedge beyond the budget, and a losing send that keeps running.
func TestHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var cancelled atomic.Int64
		ts := newTestServer(t, false, func(_ int64, r *http.Request, c net.Conn) {
			if r.Host != "10.0.0.1:1" {
				respond(c, 200, requestID(r), "fast")
				return
			}
			buf := make([]byte, 1)
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := c.Read(buf); errors.Is(err, io.EOF) {
				cancelled.Add(1)
				return
			}
			respond(c, 200, requestID(r), "slow")
		})
		for range 64 {
			ts.policy.Observe(model.ClassShort, 10*time.Millisecond)
		}
		start := time.Now()
		w, _ := ts.call(http.MethodGet, "/s/free/x", "")
		is.Equal(w.Body.String(), "fast")
		is.Equal(time.Since(start), 10*time.Millisecond)
		synctest.Wait()
		is.Equal(cancelled.Load(), int64(1))
		w, _ = ts.call(http.MethodGet, "/s/free/x", "")
		is.Equal(w.Body.String(), "slow") // the hedging budget is used up
	})
}

// Guards against the outcome "not run" for a request whose first send may have been executed.
func TestUnknownOutcomeIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ts := newTestServer(t, false, func(n int64, r *http.Request, c net.Conn) {
			if n == 1 {
				_ = c.Close()
				return
			}
			respond(c, 503, requestID(r), `{"code":"quarantined"}`, proto.HeaderOutcome+": not_run\r\n")
		})
		w, _ := ts.call(http.MethodGet, "/s/free/x", "")
		is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeUnknown))
	})
}

// Guards against bodies that arrive at the same time and together exceed the memory of the host, and against room that is
// not given back.
func TestBodiesThatArriveTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t, false, func(_ int64, r *http.Request, c net.Conn) {
		respond(c, http.StatusOK, requestID(r), "ok", proto.HeaderOutcome+": done\r\n")
	})
	const requests = 30
	release, refused := make(chan struct{}), make(chan *httptest.ResponseRecorder, requests)
	var wg sync.WaitGroup
	for range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			body := io.MultiReader(strings.NewReader(strings.Repeat("b", 50)), blockedReader{release}, strings.NewReader("b"))
			r := httptest.NewRequest(http.MethodPut, "/s/free/x", body)
			r.ContentLength = 51
			w := httptest.NewRecorder()
			ts.server.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				refused <- w
			}
		}()
	}
	for range requests - 1000/51 {
		select {
		case w := <-refused:
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.Equal(w.Header().Get(proto.HeaderOutcome), string(proto.OutcomeNotRun))
			is.Equal(w.Header().Get("Retry-After"), "1")
		case <-time.After(10 * time.Second):
			t.Fatal("bodies beyond the limit are not refused")
		}
	}
	is.True(ts.requests.Taken() <= 1000)
	close(release)
	wg.Wait()
	is.Equal(ts.requests.Taken(), int64(0))
}

// blockedReader has no bytes and ends once release is closed.
type blockedReader struct{ release chan struct{} }

func (b blockedReader) Read([]byte) (int, error) {
	<-b.release
	return 0, io.EOF
}
