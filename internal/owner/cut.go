package owner

import (
	"math"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

const (
	// cutShare is the share of an upstream's mean load above which a range is cut, so that its parts can be spread.
	// Three ranges below it can still be balanced to within a quarter.
	cutShare = 0.25
	// pieceFill is the target load of a piece relative to the load above which the piece would be cut again.
	pieceFill = 0.6
	// maxRangesPerUpstream limits the ranges of an ordered service. Each range is a row of a few dozen bytes in a
	// grant, and upstreams read at most 4 KiB.
	maxRangesPerUpstream = 40
	// minCutLoad is the load in slots below which no range is cut, because measurements of so little load are mostly
	// noise.
	minCutLoad = 0.2
)

// cutOverloaded cuts the ranges that carry much of the load of an overloaded owner. The pieces stay with that owner
// until they are balanced.
func (m *movePlan) cutOverloaded() {
	if len(m.ranges) > maxRangesPerUpstream*len(m.ownerWeights) {
		return
	}
	mean := m.totalLoad / float64(len(m.ownerWeights))
	cutLoad := max(minCutLoad, cutShare*mean)
	overloaded := m.overloaded(mean)
	for i := range m.ranges {
		a := &m.ranges[i]
		parts := m.planner.load.partLoads[a.ID]
		if a.Phase != model.PhaseHeld || m.rangeLoads[i] <= cutLoad || len(parts) == 0 || !overloaded[a.Owner] {
			continue
		}
		boundaries, pieceLoads := cutPoints(a, parts, cutLoad*pieceFill)
		if len(boundaries) == 0 {
			continue
		}
		m.commands = append(m.commands, state.Command{SplitInPlace: &state.SplitInPlace{Range: a.ID, Epoch: a.Epoch, Boundaries: boundaries}})
		for k, first := range append([]uint64{a.First}, boundaries...) {
			m.planner.load.estimates[hotKey{a.Service, first}] = loadEstimate{busy: pieceLoads[k], until: m.now + estimateTTL}
		}
		delete(m.planner.load.rangeLoads, a.ID)
		delete(m.planner.load.averages, a.ID)
		delete(m.planner.load.partLoads, a.ID)
	}
}

// overloaded returns the upstreams whose measured load exceeds the mean by more than the tolerance and the noise.
func (m *movePlan) overloaded(mean float64) map[string]bool {
	busy := map[string]float64{}
	for i := range m.ranges {
		busy[m.ranges[i].Owner] += m.rangeLoads[i]
	}
	out, noise := map[string]bool{}, m.loadNoise()
	for name, b := range busy {
		out[name] = b-noise[name] > max((1+orderedLoadTolerance)*mean, m.uncongestedLoad())
	}
	return out
}

// uncongestedLoad returns the load in slots up to which requests hardly wait at an upstream, so that moving its
// ranges gains nothing.
func (m *movePlan) uncongestedLoad() float64 {
	if m.slotsPerUpstream == math.MaxInt {
		return 0
	}
	return uncongestedShare * float64(m.slotsPerUpstream)
}

// uncongestedShare is the share of busy slots at which, with three slots, a request waits on average for a fifth of
// its own duration.
const uncongestedShare = 0.55

// loadNoise returns by how many slots the measured load of each upstream may be off because requests arrive at
// random.
func (m *movePlan) loadNoise() map[string]float64 {
	out := map[string]float64{}
	for i := range m.ranges {
		a := &m.ranges[i]
		out[a.Owner] += m.planner.load.variance(m.now, a)
	}
	for name, v := range out {
		out[name] = minDeviations * math.Sqrt(v)
	}
	return out
}

// minDeviations is the number of standard deviations by which a load must exceed a bound to count as above it.
const minDeviations = 1.5

// cutPoints joins the equal parts of a range to pieces with a load of at most maxLoad, unless a single part exceeds
// it. It returns the first position of every piece but the first, and the load of each piece.
func cutPoints(a *model.Assignment, parts []float64, maxLoad float64) (boundaries []uint64, loads []float64) {
	keys := (a.Last-a.First)/model.OrderedSpan + 1
	n := min(keys, uint64(len(parts)))
	step := uint64(len(parts)) / n
	for k := range n {
		busy := 0.0
		for j := k * step; j < (k+1)*step; j++ {
			busy += parts[j]
		}
		if last := len(loads) - 1; last >= 0 && loads[last]+busy <= maxLoad {
			loads[last] += busy
			continue
		}
		if k > 0 {
			boundaries = append(boundaries, a.First+k*keys/n*model.OrderedSpan)
		}
		loads = append(loads, busy)
	}
	return boundaries, loads
}
