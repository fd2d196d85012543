package gate_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"baobabreach/internal/gate"
	"baobabreach/internal/model"

	"github.com/matryer/is"
)

// Guards against a 404 response before any route is known, and against choosing the wrong route.
func TestRouteSelectionAndReadiness(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusServiceUnavailable)
	is.True(!f.gate.Ready())
	f.setTable(1, true, newUpstream("u1", newFakeUpstream(t, respondOK)))
	is.True(f.gate.Ready())
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusOK)
	is.Equal(f.do("GET", "/x/1", "").StatusCode, http.StatusNotFound)
	f.drain.Begin(f.clock())
	is.True(!f.gate.Ready())
}

// Guards against running a non-idempotent request twice: after a send that may have reached the upstream it must not be
// retried, and the outcome must be reported as unknown.
func TestNonIdempotentRequestIsNotResent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	b1, b2 := newFakeUpstream(t, closeConnection), newFakeUpstream(t, closeConnection)
	f.setTable(1, false, newUpstream("u1", b1), newUpstream("u2", b2))
	is.Equal(f.do("POST", "/o/1", "x").StatusCode, http.StatusBadGateway)
	is.Equal(b1.requestCount()+b2.requestCount(), 1)
	is.Equal(f.lastRequestEntry()["outcome"], "unknown")
}

// Guards against failing a non-idempotent request that surely did not run: after a refusal or a failed dial it must be
// sent to another upstream.
func TestRefusedOrUnsentRequestGoesToAnotherUpstream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	full, good := newFakeUpstream(t, respondRefused), newFakeUpstream(t, respondOK)
	f.setTable(1, false, newUpstream("u1", full), newUpstream("u2", good))
	is.Equal(f.do("POST", "/o/1", "x").StatusCode, http.StatusOK)
	dead := model.Upstream{Name: "u1", Incarnation: 2, Address: "127.0.0.1:1", DataCentre: "a", Slots: 3}
	f.setTable(2, false, dead, newUpstream("u2", good))
	is.Equal(f.do("POST", "/o/1", "x").StatusCode, http.StatusOK)
}

// Guards against reporting not_run after a send that may have run, and against a refusal without a Retry-After header.
func TestRefusalOutcomeAndRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setTable(
		1, false, newUpstream("u1", newFakeUpstream(t, respondRefused)), newUpstream("u2", newFakeUpstream(t, respondRefused)),
	)
	r := f.do("POST", "/o/1", "x")
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.True(r.Header.Get("Retry-After") != "")
	is.Equal(f.lastRequestEntry()["outcome"], "not_run")
	f.setTable(2, false, newUpstream("u3", newFakeUpstream(t, neverRespond)))
	r = f.do("POST", "/o/1", "x")
	is.Equal(r.StatusCode, http.StatusGatewayTimeout)
	is.Equal(f.lastRequestEntry()["outcome"], "unknown")
}

// Guards against failing an idempotent request after the first upstream's failure, and against trying more upstreams than
// the route allows.
func TestIdempotentRequestIsRetriedWithinAttemptLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	bad, good := newFakeUpstream(t, closeConnection), newFakeUpstream(t, respondOK)
	f.setTable(1, true, newUpstream("u1", bad), newUpstream("u2", good))
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusOK)
	bs := []*fakeUpstream{
		newFakeUpstream(t, closeConnection), newFakeUpstream(t, closeConnection), newFakeUpstream(t, closeConnection),
	}
	f.setTable(2, true, newUpstream("u3", bs[0]), newUpstream("u4", bs[1]), newUpstream("u5", bs[2]))
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusBadGateway)
	is.Equal(bs[0].requestCount()+bs[1].requestCount()+bs[2].requestCount(), 2)
}

// Guards against replacing the upstream's signed error response, whose signature callers can check, by a generated one.
func TestUpstreamErrorResponseIsForwarded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	failHandler := func(c net.Conn, _ int, r *http.Request) { writeResponse(c, r, "500 Failed", "X-Signed: s\r\n", "no") }
	f.setTable(1, true, newUpstream("u1", newFakeUpstream(t, failHandler)))
	r := f.do("GET", "/o/1", "")
	is.Equal(r.StatusCode, http.StatusInternalServerError)
	is.Equal(r.Header.Get("X-Signed"), "s")
}

