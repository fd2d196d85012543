// Package bench compares the admission policies by running the queues of internal/admit in simulated time.
package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/model"
)

const (
	simHosts, simDCs, simUpstreams, simSlots = 12, 3, 13, 3
	simShortServiceTime, simLongServiceTime  = 10 * time.Millisecond, 50 * time.Millisecond
	simLongShare                             = 0.02 // of the requests
	hopWithinDC, hopBetweenDCs               = 200 * time.Microsecond, time.Millisecond
	simWarmUp, simEnd                        = time.Second, 6 * time.Second
	simExchangeInterval                      = 5 * time.Millisecond
	simMaxWait                               = 5 * time.Millisecond
)

type event struct {
	at  time.Duration
	seq int
	run func()
}
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

type job struct {
	id                                          string
	host, tries                                 int
	class                                       model.Class
	arrived, serviceTime, deadline, overtakenAt time.Duration
}

// pool runs an admission queue in simulated time.
type pool struct {
	sim      *sim
	queue    *admit.Queue
	pending  map[string]func(admit.Decision)
	nextTick time.Duration
}

type sim struct {
	now                                time.Duration
	events                             eventQueue
	seq                                int
	arrivalRand, naiveRand             *rand.Rand
	policy                             string
	pools                              [][]*pool // by host and data centre; all hosts share the pools of credit and relay
	slotsInUse                         [simUpstreams]int
	doneServiceTime                    [simUpstreams]time.Duration
	hostSlotsInUse                     [simHosts][simUpstreams]int
	waiting                            map[*job]bool // submitted jobs that have not started
	overheads                          []time.Duration
	goodServiceTime, maxWaitBehindLong time.Duration
	offered, refused, sheds            int
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

func hopTime(a, b int) time.Duration {
	if a%simDCs == b%simDCs {
		return hopWithinDC
	}
	return hopBetweenDCs
}

func (p *pool) deliver(ds []admit.Decision) {
	for _, d := range ds {
		if f := p.pending[d.ID]; f != nil {
			delete(p.pending, d.ID)
			f(d)
		}
	}
	if t, ok := p.queue.NextTick(p.sim.now); ok && (p.nextTick <= p.sim.now || t < p.nextTick) {
		p.nextTick = t
		p.sim.after(t-p.sim.now, func() { p.deliver(p.queue.Tick(p.sim.now)) })
	}
}

func (s *sim) submit(j *job, order int) {
	dc := (j.host + order) % simDCs
	p, last := s.pools[j.host][dc], order == simDCs
	req := admit.Request{ID: j.id + "/" + strconv.Itoa(j.tries), Class: j.class, Deadline: j.deadline}
	j.tries++
	if req.Class == model.ClassShort {
		req.Deadline = min(req.Deadline, j.arrived+admit.DefaultMaxShortWait)
	}
	if !last {
		req.MaxWait = simMaxWait
	}
	remoteQueue := s.policy == "credit" || s.policy == "relay"
	queueHop := time.Duration(0)
	if remoteQueue {
		queueHop = hopTime(j.host, dc)
	}
	s.after(queueHop, func() {
		p.pending[req.ID] = func(decision admit.Decision) {
			switch {
			case decision.Refused && last:
				s.finish(j, false)
			case decision.Refused:
				s.after(queueHop, func() { s.submit(j, order+1) })
			case s.policy == "relay":
				s.send(j, dc, upstreamIndex(decision), func(r admit.Result) {
					p.deliver(p.queue.Release(s.now, req.ID, r))
					s.after(queueHop, func() { s.handleResult(j, r) })
				})
			default:
				s.after(queueHop, func() {
					s.send(j, j.host, upstreamIndex(decision), func(r admit.Result) {
						s.after(queueHop, func() { p.deliver(p.queue.Release(s.now, req.ID, r)) })
						s.handleResult(j, r)
					})
				})
			}
		}
		p.deliver(p.queue.Submit(s.now, req))
	})
}

func upstreamIndex(d admit.Decision) int { n, _ := strconv.Atoi(d.Upstream.Name); return n }

func (s *sim) handleResult(j *job, r admit.Result) {
	if r.Kind == admit.KindDone {
		s.finish(j, true)
		return
	}
	s.submit(j, 0)
}

// send runs the job on an upstream, which sheds it if all slots are in use.
func (s *sim) send(j *job, from, u int, onResult func(admit.Result)) {
	start := s.now
	s.after(hopTime(from, u), func() {
		if s.slotsInUse[u] == simSlots {
			s.sheds++
			s.after(hopTime(from, u), func() { onResult(admit.Result{Kind: admit.KindShed}) })
			return
		}
		s.slotsInUse[u]++
		s.recordStart(j)
		s.after(j.serviceTime, func() {
			s.slotsInUse[u]--
			if s.now > simWarmUp {
				s.doneServiceTime[u] += j.serviceTime
			}
			s.after(hopTime(from, u), func() { onResult(admit.Result{Kind: admit.KindDone, Elapsed: s.now - start}) })
		})
	})
}

// recordStart is called when a job starts. It updates the longest wait of a short job after a long job started ahead of
// it, and marks the waiting short jobs if j is long.
func (s *sim) recordStart(j *job) {
	delete(s.waiting, j)
	if j.class == model.ClassShort && j.overtakenAt > 0 {
		s.maxWaitBehindLong = max(s.maxWaitBehindLong, s.now-j.overtakenAt)
	}
	if j.class == model.ClassLong {
		for w := range s.waiting {
			if w.class == model.ClassShort && w.overtakenAt == 0 {
				w.overtakenAt = s.now
			}
		}
	}
}

func (s *sim) finish(j *job, ok bool) {
	delete(s.waiting, j)
	// Work counts when it ends: work that started before the window compensates for work that ends after it.
	if ok && s.now > simWarmUp && s.now <= j.deadline {
		s.goodServiceTime += j.serviceTime
	}
	if j.arrived < simWarmUp {
		return
	}
	s.offered++
	if !ok {
		s.refused++
		return
	}
	if j.class == model.ClassShort {
		s.overheads = append(s.overheads, s.now-j.arrived-j.serviceTime)
	}
}

// routeNaive picks an upstream at random, considers only the slots that its own host uses, and retries three times
// without checking the state of the upstreams.
func (s *sim) routeNaive(j *job) {
	if j.tries++; j.tries > 4 || s.now > j.deadline {
		s.finish(j, false)
		return
	}
	u := s.naiveRand.IntN(simUpstreams)
	s.sendNaive(j, u)
}

func (s *sim) sendNaive(j *job, u int) {
	if s.hostSlotsInUse[j.host][u] >= simSlots {
		s.after(time.Millisecond, func() { s.routeNaive(j) })
		return
	}
	s.hostSlotsInUse[j.host][u]++
	s.send(j, j.host, u, func(r admit.Result) {
		s.hostSlotsInUse[j.host][u]--
		if r.Kind == admit.KindDone {
			s.finish(j, true)
			return
		}
		s.routeNaive(j)
	})
}

func (s *sim) buildPools() {
	sharedQueues := s.policy == "credit" || s.policy == "relay"
	for h := range simHosts {
		if h > 0 && sharedQueues {
			s.pools = append(s.pools, s.pools[0])
			continue
		}
		var ps []*pool
		for d := range simDCs {
			var us []model.Upstream
			for u := d; u < simUpstreams; u += simDCs {
				us = append(us, model.Upstream{Name: strconv.Itoa(u), Incarnation: 1, Slots: simSlots})
			}
			p := &pool{sim: s, queue: admit.NewQueue(admit.Config{
				Seed: uint64(h) << 32, CreditTTL: time.Hour,
			}), pending: map[string]func(admit.Decision){}}
			p.queue.SetUpstreams(0, us)
			ps = append(ps, p)
		}
		s.pools = append(s.pools, ps)
	}
	if s.policy == "shared" {
		s.after(simExchangeInterval, s.exchangeUse)
	}
}

// exchangeUse sends each host the slots in use by the other hosts; the counts are one hop old on arrival.
func (s *sim) exchangeUse() {
	for d := range simDCs {
		total := map[string]int{}
		for h := range simHosts {
			for n, c := range s.pools[h][d].queue.InUse() {
				total[n] += c
			}
		}
		for h := range simHosts {
			remoteUse := map[string]int{}
			for n, c := range s.pools[h][d].queue.InUse() {
				remoteUse[n] = total[n] - c
			}
			s.after(hopBetweenDCs, func() { p := s.pools[h][d]; p.deliver(p.queue.SetRemoteUse(s.now, remoteUse)) })
		}
	}
	s.after(simExchangeInterval, s.exchangeUse)
}

// Report is the result of one simulated run, over a window that excludes the warm-up.
type Report struct {
	// P50 and P99 are quantiles of the latency of served short requests minus their own service time.
	P50, P99 time.Duration
	// MaxWaitBehindLong is the longest wait of a short request after a long one started ahead of it.
	MaxWaitBehindLong time.Duration
	// SlotShare is the service time of requests answered within their deadline, as a share of the total slot time.
	SlotShare float64
	// Refused is the share of refused requests. Imbalance is the use of the busiest upstream relative to the mean.
	Refused, Imbalance float64
	// Sheds counts requests that an upstream refused because all its slots were in use.
	Sheds int
}

// Run simulates one policy, or "naive", at an offered load relative to the slot capacity. The same policy and load
// always give the same report.
func Run(policy string, load float64) Report {
	s := &sim{
		arrivalRand: rand.New(rand.NewPCG(1, 2)), naiveRand: rand.New(rand.NewPCG(3, 4)), policy: policy,
		waiting: map[*job]bool{},
	}
	s.buildPools()
	// A share of 0.02 of the jobs are stragglers, which run 30 times as long as their class.
	meanServiceTime := (float64(simShortServiceTime)*(1-simLongShare) + float64(simLongServiceTime)*simLongShare) *
		(0.98 + 0.02*30)
	meanGap := meanServiceTime / (simUpstreams * simSlots) / load
	n := 0
	var arrive func()
	arrive = func() {
		n++
		j := &job{
			id: strconv.Itoa(n), host: s.arrivalRand.IntN(simHosts), class: model.ClassShort, arrived: s.now,
			serviceTime: simShortServiceTime,
		}
		j.deadline = s.now + time.Second
		if s.arrivalRand.Float64() < simLongShare {
			j.class, j.serviceTime, j.deadline = model.ClassLong, simLongServiceTime, s.now+10*time.Second
		}
		if s.arrivalRand.Float64() < 0.02 {
			j.serviceTime *= 30
		}
		s.waiting[j] = true
		if policy == "naive" {
			s.routeNaive(j)
		} else {
			s.submit(j, 0)
		}
		s.after(time.Duration(s.arrivalRand.ExpFloat64()*meanGap), arrive)
	}
	s.after(0, arrive)
	for s.now < simEnd {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.overheads)
	total := time.Duration(0)
	for _, w := range s.doneServiceTime {
		total += w
	}
	capacity := float64(simUpstreams*simSlots) * float64(simEnd-simWarmUp)
	return Report{
		P50: s.overheads[len(s.overheads)/2], P99: s.overheads[len(s.overheads)*99/100],
		MaxWaitBehindLong: s.maxWaitBehindLong, Sheds: s.sheds,
		SlotShare: float64(s.goodServiceTime) / capacity, Refused: float64(s.refused) / float64(s.offered),
		Imbalance: float64(slices.Max(s.doneServiceTime[:])) * simUpstreams / float64(total),
	}
}
