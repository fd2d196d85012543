// Package gate serves callers that name a route by host and path: it finds the route, chooses the upstream or the owner
// of the key, and returns the upstream's answer or says what became of the request.
package gate

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/route"
)

// Config configures a Gate.
type Config struct {
	Names  pipe.HeaderNames
	View   *route.View
	Pool   *pipe.Pool
	Picker *Picker
	Budget *Budget
	Clock  func() time.Duration
	Log    *slog.Logger
	// Metrics counts requests; nil counts none.
	Metrics *metric.Registry
	// MaxBodyBytes bounds a request body where the configuration states no bound.
	MaxBodyBytes int64
	// MaxBuffered bounds the bytes of all request bodies that are held at once.
	MaxBuffered int64
}

// Gate is an http.Handler for callers.
type Gate struct {
	cfg      Config
	buffered atomic.Int64
	stopping atomic.Bool
	work     *work
}

// New returns a gate.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, work: newWork()}
}

// Stop lets the gate ask callers to close their connections.
func (g *Gate) Stop() { g.stopping.Store(true) }

// Ready tells whether the gate has a configuration to serve.
func (g *Gate) Ready() bool {
	t, _ := g.cfg.View.Table()
	return !g.stopping.Load() && len(t.Routes) > 0
}

// findRoute returns the route with the longest prefix of the path, or false.
func findRoute(t *route.Table, host, path string) (model.Route, bool) {
	for i := range t.Routes {
		r := &t.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) {
			return *r, true
		}
	}
	return model.Route{}, false
}

// choosePart draws a service of the route by weight.
func choosePart(r model.Route) string {
	total := 0.0
	for _, p := range r.Services {
		total += p.Weight
	}
	at := rand.Float64() * total
	for _, p := range r.Services {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// hosts returns the number of entry hosts that share the bounds.
func (g *Gate) hosts() int { return max(1, g.cfg.View.HostCount()) }

// idleShare is the part of an upstream's connections that may be idle ones of entry hosts.
const idleShare = 0.5

// IdlePerUpstream returns the idle connections that this host may keep to one upstream, from 1 to most. Upstreams reset
// connections beyond a bound for all hosts together.
func (g *Gate) IdlePerUpstream(most int) int {
	t, _ := g.cfg.View.Table()
	n := most
	for _, s := range t.Services {
		if s.MaxConnections > 0 {
			n = min(n, int(idleShare*float64(s.MaxConnections)/float64(g.hosts())))
		}
	}
	return max(1, n)
}

// Stats is what a Gate shows of itself.
type Stats struct {
	PickerStats
	// RetriesLeft is the number of requests of each service that may be sent again at present.
	RetriesLeft map[string]float64
	// BufferedBytes are held of request bodies.
	BufferedBytes int64
}

// Stats returns the present figures.
func (g *Gate) Stats() Stats {
	return Stats{
		PickerStats: g.cfg.Picker.Stats(g.cfg.Clock()), RetriesLeft: g.cfg.Budget.Left(), BufferedBytes: g.buffered.Load(),
	}
}

// Sweep forgets upstreams that are gone.
func (g *Gate) Sweep() {
	if t, _ := g.cfg.View.Table(); t.Version > 0 {
		g.cfg.Picker.Forget(t.Upstreams)
	}
}

// ServeHTTP answers one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gate: g, started: g.cfg.Clock(), id: r.Header.Get(g.cfg.Names.RequestID), tried: map[string]bool{}}
	ctx, cancel := c.limit(r)
	defer cancel()
	a := c.run(ctx, r)
	c.finish(w, r, a)
}
