package gate

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/broker"
	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/route"
)

// Brokers gives a gate access to the brokers, which assign upstreams to the requests of all hosts. A gate without brokers
// chooses upstreams by what it has observed itself.
type Brokers struct {
	// Members returns the current brokers.
	Members func() []broker.Member
	// Ask requests an upstream and fails if there is no answer in time.
	Ask func(ctx context.Context, m broker.Member, q broker.Query) (broker.Answer, error)
	// Done reports the end of an assigned request.
	Done func(t broker.Ticket, r assign.Result, elapsed time.Duration)
	// Pause reports that the upstream of an assigned request wants no requests of this host for a while, before Done.
	Pause func(t broker.Ticket, d time.Duration)
	// Reachable returns false for a data centre that this host is cut off from.
	Reachable func(dataCentre string) bool
}

// maxQuestions limits the brokers that are asked for one attempt. Every question takes a round trip.
const maxQuestions = 4

// group is a set of upstreams of one service and data centre that share a broker.
type group struct {
	broker    broker.Member
	upstreams []model.Upstream
	slots     int
}

// serviceUpstreams holds the upstreams of a service that accept new work.
type serviceUpstreams struct {
	all []model.Upstream
	// local and remote hold all upstreams in groups of this and of other data centres. Both are empty without brokers.
	local, remote []group
}

// upstreamCache holds the upstreams of each service for the latest table and brokers. It is safe for concurrent use.
type upstreamCache struct {
	mu       sync.Mutex
	table    *route.Table
	members  []broker.Member
	services map[string]serviceUpstreams
}

// get returns the upstreams of a service in the table.
func (c *upstreamCache) get(t *route.Table, members []broker.Member, service, dataCentre string) serviceUpstreams {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != t || !slices.Equal(c.members, members) {
		c.table, c.members, c.services = t, members, map[string]serviceUpstreams{}
	}
	s, ok := c.services[service]
	if !ok {
		s = groupUpstreams(t.Candidates(service), members, dataCentre)
		c.services[service] = s
	}
	return s
}

func groupUpstreams(upstreams []model.Upstream, members []broker.Member, dataCentre string) serviceUpstreams {
	s := serviceUpstreams{all: upstreams}
	type groupKey struct {
		broker     broker.Member
		dataCentre string
	}
	groups := map[groupKey]*group{}
	var order []groupKey
	for _, u := range upstreams {
		m, ok := broker.Responsible(members, u)
		if !ok {
			return s
		}
		k := groupKey{m, u.DataCentre}
		if groups[k] == nil {
			groups[k] = &group{broker: m}
			order = append(order, k)
		}
		groups[k].upstreams = append(groups[k].upstreams, u)
		groups[k].slots += max(1, u.Slots)
	}
	for _, k := range order {
		if k.dataCentre == dataCentre {
			s.local = append(s.local, *groups[k])
		} else {
			s.remote = append(s.remote, *groups[k])
		}
	}
	return s
}

// questions returns the groups to ask one after the other. The last one must take the request if it can, the others only
// if they have room. Groups of this data centre come first, since traffic between data centres is billed, and one of them
// is also the last.
func (s serviceUpstreams) questions() []group {
	local, remote := shuffleBySlots(s.local), shuffleBySlots(s.remote)
	if len(local) == 0 {
		return remote[:min(len(remote), maxQuestions)]
	}
	out := []group{local[0]}
	if len(local)+len(remote) == 1 {
		return out
	}
	out = append(out, remote[:min(len(remote), maxQuestions-2)]...)
	return append(out, local[len(local)-1])
}

