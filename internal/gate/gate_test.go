package gate_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"baobabreach/internal/gate"
	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/route"

	"github.com/matryer/is"
)

var names = pipe.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Signature: "X-Signed", ExpectedUpstream: "X-Upstream", NotRun: "X-Not-Run",
	Key: "X-Key",
}

// fakeUpstream is an upstream that responds by a function and records the IDs of the requests it receives.
type fakeUpstream struct {
	address string

	mu         sync.Mutex
	requestIDs []string
}

func newFakeUpstream(t *testing.T, respond func(c net.Conn, n int, r *http.Request)) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &fakeUpstream{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, respond)
		}
	}()
	return u
}

func (u *fakeUpstream) serve(c net.Conn, respond func(c net.Conn, n int, r *http.Request)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.requestIDs = append(u.requestIDs, r.Header.Get("X-Id"))
		n := len(u.requestIDs)
		u.mu.Unlock()
		respond(c, n, r)
	}
}

func (u *fakeUpstream) requestCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requestIDs)
}

func writeResponse(c net.Conn, r *http.Request, status, extra, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n"+extra+
		"Content-Length: "+string(rune('0'+len(body)))+"\r\n\r\n"+body)
}

func respondOK(c net.Conn, _ int, r *http.Request) {
	writeResponse(c, r, "200 OK", "X-Signed: s\r\n", "ok")
}

func closeConnection(c net.Conn, _ int, _ *http.Request) { _ = c.Close() }

func respondRefused(c net.Conn, _ int, r *http.Request) {
	writeResponse(c, r, "503 Full", "X-Not-Run: 1\r\n", "")
}

func neverRespond(c net.Conn, _ int, _ *http.Request) {
	var b [1]byte
	_, _ = c.Read(b[:])
}

// fixture is a gate with a route to each of two services: orders, which is not keyed, and styles, which is.
type fixture struct {
	t    *testing.T
	gate *gate.Gate
	view *route.View
	now  time.Duration
	mu   sync.Mutex
	log  bytes.Buffer
}

func (f *fixture) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now + time.Since(processStart)
}

var processStart = time.Now()

type logWriter struct{ f *fixture }

func (w logWriter) Write(b []byte) (int, error) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.f.log.Write(b)
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithBrokers(t, nil)
}

func newFixtureWithBrokers(t *testing.T, brokers *gate.Brokers) *fixture {
	t.Helper()
	f := &fixture{t: t, view: route.NewView(), now: time.Hour}
	f.gate = gate.New(gate.Config{
		Names: names, View: f.view, Clock: f.clock, Brokers: brokers, DataCentre: "a",
		MaxBodyBytes: 1 << 20, MaxBufferedBytes: 8 << 20,
		Pool: pipe.New(pipe.Config{
			Names: names, Dial: (&net.Dialer{Timeout: time.Second}).DialContext, Now: f.clock,
			MaxHeadBytes: 64 << 10, MaxResponseBytes: 1 << 20, MaxIdle: 2,
		}),
		Picker: gate.NewPicker("a", func(int) int { return 0 }),
		Budget: gate.NewBudget(gate.BudgetConfig{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}),
		Log:    slog.New(slog.NewJSONHandler(logWriter{f}, nil)),
	})
	return f
}

// setTable installs a routing table in which the upstreams own equal parts of the keys of styles and serve orders.
func (f *fixture) setTable(version uint64, idempotent bool, us ...model.Upstream) {
	t := &route.Table{
		Version: version, Services: map[string]model.Service{
			"orders": {Name: "orders"}, "styles": {Name: "styles", Keyed: true, Ordered: true},
		},
		Upstreams: map[string]model.Upstream{},
		Routes: []model.Route{
			{
				Name: "orders", Host: "a.example", Prefix: "/o/", Idempotent: idempotent, TimeoutMs: 300, ObjectiveMs: 200, Attempts: 2,
				Services: []model.WeightedService{{Service: "orders", Weight: 1}},
			},
			{
				Name: "styles", Host: "a.example", Prefix: "/s/", Idempotent: true, TimeoutMs: 600, ObjectiveMs: 400, Attempts: 2,
				Services: []model.WeightedService{{Service: "styles", Weight: 1}},
			},
		},
	}
	for i, u := range us {
		u.Service = "orders"
		t.Upstreams[u.Name] = u
		width := ^uint64(0)/uint64(len(us)) + 1
		if len(us) == 1 {
			width = 0
		}
		t.Ranges = append(t.Ranges, model.Assignment{
			ID: uint64(i + 1), Service: "styles", First: uint64(i) * width, Last: uint64(i+1)*width - 1, Epoch: version,
			Owner: u.Name, Incarnation: u.Incarnation, Phase: model.PhaseHeld,
		})
	}
	f.view.Update(f.clock(), route.Update{Version: version, Table: t, TTL: time.Hour, HostCount: 1})
}

func newUpstream(name string, fake *fakeUpstream) model.Upstream {
	return model.Upstream{Name: name, Incarnation: 1, Address: fake.address, DataCentre: "a", Slots: 3, ChecksGrants: true}
}

func (f *fixture) do(method, path, body string) callerResponse {
	f.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "a.example"
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Left", "2000")
	r.Header.Set("X-Key", "7")
	w := httptest.NewRecorder()
	f.gate.ServeHTTP(w, r)
	return callerResponse{StatusCode: w.Code, Header: w.Header()}
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	StatusCode int
	Header     http.Header
}

func (f *fixture) lastLogEntry() map[string]any {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(f.log.String()), "\n")
	var m map[string]any
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &m); err != nil {
		f.t.Fatal(err)
	}
	return m
}

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
	f.gate.Stop()
	is.True(!f.gate.Ready())
	is.Equal(f.do("GET", "/o/1", "").Header.Get("Connection"), "close")
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
	is.Equal(f.lastLogEntry()["outcome"], "unknown")
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
	is.Equal(f.lastLogEntry()["outcome"], "not_run")
	f.setTable(2, false, newUpstream("u3", newFakeUpstream(t, neverRespond)))
	r = f.do("POST", "/o/1", "x")
	is.Equal(r.StatusCode, http.StatusGatewayTimeout)
	is.Equal(f.lastLogEntry()["outcome"], "unknown")
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
		m := f.lastLogEntry()
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
