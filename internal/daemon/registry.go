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
	// forwardTimeout limits a call that is forwarded to the leader. It is shorter than the one second for which the client
	// waits for the response.
	forwardTimeout = 850 * time.Millisecond
	// forwardJitter is the time over which calls that have waited for a leader are spread when they are retried.
	forwardJitter = 300 * time.Millisecond
	// leaveCommitTimeout limits the wait until the committed state marks an upstream as leaving.
	leaveCommitTimeout = 700 * time.Millisecond
	// changeTimeout limits a change of the configuration. Operators wait one second, and longer for large changes.
	changeTimeout = 2 * time.Second
)

// Registry serves the calls of the upstreams and operators of a hosting platform. The leader executes each call; other
// replicas forward it to the leader.
type Registry struct {
	cfg    config.Config
	node   func() *node.Node
	leader *peer.LeaderClient
	clock  Clock
	log    *slog.Logger
}

func newRegistry(cfg config.Config, r *localReplica, l *peer.LeaderClient, now Clock, log *slog.Logger) Registry {
	return Registry{cfg: cfg, node: r.node.Load, leader: l, clock: now, log: logs.ForComponent(log, "registry")}
}

// callLeader calls handle if this replica is the leader and forwards q to the leader otherwise. If no leader is known,
// it waits for one: after a power loss hundreds of upstreams call, and each failed call would be retried and take
// processor time that the election needs.
func callLeader[Q, R any](
	ctx context.Context, r Registry, path string, timeout time.Duration, handle func(context.Context, Q) (R, error), q Q,
) (R, error) {
	resp, err := handle(ctx, q)
	if err == nil || peer.AsError(err).Code != proto.CodeNotLeader {
		return resp, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if n := r.node(); n != nil && peer.AsError(err).Leader == "" {
		n.AwaitLeader(ctx)
		// Jitter, so that the calls that have waited do not reach the new leader together.
		select {
		case <-time.After(rand.N(forwardJitter)):
		case <-ctx.Done():
		}
		resp, err = handle(ctx, q)
		if err == nil || peer.AsError(err).Code != proto.CodeNotLeader {
			return resp, err
		}
	}
	leader := peer.AsError(err).Leader
	if leader == "" || leader == r.cfg.Advertise {
		return resp, err
	}
	r.leader.SetLeader(leader)
	return peer.CallLeader[Q, R](ctx, r.leader, path, timeout, q)
}

// Log returns the log of the registry.
func (r Registry) Log() *slog.Logger { return r.log }

// Announce processes the announcement of an upstream and returns its grant. An invalid announcement is rejected without a
// call to the leader.
func (r Registry) Announce(ctx context.Context, a proto.Announcement) (proto.Grant, error) {
	if err := a.Validate(); err != nil {
		return proto.Grant{}, err
	}
	return callLeader(ctx, r, peer.PathAnnounce, forwardTimeout, r.handleAnnounce, a)
}

// MarkLeaving marks an upstream as leaving and returns once that is committed.
func (r Registry) MarkLeaving(ctx context.Context, name string) error {
	_, err := callLeader(ctx, r, peer.PathMarkLeaving, forwardTimeout, r.handleMarkLeaving, name)
	return err
}

// Change commits a change of the configuration. The error wraps model.ErrInvalid if the change is rejected.
func (r Registry) Change(ctx context.Context, c model.Change) error {
	if err := c.Validate(); err != nil {
		return err
	}
	_, err := callLeader(ctx, r, peer.PathChange, changeTimeout, r.handleChange, c)
	var e *proto.Error
	if errors.As(err, &e) && e.Code == proto.CodeConflict {
		return errors.Wrap(model.ErrInvalid, e.Message)
	}
	return err
}

// Items returns the current configuration.
func (r Registry) Items(ctx context.Context) (model.Items, error) {
	return callLeader(ctx, r, peer.PathItems, forwardTimeout, r.handleItems, struct{}{})
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

func (r Registry) leaderNode() (*node.Node, error) {
	n := r.node()
	if n == nil {
		return nil, proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "this host runs no replica yet")
	}
	return n, n.CheckLeader()
}

func (r Registry) handleAnnounce(ctx context.Context, a proto.Announcement) (proto.Grant, error) {
	received := r.clock()
	n, err := r.leaderNode()
	if err != nil {
		return proto.Grant{}, err
	}
	changed := n.Changed()
	g, err := n.Announce(received, a)
	if e := (*proto.Error)(nil); errors.As(err, &e) && e.Code == proto.CodeSuperseded {
		r.log.Info("announcement refused", "upstream", a.Name, "incarnation", a.Incarnation, "sequence", a.Sequence,
			"draining", a.Draining, "reason", e.Message)
	}
	for err == nil {
		remaining := r.responseDelay(a, g) - (r.clock() - received)
		if remaining <= 0 {
			return g, r.checkLeaving(a, g)
		}
		select {
		case <-ctx.Done():
			return proto.Grant{}, errors.Wrap(ctx.Err(), "announce")
		case <-changed:
		case <-time.After(remaining):
		}
		changed = n.Changed()
		g, err = n.CurrentGrant(a)
	}
	return proto.Grant{}, err
}

// responseDelay returns how long after the receipt of an announcement its response may be delayed to include an expected
// change: the upstream marked as leaving, or ranges that it is about to get.
func (r Registry) responseDelay(a proto.Announcement, g proto.Grant) time.Duration {
	switch {
	case (a.Draining || a.Gone) && !g.Leaving:
		return leaveCommitTimeout
	case g.Awaiting:
		return owner.MaxResponseDelay
	}
	return 0
}

// checkLeaving returns an error if the upstream leaves but the committed state does not mark it as leaving yet.
func (r Registry) checkLeaving(a proto.Announcement, g proto.Grant) error {
	if (a.Draining || a.Gone) && !g.Leaving {
		return errLeaveNotCommitted(a.Name)
	}
	return nil
}

func errLeaveNotCommitted(name string) error {
	return proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "the leave of %s is not committed", name)
}

