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
	// mean is the weight of all ranges for each upstream that may own ranges.
	mean int64
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
	if m.p.cfg.FirstAssignmentDelay == 0 || len(m.ranges) == 0 {
		return false
	}
	assigned := slices.ContainsFunc(m.ranges, func(a model.Assignment) bool { return a.Epoch > 0 })
	heard := m.p.heard[m.ranges[0].Service]
	return !assigned && m.now < min(heard.last+m.p.cfg.FirstAssignmentDelay, heard.first+maxFirstWaits*m.p.cfg.FirstAssignmentDelay)
}

// maxFirstWaits bounds the wait for the first assignment where upstreams keep coming.
const maxFirstWaits = 3

// weigh sets the weights of the ranges in the balance.
func (m *plan) weigh() {
	m.weights = make([]int64, len(m.ranges))
	ordered, perSlot := m.ordered(), m.perSlot()
	total := int64(0)
	for i := range m.ranges {
		base := int64(rangeWeight)
		if ordered {
			width := float64(m.ranges[i].Last-m.ranges[i].First) / math.MaxUint64
			base = int64(idleShare * rangeWeight * model.OrderedRanges * width)
		}
		m.weights[i] = max(1, base)
		if m.busy > 0 {
			m.weights[i] = base + int64(m.loadOf[i]*perSlot)
		}
		total += m.weights[i]
	}
	m.mean = total / int64(max(1, len(m.loads)))
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
