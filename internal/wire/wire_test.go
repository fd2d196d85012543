package wire_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"baobabreach/internal/model"
	"baobabreach/internal/wire"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

// Guards against a refusal that an upstream writes once more on a kept connection and that is taken for the answer to the
// next send of the same request, which the upstream runs.
func TestRepeatedRefusalIsNotForTheNextSend(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	const refusal = "HTTP/1.1 503 Full\r\nBaobab-Request-Id: 1\r\nBaobab-Outcome: not_run\r\nContent-Length: 2\r\n\r\n{}"
	const success = "HTTP/1.1 200 OK\r\nBaobab-Request-Id: 1\r\nBaobab-Outcome: done\r\nContent-Length: 2\r\n\r\nok"
	var requests atomic.Int64
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			switch {
			case requests.Add(1) == 1:
				_, _ = io.WriteString(c, refusal)
			case n > 0:
				_, _ = io.WriteString(c, refusal+success)
			default:
				_, _ = io.WriteString(c, success)
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	client := wire.New(wire.Config{Host: "h1", HTTP: &http.Client{Transport: &http.Transport{}}, MaxResponseBytes: 1 << 20})
	u := model.Upstream{Name: "u1", Address: l.Addr().String()}
	r := wire.Request{ID: "1", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: []byte("order")}
	_, refused := client.Send(context.Background(), u, r)
	is.True(refused != nil)
	is.Equal(refused.Outcome, proto.OutcomeNotRun)
	resp, failed := client.Send(context.Background(), u, r)
	is.True(failed == nil)
	is.Equal(string(resp.Body), "ok")
}
