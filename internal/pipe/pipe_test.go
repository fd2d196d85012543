package pipe_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"baobabreach/internal/pipe"

	"github.com/matryer/is"
)

var names = pipe.HeaderNames{
	RequestID: "X-Id", Deadline: "X-Left", Signature: "X-Signed", ExpectedUpstream: "X-Upstream", NotRun: "X-Not-Run",
	Key: "X-Key",
}

// startUpstream starts a server that calls respond for each request. It returns the address and the number of accepted
// connections.
func startUpstream(t *testing.T, respond func(c net.Conn, n int, r *http.Request)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var acceptedConns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			acceptedConns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					respond(c, n, r)
				}
			}()
		}
	}()
	return l.Addr().String(), &acceptedConns
}

func newPool() *pipe.Pool {
	start := time.Now()
	return pipe.New(pipe.Config{
		Names: names, Dial: (&net.Dialer{}).DialContext, Now: func() time.Duration { return time.Since(start) },
		MaxHeadBytes: 64 << 10, MaxResponseBytes: 1 << 20, MaxIdle: 4,
	})
}

func newRequest(address, id string) pipe.Request {
	return pipe.Request{
		ID: id, Method: http.MethodGet, Target: "/a/b?c=d", Host: "a.example", Header: http.Header{"X-Id": {id}},
		Timeout: time.Second, Upstream: "u1", Address: address,
	}
}

func writeString(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func signedResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: s\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against a request that is modified on the way to the upstream, or that lacks the deadline or the name of the
// expected upstream.
func TestRequestIsSentUnmodified(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	address, _ := startUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		got <- r
		writeString(c, signedResponse("1", "ok"))
	})
	a, f := newPool().Send(context.Background(), newRequest(address, "1"))
	is.True(f == nil)
	is.Equal(string(a.Body), "ok")
	r := <-got
	is.Equal(r.RequestURI, "/a/b?c=d")
	is.Equal(r.Host, "a.example")
	is.Equal(r.Header.Get("X-Upstream"), "u1")
	is.Equal(r.Header.Get("X-Left"), "1000")
	is.Equal(r.Header.Get("Accept-Encoding"), "")
	is.Equal(r.Header.Get("User-Agent"), "")
}

// Guards against returning a response that is incomplete, not from the upstream or not for this request, and against
// reusing the connection after such a response.
func TestInvalidResponsesAreRejected(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for name, c := range map[string]struct {
		response string
		stage    pipe.Stage
	}{
		"crossed":       {signedResponse("2", "ok"), pipe.StageUnknown},
		"truncated":     {ok + "X-Signed: s\r\nContent-Length: 9\r\n\r\nok", pipe.StageUnknown},
		"unsigned":      {ok + "Content-Length: 2\r\n\r\nok", pipe.StageUnknown},
		"encoded":       {ok + "X-Signed: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", pipe.StageUnknown},
		"two requests":  {ok + "X-Id: 2\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok", pipe.StageUnknown},
		"hop signature": {ok + "X-Signed: s\r\nConnection: x-signed\r\nContent-Length: 2\r\n\r\nok", pipe.StageUnknown},
		"garbage":       {"\x00\x01garbage\r\n\r\n", pipe.StageUnknown},
		"silence":       {"", pipe.StageUnknown},
		"not run":       {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", pipe.StageRefused},
		"other process": {"HTTP/1.1 421 Misdirected\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", pipe.StageRefused},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, acceptedConns := startUpstream(t, func(co net.Conn, _ int, _ *http.Request) {
				writeString(co, c.response)
				if c.stage == pipe.StageUnknown {
					_ = co.Close()
				}
			})
			p := newPool()
			_, f := p.Send(context.Background(), newRequest(address, "1"))
			is.True(f != nil)
			is.Equal(f.Stage, c.stage)
			_, f = p.Send(context.Background(), newRequest(address, "1"))
			is.True(f != nil)
			if c.stage == pipe.StageUnknown {
				is.Equal(acceptedConns.Load(), int64(2))
			}
		})
	}
}

// Guards against treating a response body without a length as complete when the connection is reset.
func TestResetOfUnframedBodyIsTruncation(t *testing.T) {
	is := is.New(t)
	address, _ := startUpstream(t, func(c net.Conn, _ int, _ *http.Request) {
		writeString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, f := newPool().Send(context.Background(), newRequest(address, "1"))
	is.True(f != nil)
	is.Equal(f.Stage, pipe.StageUnknown)
}

// Guards against assigning a late second response to the next request on the connection.
func TestConnectionIsNotReusedAfterExtraResponse(t *testing.T) {
	is := is.New(t)
	address, acceptedConns := startUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		id := r.Header.Get("X-Id")
		writeString(c, signedResponse(id, "ok"))
		writeString(c, signedResponse(id, "no"))
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		a, f := p.Send(context.Background(), newRequest(address, id))
		is.True(f == nil)
		is.Equal(string(a.Body), "ok")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(acceptedConns.Load(), int64(3))
}

// Guards against reusing a connection while the upstream still expects the rest of an earlier request body.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	is := is.New(t)
	address, acceptedConns := startUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		writeString(c, "HTTP/1.1 413 Too Large\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	})
	p := newPool()
	req := newRequest(address, "1")
	req.Method, req.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	a, f := p.Send(context.Background(), req)
	is.True(f == nil)
	is.Equal(a.Status, http.StatusRequestEntityTooLarge)
	_, f = p.Send(context.Background(), newRequest(address, "2"))
	is.True(f == nil)
	is.Equal(acceptedConns.Load(), int64(2))
}

// Guards against reporting a request as possibly run if the upstream was never reached, and against dialling a new
// connection when an idle one is usable.
func TestDialFailureAndConnectionReuse(t *testing.T) {
	is := is.New(t)
	_, f := newPool().Send(context.Background(), newRequest("127.0.0.1:1", "1"))
	is.True(f != nil)
	is.Equal(f.Stage, pipe.StageNotSent)
	address, acceptedConns := startUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		writeString(c, signedResponse(r.Header.Get("X-Id"), "ok"))
	})
	p := newPool()
	for range 3 {
		_, f := p.Send(context.Background(), newRequest(address, "1"))
		is.True(f == nil)
	}
	is.Equal(acceptedConns.Load(), int64(1))
}

