package node

import (
	"context"

	"baobabreach/internal/model"
	"baobabreach/internal/owner"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// Overview is the leader's view of the fleet.
type Overview struct {
	State *model.State       `json:"state"`
	Hosts []owner.HostStatus `json:"hosts"`
	// Live holds the upstreams whose grant has not expired; the value is true for those that are draining themselves.
	Live map[string]bool `json:"live"`
}

// Overview returns the leader's view of the fleet. On other replicas the error has the code not_leader.
func (n *Node) Overview() (Overview, error) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	now := n.cfg.Clock()
	if n.planner == nil || !n.holdsLease(now) {
		return Overview{}, n.notLeader()
	}
	return Overview{State: n.model.Load(), Hosts: n.planner.Hosts(now), Live: n.planner.LiveUpstreams(now)}, nil
}

// ProposeIntent commits a command of an operator. An error with the code not_leader means that the command was not
// appended to the log. After any other error it may still be committed, so its outcome is unknown.
func (n *Node) ProposeIntent(ctx context.Context, c state.Command) (state.Result, error) {
	if !n.holdsLease(n.cfg.Clock()) {
		return state.Result{}, n.notLeader()
	}
	results, err := n.Propose(ctx, []state.Command{c})
	if err != nil {
		return state.Result{}, proto.Unknown(proto.CodeNoLeader,
			"the leader lost its majority before the command was committed: %v", err)
	}
	return results[0], nil
}
