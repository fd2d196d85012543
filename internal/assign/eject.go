package assign

import "time"

const (
	// failuresToEject is the number of consecutive failures after which an upstream is ejected: it gets no requests for a
	// while.
	failuresToEject = 3
	minEjection     = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	// maxEjectedDivisor limits the ejected upstreams of a service to a third.
	maxEjectedDivisor = 3
)

// EjectionRule is the failure rate that ejects an upstream even if its failures are not consecutive.
type EjectionRule struct {
	// RateLimit is the highest failure rate of an upstream that is not ejected, RateWeight the weight of one request in it.
	RateLimit, RateWeight float64
}

// Failures records the failures of one upstream. It is not safe for concurrent use.
type Failures struct {
	consecutive  int
	rate         float64
	ejections    int
	ejectedUntil time.Duration
}

// Succeed records a complete response that is no server error.
func (f *Failures) Succeed(rule EjectionRule) {
	f.consecutive = 0
	f.rate *= 1 - rule.RateWeight
}

// Fail records a failure and reports whether it ejected the upstream. Each ejection is twice as long as the one before, up
// to a limit.
func (f *Failures) Fail(now time.Duration, rule EjectionRule) bool {
	f.consecutive++
	f.rate += (1 - f.rate) * rule.RateWeight
	if (f.consecutive < failuresToEject && f.rate <= rule.RateLimit) || f.Ejected(now) {
		return false
	}
	f.ejectedUntil = now + min(maxEjection, minEjection<<min(f.ejections, 4))
	f.ejections++
	f.rate = rule.RateLimit / 2
	return true
}

// Eject ejects an upstream whose address belongs to another process, for the longest time.
func (f *Failures) Eject(now time.Duration) { f.ejectedUntil = now + maxEjection }

// Ejected reports whether the upstream gets no requests that others can run.
func (f *Failures) Ejected(now time.Duration) bool { return now < f.ejectedUntil }

// EjectedAsOwner reports whether the upstream gets no requests for its own keys either. There is no alternative to an owner
// that fails only some requests.
func (f *Failures) EjectedAsOwner(now time.Duration) bool {
	return f.Ejected(now) && f.consecutive >= failuresToEject
}

// EjectionsApply reports whether so few of the upstreams of a service are ejected that ejections are to be respected.
func EjectionsApply(ejected, total int) bool { return ejected <= max(1, total/maxEjectedDivisor) }
