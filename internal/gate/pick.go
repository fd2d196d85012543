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
	// ejectDivisor bounds the ejected upstreams of a service to a third.
	ejectDivisor = 3
	// refusedPause keeps requests from an upstream that has just refused one for lack of room.
	refusedPause = 60 * time.Millisecond
	// slowFactorMax bounds how much worse a slow upstream is rated.
	slowFactorMax = 8.0
)

// Result is what a try says about its upstream.
type Result string

const (
	// ResultDone is a whole answer that is no failure.
	ResultDone Result = "done"
	// ResultFailed is a failure of the upstream or of the connection to it.
	ResultFailed Result = "failed"
	// ResultRefused means that the upstream had no room.
	ResultRefused Result = "refused"
	// ResultNeutral says nothing, e.g. because the caller left.
	ResultNeutral Result = "neutral"
)

// health is what this host saw of one process of an upstream.
type health struct {
	incarnation  uint64
	inFlight     int
	latency      float64
	inRow        int
	failureRate  float64
	ejections    int
	ejectedUntil time.Duration
	pausedUntil  time.Duration
	// hotUntil, waiting and queueing concern owners of keys.
	hotUntil time.Duration
	waiting  int
	queueing float64
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
func (p *Picker) Pick(now time.Duration, us []model.Upstream, tried map[string]bool) (model.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found, bestScore := model.Upstream{}, false, math.Inf(1)
	mean := p.meanLatency(us)
	mayEject := p.mayEject(now, us)
	offset := 0
	if len(us) > 0 {
		offset = p.random(len(us))
	}
	for i := range us {
		u := us[(i+offset)%len(us)]
		if tried[u.Name] {
			continue
		}
		if s := p.score(now, u, mean, mayEject); s < bestScore {
			best, found, bestScore = u, true, s
		}
	}
	if found {
		p.of(best).inFlight++
	}
	return best, found
}

// score rates an upstream; lower is better.
func (p *Picker) score(now time.Duration, u model.Upstream, mean float64, mayEject bool) float64 {
	h := p.of(u)
	s := float64(h.inFlight+1) / float64(max(1, u.Slots))
	if u.DataCentre != p.dataCentre {
		s += remotePenalty / float64(max(1, u.Slots))
	}
	if h.latency > 0 && mean > 0 {
		s *= min(slowFactorMax, max(0.5, h.latency/mean))
	}
	if now < h.pausedUntil {
		s += 10
	}
	if now < h.ejectedUntil && mayEject {
		s += 1000
	}
	return s
}

// mayEject tells whether few enough upstreams are ejected for the ejections to count.
func (p *Picker) mayEject(now time.Duration, us []model.Upstream) bool {
	n := 0
	for _, u := range us {
		if now < p.of(u).ejectedUntil {
			n++
		}
	}
	return n <= max(1, len(us)/ejectDivisor)
}

func (p *Picker) meanLatency(us []model.Upstream) float64 {
	sum, n := 0.0, 0
	for _, u := range us {
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
	// calmLimit and hotLimit bound the requests in flight from this host to the owner of a key.
	calmLimit = 8
	hotLimit  = 4
	// hotFor is how long an owner counts as hot after it refused a request or was slow.
	hotFor = time.Second
	// hotSlowdown is the latency, in multiples of the service's time without waiting, that shows a queue at the owner.
	hotSlowdown = 2.5
	// maxWaiting bounds the requests that wait at this host for one owner.
	maxWaiting = 4
)

// Room tells what the owner of a key can take.
type Room string

const (
	// RoomFree means that the request was counted in flight.
	RoomFree Room = "free"
	// RoomWait means that other requests must end first.
	RoomWait Room = "wait"
	// RoomNone means that enough requests wait.
	RoomNone Room = "none"
	// RoomEjected means that the owner has failed too often to be sent anything for a while.
	RoomEjected Room = "ejected"
)

// Take counts a request in flight at an upstream that was not chosen by Pick, if there is room for it. waits is true
// for a request that has been told to wait before.
func (p *Picker) Take(now time.Duration, u model.Upstream, waits bool) Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.of(u)
	limit := calmLimit
	if now < h.hotUntil {
		limit = hotLimit
	}
	switch {
	case now < h.ejectedUntil:
		return RoomEjected
	case h.inFlight < limit:
		if waits {
			h.waiting--
		}
		h.inFlight++
		return RoomFree
	case waits:
		return RoomWait
	case h.waiting >= maxWaiting:
		return RoomNone
	}
	h.waiting++
	return RoomWait
}

// Leave ends the wait of a request.
func (p *Picker) Leave(u model.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(u).waiting--
}

// Slow notes that the owner of a key took elapsed for a request that takes usual without waiting.
func (p *Picker) Slow(now time.Duration, u model.Upstream, elapsed, usual time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.of(u)
	h.queueing += (min(2*hotSlowdown, float64(elapsed)/float64(max(1, usual))) - h.queueing) * queueingWeight
	if h.queueing > hotSlowdown {
		h.hotUntil = now + hotFor
	}
}

// queueingWeight is the weight of one request in the mean slowdown of an owner. A single straggler must not count.
const queueingWeight = 0.3

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
	case ResultDone:
		if h.latency == 0 {
			h.latency = elapsed.Seconds()
		}
		h.latency += (elapsed.Seconds() - h.latency) * latencyWeight
		h.inRow, h.failureRate = 0, h.failureRate*(1-failureRateWeight)
	case ResultFailed:
		h.inRow++
		h.failureRate += (1 - h.failureRate) * failureRateWeight
		if (h.inRow >= failuresToEject || h.failureRate > failureRateLimit) && now >= h.ejectedUntil {
			h.ejectedUntil = now + min(maxEjection, minEjection<<min(h.ejections, 4))
			h.ejections++
			p.ejections++
			h.failureRate = failureRateLimit / 2
		}
	case ResultRefused:
		h.pausedUntil = now + refusedPause
		h.hotUntil = now + hotFor
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
func (p *Picker) Forget(us map[string]model.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, h := range p.health {
		if _, ok := us[name]; !ok && h.inFlight == 0 && h.waiting == 0 {
			delete(p.health, name)
		}
	}
}

func (p *Picker) of(u model.Upstream) *health {
	h := p.health[u.Name]
	if h == nil || h.incarnation != u.Incarnation {
		h = &health{incarnation: u.Incarnation}
		p.health[u.Name] = h
	}
	return h
}
