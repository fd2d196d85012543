// Package slots distributes the slots of the upstreams among the entry hosts. Each host runs the queues of the pools that
// it is the dispatcher of, and requests slots of the other pools from their dispatchers. Package admit implements the
// queues, this package the communication between the hosts.
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
	"baobabreach/internal/room"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

// Admission policies.
const (
	policyLocal  config.Policy = "local"
	policyShared config.Policy = "shared"
	policyCredit config.Policy = "credit"
	policyRelay  config.Policy = "relay"
)

// Paths on the control address of a host.
const (
	pathAcquire = "/control/v1/slots/acquire"
	pathSettle  = "/control/v1/slots/settle"
	pathCounts  = "/control/v1/slots/counts"
	pathRelay   = "/control/v1/slots/relay"
)

const (
	// spilloverWait is the expected wait above which a request tries the pool of another data centre.
	spilloverWait = 5 * time.Millisecond
	// acquirePollTime limits one long poll of a dispatcher, so that the loss of the dispatcher is detected. A request that
	// waits longer polls again with the same deadline and so keeps its place in the queue.
	acquirePollTime = time.Second
	// acquireTimeoutMargin is the time for the network round trip that is added to the poll time before the dispatcher
	// counts as unreachable.
	acquireTimeoutMargin = 150 * time.Millisecond
	settleTimeout        = 300 * time.Millisecond
	// suspectTime is the time for which an unreachable dispatcher is skipped.
	suspectTime = time.Second
	// releaseBatchDelay is the time for which a release waits to be sent along with an acquire request to the same dispatcher.
	releaseBatchDelay = 500 * time.Microsecond
	renewInterval     = admit.DefaultCreditTTL / 4
	countsInterval    = 10 * time.Millisecond
	// hostLostAfter is the time after which a daemon that is missing from the view is lost. It must not be shorter than the
	// gap after a change of leader: the list of a new leader lacks the daemons that have not yet renewed their lease with it.
	hostLostAfter  = time.Second
	maxDispatchers = 3
	// maxRequestsPerPool limits the requests for one pool on one host, so that a slow upstream can't exhaust the host's memory.
	maxRequestsPerPool = 1024
	// noTimeout stands for a missing deadline or expiry. It is finite, because it is added to clock values and sent in
	// messages.
	noTimeout = 365 * 24 * time.Hour
)

type acquireRequest struct {
	Pool   poolID      `json:"pool"`
	ID     string      `json:"id"`
	Holder string      `json:"holder"`
	Class  model.Class `json:"class"`
	// LeftUs and MaxWaitUs are durations, as the clocks of the hosts are not synchronized.
	LeftUs    int64            `json:"left_us"`
	MaxWaitUs int64            `json:"max_wait_us"`
	Released  []releasedCredit `json:"settled,omitempty"`
}

type acquireResponse struct {
	Upstream model.Upstream `json:"upstream"`
	// Waiting is true if the poll ended without a decision.
	Waiting bool `json:"waiting,omitempty"`
}

// releasedCredit is a credit that its holder no longer uses, with the result of the request.
type releasedCredit struct {
	Pool   poolID       `json:"pool"`
	ID     string       `json:"id"`
	Result admit.Result `json:"result"`
}

type pooledCredit struct {
	Pool   poolID       `json:"pool"`
	Credit admit.Credit `json:"held"`
}

type settleRequest struct {
	Released []releasedCredit `json:"settled,omitempty"`
	Renewed  []pooledCredit   `json:"kept,omitempty"`
}

type countsResponse struct {
	InUse map[string]map[string]int `json:"in_use"`
}

// activeRequest is a request that holds a credit, or a relayed request in flight. Only the latter has cancel.
type activeRequest struct {
	pooledCredit
	address string
	cancel  context.CancelFunc
}

