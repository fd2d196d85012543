package opapi

import (
	"math"
	"sort"

	"baobabreach/internal/model"
	"baobabreach/internal/node"
	"baobabreach/internal/owner"
)

// Fleet is the leader's view of the fleet. Individual ranges are listed only while they move.
type Fleet struct {
	Leader       string             `json:"leader"`
	Term         uint64             `json:"term"`
	Revision     uint64             `json:"revision"`
	TableVersion uint64             `json:"version"`
	Services     []ServiceStatus    `json:"services"`
	Upstreams    []UpstreamStatus   `json:"upstreams"`
	Moves        []model.Assignment `json:"moves"`
	// MovesOmitted counts the moves beyond maxMovesShown.
	MovesOmitted int                `json:"moves_omitted"`
	StoppedDCs   []string           `json:"stopped_dcs"`
	Limits       []model.Limit      `json:"limits"`
	Daemons      []owner.HostStatus `json:"daemons"`
	// Members holds the voters and learners with their progress, and the hosts in the settings that have no replica.
	Members []MemberStatus `json:"members"`
}

// maxMovesShown bounds the size of Fleet while all ranges of a service are without an owner.
const maxMovesShown = 100

// ServiceStatus is the status of one service with the owners of its hash space.
type ServiceStatus struct {
	model.Service
	// Upstreams is the number of live upstreams that accept new work.
	Upstreams int `json:"upstreams"`
	// Free is the number of ranges without an owner, Releasing of those that their owner is giving up.
	Free      int `json:"free"`
	Releasing int `json:"releasing"`
	// Owners is sorted by name; empty for a service without keys.
	Owners []OwnerShare `json:"owners"`
}

// OwnerShare is the part of the hash space that one upstream holds.
type OwnerShare struct {
	Upstream string `json:"upstream"`
	Ranges   int    `json:"ranges"`
	// Share is the share of the hash space, from 0 to 1.
	Share float64 `json:"share"`
}

// UpstreamStatus is the registration of an upstream with its liveness, draining and number of ranges.
type UpstreamStatus struct {
	model.Upstream
	// Live is false once the last grant has expired without a new announcement.
	Live bool `json:"live"`
	// Drained and DCStopped are set by operators, Draining by the upstream itself.
	Drained   bool `json:"drained"`
	DCStopped bool `json:"dc_stopped"`
	Draining  bool `json:"draining"`
	Ranges    int  `json:"ranges"`
}

// MemberStatus is the status of one replica as seen by the leader.
type MemberStatus struct {
	model.Member
	// Behind is the number of log entries that the leader doesn't know to be synced to the replica's disk.
	Behind uint64 `json:"behind"`
	// Removed is set by operators. The replica is still leaving unless its role is none.
	Removed bool `json:"removed"`
}

// ReplicaStatus is the status that a replica reports about itself.
type ReplicaStatus struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// Error is the reason why the replica reported no status; Role, Term, Leader, Commit and Lag are then zero.
	Error  string `json:"error,omitempty"`
	Role   string `json:"role,omitempty"`
	Term   uint64 `json:"term,omitempty"`
	Leader string `json:"leader,omitempty"`
	Commit uint64 `json:"commit,omitempty"`
	// Lag is the number of committed entries that the replica has not applied, relative to the most advanced replica.
	Lag uint64 `json:"lag"`
}

// NewFleet summarizes the leader's view.
func NewFleet(overview node.Overview, status node.Status) Fleet {
	s := overview.State
	f := Fleet{
		Leader: status.Host, Term: status.Term, Revision: s.Revision, TableVersion: s.Version, Daemons: overview.Hosts,
		StoppedDCs: sortedKeys(s.StoppedDCs), Moves: []model.Assignment{}, Services: []ServiceStatus{},
		Upstreams: []UpstreamStatus{}, Limits: []model.Limit{}, Members: []MemberStatus{},
	}
	for _, m := range status.Group {
		member := MemberStatus{Member: m, Removed: s.RemovedReplicas[m.Host]}
		if m.Role != model.RoleNone {
			member.Behind = status.Last - min(status.Last, m.Synced)
		}
		f.Members = append(f.Members, member)
	}
	ranges := map[string]int{}
	for _, a := range s.Ranges {
		ranges[a.Owner]++
		if a.Phase == model.PhaseHeld {
			continue
		}
		if len(f.Moves) == maxMovesShown {
			f.MovesOmitted++
			continue
		}
		f.Moves = append(f.Moves, a)
	}
	for _, name := range sortedKeys(s.Upstreams) {
		u := s.Upstreams[name]
		draining, live := overview.Live[name]
		f.Upstreams = append(f.Upstreams, UpstreamStatus{
			Upstream: u, Live: live, Drained: s.Drained[name], DCStopped: s.StoppedDCs[u.DataCentre],
			Draining: draining, Ranges: ranges[name],
		})
	}
	for _, name := range sortedKeys(s.Services) {
		f.Services = append(f.Services, serviceStatus(s, f.Upstreams, s.Services[name]))
	}
	for _, k := range sortedKeys(s.Limits) {
		f.Limits = append(f.Limits, s.Limits[k])
	}
	return f
}

func serviceStatus(s *model.State, upstreams []UpstreamStatus, service model.Service) ServiceStatus {
	out := ServiceStatus{Service: service, Owners: []OwnerShare{}}
	for _, u := range upstreams {
		if u.Service == service.Name && u.Live && !u.Drained && !u.DCStopped && !u.Draining {
			out.Upstreams++
		}
	}
	owners := map[string]OwnerShare{}
	for _, a := range s.Ranges {
		if a.Service != service.Name {
			continue
		}
		switch a.Phase {
		case model.PhaseFree:
			out.Free++
			continue
		case model.PhaseReleasing:
			out.Releasing++
		case model.PhaseHeld:
		}
		share := owners[a.Owner]
		share.Upstream = a.Owner
		share.Ranges++
		share.Share += (float64(a.Last-a.First) + 1) / math.Exp2(64)
		owners[a.Owner] = share
	}
	for _, name := range sortedKeys(owners) {
		out.Owners = append(out.Owners, owners[name])
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
