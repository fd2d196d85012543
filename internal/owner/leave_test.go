package owner_test

import (
	"fmt"
	"testing"
	"time"

	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

// leaveAndCommit delivers a notice and commits what it leads to.
func (f *rowsFleet) leaveAndCommit(n proto.LeaveNotice) {
	f.t.Helper()
	for i := 0; !f.leave(n); i++ {
		if i == 10 {
			f.t.Fatal("the leave is not recorded")
		}
		f.tick()
	}
}

func (f *rowsFleet) registered(name string) bool {
	_, ok := f.machine.Model().Upstreams[name]
	return ok
}

// Guards against an upstream that is used again after its leave was acknowledged: a partition longer than its grant had
// removed it, and an announcement from before the notice arrives after it.
func TestLeaveOfRemovedUpstreamIsRecorded(t *testing.T) {
	for _, named := range []bool{true, false} {
		for _, newLeader := range []bool{true, false} {
			t.Run(fmt.Sprintf("named %v, new leader %v", named, newLeader), func(t *testing.T) {
				is := is.New(t)
				f := newRowsFleet(t)
				a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
				f.run(5*time.Second, a, b)
				late := []proto.Announcement{b.announcement(f.now), b.announcement(f.now)}
				b.nextAnnounce = f.now + time.Hour
				f.run(10*time.Second, a, b)
				is.True(!f.registered("b"))
				n := proto.LeaveNotice{Name: "b"}
				if named {
					n.Incarnation = b.incarnation
				}
				f.leaveAndCommit(n)
				if newLeader {
					f.elect()
				}
				f.run(time.Second, a)
				_, err := f.planner.Announce(f.now, f.machine.Model(), late[0])
				is.True(err != nil)
				f.run(13*time.Second, a)
				_, err = f.planner.Announce(f.now, f.machine.Model(), late[1])
				is.True(err != nil)
				f.run(5*time.Second, a)
				is.True(!f.registered("b"))

				next := &rowsUpstream{name: "b", address: b.address, incarnation: b.incarnation + 50}
				f.run(17*time.Second, a, next)
				is.True(f.ownedCount(next) > 0)
			})
		}
	}
}

// Guards against a restart under the same name that has to wait because the earlier process sent its notice twice, the
// second time when it had been removed.
func TestRepeatedLeaveDoesNotDelayNextProcess(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	f.run(5*time.Second, a, b)
	b.nextAnnounce = f.now + time.Hour
	f.leaveAndCommit(proto.LeaveNotice{Name: "b"})
	f.run(5*time.Second, a)
	is.True(!f.registered("b"))
	f.leaveAndCommit(proto.LeaveNotice{Name: "b"})
	next := &rowsUpstream{name: "b", address: b.address, incarnation: b.incarnation + 50}
	f.run(3*time.Second, a, next)
	is.True(f.registered("b"))
}

// Guards against a notice that was held up and shuts out the next process of its name.
func TestLateLeaveDoesNotShutOutNextProcess(t *testing.T) {
	for _, named := range []bool{true, false} {
		for _, newLeader := range []bool{true, false} {
			t.Run(fmt.Sprintf("named %v, new leader %v", named, newLeader), func(t *testing.T) {
				is := is.New(t)
				f := newRowsFleet(t)
				a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
				f.run(5*time.Second, a, b)
				b.dead = true
				next := &rowsUpstream{name: "b", address: b.address, incarnation: b.incarnation + 50}
				f.run(3*time.Second, a, next)
				is.True(f.ownedCount(next) > 0)
				n := proto.LeaveNotice{Name: "b"}
				if named {
					n.Incarnation = b.incarnation
				}
				f.leaveAndCommit(n)
				if newLeader {
					f.elect()
				}
				if named {
					f.run(rowsAnnounceInterval, a, next)
					is.True(f.ownedCount(next) > 0)
				}
				f.run(9*time.Second, a, next)
				if newLeader {
					f.elect()
				}
				f.run(9*time.Second, a, next)
				is.True(f.ownedCount(next) > 0)
				is.Equal(f.ownedCount(a)+f.ownedCount(next), 8)
			})
		}
	}
}

// Guards against an upstream that left being used again because its announcements arrive late for a while.
func TestLateAnnouncementsDoNotWithdrawALeave(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	f.run(5*time.Second, a, b)
	var late []proto.Announcement
	for range 14 {
		late = append(late, b.announcement(f.now))
	}
	b.nextAnnounce = f.now + time.Hour
	f.leaveAndCommit(proto.LeaveNotice{Name: "b"})
	for _, an := range late {
		f.run(time.Second, a, b)
		_, err := f.planner.Announce(f.now, f.machine.Model(), an)
		is.True(err != nil)
	}
	f.run(5*time.Second, a, b)
	is.True(!f.registered("b"))
	is.True(f.machine.Model().HasEnded("b", b.incarnation))
}