// Slots admits the requests of an entry host, and those of other hosts to the pools that this host is the dispatcher of.
// It is safe for concurrent use.
type Slots struct {
	host       string
	dataCentre string
	policy     config.Policy
	view       *route.View
	clock      func() time.Duration
	local      *dispatcher
	client     *http.Client
	token      string
	// server forwards relayed requests. It is set before the first request.
	server           *entry.Server
	maxResponseBytes int64
	// requests and responses are the memory for relayed requests and their responses.
	requests, responses *room.Room
	idPrefix            string
	sequence            atomic.Uint64

	mu sync.Mutex
	// suspects holds the time until which an unreachable dispatcher is skipped, by address.
	suspects map[string]time.Duration
	// active holds the requests that hold a credit or are relayed, by the ID of the slot request.
	active map[string]activeRequest
	// pendingReleases holds the releases that are not sent yet, by dispatcher address.
	pendingReleases map[string][]releasedCredit
	requestsPerPool map[poolID]int
	// knownDaemons holds the daemons of the fleet by host name.
	knownDaemons map[string]knownDaemon
}

type knownDaemon struct {
	route.Daemon
	// seenAt is the time at which the daemon was last in the view.
	seenAt time.Duration
}

// Config configures Slots.
type Config struct {
	Host       string
	DataCentre string
	Policy     config.Policy
	View       *route.View
	// Clock returns the time since an arbitrary fixed point.
	Clock func() time.Duration
	// Client sends the messages to other hosts. They include relayed requests, which may be many and large. Token
	// authenticates each message.
	Client *http.Client
	Token  string
	// MaxResponseBytes limits the response to a relayed request.
	MaxResponseBytes int64
	// Requests is the memory for requests that other hosts relay, and Responses that for the responses to relayed requests.
	// Nil means no limit.
	Requests, Responses *room.Room
}

// New returns the Slots of one host. SetServer must be called before the first request.
func New(cfg Config) *Slots {
	var b [6]byte
	_, _ = rand.Read(b[:])
	queue := admit.Config{Seed: xxhash.Sum64String(cfg.Host)}
	if cfg.Policy == policyLocal || cfg.Policy == policyShared {
		// The holder is this process, so no credit can outlive it.
		queue.CreditTTL = noTimeout
	}
	return &Slots{
		host: cfg.Host, dataCentre: cfg.DataCentre, policy: cfg.Policy, view: cfg.View, clock: cfg.Clock,
		local: newDispatcher(cfg.View, cfg.Clock, queue), token: cfg.Token, maxResponseBytes: cfg.MaxResponseBytes,
		requests: cfg.Requests.OrUnlimited(), responses: cfg.Responses.OrUnlimited(),
		client: cfg.Client, idPrefix: hex.EncodeToString(b[:]), suspects: map[string]time.Duration{},
		active: map[string]activeRequest{}, pendingReleases: map[string][]releasedCredit{}, requestsPerPool: map[poolID]int{},
		knownDaemons: map[string]knownDaemon{},
	}
}

// SetServer sets the server that forwards relayed requests.
func (s *Slots) SetServer(server *entry.Server) { s.server = server }

// Mount registers the handlers for other hosts on the router of the control address.
func (s *Slots) Mount(m *mux.Router) {
	m.Handle(pathAcquire, peer.Handle(peer.MaxBodyBytes, s.serveAcquire)).Methods(http.MethodPost)
	m.Handle(pathSettle, peer.Handle(peer.MaxBodyBytes, s.serveSettle)).Methods(http.MethodPost)
	m.Handle(pathCounts, peer.Handle(peer.MaxBodyBytes, s.serveCounts)).Methods(http.MethodPost)
	m.HandleFunc(pathRelay, s.serveRelay).Methods(http.MethodPost)
}

// Run renews the credits of this host, removes idle pools and lost hosts and, with the policy shared, exchanges slot
// counts, until ctx ends.
func (s *Slots) Run(ctx context.Context) {
	if s.policy == policyShared {
		go clock.Every(ctx, countsInterval, s.exchangeCounts)
	}
	clock.Every(ctx, renewInterval, s.renewAndPrune)
}

// Relays reports whether the policy sends whole requests to the dispatchers.
func (s *Slots) Relays() bool { return s.policy == policyRelay }

