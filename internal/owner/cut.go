package owner

import (
	"math"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

const (
	// cutShare is the share of the mean load of an upstream above which a range is cut, so that its parts can be
	// spread. Three ranges below it can still be balanced to within a quarter.
	cutShare = 0.25
	// cutFill is how full a piece may be of the load above which it would be cut again.
	cutFill = 0.6
	// maxRangesPerUpstream bounds the ranges of an ordered service: each is a row of a few dozen bytes in a grant, and
	// upstreams read 4 KiB at most.
	maxRangesPerUpstream = 40
	// minCutBusy is the load in slots below which nothing is cut: the measurement of so little is mostly chance.
	minCutBusy = 0.2
)

// cutHot cuts the ranges with much of the load of an overloaded owner into parts that stay there until they are balanced.
func (m *plan) cutHot() {
	if len(m.ranges) > maxRangesPerUpstream*len(m.loads) {
		return
	}
	mean := m.busy / float64(len(m.loads))
	limit := max(minCutBusy, cutShare*mean)
	overloaded := m.overloaded(mean)
	for i := range m.ranges {
		a := &m.ranges[i]
		parts := m.p.load.parts[a.ID]
		if a.Phase != model.PhaseHeld || m.loadOf[i] <= limit || len(parts) == 0 || !overloaded[a.Owner] {
			continue
		}
		at, loads := cutPoints(a, parts, limit*cutFill)
		if len(at) == 0 {
			continue
		}
		m.cs = append(m.cs, state.Command{Cut: &state.Cut{Range: a.ID, Epoch: a.Epoch, Boundaries: at}})
		for k, first := range append([]uint64{a.First}, at...) {
			m.p.load.seeds[hotKey{a.Service, first}] = seed{busy: loads[k], until: m.now + seedTime}
		}
		delete(m.p.load.ranges, a.ID)
		delete(m.p.load.smooth, a.ID)
		delete(m.p.load.parts, a.ID)
	}
}

// overloaded returns the upstreams whose measured load is above the mean by more than the slack and what chance makes.
func (m *plan) overloaded(mean float64) map[string]bool {
	busy := map[string]float64{}
	for i := range m.ranges {
		busy[m.ranges[i].Owner] += m.loadOf[i]
	}
	out, chance := map[string]bool{}, m.chance()
	for name, b := range busy {
		out[name] = b-chance[name] > max((1+orderedSlack)*mean, m.comfort())
	}
	return out
}

// comfort returns the load in slots up to which requests hardly wait at an upstream, so that moving its ranges gains
// nothing.
func (m *plan) comfort() float64 {
	if m.slots == math.MaxInt {
		return 0
	}
	return comfortShare * float64(m.slots)
}

// comfortShare is the share of busy slots at which a request waits for a fifth of its own time on average, with three
// slots.
const comfortShare = 0.55

// chance returns by how many slots the measured load of each upstream may be off by chance.
func (m *plan) chance() map[string]float64 {
	out := map[string]float64{}
	for i := range m.ranges {
		a := &m.ranges[i]
		out[a.Owner] += m.p.load.variance(m.now, a)
	}
	for name, v := range out {
		out[name] = certainty * math.Sqrt(v)
	}
	return out
}

// certainty is the number of standard deviations by which a load must exceed a bound.
const certainty = 1.5

// cutPoints joins the equal parts of a range to pieces of at most most, and returns the first positions of all pieces
// but the first, and the load of each piece.
func cutPoints(a *model.Assignment, parts []float64, most float64) (at []uint64, loads []float64) {
	keys := (a.Last-a.First)/model.OrderedSpan + 1
	n := min(keys, uint64(len(parts)))
	step := uint64(len(parts)) / n
	for k := range n {
		busy := 0.0
		for j := k * step; j < (k+1)*step; j++ {
			busy += parts[j]
		}
		if last := len(loads) - 1; last >= 0 && loads[last]+busy <= most {
			loads[last] += busy
			continue
		}
		if k > 0 {
			at = append(at, a.First+k*keys/n*model.OrderedSpan)
		}
		loads = append(loads, busy)
	}
	return at, loads
}
