package soak

import (
	"context"
	"time"
)

// leavingRun is how long requests are sent after upstreams have begun to say that they leave.
const leavingRun = 9 * time.Second

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
