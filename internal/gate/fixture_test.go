package gate_test

import (
	"bufio"
	"bytes"
	"cmp"
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

	"baobabreach/internal/drain"
	"baobabreach/internal/gate"
	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/room"
	"baobabreach/internal/route"
)

var names = pipe.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Signature: "X-Signed", ExpectedUpstream: "X-Upstream", NotRun: "X-Not-Run",
	Key: "X-Key", Leaving: "X-Leaving",
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
	return startFakeUpstream(l, respond)
}

func startFakeUpstream(l net.Listener, respond func(c net.Conn, n int, r *http.Request)) *fakeUpstream {
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

func respondError(c net.Conn, _ int, r *http.Request) {
	writeResponse(c, r, "500 Internal Server Error", "X-Signed: s\r\n", "")
}

func neverRespond(c net.Conn, _ int, _ *http.Request) {
	var b [1]byte
	_, _ = c.Read(b[:])
}

// fixture is a gate with a route to each of two services: orders, which is not keyed, and styles, which is.
type fixture struct {
	t       *testing.T
	gate    *gate.Gate
	crashes *gate.CrashGuard
	drain   *drain.Drain
	view    *route.View
	now     time.Duration
	mu      sync.Mutex
	log     bytes.Buffer
}

func (f *fixture) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now + time.Since(processStart)
}

// advance moves the clock of the gate forward.
func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
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
	return newFixtureWith(t, func(cfg *gate.Config) { cfg.Brokers = brokers })
}

// newFixtureWith returns a fixture whose configuration configure may change.
func newFixtureWith(t *testing.T, configure func(cfg *gate.Config)) *fixture {
	t.Helper()
	f := &fixture{t: t, view: route.NewView(), now: time.Hour, drain: drain.New(drain.Config{
		BalancerDelay: 2 * time.Second, Timeout: 3 * time.Second,
	})}
	pool := pipe.New(pipe.Config{
		Names: names, Dial: (&net.Dialer{Timeout: time.Second}).DialContext, Now: f.clock,
		MaxHeadBytes: 64 << 10, MaxResponseBytes: 1 << 20, MaxIdle: 2,
	})
	log := slog.New(slog.NewJSONHandler(logWriter{f}, nil))
	f.crashes = gate.NewCrashGuard(gate.CrashGuardConfig{
		Host: "h1", Clock: f.clock, Probe: pool.Probe, View: f.view, Log: log,
	})
	cfg := gate.Config{
		Names: names, View: f.view, Clock: f.clock, DataCentre: "a", Drain: f.drain,
		MaxBodyBytes: 1 << 20, Bodies: room.New(8 << 20), Pool: pool, Crashes: f.crashes, Log: log,
		Picker: gate.NewPicker("a", func(int) int { return 0 }),
		Budget: gate.NewBudget(gate.BudgetConfig{Ratio: 0.2, Slack: 40, Window: 10 * time.Second, FirstStart: true}),
	}
	configure(&cfg)
	f.gate = gate.New(cfg)
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
		u.Service = cmp.Or(u.Service, "orders")
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

// lastRequestEntry returns the log entry of the last request. Background work may have logged since.
func (f *fixture) lastRequestEntry() map[string]any {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var last map[string]any
	for line := range strings.Lines(f.log.String()) {
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			f.t.Fatal(err)
		}
		if m["msg"] == "request" {
			last = m
		}
	}
	return last
}
