package raft_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"baobabreach/internal/raft"
)

const (
	electionMin = 300 * time.Millisecond
	tick        = 10 * time.Millisecond
	maxDrift    = 0.02
	// maxPackets is far above what a healthy group has in flight; rejections that repeat without end exceed it.
	maxPackets = 5000
)

// schedule is one generated run. Everything that happens in it follows from its fields.
type schedule struct {
	Seed                   uint64
	Hosts, Steps, Batch    int
	LossPercent, DupChance int
	MaxDelayMs             int
	// Faults is a bit set of the kinds of fault that may happen.
	Faults uint64
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{
		Seed: rapid.Uint64().Draw(t, "seed"), Hosts: rapid.SampledFrom([]int{3, 3, 4, 5, 5}).Draw(t, "hosts"),
		Steps: rapid.IntRange(10, 120).Draw(t, "steps"), Batch: rapid.SampledFrom([]int{1, 3, 256}).Draw(t, "batch"),
		LossPercent: rapid.SampledFrom([]int{0, 2, 20}).Draw(t, "loss"),
		DupChance:   rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "duplicates"),
		MaxDelayMs:  rapid.SampledFrom([]int{1, 5, 40, 200}).Draw(t, "delay"),
		Faults:      rapid.Uint64().Draw(t, "faults") | rapid.SampledFrom([]uint64{0, 1<<faultKinds - 1}).Draw(t, "all"),
	}
})

const (
	faultCut = iota
	faultIsolate
	faultHeal
	faultPause
	faultRestart
	faultLoseDisk
	faultCompact
	faultShrink
	faultKinds
)

// defences are switches that take one defence out.
type defences struct {
	noSticky, longLease, anyTerm, noSync, sameIdentity bool
}

type host struct {
	name, id    string
	generation  int
	m           *raft.Machine
	hard        raft.HardState
	log         []raft.Entry
	snap        *raft.Snapshot
	first       raft.Members
	unsynced    []raft.Effects
	rate        float64
	bootedAt    time.Duration
	pausedUntil time.Duration
	downUntil   time.Duration
	applied     uint64
	waiting     map[uint64][]byte
}

type packet struct {
	due time.Duration
	msg raft.Message
}

type world struct {
	schedule
	out   defences
	rnd   *rand.Rand
	now   time.Duration
	hosts []*host
	net   []packet
	cuts  map[[2]string]bool
	// entries and sums are the naive log: what was committed first at each index, and the hash of the log up to it.
	entries []raft.Entry
	sums    []uint64
	acked   uint64
	count   uint64
	// idle stops the clients for a while, so that a replica cut from the leader alone still has a fresh log.
	idle bool
	err  error
}

// run runs one schedule and returns the first violation.
func run(s schedule, out defences) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	w := &world{schedule: s, out: out, rnd: rand.New(rand.NewPCG(s.Seed, 1)), cuts: map[[2]string]bool{}, sums: []uint64{0}}
	var ms raft.Members
	for i := range s.Hosts {
		n := fmt.Sprint("h", i)
		ms.Voters = append(ms.Voters, raft.Member{ID: n, Host: n})
	}
	for _, v := range ms.Voters {
		h := &host{name: v.Host, id: v.ID, first: ms, rate: 1 + w.rnd.Float64()*maxDrift}
		w.hosts = append(w.hosts, h)
		w.boot(h)
	}
	for i := 0; i < s.Steps && w.err == nil; i++ {
		w.fault()
		w.idle = w.rnd.IntN(2) == 0
		w.advance(w.rnd.IntN(40))
		w.checkLogs()
	}
	w.finish()
	return w.err
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: %w", w.now, fmt.Errorf(format, args...))
	}
}

func (w *world) clock(h *host) time.Duration {
	return time.Duration(float64(w.now-h.bootedAt)*h.rate) + time.Millisecond
}

func (w *world) boot(h *host) {
	h.bootedAt, h.waiting, h.unsynced, h.applied = w.now, map[uint64][]byte{}, nil, 0
	if h.snap != nil {
		h.applied = h.snap.Index
	}
	h.m = raft.New(raft.Config{
		ID: h.id, Members: h.first, Log: h.log, HardState: h.hard, Snapshot: h.snap, ElectionMin: electionMin,
		ElectionMax: 500 * time.Millisecond, Heartbeat: 50 * time.Millisecond, Random: w.rnd.Int64N, Now: w.clock(h),
	})
	h.m.WithBatch(uint64(w.Batch))
	if w.out.noSticky {
		h.m.WithoutSticky()
	}
	if w.out.longLease {
		h.m.WithLease(electionMin * 3 / 2)
	}
	if w.out.anyTerm {
		h.m.WithAnyTerm()
	}
}

func (w *world) runs(h *host) bool { return w.now >= h.pausedUntil && w.now >= h.downUntil }

