package owner

import (
	"math"
	"slices"

	"baobabreach/internal/model"
)

// computeRuns finds the future owner of each range, and the runs of adjacent ranges with the same owner.
func (m *movePlan) computeRuns() {
	m.owners, m.runs = make([]string, len(m.ranges)), map[string]int{}
	for i := range m.ranges {
		a := &m.ranges[i]
		name := a.Owner
		if a.Phase != model.PhaseHeld {
			name = m.planner.nextOwner[a.ID]
			if !m.isTarget(name) {
				continue
			}
		}
		m.setOwner(i, name)
	}
}

func (m *movePlan) isTarget(name string) bool {
	_, ok := slices.BinarySearch(m.targets, name)
	return ok
}

// setOwner records the upstream that is to own the range at position i.
func (m *movePlan) setOwner(i int, name string) {
	old := m.owners[i]
	if old == name {
		return
	}
	m.owners[i] = ""
	if old != "" {
		m.runs[old] -= m.newRuns(i, old)
	}
	if name != "" {
		m.runs[name] += m.newRuns(i, name)
	}
	m.owners[i] = name
}

// newRuns returns by how many the runs of an upstream grow with the range at position i, which may connect two of them.
func (m *movePlan) newRuns(i int, name string) int {
	n := 1
	if i > 0 && m.owners[i-1] == name {
		n--
	}
	if i+1 < len(m.owners) && m.owners[i+1] == name {
		n--
	}
	return n
}

// fitsGrant reports whether the grant of the upstream stays short if it gets the range at position i.
func (m *movePlan) fitsGrant(i int, name string) bool {
	return !m.ordered() || m.owners[i] == name || m.runs[name]+m.newRuns(i, name) <= maxGrantRows
}

// movable reports whether the grants of both upstreams stay short if the range at position i moves.
func (m *movePlan) movable(i int, to string) bool {
	if !m.ordered() || m.owners[i] == "" {
		return true
	}
	from := m.owners[i]
	return m.runs[from]-m.newRuns(i, from) <= max(maxGrantRows, m.runs[from]) && m.fitsGrant(i, to)
}

// shortestGrant returns the lightest target whose grant stays short with the range at position i. If there is none, it
// returns the owner of the nearest range, whose grant gets shorter once the ranges between them have the same owner.
func (m *movePlan) shortestGrant(i int) string {
	best := ""
	for _, name := range m.targets {
		if m.fitsGrant(i, name) && (best == "" || m.ownerWeights[name] < m.ownerWeights[best]) {
			best = name
		}
	}
	for distance := 1; best == "" && distance < len(m.owners); distance++ {
		for _, k := range []int{i - distance, i + distance} {
			if k >= 0 && k < len(m.owners) && m.isTarget(m.owners[k]) {
				best = m.owners[k]
			}
		}
	}
	if best == "" {
		return m.lightest()
	}
	return best
}

// reassign makes an upstream the next owner of a range that is taken from its owner.
func (m *movePlan) reassign(i int, to string) {
	m.planner.nextOwner[m.ranges[i].ID] = to
	m.ownerWeights[m.owners[i]] -= m.weights[i]
	m.ownerWeights[to] += m.weights[i]
	m.setOwner(i, to)
}

// shortenGrants moves the lightest runs of upstreams with long grants to the owners of the ranges beside them. The runs
// do not wait for other moves, because rows for which there is no room have no holder. A range without an owner may still
// connect the runs beside it.
func (m *movePlan) shortenGrants(taken map[uint64]bool, release func(model.Assignment)) {
	if slices.ContainsFunc(m.ranges, func(a model.Assignment) bool { return a.Phase != model.PhaseHeld }) {
		return
	}
	for _, name := range sortedKeys(m.ownerWeights) {
		for m.runs[name] > maxGrantRows {
			first, end, to := m.lightestRun(name, taken)
			if to == "" {
				break
			}
			for i := first; i < end; i++ {
				release(m.ranges[i])
				m.reassign(i, to)
			}
		}
	}
}

// lightestRun returns the run of an upstream with the smallest weight that can go to the owner of a range beside it, and
// that owner. Without such a run, to is empty.
func (m *movePlan) lightestRun(name string, taken map[uint64]bool) (first, end int, to string) {
	smallest := int64(math.MaxInt64)
	for i := 0; i < len(m.ranges); {
		k, weight, held := i, int64(0), true
		for ; k < len(m.ranges) && m.owners[k] == name; k++ {
			weight += m.weights[k]
			held = held && m.ranges[k].Phase == model.PhaseHeld && !taken[m.ranges[k].ID]
		}
		if k > i && held && weight < smallest {
			if neighbour := m.neighbour(i, k); neighbour != "" {
				first, end, to, smallest = i, k, neighbour, weight
			}
		}
		i = max(k, i+1)
	}
	return first, end, to
}

// neighbour returns the lighter target of those that own the ranges beside a run, or "".
func (m *movePlan) neighbour(first, end int) string {
	best := ""
	for _, i := range []int{first - 1, end} {
		if i < 0 || i >= len(m.owners) || !m.isTarget(m.owners[i]) {
			continue
		}
		if name := m.owners[i]; best == "" || m.ownerWeights[name] < m.ownerWeights[best] {
			best = name
		}
	}
	return best
}
