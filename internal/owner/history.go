package owner

import (
	"maps"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

// maxHistory limits the changes that are kept of upstreams and of routes. A host that missed more gets the whole
// table.
const maxHistory = 4096

// nameChange records a change of the upstream or route of that name.
type nameChange struct {
	version uint64
	name    string
}

// History records what changed since a version. Ranges carry the version of their last change themselves. Every
// replica keeps a history, whether it leads or not, so that a new leader need not send a whole table to each host. It
// is not safe for concurrent use.
type History struct {
	last *model.State
	// base is the oldest version from which all changes are known.
	base uint64
	// settingsVersion is the version of the last observed change of anything but upstreams, ranges, routes and
	// bounds.
	settingsVersion uint64
	upstreams       []nameChange
	routes          []nameChange
	// boundsVersion is the version of the last observed change of the bounds.
	boundsVersion uint64
}

// Reset replaces the history by an empty one that starts at s, which was not reached by changes from the last
// state.
func (h *History) Reset(s *model.State) { *h = History{last: s, base: s.Version} }

// Observe records the differences from the last observed state. It must see every state that another replica may have
// handed out, because something added and removed again between two observed states appears in neither.
func (h *History) Observe(s *model.State) {
	old := h.last
	if old != nil && s.Version <= old.Version {
		return
	}
	h.last = s
	if old == nil {
		h.base = s.Version
		return
	}
	for name, u := range s.Upstreams {
		if prev, ok := old.Upstreams[name]; !ok || prev != u {
			h.upstreams = append(h.upstreams, nameChange{version: s.Version, name: name})
		}
	}
	for name := range old.Upstreams {
		if _, ok := s.Upstreams[name]; !ok {
			h.upstreams = append(h.upstreams, nameChange{version: s.Version, name: name})
		}
	}
	if !sameSettings(old, s) {
		h.settingsVersion = s.Version
	}
	h.observeItems(old, s)
	if excess := len(h.upstreams) - maxHistory; excess > 0 {
		h.base = h.upstreams[excess-1].version
		h.upstreams = append([]nameChange(nil), h.upstreams[excess:]...)
	}
	if excess := len(h.routes) - maxHistory; excess > 0 {
		h.base = max(h.base, h.routes[excess-1].version)
		h.routes = append([]nameChange(nil), h.routes[excess:]...)
	}
}

// observeItems records changes of routes and bounds.
func (h *History) observeItems(old, s *model.State) {
	if old.ItemsVersion == s.ItemsVersion {
		return
	}
	previous := routesByName(old.Routes)
	for _, r := range s.Routes {
		if prev, ok := previous[r.Name]; !ok || prev.Version != r.Version {
			h.routes = append(h.routes, nameChange{version: s.Version, name: r.Name})
		}
		delete(previous, r.Name)
	}
	for name := range previous {
		h.routes = append(h.routes, nameChange{version: s.Version, name: name})
	}
	if old.Bounds != s.Bounds {
		h.boundsVersion = s.Version
	}
}

func routesByName(rs []model.Route) map[string]model.Route {
	out := make(map[string]model.Route, len(rs))
	for _, r := range rs {
		out[r.Name] = r
	}
	return out
}

// changedNames returns the set of names that changed after version.
func changedNames(list []nameChange, version uint64) map[string]bool {
	out := map[string]bool{}
	for i := len(list) - 1; i >= 0 && list[i].version > version; i-- {
		out[list[i].name] = true
	}
	return out
}

func sameSettings(a, b *model.State) bool {
	return a.Revision == b.Revision && maps.Equal(a.Services, b.Services) && maps.Equal(a.Drained, b.Drained) &&
		maps.Equal(a.StoppedDCs, b.StoppedDCs) && maps.Equal(a.Limits, b.Limits)
}

// changesSince returns the changes after version, or the whole table if that is no larger or the history does not
// reach back that far.
func (h *History) changesSince(s *model.State, version uint64) (*route.Table, *route.Delta) {
	if version < h.base {
		return route.NewTable(s), nil
	}
	d := &route.Delta{From: version, Version: s.Version, Ranges: route.ChangedRanges(s, version)}
	if h.settingsVersion > version {
		d.Settings = route.SettingsTable(s)
	}
	upstreams := changedNames(h.upstreams, version)
	for _, name := range sortedKeys(upstreams) {
		if u, ok := s.Upstreams[name]; ok {
			d.Upstreams = append(d.Upstreams, u)
		} else {
			d.RemovedUpstreams = append(d.RemovedUpstreams, name)
		}
	}
	if routes := changedNames(h.routes, version); len(routes) > 0 {
		current := routesByName(s.Routes)
		for _, name := range sortedKeys(routes) {
			if r, ok := current[name]; ok {
				d.Routes = append(d.Routes, r)
			} else {
				d.RemovedRoutes = append(d.RemovedRoutes, name)
			}
		}
	}
	if h.boundsVersion > version {
		b := s.Bounds
		d.Bounds = &b
	}
	if len(d.Ranges)+len(upstreams) >= len(s.Ranges)+len(s.Upstreams) {
		return route.NewTable(s), nil
	}
	return nil, d
}
