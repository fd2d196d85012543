package owner_test

import (
	"testing"
	"time"

	"baobabreach/internal/poison"

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
	f.planner.MarkLeaving(f.now, f.machine.Model(), "c")
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