// Acquire implements entry.AcquireSlotFunc. Unless it returns an error, the caller must call the returned function with
// the result of the request to release the slot.
func (s *Slots) Acquire(ctx context.Context, slotReq entry.SlotRequest) (model.Upstream, func(admit.Result), *proto.Error) {
	var u model.Upstream
	var release func(admit.Result)
	err := s.tryPools(ctx, slotReq, func(id poolID, req admit.Request) *proto.Error {
		var err *proto.Error
		u, release, err = s.acquireFrom(ctx, id, req)
		return err
	})
	if err != nil {
		return u, nil, err
	}
	if slotReq.Request.Service.Keyed && u != slotReq.Upstreams[0] {
		release(admit.Result{Kind: admit.KindNeutral})
		return u, nil, proto.NotRun(proto.CodeStaleGrant, http.StatusServiceUnavailable,
			"the dispatcher knows another incarnation of upstream %s", u.Name)
	}
	return u, release, nil
}

// tryPools tries the pools of a request, the one of the local data centre first. It proceeds to the next if the expected
// wait exceeds spilloverWait. If that holds for all, the request waits in the first pool.
func (s *Slots) tryPools(
	ctx context.Context, slotReq entry.SlotRequest, try func(poolID, admit.Request) *proto.Error,
) *proto.Error {
	pools := s.pools(slotReq)
	now := s.clock()
	deadline := now + noTimeout
	if d, ok := ctx.Deadline(); ok {
		deadline = now + time.Until(d)
	}
	if slotReq.Request.Class == model.ClassShort {
		deadline = min(deadline, now+admit.DefaultMaxShortWait)
	}
	var err *proto.Error
	for i := range len(pools) + 1 {
		last := i == len(pools)
		if (last && slotReq.NoWait) || (len(pools) == 1 && !last && !slotReq.NoWait) {
			continue
		}
		id := pools[i%len(pools)]
		req := admit.Request{
			ID: s.newID(), Holder: s.host, Class: slotReq.Request.Class, Deadline: deadline, MaxWait: spilloverWait,
		}
		switch {
		case slotReq.NoWait:
			req.MaxWait = time.Nanosecond
		case last:
			req.MaxWait = 0
		}
		if !s.beginRequest(id) {
			return proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable,
				"too many requests wait for service %s", id.Service).WithRetryAfterMs(spilloverWait.Milliseconds())
		}
		err = try(id, req)
		s.endRequest(id)
		if err == nil || ctx.Err() != nil || (err.Code != proto.CodeOverloaded && err.Code != proto.CodeNoUpstream) {
			return err
		}
	}
	return err
}

// pools returns the pools of the upstreams of a request, the one of the local data centre first.
func (s *Slots) pools(slotReq entry.SlotRequest) []poolID {
	var out []poolID
	for _, u := range slotReq.Upstreams {
		id := poolID{Service: u.Service, DataCentre: u.DataCentre}
		if slotReq.Request.Service.Keyed {
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
		return cmp.Compare(route.RendezvousScore(a.key(), s.host), route.RendezvousScore(b.key(), s.host))
	})
	return out
}

func (s *Slots) newID() string { return s.idPrefix + strconv.FormatUint(s.sequence.Add(1), 36) }

func (s *Slots) beginRequest(id poolID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestsPerPool[id] >= maxRequestsPerPool {
		return false
	}
	s.requestsPerPool[id]++
	return true
}

func (s *Slots) endRequest(id poolID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestsPerPool[id]--; s.requestsPerPool[id] == 0 {
		delete(s.requestsPerPool, id)
	}
}

// dispatchers returns up to maxDispatchers daemons of the pool's data centre in rendezvous order, without lost and suspect
// ones.
func (s *Slots) dispatchers(id poolID) []route.Daemon {
	now := s.clock()
	var out []route.Daemon
	s.mu.Lock()
	s.refreshDaemons(now)
	for _, d := range s.knownDaemons {
		if d.DataCentre == id.DataCentre && now >= s.suspects[d.Control] {
			out = append(out, d.Daemon)
		}
	}
	s.mu.Unlock()
	key := id.key()
	slices.SortFunc(out, func(a, b route.Daemon) int {
		return cmp.Compare(route.RendezvousScore(key, b.Host), route.RendezvousScore(key, a.Host))
	})
	return out[:min(len(out), maxDispatchers)]
}

func (s *Slots) markSuspect(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[address] = s.clock() + suspectTime
}

