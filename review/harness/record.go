// Package harness starts the project's programs as separate processes on loopback addresses, with stand-ins for the
// platform: an operator, backends and clients that speak its published protocol.
package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a run: what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// OpenRecord creates the file and starts its clock.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A failed write shows in the record itself.
	_, _ = fmt.Fprintf(r.out, "%9.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format, args...)
	_ = r.out.WriteByte('\n')
}

// Since returns the time of t since the start, in seconds.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Close flushes and closes the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("flush record: %w", err)
	}
	if err := r.file.Close(); err != nil {
		return fmt.Errorf("close record: %w", err)
	}
	return nil
}
