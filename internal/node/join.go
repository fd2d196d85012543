package node

import (
	"context"
	"net/http"
	"slices"

	"baobabreach/internal/config"
	"baobabreach/internal/raft"
	"baobabreach/pkg/proto"
)

type joinRequest struct {
	member raft.Member
	done   chan joinResult
}

type joinResult struct {
	members raft.Members
	err     error
}

// Join makes a replica with a new disk a learner and returns the member list once that is committed. Until then it
// returns an error and may be repeated.
func (n *Node) Join(ctx context.Context, m raft.Member) (raft.Members, error) {
	j := joinRequest{member: m, done: make(chan joinResult, 1)}
	select {
	case n.joining <- j:
	case <-ctx.Done():
		return raft.Members{}, ctx.Err()
	case <-n.stopped:
		return raft.Members{}, n.notLeader()
	}
	r := <-j.done
	return r.members, r.err
}

func (n *Node) join(j joinRequest) {
	ms, err := n.tryJoin(j.member)
	j.done <- joinResult{members: ms, err: err}
}

func (n *Node) tryJoin(m raft.Member) (raft.Members, error) {
	known := slices.Contains(n.cfg.Replicas, config.Replica{Host: m.Host, Address: m.Address})
	if m.ID == "" || !known {
		return raft.Members{}, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest,
			"host %s at %s is not one of the replicas in the settings", m.Host, m.Address)
	}
	now := n.cfg.Clock()
	if now >= n.raft.LeaseUntil() {
		return raft.Members{}, n.notLeader()
	}
	next, missing := n.raft.Members().WithLearner(m)
	if !missing && !n.raft.ChangePending() {
		return next, nil
	}
	if missing {
		if _, err := n.raft.ProposeMembers(now, next); err == nil {
			n.cfg.Log.Info("adding a learner", "member", m.Host, "id", m.ID)
		}
	}
	return raft.Members{}, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable,
		"the membership of host %s is not committed yet", m.Host)
}

// repair proposes the next change that replaces a lost disk: promote a synced learner, then remove the identity
// that the same host has lost.
func (n *Node) repair() {
	now := n.cfg.Clock()
	if now >= n.raft.LeaseUntil() || n.raft.ChangePending() {
		return
	}
	next, ok := n.raft.Members().NextRepair(n.raft.HasSynced)
	if !ok {
		return
	}
	if _, err := n.raft.ProposeMembers(now, next); err != nil {
		n.cfg.Log.Warn("member change refused", "error", err)
		return
	}
	n.cfg.Log.Info("changing members", "voters", ids(next.Voters), "learners", ids(next.Learners))
}

func ids(ms []raft.Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Host + "/" + m.ID
	}
	return out
}
