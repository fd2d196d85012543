// Package strict reads HTTP/1.1 responses from connections so that no incomplete or invalid response passes for a whole one.
// It checks the bytes that net/http parses, and changes none.
package strict

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Conn is a client connection for one request at a time, with two checks of what is read. It tells an orderly end from a
// failure of the connection, which the kernel reports once, to a read or to a write; after that, reads report the end of the
// stream. And it returns bytes of valid responses only.
type Conn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	// writeFailure is the failure of the connection if a write took it; guarded by writing.
	writeFailure error

	// mu guards the fields below.
	mu     sync.Mutex
	parser parser
	// invalid is the error for the byte after those that were read; excess is true if that byte follows the end of a response.
	invalid error
	excess  bool
}

// errExcess means that the peer sent more than the responses to the requests.
var errExcess = errors.New("bytes after the end of the response")

// NewConn returns c with the checks of this package. A Conn is returned as it is.
func NewConn(c net.Conn) *Conn {
	if strict, ok := c.(*Conn); ok {
		return strict
	}
	return &Conn{Conn: c}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if isConnectionFailure(err) {
		c.writeFailure = err
	}
	return n, err
}

// ExpectResponse starts the check of the response to the next request, which has the method. The response before must have
// ended.
func (c *Conn) ExpectResponse(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parser.begin(method == http.MethodHead)
}

// Invalid returns an error of type ErrInvalid if a byte was read that is invalid in a response, or nil. The connection can't
// be used any more then.
func (c *Conn) Invalid() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// Excess reports whether bytes were read that follow the end of a response. They belong to no request, and the connection
// can't carry another one.
func (c *Conn) Excess() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.excess
}

// Read implements net.Conn. It returns an error in place of a byte that is invalid in a response or follows its end.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.readError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if failure := c.connectionFailure(); failure != nil {
			err = errors.Wrap(failure, "connection failed during a write")
		}
	}
	switch valid := c.check(b[:n]); {
	case valid == n:
		return n, err
	case valid > 0:
		return valid, nil
	}
	return 0, c.readError()
}

// readError returns the error of all further reads, or nil.
func (c *Conn) readError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.excess {
		return errExcess
	}
	return c.invalid
}

// check checks the bytes that were read and returns the number of those that belong to a response.
func (c *Conn) check(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.parser.atStart()
	valid, err := c.parser.check(b)
	c.invalid, c.excess = err, err == nil && valid < len(b)
	if err != nil && first && valid == 0 {
		// A client that gets no byte at all takes the connection for one that was closed while it was idle, and may send its
		// request once more. No response begins with this byte, so that none can be made of it.
		valid = 1
	}
	return valid
}

// connectionFailure returns the failure that a write took before a read met the end of the stream, or nil.
func (c *Conn) connectionFailure() error {
	// A write that still waits has taken no failure. It is ended, since no response to it can follow.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailure
}

// isConnectionFailure reports whether a write failed because the connection did, other than by an orderly end.
func isConnectionFailure(err error) bool {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	}
	// EPIPE follows either a failure that has been reported before, or an orderly end by the peer.
	return !errors.Is(err, syscall.EPIPE)
}
