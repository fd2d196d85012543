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

// RawEnd is what a RawServer does with a connection after a response.
type RawEnd int

const (
	// RawKeep keeps the connection for further requests.
	RawKeep RawEnd = iota
	// RawClose closes the connection in order and reads what the client still sends.
	RawClose
	// RawCloseUnread ends the responses in order, but not the request: what the client still sends resets the connection.
	RawCloseUnread
	// RawReset resets the connection.
	RawReset
)

// RawResponse is what a RawServer writes for one request, whether or not it is a valid response.
type RawResponse struct {
	Bytes string
	// Early is true if the request body is not read before the response is written.
	Early bool
	// Delay is the time between the response and the end of the connection.
	Delay time.Duration
	End   RawEnd
}

// Send writes the response and ends the connection, unless End is RawKeep.
func (r RawResponse) Send(c net.Conn) error {
	if _, err := io.WriteString(c, r.Bytes); err != nil {
		return errors.Wrap(err, "write response")
	}
	time.Sleep(r.Delay)
	switch r.End {
	case RawKeep:
		return nil
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

// RawServer answers each request with the bytes that Respond returns.
type RawServer struct {
	Respond func(r *http.Request) RawResponse
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

// Serve serves connections until the listener is closed.
func (s RawServer) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _ = s.serveConn(c) }()
	}
}

// serveConn returns the error that ended the connection, or nil if a response did.
func (s RawServer) serveConn(c net.Conn) error {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return errors.Wrap(err, "read request")
		}
		resp := s.Respond(r)
		if !resp.Early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return errors.Wrap(err, "read body")
			}
		}
		if err := resp.Send(c); err != nil || resp.End != RawKeep {
			return err
		}
	}
}
