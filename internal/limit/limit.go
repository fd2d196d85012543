// Package limit holds rate limits per tenant and class over all hosts: the leader deals time-limited shares of each
// limit in proportion to the demand, and each host enforces its share with a token bucket. It performs no I/O.
package limit

import (
	"math"
	"sync"
	"time"

	"baobabreach/internal/model"
)

const (
	// MaxHosts is the number of hosts that may fall back to the floor share at once within the limit.
	MaxHosts = 64
	// floorPart of a limit is never dealt: it is divided among MaxHosts as their floor shares.
	floorPart = 0.1
	// burst is the time of unused rate that a host may catch up on.
	burst = 100 * time.Millisecond
	// demandMemory is the time over which a host averages its demand.
	demandMemory = time.Second
)

// Floor is the rate that a host without a valid share keeps. MaxHosts floors and all shares together stay within
// the limit.
func Floor(perSecond float64) float64 { return perSecond * floorPart / MaxHosts }

// dealt is a share that a host may still be using.
type dealt struct {
	rate  float64
	until time.Duration
}

// Allocator deals shares on the leader. It is not safe for concurrent use.
type Allocator struct {
	// quietUntil is when every share of an earlier leader has ended; nothing is dealt before.
	quietUntil time.Duration
	// shares and demands are kept per limit and host. Several shares of one host may be outstanding because a host
	// that missed an answer still uses an earlier one.
	shares  map[string]map[string][]dealt
	demands map[string]map[string]dealt
}

// NewAllocator returns a dealer that deals nothing before quietUntil.
func NewAllocator(quietUntil time.Duration) *Allocator {
	return &Allocator{
		quietUntil: quietUntil, shares: map[string]map[string][]dealt{}, demands: map[string]map[string]dealt{},
	}
}

// Allocate returns the shares of a host, in requests per second by limit key, beyond its floor. The host may use them
// until the time until at most.
func (d *Allocator) Allocate(
	now, until time.Duration, host string, demand map[string]float64, limits map[string]model.Limit,
) map[string]float64 {
	out := map[string]float64{}
	for key, l := range limits {
		if d.shares[key] == nil {
			d.shares[key], d.demands[key] = map[string][]dealt{}, map[string]dealt{}
		}
		d.demands[key][host] = dealt{rate: sane(demand[key]), until: until}
		if now < d.quietUntil {
			continue
		}
		free := l.PerSecond * (1 - floorPart)
		for h, ds := range d.shares[key] {
			if h != host {
				free -= outstanding(now, ds)
			}
		}
		rate := max(0, min(free, Share(l.PerSecond*(1-floorPart), host, d.live(now, key))))
		d.shares[key][host] = append(unexpired(now, d.shares[key][host]), dealt{rate: rate, until: until})
		out[key] = rate
	}
	return out
}

// Share divides total among the hosts in proportion to their demand, equally if there is none.
func Share(total float64, host string, demands map[string]float64) float64 {
	sum := 0.0
	for _, x := range demands {
		sum += x
	}
	if sum <= 0 {
		return total / float64(max(1, len(demands)))
	}
	return total * demands[host] / sum
}

func (d *Allocator) live(now time.Duration, key string) map[string]float64 {
	out := map[string]float64{}
	for h, x := range d.demands[key] {
		if now >= x.until {
			delete(d.demands[key], h)
			continue
		}
		out[h] = x.rate
	}
	return out
}

func outstanding(now time.Duration, ds []dealt) float64 {
	most := 0.0
	for _, x := range ds {
		if now < x.until {
			most = max(most, x.rate)
		}
	}
	return most
}

func unexpired(now time.Duration, ds []dealt) []dealt {
	var out []dealt
	for _, x := range ds {
		if now < x.until {
			out = append(out, x)
		}
	}
	return out
}

// sane keeps a faulty report from poisoning the sums.
func sane(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return 0
	}
	return x
}

// HostLimiter enforces the shares of one host. It tracks only tenants that have a limit, so its memory is bounded by the
// settings and not by the names that callers send. It is safe for concurrent use.
type HostLimiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	until   time.Duration
}

type bucket struct {
	limit, share float64
	tokens       float64
	at           time.Duration
	// asked counts requests, fading over demandMemory.
	asked float64
}

// NewHostLimiter returns a host without shares.
func NewHostLimiter() *HostLimiter { return &HostLimiter{buckets: map[string]*bucket{}} }

// Update takes the limits in force and the shares, which are valid until the time until.
func (h *HostLimiter) Update(now, until time.Duration, shares map[string]float64, limits map[string]model.Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settle(now)
	h.until = until
	for key, l := range limits {
		b := h.buckets[key]
		if b == nil {
			b = &bucket{tokens: 1, at: now}
			h.buckets[key] = b
		}
		b.limit, b.share = l.PerSecond, min(sane(shares[key]), l.PerSecond)
	}
	for key := range h.buckets {
		if _, ok := limits[key]; !ok {
			delete(h.buckets, key)
		}
	}
}

// Allow counts one request. It returns false, and the time to wait, if the request is over the limit.
func (h *HostLimiter) Allow(now time.Duration, tenant string, class model.Class) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[model.Limit{Tenant: tenant, Class: class}.Key()]
	if b == nil {
		return 0, true
	}
	b.advance(now, h.until)
	b.asked++
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / b.rate(now, h.until) * float64(time.Second)), false
}

// Demand returns the rate of requests per limit, admitted or not.
func (h *HostLimiter) Demand(now time.Duration) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settle(now)
	out := map[string]float64{}
	for key, b := range h.buckets {
		out[key] = b.asked / demandMemory.Seconds()
	}
	return out
}

func (h *HostLimiter) settle(now time.Duration) {
	for _, b := range h.buckets {
		b.advance(now, h.until)
	}
}

func (b *bucket) rate(now, until time.Duration) float64 {
	if now < until {
		return b.share + Floor(b.limit)
	}
	return Floor(b.limit)
}

// advance adds the tokens since the last call; the time after the end of the share counts by the floor only.
func (b *bucket) advance(now, until time.Duration) {
	if now <= b.at {
		return
	}
	valid := max(0, min(now, until)-b.at).Seconds()
	all := (now - b.at).Seconds()
	b.tokens += valid*b.share + all*Floor(b.limit)
	b.tokens = min(b.tokens, max(1, b.rate(now, until)*burst.Seconds()))
	b.asked *= math.Exp(-all / demandMemory.Seconds())
	b.at = now
}
