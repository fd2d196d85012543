// Package limit enforces rate limits per tenant and class across all hosts: the leader allocates time-limited shares of
// each limit in proportion to demand, and each host enforces its share with a token bucket. It performs no I/O.
package limit

import (
	"math"
	"sync"
	"time"

	"baobabreach/internal/model"
)

const (
	// MaxHosts is the number of hosts that can use the floor rate at once without exceeding the limit.
	MaxHosts = 64
	// floorShare is the part of a limit that is never allocated: it is divided equally among MaxHosts as their floor rates.
	floorShare = 0.1
	// burstDuration is the longest period of unused rate that a token bucket accumulates.
	burstDuration = 100 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential decay by which a host averages its demand.
	demandTimeConstant = time.Second
)

// FloorRate returns the rate that a host may use without a valid share. The floor rates of MaxHosts hosts and all shares
// together stay within the limit.
func FloorRate(perSecond float64) float64 { return perSecond * floorShare / MaxHosts }

// expiringRate is a rate that is valid until a point in time: an allocated share or a reported demand.
type expiringRate struct {
	rate  float64
	until time.Duration
}

// Allocator allocates shares to hosts; it runs on the leader. It is not safe for concurrent use.
type Allocator struct {
	// startAt is when all shares allocated by an earlier leader have expired; nothing is allocated before.
	startAt time.Duration
	// shares and demands are by limit key and host. A host may have several unexpired shares, because one that missed a
	// response still uses the share before it.
	shares  map[string]map[string][]expiringRate
	demands map[string]map[string]expiringRate
}

// NewAllocator returns an allocator that allocates nothing before startAt.
func NewAllocator(startAt time.Duration) *Allocator {
	return &Allocator{
		startAt: startAt, shares: map[string]map[string][]expiringRate{}, demands: map[string]map[string]expiringRate{},
	}
}

// Allocate returns the shares of a host in requests per second by limit key, in addition to its floor rate. The shares
// expire at until.
func (a *Allocator) Allocate(
	now, until time.Duration, host string, demand map[string]float64, limits map[string]model.Limit,
) map[string]float64 {
	out := map[string]float64{}
	for key, l := range limits {
		if a.shares[key] == nil {
			a.shares[key], a.demands[key] = map[string][]expiringRate{}, map[string]expiringRate{}
		}
		a.demands[key][host] = expiringRate{rate: sanitizeRate(demand[key]), until: until}
		if now < a.startAt {
			continue
		}
		available := l.PerSecond * (1 - floorShare)
		for h, rates := range a.shares[key] {
			if h != host {
				available -= maxUnexpiredRate(now, rates)
			}
		}
		rate := max(0, min(available, Share(l.PerSecond*(1-floorShare), host, a.activeDemands(now, key))))
		a.shares[key][host] = append(unexpired(now, a.shares[key][host]), expiringRate{rate: rate, until: until})
		out[key] = rate
	}
	return out
}

// Share returns the part of total for host in proportion to its demand, or an equal part if there is no demand.
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

func (a *Allocator) activeDemands(now time.Duration, key string) map[string]float64 {
	out := map[string]float64{}
	for h, x := range a.demands[key] {
		if now >= x.until {
			delete(a.demands[key], h)
			continue
		}
		out[h] = x.rate
	}
	return out
}

func maxUnexpiredRate(now time.Duration, rates []expiringRate) float64 {
	highest := 0.0
	for _, x := range rates {
		if now < x.until {
			highest = max(highest, x.rate)
		}
	}
	return highest
}

func unexpired(now time.Duration, rates []expiringRate) []expiringRate {
	var out []expiringRate
	for _, x := range rates {
		if now < x.until {
			out = append(out, x)
		}
	}
	return out
}

// sanitizeRate replaces NaN, infinite and negative rates by zero, so that a faulty report does not corrupt the sums.
func sanitizeRate(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return 0
	}
	return x
}

// HostLimiter enforces the limits on one host. It tracks only tenants that have a limit, so its memory use depends on the
// settings and not on the tenant names that callers send. It is safe for concurrent use.
type HostLimiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// sharesExpireAt is when the shares of all buckets expire; only the floor rates are valid after it.
	sharesExpireAt time.Duration
}

type bucket struct {
	limit, share float64
	tokens       float64
	updatedAt    time.Duration
	// requests is the number of requests, with exponential decay over demandTimeConstant.
	requests float64
}

// NewHostLimiter returns a limiter that admits all requests until the first Update sets limits.
func NewHostLimiter() *HostLimiter { return &HostLimiter{buckets: map[string]*bucket{}} }

// Update sets the limits and the shares of this host. The shares expire at until.
func (h *HostLimiter) Update(now, until time.Duration, shares map[string]float64, limits map[string]model.Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceAll(now)
	h.sharesExpireAt = until
	for key, l := range limits {
		b := h.buckets[key]
		if b == nil {
			b = &bucket{tokens: 1, updatedAt: now}
			h.buckets[key] = b
		}
		b.limit, b.share = l.PerSecond, min(sanitizeRate(shares[key]), l.PerSecond)
	}
	for key := range h.buckets {
		if _, ok := limits[key]; !ok {
			delete(h.buckets, key)
		}
	}
}

// Allow records one request and takes a token for it. Without a token it returns false and the time until the next one.
func (h *HostLimiter) Allow(now time.Duration, tenant string, class model.Class) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.buckets[model.Limit{Tenant: tenant, Class: class}.Key()]
	if b == nil {
		return 0, true
	}
	b.advance(now, h.sharesExpireAt)
	b.requests++
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / b.rate(now, h.sharesExpireAt) * float64(time.Second)), false
}

// Demand returns the request rate by limit key, including requests that were not admitted.
func (h *HostLimiter) Demand(now time.Duration) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceAll(now)
	out := map[string]float64{}
	for key, b := range h.buckets {
		out[key] = b.requests / demandTimeConstant.Seconds()
	}
	return out
}

func (h *HostLimiter) advanceAll(now time.Duration) {
	for _, b := range h.buckets {
		b.advance(now, h.sharesExpireAt)
	}
}

func (b *bucket) rate(now, until time.Duration) float64 {
	if now < until {
		return b.share + FloorRate(b.limit)
	}
	return FloorRate(b.limit)
}

// advance adds the tokens earned since the last call and decays the request count. Time after the expiry of the share
// earns tokens at the floor rate only.
func (b *bucket) advance(now, until time.Duration) {
	if now <= b.updatedAt {
		return
	}
	withShare := max(0, min(now, until)-b.updatedAt).Seconds()
	elapsed := (now - b.updatedAt).Seconds()
	b.tokens += withShare*b.share + elapsed*FloorRate(b.limit)
	b.tokens = min(b.tokens, max(1, b.rate(now, until)*burstDuration.Seconds()))
	b.requests *= math.Exp(-elapsed / demandTimeConstant.Seconds())
	b.updatedAt = now
}
