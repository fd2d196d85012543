package raft

import "time"

// DisableVoteRefusal makes the replica grant votes even while a leader may hold a lease.
func (m *Machine) DisableVoteRefusal() {
	m.rules.refusesVote = func(*Machine, time.Duration) bool { return false }
}

// SetLeaseDuration replaces the duration of the leader lease.
func (m *Machine) SetLeaseDuration(d time.Duration) { m.rules.leaseDuration = d }

// AllowCommitOfAnyTerm makes the leader commit entries of any term by counting replicas.
func (m *Machine) AllowCommitOfAnyTerm() {
	m.rules.mayCommit = func(*Machine, uint64) bool { return true }
}

// SetMaxBatchEntries sets the maximum number of entries in an append message.
func (m *Machine) SetMaxBatchEntries(n uint64) { m.rules.maxBatchEntries = n }
