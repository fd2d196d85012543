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
}

// former finds the first members of the group. A group forms only when every replica of the settings is present
// with an empty disk, so a lost disk can't form a second group.
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
		if ms, ok := f.look(ctx); ok {
			return ms, nil
		}
		select {
		case <-ctx.Done():
			return raft.Members{}, errors.Wrap(ctx.Err(), "form group")
		case <-t.C:
		}
	}
}

func (f former) look(ctx context.Context) (raft.Members, bool) {
	members := raft.Members{Voters: []raft.Member{f.self}}
	for _, r := range f.cfg.Replicas {
		if r.Host == f.cfg.Host {
			continue
		}
		info, err := f.ask(ctx, r.Address)
		if err != nil {
			return raft.Members{}, false
		}
		if info.Members != nil {
			return *info.Members, info.Members.IsVoter(f.self.ID)
		}
		members.Voters = append(members.Voters, info.Member)
	}
	slices.SortFunc(members.Voters, func(a, b raft.Member) int { return strings.Compare(a.Host, b.Host) })
	return members, true
}

func (f former) ask(ctx context.Context, address string) (replicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return peer.Call[struct{}, replicaInfo](ctx, f.client, "http://"+address+peer.PathReplica, f.token, struct{}{})
}

// members returns the first member list of the disk, forming the group if the disk is new.
func members(ctx context.Context, f former, s *store.Store, l store.Loaded) (raft.Members, error) {
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
