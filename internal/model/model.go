// Package model holds the immutable replicated state: services, upstreams, assignments and limits.
// A value is not modified once it is shared; methods whose names start with With return modified copies.
package model

import (
	"maps"
	"math"
	"slices"
	"sort"

	"baobabreach/pkg/proto"

	"github.com/cespare/xxhash/v2"
)

// PartitionPolicy is the policy for the ranges of a keyed service whose owner can't be reached, for example during a
// network partition.
type PartitionPolicy string

const (
	// PartitionMajority lets the majority reassign ranges after the grant has expired.
	PartitionMajority PartitionPolicy = "majority"
	// PartitionHome leaves ranges with their owner until it gives them back or an operator confirms its loss.
	PartitionHome PartitionPolicy = "home"
)

// Class is the urgency of a request.
type Class string

const (
	// ClassShort is for interactive requests, which must not queue behind long ones.
	ClassShort Class = "short"
	// ClassLong is for background requests, which may wait until their deadline.
	ClassLong Class = "long"
)

// DefaultRanges is the number of ranges a keyed service starts with.
const DefaultRanges = 64

// Service describes one service. Names are unique.
type Service struct {
	Name  string `json:"name"`
	Keyed bool   `json:"keyed"`
	// Idempotent means that requests of every HTTP method may be repeated.
	Idempotent      bool            `json:"idempotent"`
	Class           Class           `json:"class"`
	PartitionPolicy PartitionPolicy `json:"on_cut"`
	// Ranges is the initial number of ranges, at least 1 for a keyed service.
	Ranges int `json:"ranges"`
	// DeadlineMs is the default deadline of a request. It is positive.
	DeadlineMs int64 `json:"deadline_ms"`
	// Ordered divides the keys of a keyed service by their numeric order instead of by hash. Keys are numbers below
	// OrderedKeys, and adjacent keys often share a range.
	Ordered bool `json:"ordered,omitempty"`
	// MaxConnections limits the connections to one upstream from all hosts together; 0 means no limit.
	MaxConnections int `json:"max_connections,omitempty"`
}

// An ordered service maps its 16-bit numeric keys in order onto the 64-bit hash space.
const (
	// OrderedKeys is the number of keys of an ordered service.
	OrderedKeys = 1 << 16
	// OrderedSpan is the width of one such key in the space of positions, which is also the hash space.
	OrderedSpan = 1 << 48
	// OrderedRanges is the number of ranges that an ordered service starts with. It is a power of two, so that each range
	// starts at a key boundary.
	OrderedRanges = 256
)

// OrderedPosition returns the position of a key of an ordered service.
func OrderedPosition(key uint16) uint64 { return uint64(key) * OrderedSpan }

// Upstream is a registered upstream. The pair of Name and Incarnation identifies one process.
type Upstream struct {
	Name         string `json:"name"`
	Incarnation  uint64 `json:"incarnation"`
	Address      string `json:"address"`
	DataCentre   string `json:"data_centre"`
	Service      string `json:"service"`
	Slots        int    `json:"slots"`
	ChecksGrants bool   `json:"checks_grants"`
	// LeavingSince is the version at which the upstream announced that it drains; 0 if it has not.
	LeavingSince uint64 `json:"leaving_since,omitempty"`
}

// Phase is the state of an assignment.
type Phase string

const (
	// PhaseFree means that the range has no owner.
	PhaseFree Phase = "free"
	// PhaseHeld means that Owner may hold a grant for Epoch.
	PhaseHeld Phase = "held"
	// PhaseReleasing means that Owner must give the range back before another upstream may own it.
	PhaseReleasing Phase = "releasing"
)

