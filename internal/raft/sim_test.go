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
	// maxInFlight is far more messages than a healthy group has in flight. Endlessly repeated rejections exceed it.
	maxInFlight = 5000
)

// schedule holds the parameters of one simulated run, which is determined entirely by them.
type schedule struct {
	Seed                    uint64
	Hosts, Steps, Batch     int
	LossPercent, DupPercent int
	MaxDelayMs              int
	// Faults is a bit set of the fault kinds that may occur.
	Faults uint64
}

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{
		Seed: rapid.Uint64().Draw(t, "seed"), Hosts: rapid.SampledFrom([]int{3, 3, 4, 5, 5}).Draw(t, "hosts"),
		Steps: rapid.IntRange(10, 120).Draw(t, "steps"), Batch: rapid.SampledFrom([]int{1, 3, 256}).Draw(t, "batch"),
		LossPercent: rapid.SampledFrom([]int{0, 2, 20}).Draw(t, "loss"),
		DupPercent:  rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "duplicates"),
		MaxDelayMs:  rapid.SampledFrom([]int{1, 5, 40, 200}).Draw(t, "delay"),
		Faults:      rapid.Uint64().Draw(t, "faults") | rapid.SampledFrom([]uint64{0, 1<<faultKindCount - 1}).Draw(t, "all"),
	}
})

const (
	faultCutLink = iota
	faultIsolate
	faultHeal
	faultPause
	faultRestart
	faultLoseDisk
	faultCompact
	faultRemoveVoter
	faultKindCount
)

// disabledSafeguards selects the safeguards that a run disables.
type disabledSafeguards struct {
	noVoteRefusal, longLease, anyTermCommit, noSync, reusedIdentity bool
}

type host struct {
	name, id         string
	generation       int
	machine          *raft.Machine
	hardState        raft.HardState
	log              []raft.Entry
	snapshot         *raft.Snapshot
	initialMembers   raft.Members
	unsyncedEffects  []raft.Effects
	clockRate        float64
	startedAt        time.Duration
	pausedUntil      time.Duration
	downUntil        time.Duration
	appliedIndex     uint64
	pendingProposals map[uint64][]byte
}

type packet struct {
	deliverAt time.Duration
	msg       raft.Message
}

type simulation struct {
	schedule
	disabled     disabledSafeguards
	rng          *rand.Rand
	now          time.Duration
	hosts        []*host
	inFlight     []packet
	blockedLinks map[[2]string]bool
	// committed is the reference log with the entry that was first committed at each index. hashes[i] is the hash of its
	// first i entries.
	committed     []raft.Entry
	hashes        []uint64
	ackedIndex    uint64
	proposalCount uint64
	// clientsIdle pauses the clients, so that a replica that is disconnected only from the leader keeps an up-to-date log.
	clientsIdle bool
	err         error
}

// runSchedule runs one schedule and returns the first violation.
func runSchedule(s schedule, disabled disabledSafeguards) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	sim := &simulation{
		schedule: s, disabled: disabled, rng: rand.New(rand.NewPCG(s.Seed, 1)), blockedLinks: map[[2]string]bool{},
		hashes: []uint64{0},
	}
	var members raft.Members
	for i := range s.Hosts {
		name := fmt.Sprint("h", i)
		members.Voters = append(members.Voters, raft.Member{ID: name, Host: name})
	}
	for _, v := range members.Voters {
		h := &host{name: v.Host, id: v.ID, initialMembers: members, clockRate: 1 + sim.rng.Float64()*maxDrift}
		sim.hosts = append(sim.hosts, h)
		sim.startReplica(h)
	}
	for i := 0; i < s.Steps && sim.err == nil; i++ {
		sim.injectFault()
		sim.clientsIdle = sim.rng.IntN(2) == 0
		sim.advance(sim.rng.IntN(40))
		sim.checkLogs()
	}
	sim.checkRecovery()
	return sim.err
}

func (sm *simulation) fail(format string, args ...any) {
	if sm.err == nil {
		sm.err = fmt.Errorf("at %v: %w", sm.now, fmt.Errorf(format, args...))
	}
}

func (sm *simulation) localTime(h *host) time.Duration {
	return time.Duration(float64(sm.now-h.startedAt)*h.clockRate) + time.Millisecond
}

