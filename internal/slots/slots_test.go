package slots_test

import (
	"context"
	"io"
	"net"
	"net/http"
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

// memoryFleet is a few hosts and one upstream on an in-memory network.
type memoryFleet struct {
	mu    sync.Mutex
	down  map[string]bool
	pipes map[string]*pipes
	hosts map[string]*slots.TestHost
	// lead is the first dispatcher of the pool, other a host that isn't.
	lead  string
	other *slots.TestHost
	runs  atomic.Int64
	cut   atomic.Bool
	// block holds the upstream's answers back until it is closed.
	block   chan struct{}
	view    *route.View
	daemons []route.Daemon
}

// pipes is a listener for connections made by net.Pipe.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
	end   chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.end:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error { p.once.Do(func() { close(p.end) }); return nil }

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (f *memoryFleet) dial(_ context.Context, _, address string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[address] {
		return nil, errors.New("unreachable")
	}
	near, far := net.Pipe()
	f.pipes[address].conns <- far
	return near, nil
}

func (f *memoryFleet) serve(ctx context.Context, address string, h http.Handler) {
	p := &pipes{conns: make(chan net.Conn, 100), end: make(chan struct{})}
	f.pipes[address] = p
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(p) }()
	context.AfterFunc(ctx, func() { _ = s.Close() })
}

func newFleet(ctx context.Context, t *testing.T, policy config.Policy) *memoryFleet {
	f := &memoryFleet{down: map[string]bool{}, pipes: map[string]*pipes{}, hosts: map[string]*slots.TestHost{}}
	view := route.NewView()
	up := model.Upstream{Name: "u", Service: "free", DataCentre: "a", Address: "u:1", Slots: 1}
	var ds []route.Daemon
	for _, n := range []string{"h1:1", "h2:1", "h3:1"} {
		ds = append(ds, route.Daemon{Host: n, DataCentre: "a", Control: n})
	}
	view.Update(0, route.Update{TTL: time.Hour, Version: 1, Daemons: ds, Table: &route.Table{
		Version: 1, Services: map[string]model.Service{"free": {Name: "free"}}, Upstreams: map[string]model.Upstream{"u": up},
	}})
	f.view, f.daemons = view, ds
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	for _, d := range ds {
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
		if f.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(proto.HeaderRequestID, r.Header.Get(proto.HeaderRequestID))
		_, _ = io.Copy(w, r.Body)
	}))
	f.lead, f.other = f.hosts["h1:1"].First("free"), f.hosts["h1:1"]
	if f.lead == "h1:1" {
		f.other = f.hosts["h2:1"]
	}
	return f
}

func ticket() entry.SlotRequest {
	return entry.SlotRequest{
		Request: &entry.Request{
			ID: "r1", Method: http.MethodPost, Path: "/x", Body: []byte("order"), Header: http.Header{},
			Service: model.Service{Name: "free"}, Class: model.ClassShort, Deadline: time.Second,
		},
		Upstreams: []model.Upstream{{Name: "u", Service: "free", DataCentre: "a", Slots: 1}},
	}
}

func inFleet(t *testing.T, policy config.Policy, test func(ctx context.Context, is *is.I, f *memoryFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, is.New(t), newFleet(ctx, t, policy))
	})
}

// Guards against two hosts that use the same slot at once, and a slot that isn't free again after its release.
func TestCreditIsExclusive(t *testing.T) {
	inFleet(t, "credit", func(ctx context.Context, is *is.I, f *memoryFleet) {
		_, release, err := f.hosts["h1:1"].Acquire(ctx, ticket())
		is.True(err == nil)
		time.Sleep(3 * time.Second) // kept beyond its time limit
		for _, h := range f.hosts {
			_, _, err = h.Acquire(ctx, ticket())
			is.Equal(err.Code, proto.CodeOverloaded)
			is.True(err.RetryAfterMs > 0)
		}
		release(admit.Result{Kind: admit.KindDone, Elapsed: time.Millisecond})
		time.Sleep(time.Millisecond)
		_, _, err = f.other.Acquire(ctx, ticket())
		is.True(err == nil)
	})
}

// Guards against a service that stops with its dispatcher, and against a next dispatcher that gives out slots which
// are still in use.
func TestNextDispatcherTakesOver(t *testing.T) {
	inFleet(t, "credit", func(ctx context.Context, is *is.I, f *memoryFleet) {
		_, release, err := f.other.Acquire(ctx, ticket())
		is.True(err == nil)
		f.mu.Lock()
		f.down[f.lead] = true
		f.mu.Unlock()
		_ = f.pipes[f.lead].Close()
		f.other.Close()
		time.Sleep(900 * time.Millisecond)
		_, _, err = f.other.Acquire(ctx, ticket())
		is.True(err != nil && err.Code == proto.CodeOverloaded)
		release(admit.Result{Kind: admit.KindDone, Elapsed: time.Millisecond})
		time.Sleep(time.Millisecond)
		_, _, err = f.other.Acquire(ctx, ticket())
		is.True(err == nil)
	})
}

// Guards against the incomplete list of a new leader, which must not end relayed requests in flight, and against a
// request that stays with a dispatcher that is gone until its deadline.
func TestRelayToLostDispatcher(t *testing.T) {
	inFleet(t, "relay", func(ctx context.Context, is *is.I, f *memoryFleet) {
		f.block = make(chan struct{})
		time.AfterFunc(2*time.Second, func() { f.view.Update(0, route.Update{TTL: time.Hour, Daemons: []route.Daemon{}}) })
		time.AfterFunc(2500*time.Millisecond, func() { f.view.Update(0, route.Update{TTL: time.Hour, Daemons: f.daemons}) })
		time.AfterFunc(6*time.Second, func() { f.view.Update(0, route.Update{TTL: time.Hour, Daemons: []route.Daemon{}}) })
		start := time.Now()
		_, err := f.other.Relay(ctx, ticket())
		is.Equal(err.Outcome, proto.OutcomeUnknown)
		took := time.Since(start)
		is.True(took > 6*time.Second && took < 8*time.Second)
		close(f.block)
	})
}

// Guards against a relayed request that is changed, sent twice, or reported as not run after the upstream had it.
func TestRelay(t *testing.T) {
	inFleet(t, "relay", func(ctx context.Context, is *is.I, f *memoryFleet) {
		a, err := f.other.Relay(ctx, ticket())
		is.True(err == nil)
		is.Equal(string(a.Body), "order")
		is.Equal(f.runs.Load(), int64(1))
		f.cut.Store(true)
		_, err = f.other.Relay(ctx, ticket())
		is.Equal(err.Outcome, proto.OutcomeUnknown)
		is.Equal(f.runs.Load(), int64(2))
		f.cut.Store(false)
		f.mu.Lock()
		f.down[f.lead] = true
		f.mu.Unlock()
		f.other.Close()
		_, err = f.other.Relay(ctx, ticket())
		is.True(err == nil) // through the next dispatcher
		is.Equal(f.runs.Load(), int64(3))
	})
}
