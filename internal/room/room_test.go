package room_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"baobabreach/internal/room"

	"github.com/matryer/is"
)

// endless is a message without an end, which fails once it is aborted.
type endless struct{ aborted chan struct{} }

func (e endless) Read(b []byte) (int, error) {
	select {
	case <-e.aborted:
		return 0, io.ErrClosedPipe
	default:
		return len(b), nil
	}
}

// Guards against messages that together exceed the room, against room that is not given back, and against messages that
// wait for one another for good.
func TestRoomIsNeverExceeded(t *testing.T) {
	const limit, largest = 1 << 20, 300 << 10
	for seed := range uint64(5) {
		is := is.New(t)
		r := room.New(limit)
		var wg sync.WaitGroup
		for i := range uint64(40) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				random := rand.New(rand.NewPCG(seed, i))
				for range 200 {
					readRandomly(r, random, largest)
				}
			}()
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			wg.Wait()
		}()
		timeout := time.After(30 * time.Second)
		for running := true; running; {
			// One message may exceed the limit alone. It is copied while it grows.
			is.True(r.Taken() <= limit+2*largest)
			select {
			case <-done:
				running = false
			case <-timeout:
				t.Fatal("messages wait for one another")
			case <-time.After(time.Millisecond):
			}
		}
		is.Equal(r.Taken(), int64(0))
	}
}

// readRandomly reads a message of a random sender and size, or one without an end.
func readRandomly(r *room.Room, random *rand.Rand, largest int) {
	sender := strconv.Itoa(random.IntN(5))
	if random.IntN(3) > 0 {
		b := r.NewBuffer(sender)
		defer b.Release()
		size := random.IntN(largest)
		_, _ = b.ReadRequest(bytes.NewReader(make([]byte, size)), int64(size), int64(largest))
		return
	}
	e := endless{make(chan struct{})}
	b := r.NewAbortable(sender, func() { close(e.aborted) })
	defer b.Release()
	_, _ = b.Read(e, -1, int64(largest))
	_ = b.Complete()
}

// Guards against a message that fails because senders of more or larger messages take all the room.
func TestHeaviestSenderMakesRoom(t *testing.T) {
	is := is.New(t)
	r := room.New(1 << 20)
	aborted := map[int]bool{}
	var held []*room.Buffer
	for i := range 100 {
		var b *room.Buffer
		b = r.NewAbortable("floods", func() {
			aborted[i] = true
			b.Release()
		})
		if b.Resize(60<<10) != nil {
			b.Release()
			continue
		}
		held = append(held, b)
	}
	is.True(len(held) > 0)
	is.Equal(len(aborted), 0) // a sender gets no room at its own cost

	other := r.NewAbortable("other", func() { t.Error("the message of the lighter sender was aborted") })
	is.NoErr(other.Resize(300 << 10))
	is.True(len(aborted) > 0)
	is.NoErr(other.Complete())
	other.Release()
	for _, b := range held {
		b.Release()
	}
	is.Equal(r.Taken(), int64(0))
}

// Guards against small messages that large ones keep out, and against a message larger than the room that is never read.
func TestLargeMessagesLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	r := room.New(1 << 20)
	alone := r.NewBuffer("a")
	_, err := alone.ReadRequest(bytes.NewReader(make([]byte, 3<<20)), 3<<20, 4<<20)
	is.NoErr(err)
	is.Equal(r.NewBuffer("a").Resize(100<<10), room.ErrFull)
	for range 4 {
		is.NoErr(r.NewBuffer("b").Resize(64 << 10))
	}
	is.Equal(r.NewBuffer("b").Resize(64<<10), room.ErrFull)
}

// Guards against a body that is cut off or changed while its buffer grows, and against one that is longer than its limit.
func TestBodiesAreReadWhole(t *testing.T) {
	is := is.New(t)
	r := room.New(1 << 20)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 100_000} {
		sent := bytes.Repeat([]byte("auburn"), size)[:size]
		for _, read := range []func(b *room.Buffer) ([]byte, error){
			func(b *room.Buffer) ([]byte, error) { return b.Read(bytes.NewReader(sent), -1, 100_000) },
			func(b *room.Buffer) ([]byte, error) { return b.Read(bytes.NewReader(sent), int64(size), 100_000) },
			func(b *room.Buffer) ([]byte, error) {
				return b.ReadRequest(bytes.NewReader(sent), int64(size), 100_000)
			},
		} {
			b := r.NewBuffer("a")
			got, err := read(b)
			is.NoErr(err)
			is.True(bytes.Equal(got, sent))
			b.Release()
			b.Release()
		}
	}
	b := r.NewBuffer("a")
	got, err := b.Read(endless{}, -1, 5000)
	is.NoErr(err)
	is.Equal(len(got), 5001)
	b.Release()
	_, err = r.NewBuffer("a").ReadRequest(bytes.NewReader(make([]byte, 5)), 6, 6)
	is.Equal(err, io.ErrUnexpectedEOF)
}
