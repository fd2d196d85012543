// Package owner implements the leader's planner. It tracks which upstreams and entry hosts are live, answers
// announcements with grants, issues routing leases and decides which ranges move. It performs no I/O.
package owner

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"baobabreach/internal/limit"
	"baobabreach/internal/model"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

const (
	// LeaseTTL is the default term of a routing lease. The entry host counts it from the moment it sent the renewal.
	LeaseTTL = 900 * time.Millisecond
	// RenewInterval is the time between two renewals of a routing lease.
	RenewInterval = 300 * time.Millisecond
	// movingAnnounceInterval is the announcement interval during moves. It shortens the wait for a release or a new
	// grant.
	movingAnnounceInterval = 25 * time.Millisecond
)

// Config configures a Planner.
type Config struct {
	// MaxMoves limits how many ranges may be in the process of being released by live owners.
	MaxMoves int
	// GrantTTL and AnnounceInterval are the grant term and announcement interval of the upstreams. Zero selects the
	// default of package proto.
	GrantTTL         time.Duration
	AnnounceInterval time.Duration
	// ReliableIncarnations is true where a newer incarnation of a name, or another name at the same address, proves that
	// the earlier process has ended. The ranges of that process are then free at once.
	ReliableIncarnations bool
	// SlowAnnouncements is true where upstreams announce themselves so rarely that a range may have to wait for the
	// next announcement of its new owner. The new owner is then chosen when the range is taken from the old one.
	SlowAnnouncements bool
	// LeaseTTL is the term of routing leases. Zero selects the package constant LeaseTTL.
	LeaseTTL time.Duration
	// FirstAssignmentDelay delays the first assignment of a service after the latest new upstream announced itself, so
	// that the others can announce themselves too.
	FirstAssignmentDelay time.Duration
	// History is the change history of the replica. Nil selects an empty one.
	History *History
}

func (c Config) withDefaults() Config {
	c.GrantTTL = cmp.Or(c.GrantTTL, proto.GrantTTL)
	c.LeaseTTL = cmp.Or(c.LeaseTTL, LeaseTTL)
	c.AnnounceInterval = cmp.Or(c.AnnounceInterval, proto.AnnounceInterval)
	if c.History == nil {
		c.History = &History{}
	}
	return c
}

// safeguards holds the waits that keep ownership exclusive. Tests disable them one at a time to show that each is
// needed.
type safeguards struct {
	// margin lengthens a duration that another host measures by its own clock.
	margin func(time.Duration) time.Duration
	// waitGrant, waitRoutingLeases and waitPredecessor enable the waits for old grants, for routing leases and for
	// what an earlier leader issued.
	waitGrant, waitRoutingLeases, waitPredecessor bool
}

// upstreamRecord is what the leader knows about the process behind an upstream name.
type upstreamRecord struct {
	info model.Upstream
	// grantedUntil is the time by which the last grant given to the upstream has certainly expired. It does not cover
	// ranges with the Home flag, whose grants do not expire.
	grantedUntil time.Duration
	// lastAnnouncedAt is when the latest announcement arrived. announced is false if the upstream is known only from the
	// state.
	lastAnnouncedAt time.Duration
	announced       bool
	draining        bool
	// replaced is true once a higher incarnation announced itself at the same address.
	replaced bool
	// removing is true once the removal was proposed. The removal may commit at any later time, so no grant is given.
	removing bool
	inFlight int
	// released holds the fences that the upstream gave back and whose ranges are still releasing, with the sequence number
	// of the announcement that shows it.
	released map[proto.Fence]uint64
	// inherited holds what is known about the grants of an earlier leader to this upstream, by epoch.
	inherited map[uint64]inheritedGrant
	// sequence is the sequence number of the last accepted announcement. Announcements to an earlier leader may have had
	// higher ones.
	sequence uint64
	// gone is true for an upstream that left without draining. Its grant is not renewed.
	gone bool
	// listsRows is true if the last announcement carried a list of rows, and holdsRows if it carried none or a list that is
	// not empty.
	listsRows, holdsRows bool
	// responseDeadline is the latest time for the response to the last announcement. It is in the past once the response
	// was given.
	responseDeadline time.Duration
	// answeredAt is when the last announcement was answered.
	answeredAt time.Duration
	// rows holds the rows granted in the answer to the last announcement.
	rows []proto.Row
	// successor is a newer incarnation that waits for the removal of this one.
	successor *model.Upstream
}

func newUpstreamRecord(info model.Upstream) *upstreamRecord {
	return &upstreamRecord{info: info, released: map[proto.Fence]uint64{}, inherited: map[uint64]inheritedGrant{}}
}

