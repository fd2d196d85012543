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
	RequestID: "X-Id", Deadline: "X-Left", Signature: "X-Signed", ExpectedUpstream: "X-Upstream", NotRun: "X-Not-Run", Key: "X-Key",
}

// backend is a stand-in upstream that answers by a function and counts what it gets.
type backend struct {
	address string

	mu   sync.Mutex
	seen []string
}

func newBackend(t *testing.T, answer func(c net.Conn, n int, r *http.Request)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c, answer)
		}
	}()
	return b
}

func (b *backend) serve(c net.Conn, answer func(c net.Conn, n int, r *http.Request)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.seen = append(b.seen, r.Header.Get("X-Id"))
		n := len(b.seen)
		b.mu.Unlock()
		answer(c, n, r)
	}
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

func reply(c net.Conn, r *http.Request, status, extra, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n"+extra+
		"Content-Length: "+string(rune('0'+len(body)))+"\r\n\r\n"+body)
}

func serves(c net.Conn, _ int, r *http.Request) { reply(c, r, "200 OK", "X-Signed: s\r\n", "ok") }

func breaks(c net.Conn, _ int, _ *http.Request) { _ = c.Close() }

func refuses(c net.Conn, _ int, r *http.Request) { reply(c, r, "503 Full", "X-Not-Run: 1\r\n", "") }

func hangs(c net.Conn, _ int, _ *http.Request) {
	var b [1]byte
	_, _ = c.Read(b[:])
}

// fixture is a gate with one route to each of two services: orders is not divided by key, styles is.
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
	return f.now + time.Since(epoch)
}

var epoch = time.Now()

type lockedWriter struct{ f *fixture }

func (w lockedWriter) Write(b []byte) (int, error) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.f.log.Write(b)
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, view: route.NewView(), now: time.Hour}
	f.gate = gate.New(gate.Config{
		Names: names, View: f.view, Clock: f.clock, MaxBodyBytes: 1 << 20, MaxBuffered: 8 << 20,
		Pool: pipe.New(pipe.Config{
			Names: names, Dial: (&net.Dialer{Timeout: time.Second}).DialContext, Now: f.clock, MaxResponseBytes: 1 << 20, MaxIdle: 2,
		}),
		Picker: gate.NewPicker("a", func(int) int { return 0 }),
		Budget: gate.NewBudget(gate.BudgetConfig{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}),
		Log:    slog.New(slog.NewJSONHandler(lockedWriter{f}, nil)),
	})
	return f
}

// table puts a table in force with the upstreams as owners of equal parts of the keys of styles, and as upstreams of
// orders.
func (f *fixture) table(version uint64, idempotent bool, us ...model.Upstream) {
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

func up(name string, b *backend) model.Upstream {
	return model.Upstream{Name: name, Incarnation: 1, Address: b.address, DataCentre: "a", Slots: 3, ChecksGrants: true}
}

func (f *fixture) do(method, path, body string) answer {
	f.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "a.example"
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Left", "2000")
	r.Header.Set("X-Key", "7")
	w := httptest.NewRecorder()
	f.gate.ServeHTTP(w, r)
	return answer{StatusCode: w.Code, Header: w.Header()}
}

// answer is what a caller got.
type answer struct {
	StatusCode int
	Header     http.Header
}

func (f *fixture) lastLine() map[string]any {
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

// Guards against a host that answers 404 before it knows any route, and against a wrong choice of route.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusServiceUnavailable)
	is.True(!f.gate.Ready())
	f.table(1, true, up("u1", newBackend(t, serves)))
	is.True(f.gate.Ready())
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusOK)
	is.Equal(f.do("GET", "/x/1", "").StatusCode, http.StatusNotFound)
	f.gate.Stop()
	is.True(!f.gate.Ready())
	is.Equal(f.do("GET", "/o/1", "").Header.Get("Connection"), "close")
}

