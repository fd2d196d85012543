package owner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// maxSilence is the time without an announcement after which an upstream gets no new range, although its grant has
// not expired: it has missed one announcement. If a data centre is lost, its other upstreams fall silent at the same
// time.
func (c Config) maxSilence() time.Duration { return 2*c.AnnounceInterval + c.AnnounceInterval/4 }

// loadTolerance is the share of the mean load by which measured loads must differ before a range is moved. Smaller
// differences are within the variation of the measurement.
const loadTolerance = 0.2

// orderedLoadTolerance replaces loadTolerance for ordered services, where it is added to the measurement noise.
const orderedLoadTolerance = 0.25

// upstreamsPerMove allows more moves at once in a large fleet, where each move affects a smaller share of the keys.
const upstreamsPerMove = 16

// movePlan collects the moves of one service in one planning pass.
type movePlan struct {
	planner *Planner
	s       *model.State
	now     time.Duration
	ranges  []model.Assignment
	// rangeLoads holds the measured loads of the ranges in slots and weights their weights in the balance, both in
	// the order of ranges.
	rangeLoads []float64
	weights    []int64
	// meanWeight is the total weight of the ranges divided by the number of upstreams that may own ranges.
	meanWeight int64
	// totalLoad is the measured load of all ranges of the service in slots, 0 if none was measured.
	totalLoad float64
	// ownerWeights sums the weights by upstream that may own ranges, including ranges that are being moved to it.
	ownerWeights map[string]int64
	// targets holds the sorted names of the upstreams that may get ranges now.
	targets []string
	// byDelay holds the targets in the order in which they can get a range, and maxWeight the weight that none of
	// them should exceed. Both are set by soonestOwner.
	byDelay          []string
	maxWeight        int64
	hotKeys          []uint64
	slotsPerUpstream int
	// owners holds the future owner of each range in the order of ranges, "" if it isn't known yet, and runs the number of
	// runs of adjacent ranges with the same owner. After a renumbering, each run takes one row of a grant.
	owners []string
	runs   map[string]int
	// assigned holds the positions of the ranges that get an owner in commands.
	assigned map[int]bool
	// merged holds the parts of the merges in commands.
	merged   map[uint64]bool
	commands []state.Command
}

// idlePlanInterval is the time between two planning passes while every range has an owner and the state has not
// changed. With hundreds of upstreams, more frequent passes would use most of a small machine's processor time.
const idlePlanInterval = 100 * time.Millisecond

// unchanged reports whether nothing that makes a range move can have changed since the last planning pass.
func (p *Planner) unchanged(now time.Duration, s *model.State) bool {
	if s == p.lastPass.state && now < p.lastPass.at+idlePlanInterval && !p.lastPass.waiting {
		return true
	}
	p.lastPass = planPass{state: s, at: now, waiting: slices.ContainsFunc(s.Ranges, func(a model.Assignment) bool {
		return a.Phase != model.PhaseHeld
	})}
	return false
}

// planPass describes the last planning pass.
type planPass struct {
	state *model.State
	at    time.Duration
	// waiting is true if a range had no owner or was being taken from one.
	waiting bool
}

// planMoves frees and assigns ranges: first ranges without an owner, then those of leaving owners, then hot keys,
// then those moved for balance.
func (p *Planner) planMoves(now time.Duration, s *model.State) []state.Command {
	if p.cfg.SlowAnnouncements && p.unchanged(now, s) {
		return nil
	}
	budget := max(p.cfg.MaxMoves, len(s.Upstreams)/upstreamsPerMove) - p.pendingReleases(now, s)
	var cs []state.Command
	for _, service := range sortedKeys(s.Services) {
		if !s.Services[service].Keyed {
			continue
		}
		m := p.newMovePlan(now, s, service)
		if len(m.ownerWeights) == 0 || m.awaitsUpstreams() {
			continue
		}
		if s.Services[service].Ordered {
			m.splitOverloaded()
		}
		m.assignFree()
		budget -= m.planReleases(budget)
		if s.Services[service].Ordered {
			m.renumberLongGrants()
		}
		cs = append(cs, m.commands...)
	}
	return cs
}

// pendingReleases counts the ranges that are being taken from live owners. Ranges of an owner that no longer answers
// do not count: they may stay releasing for long and must not delay the others.
func (p *Planner) pendingReleases(now time.Duration, s *model.State) int {
	n := 0
	for i := range s.Ranges {
		if a := &s.Ranges[i]; a.Phase == model.PhaseReleasing {
			if rec := p.upstreams[a.Owner]; rec != nil && now < rec.grantedUntil {
				n++
			}
		}
	}
	return n
}

