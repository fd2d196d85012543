// Package assign decides which upstream runs a request, with knowledge of the requests of all entry hosts. It balances the
// load of the upstreams of a service, limits the requests that queue for the owner of a key, and refuses a request at once
// if its response would probably be late. It does no I/O and has no clock.
package assign

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"baobabreach/internal/model"

	"github.com/cespare/xxhash/v2"
)

const (
	// upstreamTimeWeight and serviceTimeWeight are the weights of one response in the moving averages of the service times of
	// an upstream and of a service.
	upstreamTimeWeight = 0.1
	serviceTimeWeight  = 0.01
	// maxObservationRatio limits one observed service time, in multiples of the average.
	maxObservationRatio = 4.0
	// similarTimeRatio is the ratio of expected durations up to which a host may prefer an upstream to the fastest one.
	similarTimeRatio = 1.3
	// defaultServiceTime is used before the first response of a service.
	defaultServiceTime = 100 * time.Millisecond
	// loadPenalty is the share by which a service time grows until all slots are in use, since many upstreams slow down
	// when they are nearly full.
	loadPenalty = 0.2
	// burstShare is the share of the latency objective that the expected duration of a request may take while the upstream
	// had a free slot within burstTime, and onTimeShare that share later: a queue that does not get empty only makes all
	// requests late.
	burstShare  = 1.0
	burstTime   = 500 * time.Millisecond
	onTimeShare = 0.75
	// spareShare replaces onTimeShare for a request that may still be sent to another data centre.
	spareShare = 0.5
	// timeoutShare is the share of the time left that the expected duration may take in any case.
	timeoutShare = 0.9
	// unusedRateWeight is the weight of one request in the average share of requests without a response.
	unusedRateWeight = 0.1
	// fullRatio is the number of requests in flight per slot from which a refusal is put down to a full queue.
	fullRatio = 3
	// refusalPause is how long an upstream gets no requests after it refused one for lack of capacity.
	refusalPause = 60 * time.Millisecond
	// refusalHalfLife is the time in which half of the refused requests are expected to have come back or to be given up.
	refusalHalfLife = 200 * time.Millisecond
	// An upstream is stalled if all its slots are in use and no request has ended for stallRatio times its service time plus
	// stallMargin.
	stallRatio  = 4.0
	stallMargin = 150 * time.Millisecond
)

var ejectionRule = EjectionRule{RateLimit: 0.4, RateWeight: 0.1}

// Result is what a request shows about its upstream.
type Result uint8

const (
	// ResultSuccess is a complete response that is no server error.
	ResultSuccess Result = iota
	// ResultFailed is a server error, a connection that could not be opened or a response that is invalid.
	ResultFailed
	// ResultReset is a connection that the upstream reset after the request was sent. An upstream may do so because it is
	// full.
	ResultReset
	// ResultTimedOut means that there was no response before the deadline.
	ResultTimedOut
	// ResultRefused means that the upstream had no capacity.
	ResultRefused
	// ResultMisdirected means that another process has the address of the upstream.
	ResultMisdirected
	// ResultNeutral gives no information about the upstream, e.g. because the caller disconnected.
	ResultNeutral
)

// ID identifies an assigned request: the address of the entry host and a sequence number that this host never reuses.
type ID struct {
	Host     netip.AddrPort
	Sequence uint64
}

// Request is a request of an entry host for an upstream.
type Request struct {
	ID ID
	// Objective is the time left until a response is late, Timeout the time left until the request ends.
	Objective, Timeout time.Duration
	// MayMove is true if another data centre can still be asked.
	MayMove bool
}

// Decision is the answer to a Request.
type Decision struct {
	// Upstream is the assigned upstream. It is the zero value if the request is refused.
	Upstream model.Upstream
	// RetryAfter is the expected time until the request would not be refused; 0 if it is assigned.
	RetryAfter time.Duration
}

// Granted reports whether an upstream was assigned.
func (d Decision) Granted() bool { return d.Upstream.Name != "" }

