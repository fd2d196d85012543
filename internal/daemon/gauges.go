package daemon

import (
	"context"
	"time"

	"baobabreach/internal/clock"
	"baobabreach/internal/config"
	"baobabreach/internal/gate"
	"baobabreach/internal/metric"
	"baobabreach/internal/pipe"
	"baobabreach/internal/raft"
	"baobabreach/internal/route"

	"go.uber.org/fx"
)

// gaugeInterval is the time between two looks at the values behind the gauges.
const gaugeInterval = time.Second

type gaugeParams struct {
	fx.In

	Config  config.Config
	Metrics *metric.Registry
	View    *route.View
	Pool    *pipe.Pool
	Gate    *gate.Gate
	Replica *replica
	Clock   Clock
}

// startGauges keeps the gauges of a daemon on a platform fresh.
func startGauges(lc fx.Lifecycle, p gaugeParams) {
	inBackground(lc, func(ctx context.Context) { clock.Every(ctx, gaugeInterval, p.update) })
}

func (p gaugeParams) update(context.Context) {
	if p.Config.Caller != "" {
		version, _ := p.View.Versions()
		p.Metrics.Gauge("table.version", int64(version))
		p.Metrics.Gauge("table.lease_left_ms", p.View.LeaseLeft(p.Clock()).Milliseconds())
		p.Metrics.Gauge("hosts", int64(p.View.HostCount()))
		s := p.Pool.Stats()
		p.Metrics.Gauge("upstream.dials", s.Dials)
		p.Metrics.Gauge("upstream.reuses", s.Reuses)
		p.Metrics.Gauge("upstream.stale_connections", s.StaleIdle)
		p.Metrics.Gauge("upstream.crossed_answers", s.MismatchedResponses)
		g := p.Gate.Stats()
		p.Metrics.Gauge("upstream.ejected", g.Ejected)
		p.Metrics.Gauge("upstream.ejections", g.Ejections)
		p.Metrics.Gauge("requests.in_flight", g.InFlight)
		p.Metrics.Gauge("requests.waiting", g.Waiting)
		p.Metrics.Gauge("requests.buffered_bytes", g.BufferedBytes)
		for service, left := range g.RetriesLeft {
			p.Metrics.Gauge("retry.budget_left."+service, int64(left))
		}
	}
	n := p.Replica.node.Load()
	if n == nil {
		return
	}
	s := n.Status()
	leads := int64(0)
	if s.Role == raft.RoleLeader {
		leads = 1
	}
	p.Metrics.Gauge("raft.leader", leads)
	p.Metrics.Gauge("raft.term", int64(s.Term))
	p.Metrics.Gauge("raft.commit_index", int64(s.Commit))
	p.Metrics.Gauge("raft.last_index", int64(s.Last))
	p.Metrics.Gauge("raft.voters", int64(len(s.Members.Voters)))
	p.Metrics.Gauge("raft.learners", int64(len(s.Members.Learners)))
	m := n.Model()
	if left, ok := n.LeastGrantLeft(); ok {
		p.Metrics.Gauge("grant.least_left_ms", left.Milliseconds())
	}
	p.Metrics.Gauge("disk.syncs", n.Syncs())
	p.Metrics.Gauge("state.version", int64(m.Version))
	p.Metrics.Gauge("state.upstreams", int64(len(m.Upstreams)))
	p.Metrics.Gauge("state.ranges", int64(len(m.Ranges)))
}
