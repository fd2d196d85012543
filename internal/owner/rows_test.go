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
	rowsTTL  = 4 * time.Second
	rowsBeat = 900 * time.Millisecond
)

// rowsFleet drives the planner with upstreams that list what they hold, as those of a platform do.
type rowsFleet struct {
	t       testing.TB
	now     time.Duration
	planner *owner.Planner
	machine *state.Machine
	index   uint64
	// events is what was done to the fleet, for the message of a failure.
	events []string
}

func newRowsFleet(t *testing.T) *rowsFleet {
	t.Helper()
	f := &rowsFleet{t: t, machine: state.New(), now: time.Hour}
	f.apply([]state.Command{{Service: &model.Service{
		Name: "styles", Keyed: true, Ordered: true, Ranges: 8, OnCut: model.OnCutMajority,
	}}})
	f.elect()
	return f
}

// elect replaces the leader.
func (f *rowsFleet) elect() {
	f.planner = owner.New(owner.Config{
		MaxMoves: 4, GrantTTL: rowsTTL, AnnounceInterval: rowsBeat, ReliableIncarnations: true, SlowAnnouncements: true,
		FirstAssignmentDelay: rowsBeat,
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

// holder is an upstream that obeys its grants.
type holder struct {
	name, address string
	born          uint64
	sequence      uint64
	rows          []proto.Row
	until         time.Duration
	released      []proto.Row
	leaving, dead bool
	next          time.Duration
}

func (h *holder) held(now time.Duration) []proto.Row {
	if h.dead || now >= h.until {
		return nil
	}
	return h.rows
}

func (h *holder) report(now time.Duration) proto.Announcement {
	h.sequence++
	rows := slices.Clone(h.held(now))
	if rows == nil {
		rows = []proto.Row{}
	}
	return proto.Announcement{
		Name: h.name, Address: h.address, DataCentre: "a", Service: "styles", Slots: 3, Incarnation: h.born,
		ChecksGrants: true, Draining: h.leaving, Sequence: h.sequence, Rows: &rows, Handovers: h.released,
	}
}

func (h *holder) take(sent time.Duration, g proto.Grant) {
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
	h.rows, h.until = g.Rows, sent+time.Duration(g.TTLMs)*time.Millisecond
}

// announce lets the upstream report, waits as a daemon does while the answer is kept back, and takes the answer.
func (f *rowsFleet) announce(h *holder) *proto.Error {
	a := h.report(f.now)
	sent := f.now
	g, err := f.planner.Announce(f.now, f.machine.Model(), a)
	if err != nil {
		return err
	}
	for g.Awaiting && f.now < sent+owner.MaxAnswerDelay {
		f.now += 20 * time.Millisecond
		f.tick()
		g = f.planner.Regrant(f.now, f.machine.Model(), a)
	}
	h.take(sent, g)
	return nil
}

// run lets everybody report for d.
func (f *rowsFleet) run(d time.Duration, hs ...*holder) {
	end := f.now + d
	for f.now < end {
		for _, h := range hs {
			if !h.dead && f.now >= h.next {
				// An upstream that is refused tries again with its next report.
				_ = f.announce(h)
				h.next = f.now + rowsBeat
				if len(h.released) > 0 {
					h.next = f.now + 100*time.Millisecond
				}
			}
		}
		f.tick()
		f.now += 20 * time.Millisecond
		f.check(hs)
	}
}

// check fails if two upstreams hold one position.
func (f *rowsFleet) check(hs []*holder) {
	f.t.Helper()
	for i, a := range hs {
		for _, b := range hs[:i] {
			for _, x := range a.held(f.now) {
				for _, y := range b.held(f.now) {
					if x.Overlaps(y.First, y.Last) {
						f.t.Fatalf("at %v %s and %s hold keys from %d on after %v", f.now, a.name, b.name, x.First/model.OrderedSpan, f.events)
					}
				}
			}
		}
	}
}

func (f *rowsFleet) owned(h *holder) int {
	n := 0
	for _, a := range f.machine.Model().Ranges {
		if a.Owner == h.name && a.Incarnation == h.born && a.Phase == model.PhaseHeld {
			n++
		}
	}
	return n
}

func upstreamAt(name string, n int) *holder {
	return &holder{name: name, address: fmt.Sprintf("10.0.0.%d:80", n), born: uint64(1000 + n)}
}

// Guards against a first assignment to the upstreams that happen to be heard first, which is paid for by moves.
func TestFirstAssignmentWaitsForAllUpstreams(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := upstreamAt("a", 1), upstreamAt("b", 2)
	b.next = f.now + 600*time.Millisecond
	f.run(5*time.Second, a, b)
	is.Equal(f.owned(a), 4)
	is.Equal(f.owned(b), 4)
	for _, r := range f.machine.Model().Ranges {
		is.True(r.Epoch <= 8) // each range was granted once
	}
}

// Guards against a late report of an earlier process that revives it or ends the present one, and against a new process
// at an address or under a name that has to wait for the grant of the earlier one.
func TestLivesOfUpstreams(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := upstreamAt("a", 1), upstreamAt("b", 2)
	f.run(5*time.Second, a, b)
	late := a.report(f.now)
	a.dead = true
	next := &holder{name: "c", address: a.address, born: a.born + 50}
	f.run(1500*time.Millisecond, b, next)
	is.Equal(f.owned(a), 0) // well before the grant of a ended
	_, err := f.planner.Announce(f.now, f.machine.Model(), late)
	is.True(err != nil)
	is.Equal(err.Code, proto.CodeSuperseded)
	again := &holder{name: "b", address: b.address, born: b.born + 50}
	b.dead = true
	f.run(3*time.Second, next, again)
	is.True(f.owned(again) > 0)
	old := b.report(f.now)
	_, err = f.planner.Announce(f.now, f.machine.Model(), old)
	is.True(err != nil)
}

// Guards against a report that overtook a later one and is taken for news.
func TestAReportOutOfOrderIsRefused(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a := upstreamAt("a", 1)
	first := a.report(f.now)
	is.True(f.announce(a) == nil)
	_, err := f.planner.Announce(f.now, f.machine.Model(), first)
	is.True(err != nil)
	is.Equal(err.Code, proto.CodeSuperseded)
}

// Guards against keys of an upstream that left without draining that are granted while it may still hold them.
func TestAnUpstreamThatIsGoneKeepsItsKeysToTheEnd(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := upstreamAt("a", 1), upstreamAt("b", 2)
	f.run(5*time.Second, a, b)
	f.planner.Depart(f.now, f.machine.Model(), "a")
	f.tick()
	is.True(f.planner.Depart(f.now, f.machine.Model(), "a"))
	a.next = f.now + time.Hour
	f.run(2*time.Second, a, b)
	is.True(f.owned(b) < 8)
	f.run(4*time.Second, a, b)
	is.Equal(f.owned(b), 8)
}

// Guards against an upstream that drains and keeps its keys until its grant ends, and against a handover token that the
// next holder does not get.
func TestADrainingUpstreamHandsItsKeysOver(t *testing.T) {
	is := is.New(t)
	f := newRowsFleet(t)
	a, b := upstreamAt("a", 1), upstreamAt("b", 2)
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
	is.Equal(f.owned(b), 8)
	is.True(len(tokens) > 0)
}

// Guards against a second holder under crashes, restarts at the same address or under the same name, drains, farewells,
// lost answers and changes of the leader in any order.
func TestRowsNeverHaveTwoHolders(t *testing.T) {
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 7))
		f := newRowsFleet(t)
		var hs []*holder
		for i := range 4 {
			hs = append(hs, upstreamAt(fmt.Sprintf("u%d", i), i))
		}
		for step := range 40 {
			f.run(time.Duration(r.IntN(1200))*time.Millisecond, hs...)
			live := slices.DeleteFunc(slices.Clone(hs), func(h *holder) bool { return h.dead })
			if len(live) == 0 {
				break
			}
			h, kind := live[r.IntN(len(live))], r.IntN(9)
			f.events = append(f.events, fmt.Sprintf("%v %d %s/%d", f.now, kind, h.name, h.born))
			switch kind {
			case 0:
				h.dead = true
			case 1:
				h.dead = true
				hs = append(hs, &holder{name: fmt.Sprintf("n%d", step), address: h.address, born: 2000 + uint64(step), next: f.now})
			case 2:
				h.dead = true
				hs = append(hs, &holder{name: h.name, address: h.address, born: 2000 + uint64(step), next: f.now})
			case 3:
				h.leaving = true
			case 4:
				f.planner.Depart(f.now, f.machine.Model(), h.name)
				h.next = f.now + time.Hour
			case 5, 6:
				f.elect()
			case 7:
				// The answer to a report is lost.
				if !h.dead {
					_, _ = f.planner.Announce(f.now, f.machine.Model(), h.report(f.now))
				}
			case 8:
				// The upstream falls silent for longer than its grant.
				h.next = f.now + 6*time.Second
			}
		}
	}
}
