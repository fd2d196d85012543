package admit

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"baobabreach/internal/model"

	"github.com/cespare/xxhash/v2"
)

// Kind classifies the outcome of a request by what it implies about the health of the upstream.
type Kind string

const (
	// KindDone means that the response was complete.
	KindDone Kind = "done"
	// KindFailed means a connection failure, a server error, a timeout, a truncated response or a response to another
	// request.
	KindFailed Kind = "failed"
	// KindShed means that the upstream rejected the request because it is overloaded.
	KindShed Kind = "shed"
	// KindNeutral implies nothing about the health of the upstream, e.g. because the caller disconnected.
	KindNeutral Kind = "neutral"
)

// Result describes how a request that held a slot ended.
type Result struct {
	Kind    Kind          `json:"kind"`
	Elapsed time.Duration `json:"elapsed_ns"`
	// RetryAfter is the delay that the upstream requested along with KindShed, or 0.
	RetryAfter time.Duration `json:"retry_after_ns"`
}

const (
	// responsesPerOpenedSlot is the number of complete responses after which slow start opens one more slot.
	responsesPerOpenedSlot = 3
	// With failureWeight and ejectFailureRate, four failures in a row eject an upstream, and so does a longer run in which
	// every second request fails.
	failureWeight    = 0.2
	ejectFailureRate = 0.5
	// ejectDivisor limits the ejected upstreams to a third of the pool.
	ejectDivisor   = 3
	minEjectTime   = time.Second
	maxEjectTime   = 30 * time.Second
	minShedBackoff = 2 * time.Millisecond
	maxShedBackoff = 100 * time.Millisecond
	maxRetryAfter  = time.Second
)

type upstream struct {
	info  model.Upstream
	inUse int
	// remoteInUse is the number of slots in use by other hosts, as last reported. Only the policy shared sets it.
	remoteInUse int
	// openSlots is the number of slots that slow start has opened so far; info.Slots once it is finished.
	openSlots int
	// responsesSinceOpened counts the complete responses since openSlots last grew.
	responsesSinceOpened int
	failureRate          float64
	ejections            int
	ejectedUntil         time.Duration
	backoff              time.Duration
	backoffUntil         time.Duration
}

// SetUpstreams replaces the upstreams of the pool. A new incarnation goes through slow start, except in the first call.
// Credits for removed upstreams stay valid, and their release frees no slot of another upstream.
func (q *Queue) SetUpstreams(now time.Duration, upstreams []model.Upstream) []Decision {
	first := len(q.upstreams) == 0
	next := make([]*upstream, 0, len(upstreams))
	for _, info := range upstreams {
		u := q.findUpstream(info.Name)
		if u == nil || u.info.Incarnation != info.Incarnation {
			u = q.findRemoved(info)
		}
		if u == nil {
			u = &upstream{openSlots: info.Slots}
			if !first && q.enabled(RuleSlowStart) {
				u.openSlots = 1
			}
		}
		u.info = info
		next = append(next, u)
	}
	slices.SortFunc(next, func(a, b *upstream) int { return cmp.Compare(a.info.Name, b.info.Name) })
	q.upstreams = next
	return q.dispatch(now)
}

// findRemoved finds an upstream that was removed while its slots were in use, so that their credits still count when it
// is added again. It returns nil if there is none.
func (q *Queue) findRemoved(info model.Upstream) *upstream {
	for _, c := range q.credits {
		if i := c.upstream.info; i.Name == info.Name && i.Incarnation == info.Incarnation {
			return c.upstream
		}
	}
	return nil
}

// SetRemoteUse sets the number of slots in use by other hosts for each upstream.
func (q *Queue) SetRemoteUse(now time.Duration, remote map[string]int) []Decision {
	for _, u := range q.upstreams {
		u.remoteInUse = remote[u.info.Name]
	}
	return q.dispatch(now)
}

func (q *Queue) findUpstream(name string) *upstream {
	i, ok := slices.BinarySearchFunc(q.upstreams, name, func(u *upstream, n string) int { return cmp.Compare(u.info.Name, n) })
	if !ok {
		return nil
	}
	return q.upstreams[i]
}

func (u *upstream) usable(now time.Duration) bool {
	return now >= u.ejectedUntil && now >= u.backoffUntil
}

func (u *upstream) freeSlots() int { return min(u.openSlots, u.info.Slots) - u.inUse - u.remoteInUse }

