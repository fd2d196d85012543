package owner

import (
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

// rangeIndex finds the ranges of an owner, so that the cost of an announcement depends only on how many ranges the
// upstream owns.
type rangeIndex struct {
	state *model.State
	// byOwner holds ascending positions in state.Ranges by owner name.
	byOwner map[string][]int
}

// ownedBy returns the positions of the owner's ranges in s.Ranges.
func (x *rangeIndex) ownedBy(s *model.State, name string) []int {
	if x.state != s {
		x.state, x.byOwner = s, make(map[string][]int, len(s.Upstreams))
		for i := range s.Ranges {
			if o := s.Ranges[i].Owner; o != "" {
				x.byOwner[o] = append(x.byOwner[o], i)
			}
		}
	}
	return x.byOwner[name]
}

// daemonList caches the list of the daemons with a routing lease, so that a renewal that changes nothing does not
// cost time in proportion to the number of hosts.
type daemonList struct {
	daemons []route.Daemon
	hash    uint64
	// byHost holds the daemons by host name.
	byHost map[string]route.Daemon
	// validUntil is the earliest expiry of a lease when the list was built.
	validUntil time.Duration
}

// liveDaemons returns the daemons with a routing lease, sorted by host, and their hash. h has just renewed its
// lease.
func (p *Planner) liveDaemons(now time.Duration, h *entryHost) ([]route.Daemon, uint64) {
	l := &p.daemons
	if listed, ok := l.byHost[h.daemon.Host]; ok && listed == h.daemon && now < l.validUntil {
		return l.daemons, l.hash
	}
	*l = daemonList{byHost: map[string]route.Daemon{}, validUntil: h.leasedUntil}
	for _, name := range sortedKeys(p.hosts) {
		host := p.hosts[name]
		if now >= host.leasedUntil {
			continue
		}
		l.daemons = append(l.daemons, host.daemon)
		l.byHost[name] = host.daemon
		l.validUntil = min(l.validUntil, host.leasedUntil)
	}
	l.hash = route.HashDaemons(l.daemons)
	return l.daemons, l.hash
}
