package owner

import (
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// inheritedGrant is what this leader knows about a grant that an earlier leader gave.
type inheritedGrant struct {
	// listed is true once an announcement to this leader has listed the grant. A later announcement without it then shows
	// that it was given back. Before that, an announcement without it may be older than the grant.
	listed bool
	// until is when the last renewal of the grant by this leader has expired, or 0 without one.
	until time.Duration
}

// isInherited reports whether an earlier leader may have granted the epoch.
func (p *Planner) isInherited(epoch uint64) bool { return epoch < p.firstEpoch }

// recordRenewal records that the answer to an announcement grants the range.
func (p *Planner) recordRenewal(now time.Duration, rec *upstreamRecord, a *model.Assignment) {
	if g := rec.inherited[a.Epoch]; p.isInherited(a.Epoch) && !g.listed {
		g.until = now + p.safeguards.margin(p.cfg.GrantTTL)
		rec.inherited[a.Epoch] = g
	}
}

// recordReleased records the ranges that the upstream no longer holds. The upstream sends an announcement only after
// it received the answer to the previous one or gave up on it, and the sequence numbers of those that this leader accepts
// increase, so none of this leader's grants is still in flight. Grants of an earlier leader may be newer than the
// announcement.
func (p *Planner) recordReleased(s *model.State, rec *upstreamRecord, an proto.Announcement) {
	rec.inherited = p.inheritedAfter(s, rec, *an.Rows)
	for _, i := range p.index.ownedBy(s, rec.info.Name) {
		a := &s.Ranges[i]
		if a.Incarnation != rec.info.Incarnation || a.Phase != model.PhaseReleasing {
			continue
		}
		holds := slices.ContainsFunc(*an.Rows, func(r proto.Row) bool { return r.Overlaps(a.First, a.Last) })
		if !holds && (rec.inherited[a.Epoch].listed || !p.isInherited(a.Epoch)) {
			rec.released[a.Fence()] = an.Sequence
		}
	}
}

// inheritedAfter returns what is known about the inherited grants of the upstream after it listed the rows. Ranges that were
// split in place share an epoch, and with it a grant.
func (p *Planner) inheritedAfter(s *model.State, rec *upstreamRecord, rows []proto.Row) map[uint64]inheritedGrant {
	out := map[uint64]inheritedGrant{}
	for _, i := range p.index.ownedBy(s, rec.info.Name) {
		a := &s.Ranges[i]
		if a.Incarnation != rec.info.Incarnation || !p.isInherited(a.Epoch) {
			continue
		}
		g, known := out[a.Epoch]
		if !known {
			g = rec.inherited[a.Epoch]
		}
		// A row with another epoch belongs to an earlier grant of the keys.
		g.listed = g.listed || slices.ContainsFunc(rows, func(r proto.Row) bool {
			return r.Epoch == a.Epoch && r.Overlaps(a.First, a.Last)
		})
		out[a.Epoch] = g
	}
	return out
}

// mayHold reports whether the upstream may still act as the owner of the range.
func (p *Planner) mayHold(now time.Duration, rec *upstreamRecord, a model.Assignment) bool {
	if _, ok := rec.released[a.Fence()]; ok {
		return false
	}
	if a.Home {
		return true
	}
	return now < rec.grantedUntil && (!rec.listsRows || !p.isInherited(a.Epoch) || now < p.inheritedGrantEnd(rec, a.Epoch))
}

// inheritedGrantEnd returns when a grant that an earlier leader gave has expired.
func (p *Planner) inheritedGrantEnd(rec *upstreamRecord, epoch uint64) time.Duration {
	g := rec.inherited[epoch]
	if g.listed {
		return rec.grantedUntil
	}
	return max(p.predecessorExpiry, g.until)
}

// mayHoldInherited reports whether the upstream may still act as the owner of a range that an earlier leader granted to it.
func (p *Planner) mayHoldInherited(now time.Duration, s *model.State, rec *upstreamRecord) bool {
	return slices.ContainsFunc(p.index.ownedBy(s, rec.info.Name), func(i int) bool {
		a := s.Ranges[i]
		return a.Incarnation == rec.info.Incarnation && p.isInherited(a.Epoch) && p.mayHold(now, rec, a)
	})
}

// GivenBackIn returns the sequence number of the announcement that shows that the owner of a releasing range gave it back,
// or false if there is none. The owner is then gone, or its grant has expired.
func (p *Planner) GivenBackIn(a model.Assignment) (uint64, bool) {
	rec := p.upstreams[a.Owner]
	if rec == nil {
		return 0, false
	}
	sequence, ok := rec.released[a.Fence()]
	return sequence, ok
}
