package owner_test

import (
	"fmt"
	"testing"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/poison"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

// Guards against keys of an upstream that leaves being granted to another one after a change of the leader, because an
// announcement from before the grant arrives late and lists no keys.
func TestLateAnnouncementGivesNothingBack(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b, c := newRowsUpstream("a", 1), newRowsUpstream("b", 2), newRowsUpstream("c", 3)
	f.run(5*time.Second, a, b)
	late := c.announcement(f.now)
	f.run(4*time.Second, a, b, c)
	is.True(f.ownedCount(c) > 0)
	f.planner.RecordLeaving(f.machine.Model(), poison.Process{Name: "c", Incarnation: c.incarnation})
	f.tick()
	c.nextAnnounce = f.now + time.Hour

	f.elect()
	f.run(rowsAnnounceInterval, a, b)
	_, err := f.planner.Announce(f.now, f.machine.Model(), late)
	is.True(err == nil) // the new leader can't know that a later one has been accepted
	f.run(2*time.Second, a, b, c)
	is.True(len(c.held(f.now)) > 0)
	f.run(5*time.Second, a, b, c)
	is.Equal(f.ownedCount(a)+f.ownedCount(b), 8)
}

// Guards against the notice of an upstream that leaves ending its grant at once, because a late announcement, the only one
// that the new leader knows, lists no keys.
func TestLateAnnouncementDoesNotEndGrantOfDepartedUpstream(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	late := b.announcement(f.now)
	f.run(5*time.Second, a, b)
	is.Equal(f.ownedCount(b), 4)
	b.leaving = true
	f.planner.RecordLeaving(f.machine.Model(), poison.Process{Name: "b", Incarnation: b.incarnation})
	f.tick() // b is marked as leaving, its ranges are still held
	f.tick() // its ranges are being taken
	f.elect()
	f.tick()
	_, err := f.planner.Announce(f.now, f.machine.Model(), late)
	is.True(err == nil)
	f.planner.MarkLeaving(f.now, f.machine.Model(), "b")
	b.nextAnnounce = f.now + time.Hour
	f.run(2*time.Second, a, b)
	is.True(len(b.held(f.now)) > 0)
}

// Guards against ranges that stay without an owner after a change of the leader: the holder gave them back to the earlier
// leader, which could not assign them any more.
func TestRangesGivenBackToEarlierLeaderAreAssigned(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	f.run(5*time.Second, a, b)
	b.leaving = true
	f.run(20*time.Millisecond, a, b)
	is.True(f.announce(b) == nil)
	f.tick()
	is.True(f.announce(b) == nil)
	f.elect()
	f.run(6*time.Second, a, b)
	is.Equal(f.ownedCount(a), 8)
}

// Guards against an upstream that left being registered again by the next leader, because an announcement from before it
// left arrives late.
func TestDepartedUpstreamStaysAwayAfterLeaderChange(t *testing.T) {
	for _, c := range []struct {
		name string
		// age is how long the upstream announces itself before it leaves.
		age time.Duration
		// draining is true if it announces that it drains before it leaves.
		draining bool
	}{
		{name: "with keys", age: 5 * time.Second},
		{name: "with keys, after it drained", age: 5 * time.Second, draining: true},
		{name: "before it was registered", age: time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRowsFleet(t)
			a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
			f.run(5*time.Second, a)
			late := b.announcement(f.now)
			end := f.now + c.age
			is.True(f.announce(b) == nil)
			f.run(end-f.now, a, b)
			if c.draining {
				b.leaving = true
				f.run(3*time.Second, a, b)
			}
			b.nextAnnounce = f.now + time.Hour
			for !f.planner.MarkLeaving(f.now, f.machine.Model(), "b") {
				f.tick()
			}
			// The notice is acknowledged only once the state shows it.
			is.True(f.machine.Model().HasEnded("b", b.incarnation) || f.machine.Model().Upstreams["b"].LeavingSince > 0)
			f.elect()
			f.run(rowsTTL*2, a, b)
			_, err := f.planner.Announce(f.now, f.machine.Model(), late)
			is.True(err != nil)
			is.Equal(err.Code, proto.CodeSuperseded)
			f.run(time.Second, a, b)
			_, registered := f.machine.Model().Upstreams["b"]
			is.True(!registered)

			b.leaving = true
			again, err := f.planner.Announce(f.now, f.machine.Model(), b.announcement(f.now))
			is.True(err == nil) // a notice that it leaves may be repeated
			is.True(again.Leaving)
			restarted := &rowsUpstream{name: "b", address: b.address, incarnation: b.incarnation + 50}
			f.run(5*time.Second, a, restarted)
			is.True(f.ownedCount(restarted) > 0)
		})
	}
}