func (sm *simulation) startReplica(h *host) {
	h.startedAt, h.pendingProposals, h.unsyncedEffects, h.appliedIndex = sm.now, map[uint64][]byte{}, nil, 0
	if h.snapshot != nil {
		h.appliedIndex = h.snapshot.Index
	}
	h.machine = raft.New(raft.Config{
		ID: h.id, Members: h.initialMembers, Log: h.log, HardState: h.hardState, Snapshot: h.snapshot, ElectionMin: electionMin,
		ElectionMax: 500 * time.Millisecond, Heartbeat: 50 * time.Millisecond, Random: sm.rng.Int64N, Now: sm.localTime(h),
	})
	h.machine.SetMaxBatchEntries(uint64(sm.Batch))
	if sm.disabled.noVoteRefusal {
		h.machine.DisableVoteRefusal()
	}
	if sm.disabled.longLease {
		h.machine.SetLeaseDuration(electionMin * 3 / 2)
	}
	if sm.disabled.anyTermCommit {
		h.machine.AllowCommitOfAnyTerm()
	}
}

func (sm *simulation) isRunning(h *host) bool {
	return sm.now >= h.pausedUntil && sm.now >= h.downUntil
}

func (sm *simulation) injectFault() {
	h, other := sm.hosts[sm.rng.IntN(sm.Hosts)], sm.hosts[sm.rng.IntN(sm.Hosts)]
	kind := sm.rng.IntN(faultKindCount)
	if sm.Faults&(1<<kind) == 0 {
		return
	}
	switch kind {
	case faultCutLink:
		sm.blockedLinks[[2]string{h.name, other.name}] = true
	case faultIsolate:
		for _, o := range sm.hosts {
			sm.blockedLinks[[2]string{h.name, o.name}], sm.blockedLinks[[2]string{o.name, h.name}] = true, true
		}
	case faultHeal:
		clear(sm.blockedLinks)
	case faultPause:
		h.pausedUntil = sm.now + time.Duration(sm.rng.IntN(900))*time.Millisecond
	case faultRestart:
		h.downUntil = sm.now + time.Duration(sm.rng.IntN(400))*time.Millisecond
		sm.startReplica(h)
	case faultLoseDisk:
		sm.loseDisk(h, other)
	case faultCompact:
		if sm.isRunning(h) {
			sm.compact(h)
		}
	case faultRemoveVoter:
		if ms := h.machine.Members(); sm.isRunning(h) && len(ms.Voters) > 3 {
			i := sm.rng.IntN(len(ms.Voters))
			ms.Voters = slices.Delete(slices.Clone(ms.Voters), i, i+1)
			_, _ = h.machine.ProposeMembers(sm.localTime(h), ms)
		}
	}
}

// loseDisk wipes a disk, but only if every replica has all hosts as voters: the log is not required to survive a second
// disk loss before the first is repaired.
func (sm *simulation) loseDisk(h, other *host) {
	for _, o := range sm.hosts {
		ms := o.machine.Members()
		for _, p := range sm.hosts {
			if !ms.IsVoter(p.id) || len(ms.Voters) != sm.Hosts {
				return
			}
		}
	}
	if h == other {
		return
	}
	h.generation++
	h.initialMembers = raft.Members{Voters: other.machine.Members().Voters}
	if !sm.disabled.reusedIdentity {
		h.id = fmt.Sprint(h.name, ".", h.generation)
	}
	h.hardState, h.log, h.snapshot = raft.HardState{}, nil, nil
	sm.startReplica(h)
}

func (sm *simulation) compact(h *host) {
	b := binary.LittleEndian.AppendUint64(make([]byte, sm.rng.IntN(400)), sm.hashes[h.appliedIndex])
	h.sync()
	if s, ok := h.machine.Compact(h.appliedIndex, b); ok {
		h.snapshot, h.log = &s, h.machine.EntriesAfterSnapshot()
	}
}

func (sm *simulation) advance(ticks int) {
	for range ticks {
		sm.now += tick
		sm.deliver()
		for _, h := range sm.hosts {
			if !sm.isRunning(h) || sm.err != nil {
				continue
			}
			h.machine.Tick(sm.localTime(h))
			sm.propose(h)
			sm.processEffects(h)
		}
	}
}