// acquireFrom acquires a slot from the dispatcher of a pool. It proceeds to the next dispatcher if one can't be reached,
// and to the queue of this host after the last.
func (s *Slots) acquireFrom(
	ctx context.Context, id poolID, req admit.Request,
) (model.Upstream, func(admit.Result), *proto.Error) {
	if s.policy == policyCredit {
		for _, d := range s.dispatchers(id) {
			if d.Host == s.host {
				break
			}
			u, err, reached := s.acquireRemote(ctx, d.Control, id, req)
			if reached && err != nil {
				return u, nil, err
			}
			if reached {
				return u, s.trackCredit(d.Control, id, req, u), nil
			}
		}
	}
	u, err := s.local.acquire(ctx, id, req)
	if err != nil {
		return u, nil, err
	}
	return u, s.trackCredit("", id, req, u), nil
}

// acquireRemote returns false if the dispatcher can't be reached. If it has granted a credit nevertheless, that expires.
func (s *Slots) acquireRemote(
	ctx context.Context, address string, id poolID, request admit.Request,
) (model.Upstream, *proto.Error, bool) {
	for {
		left := request.Deadline - s.clock()
		req := acquireRequest{
			Pool: id, ID: request.ID, Holder: request.Holder, Class: request.Class, LeftUs: left.Microseconds(),
			MaxWaitUs: (request.MaxWait + time.Microsecond - 1).Microseconds(), Released: s.takePendingReleases(address),
		}
		tryCtx, cancel := context.WithTimeout(ctx, max(0, min(left, acquirePollTime))+acquireTimeoutMargin)
		r, err := peer.Call[acquireRequest, acquireResponse](tryCtx, s.client, "http://"+address+pathAcquire, s.token, req)
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
		// The releases in the message may be lost. Their credits expire after the credit TTL.
		s.markSuspect(address)
		return model.Upstream{}, nil, false
	}
}

// trackCredit records a credit as in use. The returned function releases it.
func (s *Slots) trackCredit(address string, id poolID, req admit.Request, u model.Upstream) func(admit.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[req.ID] = activeRequest{
		pooledCredit: pooledCredit{Pool: id, Credit: admit.Credit{ID: req.ID, Holder: s.host, Upstream: u.Name, Class: req.Class}},
		address:      address,
	}
	return func(r admit.Result) { s.release(req.ID, r) }
}

func (s *Slots) release(id string, r admit.Result) {
	s.mu.Lock()
	req, ok := s.active[id]
	delete(s.active, id)
	if !ok || req.address == "" {
		s.mu.Unlock()
		if ok {
			s.local.release(req.Pool, id, r)
		}
		return
	}
	first := len(s.pendingReleases[req.address]) == 0
	s.pendingReleases[req.address] = append(s.pendingReleases[req.address], releasedCredit{Pool: req.Pool, ID: id, Result: r})
	s.mu.Unlock()
	if first {
		time.AfterFunc(releaseBatchDelay, func() { s.flushReleases(req.address) })
	}
}

func (s *Slots) takePendingReleases(address string) []releasedCredit {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pendingReleases[address]
	delete(s.pendingReleases, address)
	return out
}

func (s *Slots) flushReleases(address string) {
	if out := s.takePendingReleases(address); len(out) > 0 {
		s.sendSettle(context.Background(), address, settleRequest{Released: out})
	}
}

func (s *Slots) sendSettle(ctx context.Context, address string, req settleRequest) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := peer.Call[settleRequest, struct{}](ctx, s.client, "http://"+address+pathSettle, s.token, req); err != nil {
		s.markSuspect(address)
	}
}

func (s *Slots) serveAcquire(ctx context.Context, req acquireRequest) (acquireResponse, error) {
	s.releaseAll(req.Released)
	ctx, cancel := context.WithTimeout(ctx, acquirePollTime)
	defer cancel()
	u, err := s.local.acquire(ctx, req.Pool, admit.Request{
		ID: req.ID, Holder: req.Holder, Class: req.Class, Deadline: s.clock() + time.Duration(req.LeftUs)*time.Microsecond,
		MaxWait: time.Duration(req.MaxWaitUs) * time.Microsecond,
	})
	if err != nil && err.Code == proto.CodeDeadline {
		return acquireResponse{Waiting: true}, nil
	}
	if err != nil {
		return acquireResponse{}, err
	}
	return acquireResponse{Upstream: u}, nil
}

