package route

import (
	"maps"
	"slices"

	"baobabreach/internal/model"
)

// Delta holds the changes after the version From up to the version Version. It is immutable.
type Delta struct {
	From    uint64 `json:"from"`
	Version uint64 `json:"version"`
	// Settings is set if anything but upstreams, ranges, routes and bounds changed; it has none of these.
	Settings *Table `json:"settings,omitempty"`
	// Routes replace those of the same name, and RemovedRoutes names those that are gone. Bounds is set with either.
	Routes        []model.Route `json:"routes,omitempty"`
	RemovedRoutes []string      `json:"removed_routes,omitempty"`
	Bounds        *model.Bounds `json:"bounds,omitempty"`

	Upstreams        []model.Upstream `json:"upstreams,omitempty"`
	RemovedUpstreams []string         `json:"removed,omitempty"`
	// Ranges is sorted like Table.Ranges. A range replaces every older one that it overlaps.
	Ranges []model.Assignment `json:"ranges,omitempty"`
}

// SettingsTable returns the table of the state without upstreams, ranges and routes.
func SettingsTable(s *model.State) *Table {
	t := NewTable(s)
	t.Upstreams, t.Ranges, t.Routes = nil, nil, nil
	return t
}

// withRoutes returns old with the changes of the delta, sorted.
func (d *Delta) withRoutes(old []model.Route) []model.Route {
	if len(d.Routes)+len(d.RemovedRoutes) == 0 {
		return old
	}
	gone := map[string]bool{}
	for _, name := range d.RemovedRoutes {
		gone[name] = true
	}
	for _, r := range d.Routes {
		gone[r.Name] = true
	}
	out := slices.Clone(d.Routes)
	for _, r := range old {
		if !gone[r.Name] {
			out = append(out, r)
		}
	}
	model.SortRoutes(out)
	return out
}

// ChangedRanges returns the ranges that changed after the version. They cover every hash whose range was split or
// merged since then, so the receiver needs no list of removed ranges.
func ChangedRanges(s *model.State, version uint64) []model.Assignment {
	var out []model.Assignment
	for _, a := range s.Ranges {
		if a.Changed > version {
			out = append(out, a)
		}
	}
	return out
}

// WithDelta returns the table with the changes applied. It returns false if the table is older than the delta's start.
func (t *Table) WithDelta(d *Delta) (*Table, bool) {
	if t.Version < d.From {
		return nil, false
	}
	c := *t
	if d.Settings != nil {
		c = *d.Settings
		c.Ranges, c.Bounds = t.Ranges, t.Bounds
	}
	c.Routes = d.withRoutes(t.Routes)
	if d.Bounds != nil {
		c.Bounds = *d.Bounds
	}
	c.Version = d.Version
	c.Upstreams = maps.Clone(t.Upstreams)
	if c.Upstreams == nil {
		c.Upstreams = map[string]model.Upstream{}
	}
	for _, name := range d.RemovedUpstreams {
		delete(c.Upstreams, name)
	}
	for _, u := range d.Upstreams {
		c.Upstreams[u.Name] = u
	}
	c.Ranges = overlay(t.Ranges, d.Ranges)
	return &c, true
}

// overlay merges two sorted lists; an old range that overlaps a new one is dropped.
func overlay(old, changed []model.Assignment) []model.Assignment {
	if len(changed) == 0 {
		return old
	}
	out := slices.Clone(changed)
	k := 0
	for _, a := range old {
		for k < len(changed) && before(changed[k], a) {
			k++
		}
		if k == len(changed) || before(a, changed[k]) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b model.Assignment) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	return out
}

// before tells whether a ends before b starts.
func before(a, b model.Assignment) bool {
	return a.Service < b.Service || (a.Service == b.Service && a.Last < b.First)
}
