// Package strict reads HTTP/1.1 responses from connections so that no incomplete response passes for a complete one.
package strict

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Conn is a client connection whose Read tells an orderly end from a failure of the connection. The kernel reports a failure
// once, to a read or to a write; after that, reads report the end of the stream.
type Conn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	// writeFailure is the failure of the connection if a write took it; guarded by writing.
	writeFailure error
}

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

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if failure := c.connectionFailure(); failure != nil {
			err = errors.Wrap(failure, "connection failed during a write")
		}
	}
	return n, err
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
