package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"baobabreach/internal/daemon"

	"github.com/matryer/is"
)

// serveForTest serves the handler with small limits and returns the address and a channel with the errors of reading the
// request bodies.
func serveForTest(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := daemon.NewServer(handle, 4<<10, 200*time.Millisecond)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// Guards against a peer that holds a handler and its buffers for ever by sending a body without end, one byte at a time.
func TestSlowBodyEndsAtTimeout(t *testing.T) {
	is := is.New(t)
	bodyErrors := make(chan error, 1)
	address := serveForTest(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		bodyErrors <- err
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	is.NoErr(err)
	stop := time.After(10 * time.Second)
	for {
		select {
		case err := <-bodyErrors:
			is.True(err != nil)
			return
		case <-stop:
			t.Fatal("the body was read for 10 s, the timeout is 200 ms")
		case <-time.After(20 * time.Millisecond):
			_, _ = io.WriteString(c, "1\r\nx\r\n")
		}
	}
}

// Guards against headers without end, which must end the connection.
func TestEndlessHeadersEndTheConnection(t *testing.T) {
	is := is.New(t)
	address := serveForTest(t, func(http.ResponseWriter, *http.Request) {})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	sent := 0
	for err == nil {
		is.True(sent < 16<<20)
		var n int
		n, err = io.WriteString(c, "X-Many: "+strings.Repeat("y", 1000)+"\r\n")
		sent += n
	}
}

// Guards against a handler that is cancelled by the timeout of a body that it has read completely.
func TestBodyTimeoutDoesNotCancelTheHandler(t *testing.T) {
	is := is.New(t)
	address := serveForTest(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(500 * time.Millisecond):
			_, _ = io.WriteString(w, "done")
		}
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for range 2 {
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
		is.NoErr(err)
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		is.NoErr(err)
		is.Equal(string(b), "done")
	}
}
