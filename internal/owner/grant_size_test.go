package owner_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// maxAnswerBytes is the size up to which upstreams read an answer.
const maxAnswerBytes = 4 << 10

// encodedRows returns the rows as the platform encodes them.
func encodedRows(rows []proto.Row) []byte {
	out := make([][]any, 0, len(rows))
	for _, r := range rows {
		out = append(out, []any{r.First / model.OrderedSpan, r.Last / model.OrderedSpan, r.Epoch, r.Handover})
	}
	b, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return b
}

// readableRows returns the rows that reach an upstream: without tokens, and without the last rows, if they are too long.
func readableRows(rows []proto.Row) []proto.Row {
	const others = len(`{"HeartbeatUrl":"http://10.100.100.100:10000","Holds":,"Hold":"10000ms"}`)
	if len(encodedRows(rows))+others <= maxAnswerBytes {
		return rows
	}
	out := make([]proto.Row, 0, len(rows))
	for _, r := range rows {
		r.Handover = ""
		out = append(out, r)
	}
	for len(encodedRows(out))+others > maxAnswerBytes {
		out = out[:len(out)-1]
	}
	return out
}

// interleave splits the ranges into at least count and spreads them over all upstreams in turn, so that no two adjacent ones
// have the same owner.
func (f *platformFleet) interleave(count int) {
	for len(f.machine.Model().Ranges) < count {
		var cs []state.Command
		for _, a := range f.machine.Model().Ranges {
			cs = append(cs, state.Command{SplitInPlace: &state.SplitInPlace{
				Range: a.ID, Epoch: a.Epoch, Boundaries: []uint64{a.First + (a.Last-a.First)/2 + 1},
			}})
		}
		f.apply(cs)
	}
	var cs []state.Command
	for i, a := range f.machine.Model().Ranges {
		u := f.upstreams[i%len(f.upstreams)]
		cs = append(cs, state.Command{Release: &state.Release{Range: a.ID, Epoch: a.Epoch}}, state.Command{
			Assign: &state.Assign{Range: a.ID, Epoch: a.Epoch, Owner: u.name, Incarnation: u.incarnation},
		})
	}
	f.apply(cs)
}

// requireHolders fails the test if a key has no holder twice in a row, as long apart as a move takes at most.
func (f *platformFleet) requireHolders(d time.Duration) {
	f.t.Helper()
	const moveTime = 2*rowsAnnounceInterval + 200*time.Millisecond
	before := map[uint64]bool{}
	for end := f.now + d; f.now < end; f.run(moveTime) {
		unheld := f.unheldKeys()
		for k := range unheld {
			if before[k] {
				f.t.Fatalf("key %d and %d others have no holder", k, len(unheld)-1)
			}
		}
		before = unheld
	}
}

func (f *platformFleet) unheldKeys() map[uint64]bool {
	var held [model.OrderedKeys]bool
	for _, u := range f.upstreams {
		for _, r := range u.held(f.now) {
			for k := r.First / model.OrderedSpan; k <= r.Last/model.OrderedSpan; k++ {
				held[k] = true
			}
		}
	}
	out := map[uint64]bool{}
	for k, ok := range held {
		if !ok {
			out[uint64(k)] = true
		}
	}
	return out
}

// Guards against keys without a holder after most upstreams of a service with many splits are lost: those that stay get
// ranges all over the key space, which take more rows than they read.
func TestFewUpstreamsGetShortGrants(t *testing.T) {
	for _, c := range []struct {
		upstreams, ranges, kept int
		// planned is true if the others leave as planned, so that their keys come with tokens.
		planned bool
	}{
		{upstreams: 13, ranges: 512, kept: 2},
		{upstreams: 13, ranges: 512, kept: 3},
		{upstreams: 13, ranges: 1024, kept: 1},
		{upstreams: 13, ranges: 1024, kept: 2},
		{upstreams: 13, ranges: 1024, kept: 3},
		{upstreams: 13, ranges: 1024, kept: 5},
		{upstreams: 40, ranges: 2048, kept: 2},
		{upstreams: 40, ranges: 2048, kept: 9},
		{upstreams: 2, ranges: 1024, kept: 2},
		{upstreams: 13, ranges: 1024, kept: 2, planned: true},
		{upstreams: 13, ranges: 256, kept: 1, planned: true},
		{upstreams: 40, ranges: 2048, kept: 9, planned: true},
	} {
		t.Run(fmt.Sprintf("%d_of_%d_with_%d_ranges_planned_%t", c.kept, c.upstreams, c.ranges, c.planned), func(t *testing.T) {
			f := newPlatformFleet(t, c.upstreams)
			f.limitAnswers = true
			f.interleave(c.ranges)
			f.run(3 * time.Second)
			for _, u := range f.upstreams[c.kept:] {
				u.dead, u.leaving = !c.planned, c.planned
			}
			f.rate = 6 * float64(c.kept)
			f.run(8 * time.Second)
			f.requireHolders(20 * time.Second)
			f.checkExclusive(f.upstreams)
		})
	}
}
