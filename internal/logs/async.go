package logs

import (
	"io"
	"strconv"
	"sync"
)

// MaxQueuedBytes bounds the log lines that wait for a slow reader.
const MaxQueuedBytes = 256 << 10

// AsyncWriter writes in the background, so that no caller waits for the reader of the log. What finds the buffer full is
// dropped and counted; a line tells how much.
type AsyncWriter struct {
	out io.Writer

	mu           sync.Mutex
	cond         *sync.Cond
	queued       []byte
	droppedLines int
	closed       bool
	done         chan struct{}
}

// NewAsync returns a writer that is closed by Close.
func NewAsync(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, done: make(chan struct{})}
	a.cond = sync.NewCond(&a.mu)
	go a.run()
	return a
}

// Write queues one line.
func (a *AsyncWriter) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queued)+len(b) > MaxQueuedBytes || a.closed {
		a.droppedLines++
		return len(b), nil
	}
	a.queued = append(a.queued, b...)
	a.cond.Signal()
	return len(b), nil
}

// Close writes what is queued.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	a.closed = true
	a.cond.Signal()
	a.mu.Unlock()
	<-a.done
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		a.mu.Lock()
		for len(a.queued) == 0 && !a.closed {
			a.cond.Wait()
		}
		b, dropped, closed := a.queued, a.droppedLines, a.closed
		a.queued, a.droppedLines = nil, 0
		a.mu.Unlock()
		if dropped > 0 {
			b = append(b, `{"level":"WARN","msg":"logs: lines dropped","count":`+strconv.Itoa(dropped)+"}\n"...)
		}
		if len(b) > 0 {
			// Nobody can be told of a log that can't be written.
			_, _ = a.out.Write(b)
		}
		if closed {
			return
		}
	}
}
