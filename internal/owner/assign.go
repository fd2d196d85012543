package owner

import (
	"cmp"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// assignFree assigns an owner to each range that no process can still act for. Ranges that will become free count
// toward their future owners, because otherwise balance would take as many ranges again from the others.
func (m *movePlan) assignFree() {
	var unheld []int
	for i := range m.ranges {
		a := &m.ranges[i]
		if a.Phase != model.PhaseHeld {
			unheld = append(unheld, i)
		} else if _, ok := m.ownerWeights[a.Owner]; ok {
			m.ownerWeights[a.Owner] += m.weights[i]
		}
	}
	slices.SortStableFunc(unheld, func(i, k int) int { return cmp.Compare(m.weights[k], m.weights[i]) })
	for _, i := range unheld {
		a := m.ranges[i]
		if m.merged[a.ID] {
			continue
		}
		free := m.planner.isFree(m.now, a)
		if mg := m.planner.loads.merging[a.ID]; mg != nil && m.now < mg.deadline {
			if free {
				m.mergeParts(mg)
			}
			continue
		}
		if h, ok := m.planner.loads.hottestKey(m.hotKeys, a); ok && free && len(m.targets) > 1 {
			m.split(i, h)
			continue
		}
		name := m.chooseOwner(i, free)
		if !m.fitsGrant(i, name) {
			name = m.shortestGrant(i)
			m.planner.nextOwner[a.ID] = name
		}
		m.setOwner(i, name)
		m.ownerWeights[name] += m.weights[i]
		if free && m.planner.canAnswerNow(m.now, name) {
			delete(m.planner.nextOwner, a.ID)
			m.assigned[i] = true
			m.commands = append(m.commands, state.Command{Assign: &state.Assign{
				Range: a.ID, Epoch: a.Epoch, Owner: name, Incarnation: m.s.Upstreams[name].Incarnation,
			}})
		}
	}
}

// chooseOwner returns the upstream that is to get a range. It keeps the upstream chosen when the range was taken, if
// that one can still get it. A free range goes to an upstream that can get it soon.
func (m *movePlan) chooseOwner(i int, free bool) string {
	a := &m.ranges[i]
	if !m.planner.cfg.SlowAnnouncements {
		name := m.lightest()
		m.planner.nextOwner[a.ID] = name
		return name
	}
	earlier, chosen := m.planner.nextOwner[a.ID]
	if chosen {
		_, chosen = slices.BinarySearch(m.targets, earlier)
	}
	if chosen && (!free || m.planner.canAnswerNow(m.now, earlier)) {
		return earlier
	}
	name := earlier
	switch {
	case free:
		name = m.soonestOwner(m.weights[i])
		if chosen && m.grantDelay(m.now, earlier) <= m.grantDelay(m.now, name)+minDelayGain {
			name = earlier
		}
	case !chosen:
		name = m.lightest()
	}
	m.planner.nextOwner[a.ID] = name
	return name
}

// soonestOwner returns the upstream that can get a range of the given weight first without exceeding the mean weight
// by much.
func (m *movePlan) soonestOwner(weight int64) string {
	if m.totalLoad == 0 {
		// Without requests, an even distribution matters more than a short wait: busy keys are close to one another, so
		// an upstream that gets one range after the other would get all of them.
		return m.lightest()
	}
	if m.byDelay == nil {
		m.maxWeight = m.meanWeight * (100 + freeRangeExcessPercent) / 100
		m.byDelay = slices.Clone(m.targets)
		slices.SortStableFunc(m.byDelay, func(a, b string) int {
			return cmp.Compare(m.grantDelay(m.now, a), m.grantDelay(m.now, b))
		})
	}
	for _, name := range m.byDelay {
		if m.ownerWeights[name]+weight <= m.maxWeight {
			return name
		}
	}
	return m.lightest()
}

const (
	// freeRangeExcessPercent is by how much a range without an owner may raise the weight of an upstream above the
	// mean.
	freeRangeExcessPercent = 30
	// minDelayGain is how much sooner another upstream must be able to get a range to be preferred to the one chosen
	// before.
	minDelayGain = 100 * time.Millisecond
)

// announcementGrace is how late an announcement may be before its upstream counts as possibly ended.
const announcementGrace = 200 * time.Millisecond

// grantDelay estimates how long after freeAt the upstream can get a range in the answer to an announcement.
func (m *movePlan) grantDelay(freeAt time.Duration, to string) time.Duration {
	interval := m.planner.cfg.AnnounceInterval
	rec := m.planner.upstreams[to]
	if rec == nil {
		return interval
	}
	if m.now < rec.responseDeadline && freeAt <= m.now {
		return 0
	}
	if m.now > rec.answeredAt+interval+announcementGrace {
		// The upstream may have ended, so every other one is preferred.
		return m.planner.cfg.maxSilence()
	}
	at := m.planner.nextAnnouncement(m.now, rec)
	for at < freeAt-MaxResponseDelay {
		at += interval
	}
	return max(0, at-freeAt)
}

// split gives the hot key a range of its own at the lightest upstream. The remainder goes back to its owner.
func (m *movePlan) split(i int, hash uint64) {
	a := m.ranges[i]
	restOwner := a.Owner
	if !slices.Contains(m.targets, restOwner) {
		restOwner = m.lightest()
	}
	weight := m.weights[i]
	hotFraction := 1.0
	if r := m.planner.loads.rangeLoads[a.ID]; r > 0 {
		hotFraction = min(1, m.planner.loads.keyLoads[servicePosition{a.Service, hash}]/r)
	}
	hotWeight := int64(float64(weight) * hotFraction)
	m.ownerWeights[restOwner] += weight - hotWeight
	name := m.lightest()
	m.ownerWeights[name] += hotWeight
	piece := func(first, last uint64, owner string) state.Piece {
		return state.Piece{First: first, Last: last, Owner: owner, Incarnation: m.s.Upstreams[owner].Incarnation}
	}
	var ps []state.Piece
	if hash > a.First {
		ps = append(ps, piece(a.First, hash-1, restOwner))
	}
	ps = append(ps, piece(hash, hash, name))
	ps[len(ps)-1].Hot = true
	if hash < a.Last {
		ps = append(ps, piece(hash+1, a.Last, restOwner))
	}
	m.commands = append(m.commands, state.Command{Split: &state.Split{Range: a.ID, Epoch: a.Epoch, Pieces: ps}})
}

// mergeParts merges the parts once no process can act for any of them.
func (m *movePlan) mergeParts(mg *merge) {
	var parts []state.Release
	weight := int64(0)
	for i, a := range m.ranges {
		if slices.Contains(mg.parts, a.ID) && a.Phase != model.PhaseHeld && m.planner.isFree(m.now, a) {
			parts = append(parts, state.Release{Range: a.ID, Epoch: a.Epoch})
			weight += m.weights[i]
		}
	}
	if len(parts) < len(mg.parts) {
		return
	}
	name := m.lightest()
	m.ownerWeights[name] += weight
	for _, id := range mg.parts {
		delete(m.planner.loads.merging, id)
		delete(m.planner.loads.coldSince, id)
		m.merged[id] = true
	}
	m.commands = append(m.commands, state.Command{Merge: &state.Merge{
		Parts: parts, Owner: name, Incarnation: m.s.Upstreams[name].Incarnation,
	}})
}
