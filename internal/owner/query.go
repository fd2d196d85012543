package owner

import (
	"sort"
	"time"

	"baobabreach/internal/route"
)

// HostStatus is what the leader knows of an entry host.
type HostStatus struct {
	route.Daemon
	// TableVersion is the oldest table version that the host may still use.
	TableVersion uint64 `json:"table_version"`
	Revision     uint64 `json:"revision"`
	// Leased is false for a host whose routing lease has ended: it is cut off or stopped.
	Leased bool `json:"leased"`
}

// Hosts returns every entry host that renewed a lease with this leader, sorted by name.
func (p *Planner) Hosts(now time.Duration) []HostStatus {
	out := make([]HostStatus, 0, len(p.hosts))
	for _, h := range p.hosts {
		out = append(out, HostStatus{
			Daemon: h.daemon, TableVersion: h.oldest, Revision: h.revision, Leased: now < h.leasedUntil,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// LiveUpstreams returns the names of the upstreams whose last grant has not ended; true for those that are draining.
func (p *Planner) LiveUpstreams(now time.Duration) map[string]bool {
	out := map[string]bool{}
	for name, l := range p.upstreams {
		if now < l.grantedUntil {
			out[name] = l.draining
		}
	}
	return out
}

// LeastGrantLeft returns the time until the first grant of a live upstream ends, or false if there is none.
func (p *Planner) LeastGrantLeft(now time.Duration) (time.Duration, bool) {
	least, found := time.Duration(0), false
	for _, l := range p.upstreams {
		if left := l.grantedUntil - now; l.known && left > 0 && (!found || left < least) {
			least, found = left, true
		}
	}
	return least, found
}

// HostCount returns the number of hosts that were heard lately.
func (p *Planner) HostCount() int { return len(p.hosts) }
