package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"baobabreach/internal/entry"
	"baobabreach/internal/limit"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"
)

const (
	renewTimeout = 250 * time.Millisecond
	renewRetry   = 30 * time.Millisecond
	// hotRenewWait shortens the wait of a renewal while the load is uneven.
	hotRenewWait = 300 * time.Millisecond
	watchTimeout = 10 * time.Second
)

// renewer keeps the routing lease and the table of an entry host.
type renewer struct {
	self   route.Daemon
	view   *route.View
	leader *peer.LeaderClient
	clock  func() time.Duration
	log    *slog.Logger
	limits *limit.HostLimiter
	// interval is the time between two renewals.
	interval time.Duration
	// retry is the pause after a renewal that failed.
	retry time.Duration
	// lost is true from a failed renewal, at lostAt, to the next one that succeeds.
	lost   bool
	lostAt time.Duration
	// wait is how long the leader may keep the answer to a renewal back; 0 where changes are watched apart.
	wait time.Duration
	// changed asks for a renewal at once.
	changed chan struct{}
	guard   *entry.Guard
}

// run renews the lease until ctx ends.
func (r *renewer) run(ctx context.Context) {
	told := false
	for ctx.Err() == nil {
		wait := r.interval
		err := r.renew(ctx)
		r.note(err)
		switch {
		case err == nil:
			told = false
		case !told && namesLeader(err):
			told = true
		default:
			told = false
			// Spread, so that a hundred hosts that lost the leader at once do not come back at once.
			wait = r.retry/2 + rand.N(r.retry)
		}
		select {
		case <-ctx.Done():
		case <-r.changed:
		case <-time.After(wait):
		}
	}
}

// namesLeader tells whether the renewal was refused by a replica that knows the leader.
func namesLeader(err error) bool {
	e := peer.AsError(err)
	return e.Code == proto.CodeNotLeader && e.Leader != ""
}

// firstTableTimeout covers a whole table over a slow link, while other hosts start too.
const firstTableTimeout = 2 * time.Second

// timeout bounds a renewal that the leader may keep back for wait.
func (r *renewer) timeout(version uint64, wait time.Duration) time.Duration {
	if version == 0 && r.wait > 0 {
		return firstTableTimeout
	}
	return wait + renewTimeout
}

// note logs when the leader is lost and found again, and nothing in between.
func (r *renewer) note(err error) {
	now := r.clock()
	version, _ := r.view.Versions()
	switch {
	case err != nil && !r.lost:
		r.lost, r.lostAt = true, now
		r.log.Warn("leader lost", "error", err, "leader", r.leader.Leader(), "table", version)
	case err == nil && r.lost:
		r.lost = false
		r.log.Info("leader found", "leader", r.leader.Leader(), "after_ms", (now - r.lostAt).Milliseconds(), "table", version)
	}
}

func (r *renewer) renew(ctx context.Context) error {
	present, oldest := r.view.Versions()
	table, _ := r.view.Table()
	sentAt := r.clock()
	wait := r.wait
	if r.view.HasHotRange(sentAt) {
		wait = min(wait, hotRenewWait)
	}
	l, err := peer.CallLeader[owner.Renewal, owner.Lease](ctx, r.leader, peer.PathRenew, r.timeout(table.Version, wait),
		owner.Renewal{
			Daemon: r.self, TableVersion: present, OldestVersion: oldest, Revision: table.Revision,
			SuspectsVersion: r.guard.Version(), Load: r.view.Report(sentAt),
			Demand: r.limits.Demand(sentAt), DaemonsSum: route.HashDaemons(r.view.Daemons()),
			WaitMs: wait.Milliseconds(), Compact: r.wait > 0,
		})
	if err != nil {
		return err
	}
	if l.Packed != nil {
		if l.Table, l.Delta, err = route.Unpack(l.Packed); err != nil {
			return err
		}
	}
	ttl := time.Duration(l.TTLMs) * time.Millisecond
	r.view.Update(sentAt, route.Update{
		TTL: ttl, Version: l.Version, Table: l.Table, Delta: l.Delta, Daemons: l.Daemons,
		HostCount: l.HostCount,
	})
	if l.Suspects != nil {
		r.guard.Update(ctx, *l.Suspects)
	}
	table, _ = r.view.Table()
	r.limits.Update(r.clock(), sentAt+ttl, l.Shares, table.Limits)
	return nil
}

// watch asks for renewals as soon as the state changes, until ctx ends.
func (r *renewer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		table, _ := r.view.Versions()
		have := owner.Versions{Table: table, Suspects: r.guard.Version()}
		now, err := peer.CallLeader[owner.Versions, owner.Versions](ctx, r.leader, peer.PathWatch,
			watchTimeout+time.Second, have)
		if err == nil && now != have {
			select {
			case r.changed <- struct{}{}:
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewRetry):
		}
	}
}
