package slots

import (
	"context"
	"net/http"
	"sync"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/model"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"
)

// poolID names a slot pool: an upstream of a keyed service, or otherwise a service in a data centre.
type poolID struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Upstream is empty for a service that is not keyed.
	Upstream string `json:"upstream,omitempty"`
}

func (p poolID) key() string { return p.Service + "/" + p.DataCentre + "/" + p.Upstream }

func (p poolID) upstreams(t *route.Table) []model.Upstream {
	if p.Upstream != "" {
		if u, ok := t.Upstreams[p.Upstream]; ok {
			return []model.Upstream{u}
		}
		return nil
	}
	var out []model.Upstream
	for _, u := range t.Candidates(p.Service) {
		if u.DataCentre == p.DataCentre {
			out = append(out, u)
		}
	}
	return out
}

// dispatcher runs the queues of the pools that this host is responsible for. It is safe for concurrent use.
// Lock order: dispatcher, then runningPool.
type dispatcher struct {
	view  *route.View
	clock func() time.Duration
	cfg   admit.Config

	mu    sync.Mutex
	pools map[poolID]*runningPool
}

// runningPool drives one queue: it delivers effects and ticks the queue when it asks for it.
type runningPool struct {
	id    poolID
	clock func() time.Duration

	mu    sync.Mutex
	queue *admit.Queue
	table *route.Table
	// pending holds a channel of capacity 1 per request that waits.
	pending map[string]chan admit.Decision
	// armed is the time of the next tick, or 0.
	armed time.Duration
}

func newDispatcher(v *route.View, clock func() time.Duration, cfg admit.Config) *dispatcher {
	return &dispatcher{view: v, clock: clock, cfg: cfg, pools: map[poolID]*runningPool{}}
}

// pool returns the pool with the upstreams of the present table.
func (d *dispatcher) pool(id poolID) (*runningPool, bool) {
	table, _ := d.view.Table()
	d.mu.Lock()
	p := d.pools[id]
	if p == nil {
		if len(id.upstreams(table)) == 0 {
			d.mu.Unlock()
			return nil, false
		}
		p = &runningPool{id: id, clock: d.clock, queue: admit.NewQueue(d.cfg), pending: map[string]chan admit.Decision{}}
		d.pools[id] = p
	}
	d.mu.Unlock()
	p.do(func(now time.Duration) []admit.Decision {
		if p.table == table {
			return nil
		}
		p.table = table
		return p.queue.SetUpstreams(now, id.upstreams(table))
	})
	return p, true
}

// do runs one event of the queue and delivers its effects.
func (p *runningPool) do(event func(now time.Duration) []admit.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for _, e := range event(now) {
		if c, ok := p.pending[e.ID]; ok {
			delete(p.pending, e.ID)
			c <- e
		}
	}
	if next, ok := p.queue.NextTick(now); ok && (p.armed == 0 || next < p.armed) {
		p.armed = next
		time.AfterFunc(next-now, p.tick)
	}
}

func (p *runningPool) tick() {
	p.do(func(now time.Duration) []admit.Decision {
		p.armed = 0
		return p.queue.Tick(now)
	})
}

// acquire waits for a slot until ctx ends. The credit must be released with the id of the Ask.
func (d *dispatcher) acquire(ctx context.Context, id poolID, a admit.Request) (model.Upstream, *proto.Error) {
	p, ok := d.pool(id)
	if !ok {
		return model.Upstream{}, proto.NotRun(proto.CodeNoUpstream, http.StatusServiceUnavailable,
			"no upstream is known for the pool %s", id.key())
	}
	c := make(chan admit.Decision, 1)
	p.do(func(now time.Duration) []admit.Decision {
		p.pending[a.ID] = c
		return p.queue.Submit(now, a)
	})
	select {
	case e := <-c:
		if e.Refused {
			return model.Upstream{}, e.Error()
		}
		return e.Upstream, nil
	case <-ctx.Done():
		p.abandon(a.ID, c)
		return model.Upstream{}, proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable,
			"no slot was free before the deadline")
	}
}

// abandon takes a request out of the queue, or gives its slot back if the grant came first.
func (p *runningPool) abandon(id string, c chan admit.Decision) {
	p.do(func(now time.Duration) []admit.Decision {
		delete(p.pending, id)
		if p.queue.Cancel(id) {
			return nil
		}
		select {
		case e := <-c:
			if !e.Refused {
				return p.queue.Release(now, id, admit.Result{Kind: admit.KindNeutral})
			}
		default:
			// The holder was reported lost, which dropped the request without an effect.
		}
		return nil
	})
}

func (d *dispatcher) release(id poolID, request string, r admit.Result) {
	d.mu.Lock()
	p := d.pools[id]
	d.mu.Unlock()
	if p != nil {
		p.do(func(now time.Duration) []admit.Decision { return p.queue.Release(now, request, r) })
	}
}

// keep extends credits of one pool.
func (d *dispatcher) keep(id poolID, hs []admit.Held) {
	if p, ok := d.pool(id); ok {
		p.do(func(now time.Duration) []admit.Decision {
			p.queue.Keep(now, hs)
			return nil
		})
	}
}

func (d *dispatcher) all() []*runningPool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*runningPool, 0, len(d.pools))
	for _, p := range d.pools {
		out = append(out, p)
	}
	return out
}

// lost takes back the credits of a holder that is no longer live.
func (d *dispatcher) lost(holder string) {
	for _, p := range d.all() {
		p.do(func(now time.Duration) []admit.Decision { return p.queue.Lost(now, holder) })
	}
}

// inUse returns the slots in use per pool key and upstream.
func (d *dispatcher) inUse() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, p := range d.all() {
		p.mu.Lock()
		out[p.id.key()] = p.queue.InUse()
		p.mu.Unlock()
	}
	return out
}

// setOthers installs the counts of all other hosts, summed per pool key and upstream.
func (d *dispatcher) setOthers(counts map[string]map[string]int) {
	for _, p := range d.all() {
		p.do(func(now time.Duration) []admit.Decision { return p.queue.SetRemoteUse(now, counts[p.id.key()]) })
	}
}

// sweep forgets pools without upstreams and without use.
func (d *dispatcher) sweep() {
	table, _ := d.view.Table()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.pools {
		p.mu.Lock()
		idle := p.queue.Idle() && len(p.pending) == 0 && len(id.upstreams(table)) == 0
		p.mu.Unlock()
		if idle {
			delete(d.pools, id)
		}
	}
}
