package owner

import (
	"math"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// maxGrantRows is the number of rows above which a grant is made shorter. Upstreams read at most 4 KiB of an answer, and a
// row takes up to 30 bytes.
const maxGrantRows = 100

// renumberLongGrants gives the ranges of an upstream whose grant has become long one epoch, so that adjacent ones form one
// row. Every range is assigned under an epoch of its own, and an upstream that has taken over the ranges of others would
// need a row for each.
func (m *movePlan) renumberLongGrants() {
	held := map[string][]*model.Assignment{}
	for i := range m.ranges {
		a := m.ranges[i]
		if m.assigned[i] {
			// The new epoch differs from all others.
			a = a.Hold(m.s.Upstreams[m.owners[i]], math.MaxUint64-uint64(i), a.Home, a.Changed)
		}
		if a.Phase == model.PhaseHeld {
			held[a.Owner] = append(held[a.Owner], &a)
		}
	}
	for _, name := range sortedKeys(held) {
		ranges := held[name]
		rows := countRows(ranges, func(a *model.Assignment) uint64 { return a.Epoch })
		if rows <= maxGrantRows {
			continue
		}
		renumbered := func(a *model.Assignment) uint64 {
			if m.planner.mayRenumber(a) {
				return 0
			}
			return a.Epoch
		}
		if countRows(ranges, renumbered) == rows {
			continue
		}
		c := state.Renumber{Owner: name, Incarnation: ranges[0].Incarnation}
		for _, a := range ranges {
			if m.planner.mayRenumber(a) {
				c.Ranges = append(c.Ranges, a.ID)
			}
		}
		m.commands = append(m.commands, state.Command{Renumber: &c})
	}
}

// mayRenumber reports whether the range may get a new epoch. The epoch of an earlier leader must stay until the upstream
// has listed it, because it tells that announcements without it may be older than the grant.
func (p *Planner) mayRenumber(a *model.Assignment) bool {
	rec := p.upstreams[a.Owner]
	return rec != nil && rec.info.Incarnation == a.Incarnation &&
		(!p.isInherited(a.Epoch) || rec.inherited[a.Epoch].listed)
}

// countRows returns the number of rows of a grant of the ranges, which are sorted.
func countRows(ranges []*model.Assignment, epoch func(a *model.Assignment) uint64) int {
	rows := 0
	for i, a := range ranges {
		if i == 0 || ranges[i-1].Last+1 != a.First || epoch(ranges[i-1]) != epoch(a) {
			rows++
		}
	}
	return rows
}
