package owner_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/owner"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/grant"
	"baobabreach/pkg/proto"
)

const (
	ms       = time.Millisecond
	maxMoves = 8
	// leaderLease is the raft leader lease: 300 ms less the margin for clock drift.
	leaderLease = 294 * ms
)

// withoutOrder disables the safeguard of the holder: it forgets the fences it gave back and the order of answers.
const withoutOrder = "order"

// clock runs at its own rate, within the drift margin relative to every other clock.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Duration { return c.offset + time.Duration(float64(t)*c.rate) }

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// process is one process of an upstream.
type process struct {
	clock
	info proto.Announcement
	held *grant.Holder
	dead bool
	// replaced is true if the process has a successor at its address.
	replaced     bool
	paused       bool
	deferred     []func()
	nextAnnounce time.Duration
	// silent is true if the process runs but has lost its network.
	silent bool
}

type request struct {
	host  *host
	to    *process
	fence proto.Fence
	hash  uint64
	done  func()
	ended bool
}

type host struct {
	clock
	daemon       route.Daemon
	view         *route.View
	disconnected bool
	hotKey       uint64
}

type leader struct {
	clock
	planner    *owner.Planner
	model      *model.State
	leadsUntil time.Duration
	deposed    bool
	pending    [][]state.Command
	committing bool
}

type hashSpan struct{ first, last uint64 }

// sim drives the planner, the state machine, views and holders over a faulty network in simulated true time. A single
// state machine stands for the replicated log; the guarantees of consensus are assumed.
type sim struct {
	r         *rand.Rand
	now       time.Duration
	seq       int
	queue     events
	machine   *state.Machine
	index     uint64
	leaders   []*leader
	processes []*process
	hosts     []*host
	running   []*request
	states    map[uint64]*model.State
	spans     map[proto.Fence]hashSpan
	drained   map[string]bool
	stopped   map[string]bool
	disabled  string
	lossless  bool
	faults    bool
	err       error
	splits    int
}

func newSim(seed uint64, disabled string) *sim {
	s := &sim{
		r: rand.New(rand.NewPCG(seed, 1)), machine: state.New(), disabled: disabled, states: map[uint64]*model.State{},
		spans: map[proto.Fence]hashSpan{}, drained: map[string]bool{}, stopped: map[string]bool{},
	}
	s.commit([]state.Command{
		{Service: &model.Service{Name: "checked", Keyed: true, Ranges: 8, PartitionPolicy: model.PartitionMajority}},
		{Service: &model.Service{Name: "loose", Keyed: true, Ranges: 4, PartitionPolicy: model.PartitionMajority}},
		{Service: &model.Service{Name: "home", Keyed: true, Ranges: 4, PartitionPolicy: model.PartitionHome}},
	})
	s.elect(0)
	for i := range 10 {
		service := []string{"checked", "loose", "checked", "home", "checked"}[i%5]
		s.start(proto.Announcement{
			Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: fmt.Sprintf("dc%d", i%3),
			Service: service, Slots: 3, Incarnation: 1, ChecksGrants: service != "loose",
		})
	}
	for i := range 3 {
		h := &host{clock: s.clock(), daemon: route.Daemon{Host: fmt.Sprintf("h%d", i)}, view: route.NewView()}
		s.hosts = append(s.hosts, h)
		s.every(func() time.Duration { s.renew(h); return owner.RenewInterval })
		s.every(func() time.Duration { s.request(h); return time.Duration(s.r.IntN(20)) * ms })
	}
	return s
}

func (s *sim) clock() clock {
	return clock{offset: time.Duration(s.r.IntN(1e6)) * ms, rate: 0.9902 + 0.0196*float64(s.r.IntN(3))/2}
}

func (s *sim) chance(percent int) bool { return s.r.IntN(100) < percent }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) every(run func() time.Duration) {
	var repeat func()
	repeat = func() { s.after(run(), repeat) }
	s.after(time.Duration(s.r.IntN(100))*ms, repeat)
}

