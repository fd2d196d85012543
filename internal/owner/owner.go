// Package owner is the leader's planner: it knows which upstreams and entry hosts are live, answers announcements
// with grants, gives routing leases and decides which ranges move. It performs no I/O.
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
	// LeaseTTL is counted by the entry host from the moment it sent its renewal.
	LeaseTTL = 900 * time.Millisecond
	// RenewInterval is the time between two renewals of a routing lease.
	RenewInterval = 300 * time.Millisecond
	// movingAnnounceInterval shortens the wait for a release or a new grant during moves.
	movingAnnounceInterval = 25 * time.Millisecond
)

// Config configures a Planner.
type Config struct {
	// MaxMoves bounds the ranges that are being taken from live owners at once.
	MaxMoves int
	// GrantTTL and AnnounceInterval are the timing of the upstreams; zero values stand for that of package proto.
	GrantTTL         time.Duration
	AnnounceInterval time.Duration
	// ReliableIncarnations is true where a newer incarnation of a name, or another name at an address, proves that the earlier
	// process has ended. Its ranges are then free at once.
	ReliableIncarnations bool
	// SlowAnnouncements is true where upstreams announce themselves so rarely that the answer to the next owner of a
	// range waits for it. That owner is then chosen when the range is taken.
	SlowAnnouncements bool
	// LeaseTTL is the term of routing leases; zero stands for the constant of that name.
	LeaseTTL time.Duration
	// FirstAssignmentDelay delays the first assignment of a service after the last new upstream was heard, so that the others can
	// be heard too.
	FirstAssignmentDelay time.Duration
	// History is that of the replica; nil stands for a new one.
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

// timing holds the waits that keep owners exclusive. Tests take single ones out to show that they are needed.
type timing struct {
	// margin lengthens a time that another host counts by its own clock.
	margin func(time.Duration) time.Duration
	// waitGrant, waitRoutes and waitPredecessor enable the waits for old grants, for routing leases and for what an
	// earlier leader issued.
	waitGrant, waitRoutes, waitPredecessor bool
}

type liveness struct {
	info model.Upstream
	// grantedUntil is when the last grant given to the upstream has surely ended. It doesn't cover ranges with the
	// Home mark, whose grants have no end.
	grantedUntil time.Duration
	// heard is when the last announcement arrived; false in known means that only the state names the upstream.
	heard    time.Duration
	known    bool
	draining bool
	// replaced is true once a higher incarnation announced itself at the same address.
	replaced bool
	// removing is true once the removal was proposed. It may commit at any later time, so no grant is given.
	removing bool
	inFlight int
	// released holds the fences given back whose ranges are still releasing.
	released map[proto.Fence]bool
	// sequence is that of the last announcement in order.
	sequence uint64
	// gone is true for an upstream that left without draining; its grant is not renewed.
	gone bool
	// holding is true if the last announcement listed rows, or did not tell.
	holding bool
	// presentUntil is when the answer to the last announcement is given at the latest; in the past once it was given.
	presentUntil time.Duration
	// answered is when the last announcement was answered.
	answered time.Duration
	// rows are those of the answer to the last announcement.
	rows []proto.Row
	// next is a newer incarnation that waits for the removal of this one.
	next *model.Upstream
}

// is tells whether the record is of the registered process.
func (l *liveness) is(u model.Upstream) bool {
	return u.Incarnation == l.info.Incarnation && u.Address == l.info.Address
}

type entryHost struct {
	daemon      route.Daemon
	leasedUntil time.Duration
	// oldest is the oldest table version that the host may still use.
	oldest uint64
	// revision is the settings revision that new requests use.
	revision uint64
	load     route.Load
}

// span is a time between two moments.
type span struct{ first, last time.Duration }

// Planner is not safe for concurrent use.
type Planner struct {
	cfg       Config
	timing    timing
	upstreams map[string]*liveness
	hosts     map[string]*entryHost
	// quietUntil is when every grant and lease of an earlier leader has ended.
	quietUntil time.Duration
	// settledAt is when every upstream that the earlier leader knew has announced itself or is gone.
	settledAt time.Duration
	history   *History
	// seen is the version of the last state that was looked at.
	seen      uint64
	load      load
	limits    *limit.Allocator
	index     rangeIndex
	list      daemonList
	lives     lives
	handovers handovers
	lookedAt  look
	// incoming maps a range that is being taken from its owner to the upstream that is to get it.
	incoming map[uint64]string
	// heard is when the first and the latest upstream of a service were first heard by this leader.
	heard map[string]span
}

// settledBeats is the number of announcement intervals in which all upstreams that are up are heard by a new leader.
const settledBeats = 2

// New returns a planner that has just become the leader at the time now.
func New(cfg Config, now time.Duration) *Planner {
	return newPlanner(cfg, timing{margin: proto.WithDrift, waitGrant: true, waitRoutes: true, waitPredecessor: true}, now)
}

func newPlanner(cfg Config, t timing, now time.Duration) *Planner {
	cfg = cfg.withDefaults()
	p := &Planner{
		cfg: cfg, timing: t, upstreams: map[string]*liveness{}, hosts: map[string]*entryHost{}, load: newLoad(),
		limits: limit.NewAllocator(now + t.margin(max(cfg.GrantTTL, cfg.LeaseTTL))), lives: newLives(),
		incoming: map[uint64]string{}, heard: map[string]span{}, history: cfg.History,
	}
	if t.waitPredecessor {
		p.quietUntil = now + t.margin(max(cfg.GrantTTL, cfg.LeaseTTL))
	}
	p.settledAt = p.quietUntil
	if cfg.SlowAnnouncements {
		// Grants are long, and those that have not been heard in such a time are probably lost.
		p.settledAt = min(p.settledAt, now+cfg.AnnounceInterval*settledBeats)
	}
	return p
}

// Announce handles an announcement received at the time now and returns the grant by the committed state.
func (p *Planner) Announce(now time.Duration, s *model.State, a proto.Announcement) (proto.Grant, *proto.Error) {
	p.observe(s)
	info := model.Upstream{
		Name: a.Name, Incarnation: a.Incarnation, Address: a.Address, DataCentre: a.DataCentre,
		Service: a.Service, Slots: a.Slots, ChecksGrants: a.ChecksGrants,
	}
	if err := p.lives.admit(info); err != nil {
		return proto.Grant{}, err
	}
	l, err := p.admitName(now, s, info)
	if err != nil {
		return proto.Grant{}, err
	}
	if p.cfg.ReliableIncarnations {
		p.endEarlierLives(now, s, info)
	}
	if l.info.Incarnation != info.Incarnation || l.removing {
		// The earlier incarnation, or this one after a long silence, must be removed from the state first.
		return p.emptyGrant(), nil
	}
	if a.Sequence > 0 && a.Sequence <= l.sequence {
		return proto.Grant{}, proto.NotRun(proto.CodeSuperseded, http.StatusConflict,
			"announcement %d of upstream %s came after %d", a.Sequence, a.Name, l.sequence)
	}
	l.sequence = a.Sequence
	p.hear(now, s, l, a)
	l.presentUntil = now + MaxAnswerDelay
	g := p.grant(now, s, l, a)
	l.rows = g.Rows
	p.settle(now, s, l, &g)
	return g, nil
}

// Regrant returns the grant for an announcement that was heard before, by a state that has changed since then.
func (p *Planner) Regrant(now time.Duration, s *model.State, a proto.Announcement) proto.Grant {
	p.observe(s)
	l := p.upstreams[a.Name]
	if l == nil || l.info.Incarnation != a.Incarnation || l.sequence != a.Sequence {
		return p.emptyGrant()
	}
	g := p.grant(now, s, l, a)
	p.settle(now, s, l, &g)
	return g
}

// settle decides whether the answer is kept back.
func (p *Planner) settle(now time.Duration, s *model.State, l *liveness, g *proto.Grant) {
	g.Awaiting = slices.Equal(l.rows, g.Rows) && p.awaits(now, s, l)
	l.rows = g.Rows
	l.answered = now
	if !g.Awaiting {
		l.presentUntil = now
	}
}

// Depart handles the farewell of an upstream that is about to end. It returns true once no entry host gets a table
// any more from which it would send work there. What the upstream still holds stays its own until its grant ends.
func (p *Planner) Depart(now time.Duration, s *model.State, name string) bool {
	p.observe(s)
	l := p.upstreams[name]
	if l == nil {
		return true
	}
	p.lives.end(l.info)
	l.draining, l.gone = true, true
	if l.known && !l.holding && len(l.rows) == 0 {
		l.grantedUntil = min(l.grantedUntil, now)
	}
	u, ok := s.Upstreams[name]
	return !ok || u.LeavingSince > 0
}

func (p *Planner) emptyGrant() proto.Grant {
	return proto.Grant{
		TTLMs: p.cfg.GrantTTL.Milliseconds(), NextMs: movingAnnounceInterval.Milliseconds(), Fences: []proto.Fence{},
	}
}

// hear takes note of what an upstream says of itself.
func (p *Planner) hear(now time.Duration, s *model.State, l *liveness, a proto.Announcement) {
	l.gone = l.gone || a.Gone
	if !l.gone {
		l.grantedUntil = max(l.grantedUntil, now+p.timing.margin(p.cfg.GrantTTL))
	}
	if !l.known {
		h, ok := p.heard[l.info.Service]
		if !ok {
			h.first = now
		}
		h.last = now
		p.heard[l.info.Service] = h
	}
	l.heard, l.known = max(l.heard, now), true
	l.draining = l.draining || a.Draining || a.Gone
	l.inFlight = a.InFlight
	for _, f := range a.Released {
		l.released[f] = true
	}
	l.holding = a.Rows == nil || len(*a.Rows) > 0
	p.handovers.add(l.info.Service, a.Handovers)
	if a.Rows != nil {
		p.noteReleased(s, l, *a.Rows)
	}
}

// noteReleased finds the ranges that the upstream no longer holds. The upstream sends its next announcement only after
// it got or gave up on the answer to the last one, so nothing granted earlier is still on its way.
func (p *Planner) noteReleased(s *model.State, l *liveness, rows []proto.Row) {
	for _, i := range p.index.of(s, l.info.Name) {
		a := &s.Ranges[i]
		if a.Phase != model.PhaseReleasing || a.Incarnation != l.info.Incarnation {
			continue
		}
		if !slices.ContainsFunc(rows, func(r proto.Row) bool { return r.Overlaps(a.First, a.Last) }) {
			l.released[a.Fence()] = true
		}
	}
}

// admitName returns the record of the name. A record of a lower incarnation means that the announced one waits.
func (p *Planner) admitName(now time.Duration, s *model.State, info model.Upstream) (*liveness, *proto.Error) {
	l := p.upstreams[info.Name]
	if l == nil {
		l = &liveness{info: info, released: map[proto.Fence]bool{}}
		p.upstreams[info.Name] = l
		return l, nil
	}
	switch {
	case info.Incarnation < l.info.Incarnation, info.Incarnation == l.info.Incarnation && l.replaced:
		return nil, proto.NotRun(proto.CodeSuperseded, http.StatusConflict,
			"upstream %s has a newer incarnation than %d", info.Name, info.Incarnation)
	case info.Address == l.info.Address:
		// The address can be bound once, so the earlier process has ended. Its grant is waited out all the same,
		// because requests that it accepted may still run while it stops.
		l.replaced = l.replaced || info.Incarnation > l.info.Incarnation
		return l, nil
	case p.cfg.ReliableIncarnations && info.Incarnation > l.info.Incarnation:
		l.replaced = true
		return l, nil
	case p.cfg.ReliableIncarnations:
		l.info.Address = info.Address
		return l, nil
	}
	_, registered := s.Upstreams[info.Name]
	if registered || now < l.grantedUntil {
		return nil, proto.NotRun(proto.CodeNameInUse, http.StatusConflict,
			"upstream %s is in use by incarnation %d at %s", info.Name, l.info.Incarnation, l.info.Address)
	}
	l = &liveness{info: info, released: map[proto.Fence]bool{}}
	p.upstreams[info.Name] = l
	return l, nil
}

// endlessTTL is the term of a grant that holds only ranges with the Home mark. They are never taken from a holder
// that did not give them back, so the end of the grant protects nothing.
const endlessTTL = 24 * time.Hour

func (p *Planner) grant(now time.Duration, s *model.State, l *liveness, an proto.Announcement) proto.Grant {
	g := p.emptyGrant()
	g.NextMs = p.cfg.AnnounceInterval.Milliseconds()
	registered, ok := s.Upstreams[l.info.Name]
	if !ok || !l.is(registered) {
		g.Drained, g.Leaving = l.draining, l.draining
		g.NextMs = movingAnnounceInterval.Milliseconds()
		return g
	}
	if an.Rows != nil {
		g.Rows = []proto.Row{}
	}
	owned, home := 0, 0
	for _, i := range p.index.of(s, registered.Name) {
		a := &s.Ranges[i]
		if !a.OwnedBy(registered) {
			continue
		}
		owned++
		if a.Home {
			home++
		}
		if a.Phase == model.PhaseHeld {
			p.hold(&g, a, an)
			continue
		}
		g.NextMs = movingAnnounceInterval.Milliseconds()
		// An upstream that runs whatever it receives may report the end of its requests only after no entry host can
		// send it another one.
		if registered.ChecksGrants || p.unused(now, a.TakenAt) {
			g.Releasing = append(g.Releasing, a.Fence())
		}
	}
	if owned > 0 && home == owned {
		g.TTLMs = endlessTTL.Milliseconds()
	}
	g.Leaving = registered.LeavingSince > 0
	g.Drained = owned == 0 && p.leaving(s, registered) &&
		(!l.draining || (registered.LeavingSince > 0 && p.unused(now, registered.LeavingSince)))
	return g
}

// hold adds a held range to a grant in the form that the upstream understands.
func (p *Planner) hold(g *proto.Grant, a *model.Assignment, an proto.Announcement) {
	if an.Rows != nil {
		g.Rows = p.handovers.appendRows(g.Rows, a, *an.Rows)
		return
	}
	g.Fences = append(g.Fences, a.Fence())
}

// leaving tells whether the upstream must lose its ranges.
func (p *Planner) leaving(s *model.State, u model.Upstream) bool {
	l := p.upstreams[u.Name]
	announced := l != nil && l.info.Incarnation == u.Incarnation && l.draining
	return announced || u.LeavingSince > 0 || s.Drained[u.Name] || s.StoppedDCs[u.DataCentre]
}

// Renew handles a renewal received at the time now.
func (p *Planner) Renew(now time.Duration, s *model.State, r Renewal) Lease {
	p.observe(s)
	h := p.hosts[r.Daemon.Host]
	if h == nil {
		h = &entryHost{}
		p.hosts[r.Daemon.Host] = h
	}
	h.daemon, h.oldest = r.Daemon, min(r.TableVersion, r.OldestVersion)
	if r.Load != nil {
		h.load = *r.Load
	}
	h.revision = r.Revision
	h.leasedUntil = max(h.leasedUntil, now+p.timing.margin(p.cfg.LeaseTTL))
	l := Lease{TTLMs: p.cfg.LeaseTTL.Milliseconds(), Version: s.Version}
	ds, sum := p.liveDaemons(now, h)
	if r.Compact {
		l.HostCount = len(ds)
	} else if sum != r.DaemonsSum {
		l.Daemons = ds
	}
	l.Shares = p.limits.Allocate(now, h.leasedUntil, r.Daemon.Host, r.Demand, s.Limits)
	if r.TableVersion < s.Version {
		l.Table, l.Delta = p.history.since(s, r.TableVersion)
	}
	return l
}

// unused tells whether no entry host may still route by a table older than the version.
func (p *Planner) unused(now time.Duration, version uint64) bool {
	if !p.timing.waitRoutes {
		return true
	}
	if now < p.quietUntil {
		return false
	}
	for _, h := range p.hosts {
		if now < h.leasedUntil && h.oldest < version {
			return false
		}
	}
	return true
}

// Tick returns the commands that the state needs at the time now.
func (p *Planner) Tick(now time.Duration, s *model.State) []state.Command {
	p.observe(s)
	p.forget(now, s)
	// The moves know which upstreams are being removed. They come first in the batch, so that a releasing range of a
	// lost owner gets its new one in the same commit.
	leaving := p.memberships(now, s)
	p.load.refresh(now, p.hosts)
	return append(p.moves(now, s), leaving...)
}

// observe takes note of a new state.
func (p *Planner) observe(s *model.State) {
	if s.Version <= p.seen && p.seen > 0 {
		return
	}
	p.seen = s.Version
	p.history.Observe(s)
	for name, u := range s.Upstreams {
		if p.upstreams[name] == nil {
			p.upstreams[name] = &liveness{info: u, grantedUntil: p.quietUntil, released: map[proto.Fence]bool{}}
		}
	}
}

// forget drops what no longer matters: hosts without a lease and fences whose ranges have moved on.
func (p *Planner) forget(now time.Duration, s *model.State) {
	maps.DeleteFunc(p.hosts, func(_ string, h *entryHost) bool { return now >= h.leasedUntil })
	kept, present := map[proto.Fence]bool{}, map[uint64]bool{}
	for i := range s.Ranges {
		if s.Ranges[i].Phase == model.PhaseReleasing {
			kept[s.Ranges[i].Fence()] = true
		}
		if _, ok := p.incoming[s.Ranges[i].ID]; ok {
			present[s.Ranges[i].ID] = true
		}
	}
	maps.DeleteFunc(p.incoming, func(id uint64, _ string) bool { return !present[id] })
	for _, l := range p.upstreams {
		maps.DeleteFunc(l.released, func(f proto.Fence, _ bool) bool { return !kept[f] })
	}
}

func (p *Planner) memberships(now time.Duration, s *model.State) []state.Command {
	var cs []state.Command
	home := homeHolders(s)
	for _, name := range sortedKeys(p.upstreams) {
		l := p.upstreams[name]
		if u, ok := s.Upstreams[name]; ok {
			cs = append(cs, p.keepOrRemove(now, l, u, home[name])...)
			continue
		}
		switch {
		case l.next != nil:
			p.upstreams[name] = &liveness{
				info: *l.next, released: map[proto.Fence]bool{}, grantedUntil: now + p.timing.margin(p.cfg.GrantTTL),
			}
			cs = append(cs, state.Command{Register: l.next})
		case now >= l.grantedUntil || l.removing || l.replaced:
			delete(p.upstreams, name)
		case !l.draining:
			cs = append(cs, state.Command{Register: &l.info})
		}
	}
	return cs
}

// keepOrRemove returns what the state has to learn of a registered upstream.
func (p *Planner) keepOrRemove(now time.Duration, l *liveness, u model.Upstream, home bool) []state.Command {
	// A record that differs from the state replaced one that was never granted anything.
	other := u.Incarnation != l.info.Incarnation || u.Address != l.info.Address
	ended := other || (now >= l.grantedUntil && (l.replaced || !home))
	switch {
	case ended || l.removing:
		l.removing = true
		return []state.Command{{Remove: &state.Remove{Name: u.Name, Incarnation: u.Incarnation, LossConfirmed: l.replaced || other}}}
	case l.draining && u.LeavingSince == 0:
		return []state.Command{{Leave: &state.Leave{Name: u.Name, Incarnation: u.Incarnation}}}
	}
	return nil
}

// homeHolders returns the upstreams that own a range with the Home mark.
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
