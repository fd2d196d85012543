package audit

import "time"

// rateWindowSeconds is the length of the sliding window over which request rates are averaged.
const rateWindowSeconds = 10

// rateCounter counts the requests of a sliding window in one bucket per second.
type rateCounter struct {
	counts [rateWindowSeconds]int64
	// lastSecond is the Unix time of the newest bucket.
	lastSecond int64
}

func (r *Ring) countRequest(now time.Time, service string) {
	c := r.rates[service]
	if c == nil {
		c = &rateCounter{lastSecond: now.Unix()}
		r.rates[service] = c
	}
	c.advance(now.Unix())
	c.counts[c.lastSecond%rateWindowSeconds]++
}

// advance moves the window forward to second and clears the buckets that it reuses. An earlier second changes nothing.
func (c *rateCounter) advance(second int64) {
	for i := c.lastSecond + 1; i <= second && i <= c.lastSecond+rateWindowSeconds; i++ {
		c.counts[i%rateWindowSeconds] = 0
	}
	c.lastSecond = max(c.lastSecond, second)
}

// Rates returns the average requests per second of each service over the last 10 seconds. It omits idle services.
func (r *Ring) Rates(now time.Time) map[string]float64 {
	out := map[string]float64{}
	if r == nil {
		return out
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, c := range r.rates {
		c.advance(now.Unix())
		var total int64
		for _, count := range c.counts {
			total += count
		}
		if total > 0 {
			out[name] = float64(total) / rateWindowSeconds
		}
	}
	return out
}
