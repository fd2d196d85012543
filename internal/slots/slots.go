// Package slots shares the slots of the upstreams between the entry hosts. Each host queues for the pools it is the
// dispatcher of and asks the dispatchers of the other pools; package admit decides, this package carries the messages.
package slots

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/clock"
	"baobabreach/internal/config"
	"baobabreach/internal/entry"
	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

// The admission policies.
const (
	policyLocal  config.Policy = "local"
	policyShared config.Policy = "shared"
	policyCredit config.Policy = "credit"
	policyRelay  config.Policy = "relay"
)

// Paths of the control address for admission.
const (
	pathAcquire = "/control/v1/slots/acquire"
	pathSettle  = "/control/v1/slots/settle"
	pathCounts  = "/control/v1/slots/counts"
	pathRelay   = "/control/v1/slots/relay"
)

const (
	// spillWait is the expected wait from which a request tries the pool of another data centre.
	spillWait = 5 * time.Millisecond
	// acquireRound bounds one wait at a dispatcher. A request that waits longer asks again with the same deadline and
	// so keeps its place; a dispatcher that is lost meanwhile is noticed.
	acquireRound  = time.Second
	acquireMargin = 150 * time.Millisecond
	settleTimeout = 300 * time.Millisecond
	// suspectFor is the time for which a dispatcher that could not be reached is passed over.
	suspectFor = time.Second
	// releaseDelay is the time a release waits for an acquire to the same dispatcher that carries it.
	releaseDelay   = 500 * time.Microsecond
	keepInterval   = admit.DefaultCreditTTL / 4
	sharedInterval = 10 * time.Millisecond
	// lostAfter covers the list of a new leader, which lacks the daemons that have not yet renewed their lease with it.
	lostAfter      = time.Second
	maxDispatchers = 3
	// maxPerPool bounds the requests of one pool on one host, so that a slow upstream doesn't fill its memory.
	maxPerPool = 1024
	forever    = 365 * 24 * time.Hour
)

type acquireQuery struct {
	Pool   poolID      `json:"pool"`
	ID     string      `json:"id"`
	Holder string      `json:"holder"`
	Class  model.Class `json:"class"`
	// LeftUs and MaxWaitUs are relative, as hosts share no clock.
	LeftUs    int64     `json:"left_us"`
	MaxWaitUs int64     `json:"max_wait_us"`
	Settled   []settled `json:"settled,omitempty"`
}

type acquireAnswer struct {
	Upstream model.Upstream `json:"upstream"`
	// Waiting is true if the round ended without a decision.
	Waiting bool `json:"waiting,omitempty"`
}

// settled is a slot given back.
type settled struct {
	Pool   poolID       `json:"pool"`
	ID     string       `json:"id"`
	Result admit.Result `json:"result"`
}

type kept struct {
	Pool poolID     `json:"pool"`
	Held admit.Held `json:"held"`
}

type settleQuery struct {
	Settled []settled `json:"settled,omitempty"`
	Kept    []kept    `json:"kept,omitempty"`
}

type countsAnswer struct {
	InUse map[string]map[string]int `json:"in_use"`
}

// holding is a credit in use or a relayed request in flight.
type holding struct {
	kept
	address string
	cancel  context.CancelFunc
}

// Slots is the admission of an entry host and, for the pools it is chosen for, of the others. Safe for concurrent use.
type Slots struct {
	host       string
	dataCentre string
	policy     config.Policy
	view       *route.View
	clock      func() time.Duration
	local      *dispatcher
	client     *http.Client
	token      string
	// server forwards relayed requests; it is set before the first request.
	server    *entry.Server
	maxAnswer int64
	nonce     string
	sequence  atomic.Uint64

	mu       sync.Mutex
	suspects map[string]time.Duration
	holdings map[string]holding
	// unsent holds the releases per dispatcher address that no message has carried yet.
	unsent  map[string][]settled
	perPool map[poolID]int
	// seen holds the daemons of the fleet by host, with the time at which each was last in the view.
	seen map[string]seenDaemon
}

type seenDaemon struct {
	route.Daemon
	at time.Duration
}

// Config configures Slots.
type Config struct {
	Host       string
	DataCentre string
	Policy     config.Policy
	View       *route.View
	// Clock is the time since any fixed moment.
	Clock func() time.Duration
	// Client carries credits and relayed requests, which may be many and large. Token goes with each message.
	Client *http.Client
	Token  string
	// MaxAnswerBytes bounds the answer to a relayed request.
	MaxAnswerBytes int64
}

