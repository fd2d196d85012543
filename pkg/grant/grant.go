// Package grant implements the upstream side of exclusive ownership: it tracks which fences an upstream holds at a
// given time and which it can release. It performs no I/O and reads no clock.
package grant

import (
	"maps"
	"slices"
	"time"

	"baobabreach/pkg/proto"
)

// revocation records that the leader revoked a range.
type revocation struct {
	epoch uint64
	// learnedAt is the receive time of the last grant that listed the epoch as releasing. Take drops the revocation when
	// it installs a grant for an announcement that was sent later.
	learnedAt time.Duration
}

// Holder holds the grant of one incarnation of an upstream. All times are of the upstream's own monotonic clock.
// It is not safe for concurrent use.
type Holder struct {
	// epochs maps each granted range to its epoch; valid before expiresAt.
	epochs    map[uint64]uint64
	expiresAt time.Duration
	// sentAt is the send time of the announcement whose grant is in force; -1 before the first grant.
	sentAt    time.Duration
	running   map[proto.Fence]int
	releasing map[proto.Fence]bool
	// revoked holds, per range, the newest epoch that was listed as releasing.
	revoked map[uint64]revocation
	drained bool
}

// NewHolder returns a holder without a grant.
func NewHolder() *Holder {
	return &Holder{
		epochs: map[uint64]uint64{}, sentAt: -1, running: map[proto.Fence]int{},
		releasing: map[proto.Fence]bool{}, revoked: map[uint64]revocation{},
	}
}

// Take installs the grant, received at now, for the announcement sent at sentAt. It returns false if that announcement
// is not newer than the one whose grant is in force; such a grant changes nothing except that the fences it lists as
// releasing are never accepted again.
func (h *Holder) Take(now, sentAt time.Duration, g proto.Grant) bool {
	for _, f := range g.Releasing {
		h.revoke(now, f)
	}
	if sentAt <= h.sentAt {
		return false
	}
	h.sentAt, h.expiresAt, h.drained = sentAt, sentAt+time.Duration(g.TTLMs)*time.Millisecond, g.Drained
	h.epochs = make(map[uint64]uint64, len(g.Fences))
	for _, f := range g.Fences {
		// An earlier grant that revoked the range may have been received already: grants can arrive out of order.
		// The range may belong to another upstream by now.
		if f.Epoch > h.revoked[f.Range].epoch {
			h.epochs[f.Range] = f.Epoch
		}
	}
	h.releasing = make(map[proto.Fence]bool, len(g.Releasing))
	for _, f := range g.Releasing {
		h.releasing[f] = true
	}
	// A revocation can be dropped once the grant in force is for an announcement sent after it was learned: only grants
	// for newer announcements are installed from now on, and their leader knows that the range was revoked. Expiry of
	// the TTL is no sufficient criterion, because a delayed grant may have a longer TTL.
	maps.DeleteFunc(h.revoked, func(_ uint64, r revocation) bool { return sentAt > r.learnedAt })
	return true
}

func (h *Holder) revoke(now time.Duration, f proto.Fence) {
	if f.Epoch >= h.revoked[f.Range].epoch {
		h.revoked[f.Range] = revocation{epoch: f.Epoch, learnedAt: now}
	}
	if h.epochs[f.Range] <= f.Epoch {
		delete(h.epochs, f.Range)
	}
}

// Holds reports whether the fence is in an unexpired grant at the time now.
func (h *Holder) Holds(now time.Duration, f proto.Fence) bool {
	return f.Epoch > 0 && h.epochs[f.Range] == f.Epoch && now < h.expiresAt
}

// Begin counts a request that starts under the fence. Callers that check grants call Holds first.
func (h *Holder) Begin(f proto.Fence) { h.running[f]++ }

// End counts the end of a request that Begin counted.
func (h *Holder) End(f proto.Fence) {
	if h.running[f]--; h.running[f] <= 0 {
		delete(h.running, f)
	}
}

// Running returns the number of requests running under the fence.
func (h *Holder) Running(f proto.Fence) int { return h.running[f] }

// Released lists the fences to report as released, in ascending order of epoch: those that the leader lists as
// releasing and under which no request runs. A fence stays listed until the leader no longer lists it, because a new
// leader has to learn of the release.
func (h *Holder) Released() []proto.Fence {
	var fs []proto.Fence
	for f := range h.releasing {
		if h.running[f] == 0 {
			fs = append(fs, f)
		}
	}
	slices.SortFunc(fs, func(a, b proto.Fence) int { return int(int64(a.Epoch - b.Epoch)) })
	return fs
}

// Drained reports whether the leader has confirmed that the upstream owns nothing and receives no new work.
func (h *Holder) Drained() bool { return h.drained }

// Each calls f with every fence held at the time now, in no particular order.
func (h *Holder) Each(now time.Duration, f func(proto.Fence)) {
	if now >= h.expiresAt {
		return
	}
	for id, epoch := range h.epochs {
		f(proto.Fence{Range: id, Epoch: epoch})
	}
}

// Epochs returns a copy of the granted ranges with their epochs, expired or not.
func (h *Holder) Epochs() map[uint64]uint64 { return maps.Clone(h.epochs) }
