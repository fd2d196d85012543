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
	RequestID: "X-Id", Deadline: "X-Left", Signature: "X-Signed", ExpectedUpstream: "X-Upstream", NotRun: "X-Not-Run", Key: "X-Key",
}

// upstream answers each request on each connection by what answer writes. It returns the address and counts connections.
func upstream(t *testing.T, answer func(c net.Conn, n int, r *http.Request)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					answer(c, n, r)
				}
			}()
		}
	}()
	return l.Addr().String(), &conns
}

func newPool() *pipe.Pool {
	start := time.Now()
	return pipe.New(pipe.Config{
		Names: names, Dial: (&net.Dialer{}).DialContext, Now: func() time.Duration { return time.Since(start) },
		MaxResponseBytes: 1 << 20, MaxIdle: 4,
	})
}

func request(address, id string) pipe.Request {
	return pipe.Request{
		ID: id, Method: http.MethodGet, Target: "/a/b?c=d", Host: "a.example", Header: http.Header{"X-Id": {id}},
		Left: time.Second, Upstream: "u1", Address: address,
	}
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func signed(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: s\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Guards against a request that reaches the upstream changed, or without the headers that protect it.
func TestARequestArrivesAsItWasSent(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	address, _ := upstream(t, func(c net.Conn, _ int, r *http.Request) {
		got <- r
		write(c, signed("1", "ok"))
	})
	a, f := newPool().Send(context.Background(), request(address, "1"))
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

// Guards against answers that are passed on though they are not whole, not the upstream's or not for this request, and
// against connections that are used again after such an answer.
func TestBadAnswersAreNeverPassedOn(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for name, c := range map[string]struct {
		answer string
		stage  pipe.Stage
	}{
		"crossed":       {signed("2", "ok"), pipe.StageUnknown},
		"truncated":     {ok + "X-Signed: s\r\nContent-Length: 9\r\n\r\nok", pipe.StageUnknown},
		"unsigned":      {ok + "Content-Length: 2\r\n\r\nok", pipe.StageUnknown},
		"encoded":       {ok + "X-Signed: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", pipe.StageUnknown},
		"garbage":       {"\x00\x01garbage\r\n\r\n", pipe.StageUnknown},
		"silence":       {"", pipe.StageUnknown},
		"not run":       {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", pipe.StageRefused},
		"other process": {"HTTP/1.1 421 Misdirected\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", pipe.StageRefused},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, conns := upstream(t, func(co net.Conn, _ int, _ *http.Request) {
				write(co, c.answer)
				if c.stage == pipe.StageUnknown {
					_ = co.Close()
				}
			})
			p := newPool()
			_, f := p.Send(context.Background(), request(address, "1"))
			is.True(f != nil)
			is.Equal(f.Stage, c.stage)
			_, f = p.Send(context.Background(), request(address, "1"))
			is.True(f != nil)
			if c.stage == pipe.StageUnknown {
				is.Equal(conns.Load(), int64(2))
			}
		})
	}
}

// Guards against a body without a length that ends with a reset and is taken for whole.
func TestAnUnframedBodyThatIsResetIsTruncated(t *testing.T) {
	is := is.New(t)
	address, _ := upstream(t, func(c net.Conn, _ int, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: s\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, f := newPool().Send(context.Background(), request(address, "1"))
	is.True(f != nil)
	is.Equal(f.Stage, pipe.StageUnknown)
}

// Guards against a late second answer that is given to the next request on the connection.
func TestALateExtraAnswerSpoilsTheConnection(t *testing.T) {
	is := is.New(t)
	address, conns := upstream(t, func(c net.Conn, _ int, r *http.Request) {
		id := r.Header.Get("X-Id")
		write(c, signed(id, "ok"))
		write(c, signed(id, "no"))
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		a, f := p.Send(context.Background(), request(address, id))
		is.True(f == nil)
		is.Equal(string(a.Body), "ok")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(conns.Load(), int64(3))
}

// Guards against a connection that is used again while the upstream still waits for the rest of an earlier body.
func TestAnEarlyAnswerToALongBodySpoilsTheConnection(t *testing.T) {
	is := is.New(t)
	address, conns := upstream(t, func(c net.Conn, _ int, r *http.Request) {
		write(c, "HTTP/1.1 413 Too Large\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	})
	p := newPool()
	q := request(address, "1")
	q.Method, q.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	a, f := p.Send(context.Background(), q)
	is.True(f == nil)
	is.Equal(a.Status, http.StatusRequestEntityTooLarge)
	_, f = p.Send(context.Background(), request(address, "2"))
	is.True(f == nil)
	is.Equal(conns.Load(), int64(2))
}

// Guards against a request that counts as possibly run though its upstream was never reached, and against a second
// connection where an idle one is good.
func TestConnections(t *testing.T) {
	is := is.New(t)
	_, f := newPool().Send(context.Background(), request("127.0.0.1:1", "1"))
	is.True(f != nil)
	is.Equal(f.Stage, pipe.StageNotSent)
	address, conns := upstream(t, func(c net.Conn, _ int, r *http.Request) { write(c, signed(r.Header.Get("X-Id"), "ok")) })
	p := newPool()
	for range 3 {
		_, f := p.Send(context.Background(), request(address, "1"))
		is.True(f == nil)
	}
	is.Equal(conns.Load(), int64(1))
}

// Guards against an upstream that works on after the caller has left.
func TestACancelledRequestClosesItsConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := upstream(t, func(c net.Conn, _ int, _ *http.Request) {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, f := newPool().Send(ctx, request(address, "1"))
	is.True(f != nil)
	is.Equal(f.Stage, pipe.StageUnknown)
	is.True(!f.Broken)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stayed open")
	}
}