func (w *world) fault() {
	h, other := w.hosts[w.rnd.IntN(w.Hosts)], w.hosts[w.rnd.IntN(w.Hosts)]
	kind := w.rnd.IntN(faultKinds)
	if w.Faults&(1<<kind) == 0 {
		return
	}
	switch kind {
	case faultCut:
		w.cuts[[2]string{h.name, other.name}] = true
	case faultIsolate:
		for _, o := range w.hosts {
			w.cuts[[2]string{h.name, o.name}], w.cuts[[2]string{o.name, h.name}] = true, true
		}
	case faultHeal:
		clear(w.cuts)
	case faultPause:
		h.pausedUntil = w.now + time.Duration(w.rnd.IntN(900))*time.Millisecond
	case faultRestart:
		h.downUntil = w.now + time.Duration(w.rnd.IntN(400))*time.Millisecond
		w.boot(h)
	case faultLoseDisk:
		w.loseDisk(h, other)
	case faultCompact:
		if w.runs(h) {
			w.compact(h)
		}
	case faultShrink:
		if ms := h.m.Members(); w.runs(h) && len(ms.Voters) > 3 {
			i := w.rnd.IntN(len(ms.Voters))
			ms.Voters = slices.Delete(slices.Clone(ms.Voters), i, i+1)
			_, _ = h.m.ProposeMembers(w.clock(h), ms)
		}
	}
}

// loseDisk empties a disk, but only when every replica agrees that the group is whole: the log doesn't claim to
// survive a second loss before the first is repaired.
func (w *world) loseDisk(h, other *host) {
	for _, o := range w.hosts {
		ms := o.m.Members()
		for _, p := range w.hosts {
			if !ms.IsVoter(p.id) || len(ms.Voters) != w.Hosts {
				return
			}
		}
	}
	if h == other {
		return
	}
	h.generation++
	h.first = raft.Members{Voters: other.m.Members().Voters}
	if !w.out.sameIdentity {
		h.id = fmt.Sprint(h.name, ".", h.generation)
	}
	h.hard, h.log, h.snap = raft.HardState{}, nil, nil
	w.boot(h)
}

func (w *world) compact(h *host) {
	b := binary.LittleEndian.AppendUint64(make([]byte, w.rnd.IntN(400)), w.sums[h.applied])
	h.sync()
	if s, ok := h.m.Compact(h.applied, b); ok {
		h.snap, h.log = &s, h.m.EntriesAfterSnapshot()
	}
}

func (w *world) advance(ticks int) {
	for range ticks {
		w.now += tick
		w.deliver()
		for _, h := range w.hosts {
			if !w.runs(h) || w.err != nil {
				continue
			}
			h.m.Tick(w.clock(h))
			w.propose(h)
			w.settle(h)
		}
	}
}

func (w *world) deliver() {
	slices.SortStableFunc(w.net, func(a, b packet) int { return int(a.due - b.due) })
	old := w.net
	if len(old) > maxPackets {
		w.fail("%d messages are in flight", len(old))
	}
	w.net = nil
	for _, p := range old {
		i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.id == p.msg.To })
		if p.due > w.now || (i >= 0 && w.now < w.hosts[i].pausedUntil) {
			w.net = append(w.net, p)
			continue
		}
		if i >= 0 && w.runs(w.hosts[i]) && w.err == nil {
			w.hosts[i].m.Step(w.clock(w.hosts[i]), p.msg)
			w.settle(w.hosts[i])
		}
	}
}

// propose lets a leader serve clients and repair the group.
func (w *world) propose(h *host) {
	now := w.clock(h)
	if now >= h.m.LeaseUntil() || w.rnd.IntN(4) > 0 {
		return
	}
	for range w.rnd.IntN(4) {
		if w.idle {
			break
		}
		w.count++
		b := binary.LittleEndian.AppendUint64(nil, w.count)
		if i, err := h.m.Propose(now, b); err == nil {
			h.waiting[i] = b
		}
	}
	ms, ok := h.m.Members().NextRepair(h.m.HasSynced)
	for _, o := range w.hosts {
		if !ok {
			ms, ok = h.m.Members().WithLearner(raft.Member{ID: o.id, Host: o.name})
		}
	}
	if ok {
		_, _ = h.m.ProposeMembers(now, ms)
	}
}

// settle carries out the effects of h in their order.
func (w *world) settle(h *host) {
	for n := 0; ; n++ {
		e := h.m.TakeEffects()
		if e.Empty() {
			break
		}
		if n == 100 {
			w.fail("%s has effects without end", h.id)
			return
		}
		h.unsynced = append(h.unsynced, e)
		if !w.out.noSync || w.rnd.IntN(20) == 0 {
			h.sync()
		}
		h.m.MarkPersisted()
		for _, m := range e.Messages {
			w.send(h, m)
		}
		if e.Restore != nil {
			h.applied = e.Restore.Index
			w.checkRestore(h, e.Restore)
		}
		for _, c := range e.Committed {
			w.apply(h, c)
		}
	}
	if h.m.Role() != raft.RoleLeader {
		clear(h.waiting)
	}
	w.checkLeases()
}

