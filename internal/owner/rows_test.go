package owner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/owner"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"

	"github.com/matryer/is"
)

const (
	rowsTTL              = 4 * time.Second
	rowsAnnounceInterval = 900 * time.Millisecond
)

// rowsFleet drives the planner with upstreams that list the rows they hold, as those of a platform do.
type rowsFleet struct {
	t       testing.TB
	now     time.Duration
	planner *owner.Planner
	machine *state.Machine
	index   uint64
	// steps lists the faults injected so far, for failure messages.
	steps []string
}

func newRowsFleet(t *testing.T) *rowsFleet {
	t.Helper()
	f := &rowsFleet{t: t, machine: state.New(), now: time.Hour}
	f.apply([]state.Command{{Service: &model.Service{
		Name: "styles", Keyed: true, Ordered: true, Ranges: 8, PartitionPolicy: model.PartitionMajority,
	}}})
	f.elect()
	return f
}

// elect simulates the election of a new leader: it replaces the planner by one that has received no announcements.
func (f *rowsFleet) elect() {
	f.planner = owner.New(owner.Config{
		MaxMoves: 4, GrantTTL: rowsTTL, AnnounceInterval: rowsAnnounceInterval, ReliableIncarnations: true,
		SlowAnnouncements: true, FirstAssignmentDelay: rowsAnnounceInterval,
	}, f.now)
}

func (f *rowsFleet) apply(cs []state.Command) {
	if len(cs) == 0 {
		return
	}
	b, err := state.Encode(cs)
	if err != nil {
		f.t.Fatal(err)
	}
	f.index++
	if _, err := f.machine.Apply(f.index, b); err != nil {
		f.t.Fatal(err)
	}
}

func (f *rowsFleet) tick() { f.apply(f.planner.Tick(f.now, f.machine.Model())) }

// rowsUpstream is an upstream that holds exactly the rows of its latest grant until that grant expires.
type rowsUpstream struct {
	name, address string
	incarnation   uint64
	sequence      uint64
	rows          []proto.Row
	grantedUntil  time.Duration
	released      []proto.Row
	leaving, dead bool
	nextAnnounce  time.Duration
}

func (h *rowsUpstream) held(now time.Duration) []proto.Row {
	if h.dead || now >= h.grantedUntil {
		return nil
	}
	return h.rows
}

func (h *rowsUpstream) announcement(now time.Duration) proto.Announcement {
	h.sequence++
	rows := slices.Clone(h.held(now))
	if rows == nil {
		rows = []proto.Row{}
	}
	return proto.Announcement{
		Name: h.name, Address: h.address, DataCentre: "a", Service: "styles", Slots: 3, Incarnation: h.incarnation,
		ChecksGrants: true, Draining: h.leaving, Sequence: h.sequence, Rows: &rows, Handovers: h.released,
	}
}

func (h *rowsUpstream) applyGrant(sent time.Duration, g proto.Grant) {
	if g.Rows == nil {
		return
	}
	h.released = nil
	for _, r := range h.rows {
		if !slices.ContainsFunc(g.Rows, func(x proto.Row) bool { return x.Overlaps(r.First, r.Last) }) {
			r.Handover = fmt.Sprintf("%s-%d", h.name, r.Epoch)
			h.released = append(h.released, r)
		}
	}
	h.rows, h.grantedUntil = g.Rows, sent+time.Duration(g.TTLMs)*time.Millisecond
}

// announce sends an announcement, waits while the answer is delayed, as a daemon does, and applies the answer.
func (f *rowsFleet) announce(h *rowsUpstream) *proto.Error {
	a := h.announcement(f.now)
	sent := f.now
	g, err := f.planner.Announce(f.now, f.machine.Model(), a)
	if err != nil {
		return err
	}
	for g.Awaiting && f.now < sent+owner.MaxResponseDelay {
		f.now += 20 * time.Millisecond
		f.tick()
		g = f.planner.Regrant(f.now, f.machine.Model(), a)
	}
	h.applyGrant(sent, g)
	return nil
}

// run advances the clock by d, while the upstreams announce themselves and the planner ticks.
func (f *rowsFleet) run(d time.Duration, hs ...*rowsUpstream) {
	end := f.now + d
	for f.now < end {
		for _, h := range hs {
			if !h.dead && f.now >= h.nextAnnounce {
				// An upstream that is refused tries again with its next announcement.
				_ = f.announce(h)
				h.nextAnnounce = f.now + rowsAnnounceInterval
				if len(h.released) > 0 {
					h.nextAnnounce = f.now + 100*time.Millisecond
				}
			}
		}
		f.tick()
		f.now += 20 * time.Millisecond
		f.checkExclusive(hs)
	}
}

// deliver delivers announcements that nobody waits for any more.
func (f *rowsFleet) deliver(late []proto.Announcement) {
	for _, a := range late {
		_, _ = f.planner.Announce(f.now, f.machine.Model(), a)
	}
}

// checkExclusive fails the test if two upstreams hold the same position.
func (f *rowsFleet) checkExclusive(hs []*rowsUpstream) {
	f.t.Helper()
	for i, a := range hs {
		for _, b := range hs[:i] {
			for _, x := range a.held(f.now) {
				for _, y := range b.held(f.now) {
					if x.Overlaps(y.First, y.Last) {
						f.t.Fatalf("at %v: %s and %s both hold keys from %d on after %v",
							f.now, a.name, b.name, x.First/model.OrderedSpan, f.steps)
					}
				}
			}
		}
	}
}

func (f *rowsFleet) ownedCount(h *rowsUpstream) int {
	n := 0
	for _, a := range f.machine.Model().Ranges {
		if a.Owner == h.name && a.Incarnation == h.incarnation && a.Phase == model.PhaseHeld {
			n++
		}
	}
	return n
}

