// Package drain decides which requests a host that is being stopped still passes on. It performs no I/O.
package drain

import (
	"sync/atomic"
	"time"
)

// answerMargin is the time from the deadline of a request until its answer has been written.
const answerMargin = 100 * time.Millisecond

// Config configures a Drain.
type Config struct {
	// BalancerDelay is how long after the begin of the stop the load balancer may still send new connections.
	BalancerDelay time.Duration
	// Timeout is the time after BalancerDelay in which requests must end.
	Timeout time.Duration
}

// Drain is the planned stop of one host. The zero value and nil are a host that is not being stopped. It is safe for
// concurrent use.
type Drain struct {
	cfg  Config
	stop atomic.Pointer[schedule]
}

// schedule holds the times of a stop that has begun.
type schedule struct{ balancerDone, end time.Duration }

// New returns the drain of a host that is not being stopped.
func New(cfg Config) *Drain { return &Drain{cfg: cfg} }

// Begin begins the stop at the time now.
func (d *Drain) Begin(now time.Duration) {
	d.stop.Store(&schedule{balancerDone: now + d.cfg.BalancerDelay, end: now + d.cfg.BalancerDelay + d.cfg.Timeout})
}

// Stopping reports whether the stop has begun.
func (d *Drain) Stopping() bool { return d != nil && d.stop.Load() != nil }

// MaySend reports whether a request may be sent to an upstream. Once the load balancer sends new connections to other
// hosts, that holds only for a request that surely ends before the host does; any other one is better sent to another host.
func (d *Drain) MaySend(now, deadline time.Duration) bool {
	if d == nil {
		return true
	}
	s := d.stop.Load()
	return s == nil || now < s.balancerDone || deadline+answerMargin <= s.end
}
