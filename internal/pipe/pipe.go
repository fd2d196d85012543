// Package pipe sends single requests to upstreams over HTTP/1.1 connections of its own. Each send is exactly one try:
// nothing is sent twice, no header is added, and an answer is returned only if it is whole and belongs to the request.
package pipe

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// HeaderNames are the headers of the protocol towards upstreams.
type HeaderNames struct {
	// RequestID is echoed by upstreams.
	RequestID string
	// Deadline is in milliseconds from the receipt.
	Deadline string
	// Signature marks an answer of an upstream that ran the request.
	Signature string
	// ExpectedUpstream names the upstream that alone may run the request.
	ExpectedUpstream string
	// NotRun marks an answer of an upstream that did not run the request.
	NotRun string
	// Key is the key of a request to a keyed service.
	Key string
}

// Config configures a Pool.
type Config struct {
	Names HeaderNames
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Now   func() time.Duration
	// MaxResponseBytes bounds the body of an answer; positive.
	MaxResponseBytes int64
	// MaxIdle bounds the idle connections to one upstream until SetMaxIdle.
	MaxIdle int
}

// Request is one request to one upstream.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Left is the time that the upstream may take.
	Left time.Duration
	// Upstream is the identity that the process at Address must have.
	Upstream string
	Address  string
}

// Answer is a whole answer of an upstream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Stage tells how far a failed try got.
type Stage string

const (
	// StageNotSent means that no byte of the request left this host.
	StageNotSent Stage = "not_sent"
	// StageRefused means that the upstream said that it did not run the request.
	StageRefused Stage = "refused"
	// StageUnknown means that the upstream may have run the request.
	StageUnknown Stage = "unknown"
)

// Failure tells why a try brought no answer.
type Failure struct {
	Stage Stage
	// Status is that of a refusal.
	Status int
	Reason string
	// Broken is true if the connection failed rather than the time ran out or the caller left.
	Broken bool
	Err    error
}

// Error implements the error interface.
func (f *Failure) Error() string {
	if f.Err != nil {
		return f.Reason + ": " + f.Err.Error()
	}
	return f.Reason
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Stats counts what the pool did; for metrics.
type Stats struct {
	Dials, Reuses, StaleIdle, MismatchedResponses int64
}

// Pool keeps the connections of one host to all upstreams. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// idle holds connections by address, the most recently used last.
	idle    map[string][]*conn
	maxIdle int
	stats   Stats
}

// New returns an empty pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: map[string][]*conn{}, maxIdle: cfg.MaxIdle} }

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// SetMaxIdle changes the bound on the idle connections to one upstream.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

// Sweep closes the idle connections that are about to be closed by their upstreams.
func (p *Pool) Sweep() {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, cs := range p.idle {
		var kept []*conn
		for _, c := range cs {
			if now < c.idleUntil {
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

// take returns an idle connection that still looks usable, or nil.
func (p *Pool) take(address string) *conn {
	now := p.cfg.Now()
	for {
		p.mu.Lock()
		cs := p.idle[address]
		if len(cs) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := cs[len(cs)-1]
		p.idle[address] = cs[:len(cs)-1]
		p.mu.Unlock()
		if now < c.idleUntil && c.quiet() {
			p.count(func(s *Stats) { s.Reuses++ })
			return c
		}
		p.count(func(s *Stats) { s.StaleIdle++ })
		c.close()
	}
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= p.maxIdle {
		c.close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) count(add func(s *Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.stats)
}
