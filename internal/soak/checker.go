package soak

import (
	"fmt"
	"sync"
	"time"
)

// drainGracePeriod is how long requests may still arrive after a drain was acknowledged: 2 s, plus the delay that a
// caller's connection and a busy test machine may add.
const drainGracePeriod = 3 * time.Second

// Checker records what callers and upstreams observe and collects violations of guarantees. It is safe for concurrent use.
type Checker struct {
	mu sync.Mutex
	// executions counts the executions per request ID.
	executions map[string]int
	// refused holds the IDs of orders that were refused as not executed.
	refused    map[string]bool
	violations []string
	answered   int
	failed     int
}

// NewChecker returns a checker without records.
func NewChecker() *Checker { return &Checker{executions: map[string]int{}, refused: map[string]bool{}} }

// ReportViolation adds a violation of a guarantee.
func (c *Checker) ReportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RecordExecution records that an upstream started to execute a request. An order is a request that is not idempotent: it
// may be executed at most once, and never after a refusal.
func (c *Checker) RecordExecution(id, upstream string, order bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[id]++
	if order && c.executions[id] > 1 {
		c.addViolation("order %s was executed more than once, last by %s", id, upstream)
	}
	if order && c.refused[id] {
		c.addViolation("order %s was executed by %s after it was refused as not executed", id, upstream)
	}
}

// RecordRefusal records that an order was refused as not executed.
func (c *Checker) RecordRefusal(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[id] = true
	if c.executions[id] > 0 {
		c.addViolation("order %s was refused as not executed after it was executed", id)
	}
}

// RecordAnswer counts a request with a complete successful response.
func (c *Checker) RecordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
}

// RecordFailure counts a request without a complete successful response.
func (c *Checker) RecordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed++
}

// WasExecuted reports whether an upstream started to execute the request.
func (c *Checker) WasExecuted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[id] > 0
}

// CheckDrained adds a violation if a request reached an upstream later than drainGracePeriod after its drain was
// acknowledged.
func (c *Checker) CheckDrained(id, upstream string, sinceDrain time.Duration) {
	if sinceDrain > drainGracePeriod {
		c.ReportViolation("request %s reached upstream %s %v after its drain was acknowledged", id, upstream, sinceDrain)
	}
}

// Counts returns the numbers of answered and failed requests.
func (c *Checker) Counts() (answered, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered, c.failed
}

// Violations returns a copy of all violations.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
