package raft

import "slices"

// Replacement tells what a group that repairs itself needs to know of its members.
type Replacement struct {
	// Voters is the number of voters to keep.
	Voters int
	// Ready tells whether a learner holds every committed entry.
	Ready func(id string) bool
	// Live tells whether a member answers at present.
	Live func(id string) bool
	// Lost tells whether a voter has been silent for so long that a spare takes its place.
	Lost func(id string) bool
	// Gone tells whether a learner has been silent for so long that it is forgotten.
	Gone func(id string) bool
}

// NextReplacement returns the list after the next single change that restores the group, or false if none is due. A
// spare is promoted before the lost voter is removed, so that no step leaves fewer copies of the log.
func (m Members) NextReplacement(r Replacement) (Members, bool) {
	if i := m.replacedVoter(); i >= 0 {
		return m.withoutVoter(i), true
	}
	lost := slices.IndexFunc(m.Voters, func(v Member) bool { return r.Lost(v.ID) })
	if lost >= 0 && len(m.Voters) > r.Voters && m.hasLiveMajorityWithout(lost, r.Live) {
		return m.withoutVoter(lost), true
	}
	for i, l := range m.Learners {
		needed := len(m.Voters) < r.Voters || lost >= 0 && len(m.Voters) == r.Voters || m.hasVoterOn(l.Host)
		if needed && r.Ready(l.ID) && r.Live(l.ID) {
			return Members{
				Voters: append(slices.Clone(m.Voters), l), Learners: slices.Delete(slices.Clone(m.Learners), i, i+1),
			}, true
		}
	}
	for i, l := range m.Learners {
		if r.Gone(l.ID) {
			return Members{Voters: m.Voters, Learners: slices.Delete(slices.Clone(m.Learners), i, i+1)}, true
		}
	}
	return m, false
}

// replacedVoter returns the index of a voter whose host came back with another disk that votes, or -1.
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

// hasLiveMajorityWithout tells whether a majority of the voters without the one at i is live.
func (m Members) hasLiveMajorityWithout(i int, live func(id string) bool) bool {
	n := 0
	for _, v := range m.withoutVoter(i).Voters {
		if live(v.ID) {
			n++
		}
	}
	return n > (len(m.Voters)-1)/2
}
