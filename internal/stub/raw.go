package stub

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"baobabreach/internal/errs"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// smallReceiveBytes is the receive buffer of ListenWithSmallBuffers, into which no large request body fits.
const smallReceiveBytes = 4 << 10

// unreadTime is the time between both ends of a connection that is closed without reading.
const unreadTime = 20 * time.Millisecond

// RawEnd is what becomes of a connection after a RawResponse.
type RawEnd int

const (
	// RawClose closes the connection in order and reads what the client still sends.
	RawClose RawEnd = iota
	// RawCloseUnread ends the responses in order, but not the request: what the client still sends resets the connection.
	RawCloseUnread
	// RawReset resets the connection.
	RawReset
)

// RawResponse is what a server writes for a request, whether or not it is a valid response.
type RawResponse struct {
	Bytes string
	// Early is true if the request body is not read before the response is written.
	Early bool
	// Delay is the time between the response and the end of the connection.
	Delay time.Duration
	End   RawEnd
}

// Send writes the response and ends the connection.
func (r RawResponse) Send(c net.Conn) error {
	if _, err := io.WriteString(c, r.Bytes); err != nil {
		return errors.Wrap(err, "write response")
	}
	time.Sleep(r.Delay)
	switch r.End {
	case RawReset:
		if tcp, ok := c.(*net.TCPConn); ok {
			// Without the time to send what is left, closing the connection resets it.
			_ = tcp.SetLinger(0)
		}
	case RawClose:
		closeWrite(c)
		_, _ = io.Copy(io.Discard, c)
	case RawCloseUnread:
		closeWrite(c)
		time.Sleep(unreadTime)
	}
	return errs.Wrap(c.Close(), "close connection")
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// ListenWithSmallBuffers listens on the address. A client that sends a large body to it is still writing when an early
// response arrives.
func ListenWithSmallBuffers(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBytes)
		})
		if err == nil {
			err = optErr
		}
		return errs.Wrap(err, "set receive buffer")
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	return l, errs.Wrap(err, "listen")
}

// ServeRaw answers the first request of each connection with the response, until the listener is closed.
func ServeRaw(l net.Listener, response RawResponse) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _ = response.serve(c) }()
	}
}

// serve returns an error if the client ended the connection.
func (r RawResponse) serve(c net.Conn) error {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return errors.Wrap(err, "read request")
	}
	if !r.Early {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return errors.Wrap(err, "read body")
		}
	}
	return r.Send(c)
}
