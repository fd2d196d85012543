package raft

import "time"

// DisableVoteRefusal grants votes while a leader may hold a lease.
func (m *Machine) DisableVoteRefusal() {
	m.rules.refusesVote = func(*Machine, time.Duration) bool { return false }
}

// SetLeaseDuration replaces the length of the leader lease.
func (m *Machine) SetLeaseDuration(d time.Duration) { m.rules.leaseDuration = d }

// AllowCommitOfAnyTerm commits entries of any term by counting replicas.
func (m *Machine) AllowCommitOfAnyTerm() {
	m.rules.mayCommit = func(*Machine, uint64) bool { return true }
}

// SetMaxBatchEntries bounds the entries in one message.
func (m *Machine) SetMaxBatchEntries(n uint64) { m.rules.maxBatchEntries = n }
