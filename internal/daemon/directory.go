package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"baobabreach/internal/clock"
	"baobabreach/internal/config"
	"baobabreach/internal/logs"
	"baobabreach/internal/peer"
	"baobabreach/internal/raft"

	"go.uber.org/fx"
)

// directory knows the replicas of a fleet without a fixed list. It starts from the seeds and asks any replica for the
// present members.
type directory struct {
	cfg     config.Config
	replica *replica
	leader  *peer.LeaderClient
	client  *http.Client
	token   string
	log     *slog.Logger

	mu sync.Mutex
	// seeds are those of the settings in force, which may change.
	seeds []string
	// known holds the addresses of the members last heard of.
	known []string
	// silentSince is when this replica last had a leader.
	silentSince time.Time
}

func newDirectory(cfg config.Config, r *replica, l *peer.LeaderClient, c clients, t tokens, log *slog.Logger) *directory {
	return &directory{
		cfg: cfg, replica: r, leader: l, client: c.control, token: t.control, log: logs.ForComponent(log, "directory"),
		seeds: seedAddresses(cfg),
	}
}

// askReplicaTimeout bounds one question to a replica.
const askReplicaTimeout = 500 * time.Millisecond

// refresh learns the present members.
func (d *directory) refresh(ctx context.Context) {
	if n := d.replica.node.Load(); n != nil {
		s := n.Status()
		d.learn(s.Members)
		d.rejoin(ctx, s.Leader.ID != "", n.Status().ID)
		return
	}
	for _, a := range d.candidates() {
		ctx, cancel := context.WithTimeout(ctx, askReplicaTimeout)
		info, err := peer.Call[struct{}, replicaInfo](ctx, d.client, "http://"+a+peer.PathReplica, d.token, struct{}{})
		cancel()
		if err == nil && info.Members != nil {
			d.learn(*info.Members)
			return
		}
	}
}

// candidates returns the addresses to ask, the present leader first.
func (d *directory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []string{d.leader.Leader()}
	for _, a := range slices.Concat(d.known, d.seeds) {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// setSeeds replaces the seeds of the settings.
func (d *directory) setSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

func (d *directory) learn(ms raft.Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var as []string
	for _, m := range ms.All() {
		if !slices.Contains(as, m.Address) {
			as = append(as, m.Address)
		}
	}
	if len(as) == 0 {
		return
	}
	if !slices.Equal(as, d.known) {
		d.log.Info("replicas changed", "addresses", as)
	}
	d.known = as
	for _, s := range d.seeds {
		if !slices.Contains(as, s) {
			as = append(as, s)
		}
	}
	d.leader.SetAddresses(as)
}

// rejoinAfter is the time without a leader after which a replica asks whether the group still has it as a member.
const rejoinAfter = 2 * time.Second

// rejoin asks the group to take back a replica that was replaced while it was silent.
func (d *directory) rejoin(ctx context.Context, led bool, id string) {
	if led || d.silentSince.IsZero() {
		d.silentSince = time.Now()
		return
	}
	if time.Since(d.silentSince) < rejoinAfter {
		return
	}
	self := raft.Member{ID: id, Host: d.cfg.Advertise, Address: d.cfg.Advertise}
	for _, a := range d.candidates() {
		if a == d.cfg.Advertise {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, askReplicaTimeout)
		_, err := peer.Call[raft.Member, raft.Members](ctx, d.client, "http://"+a+peer.PathJoin, d.token, self)
		cancel()
		if err == nil {
			d.log.Info("the group has this replica as a member", "asked", a)
			return
		}
	}
}

func startDirectory(lc fx.Lifecycle, d *directory) {
	inBackground(lc, func(ctx context.Context) {
		d.refresh(ctx)
		clock.Every(ctx, directoryPause, d.refresh)
	})
}
