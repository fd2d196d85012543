package wire_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/room"
	"baobabreach/internal/wire"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

// startUpstream starts an upstream that writes response to each request and then waits. It returns its address and the
// number of its requests.
func startUpstream(t *testing.T, response string) (model.Upstream, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				requests.Add(1)
				_, _ = io.WriteString(c, response)
				_, _ = c.Read(make([]byte, 1))
			}()
		}
	}()
	return model.Upstream{Name: l.Addr().String(), Address: l.Addr().String()}, &requests
}

// Guards against responses that are each within the limit and together exceed the memory of the host, and against responses
// of other upstreams that fail because of them.
func TestResponsesThatArriveTogetherAreBounded(t *testing.T) {
	const limit, sends = 2 << 20, 60
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nBaobab-Request-Id: 1\r\nBaobab-Outcome: done\r\n"
	faulty, requests := startUpstream(t, head+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("b", 900_000))
	good, _ := startUpstream(t, head+"Content-Length: 200000\r\n\r\n"+strings.Repeat("g", 200_000))
	responses := room.New(limit)
	client := wire.New(wire.Config{
		Host: "h1", HTTP: &http.Client{Transport: &http.Transport{}}, MaxResponseBytes: 1 << 20, Responses: responses,
	})
	ctx, scope := room.NewScope(context.Background())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := wire.Request{ID: "1", Method: http.MethodPost, Path: "/x", Header: http.Header{}}
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range sends {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := client.Send(ctx, faulty, r)
			is.True(err != nil)
			is.Equal(err.Outcome, proto.OutcomeUnknown)
			failed.Add(1)
		}()
	}
	for range 1000 {
		if requests.Load() == sends && failed.Load() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	is.True(responses.Taken() <= limit)
	resp, err := client.Send(ctx, good, r)
	is.True(err == nil)
	is.Equal(len(resp.Body), 200_000)
	cancel()
	wg.Wait()
	is.True(responses.Taken() >= 200_000) // held until the request ends
	scope.End()
	is.Equal(responses.Taken(), int64(0))
}

// Guards against a request that is sent although there is no room for its response.
func TestRequestWithoutRoomForItsResponseIsNotSent(t *testing.T) {
	is := is.New(t)
	u, requests := startUpstream(t, "")
	client := wire.New(wire.Config{Host: "h1", HTTP: http.DefaultClient, MaxResponseBytes: 1, Responses: room.New(0)})
	_, err := client.Send(context.Background(), u, wire.Request{ID: "1", Method: http.MethodPost, Path: "/x"})
	is.True(err != nil)
	is.Equal(err.Outcome, proto.OutcomeNotRun)
	is.Equal(requests.Load(), int64(0))
}
