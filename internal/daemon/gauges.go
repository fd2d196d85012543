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

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

type gaugeParams struct {
	fx.In

	Config  config.Config
	Metrics *metric.Registry
	View    *route.View
	Pool    *pipe.Pool
	Gate    *gate.Gate
	Replica *localReplica
	Brokers *brokerSocket
	Clock   Clock
}

// startGauges starts the periodic update of the gauges of a daemon on a hosting platform.
func startGauges(lc fx.Lifecycle, p gaugeParams) {
	runInBackground(lc, func(ctx context.Context) { clock.Every(ctx, gaugeInterval, p.update) })
}

func (p gaugeParams) update(context.Context) {
	if p.Config.Caller != "" {
		version, _ := p.View.Versions()
		p.Metrics.SetGauge("table.version", int64(version))
		p.Metrics.SetGauge("table.lease_left_ms", p.View.LeaseLeft(p.Clock()).Milliseconds())
		p.Metrics.SetGauge("hosts", int64(p.View.HostCount()))
		p.updateUpstreamGauges()
		g := p.Gate.Stats()
		p.Metrics.SetGauge("upstream.ejected", g.Ejected)
		p.Metrics.SetGauge("upstream.ejections", g.Ejections)
		p.Metrics.SetGauge("upstream.crashes", g.Crashes)
		p.Metrics.SetGauge("requests.quarantined", g.Refused)
		p.Metrics.SetGauge("requests.in_flight", g.InFlight)
		p.Metrics.SetGauge("requests.waiting", g.Waiting)
		p.Metrics.SetGauge("requests.buffered_bytes", g.BufferedBytes)
		asked := p.Brokers.client.Stats()
		p.Metrics.SetGauge("broker.asked", asked.Asked)
		p.Metrics.SetGauge("broker.unanswered", asked.Unanswered)
		for service, left := range g.RetriesLeft {
			p.Metrics.SetGauge("retry.budget_left."+service, int64(left))
		}
	}
	n := p.Replica.node.Load()
	if n == nil {
		return
	}
	s := n.Status()
	isLeader := int64(0)
	if s.Role == raft.RoleLeader {
		isLeader = 1
	}
	p.Metrics.SetGauge("raft.leader", isLeader)
	p.Metrics.SetGauge("raft.term", int64(s.Term))
	p.Metrics.SetGauge("raft.commit_index", int64(s.Commit))
	p.Metrics.SetGauge("raft.last_index", int64(s.Last))
	p.Metrics.SetGauge("raft.voters", int64(len(s.Members.Voters)))
	p.Metrics.SetGauge("raft.learners", int64(len(s.Members.Learners)))
	m := n.Model()
	if left, ok := n.TimeToNextGrantExpiry(); ok {
		p.Metrics.SetGauge("grant.least_left_ms", left.Milliseconds())
	}
	p.Metrics.SetGauge("disk.syncs", n.Syncs())
	assigned := p.Brokers.server.Stats()
	p.Metrics.SetGauge("broker.granted", assigned.Granted)
	p.Metrics.SetGauge("broker.refused", assigned.Refused)
	p.Metrics.SetGauge("broker.ejections", assigned.Ejections)
	p.Metrics.SetGauge("state.version", int64(m.Version))
	p.Metrics.SetGauge("state.upstreams", int64(len(m.Upstreams)))
	p.Metrics.SetGauge("state.ranges", int64(len(m.Ranges)))
}

func (p gaugeParams) updateUpstreamGauges() {
	s := p.Pool.Stats()
	p.Metrics.SetGauge("upstream.dials", s.Dials)
	p.Metrics.SetGauge("upstream.reuses", s.Reuses)
	p.Metrics.SetGauge("upstream.stale_connections", s.StaleIdle)
	p.Metrics.SetGauge("upstream.crossed_answers", s.MismatchedResponses)
	p.Metrics.SetGauge("upstream.invalid_answers", s.InvalidResponses)
	p.Metrics.SetGauge("upstream.oversized_answers", s.OversizedResponses)
	p.Metrics.SetGauge("upstream.crowded_out_answers", s.CrowdedOut)
	p.Metrics.SetGauge("upstream.buffered_bytes", s.ResponseBytes)
	p.Metrics.SetGauge("upstream.broken_connections", s.Broken)
}
