// Package audit records the most recent decisions of one daemon, so that operators can find out why a request, a key or
// an upstream was handled in a certain way.
package audit

import (
	"strconv"
	"sync"
	"time"

	"baobabreach/pkg/proto"
)

// DefaultSize is the number of decisions that a daemon retains. They take at most 4 MB with keys of the maximum size.
const DefaultSize = 4096

// Kind is the type of a decision.
type Kind string

// Kinds of decisions.
const (
	// KindRouted is a request to which an upstream responded.
	KindRouted Kind = "routed"
	// KindRefused is a request to which the daemon responded with an error.
	KindRefused Kind = "refused"
	// KindQuarantined is a request that the daemon refused because it crashes upstreams.
	KindQuarantined Kind = "quarantined"
	// KindAssign and KindRelease are the two steps of moving a range, recorded when the leader proposes them.
	KindAssign  Kind = "assign"
	KindRelease Kind = "release"
	// KindRegister and KindRemove add and remove an upstream, recorded when the leader proposes them.
	KindRegister Kind = "register"
	KindRemove   Kind = "remove"
	// KindLeave marks an upstream as leaving. KindSplit splits a range without moving it.
	KindLeave Kind = "leave"
	KindSplit Kind = "cut"
	// KindRenumber gives ranges of an upstream a new epoch without moving them.
	KindRenumber Kind = "renumber"
)

// Decision is an entry of the audit log. Fields that its kind does not use are empty.
type Decision struct {
	// AtMs is the wall clock time in milliseconds since the Unix epoch.
	AtMs      int64         `json:"at_ms"`
	Host      string        `json:"host"`
	Kind      Kind          `json:"kind"`
	Service   string        `json:"service,omitempty"`
	Key       string        `json:"key,omitempty"`
	RequestID string        `json:"request_id,omitempty"`
	Upstream  string        `json:"upstream,omitempty"`
	Range     uint64        `json:"range,omitempty"`
	Epoch     uint64        `json:"epoch,omitempty"`
	Code      proto.Code    `json:"code,omitempty"`
	Outcome   proto.Outcome `json:"outcome,omitempty"`
	Reason    string        `json:"reason,omitempty"`
}

// Ring is a ring buffer of the most recent decisions with an index for queries. It is safe for concurrent use. A nil
// Ring records nothing.
type Ring struct {
	host string

	mu        sync.Mutex
	decisions []Decision
	// next is the sequence number of the next decision, counted from 0. Decision n is stored at n modulo the size.
	next uint64
	// index maps each term to the sequence numbers of the retained decisions that have it, oldest first.
	index map[string][]uint64
	rates map[string]*rateCounter
}

// New returns an empty ring for the decisions of a host. size must be positive.
func New(host string, size int) *Ring {
	return &Ring{
		host: host, decisions: make([]Decision, size), index: map[string][]uint64{}, rates: map[string]*rateCounter{},
	}
}

// Record adds a decision made at the time now and evicts the oldest one if the ring is full.
func (r *Ring) Record(now time.Time, d Decision) {
	if r == nil {
		return
	}
	d.AtMs, d.Host = now.UnixMilli(), r.host
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := r.next % uint64(len(r.decisions))
	if r.next >= uint64(len(r.decisions)) {
		r.removeFromIndex(r.decisions[slot])
	}
	r.decisions[slot] = d
	for _, t := range indexTerms(d) {
		r.index[t] = append(r.index[t], r.next)
	}
	r.next++
	if d.RequestID != "" && d.Service != "" {
		r.countRequest(now, d.Service)
	}
}

// removeFromIndex removes the oldest decision d from the index. Its number is the first one listed under each of its
// terms.
func (r *Ring) removeFromIndex(d Decision) {
	for _, t := range indexTerms(d) {
		if len(r.index[t]) <= 1 {
			delete(r.index, t)
			continue
		}
		r.index[t] = r.index[t][1:]
	}
}

// Query selects decisions by exactly one of RequestID, Upstream, and Service with Key or Range.
type Query struct {
	RequestID string `json:"request_id,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Service   string `json:"service,omitempty"`
	Key       string `json:"key,omitempty"`
	// Range adds the decisions that assign, release or split the range to those about Key.
	Range uint64 `json:"range,omitempty"`
	// Limit is the maximum number of decisions to return.
	Limit int `json:"limit"`
}

// Find returns the most recent matching decisions, newest first. It merges the index lists of all terms of the query and
// returns a decision that several of them contain only once.
func (r *Ring) Find(q Query) []Decision {
	out := []Decision{}
	if r == nil {
		return out
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var postings [][]uint64
	for _, t := range indexTerms(Decision{
		RequestID: q.RequestID, Upstream: q.Upstream, Service: q.Service, Key: q.Key, Range: q.Range,
	}) {
		postings = append(postings, r.index[t])
	}
	for len(out) < q.Limit {
		newest, found := 0, false
		for i, l := range postings {
			if len(l) > 0 && (!found || l[len(l)-1] > postings[newest][len(postings[newest])-1]) {
				newest, found = i, true
			}
		}
		if !found {
			break
		}
		number := postings[newest][len(postings[newest])-1]
		for i, l := range postings {
			if len(l) > 0 && l[len(l)-1] == number {
				postings[i] = l[:len(l)-1]
			}
		}
		out = append(out, r.decisions[number%uint64(len(r.decisions))])
	}
	return out
}

// indexTerms returns the distinct terms under which a decision is indexed. Requests are not indexed by range: they
// can be found by key, and those of a whole range would displace its moves and splits from a limited result.
func indexTerms(d Decision) []string {
	var out []string
	if d.RequestID != "" {
		out = append(out, "request "+d.RequestID)
	}
	if d.Upstream != "" {
		out = append(out, "upstream "+d.Upstream)
	}
	if d.Key != "" {
		out = append(out, "key "+d.Service+" "+d.Key)
	}
	if d.Range != 0 && d.RequestID == "" {
		out = append(out, "range "+strconv.FormatUint(d.Range, 10))
	}
	return out
}
