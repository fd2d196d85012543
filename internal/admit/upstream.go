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

// Kind says what a released slot tells about its upstream.
type Kind string

const (
	// KindDone is a complete answer.
	KindDone Kind = "done"
	// KindFailed is a connection failure, a server error, a timeout, or a truncated or crossed answer.
	KindFailed Kind = "failed"
	// KindShed means that the upstream refused the request for lack of room.
	KindShed Kind = "shed"
	// KindNeutral tells nothing about the upstream, e.g. because the caller left.
	KindNeutral Kind = "neutral"
)

// Result tells how the use of a slot ended.
type Result struct {
	Kind    Kind          `json:"kind"`
	Elapsed time.Duration `json:"elapsed_ns"`
	// RetryAfter is what the upstream asked for with KindShed, or 0.
	RetryAfter time.Duration `json:"retry_after_ns"`
}

const (
	// rampStep is the number of complete answers that open one more slot of a cold upstream.
	rampStep = 3
	// failureWeight and failureLimit eject an upstream after four failures in a row, or a long run of mixed results.
	failureWeight = 0.2
	failureLimit  = 0.5
	// ejectDivisor bounds the ejected upstreams to a third of the pool.
	ejectDivisor    = 3
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	minShedBackoff  = 2 * time.Millisecond
	maxShedBackoff  = 100 * time.Millisecond
	maxHonouredShed = time.Second
)

type upstream struct {
	info  model.Upstream
	inUse int
	// others is the number of slots that other hosts use, as last reported; only with the policy shared.
	others int
	// open is the number of slots opened so far by slow start; info.Slots once warm.
	open int
	// answers counts complete answers since open last grew.
	answers      int
	failures     float64
	ejections    int
	ejectedUntil time.Duration
	backoff      time.Duration
	backoffUntil time.Duration
}

// SetUpstreams replaces the upstreams of the pool. A new incarnation is cold. Credits of removed upstreams stay with
// their holders and free no slot of another upstream.
func (q *Queue) SetUpstreams(now time.Duration, us []model.Upstream) []Decision {
	first := len(q.upstreams) == 0
	next := make([]*upstream, 0, len(us))
	for _, x := range us {
		u := q.find(x.Name)
		if u == nil || u.info.Incarnation != x.Incarnation {
			u = q.returned(x)
		}
		if u == nil {
			u = &upstream{open: x.Slots}
			if !first && q.on(DefenceSlowStart) {
				u.open = 1
			}
		}
		u.info = x
		next = append(next, u)
	}
	slices.SortFunc(next, func(a, b *upstream) int { return cmp.Compare(a.info.Name, b.info.Name) })
	q.upstreams = next
	return q.dispatch(now)
}

// returned finds an upstream that was removed while its slots were in use, so that its credits still count.
func (q *Queue) returned(x model.Upstream) *upstream {
	for _, c := range q.held {
		if i := c.upstream.info; i.Name == x.Name && i.Incarnation == x.Incarnation {
			return c.upstream
		}
	}
	return nil
}

// SetRemoteUse tells how many slots of each upstream other hosts use.
func (q *Queue) SetRemoteUse(now time.Duration, others map[string]int) []Decision {
	for _, u := range q.upstreams {
		u.others = others[u.info.Name]
	}
	return q.dispatch(now)
}

func (q *Queue) find(name string) *upstream {
	i, ok := slices.BinarySearchFunc(q.upstreams, name, func(u *upstream, n string) int { return cmp.Compare(u.info.Name, n) })
	if !ok {
		return nil
	}
	return q.upstreams[i]
}

func (u *upstream) usable(now time.Duration) bool {
	return now >= u.ejectedUntil && now >= u.backoffUntil
}

func (u *upstream) room() int { return min(u.open, u.info.Slots) - u.inUse - u.others }

// choose returns the upstream with the lowest use of its slots, or nil if none has room.
func (q *Queue) choose(now time.Duration) *upstream {
	var best *upstream
	var bestLoad float64
	var bestOrder uint64
	for _, u := range q.upstreams {
		if !u.usable(now) || u.room() <= 0 {
			continue
		}
		load := float64(u.inUse+u.others) / float64(u.info.Slots)
		order := q.order(u.info.Name)
		if best == nil || load < bestLoad || (load == bestLoad && order < bestOrder) {
			best, bestLoad, bestOrder = u, load, order
		}
	}
	return best
}

// order ranks equally loaded upstreams differently on each host and for each grant.
func (q *Queue) order(name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], q.choice)
	return xxhash.Sum64(append(b[:], name...))
}

// slots returns the slots of the upstreams that are usable now.
func (q *Queue) slots(now time.Duration) int {
	n := 0
	for _, u := range q.upstreams {
		if u.usable(now) {
			n += max(0, min(u.open, u.info.Slots)-u.others)
		}
	}
	return n
}

// learn updates slow start, back-off and ejection from one result.
func (q *Queue) learn(now time.Duration, u *upstream, r Result) {
	switch r.Kind {
	case KindDone:
		u.failures *= 1 - failureWeight
		u.backoff = 0
		u.answers++
		if u.answers >= rampStep && u.open < u.info.Slots {
			u.open, u.answers = u.open+1, 0
		}
	case KindShed:
		if !q.on(DefenceBackoff) {
			return
		}
		u.backoff = min(max(2*u.backoff, minShedBackoff), maxShedBackoff)
		u.backoffUntil = now + min(max(u.backoff, r.RetryAfter), maxHonouredShed)
	case KindFailed:
		u.failures += (1 - u.failures) * failureWeight
		if u.failures > failureLimit && now >= u.ejectedUntil && q.mayEject(now) {
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
	return q.on(DefenceEject) && (ejected < len(q.upstreams)/ejectDivisor || !q.on(DefenceEjectCap))
}

// eject takes the upstream out for a time that doubles with each ejection; it returns cold.
func (q *Queue) eject(now time.Duration, u *upstream) {
	d := min(minEjection<<min(u.ejections, 5), maxEjection)
	u.ejections++
	u.ejectedUntil, u.failures, u.answers = now+d, failureLimit/2, 0
	if q.on(DefenceSlowStart) {
		u.open = 1
	}
}

const (
	// firstEstimate stands for the service time until some were measured.
	firstEstimate  = 10 * time.Millisecond
	estimateWeight = 0.02
	// estimatePrior keeps a straggler among the first answers from dominating the estimate.
	estimatePrior = 4
	// shareMemory is the time over which the share of long work is averaged.
	shareMemory = time.Second
)

// estimate is a moving mean of service times.
type estimate struct {
	seconds float64
	count   int
}

func newEstimate() estimate { return estimate{seconds: firstEstimate.Seconds()} }

func (e *estimate) add(d time.Duration) {
	e.count++
	e.seconds += (d.Seconds() - e.seconds) * max(estimateWeight, 1/float64(e.count+estimatePrior))
}

func (e *estimate) mean() time.Duration { return time.Duration(e.seconds * float64(time.Second)) }

// share holds the slot time used by long work and by all work, both fading over shareMemory.
type share struct {
	long, all float64
	at        time.Duration
}

func (s *share) advance(now time.Duration, long, all int) {
	d := (now - s.at).Seconds()
	if d <= 0 {
		return
	}
	fade := math.Exp(-d / shareMemory.Seconds())
	s.long = s.long*fade + float64(long)*d
	s.all = s.all*fade + float64(all)*d
	s.at = now
}
