package audit

import "time"

// rateSeconds is the time over which request rates are measured.
const rateSeconds = 10

// rate counts requests in one slot per second.
type rate struct {
	counts [rateSeconds]int64
	// last is the second of the newest slot.
	last int64
}

func (r *Ring) count(now time.Time, service string) {
	c := r.rates[service]
	if c == nil {
		c = &rate{last: now.Unix()}
		r.rates[service] = c
	}
	c.advance(now.Unix())
	c.counts[c.last%rateSeconds]++
}

func (c *rate) advance(second int64) {
	for i := c.last + 1; i <= second && i <= c.last+rateSeconds; i++ {
		c.counts[i%rateSeconds] = 0
	}
	c.last = max(c.last, second)
}

// Rates returns the requests per second of each service over the last 10 seconds.
func (r *Ring) Rates(now time.Time) map[string]float64 {
	out := map[string]float64{}
	if r == nil {
		return out
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, c := range r.rates {
		c.advance(now.Unix())
		var n int64
		for _, x := range c.counts {
			n += x
		}
		if n > 0 {
			out[name] = float64(n) / rateSeconds
		}
	}
	return out
}
