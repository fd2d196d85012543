package slots_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"baobabreach/internal/admit"
	"baobabreach/internal/config"
	"baobabreach/internal/entry"
	"baobabreach/internal/model"
	"baobabreach/internal/route"
	"baobabreach/internal/slots"
	"baobabreach/pkg/proto"
)

// testFleet is three hosts and one upstream on an in-memory network.
type testFleet struct {
	mu    sync.Mutex
	down  map[string]bool
	pipes map[string]*pipeListener
	hosts map[string]*slots.TestHost
	// dispatcher is the address of the pool's first dispatcher, other is a different host.
	dispatcher string
	other      *slots.TestHost
	runs       atomic.Int64
	abort      atomic.Bool
	// block delays the responses of the upstream until it is closed.
	block   chan struct{}
	view    *route.View
	daemons []route.Daemon
}

// pipeListener accepts connections made by net.Pipe.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	end   chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.end:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error { p.once.Do(func() { close(p.end) }); return nil }

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (f *testFleet) dial(_ context.Context, _, address string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[address] {
		return nil, errors.New("unreachable")
	}
	near, far := net.Pipe()
	f.pipes[address].conns <- far
	return near, nil
}

func (f *testFleet) serve(ctx context.Context, address string, h http.Handler) {
	p := &pipeListener{conns: make(chan net.Conn, 100), end: make(chan struct{})}
	f.pipes[address] = p
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(p) }()
	context.AfterFunc(ctx, func() { _ = s.Close() })
}

func newFleet(ctx context.Context, t *testing.T, policy config.Policy) *testFleet {
	f := &testFleet{down: map[string]bool{}, pipes: map[string]*pipeListener{}, hosts: map[string]*slots.TestHost{}}
	view := route.NewView()
	upstream := model.Upstream{Name: "u", Service: "free", DataCentre: "a", Address: "u:1", Slots: 1}
	var daemons []route.Daemon
	for _, n := range []string{"h1:1", "h2:1", "h3:1"} {
		daemons = append(daemons, route.Daemon{Host: n, DataCentre: "a", Control: n})
	}
	view.Update(0, route.Update{TTL: time.Hour, Version: 1, Daemons: daemons, Table: &route.Table{
		Version: 1, Services: map[string]model.Service{"free": {Name: "free"}},
		Upstreams: map[string]model.Upstream{"u": upstream},
	}})
	f.view, f.daemons = view, daemons
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	for _, d := range daemons {
		h := slots.NewTestHost(d.Host, policy, view, clock, f.dial)
		f.hosts[d.Host] = h
		f.serve(ctx, d.Control, h.Control)
		go h.Run(ctx)
		t.Cleanup(h.Close)
	}
	f.serve(ctx, "u:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		if f.block != nil {
			<-f.block
		}
		if f.abort.Load() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(proto.HeaderRequestID, r.Header.Get(proto.HeaderRequestID))
		_, _ = io.Copy(w, r.Body)
	}))
	f.dispatcher, f.other = f.hosts["h1:1"].FirstDispatcher("free"), f.hosts["h1:1"]
	if f.dispatcher == "h1:1" {
		f.other = f.hosts["h2:1"]
	}
	return f
}

func newSlotRequest() entry.SlotRequest {
	return entry.SlotRequest{
		Request: &entry.Request{
			ID: "r1", Method: http.MethodPost, Path: "/x", Body: []byte("order"), Header: http.Header{},
			Service: model.Service{Name: "free"}, Class: model.ClassShort, Deadline: time.Second,
		},
		Upstreams: []model.Upstream{{Name: "u", Service: "free", DataCentre: "a", Slots: 1}},
	}
}

func withFleet(t *testing.T, policy config.Policy, test func(ctx context.Context, is *is.I, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, is.New(t), newFleet(ctx, t, policy))
	})
}

// Guards against two hosts that use the same slot concurrently, and against a slot that stays in use after its release.
func TestCreditIsExclusive(t *testing.T) {
	withFleet(t, "credit", func(ctx context.Context, is *is.I, f *testFleet) {
		_, release, err := f.hosts["h1:1"].Acquire(ctx, newSlotRequest())
		is.True(err == nil)
		time.Sleep(3 * time.Second) // longer than the credit TTL; the holder renews the credit
		for _, h := range f.hosts {
			_, _, err = h.Acquire(ctx, newSlotRequest())
			is.Equal(err.Code, proto.CodeOverloaded)
			is.True(err.RetryAfterMs > 0)
		}
		release(admit.Result{Kind: admit.KindDone, Elapsed: time.Millisecond})
		time.Sleep(time.Millisecond)
		_, _, err = f.other.Acquire(ctx, newSlotRequest())
		is.True(err == nil)
	})
}

