package grant_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/pkg/grant"
	"baobabreach/pkg/proto"
)

const ms = time.Millisecond

// Guards against a delayed grant that restores a fence after its release, when the range may belong to another upstream.
func TestReleasedFenceDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	f := proto.Fence{Range: 1, Epoch: 7}
	held := proto.Grant{TTLMs: 900, Fences: []proto.Fence{f}}
	releasing := proto.Grant{TTLMs: 900, Releasing: []proto.Fence{f}}
	h := grant.NewHolder()
	is.True(h.Take(10*ms, 0, held))
	is.True(h.Holds(899*ms, f))
	is.True(!h.Holds(900*ms, f)) // the TTL counts from the send time, not from the receipt
	h.Begin(f)
	is.True(h.Take(60*ms, 50*ms, releasing))
	is.True(!h.Holds(61*ms, f))
	is.Equal(len(h.Released()), 0) // a request is still running
	h.End(f)
	is.Equal(h.Released(), []proto.Fence{f})
	is.True(!h.Take(70*ms, 40*ms, held)) // the announcement is older than the one whose grant is in force
	is.True(h.Take(80*ms, 55*ms, held))  // announced later, but granted before the range was revoked
	is.True(!h.Holds(81*ms, f))
}
