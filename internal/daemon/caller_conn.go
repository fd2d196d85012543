package daemon

import (
	"cmp"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"baobabreach/internal/errs"
	"baobabreach/internal/model"
)

const (
	// maxCallerHeaderTime and maxCallerIdleTime are the hard limits of callerTimes.
	maxCallerHeaderTime = time.Minute
	maxCallerIdleTime   = 5 * time.Minute
	// callerCheckInterval is the time between two checks of the open connections of callers.
	callerCheckInterval = 100 * time.Millisecond
)

// callerTimes holds how long callers may take to send the headers of a request, and how long their connections may be
// idle.
type callerTimes struct{ header, idle time.Duration }

// newCallerTimes returns the times of the configuration, or defaults where it has none, within the hard limits.
func newCallerTimes(b model.Bounds) callerTimes {
	wanted := wantedTimes(b)
	return callerTimes{header: min(wanted.header, maxCallerHeaderTime), idle: min(wanted.idle, maxCallerIdleTime)}
}

func wantedTimes(b model.Bounds) callerTimes {
	return callerTimes{
		header: cmp.Or(time.Duration(b.HeaderTimeoutMs)*time.Millisecond, readHeaderTimeout),
		idle:   cmp.Or(time.Duration(b.IdleTimeoutMs)*time.Millisecond, gatewayIdleTimeout),
	}
}

// callerConn is a connection of a caller that knows since when it waits for what. http.Server applies one limit for its
// whole life to each connection, but the configuration changes.
type callerConn struct {
	net.Conn
	clock Clock
	// waitingSince is when the connection began to wait for a request, and headSince when the first byte of that request
	// arrived. Both are 0 while a request is handled.
	waitingSince, headSince atomic.Int64
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.waitingSince.Load() > 0 {
		c.headSince.CompareAndSwap(0, int64(c.clock()))
	}
	return n, err
}

// CloseWrite ends what is sent, as http.Server does before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errs.Wrap(w.CloseWrite(), "close for writing")
	}
	return nil
}

// record follows the states of the connection: it is active once the headers of a request have been read.
func (c *callerConn) record(state http.ConnState) {
	c.headSince.Store(0)
	if state == http.StateActive {
		c.waitingSince.Store(0)
		return
	}
	c.waitingSince.Store(max(1, int64(c.clock())))
}

// exceeds reports whether the caller has taken longer than it may.
func (c *callerConn) exceeds(now time.Duration, t callerTimes) bool {
	waiting, head := time.Duration(c.waitingSince.Load()), time.Duration(c.headSince.Load())
	switch {
	case waiting == 0:
		return false
	case head > 0:
		return now-head > t.header
	}
	return now-waiting > t.idle
}

// timedListener accepts connections of callers.
type timedListener struct {
	net.Listener
	clock Clock
}

// Accept implements net.Listener.
func (l timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, clock: l.clock}, nil
}

// enforceTimes closes the connections of callers that exceed the times of the configuration, until the server has
// stopped.
func (c *callerServer) enforceTimes() {
	var last callerTimes
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(callerCheckInterval):
		}
		bounds := c.bounds()
		t := newCallerTimes(bounds)
		if wanted := wantedTimes(bounds); t != last && t != wanted {
			c.log.Warn("times of the configuration exceed the limits", "header_timeout", wanted.header, "limit", t.header,
				"idle_timeout", wanted.idle, "idle_limit", t.idle)
		}
		last = t
		for _, conn := range c.exceeding(c.clock(), t) {
			_ = conn.Close()
		}
	}
}

// exceeding returns the connections whose callers take longer than they may.
func (c *connections) exceeding(now time.Duration, t callerTimes) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn := range c.states {
		if cc, ok := conn.(*callerConn); ok && cc.exceeds(now, t) {
			out = append(out, conn)
		}
	}
	return out
}
