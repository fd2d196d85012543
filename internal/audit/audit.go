// Package audit keeps the latest decisions of one daemon, so that operators can ask why a request, a key or an
// upstream was treated as it was.
package audit

import (
	"strconv"
	"sync"
	"time"

	"baobabreach/pkg/proto"
)

// DefaultSize is the number of decisions kept by a daemon; at most 4 MB with keys of the largest size.
const DefaultSize = 4096

// Kind names what was decided.
type Kind string

// Kinds of decisions.
const (
	// KindRouted is a request that an upstream answered.
	KindRouted Kind = "routed"
	// KindRefused is a request that was answered with an error.
	KindRefused Kind = "refused"
	// KindQuarantined is a request that was refused because it crashes upstreams.
	KindQuarantined Kind = "quarantined"
	// KindAssign and KindRelease are the two steps of a move, recorded when the leader proposes them.
	KindAssign  Kind = "assign"
	KindRelease Kind = "release"
	// KindRegister and KindRemove add and forget an upstream, recorded when the leader proposes them.
	KindRegister Kind = "register"
	KindRemove   Kind = "remove"
	// KindLeave notes that an upstream leaves; KindCut divides a range in place.
	KindLeave Kind = "leave"
	KindCut   Kind = "cut"
)

// Decision is one decision. Fields that a kind doesn't use are empty.
type Decision struct {
	// AtMs is the wall clock in milliseconds since the Unix epoch.
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

// Ring holds the latest decisions, oldest dropped first. It is safe for concurrent use; a nil Ring keeps nothing.
type Ring struct {
	host string

	mu        sync.Mutex
	decisions []Decision
	// next is the number of decisions recorded so far; decision n is at n modulo the size.
	next uint64
	// index lists the numbers of the kept decisions per term, oldest first.
	index map[string][]uint64
	rates map[string]*rateCounter
}

// New returns an empty ring of a host. size is positive.
func New(host string, size int) *Ring {
	return &Ring{
		host: host, decisions: make([]Decision, size), index: map[string][]uint64{}, rates: map[string]*rateCounter{},
	}
}

// Record adds a decision made at the time now.
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

// removeFromIndex removes the oldest decision from the index; it is the first number of each of its terms.
func (r *Ring) removeFromIndex(d Decision) {
	for _, t := range indexTerms(d) {
		if len(r.index[t]) <= 1 {
			delete(r.index, t)
			continue
		}
		r.index[t] = r.index[t][1:]
	}
}

// Query selects decisions. Exactly one of RequestID, Upstream and Service with Key or Range is set.
type Query struct {
	RequestID string `json:"request_id,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Service   string `json:"service,omitempty"`
	Key       string `json:"key,omitempty"`
	// Range adds the moves of the range to the decisions on Key.
	Range uint64 `json:"range,omitempty"`
	Limit int    `json:"limit"`
}

// Find returns the latest decisions that match, newest first.
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

// indexTerms returns the distinct index terms of a decision. Only moves are listed by range: a request is found by its
// key, and the requests of a whole range would hide the moves.
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
