// Package room bounds the memory that a process uses for what others send it. Memory is taken before it is filled, so that
// messages that arrive at the same time are bounded together.
package room

import (
	"math"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// smallBytes is the size up to which a message takes room that large ones can't use up.
	smallBytes = 64 << 10
	// smallShare is the share of the room that only small messages may use.
	smallShare = 0.25
)

// ErrFull is returned for a message that finds no room beside the others.
var ErrFull = errors.New("other messages take all the room")

// Room is an amount of memory for messages of one kind. It is safe for concurrent use.
type Room struct {
	limit int64

	mu sync.Mutex
	// small and large are the bytes that messages up to smallBytes and larger ones have taken.
	small, large int64
	// bySender holds the bytes that the messages of each sender have taken.
	bySender map[string]int64
	// abortable holds the buffers that are being filled and can be aborted.
	abortable map[*Buffer]struct{}
}

// New returns a room of limit bytes. A single message may exceed the limit while no other large one is held.
func New(limit int64) *Room {
	return &Room{limit: limit, bySender: map[string]int64{}, abortable: map[*Buffer]struct{}{}}
}

// OrUnlimited returns the room, or one without a limit if it is nil.
func (r *Room) OrUnlimited() *Room {
	if r == nil {
		return New(math.MaxInt64)
	}
	return r
}

// Taken returns the bytes of all messages.
func (r *Room) Taken() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.small + r.large
}

// resize changes the room of one message from the bytes that it has to more or fewer. It returns false, and changes
// nothing, if there is no room. The caller holds r.mu.
func (r *Room) resize(from, to int64) bool {
	small, large := r.small, r.large
	add := func(n, sign int64) {
		if n <= smallBytes {
			small += sign * n
		} else {
			large += sign * n
		}
	}
	add(from, -1)
	alone := large == 0
	add(to, 1)
	reserved := int64(smallShare * float64(r.limit))
	fits := small+large <= r.limit
	if to <= smallBytes {
		fits = fits || small <= reserved
	} else {
		fits = fits && large <= r.limit-reserved || alone && small <= reserved
	}
	if to > from && !fits {
		return false
	}
	r.small, r.large = small, large
	return true
}

// heaviest returns the largest buffer that can be aborted of the sender that has taken the most, or nil if no sender has
// taken more than the given bytes. The caller holds r.mu.
func (r *Room) heaviest(bytes int64) *Buffer {
	var heaviest *Buffer
	for b := range r.abortable {
		total := r.bySender[b.sender]
		if total <= bytes {
			continue
		}
		if heaviest != nil {
			if most := r.bySender[heaviest.sender]; total < most || total == most && b.taken <= heaviest.taken {
				continue
			}
		}
		heaviest = b
	}
	return heaviest
}
