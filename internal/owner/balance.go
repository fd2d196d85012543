package owner

import (
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// releases starts to take ranges from their owners, at most budget from those that stay, and returns how many.
func (m *plan) releases(budget int) int {
	taken := map[uint64]bool{}
	release := func(a model.Assignment) {
		taken[a.ID] = true
		m.cs = append(m.cs, state.Command{Release: &state.Release{Range: a.ID, Epoch: a.Epoch}})
	}
	for _, a := range m.ranges {
		// The owner that leaves gets no requests for long, so its ranges don't wait for other moves.
		if a.Phase == model.PhaseHeld && m.mustLeave(a) && (len(taken) < budget || m.p.cfg.SlowAnnouncements) {
			release(a)
		}
	}
	// Until every upstream that the predecessor knew has announced itself or is gone, the loads are incomplete.
	if m.now < m.p.settledAt || len(m.loads) < 2 {
		return len(taken)
	}
	m.releaseHot(budget, taken, release)
	m.releaseCold(budget, taken, release)
	m.balance(budget, taken, release)
	return len(taken)
}

// mustLeave tells whether the owner of a held range has to give it up. An owner that is only silent keeps it until
// it is removed from the state.
func (m *plan) mustLeave(a model.Assignment) bool {
	l := m.p.upstreams[a.Owner]
	return l != nil && m.now < l.grantedUntil && m.p.leaving(m.s, m.s.Upstreams[a.Owner])
}

func (m *plan) releaseHot(budget int, taken map[uint64]bool, release func(model.Assignment)) {
	for _, h := range m.hot {
		i, ok := m.s.Find(m.ranges[0].Service, h)
		if !ok || len(taken) >= budget {
			continue
		}
		a := m.s.Ranges[i]
		if _, ok := m.loads[a.Owner]; ok && a.Phase == model.PhaseHeld && a.First < a.Last && !taken[a.ID] {
			release(a)
		}
	}
}

// releaseCold takes the range of a key that is no longer hot together with its neighbours, to merge them. One merge
// runs at a time, since the keys of all parts have no owner for its length.
func (m *plan) releaseCold(budget int, taken map[uint64]bool, release func(model.Assignment)) {
	for id, g := range m.p.load.merging {
		if m.now >= g.deadline {
			delete(m.p.load.merging, id)
		}
	}
	if len(m.p.load.merging) > 0 {
		return
	}
	for i, a := range m.ranges {
		if a.Phase != model.PhaseHeld || !m.p.load.cold(m.now, a, m.slots) {
			continue
		}
		parts := m.mergeable(i, taken)
		if len(parts) < 2 || len(taken)+len(parts) > budget {
			continue
		}
		g := &merge{deadline: m.now + mergeWait}
		for _, b := range parts {
			g.parts = append(g.parts, b.ID)
			m.p.load.merging[b.ID] = g
			release(b)
		}
		return
	}
}

// mergeable returns the range at i with its neighbours that aren't hot and whose owners can give them back.
func (m *plan) mergeable(i int, taken map[uint64]bool) []model.Assignment {
	var out []model.Assignment
	for k := max(0, i-1); k <= min(len(m.ranges)-1, i+1); k++ {
		a := m.ranges[k]
		_, live := m.loads[a.Owner]
		if k == i || (!a.Hot && a.Phase == model.PhaseHeld && live && !taken[a.ID]) {
			out = append(out, a)
		}
	}
	return out
}

// balance takes ranges from the heaviest upstream while that lowers the larger of the two loads.
func (m *plan) balance(budget int, taken map[uint64]bool, release func(model.Assignment)) {
	byOwner := map[string][]int{}
	for i := range m.ranges {
		a := &m.ranges[i]
		if _, ok := m.loads[a.Owner]; ok && a.Phase == model.PhaseHeld && !taken[a.ID] {
			byOwner[a.Owner] = append(byOwner[a.Owner], i)
		}
	}
	tolerance := int64(0)
	slack := slack
	if m.ordered() {
		slack = orderedSlack
	}
	if m.busy > 0 {
		weighty := min(1, m.busy/m.littleBusy())
		tolerance = int64(weighty * slack * float64(m.mean))
	}
	chance := m.chance()
	perSlot := m.perSlot()
	full := m.mean + tolerance
	if m.ordered() {
		full = max(full, int64(idleShare*rangeWeight*model.OrderedRanges/float64(len(m.loads))+m.comfort()*perSlot))
	}
	// A single hot key may be more than its owner can take, and no move helps: others must not wait for that one.
	stuck := map[string]bool{}
	for len(taken) < budget && len(stuck) < len(m.loads) {
		from, to := m.heaviest(stuck), m.lightest()
		heavy := m.loads[from] > full+int64(chance[from]*perSlot)
		light := m.loads[to] < m.mean/lightDivisor
		k := m.bestMove(byOwner[from], m.loads[from]-m.loads[to]-tolerance)
		if m.ordered() && !heavy && !light || m.loads[from] <= m.loads[to]+tolerance {
			return
		}
		if k < 0 {
			stuck[from] = true
			continue
		}
		i := byOwner[from][k]
		a, w := m.ranges[i], m.weights[i]
		if heavy {
			to = m.receiver(from, to, w)
		}
		byOwner[from] = slices.Delete(byOwner[from], k, k+1)
		release(a)
		m.p.incoming[a.ID] = to
		m.loads[from] -= w
		m.loads[to] += w
	}
}

// soonest returns the target with the shortest wait among those that are no heavier than room, or the lightest one.
func (m *plan) soonest(lightest string, room int64, wait func(to string) time.Duration) string {
	best, shortest := lightest, wait(lightest)
	for _, name := range m.targets {
		if m.loads[name] > room {
			continue
		}
		if d := wait(name); d < shortest {
			best, shortest = name, d
		}
	}
	return best
}

// lightDivisor is the part of the mean load below which an upstream of an ordered service takes ranges from others that
// aren't overloaded, as a newcomer does.
const lightDivisor = 4

// soonestRoom allows an upstream that is up to a third of the difference heavier than the lightest one.
const soonestRoom = 3

// receiver returns the upstream that is to get a range of a heavier one: the one that leaves it without an owner for the
// shortest time, among those that are about as light as the lightest. The owner gives the range back with its next
// announcement, and the next owner gets it in the answer to one of its own.
func (m *plan) receiver(from, lightest string, w int64) string {
	l := m.p.upstreams[from]
	if !m.p.cfg.SlowAnnouncements || l == nil {
		return lightest
	}
	free := m.p.nextHeard(m.now, l) + releaseTime
	room := min((m.loads[from]-m.loads[lightest])/soonestRoom+m.loads[lightest], m.loads[from]-2*w)
	return m.soonest(lightest, room, func(to string) time.Duration { return m.wait(free, to) })
}

// bestMove returns the position in held of the range whose move leaves the smallest difference, or -1 if none
// lowers it.
func (m *plan) bestMove(held []int, difference int64) int {
	best, left := -1, difference
	for k, i := range held {
		w := m.weights[i]
		if rest := max(difference-2*w, 2*w-difference); rest < left {
			best, left = k, rest
		}
	}
	return best
}

// lightest returns the target with the smallest load, the first by name among equals.
func (m *plan) lightest() string {
	best := m.targets[0]
	for _, name := range m.targets[1:] {
		if m.loads[name] < m.loads[best] {
			best = name
		}
	}
	return best
}

// heaviest returns the upstream with the largest load that is not in skipped, the first by name among equals.
func (m *plan) heaviest(skipped map[string]bool) string {
	best := ""
	for name, w := range m.loads {
		if skipped[name] {
			continue
		}
		if best == "" || w > m.loads[best] || (w == m.loads[best] && name < best) {
			best = name
		}
	}
	return best
}
