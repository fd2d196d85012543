package state

import (
	"slices"

	"baobabreach/internal/model"
)

// Remove deletes an upstream whose grant has ended and frees its ranges. An upstream that owns ranges under
// model.PartitionHome is removed only if LossConfirmed is set.
type Remove struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// LossConfirmed confirms that the process has ended. The confirmation comes from an operator or a successor at its address.
	LossConfirmed bool `json:"lost,omitempty"`
}

// Leave records that an upstream announced that it drains. It applies for the rest of the incarnation.
type Leave struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// End records that an upstream, and every earlier incarnation of its name, has ended or is about to.
type End struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Assign makes an upstream the owner of a free or releasing range. It is rejected if the range no longer has Epoch.
type Assign struct {
	Range       uint64 `json:"range"`
	Epoch       uint64 `json:"epoch"`
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
}

// Release starts to take a range from its owner. It is rejected if the range no longer has Epoch.
type Release struct {
	Range uint64 `json:"range"`
	Epoch uint64 `json:"epoch"`
}

// MaxPieces is the largest number of ranges into which one range is split: one for a single key and one on each side.
const MaxPieces = 3

// Piece is one of the ranges that a split creates.
type Piece struct {
	First       uint64 `json:"first"`
	Last        uint64 `json:"last"`
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	Hot         bool   `json:"hot,omitempty"`
}

// Split replaces a free range, or a releasing one that its owner gave back, by ranges with new fences. It is rejected if
// the range no longer has Epoch.
type Split struct {
	Range  uint64  `json:"range"`
	Epoch  uint64  `json:"epoch"`
	Pieces []Piece `json:"pieces"`
}

// Merge replaces adjacent ranges, each free or given back, by one range with a new fence.
type Merge struct {
	// Parts are sorted by first hash.
	Parts       []Release `json:"parts"`
	Owner       string    `json:"owner"`
	Incarnation uint64    `json:"incarnation"`
}

// SplitInPlace divides a held range in place. The parts keep the owner and its epoch, so the owner is not affected.
type SplitInPlace struct {
	Range uint64 `json:"range"`
	Epoch uint64 `json:"epoch"`
	// Boundaries holds the first position of each part but the first, ascending.
	Boundaries []uint64 `json:"at"`
}

// Renumber gives ranges that an upstream holds one new epoch, so that adjacent ones form one row of a grant. A range that
// the upstream no longer holds keeps its epoch.
type Renumber struct {
	Ranges      []uint64 `json:"ranges"`
	Owner       string   `json:"owner"`
	Incarnation uint64   `json:"incarnation"`
}

func (m *Machine) renumber(index uint64, c Renumber) Result {
	u, ok := m.upstream(c.Owner, c.Incarnation)
	if !ok {
		return Result{}
	}
	changed := false
	for _, id := range c.Ranges {
		i, ok := m.rangeIndex(id)
		if !ok || m.model.Ranges[i].Phase != model.PhaseHeld || !m.model.Ranges[i].OwnedBy(u) {
			continue
		}
		a := m.model.Ranges[i]
		a.Epoch, a.Changed = m.model.NextEpoch, index
		m.setRange(i, a)
		changed = true
	}
	if !changed {
		return Result{}
	}
	return m.setModel(m.withNextIDs(m.model, 0, 1))
}

func (m *Machine) splitInPlace(index uint64, c SplitInPlace) Result {
	i, ok := m.rangeIndex(c.Range)
	if !ok || m.model.Ranges[i].Epoch != c.Epoch || m.model.Ranges[i].Phase != model.PhaseHeld {
		return Result{}
	}
	old := m.model.Ranges[i]
	first := old.First
	var parts []model.Assignment
	for k := range len(c.Boundaries) + 1 {
		last := old.Last
		if k < len(c.Boundaries) {
			if c.Boundaries[k] <= first || c.Boundaries[k] > old.Last {
				return Result{}
			}
			last = c.Boundaries[k] - 1
		}
		a := old
		a.ID, a.First, a.Last, a.Changed = m.model.NextRangeID+uint64(k), first, last, index
		parts = append(parts, a)
		first = last + 1
	}
	m.rangesCopied = false
	return m.setModel(m.withNextIDs(m.model.WithReplaced(i, 1, parts), len(parts), 0))
}

func (m *Machine) applyRange(index uint64, c Command) Result {
	switch {
	case c.Assign != nil:
		return m.assign(index, *c.Assign)
	case c.Release != nil:
		return m.release(index, *c.Release)
	case c.Split != nil:
		return m.split(index, *c.Split)
	case c.SplitInPlace != nil:
		return m.splitInPlace(index, *c.SplitInPlace)
	case c.Renumber != nil:
		return m.renumber(index, *c.Renumber)
	}
	return m.merge(index, *c.Merge)
}

func (m *Machine) register(u model.Upstream) Result {
	// The old incarnation must be removed first, which happens only after its grant has ended.
	if _, ok := m.model.Upstreams[u.Name]; ok || m.model.HasEnded(u.Name, u.Incarnation) {
		return Result{}
	}
	return m.setModel(m.model.WithUpstream(u))
}

func (m *Machine) remove(index uint64, c Remove) Result {
	u, ok := m.upstream(c.Name, c.Incarnation)
	if !ok {
		return Result{}
	}
	for _, a := range m.model.Ranges {
		if a.OwnedBy(u) && a.Home && !c.LossConfirmed {
			return Result{}
		}
	}
	s := m.model.WithoutUpstream(c.Name, index)
	if u.LeavingSince > 0 {
		s = s.WithEnded(u.Name, u.Incarnation, index)
	}
	return m.setModel(s)
}

