package daemon

import (
	"context"
	"net"

	"baobabreach/internal/metric"
)

// Counters of the traffic between daemons, in bytes of TCP payload. Both ends of a connection count its bytes.
const (
	controlBytesIn  = "control.bytes_in"
	controlBytesOut = "control.bytes_out"
)

// countedConn counts the bytes read from and written to a connection between daemons.
type countedConn struct {
	net.Conn
	metrics *metric.Registry
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.Add(controlBytesIn, int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.Add(controlBytesOut, int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	metrics *metric.Registry
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, metrics: l.metrics}, nil
}

func newCountedDial(dial DialFunc, m *metric.Registry) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: c, metrics: m}, nil
	}
}
