package owner

import (
	"net/http"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// maxEnded bounds the ended upstreams that are remembered, so that a late announcement does not revive one.
const maxEnded = 4096

// lives orders the processes that announce themselves: by incarnation for one name.
type lives struct {
	// ended maps the name of an upstream that left or was replaced to its incarnation; order holds the names by age.
	ended map[string]uint64
	order []string
}

func newLives() lives { return lives{ended: map[string]uint64{}} }

func (v *lives) end(u model.Upstream) {
	if _, ok := v.ended[u.Name]; !ok {
		v.order = append(v.order, u.Name)
	}
	v.ended[u.Name] = max(v.ended[u.Name], u.Incarnation)
	if len(v.order) > maxEnded {
		delete(v.ended, v.order[0])
		v.order = v.order[1:]
	}
}

// admit refuses the announcement of a process that is known to have ended.
func (v *lives) admit(u model.Upstream) *proto.Error {
	if last, ok := v.ended[u.Name]; ok && u.Incarnation <= last {
		return proto.NotRun(proto.CodeSuperseded, http.StatusConflict, "upstream %s of incarnation %d has ended", u.Name, last)
	}
	return nil
}

// endEarlierLives notes which processes the one that announced itself as info proves to have ended: an earlier
// incarnation of its name, and whoever was at its address before.
func (p *Planner) endEarlierLives(now time.Duration, s *model.State, info model.Upstream) {
	for _, l := range p.upstreams {
		sameName := l.info.Name == info.Name && l.info.Incarnation < info.Incarnation
		sameAddress := l.info.Name != info.Name && l.info.Address == info.Address && l.info.Incarnation < info.Incarnation
		if !sameName && !sameAddress {
			continue
		}
		l.replaced = true
		l.grantedUntil = min(l.grantedUntil, now)
		if sameName {
			next := info
			l.next = &next
		} else {
			p.lives.end(l.info)
		}
		if _, ok := s.Upstreams[l.info.Name]; !ok && !sameName {
			delete(p.upstreams, l.info.Name)
		}
	}
}

const (
	// MaxAnswerDelay is how long the answer to an announcement is kept back for ranges that the upstream is about to get.
	// Upstreams wait a second for it.
	MaxAnswerDelay = 500 * time.Millisecond
	// releaseTime is about how long an upstream takes to give a range back once it is told.
	releaseTime = 120 * time.Millisecond
)

// awaits tells whether the upstream is to get a range that will be free before long. Upstreams count the time to the
// next announcement from the answer, so keeping it back for longer would delay the range.
func (p *Planner) awaits(now time.Duration, s *model.State, l *liveness) bool {
	if !p.cfg.SlowAnnouncements || now >= l.presentUntil {
		return false
	}
	for id, to := range p.incoming {
		if to != l.info.Name {
			continue
		}
		i, ok := s.RangeByID(id)
		if !ok || s.Ranges[i].Phase == model.PhaseHeld {
			continue
		}
		if p.freeAt(now, &s.Ranges[i]) < l.presentUntil {
			return true
		}
	}
	return false
}

// freeAt estimates when the range of a former owner is free.
func (p *Planner) freeAt(now time.Duration, a *model.Assignment) time.Duration {
	l := p.upstreams[a.Owner]
	switch {
	case a.Phase == model.PhaseFree || l == nil || p.free(now, *a):
		return now
	case l.gone || now > l.heard+p.cfg.freshFor():
		return l.grantedUntil
	}
	return p.nextHeard(now, l) + releaseTime
}

// nextHeard estimates when the upstream announces itself next.
func (p *Planner) nextHeard(now time.Duration, l *liveness) time.Duration {
	return max(now, l.answered+p.cfg.AnnounceInterval)
}

// present tells whether a grant would reach the upstream at once. Otherwise a range would count as held, and be sent
// requests, up to a heartbeat before its owner knows of it.
func (p *Planner) present(now time.Duration, name string) bool {
	if !p.cfg.SlowAnnouncements {
		return true
	}
	l := p.upstreams[name]
	return l != nil && now < l.presentUntil
}

// maxHandovers bounds the handover tokens that are kept. A lost one costs the next holder a cold start.
const maxHandovers = 4096

type handover struct {
	service string
	proto.Row
}

// handovers keeps the tokens of released rows until their next holder has them.
type handovers struct {
	rows []handover
}

func (h *handovers) add(service string, rows []proto.Row) {
	for _, r := range rows {
		h.rows = slices.DeleteFunc(h.rows, func(x handover) bool {
			return x.service == service && x.First >= r.First && x.Last <= r.Last
		})
		h.rows = append(h.rows, handover{service: service, Row: r})
	}
	if n := len(h.rows) - maxHandovers; n > 0 {
		h.rows = h.rows[n:]
	}
}

// appendRows appends the rows of an assignment: one, or several where released rows with different tokens meet in it.
// A row continues the last one if they are adjacent and have the same epoch.
func (h *handovers) appendRows(out []proto.Row, a *model.Assignment, held []proto.Row) []proto.Row {
	known := slices.ContainsFunc(held, func(r proto.Row) bool { return r.Epoch == a.Epoch && r.Overlaps(a.First, a.Last) })
	if !known {
		for _, x := range h.rows {
			if x.service == a.Service && x.First <= a.First && a.Last <= x.Last {
				return append(out, proto.Row{First: a.First, Last: a.Last, Epoch: a.Epoch, Handover: x.Handover})
			}
		}
	}
	if n := len(out); n > 0 && out[n-1].Epoch == a.Epoch && out[n-1].Last+1 == a.First && out[n-1].Handover == "" {
		out[n-1].Last = a.Last
		return out
	}
	return append(out, proto.Row{First: a.First, Last: a.Last, Epoch: a.Epoch})
}
