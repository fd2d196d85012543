package owner_test

import (
	"testing"
	"time"

	"baobabreach/internal/state"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

// maxRowsRead is the number of rows of 30 bytes that upstreams read in an answer of 4 KiB.
const maxRowsRead = 4096 / 30

// Guards against grants that are longer than what an upstream reads, after it took over the ranges of all others: it would
// hold no keys at all, for good.
func TestLastUpstreamGetsAShortGrant(t *testing.T) {
	for _, upstreams := range []int{1, 2, 3, 13} {
		is := is.New(t)
		f := newPlatformFleet(t, upstreams)
		last := f.upstreams[0]
		for _, u := range f.upstreams[1:] {
			u.dead = true
		}
		f.run(8 * time.Second)
		is.True(len(last.rows) <= maxRowsRead)
		held := uint64(0)
		for _, r := range last.held(f.now) {
			held += (r.Last-r.First)/(1<<48) + 1
		}
		is.Equal(held, uint64(1<<16))

		// The ranges are still spread over upstreams that join later.
		joining := &rowsUpstream{
			name: "joins", address: "10.9.0.1:80", incarnation: uint64(f.now / time.Millisecond), nextAnnounce: f.now,
		}
		f.upstreams = append(f.upstreams, joining)
		f.run(20 * time.Second)
		is.True(len(joining.held(f.now)) > 0)
		f.checkExclusive(f.upstreams)
	}
}

// Guards against a new epoch for a grant of an earlier leader that the upstream has not listed yet: an older announcement
// that arrives late would then give it back.
func TestUnprovenGrantKeepsItsEpoch(t *testing.T) {
	is := is.New(t)
	f := newPlatformFleet(t, 1)
	u := f.upstreams[0]
	u.nextAnnounce = f.now + time.Hour
	late := u.announcement(f.now)
	late.Rows = &[]proto.Row{}
	var cs []state.Command
	for _, r := range f.machine.Model().Ranges {
		cs = append(cs, state.Command{Release: &state.Release{Range: r.ID, Epoch: r.Epoch}},
			state.Command{Assign: &state.Assign{Range: r.ID, Epoch: r.Epoch, Owner: u.name, Incarnation: u.incarnation}})
	}
	f.apply(cs)
	epochs := func() int {
		seen := map[uint64]bool{}
		for _, r := range f.machine.Model().Ranges {
			seen[r.Epoch] = true
		}
		return len(seen)
	}
	f.elect()
	f.tick()
	_, err := f.planner.Announce(f.now, f.machine.Model(), late)
	is.True(err == nil)
	f.run(time.Second)
	is.Equal(epochs(), 256)
	u.nextAnnounce = f.now
	f.run(3 * time.Second)
	is.Equal(epochs(), 1)
	is.True(len(u.rows) == 1)
}