// matches reports whether the record describes the registered process.
func (r *upstreamRecord) matches(u model.Upstream) bool {
	return u.Incarnation == r.info.Incarnation && u.Address == r.info.Address
}

// entryHost is what the leader knows about an entry host that renewed its lease.
type entryHost struct {
	daemon      route.Daemon
	leasedUntil time.Duration
	// oldestVersion is the oldest table version that the host may still use.
	oldestVersion uint64
	// revision is the settings revision that new requests use.
	revision uint64
	load     route.Load
}

// timeSpan holds the times of the first and the last event of a series.
type timeSpan struct{ first, last time.Duration }

// Planner tracks upstreams and entry hosts and plans the commands that the state needs. It is not safe for concurrent
// use.
type Planner struct {
	cfg        Config
	safeguards safeguards
	upstreams  map[string]*upstreamRecord
	hosts      map[string]*entryHost
	// predecessorExpiry is the time by which every grant and lease of an earlier leader has expired.
	predecessorExpiry time.Duration
	// firstEpoch is the epoch of the first range that this leader assigns. Lower ones were granted by earlier leaders.
	firstEpoch uint64
	// discoveryEnd is the time by which every upstream that the earlier leader knew has announced itself or is gone.
	discoveryEnd time.Duration
	history      *History
	// seenVersion is the version of the last observed state.
	seenVersion uint64
	loads       loadTracker
	limits      *limit.Allocator
	index       rangeIndex
	daemons     daemonList
	ended       endedUpstreams
	handovers   handovers
	lastPass    planPass
	// nextOwner maps the ID of a range that is being moved to the name of the upstream that is to get it.
	nextOwner map[uint64]string
	// arrivals holds, by service, when the service's first and its latest upstream first announced themselves to this
	// leader.
	arrivals map[string]timeSpan
}

// discoveryIntervals is the number of announcement intervals within which all upstreams that are up announce
// themselves to a new leader.
const discoveryIntervals = 2

// New returns a planner for a leader elected at the time now.
func New(cfg Config, now time.Duration) *Planner {
	return newPlanner(cfg,
		safeguards{margin: proto.WithDrift, waitGrant: true, waitRoutingLeases: true, waitPredecessor: true}, now)
}

func newPlanner(cfg Config, guards safeguards, now time.Duration) *Planner {
	cfg = cfg.withDefaults()
	p := &Planner{
		cfg: cfg, safeguards: guards, upstreams: map[string]*upstreamRecord{}, hosts: map[string]*entryHost{},
		loads: newLoadTracker(), limits: limit.NewAllocator(now + guards.margin(max(cfg.GrantTTL, cfg.LeaseTTL))),
		ended: endedUpstreams{}, nextOwner: map[uint64]string{}, arrivals: map[string]timeSpan{}, history: cfg.History,
	}
	if guards.waitPredecessor {
		p.predecessorExpiry = now + guards.margin(max(cfg.GrantTTL, cfg.LeaseTTL))
	}
	p.discoveryEnd = p.predecessorExpiry
	if cfg.SlowAnnouncements {
		// Grants are long here. An upstream that did not announce itself within these intervals is probably lost.
		p.discoveryEnd = min(p.discoveryEnd, now+cfg.AnnounceInterval*discoveryIntervals)
	}
	return p
}

// Announce handles an announcement received at the time now and returns the grant according to the committed state.
func (p *Planner) Announce(now time.Duration, s *model.State, an proto.Announcement) (proto.Grant, *proto.Error) {
	p.observe(s)
	info := model.Upstream{
		Name: an.Name, Incarnation: an.Incarnation, Address: an.Address, DataCentre: an.DataCentre,
		Service: an.Service, Slots: an.Slots, ChecksGrants: an.ChecksGrants,
	}
	if p.hasEnded(s, info) {
		return p.answerEnded(an)
	}
	if p.isForeign(s, info) {
		g := p.emptyGrant()
		g.Leaving = an.Draining || an.Gone
		return g, nil
	}
	rec, err := p.recordFor(now, s, info)
	if err != nil {
		return proto.Grant{}, err
	}
	if p.cfg.ReliableIncarnations {
		p.endEarlierProcesses(now, s, info)
	}
	if rec.info.Incarnation != info.Incarnation || rec.removing {
		// The earlier incarnation, or this one after a long silence, must be removed from the state first.
		return p.emptyGrant(), nil
	}
	if an.Sequence > 0 && an.Sequence <= rec.sequence {
		return proto.Grant{}, proto.NotRun(proto.CodeSuperseded, http.StatusConflict,
			"announcement %d of upstream %s came after %d", an.Sequence, an.Name, rec.sequence)
	}
	rec.sequence = an.Sequence
	p.recordAnnouncement(now, s, rec, an)
	rec.responseDeadline = now + MaxResponseDelay
	g := p.grant(now, s, rec, an)
	rec.rows = g.Rows
	p.setAwaiting(now, s, rec, &g)
	return g, nil
}