// send delivers a message after a delay, or never. Under faults some messages are very late.
func (s *sim) send(run func()) {
	d := time.Duration(s.r.IntN(3000)) * time.Microsecond
	if s.faults && !s.lossless {
		if s.chance(5) {
			return
		}
		if s.chance(5) {
			d = time.Duration(s.r.IntN(1200)) * ms
		}
	}
	s.after(d, run)
}

func (s *sim) run(until time.Duration) {
	for s.err == nil && len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.cancelUnleased()
		e.run()
	}
	s.now = until
}

// elect replaces the leader. The old leader acts until its lease expires, and its open proposal may still commit.
func (s *sim) elect(wait time.Duration) {
	if n := len(s.leaders); n > 0 {
		old := s.leaders[n-1]
		if old.deposed {
			return
		}
		old.deposed, old.leadsUntil = true, s.now+time.Duration(float64(leaderLease)/old.rate)
		wait = max(wait, old.leadsUntil-s.now)
	}
	s.after(wait, func() {
		if n := len(s.leaders); n > 0 && s.chance(50) {
			for _, cs := range s.leaders[n-1].pending {
				s.commit(cs)
			}
		}
		c := s.clock()
		l := &leader{
			clock: c, planner: owner.NewWithout(s.disabled, owner.Config{MaxMoves: maxMoves}, c.at(s.now)),
			model: s.machine.Model(), leadsUntil: math.MaxInt64,
		}
		s.leaders = append(s.leaders, l)
		s.every(func() time.Duration { s.tick(l); return 20 * ms })
	})
}

func (l *leader) leads(now time.Duration) bool { return now < l.leadsUntil }

// leader returns a leader that a sender may reach, or nil.
func (s *sim) leader() *leader {
	n := len(s.leaders)
	if n == 0 {
		return nil
	}
	if n > 1 && s.leaders[n-2].leads(s.now) && s.chance(50) {
		return s.leaders[n-2]
	}
	return s.leaders[n-1]
}

// withOperatorSettings returns the model with the drains and data centre stops that operators requested.
func (s *sim) withOperatorSettings(m *model.State) *model.State {
	for n := range s.drained {
		m = m.WithDrained(n, true)
	}
	for n := range s.stopped {
		m = m.WithStoppedDC(n, true)
	}
	return m
}

func (s *sim) tick(l *leader) {
	if l.committing || !l.leads(s.now) {
		return
	}
	cs := l.planner.Tick(l.at(s.now), s.withOperatorSettings(l.model))
	if len(cs) == 0 {
		return
	}
	l.committing, l.pending = true, [][]state.Command{cs}
	s.after(time.Duration(1+s.r.IntN(12))*ms, func() {
		if l.deposed {
			return
		}
		s.commit(cs)
		l.model, l.committing, l.pending = s.machine.Model(), false, nil
	})
}

func (s *sim) commit(cs []state.Command) {
	old := s.machine.Model()
	s.index++
	b, _ := state.Encode(cs)
	rs, err := s.machine.Apply(s.index, b)
	if err != nil {
		s.err = err
	}
	for i, r := range rs {
		if r.Applied && cs[i].Split != nil {
			s.splits++
		}
	}
	m := s.machine.Model()
	s.states[m.Version] = m
	for _, a := range m.Ranges {
		s.spans[a.Fence()] = hashSpan{a.First, a.Last}
	}
	s.checkCoverage(old, m)
	s.checkExclusive()
	if s.chance(80) {
		for _, h := range s.hosts {
			s.renew(h)
		}
	}
}

func (s *sim) start(a proto.Announcement) *process {
	p := &process{clock: s.clock(), info: a, held: grant.NewHolder(), nextAnnounce: proto.AnnounceInterval}
	s.processes = append(s.processes, p)
	s.every(func() time.Duration { s.announce(p); return p.nextAnnounce })
	return p
}

