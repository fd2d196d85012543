package gate

import (
	"math"
	"sync"
	"time"

	"baobabreach/internal/model"
)

const (
	// latencyWeight is the weight of one answer in the mean latency of an upstream.
	latencyWeight = 0.15
	// remotePenalty is what another data centre costs in requests in flight. Bytes between data centres are paid for.
	remotePenalty = 1.0
	// failuresToEject is the number of failures in a row after which an upstream gets no requests for a while.
	failuresToEject = 3
	// failureRateLimit ejects an upstream that fails part of its requests.
	failureRateLimit  = 0.35
	failureRateWeight = 0.12
	minEjection       = 500 * time.Millisecond
	maxEjection       = 4 * time.Second
	// maxEjectedDivisor bounds the ejected upstreams of a service to a third.
	maxEjectedDivisor = 3
	// refusalPause keeps requests from an upstream that has just refused one for lack of room.
	refusalPause = 60 * time.Millisecond
	// maxLatencyFactor bounds how much worse a slow upstream is rated.
	maxLatencyFactor = 8.0
)

// Result is what a try says about its upstream.
type Result string

const (
	// ResultSuccess is a whole answer that is no failure.
	ResultSuccess Result = "done"
	// ResultFailed is a failure of the upstream or of the connection to it.
	ResultFailed Result = "failed"
	// ResultRefused means that the upstream had no room.
	ResultRefused Result = "refused"
	// ResultNeutral says nothing, e.g. because the caller left.
	ResultNeutral Result = "neutral"
)

// health is what this host saw of one process of an upstream.
type health struct {
	incarnation         uint64
	inFlight            int
	latency             float64
	consecutiveFailures int
	failureRate         float64
	ejections           int
	ejectedUntil        time.Duration
	pausedUntil         time.Duration
	// hotUntil, waiting and queueing concern owners of keys.
	hotUntil     time.Duration
	waiting      int
	latencyRatio float64
}

// Picker chooses upstreams by the requests in flight, latencies and failures that this host saw. It is safe for
// concurrent use.
type Picker struct {
	dataCentre string
	random     func(n int) int

	mu     sync.Mutex
	health map[string]*health
	// ejections counts all of them.
	ejections int64
}

// NewPicker returns a picker that prefers the data centre. random returns a number in [0, n).
func NewPicker(dataCentre string, random func(n int) int) *Picker {
	return &Picker{dataCentre: dataCentre, random: random, health: map[string]*health{}}
}

// Pick returns the best upstream that is not in tried, or false if there is none. It counts a request in flight.
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

// score rates an upstream; lower is better.
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
	if now < h.ejectedUntil && ejectionsApply {
		s += 1000
	}
	return s
}

// ejectionsApply tells whether few enough upstreams are ejected for the ejections to count.
func (p *Picker) ejectionsApply(now time.Duration, upstreams []model.Upstream) bool {
	n := 0
	for _, u := range upstreams {
		if now < p.healthOf(u).ejectedUntil {
			n++
		}
	}
	return n <= max(1, len(upstreams)/maxEjectedDivisor)
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
	// normalInFlightLimit and hotLimit bound the requests in flight from this host to the owner of a key.
	normalInFlightLimit = 8
	hotInFlightLimit    = 4
	// hotDuration is how long an owner counts as hot after it refused a request or was slow.
	hotDuration = time.Second
	// hotLatencyRatio is the latency, in multiples of the service's time without waiting, that shows a queue at the owner.
	hotLatencyRatio = 2.5
	// maxWaitingPerOwner bounds the requests that wait at this host for one owner.
	maxWaitingPerOwner = 4
)

// Admission tells what the owner of a key can take.
type Admission string

const (
	// AdmissionGranted means that the request was counted in flight.
	AdmissionGranted Admission = "free"
	// AdmissionWait means that other requests must end first.
	AdmissionWait Admission = "wait"
	// AdmissionQueueFull means that enough requests wait.
	AdmissionQueueFull Admission = "none"
	// AdmissionEjected means that the owner has failed too often to be sent anything for a while.
	AdmissionEjected Admission = "ejected"
)

// Acquire counts a request in flight at an upstream that was not chosen by Pick, if there is room for it. waits is true
// for a request that has been told to wait before.
func (p *Picker) Acquire(now time.Duration, u model.Upstream, waiting bool) Admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.healthOf(u)
	limit := normalInFlightLimit
	if now < h.hotUntil {
		limit = hotInFlightLimit
	}
	switch {
	case now < h.ejectedUntil:
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

// CancelWait ends the wait of a request.
func (p *Picker) CancelWait(u model.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healthOf(u).waiting--
}

// RecordLatencyRatio notes that the owner of a key took elapsed for a request that takes usual without waiting.
func (p *Picker) RecordLatencyRatio(now time.Duration, u model.Upstream, elapsed, baseline time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.healthOf(u)
	h.latencyRatio += (min(2*hotLatencyRatio, float64(elapsed)/float64(max(1, baseline))) - h.latencyRatio) * latencyRatioWeight
	if h.latencyRatio > hotLatencyRatio {
		h.hotUntil = now + hotDuration
	}
}

// latencyRatioWeight is the weight of one request in the mean slowdown of an owner. A single straggler must not count.
const latencyRatioWeight = 0.3

// Done ends a request that Pick or Take counted.
func (p *Picker) Done(now time.Duration, u model.Upstream, r Result, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.health[u.Name]
	if h == nil || h.incarnation != u.Incarnation {
		return
	}
	h.inFlight = max(0, h.inFlight-1)
	switch r {
	case ResultSuccess:
		if h.latency == 0 {
			h.latency = elapsed.Seconds()
		}
		h.latency += (elapsed.Seconds() - h.latency) * latencyWeight
		h.consecutiveFailures, h.failureRate = 0, h.failureRate*(1-failureRateWeight)
	case ResultFailed:
		h.consecutiveFailures++
		h.failureRate += (1 - h.failureRate) * failureRateWeight
		if (h.consecutiveFailures >= failuresToEject || h.failureRate > failureRateLimit) && now >= h.ejectedUntil {
			h.ejectedUntil = now + min(maxEjection, minEjection<<min(h.ejections, 4))
			h.ejections++
			p.ejections++
			h.failureRate = failureRateLimit / 2
		}
	case ResultRefused:
		h.pausedUntil = now + refusalPause
		h.hotUntil = now + hotDuration
	case ResultNeutral:
	}
}

// PickerStats is what a Picker shows of itself.
type PickerStats struct {
	// Ejected is the number of upstreams that get no requests at present, Ejections that of all ejections since the start.
	Ejected, Ejections int64
	// InFlight and Waiting count requests.
	InFlight, Waiting int64
}

// Stats returns the present figures.
func (p *Picker) Stats(now time.Duration) PickerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PickerStats{Ejections: p.ejections}
	for _, h := range p.health {
		if now < h.ejectedUntil {
			s.Ejected++
		}
		s.InFlight += int64(h.inFlight)
		s.Waiting += int64(h.waiting)
	}
	return s
}

// Forget drops what was seen of upstreams that are not in us and have no request in flight.
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
