package room_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"baobabreach/internal/room"

	"github.com/matryer/is"
)

// Guards against messages to a listener that together exceed its memory: one faulty sender opens many connections and sends
// part of a message on each. The messages of other senders must still arrive.
func TestMessagesOfOneSenderLeaveRoomForOthers(t *testing.T) {
	const limit, size = 1 << 20, 60 << 10
	is := is.New(t)
	r := room.New(limit)
	server := httptest.NewServer(room.Handler(r, 1<<20, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(w, req.Body)
	})))
	defer server.Close()
	for i := range 100 {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		head := "Transfer-Encoding: chunked\r\n\r\nf000\r\n"
		if i%2 == 0 {
			head = fmt.Sprintf("Content-Length: %d\r\n\r\n", size+1)
		}
		_, err = io.WriteString(c, "PUT / HTTP/1.1\r\nHost: a\r\n"+head+strings.Repeat("b", size))
		is.NoErr(err)
	}
	for range 1000 {
		if r.Taken() > limit-2*size {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	is.True(r.Taken() > limit/2)
	is.True(r.Taken() <= limit)

	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	other := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
	}}
	for _, n := range []int{0, 1, 5000, 200_000} {
		sent := bytes.Repeat([]byte("g"), n)
		resp, err := other.Post(server.URL, "text/plain", bytes.NewReader(sent))
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(bytes.Equal(got, sent))
	}
}

// Guards against a message that ends too early and passes for a whole one.
func TestTruncatedMessageIsNotPassedOnAsWhole(t *testing.T) {
	is := is.New(t)
	results := make(chan error, 1)
	server := httptest.NewServer(room.Handler(room.New(1<<20), 1<<20, http.HandlerFunc(
		func(_ http.ResponseWriter, req *http.Request) {
			_, err := io.ReadAll(req.Body)
			results <- err
		})))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nbbb")
	is.NoErr(err)
	_ = c.Close()
	is.Equal(<-results, io.ErrUnexpectedEOF)
}
