package logs

import (
	"io"
	"strconv"
	"sync"
)

// AsyncBytes bounds the log lines that wait for a slow reader.
const AsyncBytes = 256 << 10

// Async writes in the background, so that no caller waits for the reader of the log. What finds the buffer full is
// dropped and counted; a line tells how much.
type Async struct {
	out io.Writer

	mu      sync.Mutex
	wake    *sync.Cond
	buffer  []byte
	dropped int
	closed  bool
	done    chan struct{}
}

// NewAsyncWriter returns a writer that is closed by Close.
func NewAsyncWriter(out io.Writer) *Async {
	a := &Async{out: out, done: make(chan struct{})}
	a.wake = sync.NewCond(&a.mu)
	go a.run()
	return a
}

// Write queues one line.
func (a *Async) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buffer)+len(b) > AsyncBytes || a.closed {
		a.dropped++
		return len(b), nil
	}
	a.buffer = append(a.buffer, b...)
	a.wake.Signal()
	return len(b), nil
}

// Close writes what is queued.
func (a *Async) Close() {
	a.mu.Lock()
	a.closed = true
	a.wake.Signal()
	a.mu.Unlock()
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)
	for {
		a.mu.Lock()
		for len(a.buffer) == 0 && !a.closed {
			a.wake.Wait()
		}
		b, dropped, closed := a.buffer, a.dropped, a.closed
		a.buffer, a.dropped = nil, 0
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