func (h *host) sync() {
	for _, e := range h.unsynced {
		if e.Restore != nil {
			h.snap, h.log = e.Restore, nil
		}
		if e.HardState != nil {
			h.hard = *e.HardState
		}
		if len(e.Entries) > 0 {
			base := uint64(0)
			if h.snap != nil {
				base = h.snap.Index
			}
			h.log = append(slices.Clone(h.log[:e.Entries[0].Index-base-1]), e.Entries...)
		}
	}
	h.unsynced = nil
}

func (w *world) send(h *host, m raft.Message) {
	i := slices.IndexFunc(w.hosts, func(o *host) bool { return o.id == m.To })
	if i < 0 || w.cuts[[2]string{h.name, w.hosts[i].name}] || w.rnd.IntN(100) < w.LossPercent {
		return
	}
	for first := true; first || w.rnd.IntN(100) < w.DupChance; first = false {
		w.net = append(w.net, packet{w.now + time.Duration(w.rnd.IntN(w.MaxDelayMs*1000+1))*time.Microsecond, m})
	}
}

func (w *world) apply(h *host, e raft.Entry) {
	if e.Index != h.applied+1 {
		w.fail("%s applied entry %d after %d", h.id, e.Index, h.applied)
		return
	}
	h.applied = e.Index
	if e.Index > uint64(len(w.entries)) {
		f := fnv.New64a()
		_, _ = fmt.Fprintf(f, "%d %d %x", w.sums[len(w.sums)-1], e.Term, e.Data)
		w.entries, w.sums = append(w.entries, e), append(w.sums, f.Sum64())
	}
	if x := w.entries[e.Index-1]; x.Term != e.Term || !bytes.Equal(x.Data, e.Data) {
		w.fail("%s applied entry %d of term %d, but term %d was committed there", h.id, e.Index, e.Term, x.Term)
	}
	if b, ok := h.waiting[e.Index]; ok && bytes.Equal(b, e.Data) {
		w.acked = max(w.acked, e.Index)
	}
	delete(h.waiting, e.Index)
}

func (w *world) checkRestore(h *host, s *raft.Snapshot) {
	if got := binary.LittleEndian.Uint64(s.Data[len(s.Data)-8:]); got != w.sums[s.Index] {
		w.fail("%s restored a snapshot at %d that differs from the log", h.id, s.Index)
	}
}

// checkLeases runs after every event, and a lease only starts at an event, so no overlap is missed.
func (w *world) checkLeases() {
	holder := ""
	for _, h := range w.hosts {
		if w.now < h.downUntil || w.clock(h) >= h.m.LeaseUntil() {
			continue
		}
		if holder != "" {
			w.fail("%s and %s both hold a lease", holder, h.id)
		}
		holder = h.id
		if h.m.Commit() < w.acked {
			w.fail("leader %s has committed up to %d, but %d was acknowledged", h.id, h.m.Commit(), w.acked)
		}
	}
}

// checkLogs checks that two logs that agree on the term of an entry agree on everything before it.
func (w *world) checkLogs() {
	byIndex := map[[2]uint64]raft.Entry{}
	for _, h := range w.hosts {
		prev := uint64(0)
		for _, e := range h.m.EntriesAfterSnapshot() {
			k := [2]uint64{e.Index, e.Term}
			if x, ok := byIndex[k]; ok && !bytes.Equal(x.Data, e.Data) {
				w.fail("logs disagree on entry %d of term %d", e.Index, e.Term)
			}
			byIndex[k] = e
			if prev > e.Term {
				w.fail("%s has term %d after term %d", h.id, e.Term, prev)
			}
			prev = e.Term
		}
	}
}

// finish heals everything; the group must then serve, be whole and agree.
func (w *world) finish() {
	clear(w.cuts)
	w.LossPercent, w.MaxDelayMs, w.Batch = 0, min(w.MaxDelayMs, 40), 256
	for _, h := range w.hosts {
		// With one entry per message, a long backlog would take longer than the time allowed.
		h.m.WithBatch(256)
	}
	for range 100 {
		w.advance(10)
		if w.err != nil || w.whole() {
			return
		}
	}
	w.fail("the group is not whole 10 s after all faults ended")
}

func (w *world) whole() bool {
	serving := false
	for _, h := range w.hosts {
		serving = serving || w.clock(h) < h.m.LeaseUntil()
		ms := h.m.Members()
		if h.applied+5 < uint64(len(w.entries)) || h.applied < w.acked || len(ms.Voters) != w.Hosts || !ms.IsVoter(h.id) {
			return false
		}
	}
	return serving
}
