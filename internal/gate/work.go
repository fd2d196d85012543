package gate

import (
	"sync"
	"time"
)

const (
	// workQuantile is the quantile of the times of a service that stands for a request that did not wait.
	workQuantile = 0.3
	// workStep is the part of the estimate by which one time moves it.
	workStep = 0.05
	// workCap bounds what one request counts, in multiples of the estimate: most of a longer time was spent in a queue,
	// which says nothing of the key.
	workCap = 2.5
)

// work estimates the time that requests of each service take without waiting. It is safe for concurrent use.
type work struct {
	mu       sync.Mutex
	services map[string]float64
}

func newWork() *work { return &work{services: map[string]float64{}} }

// usual returns the time that a request takes without waiting, or 0 if none was observed.
func (w *work) usual(service string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.services[service] * float64(time.Second))
}

// observe takes note of one request and returns the load that it stands for, and the time without waiting.
func (w *work) observe(service string, elapsed time.Duration) (load, usual time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := elapsed.Seconds()
	q, ok := w.services[service]
	switch {
	case !ok:
		q = s
	case s < q:
		q -= q * workStep * (1 - workQuantile)
	default:
		q += q * workStep * workQuantile
	}
	w.services[service] = q
	return time.Duration(min(s, workCap*q) * float64(time.Second)), time.Duration(q * float64(time.Second))
}
