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

// poolID identifies a slot pool: one upstream of a keyed service, or all upstreams of another service in a data centre.
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

// dispatcher runs the queues of the pools that this host serves. It is safe for concurrent use.
// Lock order: dispatcher, then runningPool.
type dispatcher struct {
	view  *route.View
	clock func() time.Duration
	cfg   admit.Config

	mu    sync.Mutex
	pools map[poolID]*runningPool
}

// runningPool runs one queue: it delivers its decisions and calls Tick when one is due.
type runningPool struct {
	id    poolID
	clock func() time.Duration

	mu    sync.Mutex
	queue *admit.Queue
	table *route.Table
	// pending holds a channel of capacity 1 for each waiting request, by request ID.
	pending map[string]chan admit.Decision
	// nextTick is the time of the next scheduled tick, or 0 if none is scheduled.
	nextTick time.Duration
}

func newDispatcher(v *route.View, clock func() time.Duration, cfg admit.Config) *dispatcher {
	return &dispatcher{view: v, clock: clock, cfg: cfg, pools: map[poolID]*runningPool{}}
}

// pool returns a pool, updated to the upstreams of the current table. It returns false if the pool doesn't exist and the
// table has no upstream for it.
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
	p.runEvent(func(now time.Duration) []admit.Decision {
		if p.table == table {
			return nil
		}
		p.table = table
		return p.queue.SetUpstreams(now, id.upstreams(table))
	})
	return p, true
}

// runEvent calls event with the lock held, delivers the resulting decisions and schedules the next tick.
func (p *runningPool) runEvent(event func(now time.Duration) []admit.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for _, decision := range event(now) {
		if c, ok := p.pending[decision.ID]; ok {
			delete(p.pending, decision.ID)
			c <- decision
		}
	}
	if next, ok := p.queue.NextTick(now); ok && (p.nextTick == 0 || next < p.nextTick) {
		p.nextTick = next
		time.AfterFunc(next-now, p.tick)
	}
}

func (p *runningPool) tick() {
	p.runEvent(func(now time.Duration) []admit.Decision {
		p.nextTick = 0
		return p.queue.Tick(now)
	})
}

// acquire waits for a slot until ctx ends. The caller must release the credit with the ID of the request.
func (d *dispatcher) acquire(ctx context.Context, id poolID, req admit.Request) (model.Upstream, *proto.Error) {
	p, ok := d.pool(id)
	if !ok {
		return model.Upstream{}, proto.NotRun(proto.CodeNoUpstream, http.StatusServiceUnavailable,
			"no upstream is known for the pool %s", id.key())
	}
	c := make(chan admit.Decision, 1)
	p.runEvent(func(now time.Duration) []admit.Decision {
		p.pending[req.ID] = c
		return p.queue.Submit(now, req)
	})
	select {
	case decision := <-c:
		if decision.Refused {
			return model.Upstream{}, decision.Error()
		}
		return decision.Upstream, nil
	case <-ctx.Done():
		p.cancelRequest(req.ID, c)
		return model.Upstream{}, proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable,
			"no slot was free before the deadline")
	}
}

// cancelRequest removes a request from the queue, or releases its slot if it was granted meanwhile.
func (p *runningPool) cancelRequest(id string, c chan admit.Decision) {
	p.runEvent(func(now time.Duration) []admit.Decision {
		delete(p.pending, id)
		if p.queue.Cancel(id) {
			return nil
		}
		select {
		case decision := <-c:
			if !decision.Refused {
				return p.queue.Release(now, id, admit.Result{Kind: admit.KindNeutral})
			}
		default:
			// The holder was lost and its requests were dropped without a decision.
		}
		return nil
	})
}

func (d *dispatcher) release(id poolID, request string, r admit.Result) {
	d.mu.Lock()
	p := d.pools[id]
	d.mu.Unlock()
	if p != nil {
		p.runEvent(func(now time.Duration) []admit.Decision { return p.queue.Release(now, request, r) })
	}
}

// renew extends credits for one pool.
func (d *dispatcher) renew(id poolID, credits []admit.Credit) {
	if p, ok := d.pool(id); ok {
		p.runEvent(func(now time.Duration) []admit.Decision {
			p.queue.Renew(now, credits)
			return nil
		})
	}
}

func (d *dispatcher) allPools() []*runningPool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*runningPool, 0, len(d.pools))
	for _, p := range d.pools {
		out = append(out, p)
	}
	return out
}

// removeHolder revokes the credits of a lost holder in all pools.
func (d *dispatcher) removeHolder(holder string) {
	for _, p := range d.allPools() {
		p.runEvent(func(now time.Duration) []admit.Decision { return p.queue.RemoveHolder(now, holder) })
	}
}

// inUse returns the number of slots in use by pool key and upstream name.
func (d *dispatcher) inUse() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, p := range d.allPools() {
		p.mu.Lock()
		out[p.id.key()] = p.queue.InUse()
		p.mu.Unlock()
	}
	return out
}

// setRemoteUse sets the slots in use by all other hosts, summed by pool key and upstream name.
func (d *dispatcher) setRemoteUse(counts map[string]map[string]int) {
	for _, p := range d.allPools() {
		p.runEvent(func(now time.Duration) []admit.Decision { return p.queue.SetRemoteUse(now, counts[p.id.key()]) })
	}
}

// removeIdlePools removes idle pools whose upstreams are no longer in the table.
func (d *dispatcher) removeIdlePools() {
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
