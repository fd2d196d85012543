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
	// Live holds the upstreams whose grant has not ended; true for those that are draining themselves.
	Live map[string]bool `json:"live"`
}

// Overview returns the leader's view. On any other replica the error has the code not_leader.
func (n *Node) Overview() (Overview, error) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	now := n.cfg.Clock()
	if n.planner == nil || !n.leads(now) {
		return Overview{}, n.notLeader()
	}
	return Overview{State: n.model.Load(), Hosts: n.planner.Hosts(now), Live: n.planner.LiveUpstreams(now)}, nil
}

// ProposeIntent commits a command of an operator. An error with the code not_leader means that the command was not
// appended to the log; after any other error it may still be committed, so the outcome is unknown.
func (n *Node) ProposeIntent(ctx context.Context, c state.Command) (state.Result, error) {
	if !n.leads(n.cfg.Clock()) {
		return state.Result{}, n.notLeader()
	}
	rs, err := n.Propose(ctx, []state.Command{c})
	if err != nil {
		return state.Result{}, proto.Unknown(proto.CodeNoLeader,
			"the leader lost its majority before the command was committed: %v", err)
	}
	return rs[0], nil
}
