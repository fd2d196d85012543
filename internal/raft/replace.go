package raft

import "slices"

// Replacement holds the target size and the member states from which NextReplacement chooses a membership change.
type Replacement struct {
	// TargetVoters is the target number of voters.
	TargetVoters int
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
// needed. A learner is promoted before the lost voter is removed, so that no step reduces the number of log copies.
func (m Members) NextReplacement(r Replacement) (Members, bool) {
	if i := m.replacedVoter(); i >= 0 {
		return m.withoutVoter(i), true
	}
	lost := slices.IndexFunc(m.Voters, func(v Member) bool { return r.IsLost(v.ID) })
	if lost >= 0 && len(m.Voters) > r.TargetVoters && m.hasLiveMajorityWithout(lost, r.IsLive) {
		return m.withoutVoter(lost), true
	}
	for i, l := range m.Learners {
		needed := len(m.Voters) < r.TargetVoters || lost >= 0 && len(m.Voters) == r.TargetVoters || m.hasVoterOn(l.Host)
		if needed && r.HasSynced(l.ID) && r.IsLive(l.ID) {
			return Members{
				Voters: append(slices.Clone(m.Voters), l), Learners: slices.Delete(slices.Clone(m.Learners), i, i+1),
			}, true
		}
	}
	for i, l := range m.Learners {
		if r.IsGone(l.ID) {
			return Members{Voters: m.Voters, Learners: slices.Delete(slices.Clone(m.Learners), i, i+1)}, true
		}
	}
	return m, false
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
