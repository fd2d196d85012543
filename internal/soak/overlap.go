package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// overlapRounds is the number of rounds of planned work that overlaps, and overlapPause the longest time between two steps.
	overlapRounds = 3
	overlapPause  = 400 * time.Millisecond
	// stoppedTogether is the number of entry hosts that are stopped at the same time, one replica beside them.
	stoppedTogether = 2
)

// RunOverlappingWork stops and starts several hosts at the same time, while the configuration changes, other hosts get
// hangups and upstreams are drained and added. Only planned work is done, so a request that an upstream ran and that ends
// without an answer is a violation.
func RunOverlappingWork(cfg Config, seed uint64) (*Run, []string, error) {
	r := newRun(cfg, seed)
	r.plannedOnly = true
	return r.run(func(ctx context.Context) error {
		for range overlapRounds {
			if err := r.overlapWork(ctx); err != nil {
				return err
			}
		}
		return nil
	})
}

// overlapWork does one round of planned work.
func (r *Run) overlapWork(ctx context.Context) error {
	entryHosts := r.fleet.EntryHosts()
	stopped := []*Host{r.fleet.Hosts[r.random.IntN(replicaCount)]}
	order := r.random.Perm(len(entryHosts))
	for _, i := range order[:stoppedTogether] {
		stopped = append(stopped, entryHosts[i])
	}
	var wg sync.WaitGroup
	errs := make(chan error, len(stopped))
	for _, h := range stopped {
		r.recordEvent("stop %s", h.Name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.Stop()
			errs <- r.fleet.Start(h)
		}()
		time.Sleep(time.Duration(r.random.Int64N(int64(overlapPause))))
	}
	for _, i := range order[stoppedTogether:] {
		r.recordEvent("hangup %s", entryHosts[i].Name)
		entryHosts[i].Signal(syscall.SIGHUP)
	}
	r.recordEvent("change the configuration")
	r.operator.Change(ctx)
	i := r.random.IntN(len(r.upstreams))
	u := r.upstreams[i]
	r.upstreams = append(r.upstreams[:i:i], r.upstreams[i+1:]...)
	r.recordEvent("drain upstream %s", u.id)
	u.Drain()
	if err := r.startUpstream(u.keyed); err != nil {
		return err
	}
	r.operator.Change(ctx)
	wg.Wait()
	for range stopped {
		if err := <-errs; err != nil {
			return err
		}
	}
	// A voter that was stopped must have caught up before the next one is.
	time.Sleep(2 * time.Second)
	return nil
}