func (m *Machine) end(index uint64, c End) Result {
	s := m.model.WithEnded(c.Name, c.Incarnation, index)
	if u, ok := s.Upstreams[c.Name]; ok && u.Incarnation <= c.Incarnation && u.LeavingSince == 0 {
		u.LeavingSince = index
		s = s.WithUpstream(u)
	}
	return m.setModel(s)
}

func (m *Machine) leave(index uint64, c Leave) Result {
	u, ok := m.upstream(c.Name, c.Incarnation)
	if !ok || u.LeavingSince > 0 {
		return Result{}
	}
	u.LeavingSince = index
	return m.setModel(m.model.WithUpstream(u))
}

func (m *Machine) assign(index uint64, c Assign) Result {
	i, ok := m.findAssignable(c.Range, c.Epoch)
	if !ok {
		return Result{}
	}
	u, ok := m.upstream(c.Owner, c.Incarnation)
	if !ok {
		return Result{}
	}
	m.setRange(i, m.assigned(index, m.model.Ranges[i], u, 0))
	return m.setModel(m.withNextIDs(m.model, 0, 1))
}

func (m *Machine) release(index uint64, c Release) Result {
	i, ok := m.rangeIndex(c.Range)
	if !ok || m.model.Ranges[i].Epoch != c.Epoch || m.model.Ranges[i].Phase != model.PhaseHeld {
		return Result{}
	}
	a := m.model.Ranges[i]
	m.setRange(i, a.Release(m.model.Upstreams[a.Owner], index))
	return Result{Applied: true}
}

func (m *Machine) split(index uint64, c Split) Result {
	i, ok := m.findAssignable(c.Range, c.Epoch)
	if !ok || len(c.Pieces) < 2 || len(c.Pieces) > MaxPieces {
		return Result{}
	}
	old := m.model.Ranges[i]
	nextFirst := old.First
	var pieces []model.Assignment
	for k, p := range c.Pieces {
		u, registered := m.upstream(p.Owner, p.Incarnation)
		isLast := k == len(c.Pieces)-1
		if !registered || p.First != nextFirst || p.Last < p.First || (p.Last == old.Last) != isLast || p.Last > old.Last {
			return Result{}
		}
		nextFirst = p.Last + 1
		a := model.Assignment{
			ID: m.model.NextRangeID + uint64(k), Service: old.Service, First: p.First, Last: p.Last, Hot: p.Hot,
		}
		pieces = append(pieces, m.assigned(index, a, u, uint64(k)))
	}
	return m.setModel(m.withNextIDs(m.model.WithReplaced(i, 1, pieces), len(pieces), len(pieces)))
}

func (m *Machine) merge(index uint64, c Merge) Result {
	u, registered := m.upstream(c.Owner, c.Incarnation)
	if !registered || len(c.Parts) < 2 || len(c.Parts) > MaxPieces {
		return Result{}
	}
	first := 0
	for k, p := range c.Parts {
		i, ok := m.findAssignable(p.Range, p.Epoch)
		if k == 0 {
			first = i
		}
		if !ok || i != first+k || m.model.Ranges[i].Service != m.model.Ranges[first].Service {
			return Result{}
		}
	}
	a := model.Assignment{
		ID: m.model.NextRangeID, Service: m.model.Ranges[first].Service,
		First: m.model.Ranges[first].First, Last: m.model.Ranges[first+len(c.Parts)-1].Last,
	}
	merged := []model.Assignment{m.assigned(index, a, u, 0)}
	return m.setModel(m.withNextIDs(m.model.WithReplaced(first, len(c.Parts), merged), 1, 1))
}

func (m *Machine) upstream(name string, incarnation uint64) (model.Upstream, bool) {
	u, ok := m.model.Upstreams[name]
	return u, ok && u.Incarnation == incarnation
}

// findAssignable returns the index of a range, and true if the range still has the epoch and may get a new owner.
func (m *Machine) findAssignable(id, epoch uint64) (int, bool) {
	i, ok := m.rangeIndex(id)
	if !ok {
		return 0, false
	}
	a := m.model.Ranges[i]
	return i, a.Epoch == epoch && a.Phase != model.PhaseHeld
}

func (m *Machine) assigned(index uint64, a model.Assignment, u model.Upstream, epochOffset uint64) model.Assignment {
	home := m.model.Services[a.Service].PartitionPolicy == model.PartitionHome
	return a.Hold(u, m.model.NextEpoch+epochOffset, home, index)
}

func (m *Machine) withNextIDs(s *model.State, ids, epochs int) *model.State {
	c := *s
	c.NextRangeID += uint64(ids)
	c.NextEpoch += uint64(epochs)
	return &c
}

// setRange replaces one range. The list of ranges is copied only once per batch, because a copy per command takes seconds
// for a batch that assigns 10,000 ranges.
func (m *Machine) setRange(i int, a model.Assignment) {
	if !m.rangesCopied {
		c := *m.model
		c.Ranges = slices.Clone(c.Ranges)
		m.model, m.rangesCopied = &c, true
	}
	m.model.Ranges[i] = a
}

// rangeIndex returns the index of the range with the given ID.
func (m *Machine) rangeIndex(id uint64) (int, bool) {
	if i, ok := m.indexByID[id]; ok && i < len(m.model.Ranges) && m.model.Ranges[i].ID == id {
		return i, true
	}
	m.indexByID = make(map[uint64]int, len(m.model.Ranges))
	for i, a := range m.model.Ranges {
		m.indexByID[a.ID] = i
	}
	i, ok := m.indexByID[id]
	return i, ok
}