// New returns the admission of one host. SetServer must be called before the first request.
func New(cfg Config) *Slots {
	var b [6]byte
	_, _ = rand.Read(b[:])
	queue := admit.Config{Seed: xxhash.Sum64String(cfg.Host)}
	if cfg.Policy == policyLocal || cfg.Policy == policyShared {
		// The holder is this process, so its credits can't outlive it.
		queue.CreditTTL = forever
	}
	return &Slots{
		host: cfg.Host, dataCentre: cfg.DataCentre, policy: cfg.Policy, view: cfg.View, clock: cfg.Clock,
		local: newDispatcher(cfg.View, cfg.Clock, queue), token: cfg.Token, maxAnswer: cfg.MaxAnswerBytes,
		client: cfg.Client, nonce: hex.EncodeToString(b[:]), suspects: map[string]time.Duration{},
		holdings: map[string]holding{}, unsent: map[string][]settled{}, perPool: map[poolID]int{},
		seen: map[string]seenDaemon{},
	}
}

// SetServer names the server that forwards relayed requests.
func (s *Slots) SetServer(server *entry.Server) { s.server = server }

// Mount adds the routes between the hosts to the router of the control address.
func (s *Slots) Mount(m *mux.Router) {
	m.Handle(pathAcquire, peer.Handle(peer.MaxBodyBytes, s.serveAcquire)).Methods(http.MethodPost)
	m.Handle(pathSettle, peer.Handle(peer.MaxBodyBytes, s.serveSettle)).Methods(http.MethodPost)
	m.Handle(pathCounts, peer.Handle(peer.MaxBodyBytes, s.serveCounts)).Methods(http.MethodPost)
	m.HandleFunc(pathRelay, s.serveRelay).Methods(http.MethodPost)
}

// Run keeps the credits of this host, and exchanges counts under the policy shared, until ctx ends.
func (s *Slots) Run(ctx context.Context) {
	if s.policy == policyShared {
		go clock.Every(ctx, sharedInterval, s.exchange)
	}
	clock.Every(ctx, keepInterval, s.maintain)
}

// Relays tells whether the policy hands whole requests to the dispatchers.
func (s *Slots) Relays() bool { return s.policy == policyRelay }

// Acquire implements entry.Slots.
func (s *Slots) Acquire(ctx context.Context, t entry.SlotRequest) (model.Upstream, func(admit.Result), *proto.Error) {
	var u model.Upstream
	var release func(admit.Result)
	err := s.eachPool(ctx, t, func(id poolID, a admit.Request) *proto.Error {
		var err *proto.Error
		u, release, err = s.acquireFrom(ctx, id, a)
		return err
	})
	if err != nil {
		return u, nil, err
	}
	if t.Request.Service.Keyed && u != t.Upstreams[0] {
		release(admit.Result{Kind: admit.KindNeutral})
		return u, nil, proto.NotRun(proto.CodeStaleGrant, http.StatusServiceUnavailable,
			"the dispatcher knows another incarnation of upstream %s", u.Name)
	}
	return u, release, nil
}

// eachPool tries the pools of a request, the local data centre first. A pool of another data centre is tried when
// those before it have no room soon; if none has, the request waits in the first.
func (s *Slots) eachPool(ctx context.Context, t entry.SlotRequest, try func(poolID, admit.Request) *proto.Error) *proto.Error {
	pools := s.pools(t)
	now := s.clock()
	deadline := now + forever
	if d, ok := ctx.Deadline(); ok {
		deadline = now + time.Until(d)
	}
	if t.Request.Class == model.ClassShort {
		deadline = min(deadline, now+admit.DefaultMaxShortWait)
	}
	var err *proto.Error
	for i := range len(pools) + 1 {
		last := i == len(pools)
		if (last && t.NoWait) || (len(pools) == 1 && !last && !t.NoWait) {
			continue
		}
		id := pools[i%len(pools)]
		a := admit.Request{ID: s.newID(), Holder: s.host, Class: t.Request.Class, Deadline: deadline, MaxWait: spillWait}
		switch {
		case t.NoWait:
			a.MaxWait = time.Nanosecond
		case last:
			a.MaxWait = 0
		}
		if !s.enter(id) {
			return proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable,
				"too many requests wait for service %s", id.Service).WithRetryAfterMs(spillWait.Milliseconds())
		}
		err = try(id, a)
		s.leave(id)
		if err == nil || ctx.Err() != nil || (err.Code != proto.CodeOverloaded && err.Code != proto.CodeNoUpstream) {
			return err
		}
	}
	return err
}

// pools returns the pools of the upstreams, the one of the local data centre first.
func (s *Slots) pools(t entry.SlotRequest) []poolID {
	var out []poolID
	for _, u := range t.Upstreams {
		id := poolID{Service: u.Service, DataCentre: u.DataCentre}
		if t.Request.Service.Keyed {
			id.Upstream = u.Name
		}
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b poolID) int {
		if local := a.DataCentre == s.dataCentre; local != (b.DataCentre == s.dataCentre) {
			if local {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(a.key(), s.host), score(b.key(), s.host))
	})
	return out
}