// Guards against a process that another one replaced at its address being registered again by the next leader.
func TestReplacedUpstreamStaysAwayAfterLeaderChange(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	late := b.announcement(f.now)
	f.run(3*time.Second, a, b)
	b.dead = true
	successor := &rowsUpstream{name: "c", address: b.address, incarnation: b.incarnation + 50}
	f.run(3*time.Second, a, successor)
	successor.dead = true
	f.run(2*rowsTTL, a)
	f.elect()
	f.run(time.Second, a)
	_, err := f.planner.Announce(f.now, f.machine.Model(), late)
	is.True(err != nil)
	f.run(time.Second, a)
	_, registered := f.machine.Model().Upstreams["b"]
	is.True(!registered)
}

// Guards against the record of ended upstreams growing without limit, and against replicas that drop different ones.
func TestRecordOfEndedUpstreamsIsBounded(t *testing.T) {
	is := is.New(t)
	s := model.NewState()
	for i := range uint64(5000) {
		s = s.WithEnded(fmt.Sprintf("u%d", i), 1, i+1)
	}
	is.Equal(len(s.Ended), 4096)
	is.True(s.HasEnded("u4999", 1))
	is.True(s.HasEnded("u904", 1))
	is.True(!s.HasEnded("u903", 1))
}

// Guards against keys that two late announcements give back, one from the time of an earlier grant of the same keys and one
// from after it: they seem to show that the upstream has the present grant and gave it back.
func TestLateAnnouncementsOfAnEarlierGrantGiveNothingBack(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	f.run(5*time.Second, a, b)
	listing := b.announcement(f.now) // lists the keys under their first epochs
	f.planner.RecordLeaving(f.machine.Model(), poison.Process{Name: "a", Incarnation: a.incarnation})
	f.run(3*time.Second, a, b)
	is.Equal(f.ownedCount(b), 8)
	listingNone := b.announcement(f.now)
	listingNone.Rows = &[]proto.Row{}
	// The keys of b get new epochs: it loses them for a while to an upstream that leaves again.
	var renewed []state.Command
	for _, r := range f.machine.Model().Ranges {
		renewed = append(renewed,
			state.Command{Release: &state.Release{Range: r.ID, Epoch: r.Epoch}},
			state.Command{Assign: &state.Assign{Range: r.ID, Epoch: r.Epoch, Owner: "b", Incarnation: b.incarnation}})
	}
	f.apply(renewed)
	b.nextAnnounce = f.now
	f.run(time.Second, b)
	is.True(len(b.held(f.now)) > 0)

	f.elect()
	c := newRowsUpstream("c", 3)
	f.run(rowsAnnounceInterval, c)
	f.planner.RecordLeaving(f.machine.Model(), poison.Process{Name: "b", Incarnation: b.incarnation})
	f.run(100*time.Millisecond, c)
	for _, late := range []proto.Announcement{listing, listingNone} {
		_, err := f.planner.Announce(f.now, f.machine.Model(), late)
		is.True(err == nil)
	}
	b.nextAnnounce = f.now + time.Hour
	f.run(time.Second, b, c)
	is.True(len(b.held(f.now)) > 0)
}