func (r Registry) handleMarkLeaving(ctx context.Context, name string) (struct{}, error) {
	n, err := r.leaderNode()
	if err != nil {
		return struct{}{}, err
	}
	deadline := r.clock() + leaveCommitTimeout
	for {
		changed := n.Changed()
		leaving, err := n.MarkLeaving(name)
		if err != nil || leaving {
			return struct{}{}, err
		}
		if r.clock() >= deadline {
			return struct{}{}, errLeaveNotCommitted(name)
		}
		select {
		case <-ctx.Done():
			return struct{}{}, errors.Wrap(ctx.Err(), "depart")
		case <-changed:
		case <-time.After(deadline - r.clock()):
		}
	}
}

func (r Registry) handleChange(ctx context.Context, c model.Change) (struct{}, error) {
	n, err := r.leaderNode()
	if err != nil {
		return struct{}{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	results, err := n.Propose(ctx, []state.Command{{Items: &c}})
	if err != nil {
		return struct{}{}, err
	}
	if results[0].Invalid != "" {
		r.log.Warn("change refused", "reason", results[0].Invalid)
		return struct{}{}, proto.NotRun(proto.CodeConflict, http.StatusBadRequest, "%s", results[0].Invalid)
	}
	r.log.Info("change accepted", "routes", len(c.Routes), "services", len(c.Services), "items", n.Model().ItemsVersion)
	return struct{}{}, nil
}

func (r Registry) handleItems(context.Context, struct{}) (model.Items, error) {
	n, err := r.leaderNode()
	if err != nil {
		return model.Items{}, err
	}
	items := n.Model().Items
	// The lease is checked after the read: if it had expired before, a new leader may have changed the items.
	return items, n.CheckLeader()
}