// isForeign reports whether a process that is not known yet announces a service that does not exist. Nothing is sent to it,
// and it proves nothing about the upstreams of its name or address.
func (p *Planner) isForeign(s *model.State, info model.Upstream) bool {
	if _, exists := s.Services[info.Service]; exists || len(s.Services) == 0 || !p.cfg.ReliableIncarnations {
		return false
	}
	rec := p.upstreams[info.Name]
	return rec == nil || rec.info.Incarnation != info.Incarnation
}

// Regrant returns the grant for an announcement that was already handled, according to a state that has changed
// since.
func (p *Planner) Regrant(now time.Duration, s *model.State, an proto.Announcement) proto.Grant {
	p.observe(s)
	rec := p.upstreams[an.Name]
	if rec == nil || rec.info.Incarnation != an.Incarnation || rec.sequence != an.Sequence {
		return p.emptyGrant()
	}
	g := p.grant(now, s, rec, an)
	p.setAwaiting(now, s, rec, &g)
	return g
}

// setAwaiting sets g.Awaiting, which delays the answer to the announcement.
func (p *Planner) setAwaiting(now time.Duration, s *model.State, rec *upstreamRecord, g *proto.Grant) {
	g.Awaiting = slices.Equal(rec.rows, g.Rows) && p.awaitsRange(now, s, rec)
	rec.rows = g.Rows
	rec.answeredAt = now
	if !g.Awaiting {
		rec.responseDeadline = now
	}
}

func (p *Planner) emptyGrant() proto.Grant {
	return proto.Grant{
		TTLMs: p.cfg.GrantTTL.Milliseconds(), NextMs: movingAnnounceInterval.Milliseconds(), Fences: []proto.Fence{},
	}
}

// recordAnnouncement updates the upstream's record from its announcement.
func (p *Planner) recordAnnouncement(now time.Duration, s *model.State, rec *upstreamRecord, an proto.Announcement) {
	rec.gone = rec.gone || an.Gone
	if !rec.gone {
		rec.grantedUntil = max(rec.grantedUntil, now+p.safeguards.margin(p.cfg.GrantTTL))
	}
	if !rec.announced {
		span, ok := p.arrivals[rec.info.Service]
		if !ok {
			span.first = now
		}
		span.last = now
		p.arrivals[rec.info.Service] = span
	}
	rec.lastAnnouncedAt, rec.announced = max(rec.lastAnnouncedAt, now), true
	rec.draining = rec.draining || an.Draining || an.Gone
	rec.inFlight = an.InFlight
	for _, f := range an.Released {
		rec.released[f] = an.Sequence
	}
	rec.listsRows = an.Rows != nil
	rec.holdsRows = !rec.listsRows || len(*an.Rows) > 0
	p.handovers.add(rec.info.Service, an.Handovers)
	if rec.listsRows {
		p.recordReleased(s, rec, an)
	}
}

// recordFor returns the record of the announced name, or an error if the announcement is refused. A record with a
// lower incarnation than the announced one means that the announced process has to wait.
func (p *Planner) recordFor(now time.Duration, s *model.State, info model.Upstream) (*upstreamRecord, *proto.Error) {
	rec := p.upstreams[info.Name]
	if rec == nil {
		rec = newUpstreamRecord(info)
		p.upstreams[info.Name] = rec
		return rec, nil
	}
	switch {
	case info.Incarnation < rec.info.Incarnation, info.Incarnation == rec.info.Incarnation && rec.replaced:
		return nil, proto.NotRun(proto.CodeSuperseded, http.StatusConflict,
			"upstream %s has a newer incarnation than %d", info.Name, info.Incarnation)
	case info.Address == rec.info.Address:
		// An address can be bound only once, so the earlier process has ended. Its grant is waited out nevertheless,
		// because requests that it accepted may still run while it stops.
		rec.replaced = rec.replaced || info.Incarnation > rec.info.Incarnation
		return rec, nil
	case p.cfg.ReliableIncarnations && info.Incarnation > rec.info.Incarnation:
		rec.replaced = true
		return rec, nil
	case p.cfg.ReliableIncarnations:
		rec.info.Address = info.Address
		return rec, nil
	}
	_, registered := s.Upstreams[info.Name]
	if registered || now < rec.grantedUntil {
		return nil, proto.NotRun(proto.CodeNameInUse, http.StatusConflict,
			"upstream %s is in use by incarnation %d at %s", info.Name, rec.info.Incarnation, rec.info.Address)
	}
	rec = newUpstreamRecord(info)
	p.upstreams[info.Name] = rec
	return rec, nil
}