// load is what is known of one process of an upstream.
type load struct {
	incarnation uint64
	slots       int
	inFlight    int
	// serviceTime is the average time of a request without queueing in seconds, or 0 before the first response.
	serviceTime float64
	// progressAt is the time of the last response, or of the first request in flight if that is later.
	progressAt time.Duration
	// freeAt is the last time at which a request found a free slot.
	freeAt time.Duration
	// unusedRate is the average share of requests that ended without a response.
	unusedRate float64
	// refusals is the decayed number of requests that were refused until refusedAt.
	refusals    float64
	refusedAt   time.Duration
	failures    Failures
	pausedUntil time.Duration
	// wantsNoneUntil holds the end of the time for which the upstream wants no requests of a host, by host.
	wantsNoneUntil map[netip.AddrPort]time.Duration
}

// assignment is a request in flight.
type assignment struct {
	upstream model.Upstream
	sentAt   time.Duration
	endsAt   time.Duration
	// waitRatio is the expected duration of the request divided by the service time of the upstream.
	waitRatio float64
}

// Assigner holds the load of the upstreams. It is not safe for concurrent use.
type Assigner struct {
	loads    map[string]*load
	inFlight map[ID]assignment
	// serviceTimes holds the average time of a request without queueing by service, in seconds.
	serviceTimes map[string]float64
	stats        Stats
}

// Stats counts the decisions since the start.
type Stats struct {
	Granted, Refused, Ejections int64
}

// New returns an assigner without knowledge.
func New() *Assigner {
	return &Assigner{
		loads: map[string]*load{}, inFlight: map[ID]assignment{}, serviceTimes: map[string]float64{},
	}
}

// Stats returns the counts since the start.
func (a *Assigner) Stats() Stats { return a.stats }

// Choose assigns the request to the candidate that will probably respond first, unless even that would be late.
func (a *Assigner) Choose(now time.Duration, r Request, candidates []model.Upstream) Decision {
	times, shortest, shortestWait := make([]float64, len(candidates)), math.Inf(1), time.Duration(math.MaxInt64)
	ejectionsApply := a.ejectionsApply(now, candidates)
	turnedAway := 0
	for i, u := range candidates {
		l := a.loadOf(u)
		times[i] = math.Inf(1)
		if wait := l.wantsNone(now, r.ID.Host); wait > 0 {
			shortestWait = min(shortestWait, wait)
			turnedAway++
			continue
		}
		if now < l.pausedUntil || (ejectionsApply && l.failures.Ejected(now)) || a.stalled(now, u, l) {
			continue
		}
		// A request that is not run has to be sent elsewhere or fails, which costs about the time that it had.
		times[i] = a.expectedTime(u, l) + l.unusedRate*r.Objective.Seconds()
		shortest = min(shortest, times[i])
	}
	best, bestAffinity := -1, uint64(0)
	for i, u := range candidates {
		if times[i] > similarTimeRatio*shortest || math.IsInf(times[i], 1) {
			continue
		}
		if affinity := affinityOf(r.ID.Host, u); best < 0 || affinity > bestAffinity {
			best, bestAffinity = i, affinity
		}
	}
	switch {
	case turnedAway == len(candidates):
		return a.refuse(shortestWait)
	case best < 0:
		return a.refuse(refusalPause)
	}
	return a.admit(now, r, candidates[best])
}

// affinityOf returns a hash by which a host prefers some upstreams to others that respond as fast, so that it finds open
// connections to them.
func affinityOf(host netip.AddrPort, u model.Upstream) uint64 {
	b, _ := host.MarshalBinary()
	return xxhash.Sum64(append(b, u.Name...))
}

// Admit decides on a request for the owner of a key.
func (a *Assigner) Admit(now time.Duration, r Request, owner model.Upstream) Decision {
	l := a.loadOf(owner)
	switch wait := l.wantsNone(now, r.ID.Host); {
	case wait > 0:
		return a.refuse(wait)
	case l.failures.EjectedAsOwner(now):
		return a.refuse(l.failures.ejectedUntil - now)
	case now < l.pausedUntil:
		return a.refuse(l.pausedUntil - now)
	case a.stalled(now, owner, l):
		return a.refuse(stallMargin)
	}
	return a.admit(now, r, owner)
}

