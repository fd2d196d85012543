package owner

import (
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// planReleases starts to take ranges from their owners and returns how many. At most budget ranges are taken from
// owners that stay.
func (m *movePlan) planReleases(budget int) int {
	taken := map[uint64]bool{}
	release := func(a model.Assignment) {
		taken[a.ID] = true
		m.commands = append(m.commands, state.Command{Release: &state.Release{Range: a.ID, Epoch: a.Epoch}})
	}
	for _, a := range m.ranges {
		// An owner that leaves gets requests only for a short time, so its ranges do not wait for other moves.
		if a.Phase == model.PhaseHeld && m.mustRelease(a) && (len(taken) < budget || m.planner.cfg.SlowAnnouncements) {
			release(a)
		}
	}
	// The loads are incomplete until every upstream that the previous leader knew has announced itself or is gone.
	if m.now < m.planner.discoveryEnd || len(m.ownerWeights) < 2 {
		return len(taken)
	}
	m.releaseHot(budget, taken, release)
	m.releaseCold(budget, taken, release)
	if m.ordered() {
		m.shortenGrants(taken, release)
	}
	m.balance(budget, taken, release)
	return len(taken)
}

// mustRelease reports whether the owner of a held range has to give it up. An owner that is only silent keeps the
// range until it is removed from the state.
func (m *movePlan) mustRelease(a model.Assignment) bool {
	rec := m.planner.upstreams[a.Owner]
	return rec != nil && m.now < rec.grantedUntil && m.planner.mustDrain(m.s, m.s.Upstreams[a.Owner])
}

func (m *movePlan) releaseHot(budget int, taken map[uint64]bool, release func(model.Assignment)) {
	for _, h := range m.hotKeys {
		i, ok := m.s.FindRange(m.ranges[0].Service, h)
		if !ok || len(taken) >= budget {
			continue
		}
		a := m.s.Ranges[i]
		if _, ok := m.ownerWeights[a.Owner]; ok && a.Phase == model.PhaseHeld && a.First < a.Last && !taken[a.ID] {
			release(a)
		}
	}
}

// releaseCold takes the range of a key that is no longer hot, together with its neighbours, to merge them. Only one
// merge runs at a time, because the keys of all its parts have no owner while it lasts.
func (m *movePlan) releaseCold(budget int, taken map[uint64]bool, release func(model.Assignment)) {
	for id, mg := range m.planner.loads.merging {
		if m.now >= mg.deadline {
			delete(m.planner.loads.merging, id)
		}
	}
	if len(m.planner.loads.merging) > 0 {
		return
	}
	for i, a := range m.ranges {
		if a.Phase != model.PhaseHeld || !m.planner.loads.cooledDown(m.now, a, m.slotsPerUpstream) {
			continue
		}
		parts := m.mergeable(i, taken)
		if len(parts) < 2 || len(taken)+len(parts) > budget {
			continue
		}
		mg := &merge{deadline: m.now + mergeWait}
		for _, b := range parts {
			mg.parts = append(mg.parts, b.ID)
			m.planner.loads.merging[b.ID] = mg
			release(b)
		}
		return
	}
}

// mergeable returns the range at position i and those of its neighbours that are not hot and whose owners can give
// them back.
func (m *movePlan) mergeable(i int, taken map[uint64]bool) []model.Assignment {
	var out []model.Assignment
	for k := max(0, i-1); k <= min(len(m.ranges)-1, i+1); k++ {
		a := m.ranges[k]
		_, live := m.ownerWeights[a.Owner]
		if k == i || (!a.Hot && a.Phase == model.PhaseHeld && live && !taken[a.ID]) {
			out = append(out, a)
		}
	}
	return out
}

// balance takes ranges from the heaviest upstream as long as that lowers the larger of the two weights.
func (m *movePlan) balance(budget int, taken map[uint64]bool, release func(model.Assignment)) {
	byOwner := map[string][]int{}
	for i := range m.ranges {
		a := &m.ranges[i]
		if _, ok := m.ownerWeights[a.Owner]; ok && a.Phase == model.PhaseHeld && !taken[a.ID] {
			byOwner[a.Owner] = append(byOwner[a.Owner], i)
		}
	}
	tolerance := int64(0)
	toleranceShare := loadTolerance
	if m.ordered() {
		toleranceShare = orderedLoadTolerance
	}
	if m.totalLoad > 0 {
		confidence := min(1, m.totalLoad/m.lowLoad())
		tolerance = int64(confidence * toleranceShare * float64(m.meanWeight))
	}
	noise := m.loadNoise()
	weightPerSlot := m.weightPerSlot()
	fullWeight := m.meanWeight + tolerance
	if m.ordered() {
		fullWeight = max(fullWeight,
			int64(widthShare*rangeWeight*model.OrderedRanges/float64(len(m.ownerWeights))+m.uncongestedLoad()*weightPerSlot))
	}
	// unmovable holds upstreams that no move can relieve, such as the owner of a single hot key with more load than
	// one upstream can take. The balance continues with the others.
	unmovable := map[string]bool{}
	for len(taken) < budget && len(unmovable) < len(m.ownerWeights) {
		from, to := m.heaviest(unmovable), m.lightest()
		heavy := m.ownerWeights[from] > fullWeight+int64(noise[from]*weightPerSlot)
		light := m.ownerWeights[to] < m.meanWeight/lightDivisor
		k := m.bestMove(byOwner[from], to, m.ownerWeights[from]-m.ownerWeights[to]-tolerance)
		if m.ordered() && !heavy && !light || m.ownerWeights[from] <= m.ownerWeights[to]+tolerance {
			return
		}
		if k < 0 {
			unmovable[from] = true
			continue
		}
		i := byOwner[from][k]
		if heavy {
			to = m.recipient(i, from, to)
		}
		byOwner[from] = slices.Delete(byOwner[from], k, k+1)
		release(m.ranges[i])
		m.reassign(i, to)
	}
}

// soonestTarget returns the target with the shortest wait among those no heavier than maxWeight, or the lightest one.
func (m *movePlan) soonestTarget(lightest string, maxWeight int64, wait func(to string) time.Duration) string {
	best, shortest := lightest, wait(lightest)
	for _, name := range m.targets {
		if m.ownerWeights[name] > maxWeight {
			continue
		}
		if d := wait(name); d < shortest {
			best, shortest = name, d
		}
	}
	return best
}

// lightDivisor sets the weight below which an upstream of an ordered service, such as a new one, gets ranges even if no
// other upstream is overloaded: the mean weight divided by lightDivisor.
const lightDivisor = 4

// recipientDivisor allows a recipient that is heavier than the lightest upstream by up to a third of the difference.
const recipientDivisor = 3

// recipient returns the upstream that is to get the range at position i of a heavier one. Among those about as light as
// the lightest, it is the one that leaves the range without an owner for the shortest time. The old owner gives the range
// back with its next announcement, and the new owner gets it in the answer to one of its own.
func (m *movePlan) recipient(i int, from, lightest string) string {
	rec := m.planner.upstreams[from]
	if !m.planner.cfg.SlowAnnouncements || rec == nil {
		return lightest
	}
	freeAt := m.planner.nextAnnouncement(m.now, rec) + releaseTime
	maxWeight := min(
		(m.ownerWeights[from]-m.ownerWeights[lightest])/recipientDivisor+m.ownerWeights[lightest],
		m.ownerWeights[from]-2*m.weights[i])
	to := m.soonestTarget(lightest, maxWeight, func(to string) time.Duration { return m.grantDelay(freeAt, to) })
	if !m.movable(i, to) {
		return lightest
	}
	return to
}

// bestMove returns the position in held of the range whose move leaves the smallest difference, or -1 if no range that may
// move lowers the difference.
func (m *movePlan) bestMove(held []int, to string, difference int64) int {
	best, smallest := -1, difference
	for k, i := range held {
		w := m.weights[i]
		if remaining := max(difference-2*w, 2*w-difference); remaining < smallest && m.movable(i, to) {
			best, smallest = k, remaining
		}
	}
	return best
}

// lightest returns the target with the smallest weight; of equals, the first by name.
func (m *movePlan) lightest() string {
	best := m.targets[0]
	for _, name := range m.targets[1:] {
		if m.ownerWeights[name] < m.ownerWeights[best] {
			best = name
		}
	}
	return best
}

// heaviest returns the upstream with the largest weight that is not in skipped; of equals, the first by name.
func (m *movePlan) heaviest(skipped map[string]bool) string {
	best := ""
	for name, w := range m.ownerWeights {
		if skipped[name] {
			continue
		}
		if best == "" || w > m.ownerWeights[best] || (w == m.ownerWeights[best] && name < best) {
			best = name
		}
	}
	return best
}
