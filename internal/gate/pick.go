package gate

import (
	"math"
	"sync"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/model"
)

const (
	// latencyWeight is the weight of one response in the moving average of an upstream's latency.
	latencyWeight = 0.15
	// remotePenalty is the cost of another data centre, in requests in flight. Traffic between data centres is billed.
	remotePenalty = 1.0
	// refusalPause is how long an upstream is avoided after it refused a request for lack of capacity.
	refusalPause = 60 * time.Millisecond
	// resetGracePeriod is the time after a complete response in which a reset connection is put down to overload.
	resetGracePeriod = time.Second
	// maxLatencyFactor is the largest factor by which slowness raises the score of an upstream.
	maxLatencyFactor = 8.0
)

var ejectionRule = assign.EjectionRule{RateLimit: 0.35, RateWeight: 0.12}

// health is what this host has observed of one process of an upstream.
type health struct {
	incarnation uint64
	inFlight    int
	latency     float64
	failures    assign.Failures
	pausedUntil time.Duration
	// respondedAt is the time of the last complete response.
	respondedAt time.Duration
	// hotUntil, waiting and latencyRatio are used only for owners of keys.
	hotUntil     time.Duration
	waiting      int
	latencyRatio float64
}

// Picker chooses upstreams by the requests in flight, latencies and failures that this host has observed. It is safe for
// concurrent use.
type Picker struct {
	dataCentre string
	random     func(n int) int

	mu     sync.Mutex
	health map[string]*health
	// ejections is the total over all upstreams.
	ejections int64
}

// NewPicker returns a picker that prefers upstreams in dataCentre. random returns a number in [0, n).
func NewPicker(dataCentre string, random func(n int) int) *Picker {
	return &Picker{dataCentre: dataCentre, random: random, health: map[string]*health{}}
}

// Pick returns the best upstream that is not in tried and counts a request in flight there, or returns false if there is
// no such upstream.
func (p *Picker) Pick(now time.Duration, upstreams []model.Upstream, tried map[string]bool) (model.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found, bestScore := model.Upstream{}, false, math.Inf(1)
	mean := p.meanLatency(upstreams)
	ejectionsApply := p.ejectionsApply(now, upstreams)
	offset := 0
	if len(upstreams) > 0 {
		offset = p.random(len(upstreams))
	}
	for i := range upstreams {
		u := upstreams[(i+offset)%len(upstreams)]
		if tried[u.Name] {
			continue
		}
		if s := p.score(now, u, mean, ejectionsApply); s < bestScore {
			best, found, bestScore = u, true, s
		}
	}
	if found {
		p.healthOf(best).inFlight++
	}
	return best, found
}

// Begin counts a request in flight at an upstream that a broker assigned.
func (p *Picker) Begin(u model.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healthOf(u).inFlight++
}

// score rates an upstream by its load, data centre, latency and recent failures. Lower is better.
func (p *Picker) score(now time.Duration, u model.Upstream, mean float64, ejectionsApply bool) float64 {
	h := p.healthOf(u)
	s := float64(h.inFlight+1) / float64(max(1, u.Slots))
	if u.DataCentre != p.dataCentre {
		s += remotePenalty / float64(max(1, u.Slots))
	}
	if h.latency > 0 && mean > 0 {
		s *= min(maxLatencyFactor, max(0.5, h.latency/mean))
	}
	if now < h.pausedUntil {
		s += 10
	}
	if h.failures.Ejected(now) && ejectionsApply {
		s += 1000
	}
	return s
}

// ejectionsApply reports whether so few upstreams are ejected that ejections are to be respected.
func (p *Picker) ejectionsApply(now time.Duration, upstreams []model.Upstream) bool {
	n := 0
	for _, u := range upstreams {
		if p.healthOf(u).failures.Ejected(now) {
			n++
		}
	}
	return assign.EjectionsApply(n, len(upstreams))
}

