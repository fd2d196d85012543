// Package route holds the routing table of an entry host and selects upstreams for requests.
package route

import (
	"slices"

	"baobabreach/internal/model"

	"github.com/cespare/xxhash/v2"
)

// Daemon is a live daemon of the fleet, with its control address and its address for callers.
type Daemon struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Control    string `json:"control"`
	Caller     string `json:"caller"`
}

// Table is the part of the replicated state that entry hosts need. It is immutable.
type Table struct {
	// Version is the version of the state from which the table was built.
	Version   uint64                    `json:"version"`
	Revision  uint64                    `json:"revision"`
	Services  map[string]model.Service  `json:"services"`
	Upstreams map[string]model.Upstream `json:"upstreams"`
	// Ranges is sorted by service and first hash.
	Ranges  []model.Assignment `json:"ranges"`
	Drained map[string]bool    `json:"drained"`
	// StoppedDCs lists the data centres that an operator stopped.
	StoppedDCs map[string]bool        `json:"stopped_dcs"`
	Limits     map[string]model.Limit `json:"limits"`
	// Routes is in the order of model.SortRoutes.
	Routes []model.Route `json:"routes,omitempty"`
	Bounds model.Bounds  `json:"bounds"`
}

// NewTable returns the routing table of a state.
func NewTable(s *model.State) *Table {
	return &Table{
		Version: s.Version, Revision: s.Revision, Services: s.Services, Upstreams: s.Upstreams, Ranges: s.Ranges,
		Drained: s.Drained, StoppedDCs: s.StoppedDCs, Limits: s.Limits, Routes: s.Routes, Bounds: s.Bounds,
	}
}

// Target is the upstream and the range to which a request is routed.
type Target struct {
	Upstream model.Upstream
	// Assignment is the zero value for a service that is not keyed.
	Assignment model.Assignment
	// Moving is true while the range has no owner that accepts new work.
	Moving bool
}

// Owner returns the owner of a key. Moving is set if there is currently none.
func (t *Table) Owner(service, key string) Target {
	return t.OwnerAt(service, model.HashKey(service, key))
}

// OwnerAt returns the owner of a position. Upstream is set even while the range moves, if its last owner is still
// registered.
func (t *Table) OwnerAt(service string, position uint64) Target {
	i, ok := model.FindRange(t.Ranges, service, position)
	if !ok {
		return Target{Moving: true}
	}
	a := t.Ranges[i]
	u, ok := t.Upstreams[a.Owner]
	if !ok || u.Incarnation != a.Incarnation {
		return Target{Assignment: a, Moving: true}
	}
	return Target{Upstream: u, Assignment: a, Moving: a.Phase != model.PhaseHeld}
}

// AcceptsWork reports whether an upstream is neither leaving nor stopped by an operator.
func (t *Table) AcceptsWork(u model.Upstream) bool {
	return u.LeavingSince == 0 && !t.Drained[u.Name] && !t.StoppedDCs[u.DataCentre]
}

// Candidates returns the upstreams of a service that accept new work, sorted by name.
func (t *Table) Candidates(service string) []model.Upstream {
	var out []model.Upstream
	for _, u := range t.Upstreams {
		if u.Service == service && t.AcceptsWork(u) {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b model.Upstream) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// RendezvousScore orders hosts by rendezvous hashing: the host with the highest score for a name is responsible for it.
func RendezvousScore(name, host string) uint64 { return xxhash.Sum64String(name + "\x00" + host) }