// Guards against a request that lasts longer than the timeout of its route.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setTable(
		1, true, newUpstream("u1", newFakeUpstream(t, neverRespond)), newUpstream("u2", newFakeUpstream(t, neverRespond)),
	)
	start := time.Now()
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(start) < 700*time.Millisecond)
}

// Guards against failing a keyed request while its range moves: it must be sent to the new owner of the key.
func TestKeyedRequestFollowsMovedKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	old := newFakeUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		writeResponse(c, r, "421 Misdirected", "X-Not-Run: 1\r\n", "")
	})
	next := newFakeUpstream(t, respondOK)
	f.setTable(1, true, newUpstream("u1", old))
	go func() {
		time.Sleep(60 * time.Millisecond)
		f.setTable(2, true, newUpstream("u2", next))
	}()
	is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusOK)
	is.Equal(old.requestCount(), 1)
	is.Equal(next.requestCount(), 1)
}

// Guards against sending requests to an upstream long after it announced that it leaves.
func TestLeavingOwnerIsUsedForLimitedTime(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	b := newFakeUpstream(t, respondOK)
	u := newUpstream("u1", b)
	f.setTable(1, true, u)
	u.LeavingSince = 1
	f.setTable(2, true, u)
	is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusOK)
	f.mu.Lock()
	f.now += 1700 * time.Millisecond
	f.mu.Unlock()
	is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	is.Equal(b.requestCount(), 1)
}