func (p *Picker) meanLatency(upstreams []model.Upstream) float64 {
	sum, n := 0.0, 0
	for _, u := range upstreams {
		if h := p.health[u.Name]; h != nil && h.incarnation == u.Incarnation && h.latency > 0 {
			sum, n = sum+h.latency, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

const (
	// normalInFlightLimit and hotInFlightLimit limit the requests in flight from this host to the owner of a key.
	normalInFlightLimit = 8
	hotInFlightLimit    = 4
	// hotDuration is how long an owner is treated as hot after it refused a request or was slow.
	hotDuration = time.Second
	// hotLatencyRatio is the mean ratio of latency to the service time without queueing above which the owner has a queue.
	hotLatencyRatio = 2.5
	// maxWaitingPerOwner limits the requests that wait at this host for one owner.
	maxWaitingPerOwner = 4
)

// Admission is the Picker's decision on a request for the owner of a key.
type Admission string

const (
	// AdmissionGranted means that the request may be sent and is counted in flight.
	AdmissionGranted Admission = "free"
	// AdmissionWait means that the request must wait until others end.
	AdmissionWait Admission = "wait"
	// AdmissionQueueFull means that too many requests wait already.
	AdmissionQueueFull Admission = "none"
	// AdmissionUnreachable means that the host is cut off from the data centre of the owner.
	AdmissionUnreachable Admission = "unreachable"
	// AdmissionTurnedAway means that the upstreams have asked for no requests for a while, or leave.
	AdmissionTurnedAway Admission = "turned_away"
	// AdmissionEjected means that the owner gets no requests for a while because it failed too often.
	AdmissionEjected Admission = "ejected"
)

// Acquire counts a request in flight at an upstream that was not chosen by Pick, if its limit allows. waiting is true for
// a request that got AdmissionWait before.
func (p *Picker) Acquire(now time.Duration, u model.Upstream, waiting bool) Admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.healthOf(u)
	limit := normalInFlightLimit
	if now < h.hotUntil {
		limit = hotInFlightLimit
	}
	switch {
	case h.failures.EjectedAsOwner(now):
		return AdmissionEjected
	case h.inFlight < limit:
		if waiting {
			h.waiting--
		}
		h.inFlight++
		return AdmissionGranted
	case waiting:
		return AdmissionWait
	case h.waiting >= maxWaitingPerOwner:
		return AdmissionQueueFull
	}
	h.waiting++
	return AdmissionWait
}

// CancelWait ends the wait of a request that got AdmissionWait.
func (p *Picker) CancelWait(u model.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healthOf(u).waiting--
}

// RecordLatencyRatio records that the owner of a key took elapsed for a request. serviceTime is the estimated service
// time without queueing.
func (p *Picker) RecordLatencyRatio(now time.Duration, u model.Upstream, elapsed, serviceTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.healthOf(u)
	h.latencyRatio +=
		(min(2*hotLatencyRatio, float64(elapsed)/float64(max(1, serviceTime))) - h.latencyRatio) * latencyRatioWeight
	if h.latencyRatio > hotLatencyRatio {
		h.hotUntil = now + hotDuration
	}
}

// latencyRatioWeight is the weight of one request in the moving average of an owner's latency ratio. It is low enough that a
// single straggler does not make the owner hot.
const latencyRatioWeight = 0.3

// Done records the end of a request that Pick, Acquire or Begin counted in flight.
func (p *Picker) Done(now time.Duration, u model.Upstream, r assign.Result, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.health[u.Name]
	if h == nil || h.incarnation != u.Incarnation {
		return
	}
	h.inFlight = max(0, h.inFlight-1)
	switch r {
	case assign.ResultSuccess:
		if h.latency == 0 {
			h.latency = elapsed.Seconds()
		}
		h.latency += (elapsed.Seconds() - h.latency) * latencyWeight
		h.failures.Succeed(ejectionRule)
		h.respondedAt = now
	case assign.ResultFailed:
		p.fail(now, h)
	case assign.ResultTimedOut:
		// A request that times out in the queue of an upstream that answers others shows no failure.
		if h.respondedAt <= now-elapsed {
			p.fail(now, h)
		}
	case assign.ResultReset:
		// An upstream may reset connections because it is full, which is no failure while it still answers others.
		h.pausedUntil = now + refusalPause
		h.hotUntil = now + hotDuration
		if h.respondedAt <= now-resetGracePeriod {
			p.fail(now, h)
		}
	case assign.ResultRefused:
		h.pausedUntil = now + refusalPause
		h.hotUntil = now + hotDuration
	case assign.ResultMisdirected:
		h.failures.Eject(now)
	case assign.ResultNeutral:
	}
}

// fail records a failure of an upstream and counts its ejection.
func (p *Picker) fail(now time.Duration, h *health) {
	if h.failures.Fail(now, ejectionRule) {
		p.ejections++
	}
}

// PickerStats are the metrics of a Picker, summed over all upstreams.
type PickerStats struct {
	// Ejected is the number of currently ejected upstreams, Ejections the total number of ejections since the start.
	Ejected, Ejections int64
	// InFlight is the number of requests sent and not yet ended, Waiting the number of requests that wait at this host for
	// the owner of their key.
	InFlight, Waiting int64
}

// Stats returns the metrics at now.
func (p *Picker) Stats(now time.Duration) PickerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PickerStats{Ejections: p.ejections}
	for _, h := range p.health {
		if h.failures.Ejected(now) {
			s.Ejected++
		}
		s.InFlight += int64(h.inFlight)
		s.Waiting += int64(h.waiting)
	}
	return s
}

// Forget drops the state of upstreams that are not in the map and have no request in flight or waiting.
func (p *Picker) Forget(upstreams map[string]model.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, h := range p.health {
		if _, ok := upstreams[name]; !ok && h.inFlight == 0 && h.waiting == 0 {
			delete(p.health, name)
		}
	}
}

func (p *Picker) healthOf(u model.Upstream) *health {
	h := p.health[u.Name]
	if h == nil || h.incarnation != u.Incarnation {
		h = &health{incarnation: u.Incarnation}
		p.health[u.Name] = h
	}
	return h
}
