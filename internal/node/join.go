package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/model"
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
	known := n.cfg.Voters > 0 || slices.Contains(n.cfg.Replicas, config.Replica{Host: m.Host, Address: m.Address})
	if m.ID == "" || !known {
		return raft.Members{}, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest,
			"host %s at %s is not one of the replicas in the settings", m.Host, m.Address)
	}
	now := n.cfg.Clock()
	if now >= n.raft.LeaseUntil() {
		return raft.Members{}, n.notLeader()
	}
	if n.state.Model().RemovedReplicas[m.Host] {
		return raft.Members{}, proto.NotRun(proto.CodeConflict, http.StatusConflict,
			"the replica of host %s was removed by an operator", m.Host)
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

// repair proposes the next change of members: it removes the replicas that operators removed, and replaces lost disks:
// promote a synced learner, then remove the identity that the same host has lost.
func (n *Node) repair() {
	now := n.cfg.Clock()
	if now >= n.raft.LeaseUntil() || n.raft.ChangePending() {
		return
	}
	next, ok := n.nextRemoval(now)
	switch {
	case ok:
	case n.cfg.Voters > 0:
		n.silent.observe(now, n.raft)
		next, ok = n.raft.Members().NextReplacement(raft.Replacement{
			TargetVoters: n.cfg.Voters, HasSynced: n.mayPromote,
			IsLive: func(id string) bool { return n.raft.IsLive(now, id) },
			IsLost: func(id string) bool { return n.silent.longer(now, id, VoterLostAfter) },
			IsGone: func(id string) bool { return n.silent.longer(now, id, LearnerGoneAfter) },
		})
	default:
		next, ok = n.raft.Members().NextRepair(n.mayPromote)
	}
	if !ok {
		return
	}
	if _, err := n.raft.ProposeMembers(now, next); err != nil {
		n.cfg.Log.Warn("member change refused", "error", err)
		return
	}
	n.cfg.Log.Info("changing members", "voters", ids(next.Voters), "learners", ids(next.Learners))
}

// Times of silence towards the leader. A replica that restarts is back within a second or two; within four seconds after
// a lost one was replaced, another loss must be survived.
const (
	VoterLostAfter   = 1500 * time.Millisecond
	LearnerGoneAfter = 10 * time.Second
)

// silences notes since when members have not answered the leader.
type silences struct {
	term  uint64
	since map[string]time.Duration
}

func (s *silences) observe(now time.Duration, m *raft.Machine) {
	if s.term != m.Term() || s.since == nil {
		s.term, s.since = m.Term(), map[string]time.Duration{}
	}
	for _, x := range m.Members().All() {
		_, silent := s.since[x.ID]
		switch live := m.IsLive(now, x.ID); {
		case live:
			delete(s.since, x.ID)
		case !silent:
			s.since[x.ID] = now
		}
	}
}

func (s *silences) longer(now time.Duration, id string, d time.Duration) bool {
	since, ok := s.since[id]
	return ok && now-since >= d
}

// nextRemoval returns the list without one member of a host that an operator removed. A list whose voters the leader
// does not reach is never proposed: it would be in force at once and could not be committed.
func (n *Node) nextRemoval(now time.Duration) (raft.Members, bool) {
	removed := n.state.Model().RemovedReplicas
	for _, m := range n.raft.Members().All() {
		if !removed[m.Host] {
			continue
		}
		next, ok := n.raft.Members().WithoutHost(m.Host)
		live := 0
		for _, v := range next.Voters {
			if n.raft.IsLive(now, v.ID) {
				live++
			}
		}
		if ok && live > len(next.Voters)/2 {
			return next, true
		}
	}
	return raft.Members{}, false
}

func (n *Node) mayPromote(id string) bool {
	m, _ := n.raft.Members().ByID(id)
	return !n.state.Model().RemovedReplicas[m.Host] && n.raft.HasSynced(id)
}

// group returns the leader's view of the group: all members, and the hosts of the settings without one. It returns nil
// on other replicas.
func (n *Node) group(now time.Duration) []model.Member {
	if !n.raft.HasCommittedInTerm() {
		return nil
	}
	ms := n.raft.Members()
	var out []model.Member
	for _, m := range ms.All() {
		x := model.Member{
			Host: m.Host, ID: m.ID, Role: model.RoleLearner, Live: n.raft.IsLive(now, m.ID), Leader: m.ID == n.cfg.Self.ID,
			Synced: n.raft.MatchIndex(m.ID),
		}
		if ms.IsVoter(m.ID) {
			x.Role = model.RoleVoter
		}
		out = append(out, x)
	}
	for _, r := range n.cfg.Replicas {
		if !slices.ContainsFunc(out, func(m model.Member) bool { return m.Host == r.Host }) {
			out = append(out, model.Member{Host: r.Host, Role: model.RoleNone})
		}
	}
	return out
}

func ids(ms []raft.Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Host + "/" + m.ID
	}
	return out
}
