package owner

import (
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// endEarlierProcesses marks the processes that info proves to have ended: earlier incarnations of its name and
// earlier processes at its address.
func (p *Planner) endEarlierProcesses(now time.Duration, s *model.State, info model.Upstream) {
	for _, rec := range p.upstreams {
		sameName := rec.info.Name == info.Name && rec.info.Incarnation < info.Incarnation
		sameAddress := rec.info.Name != info.Name && rec.info.Address == info.Address && rec.info.Incarnation < info.Incarnation
		if !sameName && !sameAddress {
			continue
		}
		rec.replaced = true
		rec.grantedUntil = min(rec.grantedUntil, now)
		if sameName {
			successor := info
			rec.successor = &successor
		} else {
			p.ended.add(rec.info)
		}
		if _, ok := s.Upstreams[rec.info.Name]; !ok && !sameName {
			delete(p.upstreams, rec.info.Name)
		}
	}
}

const (
	// MaxResponseDelay is how long the response to an announcement may be delayed for ranges that the upstream is about to
	// get. Upstreams wait one second for the response.
	MaxResponseDelay = 500 * time.Millisecond
	// releaseTime is roughly how long an upstream takes to give a range back once it is asked to.
	releaseTime = 120 * time.Millisecond
)

// awaitsRange reports whether the upstream is to get a range that will be free before the answer is due. Upstreams
// count the time to the next announcement from the answer, so a longer delay would also postpone the next announcement
// and with it the range.
func (p *Planner) awaitsRange(now time.Duration, s *model.State, rec *upstreamRecord) bool {
	if !p.cfg.SlowAnnouncements || now >= rec.responseDeadline {
		return false
	}
	for id, to := range p.nextOwner {
		if to != rec.info.Name {
			continue
		}
		i, ok := s.RangeByID(id)
		if !ok || s.Ranges[i].Phase == model.PhaseHeld {
			continue
		}
		if p.freeAt(now, &s.Ranges[i]) < rec.responseDeadline {
			return true
		}
	}
	return false
}

// freeAt estimates when the range of a former owner is free.
func (p *Planner) freeAt(now time.Duration, a *model.Assignment) time.Duration {
	rec := p.upstreams[a.Owner]
	switch {
	case a.Phase == model.PhaseFree || rec == nil || p.isFree(now, *a):
		return now
	case rec.gone || now > rec.lastAnnouncedAt+p.cfg.maxSilence():
		return rec.grantedUntil
	}
	return p.nextAnnouncement(now, rec) + releaseTime
}

// nextAnnouncement estimates when the upstream announces itself next.
func (p *Planner) nextAnnouncement(now time.Duration, rec *upstreamRecord) time.Duration {
	return max(now, rec.answeredAt+p.cfg.AnnounceInterval)
}

// canAnswerNow reports whether a grant would reach the upstream at once. Otherwise a range would count as held, and
// requests would be sent to its owner, up to one announcement interval before the owner knows of it.
func (p *Planner) canAnswerNow(now time.Duration, name string) bool {
	if !p.cfg.SlowAnnouncements {
		return true
	}
	rec := p.upstreams[name]
	return rec != nil && now < rec.responseDeadline
}

// maxHandovers limits how many handover tokens are kept. A lost token costs the next holder a cold start.
const maxHandovers = 4096

// maxNewHandovers limits the tokens that are taken from one announcement.
const maxNewHandovers = 1024

// handover is a row that an upstream released, with its handover token.
type handover struct {
	service string
	proto.Row
}

// handovers keeps the tokens of released rows until their next holder has them.
type handovers struct {
	rows []handover
}

func (h *handovers) add(service string, rows []proto.Row) {
	for _, r := range rows[:min(len(rows), maxNewHandovers)] {
		h.rows = slices.DeleteFunc(h.rows, func(x handover) bool {
			return x.service == service && x.First >= r.First && x.Last <= r.Last
		})
		h.rows = append(h.rows, handover{service: service, Row: r})
	}
	if n := len(h.rows) - maxHandovers; n > 0 {
		h.rows = h.rows[n:]
	}
}

// appendRows appends the row of an assignment to out, with the handover token of the previous holder if the upstream does
// not hold the keys yet.
func (h *handovers) appendRows(out []proto.Row, a *model.Assignment, held []proto.Row) []proto.Row {
	known := slices.ContainsFunc(held, func(r proto.Row) bool {
		return (r.Epoch == a.Epoch && r.Overlaps(a.First, a.Last)) || (r.First <= a.First && a.Last <= r.Last)
	})
	if !known {
		for _, x := range h.rows {
			if x.service == a.Service && x.First <= a.First && a.Last <= x.Last {
				return append(out, proto.Row{First: a.First, Last: a.Last, Epoch: a.Epoch, Handover: x.Handover})
			}
		}
	}
	return appendRow(out, proto.Row{First: a.First, Last: a.Last, Epoch: a.Epoch})
}

// appendRow appends a row without a token, or extends the last row if that one is adjacent and has the same epoch and no
// token.
func appendRow(out []proto.Row, r proto.Row) []proto.Row {
	if n := len(out); n > 0 && out[n-1].Epoch == r.Epoch && out[n-1].Last+1 == r.First && out[n-1].Handover == "" {
		out[n-1].Last = r.Last
		return out
	}
	return append(out, r)
}

// shortenRows gives up the tokens of a grant that has become long, so that adjacent rows join.
func shortenRows(rows []proto.Row) []proto.Row {
	if len(rows) <= maxGrantRows {
		return rows
	}
	out := make([]proto.Row, 0, len(rows))
	for _, r := range rows {
		r.Handover = ""
		out = appendRow(out, r)
	}
	return out
}
