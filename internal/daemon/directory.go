package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"baobabreach/internal/broker"
	"baobabreach/internal/clock"
	"baobabreach/internal/config"
	"baobabreach/internal/logs"
	"baobabreach/internal/peer"
	"baobabreach/internal/raft"

	"go.uber.org/fx"
)

// replicaDirectory tracks the replicas of a fleet that has no fixed list of them. It starts from the seeds and queries
// the replicas for the current members.
type replicaDirectory struct {
	cfg     config.Config
	replica *localReplica
	leader  *peer.LeaderClient
	client  *http.Client
	token   string
	log     *slog.Logger

	mu sync.Mutex
	// seeds holds the seed addresses of the current settings, which may be reloaded.
	seeds []string
	// members holds the members as last reported by a replica.
	members []broker.Member
	// lastLeaderAt is when the local replica last knew a leader, or when refresh first checked for one.
	lastLeaderAt time.Time
}

func newReplicaDirectory(
	cfg config.Config, r *localReplica, l *peer.LeaderClient, c clients, t tokens, log *slog.Logger,
) *replicaDirectory {
	return &replicaDirectory{
		cfg: cfg, replica: r, leader: l, client: c.control, token: t.control, log: logs.ForComponent(log, "directory"),
		seeds: seedAddresses(cfg),
	}
}

// replicaQueryTimeout limits one request to a replica.
const replicaQueryTimeout = 500 * time.Millisecond

// refresh updates the members from the local replica or, on a host without one, from the first replica that answers.
func (d *replicaDirectory) refresh(ctx context.Context) {
	if n := d.replica.node.Load(); n != nil {
		s := n.Status()
		d.setMembers(s.Members)
		d.rejoin(ctx, s.Leader.ID != "", n.Status().ID)
		return
	}
	for _, a := range d.candidates() {
		ctx, cancel := context.WithTimeout(ctx, replicaQueryTimeout)
		info, err := peer.Call[struct{}, replicaInfo](ctx, d.client, "http://"+a+peer.PathReplica, d.token, struct{}{})
		cancel()
		if err == nil && info.Members != nil {
			d.setMembers(*info.Members)
			return
		}
	}
}

// candidates returns the replica addresses to query. Those of the own data centre come first, since traffic between data
// centres is billed and hundreds of hosts ask; then the current leader.
func (d *replicaDirectory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var local, all []string
	for _, m := range d.members {
		all = append(all, m.Address.String())
		if m.DataCentre == d.cfg.DataCentre {
			local = append(local, m.Address.String())
		}
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	out := []string{}
	for _, a := range slices.Concat(local, []string{d.leader.Leader()}, all, d.seeds) {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// brokers returns the replicas as brokers. The list must not be modified.
func (d *replicaDirectory) brokers() []broker.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

func (d *replicaDirectory) setSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
}

func (d *replicaDirectory) setMembers(members raft.Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	var current []broker.Member
	for _, m := range members.All() {
		// The settings allow an address only in this form.
		a, err := netip.ParseAddrPort(m.Address)
		if err != nil || slices.Contains(addresses, m.Address) {
			continue
		}
		addresses = append(addresses, m.Address)
		current = append(current, broker.Member{Address: a, DataCentre: m.DataCentre})
	}
	if len(current) == 0 {
		return
	}
	if !slices.Equal(current, d.members) {
		d.log.Info("replicas changed", "addresses", addresses)
	}
	d.members = current
	for _, s := range d.seeds {
		if !slices.Contains(addresses, s) {
			addresses = append(addresses, s)
		}
	}
	d.leader.SetAddresses(addresses)
}

// rejoinAfter is the time without a leader after which a replica sends a join request, as it may have been removed from
// the group.
const rejoinAfter = 2 * time.Second

// rejoin asks the group to accept the local replica again, in case it was replaced while it was unreachable.
func (d *replicaDirectory) rejoin(ctx context.Context, hasLeader bool, id string) {
	if hasLeader || d.lastLeaderAt.IsZero() {
		d.lastLeaderAt = time.Now()
		return
	}
	if time.Since(d.lastLeaderAt) < rejoinAfter {
		return
	}
	self := raft.Member{ID: id, Host: d.cfg.Advertise, Address: d.cfg.Advertise, DataCentre: d.cfg.DataCentre}
	for _, a := range d.candidates() {
		if a == d.cfg.Advertise {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, replicaQueryTimeout)
		_, err := peer.Call[raft.Member, raft.Members](ctx, d.client, "http://"+a+peer.PathJoin, d.token, self)
		cancel()
		if err == nil {
			d.log.Info("replica group confirmed this replica as a member", "asked", a)
			return
		}
	}
}

func startReplicaDirectory(lc fx.Lifecycle, d *replicaDirectory) {
	runInBackground(lc, func(ctx context.Context) {
		d.refresh(ctx)
		clock.Every(ctx, directoryRefreshInterval, d.refresh)
	})
}
