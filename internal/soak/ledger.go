package soak

import (
	"fmt"
	"sync"
	"time"
)

// drainBound is the time after the acknowledgement of a leave within which requests may still arrive: two seconds, and
// what a caller's connection and a busy test machine may add.
const drainBound = 3 * time.Second

// Ledger gathers what callers and upstreams see, and what of it breaks a promise. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// runs counts the runs of each request.
	runs map[string]int
	// refused holds the orders that were answered as not run.
	refused    map[string]bool
	violations []string
	answered   int
	failed     int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}, refused: map[string]bool{}} }

// Violate notes a broken promise.
func (l *Ledger) Violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(format, args...)
}

func (l *Ledger) violate(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Run notes that an upstream began to run a request.
func (l *Ledger) Run(id, upstream string, order bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if order && l.runs[id] > 1 {
		l.violate("order %s ran a second time, at %s", id, upstream)
	}
	if order && l.refused[id] {
		l.violate("order %s was refused as not run and runs at %s", id, upstream)
	}
}

// Refused notes that an order was answered as not run.
func (l *Ledger) Refused(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[id] = true
	if l.runs[id] > 0 {
		l.violate("order %s ran and was refused as not run", id)
	}
}

// Answered notes a whole answer, and Failed any other end.
func (l *Ledger) Answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered++
}

// Failed notes a request without a whole answer.
func (l *Ledger) Failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
}

// Ran tells whether an upstream began to run the request.
func (l *Ledger) Ran(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] > 0
}

// Late notes a request that reached an upstream after it left.
func (l *Ledger) Late(id, upstream string, since time.Duration) {
	if since > drainBound {
		l.Violate("request %s reached %s %v after its leave was acknowledged", id, upstream, since)
	}
}

// Counts returns the numbers of requests answered and failed.
func (l *Ledger) Counts() (answered, failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered, l.failed
}

// Violations returns the broken promises.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}
