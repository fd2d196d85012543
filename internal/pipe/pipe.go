// Package pipe sends single requests to upstreams over its own pool of HTTP/1.1 connections. Each send is exactly one
// attempt: nothing is retried, no header is added beyond those of the protocol and Content-Length, and a response is
// returned only if it is complete and belongs to the request.
package pipe

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"baobabreach/internal/room"

	"github.com/go-faster/errors"
)

// HeaderNames are the names of the headers exchanged with upstreams.
type HeaderNames struct {
	// RequestID identifies the request; upstreams echo it.
	RequestID string
	// Deadline is the time left in milliseconds, counted from the receipt of the request.
	Deadline string
	// Signature is present in the response of an upstream that ran the request.
	Signature string
	// ExpectedUpstream names the only upstream that may run the request.
	ExpectedUpstream string
	// NotRun is present in the response of an upstream that did not run the request.
	NotRun string
	// Key holds the key of a request to a keyed service.
	Key string
	// Leaving is present in the responses of an upstream that is about to end.
	Leaving string
}

// Config configures a Pool.
type Config struct {
	Names HeaderNames
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Now   func() time.Duration
	// MaxHeadBytes is the largest accepted response head including interim responses, and MaxResponseBytes the largest
	// accepted response body; both must be positive.
	MaxHeadBytes     int64
	MaxResponseBytes int64
	// Responses is the memory for all responses that are being read or held. Nil means no limit.
	Responses *room.Room
	// MaxIdle is the initial limit on idle connections to one upstream; SetMaxIdle changes it.
	MaxIdle int
}

// Request is one request to one upstream.
type Request struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Timeout is the time left for the upstream, sent in the Deadline header.
	Timeout time.Duration
	// Upstream is the name that the process at Address must have to run the request.
	Upstream string
	Address  string
}

// Response is a complete response of an upstream. It takes room among the responses of the pool until Release is called.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Notice Notice
	buffer *room.Buffer
}

// Release gives back the room of the response, which must not be used afterwards. It may be called more than once.
func (r *Response) Release() { r.buffer.Release() }

// Notice is what a response says about its upstream, beside the request.
type Notice struct {
	// Leaving is true if the upstream is about to end.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests of this host; 0 without such a wish.
	RetryAfter time.Duration
}

// Stage is how far a failed attempt got.
type Stage string

const (
	// StageNotSent means that no byte of the request left this host.
	StageNotSent Stage = "not_sent"
	// StageRefused means that the upstream reported that it did not run the request.
	StageRefused Stage = "refused"
	// StageUnknown means that the upstream may have run the request.
	StageUnknown Stage = "unknown"
)

// Failure is the reason why an attempt returned no response.
type Failure struct {
	Stage Stage
	// Status is the HTTP status of a refusal.
	Status int
	Reason string
	// ConnFailed is true if the connection failed, and false if the request timed out or the caller disconnected.
	ConnFailed bool
	// Broken is true if the connection ended after the request was sent and before its response was complete. Either the
	// upstream has ended while it ran the request, or only the connection has.
	Broken bool
	// Notice is that of a refusal.
	Notice Notice
	Err    error
}

// Error returns Reason and, if it is set, Err.
func (f *Failure) Error() string {
	if f.Err != nil {
		return f.Reason + ": " + f.Err.Error()
	}
	return f.Reason
}

// Reset reports whether the upstream reset the connection after the request was sent.
func (f *Failure) Reset() bool {
	return f.Stage == StageUnknown && (errors.Is(f.Err, syscall.ECONNRESET) || errors.Is(f.Err, syscall.EPIPE))
}

// NoRoom reports whether the response found no room beside others, or was aborted to make room for smaller ones.
func (f *Failure) NoRoom() bool { return errors.Is(f.Err, room.ErrFull) }

// Unwrap returns Err, which may be nil.
func (f *Failure) Unwrap() error { return f.Err }

// Stats counts dialled connections, reused connections, idle connections that were no longer usable, responses that
// belonged to another request, responses that are not valid HTTP, responses whose head or body exceeded its limit, responses
// that found no room beside others or were aborted for them, and connections that ended before a response was complete.
type Stats struct {
	Dials, Reuses, StaleIdle, MismatchedResponses, InvalidResponses, OversizedResponses, CrowdedOut, Broken int64
	// ResponseBytes is the room that responses take now.
	ResponseBytes int64
}

// Pool holds the connections of one host to all upstreams. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// idle holds the idle connections by address, with the most recently used last.
	idle    map[string][]*conn
	maxIdle int
	stats   Stats
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	cfg.Responses = cfg.Responses.OrUnlimited()
	return &Pool{cfg: cfg, idle: map[string][]*conn{}, maxIdle: cfg.MaxIdle}
}

// Stats returns the counts since the pool was created.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.ResponseBytes = p.cfg.Responses.Taken()
	return s
}

// SetMaxIdle sets the limit on idle connections to one upstream.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

// Sweep closes idle connections that have reached their idle deadline, before their upstreams close them.
func (p *Pool) Sweep() {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		var kept []*conn
		for _, c := range conns {
			if now < c.idleDeadline {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// takeIdle returns an idle connection that is still usable, or nil if there is none.
func (p *Pool) takeIdle(address string) *conn {
	now := p.cfg.Now()
	for {
		p.mu.Lock()
		conns := p.idle[address]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		p.mu.Unlock()
		if now < c.idleDeadline && c.reusable() {
			p.updateStats(func(s *Stats) { s.Reuses++ })
			return c
		}
		p.updateStats(func(s *Stats) { s.StaleIdle++ })
		c.close()
	}
}

func (p *Pool) putIdle(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= p.maxIdle {
		c.close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) updateStats(update func(s *Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.stats)
}
