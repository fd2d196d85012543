package route

import (
	"maps"
	"slices"

	"baobabreach/internal/model"
)

// Delta holds the changes of the table after version From, up to and including Version. It is immutable.
type Delta struct {
	From    uint64 `json:"from"`
	Version uint64 `json:"version"`
	// Settings is set if anything other than upstreams, ranges, routes and bounds changed. Its values for these four are
	// not used.
	Settings *Table `json:"settings,omitempty"`
	// Routes are added or replace routes of the same name; RemovedRoutes names the removed ones. Bounds is set whenever
	// either of them is.
	Routes        []model.Route `json:"routes,omitempty"`
	RemovedRoutes []string      `json:"removed_routes,omitempty"`
	Bounds        *model.Bounds `json:"bounds,omitempty"`

	Upstreams        []model.Upstream `json:"upstreams,omitempty"`
	RemovedUpstreams []string         `json:"removed,omitempty"`
	// Ranges is sorted like Table.Ranges. Each range replaces every older range that it overlaps.
	Ranges []model.Assignment `json:"ranges,omitempty"`
}

// SettingsTable returns the table of the state without upstreams, ranges and routes.
func SettingsTable(s *model.State) *Table {
	t := NewTable(s)
	t.Upstreams, t.Ranges, t.Routes = nil, nil, nil
	return t
}

// mergeRoutes returns old with the route changes of the delta applied, in the order of model.SortRoutes.
func (d *Delta) mergeRoutes(old []model.Route) []model.Route {
	if len(d.Routes)+len(d.RemovedRoutes) == 0 {
		return old
	}
	replaced := map[string]bool{}
	for _, name := range d.RemovedRoutes {
		replaced[name] = true
	}
	for _, r := range d.Routes {
		replaced[r.Name] = true
	}
	out := slices.Clone(d.Routes)
	for _, r := range old {
		if !replaced[r.Name] {
			out = append(out, r)
		}
	}
	model.SortRoutes(out)
	return out
}

// ChangedRanges returns the ranges that changed after the version. They cover every hash whose range was split or
// merged since then, so the receiver needs no separate list of removed ranges.
func ChangedRanges(s *model.State, version uint64) []model.Assignment {
	var out []model.Assignment
	for _, a := range s.Ranges {
		if a.Changed > version {
			out = append(out, a)
		}
	}
	return out
}

// WithDelta returns the table with the delta applied. It returns false if the table is older than d.From.
func (t *Table) WithDelta(d *Delta) (*Table, bool) {
	if t.Version < d.From {
		return nil, false
	}
	c := *t
	if d.Settings != nil {
		c = *d.Settings
		c.Ranges, c.Bounds = t.Ranges, t.Bounds
	}
	c.Routes = d.mergeRoutes(t.Routes)
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
	c.Ranges = replaceOverlapping(t.Ranges, d.Ranges)
	return &c, true
}

// replaceOverlapping merges two sorted lists of ranges and drops each old range that overlaps a changed one.
func replaceOverlapping(old, changed []model.Assignment) []model.Assignment {
	if len(changed) == 0 {
		return old
	}
	out := slices.Clone(changed)
	next := 0
	for _, a := range old {
		for next < len(changed) && endsBefore(changed[next], a) {
			next++
		}
		if next == len(changed) || endsBefore(a, changed[next]) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b model.Assignment) int {
		if endsBefore(a, b) {
			return -1
		}
		return 1
	})
	return out
}

// endsBefore reports whether a ends before b starts.
func endsBefore(a, b model.Assignment) bool {
	return a.Service < b.Service || (a.Service == b.Service && a.Last < b.First)
}
