package grant_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/pkg/grant"
	"baobabreach/pkg/proto"
)

const ms = time.Millisecond

// Guards against a delayed answer that brings back a fence which was given back and belongs to another upstream.
func TestReleasedFenceDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	f := proto.Fence{Range: 1, Epoch: 7}
	held := proto.Grant{TTLMs: 900, Fences: []proto.Fence{f}}
	taken := proto.Grant{TTLMs: 900, Releasing: []proto.Fence{f}}
	h := grant.NewHolder()
	is.True(h.Take(10*ms, 0, held))
	is.True(h.Holds(899*ms, f))
	is.True(!h.Holds(900*ms, f)) // counted from the send, not from the receipt
	h.Begin(f)
	is.True(h.Take(60*ms, 50*ms, taken))
	is.True(!h.Holds(61*ms, f))
	is.Equal(len(h.Released()), 0) // a request still runs
	h.End(f)
	is.Equal(h.Released(), []proto.Fence{f})
	is.True(!h.Take(70*ms, 40*ms, held)) // older than the grant in force
	is.True(h.Take(80*ms, 55*ms, held))  // sent later, answered before the range was taken
	is.True(!h.Holds(81*ms, f))
}
