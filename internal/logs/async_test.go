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

// stuck is a reader of the log that stopped reading until it is released.
type stuck struct {
	release chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

// Guards against requests that wait for the reader of the log, a buffer without bound, and lines lost in silence.
func TestAsyncNeverBlocks(t *testing.T) {
	is := is.New(t)
	s := &stuck{release: make(chan struct{})}
	a := logs.NewAsyncWriter(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 4096 {
		_, err := a.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(start) < 5*time.Second)
	close(s.release)
	a.Close()
	is.True(s.out.Len() <= 2*logs.AsyncBytes+1024)
	is.True(strings.Contains(s.out.String(), "lines dropped"))
}
