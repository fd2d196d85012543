package node

import (
	"time"

	"baobabreach/internal/audit"
	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// recordDecisions records the planner's commands for the explain query. Whether they were applied shows only in the state.
func (n *Node) recordDecisions(commands []state.Command, s *model.State) {
	now := time.Now()
	recorded := 0
	for _, c := range commands {
		d, ok := decisionFor(c, s)
		if !ok {
			continue
		}
		n.cfg.Audit.Record(now, d)
		if recorded++; recorded <= maxLoggedDecisions {
			n.logDecision(d, s)
		}
	}
	if omitted := recorded - maxLoggedDecisions; omitted > 0 {
		n.cfg.Log.Info("further decisions of the batch are not logged", "count", omitted, "version", s.Version)
	}
}

// maxLoggedDecisions limits the log lines of one batch: a new service assigns hundreds of ranges at once.
const maxLoggedDecisions = 16

func (n *Node) logDecision(d audit.Decision, s *model.State) {
	attrs := []any{"version", s.Version, "service", d.Service, "upstream", d.Upstream, "reason", d.Reason}
	if i, ok := s.RangeByID(d.Range); ok {
		a := s.Ranges[i]
		attrs = append(attrs, "range", a.ID, "first", a.First/model.OrderedSpan, "last", a.Last/model.OrderedSpan,
			"epoch", a.Epoch, "from", a.Owner)
		if sequence, ok := n.givenBackIn(a); ok {
			attrs = append(attrs, "given_back_in", sequence)
		}
	}
	n.cfg.Log.Info(string(d.Kind), attrs...)
}

// givenBackIn returns the sequence number of the announcement by which the range was given back, or false.
func (n *Node) givenBackIn(a model.Assignment) (uint64, bool) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if n.planner == nil {
		return 0, false
	}
	return n.planner.GivenBackIn(a)
}

func decisionFor(c state.Command, s *model.State) (audit.Decision, bool) {
	switch {
	case c.Assign != nil:
		d := rangeDecision(s, c.Assign.Range)
		d.Kind, d.Upstream, d.Epoch = audit.KindAssign, c.Assign.Owner, c.Assign.Epoch
		d.Reason = "the range has no owner and this upstream owns the fewest ranges"
		return d, true
	case c.Release != nil:
		d := rangeDecision(s, c.Release.Range)
		d.Kind, d.Epoch = audit.KindRelease, c.Release.Epoch
		d.Reason = releaseReason(s, d.Upstream)
		return d, true
	case c.SplitInPlace != nil:
		d := rangeDecision(s, c.SplitInPlace.Range)
		d.Kind, d.Epoch = audit.KindSplit, c.SplitInPlace.Epoch
		d.Reason = "the range has too large a share of the load to be moved whole"
		return d, true
	case c.Renumber != nil:
		return audit.Decision{
			Kind: audit.KindRenumber, Service: s.Upstreams[c.Renumber.Owner].Service, Upstream: c.Renumber.Owner,
			Reason: "the upstream needs too many rows for its ranges",
		}, true
	case c.Leave != nil:
		return audit.Decision{
			Kind: audit.KindLeave, Service: s.Upstreams[c.Leave.Name].Service, Upstream: c.Leave.Name,
			Reason: "the upstream announced that it leaves",
		}, true
	case c.End != nil:
		return audit.Decision{
			Kind: audit.KindLeave, Service: s.Upstreams[c.End.Name].Service, Upstream: c.End.Name,
			Reason: "the upstream left, or another one started at its address; its late announcements are refused",
		}, true
	case c.Register != nil:
		return audit.Decision{
			Kind: audit.KindRegister, Service: c.Register.Service, Upstream: c.Register.Name, Reason: "the upstream announced itself",
		}, true
	case c.Remove != nil:
		return audit.Decision{
			Kind: audit.KindRemove, Service: s.Upstreams[c.Remove.Name].Service, Upstream: c.Remove.Name,
			Reason: "the upstream's last grant has ended without a new announcement",
		}, true
	}
	return audit.Decision{}, false
}

func rangeDecision(s *model.State, id uint64) audit.Decision {
	d := audit.Decision{Range: id}
	if i, ok := s.RangeByID(id); ok {
		d.Service, d.Upstream = s.Ranges[i].Service, s.Ranges[i].Owner
	}
	return d
}

func releaseReason(s *model.State, owner string) string {
	switch {
	case s.Drained[owner]:
		return "an operator drained the owner"
	case s.StoppedDCs[s.Upstreams[owner].DataCentre]:
		return "an operator stopped the owner's data centre"
	}
	return "the owner is leaving, or has more load or ranges than another upstream"
}
