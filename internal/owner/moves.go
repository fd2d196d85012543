package owner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// freshFor is the silence after which an upstream gets no new range, although its grant still runs: it has missed
// one announcement. The other upstreams of a lost data centre fall silent at the same time.
func (c Config) freshFor() time.Duration { return 2*c.AnnounceInterval + c.AnnounceInterval/4 }

// slack is the share of the mean load by which measured loads must differ before a range is moved; smaller
// differences come and go with the measurement.
const slack = 0.2

// orderedSlack is slack for ordered services, where it comes on top of what chance makes.
const orderedSlack = 0.25

// upstreamsPerMove allows more moves at once in a large fleet, where each affects a smaller share of the keys.
const upstreamsPerMove = 16

// plan collects the moves of one service at one time.
type plan struct {
	p      *Planner
	s      *model.State
	now    time.Duration
	ranges []model.Assignment
	// loadOf holds the measured loads of ranges in slots, weights their weights in the balance; both in the order of ranges.
	loadOf  []float64
	weights []int64
	// busy is the measured load of all ranges of the service together, 0 if none was measured.
	busy float64
	// loads sums the weights per upstream that may own ranges, with ranges on their way to it.
	loads map[string]int64
	// targets are the upstreams that may get ranges now, sorted.
	targets []string
	// byWait holds the targets by the time until they can get a range, and room the weight that none of them should exceed;
	// both are made by next.
	byWait []string
	room   int64
	hot    []uint64
	slots  int
	// merged holds the parts of a merge that is in cs.
	merged map[uint64]bool
	cs     []state.Command
}

// restInterval is the time between two looks at ranges that all have an owner, in a state that has not changed. Hundreds of
// upstreams leave a small machine little time for more.
const restInterval = 100 * time.Millisecond

// rests tells whether nothing can have changed that makes a range move, since the last look.
func (p *Planner) rests(now time.Duration, s *model.State) bool {
	if s == p.lookedAt.state && now < p.lookedAt.at+restInterval && !p.lookedAt.waiting {
		return true
	}
	p.lookedAt = look{state: s, at: now, waiting: slices.ContainsFunc(s.Ranges, func(a model.Assignment) bool {
		return a.Phase != model.PhaseHeld
	})}
	return false
}

// look is what the planner saw when it last looked for moves.
type look struct {
	state *model.State
	at    time.Duration
	// waiting is true if a range had no owner or was being taken from one.
	waiting bool
}

// moves frees and assigns ranges: ranges without an owner first, then leaving owners, hot keys and balance.
func (p *Planner) moves(now time.Duration, s *model.State) []state.Command {
	if p.cfg.SlowAnnouncements && p.rests(now, s) {
		return nil
	}
	budget := max(p.cfg.MaxMoves, len(s.Upstreams)/upstreamsPerMove) - p.taking(now, s)
	var cs []state.Command
	for _, service := range sortedKeys(s.Services) {
		if !s.Services[service].Keyed {
			continue
		}
		m := p.newPlan(now, s, service)
		if len(m.loads) == 0 || m.awaitsFirst() {
			continue
		}
		if s.Services[service].Ordered {
			m.cutHot()
		}
		m.assignOpen()
		budget -= m.releases(budget)
		cs = append(cs, m.cs...)
	}
	return cs
}

// taking counts the ranges that are being taken from live owners. A range of an owner that no longer answers may
// stay releasing for long and must not hold up the others.
func (p *Planner) taking(now time.Duration, s *model.State) int {
	n := 0
	for i := range s.Ranges {
		if a := &s.Ranges[i]; a.Phase == model.PhaseReleasing {
			if l := p.upstreams[a.Owner]; l != nil && now < l.grantedUntil {
				n++
			}
		}
	}
	return n
}

func (p *Planner) newPlan(now time.Duration, s *model.State, service string) *plan {
	first, _ := slices.BinarySearchFunc(s.Ranges, service, func(a model.Assignment, v string) int {
		return cmp.Compare(a.Service, v)
	})
	last := first
	for last < len(s.Ranges) && s.Ranges[last].Service == service {
		last++
	}
	m := &plan{
		p: p, s: s, now: now, ranges: s.Ranges[first:last], slots: math.MaxInt,
		loads: map[string]int64{}, merged: map[uint64]bool{},
	}
	m.loadOf = make([]float64, len(m.ranges))
	for i := range m.ranges {
		m.loadOf[i] = p.load.of(now, &m.ranges[i])
		m.busy += m.loadOf[i]
	}
	var stale []string
	for _, name := range sortedKeys(s.Upstreams) {
		u, l := s.Upstreams[name], p.upstreams[name]
		if u.Service != service || !p.eligible(now, s, u) {
			continue
		}
		m.loads[name] = 0
		m.slots = min(m.slots, u.Slots)
		if now < l.heard+p.cfg.freshFor() {
			m.targets = append(m.targets, name)
		} else {
			stale = append(stale, name)
		}
	}
	if len(m.targets) == 0 {
		m.targets = stale
	}
	if !s.Services[service].Ordered {
		m.hot = p.load.hotKeys(service, m.slots)
	}
	m.weigh()
	return m
}