// admit assigns the request to the upstream if a slot is free or the response would be on time.
func (a *Assigner) admit(now time.Duration, r Request, u model.Upstream) Decision {
	l := a.loadOf(u)
	ratio, serviceTime := waitRatio(l.inFlight, l.slots), a.serviceTime(u, l)
	expected := ratio * serviceTime
	share := burstShare
	switch {
	case r.MayMove:
		share = spareShare
	case now-l.freeAt > burstTime:
		share = onTimeShare
	}
	limit := min(share*r.Objective.Seconds(), timeoutShare*r.Timeout.Seconds())
	// Without an alternative, a free slot is used even if the upstream is slow.
	if expected > limit && (r.MayMove || l.inFlight >= l.slots) {
		if !r.MayMove {
			l.countRefusal(now)
		}
		return a.refuse(seconds(expected - limit + l.refusals*serviceTime/float64(l.slots)))
	}
	if l.inFlight == 0 {
		l.progressAt = now
	}
	if l.inFlight < l.slots {
		l.freeAt = now
	}
	l.inFlight++
	a.stats.Granted++
	a.inFlight[r.ID] = assignment{upstream: u, sentAt: now, endsAt: now + r.Timeout, waitRatio: ratio}
	return Decision{Upstream: u}
}

func (a *Assigner) refuse(retryAfter time.Duration) Decision {
	a.stats.Refused++
	return Decision{RetryAfter: max(retryAfter, time.Millisecond)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serviceTime returns the average time of a request without queueing in seconds.
func (a *Assigner) serviceTime(u model.Upstream, l *load) float64 {
	if l.serviceTime > 0 {
		return l.serviceTime
	}
	if t := a.serviceTimes[u.Service]; t > 0 {
		return t
	}
	return defaultServiceTime.Seconds()
}

// expectedTime returns the expected duration in seconds of one more request: the service time while a slot is free, and
// proportional to the requests in flight after that.
func (a *Assigner) expectedTime(u model.Upstream, l *load) float64 {
	return a.serviceTime(u, l) * waitRatio(l.inFlight, l.slots)
}

// waitRatio returns the expected duration of one more request in multiples of the service time.
func waitRatio(inFlight, slots int) float64 {
	use := float64(inFlight+1) / float64(slots)
	return max(use, 1) * (1 + loadPenalty*min(use, 1))
}

// stalled reports whether requests at the upstream have stopped to end.
func (a *Assigner) stalled(now time.Duration, u model.Upstream, l *load) bool {
	return l.inFlight >= l.slots && now-l.progressAt > seconds(stallRatio*a.serviceTime(u, l))+stallMargin
}

// ejectionsApply reports whether so few candidates are ejected that ejections are to be respected.
func (a *Assigner) ejectionsApply(now time.Duration, candidates []model.Upstream) bool {
	n := 0
	for _, u := range candidates {
		if a.loadOf(u).failures.Ejected(now) {
			n++
		}
	}
	return EjectionsApply(n, len(candidates))
}

// Done records the end of an assigned request. elapsed is the time from its sending. A request that is not known, for
// example because it was assigned before a restart, is ignored.
func (a *Assigner) Done(now time.Duration, id ID, r Result, elapsed time.Duration) {
	s, ok := a.inFlight[id]
	if !ok {
		return
	}
	delete(a.inFlight, id)
	l := a.loads[s.upstream.Name]
	if l == nil || l.incarnation != s.upstream.Incarnation {
		return
	}
	l.inFlight = max(0, l.inFlight-1)
	l.countUse(r)
	switch r {
	case ResultSuccess:
		a.observe(s, l, elapsed)
		l.progressAt = now
		l.failures.Succeed(ejectionRule)
	case ResultFailed:
		l.progressAt = now
		a.fail(now, l)
	case ResultTimedOut:
		// A request that times out in the queue of an upstream that answers others shows no failure.
		if l.progressAt <= s.sentAt {
			a.fail(now, l)
		}
	case ResultReset:
		if l.inFlight < l.slots {
			a.fail(now, l)
		}
		l.pauseIfFull(now)
	case ResultRefused:
		l.progressAt = now
		l.pauseIfFull(now)
	case ResultMisdirected:
		l.failures.Eject(now)
	case ResultNeutral:
	}
}

// Pause records that the upstream of an assigned request wants no requests of its host for a while.
func (a *Assigner) Pause(now time.Duration, id ID, d time.Duration) {
	s, ok := a.inFlight[id]
	if !ok {
		return
	}
	l := a.loadOf(s.upstream)
	if l.wantsNoneUntil == nil {
		l.wantsNoneUntil = map[netip.AddrPort]time.Duration{}
	}
	l.wantsNoneUntil[id.Host] = max(l.wantsNoneUntil[id.Host], now+d)
}

// pausesOfAll is the number of hosts from which on a pause applies to all hosts: an upstream that turns several away has no
// room for others.
const pausesOfAll = 2

// wantsNone returns how long the upstream still wants no requests of the host.
func (l *load) wantsNone(now time.Duration, host netip.AddrPort) time.Duration {
	if len(l.wantsNoneUntil) == 0 {
		return 0
	}
	var waits []time.Duration
	for h, until := range l.wantsNoneUntil {
		if now >= until {
			delete(l.wantsNoneUntil, h)
			continue
		}
		waits = append(waits, until-now)
	}
	own := max(0, l.wantsNoneUntil[host]-now)
	if len(waits) < pausesOfAll {
		return own
	}
	slices.Sort(waits)
	return max(own, waits[len(waits)-pausesOfAll])
}

// countUse updates the share of requests that ended without a response.
func (l *load) countUse(r Result) {
	switch r {
	case ResultSuccess:
		l.unusedRate -= l.unusedRate * unusedRateWeight
	case ResultNeutral:
	default:
		l.unusedRate += (1 - l.unusedRate) * unusedRateWeight
	}
}

// countRefusal counts a request that will probably come back. The count is halved every refusalHalfLife.
func (l *load) countRefusal(now time.Duration) {
	l.refusals = 1 + l.refusals*math.Exp2(-float64(now-l.refusedAt)/float64(refusalHalfLife))
	l.refusedAt = now
}

// pauseIfFull stops requests to an upstream that refused one while many were in flight. Others refuse at random, and the
// next request has the same chance as any.
func (l *load) pauseIfFull(now time.Duration) {
	if l.inFlight >= fullRatio*l.slots {
		l.pausedUntil = now + refusalPause
	}
}

// observe updates the average service times with a complete response.
func (a *Assigner) observe(s assignment, l *load, elapsed time.Duration) {
	observed := elapsed.Seconds() / s.waitRatio
	known := a.serviceTime(s.upstream, l)
	l.serviceTime = known + (min(observed, maxObservationRatio*known)-known)*upstreamTimeWeight
	service := a.serviceTimes[s.upstream.Service]
	if service == 0 {
		service = observed
	}
	a.serviceTimes[s.upstream.Service] = service +
		(min(observed, maxObservationRatio*service)-service)*serviceTimeWeight
}

func (a *Assigner) fail(now time.Duration, l *load) {
	if l.failures.Fail(now, ejectionRule) {
		a.stats.Ejections++
	}
}

// Sweep drops requests whose time is over, since the message about their end may have been lost, and the load of upstreams
// that are not in the map.
func (a *Assigner) Sweep(now time.Duration, upstreams map[string]model.Upstream) {
	for id, s := range a.inFlight {
		if now >= s.endsAt {
			a.Done(now, id, ResultNeutral, now-s.sentAt)
		}
	}
	for name, l := range a.loads {
		if u, ok := upstreams[name]; !ok || u.Incarnation != l.incarnation {
			delete(a.loads, name)
		}
	}
}

func (a *Assigner) loadOf(u model.Upstream) *load {
	l := a.loads[u.Name]
	if l == nil || l.incarnation != u.Incarnation {
		l = &load{incarnation: u.Incarnation, slots: max(1, u.Slots)}
		a.loads[u.Name] = l
	}
	return l
}
