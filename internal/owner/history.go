package owner

import (
	"maps"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

// maxHistory bounds the changes of upstreams that are kept. A host that missed more gets the whole table.
const maxHistory = 4096

type upstreamChange struct {
	version uint64
	name    string
}

// history knows what changed since a version. Ranges carry the version of their last change themselves.
type history struct {
	seen *model.State
	// base is the oldest version from which the changes are known.
	base uint64
	// settingsAt is the version at which something but upstreams and ranges was last seen changed.
	settingsAt uint64
	upstreams  []upstreamChange
}

// observe records the differences to the state seen before. It returns false if there is nothing new.
func (h *history) observe(s *model.State) bool {
	old := h.seen
	if old != nil && s.Version == old.Version {
		return false
	}
	h.seen = s
	if old == nil {
		h.base = s.Version
		return true
	}
	for name, u := range s.Upstreams {
		if was, ok := old.Upstreams[name]; !ok || was != u {
			h.upstreams = append(h.upstreams, upstreamChange{version: s.Version, name: name})
		}
	}
	for name := range old.Upstreams {
		if _, ok := s.Upstreams[name]; !ok {
			h.upstreams = append(h.upstreams, upstreamChange{version: s.Version, name: name})
		}
	}
	if !sameSettings(old, s) {
		h.settingsAt = s.Version
	}
	if over := len(h.upstreams) - maxHistory; over > 0 {
		h.base = h.upstreams[over-1].version
		h.upstreams = append([]upstreamChange(nil), h.upstreams[over:]...)
	}
	return true
}

func sameSettings(a, b *model.State) bool {
	return a.Revision == b.Revision && a.ItemsVersion == b.ItemsVersion && maps.Equal(a.Services, b.Services) && maps.Equal(a.Drained, b.Drained) &&
		maps.Equal(a.StoppedDCs, b.StoppedDCs) && maps.Equal(a.Limits, b.Limits)
}

// since returns the changes after the version, or the whole table if that isn't larger.
func (h *history) since(s *model.State, version uint64) (*route.Table, *route.Delta) {
	if version < h.base {
		return route.NewTable(s), nil
	}
	d := &route.Delta{From: version, Version: s.Version, Ranges: route.ChangedRanges(s, version)}
	if h.settingsAt > version {
		d.Settings = route.Settings(s)
	}
	done := map[string]bool{}
	for i := len(h.upstreams) - 1; i >= 0 && h.upstreams[i].version > version; i-- {
		name := h.upstreams[i].name
		if done[name] {
			continue
		}
		done[name] = true
		if u, ok := s.Upstreams[name]; ok {
			d.Upstreams = append(d.Upstreams, u)
		} else {
			d.Removed = append(d.Removed, name)
		}
	}
	if len(d.Ranges)+len(done) >= len(s.Ranges)+len(s.Upstreams) {
		return route.NewTable(s), nil
	}
	return nil, d
}
