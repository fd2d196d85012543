package owner_test

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %v: "+format, append([]any{s.now}, args...)...)
	}
}

// checkExclusive looks for two owners of one key: two processes with a valid fence, or a request of an old owner that
// runs on an upstream without a grant check while another owner may run one. The passing of time only ends grants and
// requests, so it is enough to check when a grant arrives, a request starts or a command commits.
func (s *sim) checkExclusive() {
	type claim struct {
		hashSpan
		p *process
	}
	held := map[string][]claim{}
	for _, p := range s.processes {
		if p.dead || !p.info.ChecksGrants {
			continue
		}
		p.holder.Each(p.at(s.now), func(f proto.Fence) {
			a := claim{s.spans[f], p}
			for _, b := range held[p.info.Service] {
				if a.p != b.p && a.first <= b.last && b.first <= a.last {
					s.fail("%s and %s both hold the hashes from %x on", a.p.info.Name, b.p.info.Name, max(a.first, b.first))
				}
			}
			held[p.info.Service] = append(held[p.info.Service], a)
		})
	}
	m := s.machine.Model()
	for _, q := range s.running {
		if q.to.info.ChecksGrants {
			continue
		}
		i, ok := m.FindRange(q.to.info.Service, q.hash)
		if ok && m.Ranges[i].Phase == model.PhaseHeld && m.Ranges[i].Owner != q.to.info.Name {
			s.fail("%s runs a request for range %d of %s", q.to.info.Name, m.Ranges[i].ID, m.Ranges[i].Owner)
		}
	}
}

// checkCoverage checks that the ranges cover the whole hash space without overlaps and that no assignment reverts.
func (s *sim) checkCoverage(old, m *model.State) {
	for i, a := range m.Ranges {
		first := i == 0 || m.Ranges[i-1].Service != a.Service
		if (first && a.First != 0) || (!first && a.First != m.Ranges[i-1].Last+1) || a.Last < a.First {
			s.fail("range %d leaves a gap or overlaps", a.ID)
		}
		if (i == len(m.Ranges)-1 || m.Ranges[i+1].Service != a.Service) && a.Last != math.MaxUint64 {
			s.fail("range %d ends before the end of the hash space", a.ID)
		}
		phaseOrder := map[model.Phase]int{model.PhaseHeld: 0, model.PhaseReleasing: 1, model.PhaseFree: 2}
		k, ok := old.FindRange(a.Service, a.First)
		if !ok {
			continue
		}
		if b := old.Ranges[k]; a.Epoch < b.Epoch || (a.Epoch == b.Epoch && phaseOrder[a.Phase] < phaseOrder[b.Phase]) {
			s.fail("range %d reverted from epoch %d %s to epoch %d %s", a.ID, b.Epoch, b.Phase, a.Epoch, a.Phase)
		}
	}
}

// checkTable compares a host's table, which was built from deltas, with the state of the same version.
func (s *sim) checkTable(h *host) {
	t, _ := h.view.Table()
	m := s.states[t.Version]
	if m == nil {
		if t.Version > 0 {
			s.fail("host has a table of unknown version %d", t.Version)
		}
		return
	}
	if !slices.Equal(t.Ranges, m.Ranges) || !reflect.DeepEqual(t.Upstreams, m.Upstreams) ||
		!reflect.DeepEqual(t.Services, m.Services) {
		s.fail("the table of version %d differs from the state", t.Version)
	}
}

