package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/drain"

	"github.com/go-faster/errors"
)

const (
	// maxIdleLinger limits how long a stopping host keeps idle connections open after it has closed its listener. Callers may
	// just be sending a request on them, and can't tell a closed connection from a lost request.
	maxIdleLinger = 5 * time.Second
	// lingerPollInterval is the interval between checks whether connections are still open.
	lingerPollInterval = 10 * time.Millisecond
	// endAnswerTime is the time for the answers to requests that are given up at the end of a stop.
	endAnswerTime = 200 * time.Millisecond
)

// errHostEnds is the cause of the cancellation of requests that have not ended when a stop times out.
var errHostEnds = errors.New("the host ends")

// callerServer serves callers and stops without leaving requests unanswered.
type callerServer struct {
	server *http.Server
	drain  *drain.Drain
	clock  Clock
	log    *slog.Logger
	// balancerDelay and timeout are those of the settings.
	balancerDelay, timeout time.Duration
	// cancel ends the contexts of all requests.
	cancel   context.CancelCauseFunc
	listener atomic.Pointer[net.Listener]
	connections
}

func newCallerServer(cfg config.Config, s *http.Server, d *drain.Drain, now Clock, log *slog.Logger) *callerServer {
	c := &callerServer{
		server: s, drain: d, clock: now, log: log, balancerDelay: cfg.BalancerDelay, timeout: cfg.StopTimeout,
		connections: connections{states: map[net.Conn]http.ConnState{}},
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c.cancel = cancel
	s.BaseContext = func(net.Listener) context.Context { return ctx }
	s.ConnState = c.record
	s.Handler = closeConnections(s.Handler, d)
	return c
}

// connections tracks the open connections of a server.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

func (c *connections) record(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// count returns the number of open connections, and of those on which a request is being read or answered.
func (c *connections) count() (open, active int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state == http.StateActive {
			active++
		}
	}
	return len(c.states), active
}

// closeConnections asks callers of a stopping host to close their connections after the response.
func closeConnections(next http.Handler, d *drain.Drain) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, drain: d}, r)
	})
}

// closingWriter is an http.ResponseWriter that adds the header Connection if the host is stopping when it responds.
type closingWriter struct {
	http.ResponseWriter
	drain       *drain.Drain
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if w.drain.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer that http.ResponseController needs.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (c *callerServer) serve(l net.Listener) {
	c.listener.Store(&l)
	_ = c.server.Serve(l)
}

// stop turns readiness off, waits until the load balancer has noticed and closes the listener. Connections that are open
// then are served until they are closed or the stop times out. http.Server.Shutdown would close idle ones at once, and drop
// the first request of one that was not used before.
func (c *callerServer) stop(ctx context.Context) {
	c.drain.Begin(c.clock())
	c.log.Info("readiness is off", "balancer_delay", c.balancerDelay)
	wait(ctx, c.balancerDelay)
	if l := c.listener.Load(); l != nil {
		_ = (*l).Close()
	}
	c.await(ctx, min(c.timeout, maxIdleLinger), func(open, _ int) bool { return open == 0 })
	c.await(ctx, max(0, c.timeout-maxIdleLinger), func(_, active int) bool { return active == 0 })
	if _, active := c.count(); active > 0 {
		c.log.Warn("requests in flight did not finish before the stop timeout", "requests", active)
		c.cancel(errHostEnds)
		c.await(ctx, endAnswerTime, func(_, active int) bool { return active == 0 })
	}
	_ = c.server.Close()
}

// await waits until done returns true for the numbers of open and active connections, but no longer than d.
func (c *callerServer) await(ctx context.Context, d time.Duration, done func(open, active int) bool) {
	for end := c.clock() + d; c.clock() < end && ctx.Err() == nil && !done(c.count()); {
		wait(ctx, lingerPollInterval)
	}
}

// wait waits for d or the end of ctx.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