// Guards against an order that runs twice: after a send that may have arrived nothing is sent again, and the answer
// promises nothing.
func TestAnOrderIsNeverSentTwice(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	b1, b2 := newBackend(t, breaks), newBackend(t, breaks)
	f.table(1, false, up("u1", b1), up("u2", b2))
	is.Equal(f.do("POST", "/o/1", "x").StatusCode, http.StatusBadGateway)
	is.Equal(b1.count()+b2.count(), 1)
	is.Equal(f.lastLine()["outcome"], "unknown")
}

// Guards against a lost order: one that upstreams refused, or that never left this host, goes to another upstream.
func TestAnOrderThatDidNotRunGoesElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	full, good := newBackend(t, refuses), newBackend(t, serves)
	f.table(1, false, up("u1", full), up("u2", good))
	is.Equal(f.do("POST", "/o/1", "x").StatusCode, http.StatusOK)
	dead := model.Upstream{Name: "u1", Incarnation: 2, Address: "127.0.0.1:1", DataCentre: "a", Slots: 3}
	f.table(2, false, dead, up("u2", good))
	is.Equal(f.do("POST", "/o/1", "x").StatusCode, http.StatusOK)
}

// Guards against a refusal that says not run after a send that may have run, and against one without a time to come
// back.
func TestRefusalsAreTrue(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.table(1, false, up("u1", newBackend(t, refuses)), up("u2", newBackend(t, refuses)))
	r := f.do("POST", "/o/1", "x")
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.True(r.Header.Get("Retry-After") != "")
	is.Equal(f.lastLine()["outcome"], "not_run")
	f.table(2, false, up("u3", newBackend(t, hangs)))
	r = f.do("POST", "/o/1", "x")
	is.Equal(r.StatusCode, http.StatusGatewayTimeout)
	is.Equal(f.lastLine()["outcome"], "unknown")
}

// Guards against idempotent requests that end with the first upstream's failure, and against more upstreams than the
// route allows.
func TestIdempotentRequestsAreSentAgainWithinBounds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	bad, good := newBackend(t, breaks), newBackend(t, serves)
	f.table(1, true, up("u1", bad), up("u2", good))
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusOK)
	bs := []*backend{newBackend(t, breaks), newBackend(t, breaks), newBackend(t, breaks)}
	f.table(2, true, up("u3", bs[0]), up("u4", bs[1]), up("u5", bs[2]))
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusBadGateway)
	is.Equal(bs[0].count()+bs[1].count()+bs[2].count(), 2)
}

// Guards against a failure of ours in place of the upstream's own, which callers can check by its signature.
func TestAFailureOfTheUpstreamIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	fails := func(c net.Conn, _ int, r *http.Request) { reply(c, r, "500 Failed", "X-Signed: s\r\n", "no") }
	f.table(1, true, up("u1", newBackend(t, fails)))
	r := f.do("GET", "/o/1", "")
	is.Equal(r.StatusCode, http.StatusInternalServerError)
	is.Equal(r.Header.Get("X-Signed"), "s")
}

// Guards against a request that waits beyond the timeout of its route.
func TestTheTimeoutOfTheRouteHolds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.table(1, true, up("u1", newBackend(t, hangs)), up("u2", newBackend(t, hangs)))
	start := time.Now()
	is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(start) < 700*time.Millisecond)
}

// Guards against keyed requests that are lost while their range moves: the request follows the key to its next owner.
func TestAKeyedRequestFollowsItsKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	old := newBackend(t, func(c net.Conn, _ int, r *http.Request) { reply(c, r, "421 Misdirected", "X-Not-Run: 1\r\n", "") })
	next := newBackend(t, serves)
	f.table(1, true, up("u1", old))
	go func() {
		time.Sleep(60 * time.Millisecond)
		f.table(2, true, up("u2", next))
	}()
	is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusOK)
	is.Equal(old.count(), 1)
	is.Equal(next.count(), 1)
}

// Guards against requests that an upstream gets long after it said that it leaves.
func TestALeavingOwnerIsUsedForAWhile(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	b := newBackend(t, serves)
	u := up("u1", b)
	f.table(1, true, u)
	u.LeavingSince = 1
	f.table(2, true, u)
	is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusOK)
	f.mu.Lock()
	f.now += 1700 * time.Millisecond
	f.mu.Unlock()
	is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	is.Equal(b.count(), 1)
}

