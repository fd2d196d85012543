package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"baobabreach/internal/logs"

	"github.com/matryer/is"
)

// blockedWriter simulates a log consumer that has stopped reading. Its writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// Guards against log calls that block on a slow consumer, an unbounded buffer, and lines that are dropped without a
// message.
func TestAsyncNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	writer := logs.NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 4096 {
		_, err := writer.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(start) < 5*time.Second)
	close(out.unblock)
	writer.Close()
	is.True(out.out.Len() <= 2*logs.MaxQueuedBytes+1024)
	is.True(strings.Contains(out.out.String(), "lines dropped"))
}
