package soak

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// maxKeptReports is the number of reports of an upstream that may arrive late.
	maxKeptReports = 40
	// serveAfterLeave is how long an upstream that leaves without draining goes on to serve.
	serveAfterLeave = 8 * time.Second
	// lateRounds is the number of upstreams that leave in a run with late reports.
	lateRounds = 4
	// lateReports is the number of reports that arrive late in each round, within maxLateness after the upstream left.
	lateReports = 12
	maxLateness = 6 * time.Second
)

// RunLateReports lets upstreams leave while replicas are stopped or killed, and delivers reports from before the leave late,
// once more and in any order.
func RunLateReports(cfg Config, seed uint64) (*Run, []string, error) {
	r := newRun(cfg, seed)
	return r.run(func(context.Context) error {
		for range lateRounds {
			if err := r.lateRound(); err != nil {
				return err
			}
		}
		return nil
	})
}

func (r *Run) lateRound() error {
	i := r.random.IntN(len(r.upstreams))
	u := r.upstreams[i]
	r.upstreams = append(r.upstreams[:i:i], r.upstreams[i+1:]...)
	if err := r.startUpstream(u.keyed); err != nil {
		return err
	}
	time.Sleep(time.Duration(r.random.Int64N(int64(time.Second))))
	var wg sync.WaitGroup
	defer wg.Wait()
	sent := u.reports()
	if r.random.IntN(2) == 0 {
		r.recordEvent("%s leaves", u.id)
		if !u.Leave() {
			return nil
		}
		time.AfterFunc(serveAfterLeave, u.Kill)
	} else {
		r.recordEvent("%s drains", u.id)
		u.Drain()
	}
	for range lateReports {
		body, delay := sent[r.random.IntN(len(sent))], time.Duration(r.random.Int64N(int64(maxLateness)))
		registry := u.group.registries[r.random.IntN(len(u.group.registries))]
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(delay)
			u.deliverLate(registry, body)
		}()
	}
	time.Sleep(time.Duration(r.random.Int64N(int64(maxLateness / 6))))
	h := r.fleet.Hosts[r.random.IntN(replicaCount)]
	switch r.random.IntN(4) {
	case 0:
		return r.KillLeader()
	case 1:
		return r.killReplicas()
	case 2:
		r.recordEvent("kill %s", h.Name)
		h.Kill()
	default:
		r.recordEvent("stop %s", h.Name)
		h.Stop()
	}
	return r.fleet.Start(h)
}

// Leave announces that the upstream leaves, without draining. It returns false if that was not acknowledged.
func (u *Upstream) Leave() bool {
	u.mu.Lock()
	u.left = true
	u.mu.Unlock()
	for i := range 3 * len(u.group.registries) {
		if u.deregister(i) {
			u.mu.Lock()
			u.drainAckedAt = time.Now()
			u.mu.Unlock()
			return true
		}
	}
	return false
}

func (u *Upstream) hasLeft() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.left
}

func (u *Upstream) reports() [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([][]byte(nil), u.sent...)
}

// deliverLate delivers a report that nobody waits for any more.
func (u *Upstream) deliverLate(registry string, body []byte) {
	late := &Upstream{id: u.id, ctx: context.Background()}
	_, _ = late.callRegistry(http.MethodPut, registry, body)
}
