package gate

import (
	"io"
	"net/http"
	"sync"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

const (
	// smallBodyBytes is the size up to which a body takes room that large bodies can't use up.
	smallBodyBytes = 64 << 10
	// smallBodyShare is the share of the room that only small bodies may use.
	smallBodyShare = 0.25
	// firstBodyBytes is the room that is taken for a body of unknown length before its first byte is read.
	firstBodyBytes = 4 << 10
	// bodyRetryAfter is the Retry-After time of a request whose body found no room. A large body is held for about a second.
	bodyRetryAfter = time.Second
)

// errNoRoom is returned for a body that finds no room beside the bodies of other requests.
var errNoRoom = errors.New("the bodies of other requests take all the room")

// bodyRoom is the memory for request bodies. Room is taken before a body is read into it, so that bodies that arrive at the
// same time are bounded too. It is safe for concurrent use.
type bodyRoom struct {
	limit int64

	mu sync.Mutex
	// small and large are the bytes that bodies up to smallBodyBytes and larger ones have taken.
	small, large int64
}

// resize changes the room of one body from the bytes that it has to more or fewer. A body may exceed the limit if no other
// large one is held. It returns false, and changes nothing, if there is no room.
func (b *bodyRoom) resize(from, to int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	small, large := b.small, b.large
	add := func(n, sign int64) {
		if n <= smallBodyBytes {
			small += sign * n
		} else {
			large += sign * n
		}
	}
	add(from, -1)
	others := large
	add(to, 1)
	reserved := int64(smallBodyShare * float64(b.limit))
	switch {
	case to <= from:
	case to <= smallBodyBytes && small > reserved:
		return false
	case to > smallBodyBytes && others > 0 && large > b.limit-reserved:
		return false
	}
	b.small, b.large = small, large
	return true
}

// taken returns the bytes of all bodies.
func (b *bodyRoom) taken() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}

// bodyBuffer reads one body. Its room is taken until release is called. The zero value has none.
type bodyBuffer struct {
	room  *bodyRoom
	taken int64
}

func (b *bodyBuffer) resize(n int64) bool {
	if !b.room.resize(b.taken, n) {
		return false
	}
	b.taken = n
	return true
}

func (b *bodyBuffer) release() {
	if b.room != nil {
		b.resize(0)
	}
}

// read returns the whole body, whose length is -1 if it isn't known. At most maxBytes+1 bytes are read.
func (b *bodyBuffer) read(r io.Reader, length, maxBytes int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = min(firstBodyBytes, maxBytes+1)
	}
	if !b.resize(size) {
		return nil, errNoRoom
	}
	body := make([]byte, size)
	n, end, err := fill(r, body)
	if length >= 0 && end && int64(n) < length {
		err = io.ErrUnexpectedEOF
	}
	for length < 0 && !end && err == nil && int64(n) <= maxBytes {
		size = min(2*int64(len(body)), maxBytes+1)
		// Both buffers are held while the body is copied.
		if !b.resize(int64(len(body)) + size) {
			return nil, errNoRoom
		}
		larger := make([]byte, size)
		copy(larger, body)
		body = larger
		b.resize(size)
		var more int
		more, end, err = fill(r, body[n:])
		n += more
	}
	return body[:n], err
}

// fill reads until the buffer is full or the body ends, which end reports.
func fill(r io.Reader, buffer []byte) (n int, end bool, err error) {
	for n < len(buffer) && err == nil {
		var more int
		more, err = r.Read(buffer[n:])
		n += more
	}
	if errors.Is(err, io.EOF) {
		return n, true, nil
	}
	return n, false, err
}

// readBody buffers the whole body, so that it can be sent again on a retry.
func (c *call) readBody(r *http.Request, bounds model.Bounds) (response, bool) {
	maxBytes := bounds.BodyBytes
	if maxBytes <= 0 {
		maxBytes = c.gate.cfg.MaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return response{Response: pipe.Response{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	c.buffer = bodyBuffer{room: &c.gate.bodies}
	body, err := c.buffer.read(r.Body, r.ContentLength, maxBytes)
	switch {
	case errors.Is(err, errNoRoom):
		c.retryAfter = bodyRetryAfter
		return c.refuse(proto.CodeOverloaded, err.Error()), false
	case err != nil:
		c.reason = "body can't be read: " + err.Error()
		return response{Response: pipe.Response{Status: http.StatusBadRequest}, code: proto.CodeBadRequest}, false
	case int64(len(body)) > maxBytes:
		return response{Response: pipe.Response{Status: http.StatusRequestEntityTooLarge}, code: proto.CodeTooLarge}, false
	}
	c.body = body
	return response{}, true
}
