// Package bench compares the admission policies by driving the queues of internal/admit with simulated time.
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
	simShort, simLong                        = 10 * time.Millisecond, 50 * time.Millisecond
	simLongShare                             = 0.02 // of the requests
	hopInside, hopBetween                    = 200 * time.Microsecond, time.Millisecond
	simWarm, simEnd                          = time.Second, 6 * time.Second
	simShare                                 = 5 * time.Millisecond
	simSpill                                 = 5 * time.Millisecond
)

type event struct {
	at  time.Duration
	seq int
	run func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

type job struct {
	id                                   string
	host, tries                          int
	class                                model.Class
	arrived, service, deadline, inverted time.Duration
}

// pool drives one real queue by simulated time.
type pool struct {
	s       *sim
	q       *admit.Queue
	pending map[string]func(admit.Decision)
	timer   time.Duration
}

type sim struct {
	now                     time.Duration
	queue                   events
	seq                     int
	r, choice               *rand.Rand
	policy                  string
	pools                   [][]*pool // per host and data centre; dispatchers are shared by all hosts
	busy                    [simUpstreams]int
	work                    [simUpstreams]time.Duration
	own                     [simHosts][simUpstreams]int
	waiting                 map[*job]bool
	over                    []time.Duration
	good, behind            time.Duration
	offered, refused, sheds int
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, f})
}

func hop(a, b int) time.Duration {
	if a%simDCs == b%simDCs {
		return hopInside
	}
	return hopBetween
}

func (p *pool) do(es []admit.Decision) {
	for _, e := range es {
		if f := p.pending[e.ID]; f != nil {
			delete(p.pending, e.ID)
			f(e)
		}
	}
	if t, ok := p.q.NextTick(p.s.now); ok && (p.timer <= p.s.now || t < p.timer) {
		p.timer = t
		p.s.after(t-p.s.now, func() { p.do(p.q.Tick(p.s.now)) })
	}
}

func (s *sim) submit(j *job, order int) {
	d := (j.host + order) % simDCs
	p, last := s.pools[j.host][d], order == simDCs
	a := admit.Request{ID: j.id + "/" + strconv.Itoa(j.tries), Class: j.class, Deadline: j.deadline}
	j.tries++
	if a.Class == model.ClassShort {
		a.Deadline = min(a.Deadline, j.arrived+admit.DefaultMaxShortWait)
	}
	if !last {
		a.MaxWait = simSpill
	}
	remote := s.policy == "credit" || s.policy == "relay"
	travel := time.Duration(0)
	if remote {
		travel = hop(j.host, d)
	}
	s.after(travel, func() {
		p.pending[a.ID] = func(e admit.Decision) {
			switch {
			case e.Refused && last:
				s.finish(j, false)
			case e.Refused:
				s.after(travel, func() { s.submit(j, order+1) })
			case s.policy == "relay":
				s.send(j, d, upstreamIndex(e), func(r admit.Result) {
					p.do(p.q.Release(s.now, a.ID, r))
					s.after(travel, func() { s.answered(j, r) })
				})
			default:
				s.after(travel, func() {
					s.send(j, j.host, upstreamIndex(e), func(r admit.Result) {
						s.after(travel, func() { p.do(p.q.Release(s.now, a.ID, r)) })
						s.answered(j, r)
					})
				})
			}
		}
		p.do(p.q.Submit(s.now, a))
	})
}

func upstreamIndex(e admit.Decision) int { n, _ := strconv.Atoi(e.Upstream.Name); return n }

func (s *sim) answered(j *job, r admit.Result) {
	if r.Kind == admit.KindDone {
		s.finish(j, true)
		return
	}
	s.submit(j, 0)
}

// send runs the job on an upstream, which sheds when it is full.
func (s *sim) send(j *job, from, u int, then func(admit.Result)) {
	start := s.now
	s.after(hop(from, u), func() {
		if s.busy[u] == simSlots {
			s.sheds++
			s.after(hop(from, u), func() { then(admit.Result{Kind: admit.KindShed}) })
			return
		}
		s.busy[u]++
		s.started(j)
		s.after(j.service, func() {
			s.busy[u]--
			if s.now > simWarm {
				s.work[u] += j.service
			}
			s.after(hop(from, u), func() { then(admit.Result{Kind: admit.KindDone, Elapsed: s.now - start}) })
		})
	})
}

// started notes for how long short jobs waited after a long one was started before them.
func (s *sim) started(j *job) {
	delete(s.waiting, j)
	if j.class == model.ClassShort && j.inverted > 0 {
		s.behind = max(s.behind, s.now-j.inverted)
	}
	if j.class == model.ClassLong {
		for w := range s.waiting {
			if w.class == model.ClassShort && w.inverted == 0 {
				w.inverted = s.now
			}
		}
	}
}