// checkConverged checks that every range has an owner with a valid fence and that the ranges are spread as evenly as
// by the naive assignment of range number modulo number of owners.
func (s *sim) checkConverged() {
	m := s.machine.Model()
	counts := map[string][]int{}
	for name, u := range m.Upstreams {
		n := 0
		for _, a := range m.Ranges {
			if a.Owner == name {
				n++
			}
		}
		counts[u.Service] = append(counts[u.Service], n)
	}
	naive := map[string][]int{}
	for service, c := range counts {
		naive[service] = make([]int, len(c))
	}
	seen := map[string]int{}
	for _, a := range m.Ranges {
		p := s.processOf(m.Upstreams[a.Owner])
		if a.Phase != model.PhaseHeld || p == nil || !p.holder.Holds(p.at(s.now), a.Fence()) {
			s.fail("range %d of %s is %s by %q and not granted", a.ID, a.Service, a.Phase, a.Owner)
			return
		}
		naive[a.Service][seen[a.Service]%len(naive[a.Service])]++
		seen[a.Service]++
	}
	for service, c := range counts {
		slices.Sort(c)
		slices.Sort(naive[service])
		if !slices.Equal(c, naive[service]) {
			s.fail("ranges of %s per upstream: %v, naive %v", service, c, naive[service])
		}
	}
}

// confirmLosses confirms, as an operator would, the loss of holders under model.PartitionHome that will not come back.
func (s *sim) confirmLosses() {
	var cs []state.Command
	for _, u := range s.machine.Model().Upstreams {
		if p := s.processOf(u); p != nil && p.dead && u.Service == "home" {
			cs = append(cs, state.Command{Remove: &state.Remove{Name: u.Name, Incarnation: u.Incarnation, LossConfirmed: true}})
		}
	}
	if l := s.leaders[len(s.leaders)-1]; len(cs) > 0 && !l.deposed {
		s.commit(cs)
		l.model = s.machine.Model()
	}
}

// injectFault injects one random fault.
func (s *sim) injectFault() {
	var live []*process
	for _, p := range s.processes {
		if !p.dead && !p.paused && !p.silent {
			live = append(live, p)
		}
	}
	if len(live) == 0 {
		return
	}
	p := live[s.r.IntN(len(live))]
	duration := time.Duration(s.r.IntN(2500)) * ms
	h := s.hosts[s.r.IntN(len(s.hosts))]
	switch s.r.IntN(9) {
	case 0:
		s.pause(p, duration)
	case 1:
		s.restart(p, p.info.Address, time.Duration(s.r.IntN(300))*ms)
	case 2:
		p.info.Draining = true
		s.after(5*time.Second, func() { s.restart(p, p.info.Address, 0) })
	case 3:
		s.elect(time.Duration(300+s.r.IntN(200)) * ms)
	case 4:
		h.disconnected = true
		s.after(duration, func() { h.disconnected = false })
	case 5:
		s.drained[p.info.Name] = true
		s.after(duration, func() { delete(s.drained, p.info.Name) })
	case 6:
		s.stopped[p.info.DataCentre] = true
		s.after(duration, func() { delete(s.stopped, p.info.DataCentre) })
	case 7:
		h.hotKey = s.r.Uint64() | 1
		s.after(duration+time.Second, func() { h.hotKey = 0 })
	case 8: // the same name announced from two addresses
		b := p.info
		b.Address, b.Incarnation = fmt.Sprintf("10.9.0.%d:1", len(s.processes)), b.Incarnation+uint64(s.r.IntN(2))
		duplicate := s.start(b)
		s.after(duration, func() { duplicate.dead = true })
		if s.chance(50) {
			p.silent = true
			s.after(duration, func() { p.silent = false })
		}
	}
}

func (s *sim) pause(p *process, d time.Duration) {
	p.paused = true
	s.after(d, func() {
		p.paused = false
		deferred := p.deferred
		p.deferred = nil
		for _, f := range deferred {
			p.deliver(f)
		}
	})
}

// restart ends a process and starts its next incarnation at the address after the wait.
func (s *sim) restart(p *process, address string, wait time.Duration) {
	if p.replaced {
		return
	}
	p.dead, p.replaced = true, true
	a := p.info
	a.Address, a.Draining, a.Incarnation = address, false, s.highestIncarnation(a.Name)+1
	s.after(wait, func() { s.start(a) })
}

func (s *sim) highestIncarnation(name string) uint64 {
	n := uint64(0)
	for _, p := range s.processes {
		if p.info.Name == name {
			n = max(n, p.info.Incarnation)
		}
	}
	return n
}
