package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/errs"
	"baobabreach/internal/peer"
	"baobabreach/internal/raft"
	"baobabreach/internal/store"

	"github.com/go-faster/errors"
)

// bootstrapInterval is the time between two queries of the other replicas while the group forms.
const bootstrapInterval = 100 * time.Millisecond

// replicaInfo describes the state on the disk of a replica to other daemons.
type replicaInfo struct {
	Member raft.Member `json:"member"`
	// Members is nil until the group has formed.
	Members *raft.Members `json:"members,omitempty"`
	// FirstStart is false if the disk was not new when the fleet started for the first time, for example after it was
	// replaced. Such a replica may join a group but never forms one.
	FirstStart bool `json:"first_start"`
}

// bootstrapper determines the members of the raft group. A group forms only when every replica of the settings is
// reachable with an empty disk, so that a replica that has lost its disk can't form a second group. Only the replica
// whose host sorts first decides on the initial member list, and the others adopt it: two replicas that decide while a
// disk is being replaced could pick different lists. A replica that finds a group without itself joins it as a learner.
type bootstrapper struct {
	self raft.Member
	// firstStart is that of replicaInfo.
	firstStart bool
	cfg        config.Config
	client     *http.Client
	token      string
	log        *slog.Logger
}

// bootstrap waits until the group has formed and returns its member list, or an error when ctx is done.
func (bs bootstrapper) bootstrap(ctx context.Context) (raft.Members, error) {
	t := time.NewTicker(bootstrapInterval)
	defer t.Stop()
	bs.log.Info("waiting for the replica group to form", "replicas", len(bs.cfg.Replicas))
	for {
		members, ok, formed := bs.discover(ctx)
		if formed && !ok {
			members, ok = bs.join(ctx)
		}
		if ok {
			return members, nil
		}
		select {
		case <-ctx.Done():
			return raft.Members{}, errors.Wrap(ctx.Err(), "form replica group")
		case <-t.C:
		}
	}
}

// discover queries the other replicas for a member list. usable is true if this replica may start with the list, formed
// if a group exists.
func (bs bootstrapper) discover(ctx context.Context) (members raft.Members, usable, formed bool) {
	members = raft.Members{Voters: []raft.Member{bs.self}}
	isSeed := func(r config.Replica) bool { return r.Address == bs.self.Address }
	allReady := bs.cfg.Gateway == nil || bs.firstStart && slices.ContainsFunc(bs.cfg.Replicas, isSeed)
	for _, r := range bs.cfg.Replicas {
		if r.Address == bs.self.Address {
			continue
		}
		info, err := bs.queryReplica(ctx, r.Address)
		if err != nil {
			allReady = false
			continue
		}
		if info.Members != nil {
			_, ok := info.Members.ByID(bs.self.ID)
			return *info.Members, ok, true
		}
		allReady = allReady && info.FirstStart
		members.Voters = append(members.Voters, info.Member)
	}
	slices.SortFunc(members.Voters, func(a, b raft.Member) int { return strings.Compare(a.Host, b.Host) })
	return members, allReady && members.Voters[0].ID == bs.self.ID, false
}

// join sends a join request to one replica after another until the leader confirms this one as a committed member.
func (bs bootstrapper) join(ctx context.Context) (raft.Members, bool) {
	for _, r := range bs.cfg.Replicas {
		if r.Address == bs.self.Address {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		members, err := peer.Call[raft.Member, raft.Members](ctx, bs.client, "http://"+r.Address+peer.PathJoin, bs.token, bs.self)
		cancel()
		if err == nil {
			bs.log.Info("joined the replica group as a learner", "id", bs.self.ID)
			return members, true
		}
		bs.log.Debug("join request failed", "replica", r.Host, "error", err)
	}
	return raft.Members{}, false
}

func (bs bootstrapper) queryReplica(ctx context.Context, address string) (replicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return peer.Call[struct{}, replicaInfo](ctx, bs.client, "http://"+address+peer.PathReplica, bs.token, struct{}{})
}

// loadOrBootstrapMembers returns the member list stored on disk. If the disk is new, it forms or joins the group and
// saves the list.
func loadOrBootstrapMembers(ctx context.Context, bs bootstrapper, s *store.Store, c store.Contents) (raft.Members, error) {
	if c.Identity.Members != nil {
		return *c.Identity.Members, nil
	}
	members, err := bs.bootstrap(ctx)
	if err != nil {
		return members, err
	}
	c.Identity.Members = &members
	return members, errs.Wrap(s.SaveIdentity(c.Identity), "save member list")
}
