package gate

import (
	"sync"
	"time"
)

const (
	// estimateQuantile is the quantile of the times of a service that stands for a request that did not wait.
	estimateQuantile = 0.3
	// estimateStep is the part of the estimate by which one time moves it.
	estimateStep = 0.05
	// maxLoadRatio bounds what one request counts, in multiples of the estimate: most of a longer time was spent in a queue,
	// which says nothing of the key.
	maxLoadRatio = 2.5
)

// serviceTimeEstimator estimates the time that requests of each service take without waiting. It is safe for concurrent use.
type serviceTimeEstimator struct {
	mu        sync.Mutex
	estimates map[string]float64
}

func newServiceTimeEstimator() *serviceTimeEstimator {
	return &serviceTimeEstimator{estimates: map[string]float64{}}
}

// estimate returns the time that a request takes without waiting, or 0 if none was observed.
func (e *serviceTimeEstimator) estimate(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.estimates[service] * float64(time.Second))
}

// observe takes note of one request and returns the load that it stands for, and the time without waiting.
func (e *serviceTimeEstimator) observe(service string, elapsed time.Duration) (load, estimate time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := elapsed.Seconds()
	estimated, ok := e.estimates[service]
	switch {
	case !ok:
		estimated = seconds
	case seconds < estimated:
		estimated -= estimated * estimateStep * (1 - estimateQuantile)
	default:
		estimated += estimated * estimateStep * estimateQuantile
	}
	e.estimates[service] = estimated
	return time.Duration(min(seconds, maxLoadRatio*estimated) * float64(time.Second)),
		time.Duration(estimated * float64(time.Second))
}
