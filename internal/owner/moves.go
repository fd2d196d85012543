package owner

import (
	"sort"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

// moves frees and assigns ranges: ranges without an owner first, then leaving owners, then balance.
func (p *Planner) moves(now time.Duration, s *model.State) []state.Command {
	var cs []state.Command
	for _, service := range sortedKeys(s.Services) {
		if s.Services[service].Keyed {
			cs = append(cs, p.serviceMoves(now, s, service)...)
		}
	}
	return cs
}

func (p *Planner) serviceMoves(now time.Duration, s *model.State, service string) []state.Command {
	load := p.eligible(now, s, service)
	var open, held []model.Assignment
	releasing := 0
	for _, a := range s.Ranges {
		if a.Service != service {
			continue
		}
		switch a.Phase {
		case model.PhaseHeld:
			held = append(held, a)
			if _, ok := load[a.Owner]; ok {
				load[a.Owner]++
			}
		case model.PhaseReleasing:
			releasing++
			if p.givenBack(now, s, a) {
				open = append(open, a)
			}
		case model.PhaseFree:
			if p.unused(now, s) {
				open = append(open, a)
			}
		}
	}
	if len(load) == 0 {
		return nil
	}
	var cs []state.Command
	for _, a := range open {
		name := lightest(load)
		load[name]++
		cs = append(cs, state.Command{Assign: &state.Assign{
			Range: a.ID, Epoch: a.Epoch, Owner: name, Incarnation: s.Upstreams[name].Incarnation,
		}})
	}
	return append(cs, p.releases(load, held, p.cfg.MaxMoves-releasing)...)
}

// eligible returns the upstreams that may own ranges of the service, with a load of zero.
func (p *Planner) eligible(now time.Duration, s *model.State, service string) map[string]int {
	load := map[string]int{}
	for name, u := range s.Upstreams {
		l := p.upstreams[name]
		live := l != nil && now < l.grantedUntil && !l.draining
		if u.Service == service && live && !s.Drained[name] && !s.StoppedDCs[u.DataCentre] {
			load[name] = 0
		}
	}
	return load
}

// givenBack tells whether nobody can act for the old owner of a releasing range any more.
func (p *Planner) givenBack(now time.Duration, s *model.State, a model.Assignment) bool {
	l := p.upstreams[a.Owner]
	if l == nil {
		return false
	}
	if !l.released[a.Fence()] && now < l.grantedUntil {
		return false
	}
	return l.info.ChecksGrants || p.unused(now, s)
}

// unused tells whether no entry host may still route by a table older than the state.
func (p *Planner) unused(now time.Duration, s *model.State) bool {
	if now < p.quietUntil {
		return false
	}
	for _, h := range p.hosts {
		if now < h.leasedUntil && h.oldest < s.Version {
			return false
		}
	}
	return true
}

// releases takes ranges from owners that must leave, then from the heaviest owner while that improves the balance.
func (p *Planner) releases(load map[string]int, held []model.Assignment, budget int) []state.Command {
	var cs []state.Command
	release := func(a model.Assignment) {
		cs = append(cs, state.Command{Release: &state.Release{Range: a.ID, Epoch: a.Epoch}})
		budget--
	}
	byOwner := map[string][]model.Assignment{}
	for _, a := range held {
		if _, ok := load[a.Owner]; ok {
			byOwner[a.Owner] = append(byOwner[a.Owner], a)
		} else if budget > 0 {
			release(a)
		}
	}
	for budget > 0 {
		from, to := heaviest(load), lightest(load)
		if load[from]-load[to] < 2 || len(byOwner[from]) == 0 {
			break
		}
		release(byOwner[from][0])
		byOwner[from] = byOwner[from][1:]
		load[from]--
		load[to]++
	}
	return cs
}

func lightest(load map[string]int) string {
	return extreme(load, func(a, b int) bool { return a < b })
}

func heaviest(load map[string]int) string {
	return extreme(load, func(a, b int) bool { return a > b })
}

// extreme returns the name that comes first by better, ties broken by name.
func extreme(load map[string]int, better func(a, b int) bool) string {
	names := make([]string, 0, len(load))
	for name := range load {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := load[names[i]], load[names[j]]
		return better(a, b) || (a == b && names[i] < names[j])
	})
	return names[0]
}