func (s *Slots) serveSettle(_ context.Context, req settleRequest) (struct{}, error) {
	s.releaseAll(req.Released)
	s.renewAll(req.Renewed)
	return struct{}{}, nil
}

func (s *Slots) releaseAll(released []releasedCredit) {
	for _, r := range released {
		s.local.release(r.Pool, r.ID, r.Result)
	}
}

func (s *Slots) renewAll(credits []pooledCredit) {
	byPool := map[poolID][]admit.Credit{}
	for _, c := range credits {
		byPool[c.Pool] = append(byPool[c.Pool], c.Credit)
	}
	for id, held := range byPool {
		s.local.renew(id, held)
	}
}

func (s *Slots) serveCounts(context.Context, struct{}) (countsResponse, error) {
	return countsResponse{InUse: s.local.inUse()}, nil
}

// renewAndPrune removes idle pools and lost hosts, then renews the credits in use with the current dispatchers of their
// pools.
func (s *Slots) renewAndPrune(ctx context.Context) {
	s.local.removeIdlePools()
	s.removeLostHosts()
	for address, credits := range s.creditsByDispatcher() {
		if address == "" {
			s.renewAll(credits)
			continue
		}
		go s.sendSettle(ctx, address, settleRequest{Renewed: credits})
	}
}

// creditsByDispatcher returns the credits in use by dispatcher address, which is empty for this host. If the dispatcher of
// a pool has changed, its credits move to the new one, which adds them, and expire at the old one.
func (s *Slots) creditsByDispatcher() map[string][]pooledCredit {
	out := map[string][]pooledCredit{}
	if s.policy == policyLocal || s.policy == policyShared {
		return out
	}
	addresses := map[poolID]string{}
	s.mu.Lock()
	for _, req := range s.active {
		addresses[req.Pool] = ""
	}
	s.mu.Unlock()
	for id := range addresses {
		if ds := s.dispatchers(id); s.policy == policyCredit && len(ds) > 0 && ds[0].Host != s.host {
			addresses[id] = ds[0].Control
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, req := range s.active {
		if req.cancel != nil {
			continue
		}
		if a, ok := addresses[req.Pool]; ok {
			req.address = a
			s.active[id] = req
		}
		out[req.address] = append(out[req.address], req.pooledCredit)
	}
	return out
}

// refreshDaemons updates knownDaemons from the view. The caller holds the lock.
func (s *Slots) refreshDaemons(now time.Duration) {
	for _, d := range s.view.Daemons() {
		s.knownDaemons[d.Host] = knownDaemon{Daemon: d, seenAt: now}
	}
}

// removeLostHosts revokes the credits of lost hosts, cancels relayed requests to them and drops expired suspects.
func (s *Slots) removeLostHosts() {
	now := s.clock()
	var lost []string
	addresses := map[string]bool{}
	s.mu.Lock()
	s.refreshDaemons(now)
	for host, d := range s.knownDaemons {
		if now-d.seenAt < hostLostAfter {
			addresses[d.Control] = true
			continue
		}
		delete(s.knownDaemons, host)
		lost = append(lost, host)
	}
	for _, req := range s.active {
		if req.cancel != nil && !addresses[req.address] {
			req.cancel()
		}
	}
	for a, until := range s.suspects {
		if now >= until {
			delete(s.suspects, a)
		}
	}
	s.mu.Unlock()
	for _, host := range lost {
		if host != s.host {
			s.local.removeHolder(host)
		}
	}
}

// exchangeCounts fetches the slot counts of the other hosts. A host that doesn't respond counts as using no slots.
func (s *Slots) exchangeCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, countsInterval)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	sum := map[string]map[string]int{}
	for _, d := range s.view.Daemons() {
		if d.Host == s.host {
			continue
		}
		wg.Go(func() {
			resp, err := peer.Call[struct{}, countsResponse](ctx, s.client, "http://"+d.Control+pathCounts, s.token, struct{}{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for pool, counts := range resp.InUse {
				if sum[pool] == nil {
					sum[pool] = map[string]int{}
				}
				for u, n := range counts {
					sum[pool][u] += n
				}
			}
		})
	}
	wg.Wait()
	s.local.setRemoteUse(sum)
}
