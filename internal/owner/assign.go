package owner

import (
	"cmp"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// assignOpen gives an owner to each range that nobody can act for, and counts the ranges that will follow for the
// upstreams that will get them: balance would take as many ranges again from the others otherwise.
func (m *plan) assignOpen() {
	var waiting []int
	for i := range m.ranges {
		a := &m.ranges[i]
		if a.Phase != model.PhaseHeld {
			waiting = append(waiting, i)
		} else if _, ok := m.loads[a.Owner]; ok {
			m.loads[a.Owner] += m.weights[i]
		}
	}
	slices.SortStableFunc(waiting, func(i, k int) int { return cmp.Compare(m.weights[k], m.weights[i]) })
	for _, i := range waiting {
		a := m.ranges[i]
		if m.merged[a.ID] {
			continue
		}
		open := m.p.free(m.now, a)
		if mg := m.p.load.merging[a.ID]; mg != nil && m.now < mg.deadline {
			if open {
				m.merge(mg)
			}
			continue
		}
		if h, ok := m.p.load.hottest(m.hot, a); ok && open && len(m.targets) > 1 {
			m.split(i, h)
			continue
		}
		name := m.target(i, open)
		m.loads[name] += m.weights[i]
		if open && m.p.present(m.now, name) {
			delete(m.p.incoming, a.ID)
			m.cs = append(m.cs, state.Command{Assign: &state.Assign{
				Range: a.ID, Epoch: a.Epoch, Owner: name, Incarnation: m.s.Upstreams[name].Incarnation,
			}})
		}
	}
}

// target returns the upstream that is to get a range: the one chosen when it was taken, if that can still get it. A range
// that is open goes to one that can get it soon.
func (m *plan) target(i int, open bool) string {
	a := &m.ranges[i]
	if !m.p.cfg.SlowAnnouncements {
		name := m.lightest()
		m.p.incoming[a.ID] = name
		return name
	}
	to, chosen := m.p.incoming[a.ID]
	if chosen {
		_, chosen = slices.BinarySearch(m.targets, to)
	}
	if chosen && (!open || m.p.present(m.now, to)) {
		return to
	}
	name := to
	switch {
	case open:
		name = m.next(m.weights[i])
		if chosen && m.wait(m.now, to) <= m.wait(m.now, name)+betterWait {
			name = to
		}
	case !chosen:
		name = m.lightest()
	}
	m.p.incoming[a.ID] = name
	return name
}

// next returns the upstream that can get a range of weight w soonest without becoming much heavier than the mean.
func (m *plan) next(w int64) string {
	if m.busy == 0 {
		// Without requests, time matters less than an even start: busy keys are close to one another, and an upstream that
		// gets one range after the other gets all of them.
		return m.lightest()
	}
	if m.byWait == nil {
		m.room = m.mean * (100 + openRoomPercent) / 100
		m.byWait = slices.Clone(m.targets)
		slices.SortStableFunc(m.byWait, func(a, b string) int { return cmp.Compare(m.wait(m.now, a), m.wait(m.now, b)) })
	}
	for _, name := range m.byWait {
		if m.loads[name]+w <= m.room {
			return name
		}
	}
	return m.lightest()
}

const (
	// openRoomPercent is how much heavier than the mean an upstream may get by a range that has no owner.
	openRoomPercent = 30
	// betterWait is how much sooner another upstream must be able to get a range for it to be chosen instead.
	betterWait = 100 * time.Millisecond
)

// overdueTime is how late an announcement may be that is still expected.
const overdueTime = 200 * time.Millisecond

// wait estimates how long after free an upstream can get a range in the answer to an announcement.
func (m *plan) wait(free time.Duration, to string) time.Duration {
	interval := m.p.cfg.AnnounceInterval
	l := m.p.upstreams[to]
	if l == nil {
		return interval
	}
	if m.now < l.presentUntil && free <= m.now {
		return 0
	}
	if m.now > l.answered+interval+overdueTime {
		// It may have ended, and is the last to wait for.
		return m.p.cfg.freshFor()
	}
	at := m.p.nextHeard(m.now, l)
	for at < free-MaxAnswerDelay {
		at += interval
	}
	return max(0, at-free)
}

// split gives the key a range of its own at the lightest upstream; the rest goes back to its owner.
func (m *plan) split(i int, hash uint64) {
	a := m.ranges[i]
	rest := a.Owner
	if !slices.Contains(m.targets, rest) {
		rest = m.lightest()
	}
	total := m.weights[i]
	busy := 1.0
	if r := m.p.load.ranges[a.ID]; r > 0 {
		busy = min(1, m.p.load.keys[hotKey{a.Service, hash}]/r)
	}
	hot := int64(float64(total) * busy)
	m.loads[rest] += total - hot
	name := m.lightest()
	m.loads[name] += hot
	piece := func(first, last uint64, owner string) state.Piece {
		return state.Piece{First: first, Last: last, Owner: owner, Incarnation: m.s.Upstreams[owner].Incarnation}
	}
	var ps []state.Piece
	if hash > a.First {
		ps = append(ps, piece(a.First, hash-1, rest))
	}
	ps = append(ps, piece(hash, hash, name))
	ps[len(ps)-1].Hot = true
	if hash < a.Last {
		ps = append(ps, piece(hash+1, a.Last, rest))
	}
	m.cs = append(m.cs, state.Command{Split: &state.Split{Range: a.ID, Epoch: a.Epoch, Pieces: ps}})
}

// merge joins the parts once nobody can act for any of them.
func (m *plan) merge(g *merge) {
	var parts []state.Release
	weight := int64(0)
	for i, a := range m.ranges {
		if slices.Contains(g.parts, a.ID) && a.Phase != model.PhaseHeld && m.p.free(m.now, a) {
			parts = append(parts, state.Release{Range: a.ID, Epoch: a.Epoch})
			weight += m.weights[i]
		}
	}
	if len(parts) < len(g.parts) {
		return
	}
	name := m.lightest()
	m.loads[name] += weight
	for _, id := range g.parts {
		delete(m.p.load.merging, id)
		delete(m.p.load.coldSince, id)
		m.merged[id] = true
	}
	m.cs = append(m.cs, state.Command{Merge: &state.Merge{
		Parts: parts, Owner: name, Incarnation: m.s.Upstreams[name].Incarnation,
	}})
}
