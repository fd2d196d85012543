package owner

import (
	"sort"
	"time"

	"baobabreach/internal/route"
)

// HostStatus is what the leader knows about an entry host.
type HostStatus struct {
	route.Daemon
	// TableVersion is the oldest table version that the host may still use.
	TableVersion uint64 `json:"table_version"`
	Revision     uint64 `json:"revision"`
	// Leased is false for a host whose routing lease has expired because the host is disconnected or stopped.
	Leased bool `json:"leased"`
}

// Hosts returns every entry host that renewed a lease with this leader, sorted by name.
func (p *Planner) Hosts(now time.Duration) []HostStatus {
	out := make([]HostStatus, 0, len(p.hosts))
	for _, h := range p.hosts {
		out = append(out, HostStatus{
			Daemon: h.daemon, TableVersion: h.oldestVersion, Revision: h.revision, Leased: now < h.leasedUntil,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// LiveUpstreams returns the names of the upstreams whose last grant has not expired. The value is true for those that
// are draining.
func (p *Planner) LiveUpstreams(now time.Duration) map[string]bool {
	out := map[string]bool{}
	for name, rec := range p.upstreams {
		if now < rec.grantedUntil {
			out[name] = rec.draining
		}
	}
	return out
}

// TimeToNextGrantExpiry returns the time until the first grant of a live upstream expires, or false if there is none.
func (p *Planner) TimeToNextGrantExpiry(now time.Duration) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, rec := range p.upstreams {
		if left := rec.grantedUntil - now; rec.announced && left > 0 && (!found || left < shortest) {
			shortest, found = left, true
		}
	}
	return shortest, found
}

// HostCount returns the number of entry hosts that had a routing lease at the last Tick or renewed one since.
func (p *Planner) HostCount() int { return len(p.hosts) }