func (p *Planner) newMovePlan(now time.Duration, s *model.State, service string) *movePlan {
	start, _ := slices.BinarySearchFunc(s.Ranges, service, func(a model.Assignment, v string) int {
		return cmp.Compare(a.Service, v)
	})
	end := start
	for end < len(s.Ranges) && s.Ranges[end].Service == service {
		end++
	}
	m := &movePlan{
		planner: p, s: s, now: now, ranges: s.Ranges[start:end], slotsPerUpstream: math.MaxInt,
		ownerWeights: map[string]int64{}, assigned: map[int]bool{}, merged: map[uint64]bool{},
	}
	m.rangeLoads = make([]float64, len(m.ranges))
	for i := range m.ranges {
		m.rangeLoads[i] = p.loads.rangeLoad(now, &m.ranges[i])
		m.totalLoad += m.rangeLoads[i]
	}
	var silent []string
	for _, name := range sortedKeys(s.Upstreams) {
		u, rec := s.Upstreams[name], p.upstreams[name]
		if u.Service != service || !p.eligible(now, s, u) {
			continue
		}
		m.ownerWeights[name] = 0
		m.slotsPerUpstream = min(m.slotsPerUpstream, u.Slots)
		if now < rec.lastAnnouncedAt+p.cfg.maxSilence() {
			m.targets = append(m.targets, name)
		} else {
			silent = append(silent, name)
		}
	}
	if len(m.targets) == 0 {
		m.targets = silent
	}
	if !s.Services[service].Ordered {
		m.hotKeys = p.loads.hotKeys(service, m.slotsPerUpstream)
	}
	m.computeWeights()
	m.computeRuns()
	return m
}

// awaitsUpstreams reports whether the service has never had an owner and more upstreams may still announce
// themselves.
func (m *movePlan) awaitsUpstreams() bool {
	if m.planner.cfg.FirstAssignmentDelay == 0 || len(m.ranges) == 0 {
		return false
	}
	everAssigned := slices.ContainsFunc(m.ranges, func(a model.Assignment) bool { return a.Epoch > 0 })
	arrivals := m.planner.arrivals[m.ranges[0].Service]
	return !everAssigned && m.now < min(
		arrivals.last+m.planner.cfg.FirstAssignmentDelay,
		arrivals.first+maxFirstAssignmentDelays*m.planner.cfg.FirstAssignmentDelay,
	)
}

// maxFirstAssignmentDelays limits the wait for the first assignment, in multiples of FirstAssignmentDelay, while new
// upstreams keep arriving.
const maxFirstAssignmentDelays = 3

// computeWeights sets the weights of the ranges in the balance.
func (m *movePlan) computeWeights() {
	m.weights = make([]int64, len(m.ranges))
	ordered, weightPerSlot := m.ordered(), m.weightPerSlot()
	total := int64(0)
	for i := range m.ranges {
		base := int64(rangeWeight)
		if ordered {
			width := float64(m.ranges[i].Last-m.ranges[i].First) / math.MaxUint64
			base = int64(widthShare * rangeWeight * model.OrderedRanges * width)
		}
		m.weights[i] = max(1, base)
		if m.totalLoad > 0 {
			m.weights[i] = base + int64(m.rangeLoads[i]*weightPerSlot)
		}
		total += m.weights[i]
	}
	m.meanWeight = total / int64(max(1, len(m.ownerWeights)))
}

// weightPerSlot returns the weight of one occupied slot. While the service has little load, the load is a poor
// prediction of future load and counts for less.
func (m *movePlan) weightPerSlot() float64 {
	n := float64(len(m.ranges))
	if m.ordered() {
		n = model.OrderedRanges
	}
	return rangeWeight * n / max(m.totalLoad, m.lowLoad())
}

// lowLoad returns the load of the service in slots below which measured load gets a reduced weight in the balance.
func (m *movePlan) lowLoad() float64 { return lowLoadShare * float64(m.totalSlots()) }

// lowLoadShare is the share of all slots that must be in use for measured load to get its full weight in the balance.
const lowLoadShare = 0.2

// totalSlots returns the number of slots of all upstreams that may own ranges.
func (m *movePlan) totalSlots() int {
	if m.slotsPerUpstream == math.MaxInt {
		return len(m.ownerWeights)
	}
	return m.slotsPerUpstream * len(m.ownerWeights)
}

// widthShare is the share of the weight of an ordered service's range that depends on its width and not on its load.
const widthShare = 0.15

func (m *movePlan) ordered() bool {
	return len(m.ranges) > 0 && m.s.Services[m.ranges[0].Service].Ordered
}

// eligible reports whether the upstream may own ranges.
func (p *Planner) eligible(now time.Duration, s *model.State, u model.Upstream) bool {
	rec := p.upstreams[u.Name]
	return rec != nil && rec.announced && !rec.removing && !rec.replaced && rec.info.Incarnation == u.Incarnation &&
		rec.info.Address == u.Address && now < rec.grantedUntil && !p.mustDrain(s, u)
}

// isFree reports whether no process can still act as the last owner of the range.
func (p *Planner) isFree(now time.Duration, a model.Assignment) bool {
	if a.Phase == model.PhaseReleasing {
		rec := p.upstreams[a.Owner]
		if rec == nil {
			return false
		}
		if p.mayHold(now, rec, a) && p.safeguards.waitGrant {
			return false
		}
	}
	return !a.TakenUnchecked || p.olderTablesUnused(now, a.TakenAt)
}
