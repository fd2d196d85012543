package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"baobabreach/internal/limit"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"
)

const (
	renewTimeout    = 250 * time.Millisecond
	renewRetryPause = 30 * time.Millisecond
	// unevenLoadRenewWait caps the wait of a renewal while the load is uneven, so that the leader learns of it soon.
	unevenLoadRenewWait = 300 * time.Millisecond
	watchTimeout        = 10 * time.Second
)

// renewer renews the routing lease of an entry host and keeps its routing table up to date.
type renewer struct {
	self   route.Daemon
	view   *route.View
	leader *peer.LeaderClient
	clock  func() time.Duration
	log    *slog.Logger
	limits *limit.HostLimiter
	// interval is the time between two renewals.
	interval time.Duration
	// retryPause is the average pause after a failed renewal.
	retryPause time.Duration
	// leaderLost is true from the first failed renewal, at leaderLostAt, until the next successful one.
	leaderLost   bool
	leaderLostAt time.Duration
	// longPollWait is how long the leader may hold a renewal until a change occurs. If it is 0, watch waits for changes
	// in separate requests.
	longPollWait time.Duration
	// renewNow triggers a renewal without waiting for the interval.
	renewNow chan struct{}
	suspects suspects
}

// run renews the lease until ctx is done.
func (r *renewer) run(ctx context.Context) {
	redirected := false
	for ctx.Err() == nil {
		wait := r.interval
		err := r.renew(ctx)
		r.trackLeader(err)
		switch {
		case err == nil:
			redirected = false
		case !redirected && hasLeaderHint(err):
			redirected = true
		default:
			redirected = false
			// Jitter, so that a hundred hosts that lost the leader together do not retry together.
			wait = r.retryPause/2 + rand.N(r.retryPause)
		}
		select {
		case <-ctx.Done():
		case <-r.renewNow:
		case <-time.After(wait):
		}
	}
}

// hasLeaderHint reports whether the renewal was refused by a replica that knows the leader.
func hasLeaderHint(err error) bool {
	e := peer.AsError(err)
	return e.Code == proto.CodeNotLeader && e.Leader != ""
}

// fullTableTimeout allows for the transfer of a whole table over a slow link while other hosts start as well.
const fullTableTimeout = 2 * time.Second

// timeout returns the timeout of a renewal that the leader may hold for wait. version is that of the current table, or 0
// if the host has none yet.
func (r *renewer) timeout(version uint64, wait time.Duration) time.Duration {
	if version == 0 && r.longPollWait > 0 {
		return fullTableTimeout
	}
	return wait + renewTimeout
}

// trackLeader logs the first failed renewal and the next successful one; failures in between are not logged.
func (r *renewer) trackLeader(err error) {
	now := r.clock()
	version, _ := r.view.Versions()
	switch {
	case err != nil && !r.leaderLost:
		r.leaderLost, r.leaderLostAt = true, now
		r.log.Warn("leader lost", "error", err, "leader", r.leader.Leader(), "table", version)
	case err == nil && r.leaderLost:
		r.leaderLost = false
		r.log.Info("leader found", "leader", r.leader.Leader(),
			"after_ms", (now - r.leaderLostAt).Milliseconds(), "table", version)
	}
}

func (r *renewer) renew(ctx context.Context) error {
	current, oldest := r.view.Versions()
	table, _ := r.view.Table()
	sentAt := r.clock()
	wait := r.longPollWait
	if r.view.HasHotRange(sentAt) {
		wait = min(wait, unevenLoadRenewWait)
	}
	lease, err := peer.CallLeader[owner.Renewal, owner.Lease](ctx, r.leader, peer.PathRenew, r.timeout(table.Version, wait),
		owner.Renewal{
			Daemon: r.self, TableVersion: current, OldestVersion: oldest, Revision: table.Revision,
			SuspectsVersion: r.suspects.version(), Load: r.view.Report(sentAt),
			Demand: r.limits.Demand(sentAt), DaemonsSum: route.HashDaemons(r.view.Daemons()),
			WaitMs: wait.Milliseconds(), Compact: r.longPollWait > 0,
		})
	if err != nil {
		return err
	}
	if lease.Packed != nil {
		if lease.Table, lease.Delta, err = route.Unpack(lease.Packed); err != nil {
			return err
		}
	}
	ttl := time.Duration(lease.TTLMs) * time.Millisecond
	r.view.Update(sentAt, route.Update{
		TTL: ttl, Version: lease.Version, Table: lease.Table, Delta: lease.Delta, Daemons: lease.Daemons,
		HostCount: lease.HostCount,
	})
	if lease.Suspects != nil {
		r.suspects.update(ctx, *lease.Suspects)
	}
	table, _ = r.view.Table()
	r.limits.Update(r.clock(), sentAt+ttl, lease.Shares, table.Limits)
	return nil
}

// watch triggers a renewal whenever the state of the leader changes, until ctx is done.
func (r *renewer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		table, _ := r.view.Versions()
		have := owner.Versions{Table: table, Suspects: r.suspects.version()}
		current, err := peer.CallLeader[owner.Versions, owner.Versions](ctx, r.leader, peer.PathWatch,
			watchTimeout+time.Second, have)
		if err == nil && current != have {
			select {
			case r.renewNow <- struct{}{}:
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewRetryPause):
		}
	}
}
