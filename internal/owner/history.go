package owner

import (
	"maps"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

// maxHistory bounds the changes of upstreams that are kept. A host that missed more gets the whole table.
const maxHistory = 4096

// nameChange is a change of the upstream or route of the name.
type nameChange struct {
	version uint64
	name    string
}

// History knows what changed since a version. Ranges carry the version of their last change themselves. Replicas keep one
// whether they lead or not, so that a new leader need not send a whole table to each host. It is not safe for concurrent
// use.
type History struct {
	seen *model.State
	// base is the oldest version from which the changes are known.
	base uint64
	// settingsAt is the version at which something but upstreams, ranges, routes and bounds was last seen changed.
	settingsAt uint64
	upstreams  []nameChange
	routes     []nameChange
	// boundsAt is the version at which the bounds were last seen changed.
	boundsAt uint64
}

// Reset forgets what was before s, which came from elsewhere.
func (h *History) Reset(s *model.State) { *h = History{seen: s, base: s.Version} }

// Observe records the differences to the state seen before. It must see every state that another replica may have handed
// out: what was added and dropped again between two of them is in neither.
func (h *History) Observe(s *model.State) {
	old := h.seen
	if old != nil && s.Version <= old.Version {
		return
	}
	h.seen = s
	if old == nil {
		h.base = s.Version
		return
	}
	for name, u := range s.Upstreams {
		if was, ok := old.Upstreams[name]; !ok || was != u {
			h.upstreams = append(h.upstreams, nameChange{version: s.Version, name: name})
		}
	}
	for name := range old.Upstreams {
		if _, ok := s.Upstreams[name]; !ok {
			h.upstreams = append(h.upstreams, nameChange{version: s.Version, name: name})
		}
	}
	if !sameSettings(old, s) {
		h.settingsAt = s.Version
	}
	h.observeItems(old, s)
	if over := len(h.upstreams) - maxHistory; over > 0 {
		h.base = h.upstreams[over-1].version
		h.upstreams = append([]nameChange(nil), h.upstreams[over:]...)
	}
	if over := len(h.routes) - maxHistory; over > 0 {
		h.base = max(h.base, h.routes[over-1].version)
		h.routes = append([]nameChange(nil), h.routes[over:]...)
	}
}

// observeItems records the routes and bounds that changed.
func (h *History) observeItems(old, s *model.State) {
	if old.ItemsVersion == s.ItemsVersion {
		return
	}
	before := routesByName(old.Routes)
	for _, r := range s.Routes {
		if was, ok := before[r.Name]; !ok || was.Version != r.Version {
			h.routes = append(h.routes, nameChange{version: s.Version, name: r.Name})
		}
		delete(before, r.Name)
	}
	for name := range before {
		h.routes = append(h.routes, nameChange{version: s.Version, name: name})
	}
	if old.Bounds != s.Bounds {
		h.boundsAt = s.Version
	}
}

func routesByName(rs []model.Route) map[string]model.Route {
	out := make(map[string]model.Route, len(rs))
	for _, r := range rs {
		out[r.Name] = r
	}
	return out
}

// changed returns the names that changed after the version, each once.
func changed(list []nameChange, version uint64) map[string]bool {
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

// since returns the changes after the version, or the whole table if that isn't larger.
func (h *History) since(s *model.State, version uint64) (*route.Table, *route.Delta) {
	if version < h.base {
		return route.NewTable(s), nil
	}
	d := &route.Delta{From: version, Version: s.Version, Ranges: route.ChangedRanges(s, version)}
	if h.settingsAt > version {
		d.Settings = route.SettingsTable(s)
	}
	done := changed(h.upstreams, version)
	for _, name := range sortedKeys(done) {
		if u, ok := s.Upstreams[name]; ok {
			d.Upstreams = append(d.Upstreams, u)
		} else {
			d.RemovedUpstreams = append(d.RemovedUpstreams, name)
		}
	}
	if names := changed(h.routes, version); len(names) > 0 {
		present := routesByName(s.Routes)
		for _, name := range sortedKeys(names) {
			if r, ok := present[name]; ok {
				d.Routes = append(d.Routes, r)
			} else {
				d.RemovedRoutes = append(d.RemovedRoutes, name)
			}
		}
	}
	if h.boundsAt > version {
		b := s.Bounds
		d.Bounds = &b
	}
	if len(d.Ranges)+len(done) >= len(s.Ranges)+len(s.Upstreams) {
		return route.NewTable(s), nil
	}
	return nil, d
}
