// Package broker connects the entry hosts to the assigners that decide for all hosts together which upstream runs a
// request. Every replica is the broker of a part of the upstreams of its data centre. Entry hosts ask it by one datagram
// before they send a request, and report the end by another. The answers are advice: a host that gets none in time chooses
// by what it has observed itself, and the table of the host has the last word on which upstreams may be used.
package broker

import (
	"net/netip"
	"slices"

	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

// Member is a replica that acts as a broker.
type Member struct {
	Address    netip.AddrPort
	DataCentre string
}

// Responsible returns the broker of an upstream: one of its data centre, or any if there is none. It returns false without
// members. The choice changes only for upstreams of a member that is added or removed.
func Responsible(members []Member, u model.Upstream) (Member, bool) {
	hasLocal := slices.ContainsFunc(members, func(m Member) bool { return m.DataCentre == u.DataCentre })
	best, bestScore, found := Member{}, uint64(0), false
	for _, m := range members {
		if hasLocal && m.DataCentre != u.DataCentre {
			continue
		}
		if score := route.RendezvousScore(u.Name, m.Address.String()); !found || score > bestScore {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}