func newRowsUpstream(name string, n int) *rowsUpstream {
	return &rowsUpstream{name: name, address: fmt.Sprintf("10.0.0.%d:80", n), incarnation: uint64(1000 + n)}
}

// Guards against a first assignment to only those upstreams that announce themselves first, which costs moves later.
func TestFirstAssignmentWaitsForAllUpstreams(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	b.nextAnnounce = f.now + 600*time.Millisecond
	f.run(5*time.Second, a, b)
	is.Equal(f.ownedCount(a), 4)
	is.Equal(f.ownedCount(b), 4)
	for _, r := range f.machine.Model().Ranges {
		is.True(r.Epoch <= 8) // each range was granted once
	}
}

// Guards against a late announcement of an earlier process that revives that process or ends the present one, and
// against a new process at an address or under a name that has to wait for the grant of the earlier process to
// expire.
func TestProcessesOfOneNameAndAddress(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	f.run(5*time.Second, a, b)
	lateAnnouncement := a.announcement(f.now)
	a.dead = true
	successor := &rowsUpstream{name: "c", address: a.address, incarnation: a.incarnation + 50}
	f.run(1500*time.Millisecond, b, successor)
	is.Equal(f.ownedCount(a), 0) // well before the grant of a expires
	_, err := f.planner.Announce(f.now, f.machine.Model(), lateAnnouncement)
	is.True(err != nil)
	is.Equal(err.Code, proto.CodeSuperseded)
	restarted := &rowsUpstream{name: "b", address: b.address, incarnation: b.incarnation + 50}
	b.dead = true
	f.run(3*time.Second, successor, restarted)
	is.True(f.ownedCount(restarted) > 0)
	old := b.announcement(f.now)
	_, err = f.planner.Announce(f.now, f.machine.Model(), old)
	is.True(err != nil)
}

// Guards against an announcement that arrives after a later one and is accepted as the newest.
func TestOutOfOrderAnnouncementIsRefused(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a := newRowsUpstream("a", 1)
	first := a.announcement(f.now)
	is.True(f.announce(a) == nil)
	_, err := f.planner.Announce(f.now, f.machine.Model(), first)
	is.True(err != nil)
	is.Equal(err.Code, proto.CodeSuperseded)
}

// Guards against keys of an upstream that left without draining that are granted to another one while it may still
// hold them.
func TestDepartedUpstreamKeepsKeysUntilGrantExpires(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	f.run(5*time.Second, a, b)
	f.planner.MarkLeaving(f.now, f.machine.Model(), "a")
	f.tick()
	is.True(f.planner.MarkLeaving(f.now, f.machine.Model(), "a"))
	a.nextAnnounce = f.now + time.Hour
	f.run(2*time.Second, a, b)
	is.True(f.ownedCount(b) < 8)
	f.run(4*time.Second, a, b)
	is.Equal(f.ownedCount(b), 8)
}

// Guards against a draining upstream that keeps its keys until its grant expires, and against a handover token that
// the next holder does not get.
func TestDrainingUpstreamHandsOverKeys(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := newRowsUpstream("a", 1), newRowsUpstream("b", 2)
	f.run(5*time.Second, a, b)
	a.leaving = true
	var tokens []string
	for range 30 {
		f.run(100*time.Millisecond, a, b)
		for _, r := range b.rows {
			if r.Handover != "" {
				tokens = append(tokens, r.Handover)
			}
		}
	}
	is.Equal(f.ownedCount(b), 8)
	is.True(len(tokens) > 0)
}

// Guards against a second holder under crashes, restarts at the same address or under the same name, drains,
// departures, lost answers, late announcements and leader changes in any order.
func TestRowsNeverHaveTwoHolders(t *testing.T) {
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 7))
		f := newRowsFleet(t)
		var hs []*rowsUpstream
		for i := range 4 {
			hs = append(hs, newRowsUpstream(fmt.Sprintf("u%d", i), i))
		}
		var delayed []proto.Announcement
		for step := range 40 {
			f.run(time.Duration(r.IntN(1200))*time.Millisecond, hs...)
			live := slices.DeleteFunc(slices.Clone(hs), func(h *rowsUpstream) bool { return h.dead })
			if len(live) == 0 {
				break
			}
			h, kind := live[r.IntN(len(live))], r.IntN(11)
			f.steps = append(f.steps, fmt.Sprintf("%v %d %s/%d", f.now, kind, h.name, h.incarnation))
			switch kind {
			case 0:
				h.dead = true
			case 1:
				h.dead = true
				hs = append(hs, &rowsUpstream{
					name: fmt.Sprintf("n%d", step), address: h.address, incarnation: 2000 + uint64(step), nextAnnounce: f.now,
				})
			case 2:
				h.dead = true
				hs = append(hs, &rowsUpstream{name: h.name, address: h.address, incarnation: 2000 + uint64(step), nextAnnounce: f.now})
			case 3:
				h.leaving = true
			case 4:
				f.planner.MarkLeaving(f.now, f.machine.Model(), h.name)
				h.nextAnnounce = f.now + time.Hour
			case 5, 6:
				f.elect()
			case 7:
				// The answer to an announcement is lost.
				if !h.dead {
					_, _ = f.planner.Announce(f.now, f.machine.Model(), h.announcement(f.now))
				}
			case 8:
				// The upstream sends no announcement for longer than the TTL of its grant.
				h.nextAnnounce = f.now + 6*time.Second
			case 9:
				delayed = append(delayed, h.announcement(f.now))
			case 10:
				f.deliver(delayed)
				delayed = nil
			}
		}
	}
}
