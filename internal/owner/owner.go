// Package owner is the leader's planner: it knows which upstreams and entry hosts are live, answers announcements
// with grants, gives routing leases and decides which ranges move. It performs no I/O.
package owner

import (
	"net/http"
	"sort"
	"time"

	"baobabreach/internal/limit"
	"baobabreach/internal/model"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

const (
	// LeaseTTL is counted by the entry host from the moment it sent its renewal.
	LeaseTTL = 900 * time.Millisecond
	// RenewInterval is the time between two renewals of a routing lease.
	RenewInterval = 300 * time.Millisecond
	// movingAnnounceInterval shortens the wait for a release or a new grant during moves.
	movingAnnounceInterval = 25 * time.Millisecond
)

// Renewal is sent by an entry host to the leader.
type Renewal struct {
	Daemon route.Daemon `json:"daemon"`
	// TableVersion is the version of the table that new requests use.
	TableVersion uint64 `json:"table_version"`
	// OldestVersion is the oldest table version that a keyed request in flight was routed by.
	OldestVersion uint64 `json:"oldest_version"`
	// Demand is in requests per second by limit key.
	Demand map[string]float64 `json:"demand,omitempty"`
}

// Lease answers a Renewal.
type Lease struct {
	// TTLMs is counted from the moment the entry host sent the renewal.
	TTLMs   int64          `json:"ttl_ms"`
	Version uint64         `json:"version"`
	Table   *route.Table   `json:"table,omitempty"`
	Daemons []route.Daemon `json:"daemons"`
	// Shares of the limits, in requests per second by limit key; valid as long as the lease.
	Shares map[string]float64 `json:"shares,omitempty"`
}

// Config configures a Planner.
type Config struct {
	// MaxMoves bounds the ranges that are releasing at once.
	MaxMoves int
}

type liveness struct {
	info model.Upstream
	// grantedUntil is when the last grant given to the upstream has surely ended.
	grantedUntil time.Duration
	draining     bool
	inFlight     int
	released     map[proto.Fence]bool
}

type entryHost struct {
	daemon      route.Daemon
	leasedUntil time.Duration
	// oldest is the oldest table version that the host may still use.
	oldest uint64
}

// Planner is not safe for concurrent use.
type Planner struct {
	cfg       Config
	upstreams map[string]*liveness
	hosts     map[string]*entryHost
	// quietUntil is when every grant and lease of an earlier leader has ended.
	quietUntil time.Duration
	limits     *limit.Dealer
}

// New returns a planner that has just become the leader at the time now.
func New(cfg Config, now time.Duration) *Planner {
	quiet := now + proto.WithDrift(max(proto.GrantTTL, LeaseTTL))
	return &Planner{
		cfg: cfg, upstreams: map[string]*liveness{}, hosts: map[string]*entryHost{}, quietUntil: quiet,
		limits: limit.NewDealer(quiet),
	}
}

// Announce handles an announcement received at the time now and returns the grant by the committed state.
func (p *Planner) Announce(now time.Duration, s *model.State, a proto.Announcement) (proto.Grant, *proto.Error) {
	info := model.Upstream{
		Name: a.Name, Incarnation: a.Incarnation, Address: a.Address, DataCentre: a.DataCentre,
		Service: a.Service, Slots: a.Slots, ChecksGrants: a.ChecksGrants,
	}
	l, err := p.admitName(now, s, info)
	if err != nil {
		return proto.Grant{}, err
	}
	l.grantedUntil = now + proto.WithDrift(proto.GrantTTL)
	l.draining, l.inFlight = a.Draining, a.InFlight
	for _, f := range a.Released {
		l.released[f] = true
	}
	return p.grant(s, l), nil
}

func (p *Planner) admitName(now time.Duration, s *model.State, info model.Upstream) (*liveness, *proto.Error) {
	l := p.upstreams[info.Name]
	if known, ok := s.Upstreams[info.Name]; ok && l == nil {
		l = &liveness{info: known, grantedUntil: p.quietUntil, released: map[proto.Fence]bool{}}
		p.upstreams[info.Name] = l
	}
	if l == nil {
		l = &liveness{info: info, released: map[proto.Fence]bool{}}
		p.upstreams[info.Name] = l
		return l, nil
	}
	switch {
	case l.info.Incarnation == info.Incarnation && l.info.Address == info.Address:
		return l, nil
	case info.Incarnation < l.info.Incarnation:
		return nil, proto.NotRun(proto.CodeSuperseded, http.StatusConflict,
			"upstream %s has a newer incarnation %d", info.Name, l.info.Incarnation)
	case now < l.grantedUntil:
		return nil, proto.NotRun(proto.CodeNameInUse, http.StatusConflict,
			"upstream %s is in use by incarnation %d at %s", info.Name, l.info.Incarnation, l.info.Address)
	}
	if _, ok := s.Upstreams[info.Name]; ok {
		return nil, proto.NotRun(proto.CodeNameInUse, http.StatusConflict,
			"the earlier incarnation of upstream %s is being removed", info.Name)
	}
	l = &liveness{info: info, released: map[proto.Fence]bool{}}
	p.upstreams[info.Name] = l
	return l, nil
}

func (p *Planner) grant(s *model.State, l *liveness) proto.Grant {
	g := proto.Grant{
		TTLMs: proto.GrantTTL.Milliseconds(), NextMs: proto.AnnounceInterval.Milliseconds(),
		Fences: []proto.Fence{}, Drained: l.draining || s.Drained[l.info.Name],
	}
	registered, ok := s.Upstreams[l.info.Name]
	if !ok || registered.Incarnation != l.info.Incarnation {
		g.NextMs = movingAnnounceInterval.Milliseconds()
		return g
	}
	for _, a := range s.Ranges {
		if !a.OwnedBy(registered) {
			continue
		}
		g.Drained = false
		if a.Phase == model.PhaseReleasing {
			g.Releasing = append(g.Releasing, a.Fence())
			g.NextMs = movingAnnounceInterval.Milliseconds()
			continue
		}
		g.Fences = append(g.Fences, a.Fence())
	}
	return g
}

// Renew handles a renewal received at the time now.
func (p *Planner) Renew(now time.Duration, s *model.State, r Renewal) Lease {
	h := p.hosts[r.Daemon.Host]
	if h == nil {
		h = &entryHost{}
		p.hosts[r.Daemon.Host] = h
	}
	h.daemon, h.oldest = r.Daemon, min(r.TableVersion, r.OldestVersion)
	h.leasedUntil = now + proto.WithDrift(LeaseTTL)
	l := Lease{TTLMs: LeaseTTL.Milliseconds(), Version: s.Version, Daemons: p.daemons(now)}
	l.Shares = p.limits.Deal(now, h.leasedUntil, r.Daemon.Host, r.Demand, s.Limits)
	if r.TableVersion != s.Version {
		l.Table = route.NewTable(s)
	}
	return l
}

func (p *Planner) daemons(now time.Duration) []route.Daemon {
	out := make([]route.Daemon, 0, len(p.hosts))
	for _, h := range p.hosts {
		if now < h.leasedUntil {
			out = append(out, h.daemon)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// Tick returns the commands that the state needs at the time now.
func (p *Planner) Tick(now time.Duration, s *model.State) []state.Command {
	cs := p.memberships(now, s)
	if len(cs) > 0 {
		return cs
	}
	return p.moves(now, s)
}

func (p *Planner) memberships(now time.Duration, s *model.State) []state.Command {
	var cs []state.Command
	for _, name := range sortedKeys(s.Upstreams) {
		u, l := s.Upstreams[name], p.upstreams[name]
		if l == nil && now < p.quietUntil {
			continue
		}
		if l == nil || now >= l.grantedUntil {
			cs = append(cs, state.Command{Remove: &state.Remove{Name: name, Incarnation: u.Incarnation}})
		}
	}
	for _, name := range sortedKeys(p.upstreams) {
		l := p.upstreams[name]
		if now >= l.grantedUntil {
			if _, ok := s.Upstreams[name]; !ok {
				delete(p.upstreams, name)
			}
			continue
		}
		if _, ok := s.Upstreams[name]; !ok && !l.draining {
			u := l.info
			cs = append(cs, state.Command{Register: &u})
		}
	}
	return cs
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
