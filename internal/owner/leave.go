package owner

import (
	"math"
	"net/http"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/poison"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// MarkLeaving handles the notice of an upstream that is about to exit. Once the state shows the returned incarnation as
// ended, neither entry hosts nor the next leader use the upstream. What it still holds stays its own until its grant
// expires.
//
// A notice that names no incarnation may have been held up, so that a later process of the name runs by now, and so may
// announcements from before the notice. It is taken for the notice of the known process, or of any if there is none,
// until that process has announced itself for longer than a message can be on its way.
func (p *Planner) MarkLeaving(now time.Duration, s *model.State, notice proto.LeaveNotice) (incarnation uint64) {
	p.observe(s)
	rec := p.upstreams[notice.Name]
	incarnation = notice.Incarnation
	switch {
	case incarnation > 0:
		p.ended.add(notice.Name, incarnation)
	case rec == nil && now < p.presumptions[notice.Name].since+proto.MaxMessageDelay && s.Ended[notice.Name].Presumed > 0:
		// The notice was sent before.
		incarnation = s.Ended[notice.Name].Presumed
	case rec == nil:
		incarnation = math.MaxUint64
	default:
		incarnation = rec.info.Incarnation
	}
	if notice.Incarnation == 0 {
		p.ended.presume(notice.Name, incarnation)
		p.presumptions[notice.Name] = presumption{since: now}
	}
	if rec == nil || rec.info.Incarnation > incarnation {
		return incarnation
	}
	rec.draining, rec.gone = true, true
	if rec.announced && !rec.holdsRows && len(rec.rows) == 0 && !p.mayHoldInherited(now, s, rec) {
		rec.grantedUntil = min(rec.grantedUntil, now)
	}
	return incarnation
}

// RecordLeaving handles the notice of an entry host that an upstream says in its answers that it leaves. The upstream may
// still report that it is ready. It keeps its grant until its ranges have been moved, like one that drains.
func (p *Planner) RecordLeaving(s *model.State, process poison.Process) {
	p.observe(s)
	if rec := p.upstreams[process.Name]; rec != nil && rec.info.Incarnation == process.Incarnation {
		rec.draining = true
	}
}

// endedUpstreams holds the upstreams that left or were replaced, by name, until the state records it.
type endedUpstreams map[string]model.EndedUpstream

func (e endedUpstreams) add(name string, incarnation uint64) {
	x := e[name]
	x.Incarnation = max(x.Incarnation, incarnation)
	e[name] = x
}

func (e endedUpstreams) presume(name string, incarnation uint64) {
	x := e[name]
	x.Presumed = max(x.Presumed, incarnation)
	e[name] = x
}

// hasEnded reports whether a process is known or presumed to have ended.
func (p *Planner) hasEnded(s *model.State, u model.Upstream) bool {
	x := p.ended[u.Name]
	return u.Incarnation <= max(x.Incarnation, x.Presumed) || s.HasEnded(u.Name, u.Incarnation)
}

// answerEnded answers an announcement of a process that is known or presumed to have ended. Only the notice that it
// leaves is acknowledged.
func (p *Planner) answerEnded(now time.Duration, s *model.State, an proto.Announcement) (proto.Grant, *proto.Error) {
	if an.Draining || an.Gone {
		g := p.emptyGrant()
		g.Drained, g.Leaving = true, true
		return g, nil
	}
	p.checkPresumption(now, s, an)
	return proto.Grant{}, proto.NotRun(proto.CodeSuperseded, http.StatusConflict,
		"upstream %s of incarnation %d has left or was replaced", an.Name, an.Incarnation)
}

// presumption describes the notice because of which an upstream is presumed to have ended.
type presumption struct {
	// since is when the notice arrived.
	since time.Duration
	// disproved is true once an announcement has arrived that was sent after the notice.
	disproved bool
}

// wallMs returns the leader's wall clock at a time, in milliseconds since the Unix epoch. Steps of that clock have no
// effect.
func (p *Planner) wallMs(at time.Duration) int64 {
	return p.cfg.ElectedAtWallMs + (at - p.electedAt).Milliseconds()
}

// checkPresumption withdraws the presumed end of a process that has announced itself when its messages from before the
// notice could no longer be on their way.
func (p *Planner) checkPresumption(now time.Duration, s *model.State, an proto.Announcement) {
	if !s.IsPresumedEnded(an.Name, an.Incarnation) {
		return
	}
	x, ok := p.presumptions[an.Name]
	if !ok {
		elapsed := time.Duration(p.wallMs(now)-s.Ended[an.Name].PresumedAtMs) * time.Millisecond
		x.since = now - min(max(0, elapsed), proto.MaxMessageDelay)
	}
	x.disproved = x.disproved || now >= x.since+proto.MaxMessageDelay
	p.presumptions[an.Name] = x
}

// recordEnds returns the commands that record in the state which upstreams have ended, and which have not after all.
// The next leader knows nothing else of an upstream that was not registered.
func (p *Planner) recordEnds(now time.Duration, s *model.State) []state.Command {
	var cs []state.Command
	for _, name := range sortedKeys(p.ended) {
		n, x := len(cs), p.ended[name]
		if x.Incarnation > 0 && (!s.HasEnded(name, x.Incarnation) || s.IsPresumedEnded(name, x.Incarnation)) {
			cs = append(cs, state.Command{End: &state.End{Name: name, Incarnation: x.Incarnation}})
		}
		if !s.HasEnded(name, x.Presumed) {
			cs = append(cs, state.Command{End: &state.End{
				Name: name, Incarnation: x.Presumed, Presumed: true, AtMs: p.wallMs(p.presumptions[name].since),
			}})
		}
		if len(cs) == n {
			delete(p.ended, name)
		}
	}
	for _, name := range sortedKeys(p.presumptions) {
		x, pending := p.presumptions[name], p.ended[name].Presumed > 0
		switch {
		case pending:
		case s.Ended[name].Presumed == 0, !x.disproved && now >= x.since+proto.MaxMessageDelay:
			// The state has the time of the notice.
			delete(p.presumptions, name)
		case x.disproved:
			cs = append(cs, state.Command{WithdrawEnd: &state.WithdrawEnd{Name: name}})
		}
	}
	return cs
}
