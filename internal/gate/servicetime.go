package gate

import (
	"sync"
	"time"
)

const (
	// estimateQuantile is the quantile of a service's latencies that is taken as the service time without queueing.
	estimateQuantile = 0.3
	// estimateStep is the share of the estimate by which one observation moves it.
	estimateStep = 0.05
	// maxLoadRatio limits the load that one request counts for, in multiples of the estimate: most of a longer time was
	// spent in a queue, which says nothing about the load of the key.
	maxLoadRatio = 2.5
)

// serviceTimeEstimator estimates the service time without queueing of each service. It is safe for concurrent use.
type serviceTimeEstimator struct {
	mu        sync.Mutex
	estimates map[string]float64
}

func newServiceTimeEstimator() *serviceTimeEstimator {
	return &serviceTimeEstimator{estimates: map[string]float64{}}
}

// estimate returns the service time without queueing, or 0 before the first observation.
func (e *serviceTimeEstimator) estimate(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.estimates[service] * float64(time.Second))
}

// observe updates the estimate with the latency of one request. It returns the load that the request counts for and the
// new estimate.
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
