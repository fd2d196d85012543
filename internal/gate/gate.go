// Package gate is the HTTP gateway for callers: it finds the route by host and path, chooses an upstream or the owner of
// the key, and returns the upstream's response or an error that states whether the request ran.
package gate

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"baobabreach/internal/drain"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/room"
	"baobabreach/internal/route"
)

// Config configures a Gate.
type Config struct {
	Names  pipe.HeaderNames
	View   *route.View
	Pool   *pipe.Pool
	Picker *Picker
	// Brokers may be nil.
	Brokers *Brokers
	// DataCentre is that of the host.
	DataCentre string
	Budget     *Budget
	// Drain tells which requests may still be sent while the host is being stopped. Nil means that it never is.
	Drain *drain.Drain
	// Crashes keeps requests that crash upstreams away from them. Nil uses a guard that reports to no leader.
	Crashes *CrashGuard
	// ReportLeaving tells the leader which upstreams have said in their answers that they leave. Nil reports nothing.
	ReportLeaving func(ctx context.Context, upstreams []model.Upstream) error
	Clock         func() time.Duration
	Log           *slog.Logger
	// Metrics records the requests; it may be nil.
	Metrics *metric.Registry
	// MaxHeaderBytes and MaxBodyBytes are the limits on the headers and the body of a request if the routing table sets none.
	// If MaxHeaderBytes is 0 too, headers are not limited here.
	MaxHeaderBytes, MaxBodyBytes int64
	// Bodies is the memory for all request bodies that are held or being read. Nil means no limit.
	Bodies *room.Room
}

// Gate is an http.Handler that forwards caller requests to upstreams.
type Gate struct {
	cfg          Config
	serviceTimes *serviceTimeEstimator
	upstreams    upstreamCache
	notices      *notices
}

// New returns a gate, which is not ready before cfg.View has a table with routes.
func New(cfg Config) *Gate {
	if cfg.Crashes == nil {
		cfg.Crashes = NewCrashGuard(CrashGuardConfig{Clock: cfg.Clock, Probe: cfg.Pool.Probe, View: cfg.View, Log: cfg.Log})
	}
	cfg.Bodies = cfg.Bodies.OrUnlimited()
	return &Gate{
		cfg: cfg, serviceTimes: newServiceTimeEstimator(), notices: newNotices(),
	}
}

// Ready reports whether the gate has routes to serve and is not stopping.
func (g *Gate) Ready() bool {
	t, _ := g.cfg.View.Table()
	return !g.cfg.Drain.Stopping() && len(t.Routes) > 0
}

// forwardedPath returns the path as the caller sent it and as upstreams get it. An escaped slash in it is no slash.
func forwardedPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// findRoute returns the route of the host with the longest prefix of the path, or false. The routes of a table are sorted
// so that the longest prefix comes first.
func findRoute(t *route.Table, host, path string) (model.Route, bool) {
	for i := range t.Routes {
		r := &t.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) {
			return *r, true
		}
	}
	return model.Route{}, false
}

// chooseService picks one of the route's services by weight. point is a random number in [0, 1). It returns false if all
// weights are 0. The share of a service without upstreams is not moved to another one.
func chooseService(r model.Route, point float64) (string, bool) {
	largest := 0.0
	for _, s := range r.Services {
		largest = max(largest, s.Weight)
	}
	if largest == 0 {
		return "", false
	}
	total := 0.0
	for _, s := range r.Services {
		// Dividing by the largest weight keeps the sum finite.
		total += s.Weight / largest
	}
	chosen := ""
	point *= total
	for _, s := range r.Services {
		if s.Weight <= 0 {
			continue
		}
		// Rounding may leave point just above the last weight, which then takes the request.
		chosen = s.Service
		if point -= s.Weight / largest; point < 0 {
			break
		}
	}
	return chosen, true
}

// hostCount returns the number of entry hosts that share the limits.
func (g *Gate) hostCount() int { return max(1, g.cfg.View.HostCount()) }

// idleConnectionShare is the share of an upstream's connection limit that idle connections of all entry hosts may use.
const idleConnectionShare = 0.5

// IdlePerUpstream returns how many idle connections this host may keep to one upstream, from 1 to maxIdle. An upstream
// resets connections beyond its limit, which all hosts share.
func (g *Gate) IdlePerUpstream(maxIdle int) int {
	t, _ := g.cfg.View.Table()
	n := maxIdle
	for _, s := range t.Services {
		if s.MaxConnections > 0 {
			n = min(n, int(idleConnectionShare*float64(s.MaxConnections)/float64(g.hostCount())))
		}
	}
	return max(1, n)
}

// Stats are the metrics of a Gate and of its picker and budget.
type Stats struct {
	PickerStats
	CrashStats
	// RetriesLeft is the number of retries currently available for each service.
	RetriesLeft map[string]float64
	// BufferedBytes is the size of all buffered request bodies.
	BufferedBytes int64
}

// Stats returns the current metrics, including those of the picker and the budget.
func (g *Gate) Stats() Stats {
	return Stats{
		PickerStats: g.cfg.Picker.Stats(g.cfg.Clock()), CrashStats: g.cfg.Crashes.Stats(), RetriesLeft: g.cfg.Budget.Remaining(),
		BufferedBytes: g.cfg.Bodies.Taken(),
	}
}

// Sweep drops the state of upstreams that are no longer in the routing table and looks for those that have crashed.
func (g *Gate) Sweep() {
	if t, _ := g.cfg.View.Table(); t.Version > 0 {
		g.cfg.Picker.Forget(t.Upstreams)
		go g.reportLeaving(g.notices.sweep(g.cfg.Clock(), t))
	}
	g.cfg.Crashes.Sweep()
}

// ServeHTTP handles one caller request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		gate: g, started: g.cfg.Clock(), id: r.Header.Get(g.cfg.Names.RequestID), tried: map[string]bool{},
		method: r.Method, host: r.Host, target: r.RequestURI,
	}
	ctx, cancel := c.withCallerDeadline(r)
	defer cancel()
	resp := c.run(ctx, r)
	c.finish(w, r, resp)
}
