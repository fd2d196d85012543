package raft

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotSynced is returned if a new voter has not synced every committed entry.
var ErrNotSynced = errors.New("the new voter has not synced every committed entry")

// memberChange is a member list and the index of its log entry.
type memberChange struct {
	index   uint64
	members Members
}

// Members returns the current member list, which may be uncommitted.
func (m *Machine) Members() Members { return m.membersAt(m.lastIndex()) }

// recordMemberChanges adds the member lists in entries to memberChanges, so that appends don't have to scan the log.
func (m *Machine) recordMemberChanges(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembers && e.Members != nil {
			m.memberChanges = append(m.memberChanges, memberChange{index: e.Index, members: *e.Members})
		}
	}
}

// truncateMemberChanges removes the member lists of the entries from index on, which are about to be replaced.
func (m *Machine) truncateMemberChanges(index uint64) {
	for n := len(m.memberChanges); n > 0 && m.memberChanges[n-1].index >= index; n-- {
		m.memberChanges = m.memberChanges[:n-1]
	}
}

// membersAt returns the member list in force after the entry at index. index must not be below the snapshot.
func (m *Machine) membersAt(index uint64) Members {
	for i := len(m.memberChanges) - 1; i >= 0; i-- {
		if m.memberChanges[i].index <= index {
			return m.memberChanges[i].members
		}
	}
	return m.baseMembers
}

// MemberChangePending reports whether the latest member list is not committed yet.
func (m *Machine) MemberChangePending() bool {
	return len(m.memberChanges) > 0 && m.memberChanges[len(m.memberChanges)-1].index > m.commitIndex
}

// validateChange checks that at most one voter changes, and that a new voter is a learner that has synced every
// committed entry.
func (m *Machine) validateChange(next Members) error {
	current := m.Members()
	if len(next.Voters) == 0 {
		return errors.New("a member list needs at least one voter")
	}
	seen := map[string]bool{}
	for _, v := range next.All() {
		if seen[v.ID] {
			return errors.Errorf("member %s is listed twice", v.ID)
		}
		seen[v.ID] = true
	}
	if countVoterChanges(current, next) > 1 {
		return errors.New("a membership change may add or remove at most one voter")
	}
	for _, v := range next.Voters {
		if !current.IsVoter(v.ID) && !m.HasSynced(v.ID) {
			return ErrNotSynced
		}
	}
	return nil
}

// HasSynced reports whether the member is known to have every committed entry on disk. It is always false on a replica
// that is not the leader.
func (m *Machine) HasSynced(id string) bool {
	_, known := m.Members().ByID(id)
	return m.HasCommittedInTerm() && known && m.MatchIndex(id) >= m.commitIndex
}

// IsLive reports whether the member has replied within the minimum election timeout. The leader itself is always live. On
// a replica that is not the leader, IsLive always returns false.
func (m *Machine) IsLive(now time.Duration, id string) bool {
	if m.role != RoleLeader {
		return false
	}
	p := m.peers[id]
	return id == m.cfg.ID || (p != nil && p.ackedSentAt > 0 && now-p.ackedSentAt < m.cfg.ElectionMin)
}

func countVoterChanges(a, b Members) int {
	n := 0
	for _, v := range a.Voters {
		if !b.IsVoter(v.ID) {
			n++
		}
	}
	for _, v := range b.Voters {
		if !a.IsVoter(v.ID) {
			n++
		}
	}
	return n
}

// WithLearner returns the list with an added learner. It replaces a learner on the same host, whose disk is lost as well.
// It returns false if the learner is already a member.
func (m Members) WithLearner(learner Member) (Members, bool) {
	if _, ok := m.ByID(learner.ID); ok {
		return m, false
	}
	learners := slices.DeleteFunc(slices.Clone(m.Learners), func(l Member) bool { return l.Host == learner.Host })
	return Members{Voters: slices.Clone(m.Voters), Learners: append(learners, learner)}, true
}

// WithoutHost returns the list without the learners of the host or, if it has none, without its first voter. Learners are
// removed first so that they are not promoted. It returns false if the host has no member or no voter would be left.
func (m Members) WithoutHost(host string) (Members, bool) {
	onHost := func(x Member) bool { return x.Host == host }
	if slices.ContainsFunc(m.Learners, onHost) {
		return Members{Voters: m.Voters, Learners: slices.DeleteFunc(slices.Clone(m.Learners), onHost)}, true
	}
	i := slices.IndexFunc(m.Voters, onHost)
	if i < 0 || len(m.Voters) == 1 {
		return m, false
	}
	return Members{Voters: slices.Delete(slices.Clone(m.Voters), i, i+1), Learners: m.Learners}, true
}

// NextRepair returns the list after the next single membership change that repairs the group, or false if none is
// needed. A voter that shares its host with a later voter has lost its disk and is removed first. Otherwise, a learner
// for which isSynced returns true is promoted.
func (m Members) NextRepair(isSynced func(id string) bool) (Members, bool) {
	if i := m.replacedVoter(); i >= 0 {
		return m.withoutVoter(i), true
	}
	for i, l := range m.Learners {
		if isSynced(l.ID) {
			return Members{
				Voters:   append(slices.Clone(m.Voters), l),
				Learners: slices.Delete(slices.Clone(m.Learners), i, i+1),
			}, true
		}
	}
	return m, false
}
