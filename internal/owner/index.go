package owner

import (
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

// rangeIndex finds the ranges of an owner, so that an announcement costs as much as the upstream owns.
type rangeIndex struct {
	state *model.State
	// byOwner holds positions in state.Ranges, ascending.
	byOwner map[string][]int
}

// of returns the positions of the owner's ranges in s.Ranges.
func (x *rangeIndex) of(s *model.State, name string) []int {
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

// daemonList is the list of the daemons with a routing lease, kept until it may have changed: a renewal that changes
// nothing must not cost time in proportion to the number of hosts.
type daemonList struct {
	daemons []route.Daemon
	sum     uint64
	// members holds the daemons by host.
	members map[string]route.Daemon
	// validUntil is the earliest end of a lease at the time of the last build.
	validUntil time.Duration
}

// liveDaemons returns the daemons with a routing lease, sorted by host, with their sum. h has just renewed its lease.
func (p *Planner) liveDaemons(now time.Duration, h *entryHost) ([]route.Daemon, uint64) {
	l := &p.list
	if listed, ok := l.members[h.daemon.Host]; ok && listed == h.daemon && now < l.validUntil {
		return l.daemons, l.sum
	}
	*l = daemonList{members: map[string]route.Daemon{}, validUntil: h.leasedUntil}
	for _, name := range sortedKeys(p.hosts) {
		x := p.hosts[name]
		if now >= x.leasedUntil {
			continue
		}
		l.daemons = append(l.daemons, x.daemon)
		l.members[name] = x.daemon
		l.validUntil = min(l.validUntil, x.leasedUntil)
	}
	l.sum = route.HashDaemons(l.daemons)
	return l.daemons, l.sum
}
