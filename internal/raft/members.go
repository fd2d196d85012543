package raft

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotSynced is returned for a new voter that does not hold every committed entry yet.
var ErrNotSynced = errors.New("the new voter has not synced every committed entry")

// change is a member list together with the entry that carries it.
type change struct {
	index   uint64
	members Members
}

// Members returns the present member list.
func (m *Machine) Members() Members { return m.membersAt(m.lastIndex()) }

// recordChanges notes the member lists among entries, so that no append has to scan the log.
func (m *Machine) recordChanges(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembers && e.Members != nil {
			m.changes = append(m.changes, change{index: e.Index, members: *e.Members})
		}
	}
}

// dropChangesFrom forgets the lists carried by entries from index on, which are about to be replaced.
func (m *Machine) dropChangesFrom(index uint64) {
	for n := len(m.changes); n > 0 && m.changes[n-1].index >= index; n-- {
		m.changes = m.changes[:n-1]
	}
}

// membersAt returns the list in force after the entry at index. index must not be below the snapshot.
func (m *Machine) membersAt(index uint64) Members {
	for i := len(m.changes) - 1; i >= 0; i-- {
		if m.changes[i].index <= index {
			return m.changes[i].members
		}
	}
	return m.baseMembers
}

// ChangePending tells whether the newest member list is not committed yet.
func (m *Machine) ChangePending() bool {
	return len(m.changes) > 0 && m.changes[len(m.changes)-1].index > m.commit
}

// checkChange enforces one voter at a time, and that a new voter was a learner that holds every committed entry.
func (m *Machine) checkChange(next Members) error {
	now := m.Members()
	if len(next.Voters) == 0 {
		return errors.New("a group needs at least one voter")
	}
	seen := map[string]bool{}
	for _, v := range next.All() {
		if seen[v.ID] {
			return errors.Errorf("member %s occurs twice", v.ID)
		}
		seen[v.ID] = true
	}
	if voterDistance(now, next) > 1 {
		return errors.New("members must change by one voter at a time")
	}
	for _, v := range next.Voters {
		if !now.IsVoter(v.ID) && !m.HasSynced(v.ID) {
			return ErrNotSynced
		}
	}
	return nil
}

// HasSynced tells whether the member is known to hold every committed entry on disk; on the leader only.
func (m *Machine) HasSynced(id string) bool {
	_, known := m.Members().ByID(id)
	return m.HasCommittedInTerm() && known && m.MatchIndex(id) >= m.commit
}

// IsLive tells whether the member answered within the minimum election timeout; on the leader only.
func (m *Machine) IsLive(now time.Duration, id string) bool {
	if m.role != RoleLeader {
		return false
	}
	p := m.peers[id]
	return id == m.cfg.ID || (p != nil && p.ackedAt > 0 && now-p.ackedAt < m.cfg.ElectionMin)
}

func voterDistance(a, b Members) int {
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

// WithLearner returns the list with j as a learner. A learner of the same host is replaced: its disk is lost too.
// It returns false if j is a member already.
func (m Members) WithLearner(j Member) (Members, bool) {
	if _, ok := m.ByID(j.ID); ok {
		return m, false
	}
	ls := slices.DeleteFunc(slices.Clone(m.Learners), func(l Member) bool { return l.Host == j.Host })
	return Members{Voters: slices.Clone(m.Voters), Learners: append(ls, j)}, true
}

// WithoutHost returns the list without one member of the host, learners first so that none is promoted, or false if there
// is no such member or no voter would be left.
func (m Members) WithoutHost(host string) (Members, bool) {
	of := func(x Member) bool { return x.Host == host }
	if slices.ContainsFunc(m.Learners, of) {
		return Members{Voters: m.Voters, Learners: slices.DeleteFunc(slices.Clone(m.Learners), of)}, true
	}
	i := slices.IndexFunc(m.Voters, of)
	if i < 0 || len(m.Voters) == 1 {
		return m, false
	}
	return Members{Voters: slices.Delete(slices.Clone(m.Voters), i, i+1), Learners: m.Learners}, true
}

// NextRepair returns the list after the next single change that a repair needs, or false if none is due. A voter
// that shares its host with a later voter has lost its disk and is removed before anything else is changed.
// Otherwise a learner for which synced returns true is promoted.
func (m Members) NextRepair(synced func(id string) bool) (Members, bool) {
	if i := m.wiped(); i >= 0 {
		return m.withoutVoter(i), true
	}
	for i, l := range m.Learners {
		if synced(l.ID) {
			return Members{
				Voters:   append(slices.Clone(m.Voters), l),
				Learners: slices.Delete(slices.Clone(m.Learners), i, i+1),
			}, true
		}
	}
	return m, false
}
