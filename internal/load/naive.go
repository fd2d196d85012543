package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"baobabreach/internal/fleet"
	"baobabreach/pkg/proto"
)

// PolicyNaive is a baseline for comparison only, which no daemon offers: the load tool takes the place of the entry
// hosts and sends to the stand-ins directly, so that no time or processor goes into a hop through a daemon.
const PolicyNaive = "naive"

const (
	// naiveMaxTries is one send and three retries. As in internal/bench, a choice of an upstream whose slots this host
	// uses up counts as a try and costs naivePause.
	naiveMaxTries   = 4
	naiveRetryDelay = time.Millisecond
)

// naiveRouter picks an upstream at random by the counts of one host only and retries without looking.
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

// send returns the last reply, and unknown rather than not_run if any try was unknown.
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

// acquireSlot returns false if the host itself uses all slots of the chosen upstream.
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
