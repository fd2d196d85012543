package owner

import (
	"math"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

const (
	// splitShare is the share of an upstream's mean load above which a range is split, so that its parts can be spread.
	// Smaller ranges need no split: even an upstream with three of them has a quarter of the mean load to spare, so moving
	// whole ranges balances the upstreams to within that quarter.
	splitShare = 0.25
	// pieceFill is the target load of a piece relative to the load above which the piece would be split again.
	pieceFill = 0.6
	// maxRangesPerUpstream limits the ranges of an ordered service. Each range is a row of a few dozen bytes in a
	// grant, and upstreams read at most 4 KiB.
	maxRangesPerUpstream = 40
	// minSplitLoad is the load in slots below which no range is split, because measurements of so little load are mostly
	// noise.
	minSplitLoad = 0.2
)

// splitOverloaded splits the ranges that carry much of the load of an overloaded owner. The pieces stay with that owner
// until they are balanced.
func (m *movePlan) splitOverloaded() {
	if len(m.ranges) > maxRangesPerUpstream*len(m.ownerWeights) {
		return
	}
	mean := m.totalLoad / float64(len(m.ownerWeights))
	splitLoad := max(minSplitLoad, splitShare*mean)
	overloaded := m.overloaded(mean)
	for i := range m.ranges {
		a := &m.ranges[i]
		parts := m.planner.loads.partLoads[a.ID]
		if a.Phase != model.PhaseHeld || m.rangeLoads[i] <= splitLoad || len(parts) == 0 || !overloaded[a.Owner] {
			continue
		}
		boundaries, pieceLoads := splitPoints(a, parts, splitLoad*pieceFill)
		if len(boundaries) == 0 {
			continue
		}
		m.commands = append(m.commands, state.Command{
			SplitInPlace: &state.SplitInPlace{Range: a.ID, Epoch: a.Epoch, Boundaries: boundaries},
		})
		for k, first := range append([]uint64{a.First}, boundaries...) {
			m.planner.loads.estimates[servicePosition{a.Service, first}] = loadEstimate{
				load: pieceLoads[k], expiresAt: m.now + estimateTTL,
			}
		}
		delete(m.planner.loads.rangeLoads, a.ID)
		delete(m.planner.loads.averages, a.ID)
		delete(m.planner.loads.partLoads, a.ID)
	}
}

// overloaded returns the upstreams whose measured load exceeds the mean by more than the tolerance and the noise.
func (m *movePlan) overloaded(mean float64) map[string]bool {
	loads := map[string]float64{}
	for i := range m.ranges {
		loads[m.ranges[i].Owner] += m.rangeLoads[i]
	}
	out, noise := map[string]bool{}, m.loadNoise()
	for name, b := range loads {
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
		out[a.Owner] += m.planner.loads.variance(m.now, a)
	}
	for name, v := range out {
		out[name] = minDeviations * math.Sqrt(v)
	}
	return out
}

// minDeviations is the number of standard deviations by which a load must exceed a bound to count as above it.
const minDeviations = 1.5

// splitPoints joins the equal parts of a range into pieces with a load of at most maxLoad, unless a single part exceeds
// it. It returns the first position of every piece but the first, and the load of each piece.
func splitPoints(a *model.Assignment, parts []float64, maxLoad float64) (boundaries []uint64, loads []float64) {
	keys := (a.Last-a.First)/model.OrderedSpan + 1
	n := min(keys, uint64(len(parts)))
	step := uint64(len(parts)) / n
	for k := range n {
		load := 0.0
		for j := k * step; j < (k+1)*step; j++ {
			load += parts[j]
		}
		if last := len(loads) - 1; last >= 0 && loads[last]+load <= maxLoad {
			loads[last] += load
			continue
		}
		if k > 0 {
			boundaries = append(boundaries, a.First+k*keys/n*model.OrderedSpan)
		}
		loads = append(loads, load)
	}
	return boundaries, loads
}