func (s *sim) finish(j *job, ok bool) {
	delete(s.waiting, j)
	// Work is counted by its end: work begun before the window stands for that which ends after it.
	if ok && s.now > simWarm && s.now <= j.deadline {
		s.good += j.service
	}
	if j.arrived < simWarm {
		return
	}
	s.offered++
	if !ok {
		s.refused++
		return
	}
	if j.class == model.ClassShort {
		s.over = append(s.over, s.now-j.arrived-j.service)
	}
}

// naive picks an upstream at random, waits only for its own count and retries three times without looking.
func (s *sim) naive(j *job) {
	if j.tries++; j.tries > 4 || s.now > j.deadline {
		s.finish(j, false)
		return
	}
	u := s.choice.IntN(simUpstreams)
	s.naiveTry(j, u)
}

func (s *sim) naiveTry(j *job, u int) {
	if s.own[j.host][u] >= simSlots {
		s.after(time.Millisecond, func() { s.naive(j) })
		return
	}
	s.own[j.host][u]++
	s.send(j, j.host, u, func(r admit.Result) {
		s.own[j.host][u]--
		if r.Kind == admit.KindDone {
			s.finish(j, true)
			return
		}
		s.naive(j)
	})
}

func (s *sim) build() {
	shared := s.policy == "credit" || s.policy == "relay"
	for h := range simHosts {
		if h > 0 && shared {
			s.pools = append(s.pools, s.pools[0])
			continue
		}
		var ps []*pool
		for d := range simDCs {
			var us []model.Upstream
			for u := d; u < simUpstreams; u += simDCs {
				us = append(us, model.Upstream{Name: strconv.Itoa(u), Incarnation: 1, Slots: simSlots})
			}
			p := &pool{s: s, q: admit.NewQueue(admit.Config{
				Seed: uint64(h) << 32, CreditTTL: time.Hour,
			}), pending: map[string]func(admit.Decision){}}
			p.q.SetUpstreams(0, us)
			ps = append(ps, p)
		}
		s.pools = append(s.pools, ps)
	}
	if s.policy == "shared" {
		s.after(simShare, s.exchange)
	}
}

// exchange tells every host the counts of the others, as they were one hop ago.
func (s *sim) exchange() {
	for d := range simDCs {
		total := map[string]int{}
		for h := range simHosts {
			for n, c := range s.pools[h][d].q.InUse() {
				total[n] += c
			}
		}
		for h := range simHosts {
			others := map[string]int{}
			for n, c := range s.pools[h][d].q.InUse() {
				others[n] = total[n] - c
			}
			s.after(hopBetween, func() { p := s.pools[h][d]; p.do(p.q.SetRemoteUse(s.now, others)) })
		}
	}
	s.after(simShare, s.exchange)
}

// Report is the result of one simulated run, over a window that excludes the warm-up.
type Report struct {
	// P50 and P99 are the latencies of served short requests less their own service time.
	P50, P99 time.Duration
	// Behind is the longest wait of a short request after a long one was started before it.
	Behind time.Duration
	// Goodput is the service time of requests answered within their deadline as a share of the slot time.
	Goodput float64
	// Refused is a share of the requests. Imbalance is the use of the busiest upstream relative to the mean.
	Refused, Imbalance float64
	// Sheds counts requests that an upstream refused because its slots were in use.
	Sheds int
}

// Run simulates one policy, or "naive", at a load relative to the capacity of the slots. The same policy and load
// always give the same report.
func Run(policy string, load float64) Report {
	s := &sim{r: rand.New(rand.NewPCG(1, 2)), choice: rand.New(rand.NewPCG(3, 4)), policy: policy, waiting: map[*job]bool{}}
	s.build()
	mean := (float64(simShort)*(1-simLongShare) + float64(simLong)*simLongShare) * (0.98 + 0.02*30)
	gap := mean / (simUpstreams * simSlots) / load
	n := 0
	var arrive func()
	arrive = func() {
		n++
		j := &job{id: strconv.Itoa(n), host: s.r.IntN(simHosts), class: model.ClassShort, arrived: s.now, service: simShort}
		j.deadline = s.now + time.Second
		if s.r.Float64() < simLongShare {
			j.class, j.service, j.deadline = model.ClassLong, simLong, s.now+10*time.Second
		}
		if s.r.Float64() < 0.02 {
			j.service *= 30
		}
		s.waiting[j] = true
		if policy == "naive" {
			s.naive(j)
		} else {
			s.submit(j, 0)
		}
		s.after(time.Duration(s.r.ExpFloat64()*gap), arrive)
	}
	s.after(0, arrive)
	for s.now < simEnd {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.over)
	total := time.Duration(0)
	for _, w := range s.work {
		total += w
	}
	capacity := float64(simUpstreams*simSlots) * float64(simEnd-simWarm)
	return Report{
		P50: s.over[len(s.over)/2], P99: s.over[len(s.over)*99/100], Behind: s.behind, Sheds: s.sheds,
		Goodput: float64(s.good) / capacity, Refused: float64(s.refused) / float64(s.offered),
		Imbalance: float64(slices.Max(s.work[:])) * simUpstreams / float64(total),
	}
}
