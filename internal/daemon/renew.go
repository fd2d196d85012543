package daemon

import (
	"context"
	"log/slog"
	"time"

	"baobabreach/internal/limit"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
)

const (
	renewTimeout = 250 * time.Millisecond
	renewRetry   = 30 * time.Millisecond
	watchTimeout = 10 * time.Second
)

// renewer keeps the routing lease and the table of an entry host.
type renewer struct {
	self   route.Daemon
	view   *route.View
	leader *peer.LeaderClient
	clock  func() time.Duration
	log    *slog.Logger
	limits *limit.Host
	// changed asks for a renewal at once.
	changed chan struct{}
}

// watchQuery asks for the next change of the state.
type watchQuery struct {
	Version uint64 `json:"version"`
}

type watchAnswer struct {
	Version uint64 `json:"version"`
}

// run renews the lease until ctx ends.
func (r *renewer) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := owner.RenewInterval
		if err := r.renew(ctx); err != nil {
			r.log.Debug("lease not renewed", "error", err)
			wait = renewRetry
		}
		select {
		case <-ctx.Done():
		case <-r.changed:
		case <-time.After(wait):
		}
	}
}

func (r *renewer) renew(ctx context.Context) error {
	present, oldest := r.view.Versions()
	sentAt := r.clock()
	l, err := peer.ToLeader[owner.Renewal, owner.Lease](ctx, r.leader, peer.PathRenew, renewTimeout,
		owner.Renewal{Daemon: r.self, TableVersion: present, OldestVersion: oldest, Demand: r.limits.Demand(sentAt)})
	if err != nil {
		return err
	}
	ttl := time.Duration(l.TTLMs) * time.Millisecond
	r.view.Update(sentAt, ttl, l.Table, l.Daemons)
	table, _ := r.view.Table()
	r.limits.Update(r.clock(), sentAt+ttl, l.Shares, table.Limits)
	return nil
}

// watch asks for renewals as soon as the state changes, until ctx ends.
func (r *renewer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		present, _ := r.view.Versions()
		a, err := peer.ToLeader[watchQuery, watchAnswer](ctx, r.leader, peer.PathWatch, watchTimeout+time.Second,
			watchQuery{Version: present})
		if err == nil && a.Version != present {
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
