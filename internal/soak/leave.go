package soak

import (
	"context"
	"time"
)

// leavingRun is how long requests are sent after upstreams have begun to say that they leave.
const leavingRun = 9 * time.Second

const (
	// turnAwayRetryAfter is the time for which all upstreams turn requests away again and again during turnAwayRun.
	turnAwayRetryAfter = 3 * time.Second
	turnAwayRun        = 8 * time.Second
)

// RunTurnAway lets all upstreams refuse requests with a Retry-After. disturb is called soon afterwards, unless it is nil.
// Requests that reach an upstream before the time is over are violations, and so is a fleet that does not serve again
// afterwards.
func RunTurnAway(cfg Config, disturb func(r *Run) error) (*Run, []string, error) {
	r := newRun(cfg, 1)
	return r.run(func(context.Context) error {
		for _, u := range r.upstreams {
			u.TurnAway(turnAwayRetryAfter)
		}
		time.Sleep(time.Second)
		if disturb != nil {
			if err := disturb(r); err != nil {
				return err
			}
		}
		time.Sleep(turnAwayRun)
		for _, u := range r.upstreams {
			u.TurnAway(0)
		}
		time.Sleep(turnAwayRetryAfter)
		return nil
	})
}

// RunLeavingAnswers lets a keyed and an order upstream say in their answers that they leave, while they report that they are
// ready. disturb is called soon afterwards, unless it is nil. Requests that reach them later are violations.
func RunLeavingAnswers(cfg Config, disturb func(r *Run) error) (*Run, []string, error) {
	r := newRun(cfg, 1)
	return r.run(func(context.Context) error {
		for _, u := range []*Upstream{r.upstreams[0], r.upstreams[keyedUpstreams]} {
			r.recordEvent("%s says that it leaves", u.id)
			u.SayLeaving()
		}
		time.Sleep(time.Second)
		if disturb != nil {
			if err := disturb(r); err != nil {
				return err
			}
		}
		time.Sleep(leavingRun)
		return nil
	})
}