// Guards against an upstream that keeps processing a request after the caller has disconnected.
func TestCancelledRequestClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := startUpstream(t, func(c net.Conn, _ int, _ *http.Request) {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, f := newPool().Send(ctx, newRequest(address, "1"))
	is.True(f != nil)
	is.Equal(f.Stage, pipe.StageUnknown)
	is.True(!f.ConnFailed)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("connection was not closed within 5 s after the request was cancelled")
	}
}

// Guards against memory that grows without limit while an upstream sends bytes without end in place of a response.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\n"
	filler := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":    {"HTTP/1.1 200 ", filler},
		"header value":   {ok + "X-Long: ", filler},
		"header lines":   {ok, strings.Repeat("X-Many: y\r\n", 2<<10)},
		"interim":        {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)},
		"interim header": {"HTTP/1.1 103 Early Hints\r\nX-Long: ", filler},
		"garbage":        {"", strings.Repeat("\x00\x01", 16<<10)},
		"unframed body":  {ok + "\r\n", filler},
		"chunked body":   {ok + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
		"chunk size":     {ok + "Transfer-Encoding: chunked\r\n\r\n", filler},
		"trailer":        {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", filler},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			address, _ := startUpstream(t, func(co net.Conn, _ int, _ *http.Request) {
				writeString(co, c.start)
				for {
					n, err := io.WriteString(co, c.repeated)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			p := newPool()
			_, f := p.Send(ctx, newRequest(address, "1"))
			is.True(f != nil)
			is.Equal(f.Stage, pipe.StageUnknown)
			is.NoErr(ctx.Err())
			// The kernel buffers of both ends hold a few MB.
			is.True(sent.Load() < 32<<20)
		})
	}
}

// Guards against a request that waits longer than its context for a response of which one byte arrives at a time.
func TestTricklingResponseEndsWithContext(t *testing.T) {
	is := is.New(t)
	address, _ := startUpstream(t, func(c net.Conn, _ int, _ *http.Request) {
		for {
			if _, err := io.WriteString(c, "H"); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	_, f := newPool().Send(ctx, newRequest(address, "1"))
	is.True(f != nil)
	is.Equal(f.Stage, pipe.StageUnknown)
	is.True(time.Since(startedAt) < 5*time.Second)
}

// Guards against a late copy of a refusal without an ID that is taken for the answer to the next request on the connection:
// that request would be sent again, although it runs.
func TestLateRefusalWithoutIDIsNotForTheNextRequest(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	address, acceptedConns := startUpstream(t, func(c net.Conn, n int, r *http.Request) {
		if n == 1 {
			writeString(c, refusal)
		}
		writeString(c, signedResponse(r.Header.Get("X-Id"), "ok"))
	})
	p := newPool()
	_, f := p.Send(context.Background(), newRequest(address, "1"))
	is.True(f == nil)
	_, f = p.Send(context.Background(), newRequest(address, "2"))
	is.True(f != nil)
	is.Equal(f.Stage, pipe.StageUnknown)
	_, f = p.Send(context.Background(), newRequest(address, "3"))
	is.True(f == nil)
	is.Equal(acceptedConns.Load(), int64(2))
}

// Guards against a live upstream that is taken for one that ended, and the other way round.
func TestProbeTellsWhetherAProcessListens(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := newPool()
	is.Equal(p.Probe(t.Context(), l.Addr().String()), pipe.LivenessListening)
	_ = l.Close()
	is.Equal(p.Probe(t.Context(), l.Addr().String()), pipe.LivenessRefused)
}

// Guards against a response that ends in its head, or in a body of known length, and is taken for a whole one.
func TestResponseCutOffAnywhereIsRejected(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\nKeep-Alive: timeout=5\r\n"
	for name, c := range map[string]struct {
		response string
		// cuts is the number of bytes after which the response may end at the latest and still be incomplete.
		cuts int
	}{
		"length":   {head + "Content-Length: 12\r\n\r\ntwelve bytes", len(head) + 34},
		"chunked":  {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", len(head) + 42},
		"unframed": {head + "Connection: close\r\n\r\nbody", len(head) + 20},
		"interim":  {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", 25 + len(head) + 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool()
			for n := range c.cuts {
				address, _ := startUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
					writeString(conn, c.response[:n])
					_ = conn.Close()
				})
				resp, failure := p.Send(context.Background(), newRequest(address, "1"))
				if resp != nil || failure == nil || failure.Stage != pipe.StageUnknown {
					t.Fatalf("cut after %d bytes: %v, %v", n, resp, failure)
				}
				is.True(failure.Broken)
			}
			address, _ := startUpstream(t, func(conn net.Conn, _ int, _ *http.Request) {
				writeString(conn, c.response)
				_ = conn.Close()
			})
			_, failure := p.Send(context.Background(), newRequest(address, "1"))
			is.True(failure == nil)
		})
	}
}
