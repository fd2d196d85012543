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

// Join adds a replica with a new disk as a learner. It returns an error until the change is committed, and may be called
// again; after that it returns the member list.
func (n *Node) Join(ctx context.Context, m raft.Member) (raft.Members, error) {
	j := joinRequest{member: m, done: make(chan joinResult, 1)}
	select {
	case n.joins <- j:
	case <-ctx.Done():
		return raft.Members{}, ctx.Err()
	case <-n.stopped:
		return raft.Members{}, n.notLeader()
	}
	r := <-j.done
	return r.members, r.err
}

func (n *Node) join(j joinRequest) {
	members, err := n.tryJoin(j.member)
	j.done <- joinResult{members: members, err: err}
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
	if !missing && !n.raft.MemberChangePending() {
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

// repairMembers proposes the next membership change. It removes replicas that operators removed, and replaces lost
// disks: it promotes a synced learner, then removes the identity that the same host has lost.
func (n *Node) repairMembers() {
	now := n.cfg.Clock()
	if now >= n.raft.LeaseUntil() || n.raft.MemberChangePending() {
		return
	}
	next, ok := n.nextRemoval(now)
	switch {
	case ok:
	case n.cfg.Voters > 0:
		n.liveness.update(now, n.raft)
		next, ok = n.raft.Members().NextReplacement(raft.Replacement{
			TargetVoters: n.cfg.Voters, Leader: n.cfg.Self.ID, HasSynced: n.canPromote,
			IsLive: func(id string) bool { return n.raft.IsLive(now, id) },
			IsLost: func(id string) bool { return n.liveness.downFor(now, id, VoterLostTimeout) },
			IsGone: func(id string) bool { return n.liveness.downFor(now, id, LearnerGoneTimeout) },
		})
	default:
		next, ok = n.raft.Members().NextRepair(n.canPromote)
	}
	if !ok {
		return
	}
	if _, err := n.raft.ProposeMembers(now, next); err != nil {
		n.cfg.Log.Warn("membership change rejected", "error", err)
		return
	}
	n.cfg.Log.Info("changing members", "voters", memberNames(next.Voters), "learners", memberNames(next.Learners))
}

// Times without contact to the leader after which a member is replaced or removed. A replica that restarts is back
// within one or two seconds. The group must survive another loss within four seconds after a lost replica was replaced.
const (
	VoterLostTimeout   = 1500 * time.Millisecond
	LearnerGoneTimeout = 10 * time.Second
)

// livenessTracker records since when members have not replied to the leader.
type livenessTracker struct {
	term      uint64
	downSince map[string]time.Duration
}

func (t *livenessTracker) update(now time.Duration, m *raft.Machine) {
	if t.term != m.Term() || t.downSince == nil {
		t.term, t.downSince = m.Term(), map[string]time.Duration{}
	}
	for _, member := range m.Members().All() {
		_, down := t.downSince[member.ID]
		switch live := m.IsLive(now, member.ID); {
		case live:
			delete(t.downSince, member.ID)
		case !down:
			t.downSince[member.ID] = now
		}
	}
}

func (t *livenessTracker) downFor(now time.Duration, id string, d time.Duration) bool {
	since, ok := t.downSince[id]
	return ok && now-since >= d
}

// nextRemoval returns the member list without one member of a host that operators removed. It never returns a list of
// which the leader reaches no majority of voters: such a list would take effect at once and could not be committed.
func (n *Node) nextRemoval(now time.Duration) (raft.Members, bool) {
	removed := n.state.Model().RemovedReplicas
	for _, member := range n.raft.Members().All() {
		if !removed[member.Host] {
			continue
		}
		next, ok := n.raft.Members().WithoutHost(member.Host)
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

func (n *Node) canPromote(id string) bool {
	m, _ := n.raft.Members().ByID(id)
	return !n.state.Model().RemovedReplicas[m.Host] && n.raft.HasSynced(id)
}

// groupMembers returns the leader's view of the group: all members, and the hosts in the settings that have none. It
// returns nil on other replicas.
func (n *Node) groupMembers(now time.Duration) []model.Member {
	if !n.raft.HasCommittedInTerm() {
		return nil
	}
	members := n.raft.Members()
	var out []model.Member
	for _, m := range members.All() {
		member := model.Member{
			Host: m.Host, ID: m.ID, Role: model.RoleLearner, Live: n.raft.IsLive(now, m.ID), Leader: m.ID == n.cfg.Self.ID,
			Synced: n.raft.MatchIndex(m.ID),
		}
		if members.IsVoter(m.ID) {
			member.Role = model.RoleVoter
		}
		out = append(out, member)
	}
	for _, replica := range n.cfg.Replicas {
		if !slices.ContainsFunc(out, func(m model.Member) bool { return m.Host == replica.Host }) {
			out = append(out, model.Member{Host: replica.Host, Role: model.RoleNone})
		}
	}
	return out
}

func memberNames(members []raft.Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Host + "/" + m.ID
	}
	return out
}
