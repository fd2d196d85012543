package raft

import "time"

// WithoutSticky grants votes while a leader may hold a lease.
func (m *Machine) WithoutSticky() {
	m.rules.refuses = func(*Machine, time.Duration) bool { return false }
}

// WithLease replaces the length of the leader lease.
func (m *Machine) WithLease(d time.Duration) { m.rules.leaseLength = d }

// WithAnyTerm commits entries of any term by counting replicas.
func (m *Machine) WithAnyTerm() { m.rules.commits = func(*Machine, uint64) bool { return true } }

// WithBatch bounds the entries in one message.
func (m *Machine) WithBatch(n uint64) { m.rules.batch = n }