// Guards against a restarted or disconnected host that treats an earlier leave announcement as new: in a soak run (seed
// 3003), a restarted entry host sent a request to an upstream four seconds after its leave had been acknowledged.
func TestEarlierLeaveIsNotTreatedAsNew(t *testing.T) {
	is := is.New(t)
	b := newFakeUpstream(t, respondOK)
	u := newUpstream("u1", b)
	u.LeavingSince = 1
	restarted := newFixture(t)
	restarted.setTable(5, true, u)
	is.Equal(restarted.do("GET", "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	disconnected := newFixture(t)
	disconnected.setTable(1, true, newUpstream("u1", b))
	disconnected.mu.Lock()
	disconnected.now += 3 * time.Second
	disconnected.mu.Unlock()
	disconnected.setTable(2, true, u)
	is.Equal(disconnected.do("GET", "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	is.Equal(b.requestCount(), 0)
}

// Guards against a request log line that lacks the fields described in docs/OPERATIONS.md.
func TestRequestLogFields(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setTable(1, true, newUpstream("u1", newFakeUpstream(t, respondOK)))
	f.do("GET", "/o/1", "")
	requireKeys := func(keys ...string) {
		t.Helper()
		m := f.lastRequestEntry()
		is.Equal(m["request"], "id-1")
		for _, k := range keys {
			if _, ok := m[k]; !ok {
				t.Errorf("request log line lacks the field %q", k)
			}
		}
	}
	requireKeys("route", "route_version", "table", "service", "upstream", "sends", "status", "outcome", "ms")
	f.do("GET", "/s/1", "")
	requireKeys("key", "first", "last", "epoch")
	f.setTable(2, false, newUpstream("u2", newFakeUpstream(t, closeConnection)))
	f.do("POST", "/o/1", "x")
	requireKeys("code", "reason", "caller_left", "tries")
}

// Guards against forwarding a request body that is truncated or larger than the limit.
func TestInvalidRequestBodiesAreRejected(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	b := newFakeUpstream(t, respondOK)
	f.setTable(1, true, newUpstream("u1", b))
	r := httptest.NewRequest("POST", "/o/1", io.MultiReader(strings.NewReader("half"), errReader{}))
	r.Host = "a.example"
	w := httptest.NewRecorder()
	f.gate.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusBadRequest)
	is.Equal(f.do("POST", "/o/1", strings.Repeat("x", 1<<20+1)).StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(b.requestCount(), 0)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a failing owner that appears idle because its requests are not sent: one such owner was assigned
// up to 61 ranges while most of their requests were refused (clc-gateway-grown, trouble-1).
func TestFailingOwnerStillReportsLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	const serviceTime = 20 * time.Millisecond
	b := newFakeUpstream(t, func(c net.Conn, n int, r *http.Request) {
		if n > 3 {
			closeConnection(c, n, r)
			return
		}
		time.Sleep(serviceTime)
		respondOK(c, n, r)
	})
	f.setTable(1, true, newUpstream("u1", b))
	for range 3 {
		is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusOK)
	}
	for range 20 {
		is.True(f.do("GET", "/s/1", "").StatusCode != http.StatusOK)
	}
	l := f.view.Report(f.clock())
	is.Equal(len(l.Ranges), 1)
	is.True(l.Ranges[0].BusySlots*2 > 20*serviceTime.Seconds()) // the reported load covers up to two seconds
}

// Guards against a 404 response by a host that has only a replica's provisional table: the replica may lack the change
// that added the route.
func TestProvisionalTableDoesNotCauseNotFound(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	b := newFakeUpstream(t, respondOK)
	f.setTable(7, true, newUpstream("u1", b))
	table, _ := f.view.Table()
	g := newFixture(t)
	is.True(g.view.SetProvisional(g.clock(), table))
	is.True(!g.view.SetProvisional(g.clock(), table)) // a host that has a table accepts only a leader's
	is.Equal(g.do("GET", "/o/1", "").StatusCode, http.StatusOK)
	is.Equal(g.do("GET", "/none/", "").StatusCode, http.StatusServiceUnavailable)
	is.True(!g.view.Leased(g.clock()))
	g.setTable(8, true, newUpstream("u1", b))
	is.Equal(g.do("GET", "/none/", "").StatusCode, http.StatusNotFound)
}

// Guards against an owner that writes its refusal once more before the next answer: the request, which is sent again with
// the same ID, must not be reported as refused while it runs, nor run at another upstream.
func TestRepeatedRefusalOfAnOwnerIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	owner := newFakeUpstream(t, func(c net.Conn, n int, r *http.Request) {
		if n == 1 {
			writeResponse(c, r, "421 Misdirected", "X-Not-Run: 1\r\n", "")
			time.Sleep(20 * time.Millisecond)
			writeResponse(c, r, "421 Misdirected", "X-Not-Run: 1\r\n", "")
			return
		}
		respondOK(c, n, r)
	})
	f.setTable(1, true, newUpstream("u1", owner))
	is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusOK)
	is.Equal(owner.requestCount(), 2)
}

// Guards against a limit on headers in the configuration that has no effect: requests within it are refused, or requests
// beyond it pass, also after it has changed.
func TestHeaderLimitOfTheConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(t, func(cfg *gate.Config) { cfg.MaxHeaderBytes = 10_000 })
	u := newFakeUpstream(t, respondOK)
	send := func(headerBytes int) int {
		r := httptest.NewRequest(http.MethodGet, "/o/1", nil)
		r.Host = "a.example"
		r.Header.Set("X-Id", "id-1")
		r.Header.Set("X-Long", strings.Repeat("h", headerBytes))
		w := httptest.NewRecorder()
		f.gate.ServeHTTP(w, r)
		return w.Code
	}
	for i, limit := range []int64{0, 30_000, 20_000} {
		f.setTable(uint64(i+1), true, newUpstream("u1", u))
		table, _ := f.view.Table()
		table.Bounds.HeaderBytes = limit
		allowed := int(limit)
		if limit == 0 {
			allowed = 10_000
		}
		is.Equal(send(allowed-100), http.StatusOK)
		is.Equal(send(allowed), http.StatusRequestHeaderFieldsTooLarge)
		is.Equal(f.lastRequestEntry()["code"], "too_large")
		is.Equal(f.lastRequestEntry()["outcome"], "not_run")
	}
	is.Equal(u.requestCount(), 3)
}