// homeGrantTTL is the term of a grant that covers only ranges with the Home flag. These are never taken from a holder
// that did not give them back, so the expiry of the grant protects nothing.
const homeGrantTTL = 24 * time.Hour

func (p *Planner) grant(now time.Duration, s *model.State, rec *upstreamRecord, an proto.Announcement) proto.Grant {
	g := p.emptyGrant()
	g.NextMs = p.cfg.AnnounceInterval.Milliseconds()
	registered, ok := s.Upstreams[rec.info.Name]
	if !ok || !rec.matches(registered) {
		g.Drained, g.Leaving = rec.draining, rec.draining
		g.NextMs = movingAnnounceInterval.Milliseconds()
		return g
	}
	if an.Rows != nil {
		g.Rows = []proto.Row{}
	}
	owned, homeOwned := 0, 0
	for _, i := range p.index.ownedBy(s, registered.Name) {
		a := &s.Ranges[i]
		if !a.OwnedBy(registered) {
			continue
		}
		owned++
		if a.Home {
			homeOwned++
		}
		if a.Phase == model.PhaseHeld {
			p.addRange(&g, a, an)
			p.recordRenewal(now, rec, a)
			continue
		}
		g.NextMs = movingAnnounceInterval.Milliseconds()
		// An upstream that runs whatever it receives may report the end of its requests only once no entry host can
		// send it another one.
		if registered.ChecksGrants || p.olderTablesUnused(now, a.TakenAt) {
			g.Releasing = append(g.Releasing, a.Fence())
		}
	}
	g.Rows = shortenRows(g.Rows)
	if owned > 0 && homeOwned == owned {
		g.TTLMs = homeGrantTTL.Milliseconds()
	}
	g.Leaving = registered.LeavingSince > 0
	g.Drained = owned == 0 && p.mustDrain(s, registered) &&
		(!rec.draining || (registered.LeavingSince > 0 && p.olderTablesUnused(now, registered.LeavingSince)))
	return g
}

// addRange adds a held range to a grant, in Rows if the announcement reports rows and in Fences otherwise.
func (p *Planner) addRange(g *proto.Grant, a *model.Assignment, an proto.Announcement) {
	if an.Rows != nil {
		g.Rows = p.handovers.appendRows(g.Rows, a, *an.Rows)
		return
	}
	g.Fences = append(g.Fences, a.Fence())
}

// mustDrain reports whether the upstream must lose its ranges.
func (p *Planner) mustDrain(s *model.State, u model.Upstream) bool {
	rec := p.upstreams[u.Name]
	announced := rec != nil && rec.info.Incarnation == u.Incarnation && rec.draining
	return announced || u.LeavingSince > 0 || s.Drained[u.Name] || s.StoppedDCs[u.DataCentre]
}

// Renew handles a lease renewal received at the time now.
func (p *Planner) Renew(now time.Duration, s *model.State, r Renewal) Lease {
	p.observe(s)
	h := p.hosts[r.Daemon.Host]
	if h == nil {
		h = &entryHost{}
		p.hosts[r.Daemon.Host] = h
	}
	h.daemon, h.oldestVersion = r.Daemon, min(r.TableVersion, r.OldestVersion)
	if r.Load != nil {
		h.load = *r.Load
	}
	h.revision = r.Revision
	h.leasedUntil = max(h.leasedUntil, now+p.safeguards.margin(p.cfg.LeaseTTL))
	lease := Lease{TTLMs: p.cfg.LeaseTTL.Milliseconds(), Version: s.Version}
	daemons, hash := p.liveDaemons(now, h)
	if r.Compact {
		lease.HostCount = len(daemons)
	} else if hash != r.DaemonsSum {
		lease.Daemons = daemons
	}
	lease.Shares = p.limits.Allocate(now, h.leasedUntil, r.Daemon.Host, r.Demand, s.Limits)
	if r.TableVersion < s.Version {
		lease.Table, lease.Delta = p.history.changesSince(s, r.TableVersion)
	}
	return lease
}