// awaitsFirst tells whether the service never had an owner and other upstreams may still announce themselves.
func (m *plan) awaitsFirst() bool {
	if m.p.cfg.FirstWait == 0 || len(m.ranges) == 0 {
		return false
	}
	assigned := slices.ContainsFunc(m.ranges, func(a model.Assignment) bool { return a.Epoch > 0 })
	heard := m.p.heard[m.ranges[0].Service]
	return !assigned && m.now < min(heard.last+m.p.cfg.FirstWait, heard.first+maxFirstWaits*m.p.cfg.FirstWait)
}

// maxFirstWaits bounds the wait for the first assignment where upstreams keep coming.
const maxFirstWaits = 3

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
		m.cs = append(m.cs, state.Command{Cut: &state.Cut{Range: a.ID, Epoch: a.Epoch, At: at}})
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

// weigh sets the weights of the ranges in the balance.
func (m *plan) weigh() {
	m.weights = make([]int64, len(m.ranges))
	ordered, perSlot := m.ordered(), m.perSlot()
	for i := range m.ranges {
		base := int64(rangeWeight)
		if ordered {
			width := float64(m.ranges[i].Last-m.ranges[i].First) / math.MaxUint64
			base = int64(idleShare * rangeWeight * model.OrderedRanges * width)
		}
		if m.busy == 0 {
			m.weights[i] = max(1, base)
			continue
		}
		m.weights[i] = base + int64(m.loadOf[i]*perSlot)
	}
}

// perSlot returns the weight of one occupied slot. A load that is small for the service says little of what is to come.
func (m *plan) perSlot() float64 {
	n := float64(len(m.ranges))
	if m.ordered() {
		n = model.OrderedRanges
	}
	return rangeWeight * n / max(m.busy, m.littleBusy())
}

// littleBusy is the load of the service below which it counts for less.
func (m *plan) littleBusy() float64 { return minBusyShare * float64(m.capacity()) }

// minBusyShare is the share of all slots in use below which the load of a range counts for less than its existence.
const minBusyShare = 0.2

// capacity returns the slots of all upstreams that may own ranges.
func (m *plan) capacity() int {
	if m.slots == math.MaxInt {
		return len(m.loads)
	}
	return m.slots * len(m.loads)
}

// idleShare is the part of the weight of an ordered service's range that its width has whatever its load.
const idleShare = 0.15

func (m *plan) ordered() bool {
	return len(m.ranges) > 0 && m.s.Services[m.ranges[0].Service].Ordered
}

// eligible tells whether the upstream may own ranges.
func (p *Planner) eligible(now time.Duration, s *model.State, u model.Upstream) bool {
	l := p.upstreams[u.Name]
	return l != nil && l.known && !l.removing && !l.replaced && l.info.Incarnation == u.Incarnation &&
		l.info.Address == u.Address && now < l.grantedUntil && !p.leaving(s, u)
}

// free tells whether nobody can act for the last owner of a range any more.
func (p *Planner) free(now time.Duration, a model.Assignment) bool {
	if a.Phase == model.PhaseReleasing {
		l := p.upstreams[a.Owner]
		if l == nil {
			return false
		}
		ended := now >= l.grantedUntil && !a.Home
		if !l.released[a.Fence()] && !ended && p.timing.waitGrant {
			return false
		}
	}
	return !a.TakenUnchecked || p.unused(now, a.TakenAt)
}

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
		total := int64(0)
		for _, x := range m.weights {
			total += x
		}
		m.room = total / int64(len(m.loads)) * (100 + openRoomPercent) / 100
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
	for at < free-AwaitTime {
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
	total := int64(0)
	for i := range m.ranges {
		a := &m.ranges[i]
		if _, ok := m.loads[a.Owner]; ok && a.Phase == model.PhaseHeld && !taken[a.ID] {
			byOwner[a.Owner] = append(byOwner[a.Owner], i)
		}
		total += m.weights[i]
	}
	tolerance := int64(0)
	slack := slack
	if m.ordered() {
		slack = orderedSlack
	}
	mean := total / int64(len(m.loads))
	if m.busy > 0 {
		weighty := min(1, m.busy/m.littleBusy())
		tolerance = int64(weighty * slack * float64(mean))
	}
	chance := m.chance()
	perSlot := m.perSlot()
	full := mean + tolerance
	if m.ordered() {
		full = max(full, int64(idleShare*rangeWeight*model.OrderedRanges/float64(len(m.loads))+m.comfort()*perSlot))
	}
	// A single hot key may be more than its owner can take, and no move helps: others must not wait for that one.
	stuck := map[string]bool{}
	for len(taken) < budget && len(stuck) < len(m.loads) {
		from, to := m.heaviest(stuck), m.lightest()
		heavy := m.loads[from] > full+int64(chance[from]*perSlot)
		light := m.loads[to] < mean/lightDivisor
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