// deliver runs f in the process, or after the pause if the process is paused. A dead process drops it.
func (p *process) deliver(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

func (s *sim) announce(p *process) {
	if p.dead || p.paused || p.silent {
		return
	}
	a, sentAt := p.info, p.at(s.now)
	a.Released = p.held.Released()
	s.send(func() {
		l := s.leader()
		if l == nil || !l.leads(s.now) {
			return
		}
		g, e := l.planner.Announce(l.at(s.now), s.withOperatorSettings(l.model), a)
		if e != nil {
			return
		}
		s.send(func() { p.deliver(func() { s.applyGrant(p, sentAt, g) }) })
	})
}

func (s *sim) applyGrant(p *process, sentAt time.Duration, g proto.Grant) {
	if s.disabled == withoutOrder {
		p.held = grant.NewHolder()
	}
	p.held.Take(p.at(s.now), sentAt, g)
	p.nextAnnounce = time.Duration(g.NextMs) * ms
	s.checkExclusive()
	if p.info.Draining && p.held.Drained() {
		p.dead = true
	}
}

func (s *sim) renew(h *host) {
	if h.disconnected {
		return
	}
	present, oldest := h.view.Versions()
	sentAt := h.at(s.now)
	r := owner.Renewal{Daemon: h.daemon, TableVersion: present, OldestVersion: oldest, Load: &route.Load{}}
	if h.hotKey > 0 {
		r.Load.Keys = []route.HotKey{{Service: "checked", Hash: h.hotKey, BusySlots: 1}}
	}
	s.send(func() {
		l := s.leader()
		if l == nil || !l.leads(s.now) {
			return
		}
		lease := l.planner.Renew(l.at(s.now), l.model, r)
		decoded := s.roundTrip(lease)
		s.send(func() {
			h.view.Update(sentAt, route.Update{
				TTL: time.Duration(decoded.TTLMs) * ms, Version: decoded.Version, Table: decoded.Table, Delta: decoded.Delta,
			})
			s.checkTable(h)
		})
	})
}

// roundTrip encodes and decodes a lease with a delta, which must not lose any change.
func (s *sim) roundTrip(l owner.Lease) owner.Lease {
	if l.Delta == nil {
		return l
	}
	var c owner.Lease
	b, err := json.Marshal(l)
	if err == nil {
		err = json.Unmarshal(b, &c)
	}
	if err != nil {
		s.fail("encode lease: %v", err)
	}
	return c
}

// request routes one keyed request as an entry host does. The lease is checked right before the send.
func (s *sim) request(h *host) {
	t, _ := h.view.Table()
	if len(t.Ranges) == 0 || !h.view.Leased(h.at(s.now)) {
		return
	}
	a := t.Ranges[s.r.IntN(len(t.Ranges))]
	to := s.processOf(t.Upstreams[a.Owner])
	done, ok := h.view.BeginRequest(t.Version)
	if !ok || to == nil || a.Phase != model.PhaseHeld || to.dead || to.paused {
		if ok {
			done()
		}
		return
	}
	q := &request{host: h, to: to, fence: a.Fence(), hash: a.First, done: done}
	if to.info.ChecksGrants && !to.held.Holds(to.at(s.now), q.fence) {
		done()
		return
	}
	to.held.Begin(q.fence)
	s.running = append(s.running, q)
	if !to.info.ChecksGrants {
		s.checkExclusive()
	}
	d := 5 * ms
	if s.chance(5) {
		d = time.Duration(s.r.IntN(1500)) * ms
	}
	s.after(d, func() { to.deliver(func() { s.endRequest(q) }) })
}

func (s *sim) processOf(u model.Upstream) *process {
	for _, p := range s.processes {
		if p.info.Name == u.Name && p.info.Incarnation == u.Incarnation && p.info.Address == u.Address {
			return p
		}
	}
	return nil
}

func (s *sim) endRequest(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	q.to.held.End(q.fence)
	q.done()
	s.running = slices.DeleteFunc(s.running, func(r *request) bool { return r == q })
}

// cancelUnleased cancels requests as entry hosts do when their lease expires, and ends the requests of dead
// processes.
func (s *sim) cancelUnleased() {
	for _, q := range slices.Clone(s.running) {
		if q.to.dead || (!q.to.info.ChecksGrants && q.host.view.LeaseLeft(q.host.at(s.now)) <= 0) {
			s.endRequest(q)
		}
	}
}