func (sm *simulation) deliver() {
	slices.SortStableFunc(sm.inFlight, func(a, b packet) int { return int(a.deliverAt - b.deliverAt) })
	queued := sm.inFlight
	if len(queued) > maxInFlight {
		sm.fail("%d messages are in flight", len(queued))
	}
	sm.inFlight = nil
	for _, p := range queued {
		i := slices.IndexFunc(sm.hosts, func(h *host) bool { return h.id == p.msg.To })
		if p.deliverAt > sm.now || (i >= 0 && sm.now < sm.hosts[i].pausedUntil) {
			sm.inFlight = append(sm.inFlight, p)
			continue
		}
		if i >= 0 && sm.isRunning(sm.hosts[i]) && sm.err == nil {
			sm.hosts[i].machine.Step(sm.localTime(sm.hosts[i]), p.msg)
			sm.processEffects(sm.hosts[i])
		}
	}
}

// propose lets a leader propose client commands and membership repairs.
func (sm *simulation) propose(h *host) {
	now := sm.localTime(h)
	if now >= h.machine.LeaseUntil() || sm.rng.IntN(4) > 0 {
		return
	}
	for range sm.rng.IntN(4) {
		if sm.clientsIdle {
			break
		}
		sm.proposalCount++
		b := binary.LittleEndian.AppendUint64(nil, sm.proposalCount)
		if i, err := h.machine.Propose(now, b); err == nil {
			h.pendingProposals[i] = b
		}
	}
	ms, ok := h.machine.Members().NextRepair(h.machine.HasSynced)
	for _, o := range sm.hosts {
		if !ok {
			ms, ok = h.machine.Members().WithLearner(raft.Member{ID: o.id, Host: o.name})
		}
	}
	if ok {
		_, _ = h.machine.ProposeMembers(now, ms)
	}
}

// processEffects carries out the effects of h in order.
func (sm *simulation) processEffects(h *host) {
	for n := 0; ; n++ {
		e := h.machine.TakeEffects()
		if e.Empty() {
			break
		}
		if n == 100 {
			sm.fail("%s still has effects after 100 iterations", h.id)
			return
		}
		h.unsyncedEffects = append(h.unsyncedEffects, e)
		if !sm.disabled.noSync || sm.rng.IntN(20) == 0 {
			h.sync()
		}
		h.machine.MarkPersisted()
		for _, m := range e.Messages {
			sm.send(h, m)
		}
		if e.Restore != nil {
			h.appliedIndex = e.Restore.Index
			sm.checkRestore(h, e.Restore)
		}
		for _, c := range e.Committed {
			sm.apply(h, c)
		}
	}
	if h.machine.Role() != raft.RoleLeader {
		clear(h.pendingProposals)
	}
	sm.checkLeases()
}

func (h *host) sync() {
	for _, e := range h.unsyncedEffects {
		if e.Restore != nil {
			h.snapshot, h.log = e.Restore, nil
		}
		if e.HardState != nil {
			h.hardState = *e.HardState
		}
		if len(e.Entries) > 0 {
			base := uint64(0)
			if h.snapshot != nil {
				base = h.snapshot.Index
			}
			h.log = append(slices.Clone(h.log[:e.Entries[0].Index-base-1]), e.Entries...)
		}
	}
	h.unsyncedEffects = nil
}

func (sm *simulation) send(h *host, m raft.Message) {
	i := slices.IndexFunc(sm.hosts, func(o *host) bool { return o.id == m.To })
	if i < 0 || sm.blockedLinks[[2]string{h.name, sm.hosts[i].name}] || sm.rng.IntN(100) < sm.LossPercent {
		return
	}
	for first := true; first || sm.rng.IntN(100) < sm.DupPercent; first = false {
		sm.inFlight = append(sm.inFlight, packet{
			sm.now + time.Duration(sm.rng.IntN(sm.MaxDelayMs*1000+1))*time.Microsecond, m,
		})
	}
}

