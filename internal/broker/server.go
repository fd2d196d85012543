package broker

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/model"
	"baobabreach/internal/route"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Clock func() time.Duration
	// Token authenticates the datagrams; it may be empty.
	Token string
	// Self is the address under which the members list this broker.
	Self netip.AddrPort
	// Members returns the current brokers.
	Members func() []Member
	// State returns the current state, or nil if there is none yet.
	State func() *model.State
	// Send sends a datagram. It must not block.
	Send func(b []byte, to netip.AddrPort)
}

// Server answers the questions of entry hosts. It is safe for concurrent use.
type Server struct {
	cfg   ServerConfig
	token []byte

	mu       sync.Mutex
	assigner *assign.Assigner
	index    index
	sweptAt  time.Duration
}

// index holds the upstreams of one state by the hashes in messages.
type index struct {
	state    *model.State
	members  []Member
	services map[uint64][]model.Upstream
	owners   map[uint64]model.Upstream
}

// sweepInterval is the time between two removals of requests and upstreams that are gone.
const sweepInterval = 100 * time.Millisecond

// NewServer returns a server. The owner of the socket must pass received datagrams to Receive.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, token: []byte(cfg.Token), assigner: assign.New()}
}

// Receive processes a datagram. It ignores datagrams that can't be decoded.
func (s *Server) Receive(b []byte, from netip.AddrPort) {
	h, body, err := decodeHead(s.token, b)
	if err != nil {
		return
	}
	switch h.Kind {
	case kindAsk:
		if m, err := decodeBody[ask](body); err == nil {
			if a, ok := s.answer(assign.ID{Host: from, Sequence: h.Sequence}, m); ok {
				s.cfg.Send(encode(s.token, kindAnswer, h.Sequence, a), from)
			}
		}
	case kindPing:
		s.cfg.Send(encode(s.token, kindAnswer, h.Sequence, answer{}), from)
	case kindPause:
		if m, err := decodeBody[pause](body); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.assigner.Pause(s.cfg.Clock(), assign.ID{Host: from, Sequence: h.Sequence}, time.Duration(m.ForMs)*time.Millisecond)
		}
	case kindDone:
		if m, err := decodeBody[done](body); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.assigner.Done(s.cfg.Clock(), assign.ID{Host: from, Sequence: h.Sequence}, assign.Result(m.Result),
				time.Duration(m.ElapsedMs)*time.Millisecond)
		}
	}
}

// answer decides on a question. It returns false if this broker does not know the service or owner.
func (s *Server) answer(id assign.ID, m ask) (answer, bool) {
	state := s.cfg.State()
	if state == nil {
		return answer{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	s.refresh(now, state)
	r := assign.Request{
		ID: id, Objective: time.Duration(m.ObjectiveMs) * time.Millisecond,
		Timeout: time.Duration(m.TimeoutMs) * time.Millisecond, MayMove: m.MayMove,
	}
	var d assign.Decision
	if m.Owner != 0 {
		owner, ok := s.index.owners[m.Owner]
		if !ok {
			return answer{}, false
		}
		d = s.assigner.Admit(now, r, owner)
	} else {
		candidates := withoutTried(s.index.services[m.Service], m.Tried)
		if len(candidates) == 0 {
			return answer{}, false
		}
		d = s.assigner.Choose(now, r, candidates)
	}
	if !d.Granted() {
		return answer{RetryAfterMs: milliseconds(d.RetryAfter)}, true
	}
	return answer{Upstream: hashName(d.Upstream.Name), Incarnation: d.Upstream.Incarnation}, true
}

func withoutTried(upstreams []model.Upstream, tried [maxTried]uint64) []model.Upstream {
	if tried[0] == 0 {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u model.Upstream) bool {
		return slices.Contains(tried[:], hashName(u.Name))
	})
}

// refresh updates the index to the state and drops what is gone.
func (s *Server) refresh(now time.Duration, state *model.State) {
	members := s.cfg.Members()
	if s.index.state != state || !slices.Equal(s.index.members, members) {
		s.index = s.newIndex(state, members)
	}
	if now >= s.sweptAt+sweepInterval {
		s.sweptAt = now
		s.assigner.Sweep(now, state.Upstreams)
	}
}

// newIndex lists the upstreams that accept new work and that this broker is responsible for.
func (s *Server) newIndex(state *model.State, members []Member) index {
	t := route.NewTable(state)
	i := index{
		members: members, state: state, services: map[uint64][]model.Upstream{}, owners: map[uint64]model.Upstream{},
	}
	for _, u := range state.Upstreams {
		i.owners[hashName(u.Name)] = u
		if m, ok := Responsible(members, u); ok && m.Address == s.cfg.Self && t.AcceptsWork(u) {
			service := hashName(u.Service)
			i.services[service] = append(i.services[service], u)
		}
	}
	return i
}

// Stats returns the counts of decisions since the start.
func (s *Server) Stats() assign.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigner.Stats()
}