func (s *Slots) newID() string { return s.nonce + strconv.FormatUint(s.sequence.Add(1), 36) }

func (s *Slots) enter(id poolID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perPool[id] >= maxPerPool {
		return false
	}
	s.perPool[id]++
	return true
}

func (s *Slots) leave(id poolID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perPool[id]--; s.perPool[id] == 0 {
		delete(s.perPool, id)
	}
}

// score ranks the hosts of a pool by rendezvous hashing.
func score(pool, host string) uint64 { return xxhash.Sum64String(pool + "\x00" + host) }

// dispatchers returns the live daemons of the pool's data centre in rendezvous order, without suspects.
func (s *Slots) dispatchers(id poolID) []route.Daemon {
	now := s.clock()
	var out []route.Daemon
	s.mu.Lock()
	s.look(now)
	for _, d := range s.seen {
		if d.DataCentre == id.DataCentre && now >= s.suspects[d.Control] {
			out = append(out, d.Daemon)
		}
	}
	s.mu.Unlock()
	key := id.key()
	slices.SortFunc(out, func(a, b route.Daemon) int { return cmp.Compare(score(key, b.Host), score(key, a.Host)) })
	return out[:min(len(out), maxDispatchers)]
}

func (s *Slots) suspect(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[address] = s.clock() + suspectFor
}

// acquireFrom asks the dispatcher of a pool, the next in order if it can't be reached, and in the end this host.
func (s *Slots) acquireFrom(
	ctx context.Context, id poolID, a admit.Request,
) (model.Upstream, func(admit.Result), *proto.Error) {
	if s.policy == policyCredit {
		for _, d := range s.dispatchers(id) {
			if d.Host == s.host {
				break
			}
			u, err, reached := s.acquireRemote(ctx, d.Control, id, a)
			if reached && err != nil {
				return u, nil, err
			}
			if reached {
				return u, s.releaser(d.Control, id, a, u), nil
			}
		}
	}
	u, err := s.local.acquire(ctx, id, a)
	if err != nil {
		return u, nil, err
	}
	return u, s.releaser("", id, a, u), nil
}

// acquireRemote returns false if the dispatcher can't be reached. A credit that was granted meanwhile expires.
func (s *Slots) acquireRemote(
	ctx context.Context, address string, id poolID, a admit.Request,
) (model.Upstream, *proto.Error, bool) {
	for {
		left := a.Deadline - s.clock()
		q := acquireQuery{
			Pool: id, ID: a.ID, Holder: a.Holder, Class: a.Class, LeftUs: left.Microseconds(),
			MaxWaitUs: (a.MaxWait + time.Microsecond - 1).Microseconds(), Settled: s.takeUnsent(address),
		}
		tryCtx, cancel := context.WithTimeout(ctx, max(0, min(left, acquireRound))+acquireMargin)
		r, err := peer.Call[acquireQuery, acquireAnswer](tryCtx, s.client, "http://"+address+pathAcquire, s.token, q)
		cancel()
		switch {
		case err == nil && !r.Waiting:
			return r.Upstream, nil, true
		case err == nil:
			continue
		case ctx.Err() != nil:
			return model.Upstream{}, proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable,
				"no slot was free before the deadline"), true
		}
		if e := peer.AsError(err); e.Code != proto.CodeInternal {
			return model.Upstream{}, e, true
		}
		// The releases that the message carried may be lost; their credits expire with their time limit.
		s.suspect(address)
		return model.Upstream{}, nil, false
	}
}

// releaser records the credit until the returned function gives it back.
func (s *Slots) releaser(address string, id poolID, a admit.Request, u model.Upstream) func(admit.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings[a.ID] = holding{
		kept:    kept{Pool: id, Held: admit.Held{ID: a.ID, Holder: s.host, Upstream: u.Name, Class: a.Class}},
		address: address,
	}
	return func(r admit.Result) { s.release(a.ID, r) }
}

func (s *Slots) release(id string, r admit.Result) {
	s.mu.Lock()
	h, ok := s.holdings[id]
	delete(s.holdings, id)
	if !ok || h.address == "" {
		s.mu.Unlock()
		if ok {
			s.local.release(h.Pool, id, r)
		}
		return
	}
	first := len(s.unsent[h.address]) == 0
	s.unsent[h.address] = append(s.unsent[h.address], settled{Pool: h.Pool, ID: id, Result: r})
	s.mu.Unlock()
	if first {
		time.AfterFunc(releaseDelay, func() { s.flush(h.address) })
	}
}

func (s *Slots) takeUnsent(address string) []settled {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.unsent[address]
	delete(s.unsent, address)
	return out
}

func (s *Slots) flush(address string) {
	if out := s.takeUnsent(address); len(out) > 0 {
		s.settle(context.Background(), address, settleQuery{Settled: out})
	}
}

