package raft

import "slices"

// Replacement tells what a group that repairs itself needs to know of its members.
type Replacement struct {
	// TargetVoters is the number of voters to keep.
	TargetVoters int
	// HasSynced tells whether a learner holds every committed entry.
	HasSynced func(id string) bool
	// IsLive tells whether a member answers at present.
	IsLive func(id string) bool
	// IsLost tells whether a voter has been silent for so long that a spare takes its place.
	IsLost func(id string) bool
	// IsGone tells whether a learner has been silent for so long that it is forgotten.
	IsGone func(id string) bool
}

// NextReplacement returns the list after the next single change that restores the group, or false if none is due. A
// spare is promoted before the lost voter is removed, so that no step leaves fewer copies of the log.
func (m Members) NextReplacement(r Replacement) (Members, bool) {
	if i := m.wiped(); i >= 0 {
		return m.withoutVoter(i), true
	}
	lost := slices.IndexFunc(m.Voters, func(v Member) bool { return r.IsLost(v.ID) })
	if lost >= 0 && len(m.Voters) > r.TargetVoters && m.survives(lost, r.IsLive) {
		return m.withoutVoter(lost), true
	}
	for i, l := range m.Learners {
		needed := len(m.Voters) < r.TargetVoters || lost >= 0 && len(m.Voters) == r.TargetVoters || m.hostVotes(l.Host)
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

// wiped returns the index of a voter whose host came back with another disk that votes, or -1.
func (m Members) wiped() int {
	for i, v := range m.Voters {
		if slices.ContainsFunc(m.Voters[i+1:], func(w Member) bool { return w.Host == v.Host }) {
			return i
		}
	}
	return -1
}

func (m Members) hostVotes(host string) bool {
	return slices.ContainsFunc(m.Voters, func(v Member) bool { return v.Host == host })
}

func (m Members) withoutVoter(i int) Members {
	return Members{Voters: slices.Delete(slices.Clone(m.Voters), i, i+1), Learners: m.Learners}
}

// survives tells whether a majority of the voters without the one at i is live.
func (m Members) survives(i int, live func(id string) bool) bool {
	n := 0
	for _, v := range m.withoutVoter(i).Voters {
		if live(v.ID) {
			n++
		}
	}
	return n > (len(m.Voters)-1)/2
}
