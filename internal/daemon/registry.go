package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/logs"
	"baobabreach/internal/model"
	"baobabreach/internal/node"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

const (
	// forwardTimeout bounds a call that is passed on to the leader: callers wait a second for the answer.
	forwardTimeout = 850 * time.Millisecond
	// heldSpread is the time over which calls that waited for a leader are passed on to it.
	heldSpread = 300 * time.Millisecond
	// leaveWait bounds the wait until the state says that an upstream leaves.
	leaveWait = 700 * time.Millisecond
	// changeTimeout bounds a change of the configuration; operators wait a second, longer for large ones.
	changeTimeout = 2 * time.Second
)

// Registry is what a platform's upstreams and operators ask of a replica. Each call is answered by the leader; other
// replicas pass it on.
type Registry struct {
	cfg    config.Config
	node   func() *node.Node
	leader *peer.LeaderClient
	clock  Clock
	log    *slog.Logger
}

func newRegistry(cfg config.Config, r *replica, l *peer.LeaderClient, now Clock, log *slog.Logger) Registry {
	return Registry{cfg: cfg, node: r.node.Load, leader: l, clock: now, log: logs.ForComponent(log, "registry")}
}

// onLeader runs here on the leader and passes q on everywhere else. Without a known leader it waits for one: after a loss of
// power hundreds of upstreams ask, and each call that fails is made again and takes time from the election.
func onLeader[Q, A any](
	ctx context.Context, r Registry, path string, timeout time.Duration, here func(context.Context, Q) (A, error), q Q,
) (A, error) {
	a, err := here(ctx, q)
	if err == nil || peer.AsError(err).Code != proto.CodeNotLeader {
		return a, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if n := r.node(); n != nil && peer.AsError(err).Leader == "" {
		n.AwaitLeader(ctx)
		// Spread, so that the new leader is not taken up by all calls that have waited.
		select {
		case <-time.After(rand.N(heldSpread)):
		case <-ctx.Done():
		}
		a, err = here(ctx, q)
		if err == nil || peer.AsError(err).Code != proto.CodeNotLeader {
			return a, err
		}
	}
	to := peer.AsError(err).Leader
	if to == "" || to == r.cfg.Advertise {
		return a, err
	}
	r.leader.SetLeader(to)
	return peer.CallLeader[Q, A](ctx, r.leader, path, timeout, q)
}

// Announce answers the announcement of an upstream.
func (r Registry) Announce(ctx context.Context, a proto.Announcement) (proto.Grant, error) {
	if err := a.Validate(); err != nil {
		return proto.Grant{}, err
	}
	return onLeader(ctx, r, peer.PathAnnounce, forwardTimeout, r.announceHere, a)
}

// Depart notes that an upstream leaves.
func (r Registry) Depart(ctx context.Context, name string) error {
	_, err := onLeader(ctx, r, peer.PathDepart, forwardTimeout, r.departHere, name)
	return err
}

// Change commits a change of the configuration. The error wraps model.ErrInvalid for one that is refused.
func (r Registry) Change(ctx context.Context, c model.Change) error {
	if err := c.Validate(); err != nil {
		return err
	}
	_, err := onLeader(ctx, r, peer.PathChange, changeTimeout, r.changeHere, c)
	var e *proto.Error
	if errors.As(err, &e) && e.Code == proto.CodeConflict {
		return errors.Wrap(model.ErrInvalid, e.Message)
	}
	return err
}

// Items returns the configuration in force.
func (r Registry) Items(ctx context.Context) (model.Items, error) {
	return onLeader(ctx, r, peer.PathItems, forwardTimeout, r.itemsHere, struct{}{})
}

// LeaderAddress returns the registry address of the leader, or "" if it isn't known.
func (r Registry) LeaderAddress() string {
	n := r.node()
	if n == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(n.Status().Leader.Address)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(r.cfg.Gateway.Registry)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

func (r Registry) here() (*node.Node, error) {
	n := r.node()
	if n == nil {
		return nil, proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "this host runs no replica yet")
	}
	return n, n.CheckLeader()
}

func (r Registry) announceHere(ctx context.Context, a proto.Announcement) (proto.Grant, error) {
	received := r.clock()
	n, err := r.here()
	if err != nil {
		return proto.Grant{}, err
	}
	changed := n.Changed()
	g, err := n.Announce(received, a)
	for err == nil {
		left := r.keepBack(a, g) - (r.clock() - received)
		if left <= 0 {
			return g, r.mustLeave(a, g)
		}
		select {
		case <-ctx.Done():
			return proto.Grant{}, errors.Wrap(ctx.Err(), "announce")
		case <-changed:
		case <-time.After(left):
		}
		changed = n.Changed()
		g, err = n.CurrentGrant(a)
	}
	return proto.Grant{}, err
}

// keepBack returns how long after the receipt an answer is kept back for a change that the upstream needs to know.
func (r Registry) keepBack(a proto.Announcement, g proto.Grant) time.Duration {
	switch {
	case (a.Draining || a.Gone) && !g.Leaving:
		return leaveWait
	case g.Awaiting:
		return owner.MaxAnswerDelay
	}
	return 0
}

// mustLeave refuses to acknowledge that an upstream leaves before the state says so.
func (r Registry) mustLeave(a proto.Announcement, g proto.Grant) error {
	if (a.Draining || a.Gone) && !g.Leaving {
		return notCommitted(a.Name)
	}
	return nil
}

func notCommitted(name string) error {
	return proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "the leave of %s is not committed", name)
}

func (r Registry) departHere(ctx context.Context, name string) (struct{}, error) {
	n, err := r.here()
	if err != nil {
		return struct{}{}, err
	}
	end := r.clock() + leaveWait
	for {
		changed := n.Changed()
		left, err := n.Depart(name)
		if err != nil || left {
			return struct{}{}, err
		}
		if r.clock() >= end {
			return struct{}{}, notCommitted(name)
		}
		select {
		case <-ctx.Done():
			return struct{}{}, errors.Wrap(ctx.Err(), "depart")
		case <-changed:
		case <-time.After(end - r.clock()):
		}
	}
}

func (r Registry) changeHere(ctx context.Context, c model.Change) (struct{}, error) {
	n, err := r.here()
	if err != nil {
		return struct{}{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	rs, err := n.Propose(ctx, []state.Command{{Items: &c}})
	if err != nil {
		return struct{}{}, err
	}
	if rs[0].Invalid != "" {
		r.log.Warn("change refused", "reason", rs[0].Invalid)
		return struct{}{}, proto.NotRun(proto.CodeConflict, http.StatusBadRequest, "%s", rs[0].Invalid)
	}
	r.log.Info("change accepted", "routes", len(c.Routes), "services", len(c.Services), "items", n.Model().ItemsVersion)
	return struct{}{}, nil
}

func (r Registry) itemsHere(context.Context, struct{}) (model.Items, error) {
	n, err := r.here()
	if err != nil {
		return model.Items{}, err
	}
	items := n.Model().Items
	// The lease is checked after the read: a successor may have changed the items before it ended.
	return items, n.CheckLeader()
}