// Assignment is a range of key hashes with its owner.
type Assignment struct {
	ID      uint64 `json:"id"`
	Service string `json:"service"`
	// First and Last bound the hashes, both inclusive. The ranges of a service are disjoint and cover all hashes.
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// Epoch increases with every assignment; it is 0 for a range that never had an owner.
	Epoch uint64 `json:"epoch"`
	// Owner and Incarnation are empty in PhaseFree only.
	Owner       string `json:"owner,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Phase       Phase  `json:"phase"`
	// Home forbids taking the range from an owner that did not give it back. It is set together with the owner, so that a
	// later change of the service's partition policy never shortens a grant that was issued without an end.
	Home bool `json:"home,omitempty"`
	// Hot marks a range that was split out for a single hot key.
	Hot bool `json:"hot,omitempty"`
	// Changed is the version of the last change of any field.
	Changed uint64 `json:"changed"`
	// TakenAt is the version from which tables no longer route to the last owner, and TakenUnchecked is true if that
	// owner runs requests without checking their fence. Both are meaningful only while the range is not held.
	TakenAt        uint64 `json:"taken_at,omitempty"`
	TakenUnchecked bool   `json:"taken_unchecked,omitempty"`
}

// Fence returns the fencing token of the assignment.
func (a Assignment) Fence() proto.Fence {
	return proto.Fence{Range: a.ID, Epoch: a.Epoch}
}

// OwnedBy reports whether u is the owner, including an owner that is releasing the range.
func (a Assignment) OwnedBy(u Upstream) bool {
	return a.Phase != PhaseFree && a.Owner == u.Name && a.Incarnation == u.Incarnation
}

// Limit bounds the request rate of one tenant in one class across all hosts.
type Limit struct {
	Tenant string `json:"tenant"`
	Class  Class  `json:"class"`
	// PerSecond is positive; an absent limit means unlimited.
	PerSecond float64 `json:"per_second"`
}

// State is the replicated state without claims. The zero value is not usable; call NewState.
type State struct {
	// Version increases with every change that entry hosts must receive.
	Version uint64 `json:"version"`
	// Revision increases with every accepted intent.
	Revision  uint64              `json:"revision"`
	Services  map[string]Service  `json:"services"`
	Upstreams map[string]Upstream `json:"upstreams"`
	// Ranges is sorted by service and first hash.
	Ranges      []Assignment     `json:"ranges"`
	Drained     map[string]bool  `json:"drained"`
	StoppedDCs  map[string]bool  `json:"stopped_dcs"`
	Limits      map[string]Limit `json:"limits"`
	NextRangeID uint64           `json:"next_range_id"`
	NextEpoch   uint64           `json:"next_epoch"`
	// RemovedReplicas lists the hosts whose replica an operator removed; such a replica leaves the group and can't rejoin.
	RemovedReplicas map[string]bool `json:"removed_replicas,omitempty"`
	// Items is the configuration as named items. Routes, Bounds and the services named in it are derived from it.
	Items Items `json:"items"`
	// ItemsVersion increases with every change of Items.
	ItemsVersion uint64 `json:"items_version,omitempty"`
	// Routes is in the order of SortRoutes.
	Routes []Route `json:"routes,omitempty"`
	Bounds Bounds  `json:"bounds"`
	// Quarantined holds the end of the quarantine of content that crashes upstreams, by fingerprint, in milliseconds since
	// the Unix epoch.
	Quarantined map[string]int64 `json:"quarantined,omitempty"`
	// Ended holds the latest upstreams that left or were replaced, by name. It has at most maxEnded entries.
	Ended map[string]EndedUpstream `json:"ended,omitempty"`
	// Members is the leader's view of the group. It is set only while an intent is being planned or confirmed.
	Members []Member `json:"-"`
}

// MemberRole is the role of a replica in the group.
type MemberRole string

const (
	// RoleVoter counts in majorities.
	RoleVoter MemberRole = "voter"
	// RoleLearner receives the log but counts in no majority.
	RoleLearner MemberRole = "learner"
	// RoleNone is a host listed in the settings that has no replica in the group.
	RoleNone MemberRole = "none"
)

// Member is a replica, or a host in the settings without one. A host is listed twice while its disk is being replaced.
type Member struct {
	Host string `json:"host"`
	// ID is the identity of the disk; empty for RoleNone.
	ID   string     `json:"id,omitempty"`
	Role MemberRole `json:"role"`
	// Live reports whether the replica answered the leader within the minimum election timeout.
	Live   bool `json:"live"`
	Leader bool `json:"leader,omitempty"`
	// Synced is the last log index that the leader knows to be on the replica's disk.
	Synced uint64 `json:"synced"`
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Services: map[string]Service{}, Upstreams: map[string]Upstream{}, Drained: map[string]bool{},
		StoppedDCs: map[string]bool{}, Limits: map[string]Limit{}, NextRangeID: 1, NextEpoch: 1,
		RemovedReplicas: map[string]bool{},
	}
}

// HashKey returns the position of a key in the hash space of its service.
func HashKey(service, key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// FindRange returns the index in Ranges of the range that holds hash, or false.
func (s *State) FindRange(service string, hash uint64) (int, bool) {
	return FindRange(s.Ranges, service, hash)
}

// FindRange returns the index of the range that holds hash, or false. The ranges are sorted like State.Ranges.
func FindRange(ranges []Assignment, service string, hash uint64) (int, bool) {
	i := sort.Search(len(ranges), func(i int) bool {
		r := &ranges[i]
		return r.Service > service || (r.Service == service && r.Last >= hash)
	})
	if i == len(ranges) || ranges[i].Service != service || ranges[i].First > hash {
		return 0, false
	}
	return i, true
}

// RangeByID returns the index of a range, or false.
func (s *State) RangeByID(id uint64) (int, bool) {
	i := slices.IndexFunc(s.Ranges, func(a Assignment) bool { return a.ID == id })
	return i, i >= 0
}

// WithService returns a copy with the service added or replaced. A service that becomes keyed gets its initial ranges.
func (s *State) WithService(v Service) *State {
	c := *s
	c.Services = maps.Clone(s.Services)
	c.Services[v.Name] = v
	hasRanges := slices.ContainsFunc(s.Ranges, func(a Assignment) bool { return a.Service == v.Name })
	if v.Keyed && !hasRanges {
		c.Ranges = slices.Concat(s.Ranges, initialRanges(v, s.NextRangeID, s.Version+1))
		c.NextRangeID += uint64(v.Ranges)
		c.sortRanges()
	}
	return &c
}

// WithUpstream returns a copy with the upstream registered.
func (s *State) WithUpstream(u Upstream) *State {
	c := *s
	c.Upstreams = maps.Clone(s.Upstreams)
	c.Upstreams[u.Name] = u
	return &c
}

// WithoutUpstream returns a copy without the upstream; its ranges become free as of the version.
func (s *State) WithoutUpstream(name string, version uint64) *State {
	c := *s
	c.Upstreams = maps.Clone(s.Upstreams)
	delete(c.Upstreams, name)
	c.Ranges = slices.Clone(s.Ranges)
	for i := range c.Ranges {
		if c.Ranges[i].Owner == name {
			c.Ranges[i] = c.Ranges[i].withTaken(!s.Upstreams[name].ChecksGrants, version).freed(version)
		}
	}
	return &c
}

// WithRange returns a copy in which a replaces the range with the same ID.
func (s *State) WithRange(a Assignment) *State {
	i, ok := s.RangeByID(a.ID)
	if !ok {
		return s
	}
	c := *s
	c.Ranges = slices.Clone(s.Ranges)
	c.Ranges[i] = a
	return &c
}

// WithVersion returns a copy with the given table version.
func (s *State) WithVersion(v uint64) *State {
	c := *s
	c.Version = v
	return &c
}

// WithRevision returns a copy with the given settings revision.
func (s *State) WithRevision(r uint64) *State {
	c := *s
	c.Revision = r
	return &c
}

// WithDrained returns a copy in which the upstream is, or is not, marked as drained by an operator.
func (s *State) WithDrained(name string, drained bool) *State {
	c := *s
	c.Drained = withFlag(s.Drained, name, drained)
	return &c
}

// WithStoppedDC returns a copy in which the data centre is, or is not, marked as stopped by an operator.
func (s *State) WithStoppedDC(name string, stopped bool) *State {
	c := *s
	c.StoppedDCs = withFlag(s.StoppedDCs, name, stopped)
	return &c
}

// WithRemovedReplica returns a copy in which the host's replica is, or is not, marked as removed by an operator.
func (s *State) WithRemovedReplica(host string, removed bool) *State {
	c := *s
	c.RemovedReplicas = withFlag(s.RemovedReplicas, host, removed)
	return &c
}

// WithMembers returns a copy with the leader's view of the group.
func (s *State) WithMembers(ms []Member) *State {
	c := *s
	c.Members = ms
	return &c
}

// WithQuarantine returns a copy in which the content is quarantined until the time, in milliseconds since the Unix epoch, or
// not quarantined if that is 0.
func (s *State) WithQuarantine(fingerprint string, untilMs int64) *State {
	c := *s
	c.Quarantined = maps.Clone(s.Quarantined)
	if untilMs == 0 {
		delete(c.Quarantined, fingerprint)
		return &c
	}
	if c.Quarantined == nil {
		c.Quarantined = map[string]int64{}
	}
	c.Quarantined[fingerprint] = untilMs
	return &c
}

// WithLimit returns a copy with the limit set, or removed if its rate is not positive.
func (s *State) WithLimit(l Limit) *State {
	c := *s
	c.Limits = maps.Clone(s.Limits)
	if l.PerSecond > 0 {
		c.Limits[l.Key()] = l
	} else {
		delete(c.Limits, l.Key())
	}
	return &c
}

// Key returns the key of the limit in State.Limits: its tenant and class.
func (l Limit) Key() string {
	return l.Tenant + "/" + string(l.Class)
}

// withTaken records the version at which a held range is taken from its owner. A releasing range keeps the version at
// which its release began.
func (a Assignment) withTaken(unchecked bool, version uint64) Assignment {
	if a.Phase == PhaseHeld {
		a.TakenAt, a.TakenUnchecked = version, unchecked
	}
	return a
}

func (a Assignment) freed(version uint64) Assignment {
	a.Owner, a.Incarnation, a.Phase, a.Home, a.Changed = "", 0, PhaseFree, false, version
	return a
}

// Release returns the assignment in PhaseReleasing: from the version on, it is being taken from its owner u.
func (a Assignment) Release(u Upstream, version uint64) Assignment {
	a = a.withTaken(!u.ChecksGrants, version)
	a.Phase, a.Changed = PhaseReleasing, version
	return a
}

// Hold returns the assignment held by u under a new epoch.
func (a Assignment) Hold(u Upstream, epoch uint64, home bool, version uint64) Assignment {
	a.Owner, a.Incarnation, a.Phase, a.Epoch = u.Name, u.Incarnation, PhaseHeld, epoch
	a.Home, a.Changed, a.TakenAt, a.TakenUnchecked = home, version, 0, false
	return a
}

// WithReplaced returns a copy in which count adjacent ranges, starting at index first, are replaced by others. The caller
// ensures that these cover the same hashes.
func (s *State) WithReplaced(first, count int, replacement []Assignment) *State {
	c := *s
	c.Ranges = slices.Concat(s.Ranges[:first], replacement, s.Ranges[first+count:])
	return &c
}

func withFlag(m map[string]bool, name string, set bool) map[string]bool {
	c := maps.Clone(m)
	if set {
		c[name] = true
	} else {
		delete(c, name)
	}
	return c
}

func (s *State) sortRanges() {
	sort.Slice(s.Ranges, func(i, j int) bool {
		a, b := s.Ranges[i], s.Ranges[j]
		return a.Service < b.Service || (a.Service == b.Service && a.First < b.First)
	})
}

func initialRanges(v Service, firstID, version uint64) []Assignment {
	n := uint64(v.Ranges)
	width := math.MaxUint64/n + 1
	if n == 1 {
		width = 0
	}
	out := make([]Assignment, 0, n)
	for i := range n {
		a := Assignment{
			ID: firstID + i, Service: v.Name, First: i * width, Last: (i+1)*width - 1, Phase: PhaseFree, Changed: version,
		}
		if i == n-1 {
			a.Last = math.MaxUint64
		}
		out = append(out, a)
	}
	return out
}
