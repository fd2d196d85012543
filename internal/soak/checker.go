package soak

import (
	"fmt"
	"sync"
	"time"
)

// drainGracePeriod is the time after the acknowledgement of a leave within which requests may still arrive: two seconds, and
// what a caller's connection and a busy test machine may add.
const drainGracePeriod = 3 * time.Second

// Checker gathers what callers and upstreams see, and what of it breaks a promise. It is safe for concurrent use.
type Checker struct {
	mu sync.Mutex
	// executions counts the executions of each request.
	executions map[string]int
	// refused holds the orders that were answered as not run.
	refused    map[string]bool
	violations []string
	answered   int
	failed     int
}

// NewChecker returns an empty ledger.
func NewChecker() *Checker { return &Checker{executions: map[string]int{}, refused: map[string]bool{}} }

// ReportViolation notes a broken promise.
func (c *Checker) ReportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RecordExecution notes that an upstream began to run a request.
func (c *Checker) RecordExecution(id, upstream string, order bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[id]++
	if order && c.executions[id] > 1 {
		c.addViolation("order %s ran a second time, at %s", id, upstream)
	}
	if order && c.refused[id] {
		c.addViolation("order %s was refused as not run and runs at %s", id, upstream)
	}
}

// RecordRefusal notes that an order was answered as not run.
func (c *Checker) RecordRefusal(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[id] = true
	if c.executions[id] > 0 {
		c.addViolation("order %s ran and was refused as not run", id)
	}
}

// RecordAnswer notes a whole answer, and Failed any other end.
func (c *Checker) RecordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
}

// RecordFailure notes a request without a whole answer.
func (c *Checker) RecordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed++
}

// WasExecuted tells whether an upstream began to run the request.
func (c *Checker) WasExecuted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[id] > 0
}

// CheckDrained notes a request that reached an upstream after it left.
func (c *Checker) CheckDrained(id, upstream string, sinceDrain time.Duration) {
	if sinceDrain > drainGracePeriod {
		c.ReportViolation("request %s reached %s %v after its leave was acknowledged", id, upstream, sinceDrain)
	}
}

// Counts returns the numbers of requests answered and failed.
func (c *Checker) Counts() (answered, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered, c.failed
}

// Violations returns the broken promises.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