// shuffleBySlots returns the groups in random order, in which each is before another with a probability proportional to
// its slots.
func shuffleBySlots(groups []group) []group {
	type ranked struct {
		group
		rank float64
	}
	rankedGroups := make([]ranked, len(groups))
	for i, g := range groups {
		rankedGroups[i] = ranked{g, rand.ExpFloat64() / float64(g.slots)}
	}
	slices.SortFunc(rankedGroups, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	out := make([]group, len(groups))
	for i, r := range rankedGroups {
		out[i] = r.group
	}
	return out
}

// choice is an upstream for one attempt.
type choice struct {
	upstream model.Upstream
	ticket   broker.Ticket
}

// chooseUpstream picks an upstream for the next attempt. With AdmissionGranted it has counted the request in flight there;
// AdmissionQueueFull means that all upstreams that were considered are busy, and an empty Admission that there is none.
func (c *call) chooseUpstream(ctx context.Context) (choice, Admission) {
	t, _ := c.gate.cfg.View.Table()
	c.tableVersion = t.Version
	brokers := c.gate.cfg.Brokers
	var members []broker.Member
	if brokers != nil {
		members = brokers.Members()
	}
	upstreams := c.gate.upstreams.get(t, members, c.service, c.gate.cfg.DataCentre)
	accepting, retryAfter := c.gate.notices.accepting(c.now(), upstreams.all)
	if len(accepting) == 0 && len(upstreams.all) > 0 {
		c.retryAfter = retryAfter
		return choice{}, AdmissionTurnedAway
	}
	if len(members) == 0 {
		return c.pick(accepting)
	}
	refused := Admission("")
	questions := upstreams.questions()
	for i, g := range questions {
		q := c.query()
		q.MayMove = i < len(questions)-1
		answer, err := c.ask(ctx, g.broker, q)
		switch {
		case err != nil:
			return c.pick(accepting)
		case !answer.Granted:
			refused, c.retryAfter = AdmissionQueueFull, answer.RetryAfter
			continue
		}
		if u, ok := answer.Find(g.upstreams); ok && !c.tried[u.Name] && c.gate.notices.accepts(c.now(), u) {
			c.gate.cfg.Picker.Begin(u)
			return choice{upstream: u, ticket: answer.Ticket}, AdmissionGranted
		}
		// The broker has another table than this host, or does not know that the upstream accepts no requests of it.
		brokers.Done(answer.Ticket, assign.ResultNeutral, 0)
		return c.pick(accepting)
	}
	if refused != "" {
		return choice{}, refused
	}
	return c.pick(accepting)
}

// pick chooses one of the upstreams by what this host has observed.
func (c *call) pick(upstreams []model.Upstream) (choice, Admission) {
	u, ok := c.gate.cfg.Picker.Pick(c.now(), upstreams, c.tried)
	if !ok {
		return choice{}, ""
	}
	return choice{upstream: u}, AdmissionGranted
}

// ask asks a broker and records the time that it took.
func (c *call) ask(ctx context.Context, m broker.Member, q broker.Query) (broker.Answer, error) {
	askedAt := c.now()
	answer, err := c.gate.cfg.Brokers.Ask(ctx, m, q)
	c.questions++
	c.askingTime += c.now() - askedAt
	if err != nil {
		c.unanswered++
	}
	return answer, err
}

// query returns the question to a broker for the next attempt of the request.
func (c *call) query() broker.Query {
	now := c.now()
	objective := c.deadline
	if c.route.ObjectiveMs > 0 {
		objective = min(objective, c.started+time.Duration(c.route.ObjectiveMs)*time.Millisecond)
	}
	return broker.Query{Service: c.service, Objective: objective - now, Timeout: c.deadline - now, Tried: c.tried}
}

// askForOwner asks the broker of the owner of a key whether the owner has room. The Admission is empty if there was no
// answer.
func (c *call) askForOwner(ctx context.Context, owner model.Upstream) (choice, Admission) {
	brokers := c.gate.cfg.Brokers
	if brokers == nil {
		return choice{}, ""
	}
	m, ok := broker.Responsible(brokers.Members(), owner)
	if !ok {
		return choice{}, ""
	}
	q := c.query()
	q.Owner = owner.Name
	answer, err := c.ask(ctx, m, q)
	switch {
	case err != nil && !brokers.Reachable(owner.DataCentre):
		return choice{}, AdmissionUnreachable
	case err != nil:
		return choice{}, ""
	case !answer.Granted:
		c.retryAfter = answer.RetryAfter
		return choice{}, AdmissionQueueFull
	}
	if _, found := answer.Find([]model.Upstream{owner}); !found {
		brokers.Done(answer.Ticket, assign.ResultNeutral, 0)
		return choice{}, ""
	}
	c.gate.cfg.Picker.Begin(owner)
	return choice{upstream: owner, ticket: answer.Ticket}, AdmissionGranted
}

// endAttempt reports the end of an attempt to the picker and to the broker that assigned it.
func (c *call) endAttempt(chosen choice, r assign.Result, notice pipe.Notice, elapsed time.Duration) {
	c.gate.cfg.Picker.Done(c.now(), chosen.upstream, r, elapsed)
	if c.gate.cfg.Brokers != nil {
		if notice.RetryAfter > 0 {
			c.gate.cfg.Brokers.Pause(chosen.ticket, notice.RetryAfter)
		}
		c.gate.cfg.Brokers.Done(chosen.ticket, r, elapsed)
	}
}
