package raft

import "slices"

// Replacement holds the target size and the member states from which NextReplacement chooses a membership change.
type Replacement struct {
	// TargetVoters is the target number of voters.
	TargetVoters int
	// Leader is the ID of the leader, which is never removed to spread the voters.
	Leader string
	// HasSynced reports whether a learner has every committed entry.
	HasSynced func(id string) bool
	// IsLive reports whether a member currently responds.
	IsLive func(id string) bool
	// IsLost reports whether a voter has been unresponsive for long enough to be replaced by a learner.
	IsLost func(id string) bool
	// IsGone reports whether a learner has been unresponsive for long enough to be removed.
	IsGone func(id string) bool
}

// NextReplacement returns the list after the next single membership change that restores the group, or false if none is
// needed. A learner is promoted before the lost voter is removed, so that no step reduces the number of log copies. Voters
// are spread evenly over the data centres, so that the loss of one leaves a majority.
func (m Members) NextReplacement(r Replacement) (Members, bool) {
	if i := m.replacedVoter(); i >= 0 {
		return m.withoutVoter(i), true
	}
	lost := slices.IndexFunc(m.Voters, func(v Member) bool { return r.IsLost(v.ID) })
	if surplus := m.surplusVoter(r, lost); surplus >= 0 && m.hasLiveMajorityWithout(surplus, r.IsLive) {
		return m.withoutVoter(surplus), true
	}
	if i := m.learnerToPromote(r, lost); i >= 0 {
		return Members{
			Voters: append(slices.Clone(m.Voters), m.Learners[i]), Learners: slices.Delete(slices.Clone(m.Learners), i, i+1),
		}, true
	}
	for i, l := range m.Learners {
		if r.IsGone(l.ID) {
			return Members{Voters: m.Voters, Learners: slices.Delete(slices.Clone(m.Learners), i, i+1)}, true
		}
	}
	return m, false
}

// surplusVoter returns the index of the voter to remove if there are more than the target: the lost one, or else one of
// the data centre with the most voters. It returns -1 if there is none.
func (m Members) surplusVoter(r Replacement, lost int) int {
	if len(m.Voters) <= r.TargetVoters {
		return -1
	}
	if lost >= 0 {
		return lost
	}
	crowded := -1
	for i, v := range m.Voters {
		if v.ID != r.Leader && (crowded < 0 || m.votersIn(v.DataCentre) > m.votersIn(m.Voters[crowded].DataCentre)) {
			crowded = i
		}
	}
	return crowded
}

// learnerToPromote returns the index of the learner that the group needs as a voter, in the data centre with the fewest
// voters, or -1 if it needs none.
func (m Members) learnerToPromote(r Replacement, lost int) int {
	best := -1
	for i, l := range m.Learners {
		needed := len(m.Voters) < r.TargetVoters || lost >= 0 && len(m.Voters) == r.TargetVoters || m.hasVoterOn(l.Host) ||
			m.improvesSpread(r, l)
		if !needed || !r.HasSynced(l.ID) || !r.IsLive(l.ID) {
			continue
		}
		if best < 0 || m.votersIn(l.DataCentre) < m.votersIn(m.Learners[best].DataCentre) {
			best = i
		}
	}
	return best
}

// improvesSpread reports whether replacing a voter of another data centre by the learner would make the voters more evenly
// spread.
func (m Members) improvesSpread(r Replacement, l Member) bool {
	return len(m.Voters) == r.TargetVoters && l.DataCentre != "" && slices.ContainsFunc(m.Voters, func(v Member) bool {
		return v.ID != r.Leader && m.votersIn(v.DataCentre) > m.votersIn(l.DataCentre)+1
	})
}

func (m Members) votersIn(dataCentre string) int {
	n := 0
	for _, v := range m.Voters {
		if v.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// replacedVoter returns the index of a voter whose host has a later voter with another disk, or -1 if there is none.
func (m Members) replacedVoter() int {
	for i, v := range m.Voters {
		if slices.ContainsFunc(m.Voters[i+1:], func(w Member) bool { return w.Host == v.Host }) {
			return i
		}
	}
	return -1
}

func (m Members) hasVoterOn(host string) bool {
	return slices.ContainsFunc(m.Voters, func(v Member) bool { return v.Host == host })
}

func (m Members) withoutVoter(i int) Members {
	return Members{Voters: slices.Delete(slices.Clone(m.Voters), i, i+1), Learners: m.Learners}
}

// hasLiveMajorityWithout reports whether a majority of the voters other than the one at i is live.
func (m Members) hasLiveMajorityWithout(i int, live func(id string) bool) bool {
	n := 0
	for _, v := range m.withoutVoter(i).Voters {
		if live(v.ID) {
			n++
		}
	}
	return n > (len(m.Voters)-1)/2
}