// Guards against a service that is unavailable once its dispatcher is lost, and against a new dispatcher that grants slots
// which are still in use.
func TestNextDispatcherTakesOver(t *testing.T) {
	withFleet(t, "credit", func(ctx context.Context, is *is.I, f *testFleet) {
		_, release, err := f.other.Acquire(ctx, newSlotRequest())
		is.True(err == nil)
		f.mu.Lock()
		f.down[f.dispatcher] = true
		f.mu.Unlock()
		_ = f.pipes[f.dispatcher].Close()
		f.other.Close()
		time.Sleep(900 * time.Millisecond)
		_, _, err = f.other.Acquire(ctx, newSlotRequest())
		is.True(err != nil && err.Code == proto.CodeOverloaded)
		release(admit.Result{Kind: admit.KindDone, Elapsed: time.Millisecond})
		time.Sleep(time.Millisecond)
		_, _, err = f.other.Acquire(ctx, newSlotRequest())
		is.True(err == nil)
	})
}

// Guards against cancelling relayed requests in flight because the list of a new leader is incomplete, and against a
// request that waits for a lost dispatcher until its deadline.
func TestRelayToLostDispatcher(t *testing.T) {
	withFleet(t, "relay", func(ctx context.Context, is *is.I, f *testFleet) {
		f.block = make(chan struct{})
		time.AfterFunc(2*time.Second, func() { f.view.Update(0, route.Update{TTL: time.Hour, Daemons: []route.Daemon{}}) })
		time.AfterFunc(2500*time.Millisecond, func() { f.view.Update(0, route.Update{TTL: time.Hour, Daemons: f.daemons}) })
		time.AfterFunc(6*time.Second, func() { f.view.Update(0, route.Update{TTL: time.Hour, Daemons: []route.Daemon{}}) })
		start := time.Now()
		_, err := f.other.Relay(ctx, newSlotRequest())
		is.Equal(err.Outcome, proto.OutcomeUnknown)
		took := time.Since(start)
		is.True(took > 6*time.Second && took < 8*time.Second)
		close(f.block)
	})
}

// Guards against a relayed request that is modified, sent twice, or reported as not run after the upstream received it.
func TestRelay(t *testing.T) {
	withFleet(t, "relay", func(ctx context.Context, is *is.I, f *testFleet) {
		resp, err := f.other.Relay(ctx, newSlotRequest())
		is.True(err == nil)
		is.Equal(string(resp.Body), "order")
		is.Equal(f.runs.Load(), int64(1))
		f.abort.Store(true)
		_, err = f.other.Relay(ctx, newSlotRequest())
		is.Equal(err.Outcome, proto.OutcomeUnknown)
		is.Equal(f.runs.Load(), int64(2))
		f.abort.Store(false)
		f.mu.Lock()
		f.down[f.dispatcher] = true
		f.mu.Unlock()
		f.other.Close()
		_, err = f.other.Relay(ctx, newSlotRequest())
		is.True(err == nil) // relayed by the next dispatcher
		is.Equal(f.runs.Load(), int64(3))
	})
}

// Guards against an answer of a dispatcher that no valid response to the caller can be made of.
func TestInvalidRelayedAnswerIsNotReturned(t *testing.T) {
	for name, reply := range map[string]string{
		"status 0":       `{"answer":{"request_id":"r1","status":0}}`,
		"status 100":     `{"answer":{"request_id":"r1","status":100}}`,
		"status 999":     `{"answer":{"request_id":"r1","status":999}}`,
		"blank in name":  `{"answer":{"request_id":"r1","status":200,"header":{"X Blank":["1"]}}}`,
		"empty name":     `{"answer":{"request_id":"r1","status":200,"header":{"":["1"]}}}`,
		"control byte":   `{"answer":{"request_id":"r1","status":200,"header":{"X-Control":["\u0001"]}}}`,
		"feed in value":  `{"answer":{"request_id":"r1","status":200,"header":{"X-Feed":["1\r\nX-Other: 2"]}}}`,
		"other status":   "503" + `{"code":"overloaded","status":200,"outcome":"not_run"}`,
		"without status": "503" + `{"code":"overloaded","outcome":"not_run"}`,
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, "relay", func(ctx context.Context, is *is.I, f *testFleet) {
				f.serve(ctx, f.dispatcher, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if body, ok := strings.CutPrefix(reply, "503"); ok {
						w.WriteHeader(http.StatusServiceUnavailable)
						_, _ = io.WriteString(w, body)
						return
					}
					_ = binary.Write(w, binary.BigEndian, uint32(len(reply)))
					_, _ = io.WriteString(w, reply)
				}))
				_, err := f.other.Relay(ctx, newSlotRequest())
				is.True(err != nil)
				is.Equal(err.Outcome, proto.OutcomeUnknown)
				is.Equal(err.Status, http.StatusBadGateway)
			})
		})
	}
}