// pickUpstream returns the usable upstream with the lowest share of its slots in use, or nil if none has a free slot.
func (q *Queue) pickUpstream(now time.Duration) *upstream {
	var best *upstream
	var bestLoad float64
	var bestTieBreak uint64
	for _, u := range q.upstreams {
		if !u.usable(now) || u.freeSlots() <= 0 {
			continue
		}
		load := float64(u.inUse+u.remoteInUse) / float64(u.info.Slots)
		tie := q.tieBreak(u.info.Name)
		if best == nil || load < bestLoad || (load == bestLoad && tie < bestTieBreak) {
			best, bestLoad, bestTieBreak = u, load, tie
		}
	}
	return best
}

// tieBreak returns the rank of an upstream among equally loaded ones. It differs between hosts and between grants.
func (q *Queue) tieBreak(name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], q.tieBreakSeed)
	return xxhash.Sum64(append(b[:], name...))
}

// usableSlots returns the number of slots that this queue may fill on the upstreams that are usable now.
func (q *Queue) usableSlots(now time.Duration) int {
	n := 0
	for _, u := range q.upstreams {
		if u.usable(now) {
			n += max(0, min(u.openSlots, u.info.Slots)-u.remoteInUse)
		}
	}
	return n
}

// recordResult updates the slow start, back-off and ejection state of an upstream.
func (q *Queue) recordResult(now time.Duration, u *upstream, r Result) {
	switch r.Kind {
	case KindDone:
		u.failureRate *= 1 - failureWeight
		u.backoff = 0
		u.responsesSinceOpened++
		if u.responsesSinceOpened >= responsesPerOpenedSlot && u.openSlots < u.info.Slots {
			u.openSlots, u.responsesSinceOpened = u.openSlots+1, 0
		}
	case KindShed:
		if !q.enabled(RuleBackoff) {
			return
		}
		u.backoff = min(max(2*u.backoff, minShedBackoff), maxShedBackoff)
		u.backoffUntil = now + min(max(u.backoff, r.RetryAfter), maxRetryAfter)
	case KindFailed:
		u.failureRate += (1 - u.failureRate) * failureWeight
		if u.failureRate > ejectFailureRate && now >= u.ejectedUntil && q.mayEject(now) {
			q.eject(now, u)
		}
	case KindNeutral:
	}
}

func (q *Queue) mayEject(now time.Duration) bool {
	ejected := 0
	for _, u := range q.upstreams {
		if now < u.ejectedUntil {
			ejected++
		}
	}
	return q.enabled(RuleEject) && (ejected < len(q.upstreams)/ejectDivisor || !q.enabled(RuleEjectLimit))
}

// eject excludes the upstream for a time that doubles with each ejection up to maxEjectTime. Slow start follows.
func (q *Queue) eject(now time.Duration, u *upstream) {
	duration := min(minEjectTime<<min(u.ejections, 5), maxEjectTime)
	u.ejections++
	u.ejectedUntil, u.failureRate, u.responsesSinceOpened = now+duration, ejectFailureRate/2, 0
	if q.enabled(RuleSlowStart) {
		u.openSlots = 1
	}
}

const (
	// initialServiceTime is the estimate before the first sample.
	initialServiceTime = 10 * time.Millisecond
	// minSampleWeight is the minimum weight of a new sample in the estimate.
	minSampleWeight = 0.02
	// estimatePriorCount is the number of samples that the initial estimate counts for, so that a straggler among the
	// first responses doesn't dominate the mean.
	estimatePriorCount = 4
	// slotTimeConstant is the time constant of the exponential decay in slotTimeUse.
	slotTimeConstant = time.Second
)

// serviceTimeEstimate is an exponentially weighted moving average of service times.
type serviceTimeEstimate struct {
	seconds float64
	count   int
}

func newServiceTimeEstimate() serviceTimeEstimate {
	return serviceTimeEstimate{seconds: initialServiceTime.Seconds()}
}

func (e *serviceTimeEstimate) add(d time.Duration) {
	e.count++
	e.seconds += (d.Seconds() - e.seconds) * max(minSampleWeight, 1/float64(e.count+estimatePriorCount))
}

func (e *serviceTimeEstimate) mean() time.Duration {
	return time.Duration(e.seconds * float64(time.Second))
}

// slotTimeUse holds the slot time used by long requests and by all requests, with exponential decay over
// slotTimeConstant.
type slotTimeUse struct {
	long, total float64
	updatedAt   time.Duration
}

func (s *slotTimeUse) add(now time.Duration, long, all int) {
	elapsed := (now - s.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / slotTimeConstant.Seconds())
	s.long = s.long*decay + float64(long)*elapsed
	s.total = s.total*decay + float64(all)*elapsed
	s.updatedAt = now
}