func (sm *simulation) apply(h *host, e raft.Entry) {
	if e.Index != h.appliedIndex+1 {
		sm.fail("%s applied entry %d after %d", h.id, e.Index, h.appliedIndex)
		return
	}
	h.appliedIndex = e.Index
	if e.Index > uint64(len(sm.committed)) {
		hash := fnv.New64a()
		_, _ = fmt.Fprintf(hash, "%d %d %x", sm.hashes[len(sm.hashes)-1], e.Term, e.Data)
		sm.committed, sm.hashes = append(sm.committed, e), append(sm.hashes, hash.Sum64())
	}
	if reference := sm.committed[e.Index-1]; reference.Term != e.Term || !bytes.Equal(reference.Data, e.Data) {
		sm.fail("%s applied entry %d of term %d, but term %d was committed there", h.id, e.Index, e.Term, reference.Term)
	}
	if b, ok := h.pendingProposals[e.Index]; ok && bytes.Equal(b, e.Data) {
		sm.ackedIndex = max(sm.ackedIndex, e.Index)
	}
	delete(h.pendingProposals, e.Index)
}

func (sm *simulation) checkRestore(h *host, s *raft.Snapshot) {
	if got := binary.LittleEndian.Uint64(s.Data[len(s.Data)-8:]); got != sm.hashes[s.Index] {
		sm.fail("%s restored a snapshot at %d that differs from the log", h.id, s.Index)
	}
}

// checkLeases checks that at most one replica holds a lease, and that its holder has committed every acknowledged entry.
// It runs after every event. Leases start only at events, so that no overlap is missed.
func (sm *simulation) checkLeases() {
	holder := ""
	for _, h := range sm.hosts {
		if sm.now < h.downUntil || sm.localTime(h) >= h.machine.LeaseUntil() {
			continue
		}
		if holder != "" {
			sm.fail("%s and %s both hold a lease", holder, h.id)
		}
		holder = h.id
		if h.machine.CommitIndex() < sm.ackedIndex {
			sm.fail("leader %s has committed up to %d, but %d was acknowledged", h.id, h.machine.CommitIndex(), sm.ackedIndex)
		}
	}
}

// checkLogs checks the log matching property, by which logs that agree on the term of an entry agree on everything before
// it: entries with the same index and term must be equal in all logs, and terms must not decrease.
func (sm *simulation) checkLogs() {
	byIndexAndTerm := map[[2]uint64]raft.Entry{}
	for _, h := range sm.hosts {
		prevTerm := uint64(0)
		for _, e := range h.machine.EntriesAfterSnapshot() {
			key := [2]uint64{e.Index, e.Term}
			if other, ok := byIndexAndTerm[key]; ok && !bytes.Equal(other.Data, e.Data) {
				sm.fail("logs disagree on entry %d of term %d", e.Index, e.Term)
			}
			byIndexAndTerm[key] = e
			if prevTerm > e.Term {
				sm.fail("%s has term %d after term %d", h.id, e.Term, prevTerm)
			}
			prevTerm = e.Term
		}
	}
}

// checkRecovery ends all faults and checks that the group then recovers; see isRecovered.
func (sm *simulation) checkRecovery() {
	clear(sm.blockedLinks)
	sm.LossPercent, sm.MaxDelayMs, sm.Batch = 0, min(sm.MaxDelayMs, 40), 256
	for _, h := range sm.hosts {
		// With one entry per message, a long backlog would exceed the time limit for the recovery.
		h.machine.SetMaxBatchEntries(256)
	}
	for range 100 {
		sm.advance(10)
		if sm.err != nil || sm.isRecovered() {
			return
		}
	}
	sm.fail("the group has not recovered 10 s after all faults ended")
}

// isRecovered reports whether a leader holds a lease, every host is a voter in all member lists, and every replica has
// applied all acknowledged entries and all but at most 5 committed ones.
func (sm *simulation) isRecovered() bool {
	serving := false
	for _, h := range sm.hosts {
		serving = serving || sm.localTime(h) < h.machine.LeaseUntil()
		ms := h.machine.Members()
		if h.appliedIndex+5 < uint64(len(sm.committed)) || h.appliedIndex < sm.ackedIndex ||
			len(ms.Voters) != sm.Hosts || !ms.IsVoter(h.id) {
			return false
		}
	}
	return serving
}
