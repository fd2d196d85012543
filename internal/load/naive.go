package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"baobabreach/internal/fleet"
	"baobabreach/pkg/proto"
)

// PolicyNaive is a baseline for comparison that no daemon implements. The load generator replaces the entry hosts and
// sends directly to the stand-ins, so this policy spends no time or CPU on a hop through a daemon.
const PolicyNaive = "naive"

const (
	// naiveMaxTries allows one send and three retries. As in internal/bench, picking an upstream whose slots are all
	// in use by this host counts as a try and costs naiveRetryDelay.
	naiveMaxTries   = 4
	naiveRetryDelay = time.Millisecond
)

// naiveRouter picks an upstream at random, knows only the slots that the sending host itself uses, and retries without
// checking the state of the upstreams.
type naiveRouter struct {
	client    *Client
	upstreams map[string][]fleet.Upstream
	slots     map[string]int

	mu    sync.Mutex
	rng   *rand.Rand
	inUse map[hostUpstream]int
}

type hostUpstream struct {
	host     int
	upstream string
}

func newNaiveRouter(p Plan, f *fleet.Fleet, seed uint64) *naiveRouter {
	n := &naiveRouter{
		client: NewClient(), upstreams: map[string][]fleet.Upstream{}, slots: map[string]int{},
		rng: rand.New(rand.NewPCG(seed, 0)), inUse: map[hostUpstream]int{},
	}
	n.client.direct = true
	for _, u := range f.Upstreams {
		n.upstreams[u.Service] = append(n.upstreams[u.Service], u)
	}
	for _, s := range p.Services {
		n.slots[s.Name] = s.Slots
	}
	return n
}

// send returns the last reply, with outcome unknown if the outcome of any try was unknown.
func (n *naiveRouter) send(ctx context.Context, a Arrival, idempotent bool) Reply {
	last, unknown := Reply{Outcome: proto.OutcomeNotRun}, false
	deadline := time.Now().Add(a.Request.Deadline)
	for range naiveMaxTries {
		remaining := time.Until(deadline)
		if remaining <= 0 || ctx.Err() != nil {
			break
		}
		u, ok := n.acquireSlot(a.Host, a.Request.Service)
		if !ok {
			time.Sleep(naiveRetryDelay)
			continue
		}
		q := a.Request
		q.Deadline = remaining
		last = n.client.Send(ctx, u.Address, q)
		n.releaseSlot(a.Host, u.Name)
		if last.Outcome == proto.OutcomeDone {
			return last
		}
		unknown = unknown || last.Outcome == proto.OutcomeUnknown
		if !idempotent {
			break
		}
	}
	if unknown {
		last.Outcome = proto.OutcomeUnknown
	}
	return last
}

// acquireSlot picks a random upstream and returns false if the host itself already uses all of its slots.
func (n *naiveRouter) acquireSlot(host int, service string) (fleet.Upstream, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	us := n.upstreams[service]
	u := us[n.rng.IntN(len(us))]
	k := hostUpstream{host: host, upstream: u.Name}
	if n.inUse[k] >= n.slots[service] {
		return u, false
	}
	n.inUse[k]++
	return u, true
}

func (n *naiveRouter) releaseSlot(host int, upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inUse[hostUpstream{host: host, upstream: upstream}]--
}
