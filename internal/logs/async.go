package logs

import (
	"io"
	"strconv"
	"sync"
)

// MaxQueuedBytes is the size limit of the lines that an AsyncWriter queues.
const MaxQueuedBytes = 256 << 10

// AsyncWriter writes log lines in the background, so that a slow log consumer does not block the caller. It drops lines
// while the queue is full and logs the number of dropped lines with the next write.
type AsyncWriter struct {
	out io.Writer

	mu           sync.Mutex
	cond         *sync.Cond
	queued       []byte
	droppedLines int
	closed       bool
	done         chan struct{}
}

// NewAsyncWriter starts a writer to out. The caller must stop it with Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, done: make(chan struct{})}
	a.cond = sync.NewCond(&a.mu)
	go a.run()
	return a
}

// Write queues one line or drops it. It never blocks on the output and never fails.
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

// Close waits until the queued lines are written. Lines written later are dropped.
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
			// The error is ignored because there is no other place to report a failed log write.
			_, _ = a.out.Write(b)
		}
		if closed {
			return
		}
	}
}
