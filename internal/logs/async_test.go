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

// blockedWriter is a reader of the log that stopped reading until it is released.
type blockedWriter struct {
	unblock chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

// Guards against requests that wait for the reader of the log, a buffer without bound, and lines lost in silence.
func TestAsyncNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	writer := logs.NewAsync(out)
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