// Guards against a host that was restarted or cut off and takes an old leave for a new one: a front that was killed sent
// a request to an upstream four seconds after its leave was acknowledged (soak, seed 3003).
func TestAnOldLeaveIsNotTakenForANewOne(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, serves)
	u := up("u1", b)
	u.LeavingSince = 1
	restarted := newFixture(t)
	restarted.table(5, true, u)
	is.Equal(restarted.do("GET", "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	cut := newFixture(t)
	cut.table(1, true, up("u1", b))
	cut.mu.Lock()
	cut.now += 3 * time.Second
	cut.mu.Unlock()
	cut.table(2, true, u)
	is.Equal(cut.do("GET", "/s/1", "").StatusCode, http.StatusServiceUnavailable)
	is.Equal(b.count(), 0)
}

// Guards against a log that can't explain a request: the fields are those of docs/OPERATIONS.md.
func TestEachRequestHasOneLine(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.table(1, true, up("u1", newBackend(t, serves)))
	f.do("GET", "/o/1", "")
	has := func(keys ...string) {
		t.Helper()
		m := f.lastLine()
		is.Equal(m["request"], "id-1")
		for _, k := range keys {
			if _, ok := m[k]; !ok {
				t.Errorf("the line lacks %s", k)
			}
		}
	}
	has("route", "route_version", "table", "service", "upstream", "sends", "status", "outcome", "ms")
	f.do("GET", "/s/1", "")
	has("key", "first", "last", "epoch")
	f.table(2, false, up("u2", newBackend(t, breaks)))
	f.do("POST", "/o/1", "x")
	has("code", "reason", "caller_left", "tries")
}

// Guards against a caller's body that is cut off and passed on, and against one that exceeds the bound.
func TestBodies(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	b := newBackend(t, serves)
	f.table(1, true, up("u1", b))
	r := httptest.NewRequest("POST", "/o/1", io.MultiReader(strings.NewReader("half"), errReader{}))
	r.Host = "a.example"
	w := httptest.NewRecorder()
	f.gate.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusBadRequest)
	is.Equal(f.do("POST", "/o/1", strings.Repeat("x", 1<<20+1)).StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(b.count(), 0)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against an owner that fails and therefore looks idle: it was given more and more ranges, 61 in the end, while most
// of its requests were refused (clc-gateway-grown, trouble-1).
func TestAFailingOwnerDoesNotLookIdle(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	const work = 20 * time.Millisecond
	b := newBackend(t, func(c net.Conn, n int, r *http.Request) {
		if n > 3 {
			breaks(c, n, r)
			return
		}
		time.Sleep(work)
		serves(c, n, r)
	})
	f.table(1, true, up("u1", b))
	for range 3 {
		is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusOK)
	}
	for range 20 {
		is.True(f.do("GET", "/s/1", "").StatusCode != http.StatusOK)
	}
	l := f.view.Report(f.clock())
	is.Equal(len(l.Ranges), 1)
	is.True(l.Ranges[0].BusySlots*2 > 20*work.Seconds()) // counts stand for up to two seconds
}

// Guards against a host that knows the table of some replica only and says that a route does not exist: the replica may
// lack the change that added it.
func TestAProvisionalTableServesButDeniesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	b := newBackend(t, serves)
	f.table(7, true, up("u1", b))
	table, _ := f.view.Table()
	g := newFixture(t)
	is.True(g.view.SetProvisional(g.clock(), table))
	is.True(!g.view.SetProvisional(g.clock(), table)) // once there is a table, only a leader's replaces it
	is.Equal(g.do("GET", "/o/1", "").StatusCode, http.StatusOK)
	is.Equal(g.do("GET", "/none/", "").StatusCode, http.StatusServiceUnavailable)
	is.True(!g.view.Leased(g.clock()))
	g.table(8, true, up("u1", b))
	is.Equal(g.do("GET", "/none/", "").StatusCode, http.StatusNotFound)
}
