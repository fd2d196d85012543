package gate_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"baobabreach/internal/gate"
	"baobabreach/internal/room"

	"github.com/matryer/is"
)

// slowBody is a body of which the first half arrives at once and the rest once release is closed.
type slowBody struct {
	first, rest *bytes.Reader
	release     chan struct{}
}

func newSlowBody(size int, release chan struct{}) *slowBody {
	return &slowBody{
		first: bytes.NewReader(make([]byte, size/2)), rest: bytes.NewReader(make([]byte, size-size/2)), release: release,
	}
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.first.Len() > 0 {
		return b.first.Read(p)
	}
	<-b.release
	return b.rest.Read(p)
}

// respondAfterBody returns a reply function that passes on the body.
func respondAfterBody(received chan<- []byte) func(c net.Conn, n int, r *http.Request) {
	return func(c net.Conn, n int, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		received <- b
		respondOK(c, n, r)
	}
}

// upload sends a POST request with a body. size is -1 for a body of unknown length.
func (f *fixture) upload(body io.Reader, size int64) (status int, retryAfter string) {
	r := httptest.NewRequest(http.MethodPost, "/o/1", body)
	r.Host, r.ContentLength = "a.example", size
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Left", "2000")
	w := httptest.NewRecorder()
	f.gate.ServeHTTP(w, r)
	return w.Code, w.Header().Get("Retry-After")
}

// Guards against bodies that arrive at the same time and together exceed the memory of the host, against small requests that
// one large body keeps out, and against room that is not given back.
func TestBodiesThatArriveTogetherAreBounded(t *testing.T) {
	const size, limit, uploads = 512 << 10, 1 << 20, 12
	for _, c := range []struct {
		name  string
		known bool
		// accepted is the largest number of uploads for which there may be room.
		accepted int
	}{{name: "known length", known: true, accepted: 1}, {name: "unknown length", accepted: 3}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixtureWith(t, func(cfg *gate.Config) { cfg.Bodies = room.New(limit) })
			f.setTable(1, true, newUpstream("u1", newFakeUpstream(t, respondOK)))
			release := make(chan struct{})
			statuses, refused := make(chan int, uploads), make(chan string, uploads)
			var wg sync.WaitGroup
			for range uploads {
				wg.Add(1)
				go func() {
					defer wg.Done()
					declared := int64(-1)
					if c.known {
						declared = size
					}
					status, retryAfter := f.upload(newSlowBody(size, release), declared)
					if status == http.StatusServiceUnavailable {
						refused <- retryAfter
					}
					statuses <- status
				}()
			}
			// Refusals do not wait for the rest of the body.
			for range uploads - c.accepted {
				select {
				case retryAfter := <-refused:
					is.Equal(retryAfter, "1.000")
				case <-time.After(10 * time.Second):
					t.Fatal("uploads beyond the limit are not refused")
				}
			}
			is.True(f.gate.Stats().BufferedBytes <= limit)
			status, _ := f.upload(bytes.NewReader(make([]byte, 1000)), 1000)
			is.Equal(status, http.StatusOK)
			close(release)
			wg.Wait()
			is.Equal(f.gate.Stats().BufferedBytes, int64(0))
		})
	}
}

// Guards against a body that is within the limit on bodies and refused although no other one is held, and against bodies
// that are changed on their way.
func TestLargeBodyIsServedAlone(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(t, func(cfg *gate.Config) { cfg.Bodies = room.New(200 << 10) })
	sent := bytes.Repeat([]byte("auburn bob "), 70<<10)
	received := make(chan []byte, 2)
	u := newFakeUpstream(t, respondAfterBody(received))
	f.setTable(1, true, newUpstream("u1", u))
	for _, size := range []int64{int64(len(sent)), -1} {
		status, _ := f.upload(bytes.NewReader(sent), size)
		is.Equal(status, http.StatusOK)
		is.True(bytes.Equal(<-received, sent))
		is.Equal(f.gate.Stats().BufferedBytes, int64(0))
	}
}