// olderTablesUnused reports whether no entry host can still route by a table older than version.
func (p *Planner) olderTablesUnused(now time.Duration, version uint64) bool {
	if !p.safeguards.waitRoutingLeases {
		return true
	}
	if now < p.predecessorExpiry {
		return false
	}
	for _, h := range p.hosts {
		if now < h.leasedUntil && h.oldestVersion < version {
			return false
		}
	}
	return true
}

// Tick returns the commands that the state needs at the time now.
func (p *Planner) Tick(now time.Duration, s *model.State) []state.Command {
	p.observe(s)
	p.prune(now, s)
	// membershipChanges runs first because planMoves has to know which upstreams are being removed. The moves come
	// first in the batch, so that a releasing range of a lost owner gets its new owner in the same commit.
	membership := p.membershipChanges(now, s)
	p.loads.refresh(now, p.hosts)
	return slices.Concat(p.planMoves(now, s), membership, p.recordEnds(s))
}

// observe records a new version of the state.
func (p *Planner) observe(s *model.State) {
	if s.Version <= p.seenVersion && p.seenVersion > 0 {
		return
	}
	if p.seenVersion == 0 {
		p.firstEpoch = s.NextEpoch
	}
	p.seenVersion = s.Version
	p.history.Observe(s)
	for name, u := range s.Upstreams {
		if p.upstreams[name] == nil {
			p.upstreams[name] = newUpstreamRecord(u)
			p.upstreams[name].grantedUntil = p.predecessorExpiry
		}
	}
}

// prune drops hosts without a lease, the chosen next owners of ranges that no longer exist, and released fences whose
// ranges are no longer releasing.
func (p *Planner) prune(now time.Duration, s *model.State) {
	maps.DeleteFunc(p.hosts, func(_ string, h *entryHost) bool { return now >= h.leasedUntil })
	releasing, existing := map[proto.Fence]bool{}, map[uint64]bool{}
	for i := range s.Ranges {
		if s.Ranges[i].Phase == model.PhaseReleasing {
			releasing[s.Ranges[i].Fence()] = true
		}
		if _, ok := p.nextOwner[s.Ranges[i].ID]; ok {
			existing[s.Ranges[i].ID] = true
		}
	}
	maps.DeleteFunc(p.nextOwner, func(id uint64, _ string) bool { return !existing[id] })
	for _, rec := range p.upstreams {
		maps.DeleteFunc(rec.released, func(f proto.Fence, _ uint64) bool { return !releasing[f] })
	}
}

// membershipChanges returns the commands that register upstreams, remove them or mark them as leaving.
func (p *Planner) membershipChanges(now time.Duration, s *model.State) []state.Command {
	var cs []state.Command
	home := homeHolders(s)
	for _, name := range sortedKeys(p.upstreams) {
		rec := p.upstreams[name]
		if u, ok := s.Upstreams[name]; ok {
			cs = append(cs, p.removeOrLeave(now, rec, u, home[name])...)
			continue
		}
		switch {
		case rec.successor != nil:
			p.upstreams[name] = newUpstreamRecord(*rec.successor)
			p.upstreams[name].grantedUntil = now + p.safeguards.margin(p.cfg.GrantTTL)
			cs = append(cs, state.Command{Register: rec.successor})
		case now >= rec.grantedUntil || rec.removing || rec.replaced || s.HasEnded(name, rec.info.Incarnation):
			delete(p.upstreams, name)
		case !rec.draining:
			cs = append(cs, state.Command{Register: &rec.info})
		}
	}
	return cs
}

// removeOrLeave returns the command that removes a registered upstream or marks it as leaving, if either is due.
func (p *Planner) removeOrLeave(now time.Duration, rec *upstreamRecord, u model.Upstream, home bool) []state.Command {
	// A record that differs from the state replaced a record that never received a grant.
	differs := u.Incarnation != rec.info.Incarnation || u.Address != rec.info.Address
	ended := differs || (now >= rec.grantedUntil && (rec.replaced || !home))
	switch {
	case ended || rec.removing:
		rec.removing = true
		return []state.Command{{Remove: &state.Remove{
			Name: u.Name, Incarnation: u.Incarnation, LossConfirmed: rec.replaced || differs,
		}}}
	case rec.draining && u.LeavingSince == 0:
		return []state.Command{{Leave: &state.Leave{Name: u.Name, Incarnation: u.Incarnation}}}
	}
	return nil
}

// homeHolders returns the names of the upstreams that own a range with the Home flag.
func homeHolders(s *model.State) map[string]bool {
	out := map[string]bool{}
	for i := range s.Ranges {
		if a := &s.Ranges[i]; a.Home {
			out[a.Owner] = true
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
