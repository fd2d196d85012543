package pipe

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"baobabreach/internal/room"
	"baobabreach/internal/strict"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutShare is the share of the Keep-Alive timeout after which an idle connection is closed, so that no request is
	// sent while the upstream closes it.
	idleTimeoutShare = 0.8
	readBufferBytes  = 4 << 10
)

// conn is a connection to an upstream; it carries one request at a time.
type conn struct {
	*strict.Conn
	br *bufio.Reader
	// limit bounds what br reads from Conn.
	limit *limitedReader
	// reused is true after the first response.
	reused       bool
	idleDeadline time.Duration
}

func newConn(c net.Conn) *conn {
	sc := strict.NewConn(c)
	l := &limitedReader{r: sc}
	return &conn{Conn: sc, br: bufio.NewReaderSize(l, readBufferBytes), limit: l}
}

// errHeadTooLarge means that the upstream sent more bytes than the limit before the end of the response head.
var errHeadTooLarge = errors.New("response head is too large")

// limitedReader returns errHeadTooLarge once left bytes have been read. It does not limit reads while left is negative.
type limitedReader struct {
	r    io.Reader
	left int64
	// head is the number of bytes of the present head that have been read.
	head int64
	// buffer is the room of the present response; nil while the connection is idle.
	buffer *room.Buffer
	// ended is true once the peer has closed or reset the connection.
	ended bool
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	if l.left > 0 && int64(len(b)) > l.left {
		b = b[:l.left]
	}
	if l.left > 0 {
		// A long head is held twice, as it was received and parsed.
		if err := l.buffer.Resize(max(minResponseBytes, 2*(l.head+int64(len(b))))); err != nil {
			return 0, errors.Wrap(err, "read head")
		}
	}
	n, err := l.r.Read(b)
	if l.left > 0 {
		l.left -= int64(n)
		l.head += int64(n)
	}
	l.ended = l.ended || isConnectionEnd(err)
	return n, err
}

func (c *conn) close() { _ = c.Close() }

// hasUnread reports whether more than the last response has been received.
func (c *conn) hasUnread() bool { return c.br.Buffered() > 0 || c.Excess() }

// reusable reports whether an idle connection is open and has no unread data, which would belong to no request.
func (c *conn) reusable() bool {
	if c.hasUnread() {
		return false
	}
	sc, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// idleTimeout returns how long a connection may stay idle according to the Keep-Alive header of a response.
func idleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil && n >= 0 {
			return time.Duration(float64(n) * idleTimeoutShare * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// dialTimeout ends the dialling of a connection whose opening packet was probably lost. The system would send it again
// only after a second.
const dialTimeout = 300 * time.Millisecond

// dial opens a connection. ctx applies to dialling only, not to the use of the connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.updateStats(func(s *Stats) { s.Dials++ })
	c, err := p.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// Liveness is what a connection attempt shows about the process at an address.
type Liveness string

const (
	// LivenessListening means that a process accepts connections at the address.
	LivenessListening Liveness = "listening"
	// LivenessRefused means that no process listens at the address.
	LivenessRefused Liveness = "refused"
	// LivenessUnknown means that there was no answer in time.
	LivenessUnknown Liveness = "unknown"
)

// Probe opens a connection to the address, to find out whether a process listens there, and keeps it for later requests.
func (p *Pool) Probe(ctx context.Context, address string) Liveness {
	c, err := p.dial(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return LivenessRefused
	case err != nil:
		return LivenessUnknown
	}
	c.idleDeadline = p.cfg.Now() + defaultIdleTimeout
	p.putIdle(address, c)
	return LivenessListening
}
