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

// formInterval is the time between two looks at the other replicas while the group forms.
const formInterval = 100 * time.Millisecond

// replicaInfo is what a replica tells about its disk.
type replicaInfo struct {
	Member raft.Member `json:"member"`
	// Members is nil until the group has formed.
	Members *raft.Members `json:"members,omitempty"`
	// FirstStart is false on a disk that was emptied later. Such a disk joins a group and never forms one.
	FirstStart bool `json:"first_start"`
}

// former finds the members of the group. A group forms only when every replica of the settings is present with an
// empty disk, so a lost disk can't form a second group. The replica whose host sorts first alone decides on the
// first list and the others adopt it: two that decide while a disk is being replaced could pick different lists.
// A replica that finds a group without itself joins it as a learner.
type former struct {
	self   raft.Member
	cfg    config.Config
	client *http.Client
	token  string
	log    *slog.Logger
}

// form returns the first member list, or an error once ctx ends.
func (f former) form(ctx context.Context) (raft.Members, error) {
	t := time.NewTicker(formInterval)
	defer t.Stop()
	f.log.Info("waiting for the group to form", "replicas", len(f.cfg.Replicas))
	for {
		ms, ok, formed := f.look(ctx)
		if formed && !ok {
			ms, ok = f.join(ctx)
		}
		if ok {
			return ms, nil
		}
		select {
		case <-ctx.Done():
			return raft.Members{}, errors.Wrap(ctx.Err(), "form group")
		case <-t.C:
		}
	}
}

// look returns a member list and whether it is the one of this replica, and whether a group has formed.
func (f former) look(ctx context.Context) (members raft.Members, ok, formed bool) {
	members = raft.Members{Voters: []raft.Member{f.self}}
	isSeed := func(r config.Replica) bool { return r.Address == f.self.Address }
	all := f.cfg.Gateway == nil || f.cfg.Gateway.FirstStart && slices.ContainsFunc(f.cfg.Replicas, isSeed)
	for _, r := range f.cfg.Replicas {
		if r.Address == f.self.Address {
			continue
		}
		info, err := f.ask(ctx, r.Address)
		if err != nil {
			all = false
			continue
		}
		if info.Members != nil {
			_, ok := info.Members.ByID(f.self.ID)
			return *info.Members, ok, true
		}
		all = all && info.FirstStart
		members.Voters = append(members.Voters, info.Member)
	}
	slices.SortFunc(members.Voters, func(a, b raft.Member) int { return strings.Compare(a.Host, b.Host) })
	return members, all && members.Voters[0].ID == f.self.ID, false
}

// join asks every replica until the leader confirms that this one is a committed member.
func (f former) join(ctx context.Context) (raft.Members, bool) {
	for _, r := range f.cfg.Replicas {
		if r.Address == f.self.Address {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		ms, err := peer.Call[raft.Member, raft.Members](ctx, f.client, "http://"+r.Address+peer.PathJoin, f.token, f.self)
		cancel()
		if err == nil {
			f.log.Info("joined the group as a learner", "id", f.self.ID)
			return ms, true
		}
		f.log.Debug("not joined yet", "replica", r.Host, "error", err)
	}
	return raft.Members{}, false
}

func (f former) ask(ctx context.Context, address string) (replicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return peer.Call[struct{}, replicaInfo](ctx, f.client, "http://"+address+peer.PathReplica, f.token, struct{}{})
}

// members returns the member list of the disk, forming or joining the group if the disk is new.
func members(ctx context.Context, f former, s *store.Store, l store.Contents) (raft.Members, error) {
	if l.Identity.Members != nil {
		return *l.Identity.Members, nil
	}
	ms, err := f.form(ctx)
	if err != nil {
		return ms, err
	}
	l.Identity.Members = &ms
	return ms, errs.Wrap(s.SaveIdentity(l.Identity), "save members")
}
