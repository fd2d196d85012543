package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/daemon"
	"baobabreach/internal/model"

	"github.com/matryer/is"
)

// Guards against a refusal of a large body that the caller does not get, because the server closes the connection with
// unread bytes and so resets it: the caller can't know that its request has not run.
func TestRefusalOfALargeBodyArrives(t *testing.T) {
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := daemon.NewServer(refuse, 4<<10, 30*time.Second)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := daemon.NewBoundedServer(config.Config{}, callers, refuse, func() model.Bounds { return model.Bounds{} })
	t.Cleanup(func() { bounded.Stop(context.Background()) })

	for name, address := range map[string]string{"server": l.Addr().String(), "callers": callers.Addr().String()} {
		for _, chunked := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				var wg sync.WaitGroup
				var refused atomic.Int64
				for range 20 {
					wg.Go(func() {
						var body io.Reader = bytes.NewReader(make([]byte, 8<<20))
						if chunked {
							body = struct{ io.Reader }{body}
						}
						transport := &http.Transport{DisableKeepAlives: true}
						resp, err := (&http.Client{Transport: transport}).Post("http://"+address+"/", "", body)
						if err != nil {
							t.Log(err)
							return
						}
						_ = resp.Body.Close()
						if resp.StatusCode == http.StatusServiceUnavailable {
							refused.Add(1)
						}
					})
				}
				wg.Wait()
				is.Equal(refused.Load(), int64(20))
			})
		}
	}
}

// Guards against a refusal that waits for a part of the body from a caller that sends slowly.
func TestRefusalOfASlowBodyArrivesAtOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := daemon.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}), 4<<10, 30*time.Second)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	for _, framing := range []string{"Content-Length: 9000000", "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+framing+"\r\n\r\n3\r\nabc\r\n")
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Close)
		_ = resp.Body.Close()
		_ = c.Close()
	}
}