func (s *Slots) settle(ctx context.Context, address string, q settleQuery) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := peer.Call[settleQuery, struct{}](ctx, s.client, "http://"+address+pathSettle, s.token, q); err != nil {
		s.suspect(address)
	}
}

func (s *Slots) serveAcquire(ctx context.Context, q acquireQuery) (acquireAnswer, error) {
	s.giveBack(q.Settled)
	ctx, cancel := context.WithTimeout(ctx, acquireRound)
	defer cancel()
	u, err := s.local.acquire(ctx, q.Pool, admit.Request{
		ID: q.ID, Holder: q.Holder, Class: q.Class, Deadline: s.clock() + time.Duration(q.LeftUs)*time.Microsecond,
		MaxWait: time.Duration(q.MaxWaitUs) * time.Microsecond,
	})
	if err != nil && err.Code == proto.CodeDeadline {
		return acquireAnswer{Waiting: true}, nil
	}
	if err != nil {
		return acquireAnswer{}, err
	}
	return acquireAnswer{Upstream: u}, nil
}

func (s *Slots) serveSettle(_ context.Context, q settleQuery) (struct{}, error) {
	s.giveBack(q.Settled)
	s.keep(q.Kept)
	return struct{}{}, nil
}

func (s *Slots) giveBack(xs []settled) {
	for _, x := range xs {
		s.local.release(x.Pool, x.ID, x.Result)
	}
}

func (s *Slots) keep(ks []kept) {
	byPool := map[poolID][]admit.Held{}
	for _, k := range ks {
		byPool[k.Pool] = append(byPool[k.Pool], k.Held)
	}
	for id, hs := range byPool {
		s.local.keep(id, hs)
	}
}

func (s *Slots) serveCounts(context.Context, struct{}) (countsAnswer, error) {
	return countsAnswer{InUse: s.local.inUse()}, nil
}

// maintain keeps the credits in use at the present dispatchers of their pools, and gives up on lost hosts.
func (s *Slots) maintain(ctx context.Context) {
	s.local.sweep()
	s.noticeLost()
	for address, ks := range s.credits() {
		if address == "" {
			s.keep(ks)
			continue
		}
		go s.settle(ctx, address, settleQuery{Kept: ks})
	}
}

// credits returns the credits in use per dispatcher. One whose dispatcher has changed moves to the new one, which
// takes it over; it expires at the old one.
func (s *Slots) credits() map[string][]kept {
	out := map[string][]kept{}
	if s.policy == policyLocal || s.policy == policyShared {
		return out
	}
	addresses := map[poolID]string{}
	s.mu.Lock()
	for _, h := range s.holdings {
		addresses[h.Pool] = ""
	}
	s.mu.Unlock()
	for id := range addresses {
		if ds := s.dispatchers(id); s.policy == policyCredit && len(ds) > 0 && ds[0].Host != s.host {
			addresses[id] = ds[0].Control
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.holdings {
		if h.cancel != nil {
			continue
		}
		if a, ok := addresses[h.Pool]; ok {
			h.address = a
			s.holdings[id] = h
		}
		out[h.address] = append(out[h.address], h.kept)
	}
	return out
}

// look notes the daemons of the view. The caller holds the lock.
func (s *Slots) look(now time.Duration) {
	for _, d := range s.view.Daemons() {
		s.seen[d.Host] = seenDaemon{Daemon: d, at: now}
	}
}

// noticeLost takes back the credits of hosts that are no longer live and ends relayed requests to them.
func (s *Slots) noticeLost() {
	now := s.clock()
	var lost []string
	addresses := map[string]bool{}
	s.mu.Lock()
	s.look(now)
	for n, d := range s.seen {
		if now-d.at < lostAfter {
			addresses[d.Control] = true
			continue
		}
		delete(s.seen, n)
		lost = append(lost, n)
	}
	for _, h := range s.holdings {
		if h.cancel != nil && !addresses[h.address] {
			h.cancel()
		}
	}
	for a, until := range s.suspects {
		if now >= until {
			delete(s.suspects, a)
		}
	}
	s.mu.Unlock()
	for _, n := range lost {
		if n != s.host {
			s.local.lost(n)
		}
	}
}

// exchange asks the other hosts for their counts; a host that doesn't answer counts as using nothing.
func (s *Slots) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sharedInterval)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	sum := map[string]map[string]int{}
	for _, d := range s.view.Daemons() {
		if d.Host == s.host {
			continue
		}
		wg.Go(func() {
			a, err := peer.Call[struct{}, countsAnswer](ctx, s.client, "http://"+d.Control+pathCounts, s.token, struct{}{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for pool, us := range a.InUse {
				if sum[pool] == nil {
					sum[pool] = map[string]int{}
				}
				for u, n := range us {
					sum[pool][u] += n
				}
			}
		})
	}
	wg.Wait()
	s.local.setOthers(sum)
}
