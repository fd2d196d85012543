package owner

import (
	"maps"
	"net/http"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/poison"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// MarkLeaving handles the notice of an upstream that is about to exit. It returns true once the state shows that the
// upstream leaves, so that neither entry hosts nor the next leader use it. What it still holds stays its own until its
// grant expires.
func (p *Planner) MarkLeaving(now time.Duration, s *model.State, name string) bool {
	p.observe(s)
	rec := p.upstreams[name]
	if rec == nil {
		return true
	}
	p.ended.add(rec.info)
	rec.draining, rec.gone = true, true
	if rec.announced && !rec.holdsRows && len(rec.rows) == 0 && !p.mayHoldInherited(now, s, rec) {
		rec.grantedUntil = min(rec.grantedUntil, now)
	}
	if u, ok := s.Upstreams[name]; ok {
		return u.LeavingSince > 0
	}
	return s.HasEnded(name, rec.info.Incarnation)
}

// RecordLeaving handles the notice of an entry host that an upstream says in its answers that it leaves. The upstream may
// still report that it is ready. It keeps its grant until its ranges have been moved, like one that drains.
func (p *Planner) RecordLeaving(s *model.State, process poison.Process) {
	p.observe(s)
	if rec := p.upstreams[process.Name]; rec != nil && rec.info.Incarnation == process.Incarnation {
		rec.draining = true
	}
}

// endedUpstreams maps the name of an upstream that left or was replaced to its highest ended incarnation, until the state
// records it.
type endedUpstreams map[string]uint64

func (e endedUpstreams) add(u model.Upstream) { e[u.Name] = max(e[u.Name], u.Incarnation) }

// hasEnded reports whether a process is known to have ended.
func (p *Planner) hasEnded(s *model.State, u model.Upstream) bool {
	last, ok := p.ended[u.Name]
	return (ok && u.Incarnation <= last) || s.HasEnded(u.Name, u.Incarnation)
}

// answerEnded answers an announcement of a process that is known to have ended. Only the notice that it leaves is
// acknowledged.
func (p *Planner) answerEnded(an proto.Announcement) (proto.Grant, *proto.Error) {
	if an.Draining || an.Gone {
		g := p.emptyGrant()
		g.Drained, g.Leaving = true, true
		return g, nil
	}
	return proto.Grant{}, proto.NotRun(proto.CodeSuperseded, http.StatusConflict,
		"upstream %s of incarnation %d has left or was replaced", an.Name, an.Incarnation)
}

// recordEnds returns the commands that record in the state which upstreams have ended. The next leader knows nothing else of
// an upstream that was not registered.
func (p *Planner) recordEnds(s *model.State) []state.Command {
	maps.DeleteFunc(p.ended, s.HasEnded)
	var cs []state.Command
	for _, name := range sortedKeys(p.ended) {
		cs = append(cs, state.Command{End: &state.End{Name: name, Incarnation: p.ended[name]}})
	}
	return cs
}
