package pipe_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"baobabreach/internal/pipe"
	"baobabreach/internal/room"

	"github.com/matryer/is"
)

// newPoolWithRoom returns a pool whose responses may take limit bytes together.
func newPoolWithRoom(limit int64) *pipe.Pool {
	start := time.Now()
	return pipe.New(pipe.Config{
		Names: names, Dial: (&net.Dialer{}).DialContext, Now: func() time.Duration { return time.Since(start) },
		MaxHeadBytes: 64 << 10, MaxResponseBytes: 1 << 20, MaxIdle: 4,
		Responses: room.New(limit),
	})
}

const signedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\n"

// unfinished are the starts of responses within the limits for one, whose ends never arrive.
var unfinished = map[string]string{
	"body with a length":    signedHead + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("b", 900_000),
	"body in chunks":        signedHead + "Transfer-Encoding: chunked\r\n\r\ndbba0\r\n" + strings.Repeat("b", 890_000),
	"body without a length": signedHead + "\r\n" + strings.Repeat("b", 900_000),
	"header":                "HTTP/1.1 200 OK\r\nX-Id: " + strings.Repeat("h", 60_000),
	"headers":               "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Some: header\r\n", 3_800),
	"interim responses":     strings.Repeat("HTTP/1.1 102 Processing\r\nX-A: "+strings.Repeat("h", 14_000)+"\r\n\r\n", 3),
	"no response":           strings.Repeat("b", 60_000),
}

// Guards against responses that are each within the limits and together exceed the memory of the host, and against responses
// of other upstreams that fail because of them.
func TestResponsesThatArriveTogetherAreBounded(t *testing.T) {
	const limit, sends = 2 << 20, 100
	for name, start := range unfinished {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			faulty, accepted := startUpstream(t, func(c net.Conn, _ int, _ *http.Request) {
				writeString(c, start)
				_, _ = c.Read(make([]byte, 1))
			})
			body := strings.Repeat("g", 200_000)
			good, _ := startUpstream(t, func(c net.Conn, _ int, r *http.Request) {
				length := 2
				if r.Method == http.MethodPut {
					length = len(body)
				}
				writeString(c, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Signed: s\r\nContent-Length: "+strconv.Itoa(length)+"\r\n\r\n")
				writeString(c, body[:length])
			})
			p := newPoolWithRoom(limit)
			heapBefore := liveBytes()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var wg sync.WaitGroup
			for range sends {
				wg.Add(1)
				go func() {
					defer wg.Done()
					_, f := p.Send(ctx, newRequest(faulty, "1"))
					is.True(f != nil)
				}()
			}
			for range 1000 {
				if accepted.Load()+p.Stats().CrowdedOut >= sends {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(200 * time.Millisecond)
			is.True(p.Stats().ResponseBytes <= limit)
			// The connections and the stand-in upstream take memory too.
			is.True(liveBytes()-heapBefore < limit+sends*(64<<10))
			for _, method := range []string{http.MethodGet, http.MethodPut} {
				req := newRequest(good, "2")
				req.Method = method
				resp, f := p.Send(context.Background(), req)
				is.True(f == nil)
				resp.Release()
			}
			cancel()
			wg.Wait()
			is.Equal(p.Stats().ResponseBytes, int64(0))
		})
	}
}

func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
