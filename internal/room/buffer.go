package room

import (
	"io"

	"github.com/go-faster/errors"
)

// firstBytes is the room that is taken for a body before its first byte is read, unless the whole body is reserved.
const firstBytes = 4 << 10

// Buffer is the room of one message. It is taken until Release is called. Only one goroutine may use a buffer.
type Buffer struct {
	room   *Room
	sender string
	// abort ends the reading of the message from another goroutine; nil if that is not possible.
	abort func()
	// aborted is closed when the message is aborted; it gets no more room then. released is closed by Release.
	aborted, released chan struct{}
	// taken is guarded by room.mu.
	taken int64
}

// NewBuffer returns an empty buffer for a message of a sender. It can't be aborted.
func (r *Room) NewBuffer(sender string) *Buffer {
	return &Buffer{room: r, sender: sender, aborted: make(chan struct{}), released: make(chan struct{})}
}

// NewAbortable returns an empty buffer for a message that may be aborted until it is complete, to make room for messages of
// senders that have taken less. abort must make the reader of the message fail at once.
func (r *Room) NewAbortable(sender string, abort func()) *Buffer {
	b := r.NewBuffer(sender)
	b.abort = abort
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abortable[b] = struct{}{}
	return b
}

// Release gives the room back. It may be called more than once, also on a nil buffer.
func (b *Buffer) Release() {
	if b == nil || isClosed(b.released) {
		return
	}
	b.room.mu.Lock()
	defer b.room.mu.Unlock()
	b.take(0)
	delete(b.room.abortable, b)
	close(b.released)
}

// Complete excludes that the message is aborted from now on. It returns ErrFull if it has been aborted already.
func (b *Buffer) Complete() error {
	b.room.mu.Lock()
	defer b.room.mu.Unlock()
	delete(b.room.abortable, b)
	if isClosed(b.aborted) {
		return ErrFull
	}
	return nil
}

// Resize changes the room of the message to n bytes. If there is no room, messages of senders that have taken more are
// aborted first. It returns ErrFull if that is not enough or if this message has been aborted.
func (b *Buffer) Resize(n int64) error {
	for {
		heaviest, err := b.tryResize(n)
		if heaviest == nil {
			return err
		}
		heaviest.abort()
		select {
		case <-heaviest.released:
		case <-b.aborted:
		}
	}
}

// tryResize returns another buffer that is to be aborted first, if there is no room.
func (b *Buffer) tryResize(n int64) (heaviest *Buffer, err error) {
	r := b.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if isClosed(b.aborted) || isClosed(b.released) {
		return nil, ErrFull
	}
	if b.take(n) {
		return nil, nil
	}
	if heaviest = r.heaviest(r.bySender[b.sender] - b.taken + n); heaviest == nil {
		return nil, ErrFull
	}
	delete(r.abortable, heaviest)
	close(heaviest.aborted)
	return heaviest, nil
}

// take changes the room of the message to n bytes and reports whether there is room. The caller holds room.mu.
func (b *Buffer) take(n int64) bool {
	r := b.room
	if !r.resize(b.taken, n) {
		return false
	}
	if r.bySender[b.sender] += n - b.taken; r.bySender[b.sender] == 0 {
		delete(r.bySender, b.sender)
	}
	b.taken = n
	return true
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// ReadRequest reads the body of a request. Room for an announced length is taken at once, so that a body without room is
// refused before it is read. A length of -1 or more than maxBytes is read step by step, up to maxBytes+1 bytes.
func (b *Buffer) ReadRequest(r io.Reader, length, maxBytes int64) ([]byte, error) {
	if length < 0 || length > maxBytes {
		return b.Read(r, length, maxBytes)
	}
	return b.reserve(r, length)
}

// reserve takes room for a body of the given length and reads it.
func (b *Buffer) reserve(r io.Reader, length int64) ([]byte, error) {
	if err := b.Resize(b.taken + length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	n, end, err := fill(r, body)
	if err == nil && end && int64(n) < length {
		err = io.ErrUnexpectedEOF
	}
	return body[:n], err
}

// Read reads a body and takes room as its bytes arrive, whatever length was announced; -1 means none. At most maxBytes+1
// bytes are read.
func (b *Buffer) Read(r io.Reader, length, maxBytes int64) ([]byte, error) {
	others := b.taken
	size := min(firstBytes, maxBytes+1)
	if length >= 0 {
		// The end of the body is read too.
		size = min(size, length+1)
	}
	if err := b.Resize(others + size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	n, end, err := fill(r, body)
	for !end && err == nil && int64(n) <= maxBytes {
		size = min(2*int64(len(body)), maxBytes+1)
		// Both buffers are held while the body is copied.
		if err := b.Resize(others + int64(len(body)) + size); err != nil {
			return nil, err
		}
		larger := make([]byte, size)
		copy(larger, body)
		body = larger
		if err := b.Resize(others + size); err != nil {
			return nil, err
		}
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
