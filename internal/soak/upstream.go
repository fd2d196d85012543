package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	reportTimeout     = time.Second
	serviceTime       = 8 * time.Millisecond
	// serveAfterDrain is how long an upstream keeps serving after its drain was acknowledged.
	serveAfterDrain = 4 * time.Second
	// leavingBound is how long requests may still arrive after the first answer that says that the upstream leaves: 2 s, and
	// the way of a request that was sent before.
	leavingBound = 2200 * time.Millisecond
	// maxPauseArrivals is how many requests of a host may reach an upstream that wanted none of it for a while, from
	// pauseMargin after its refusal.
	maxPauseArrivals = 2
	pauseMargin      = 500 * time.Millisecond
	// hostSeparator stands before the host and its starts in request IDs.
	hostSeparator = "@"
)

// UpstreamGroup holds the upstreams of a run. Each upstream can look up the key ranges of the others, to check that no two
// of them hold one key at the same time.
type UpstreamGroup struct {
	checker    *Checker
	registries []string

	mu              sync.Mutex
	upstreams       []*Upstream
	lastIncarnation int64
	closed          bool
	// crash is called by upstreams that run a request for crashTarget, unless it is nil.
	crash func(u *Upstream)
	// respondRaw answers requests for rawTarget, unless it is nil.
	respondRaw func(w http.ResponseWriter, r *http.Request)
	// listen opens the listeners of upstreams.
	listen func(address string) (net.Listener, error)
}

// rawTarget is the path of the requests that upstreams of orders answer by the function that SetRaw sets.
const rawTarget = "/raw"

// SetRaw sets the function that answers requests for rawTarget.
func (g *UpstreamGroup) SetRaw(respond func(w http.ResponseWriter, r *http.Request)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.respondRaw = respond
}

// SetCrash sets the function that upstreams call when they run a request for crashTarget.
func (g *UpstreamGroup) SetCrash(crash func(u *Upstream)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crash = crash
}

// Close kills all upstreams; none can be started any more.
func (g *UpstreamGroup) Close() {
	g.mu.Lock()
	g.closed = true
	upstreams := g.upstreams
	g.mu.Unlock()
	for _, u := range upstreams {
		u.Kill()
	}
}

// Upstream simulates one upstream process.
type Upstream struct {
	group        *UpstreamGroup
	id, service  string
	address      string
	keyed        bool
	incarnation  int64
	server       *http.Server
	sequence     int
	heartbeatURL string
	mu           sync.Mutex
	// ranges holds the granted key ranges as decoded from JSON: the first and the last key, the fencing token and the
	// token of the previous holder.
	ranges      [][]any
	grantExpiry time.Time
	// released holds the first and the last key of the ranges that the last grant no longer lists, and the ID of this
	// upstream as the token for the next holder.
	released         [][]any
	killed, draining bool
	// left is true once the upstream announced that it leaves without draining. It goes on to serve and reports no more.
	left bool
	// sent holds the latest reports.
	sent [][]byte
	// silent is true if the upstream answers no request.
	silent       bool
	drainAckedAt time.Time
	// saysLeaving is true if the answers say that the upstream leaves, while its reports say that it is ready. leavingSince is
	// the time of the first such answer.
	saysLeaving  bool
	leavingSince time.Time
	// turnAway is the Retry-After time with which the upstream refuses all requests, or 0. pauses holds the pause of each
	// entry host that was refused.
	turnAway time.Duration
	pauses   map[string]*pause
	ctx      context.Context
	cancel   context.CancelFunc
}

// Start starts an upstream that listens on listenAddress and announces announcedAddress.
func (g *UpstreamGroup) Start(id, service, listenAddress, announcedAddress string, keyed bool) (*Upstream, error) {
	l, err := g.listen(listenAddress)
	if err != nil {
		return nil, err
	}
	u := &Upstream{group: g, id: id, service: service, address: announcedAddress, keyed: keyed}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	u.server = &http.Server{Handler: u}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = l.Close()
		return nil, errors.New("the run has ended")
	}
	g.lastIncarnation++
	u.incarnation = g.lastIncarnation
	g.upstreams = append(g.upstreams, u)
	go func() { _ = u.server.Serve(l) }()
	go u.reportLoop()
	return u, nil
}

// Kill stops the upstream immediately, without draining.
func (u *Upstream) Kill() {
	u.mu.Lock()
	u.killed, u.ranges = true, nil
	u.mu.Unlock()
	u.cancel()
	_ = u.server.Close()
}

// fallSilent stops the reports and lets all requests wait, without closing a connection.
func (u *Upstream) fallSilent() {
	u.mu.Lock()
	u.silent, u.ranges = true, nil
	u.mu.Unlock()
	u.cancel()
}

// Drain makes the following reports announce a drain. The upstream stops serveAfterDrain after the acknowledgement.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// SayLeaving makes the following answers say that the upstream leaves. Its reports go on to say that it is ready.
func (u *Upstream) SayLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.saysLeaving = true
}

// announceLeaving adds the header of an upstream that leaves to the answer, and checks that it gets no new requests.
func (u *Upstream) announceLeaving(w http.ResponseWriter, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.saysLeaving {
		return
	}
	w.Header().Set("Server-Leaving", "1")
	if u.leavingSince.IsZero() {
		u.leavingSince = time.Now()
	}
	if since := time.Since(u.leavingSince); since > leavingBound {
		u.group.checker.ReportViolation("request %s reached upstream %s %v after it said that it leaves", id, u.id, since)
	}
}

// pause is the time for which an upstream wants no requests of an entry host.
type pause struct {
	refusedAt, until time.Time
	// arrivals counts the requests that came later than pauseMargin after the refusal.
	arrivals int
}

// TurnAway makes the upstream refuse all requests with the Retry-After time, or accept them if that is 0.
func (u *Upstream) TurnAway(retryAfter time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turnAway, u.pauses = retryAfter, map[string]*pause{}
}

// refuseForPause refuses the request if the upstream turns requests away, and checks that the host keeps the pause.
func (u *Upstream) refuseForPause(w http.ResponseWriter, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, host, ok := strings.Cut(id, hostSeparator)
	now := time.Now()
	p := u.pauses[host]
	if ok && p != nil && now.After(p.refusedAt.Add(pauseMargin)) && now.Before(p.until) {
		if p.arrivals++; p.arrivals > maxPauseArrivals {
			u.group.checker.ReportViolation("%d requests of %s reached upstream %s in the time for which it wanted none", p.arrivals,
				host, u.id)
		}
	}
	if u.turnAway == 0 {
		return false
	}
	if p == nil || now.After(p.until) {
		u.pauses[host] = &pause{refusedAt: now, until: now.Add(u.turnAway)}
	}
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(u.turnAway.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// holdsKey reports whether the upstream holds a valid grant for the key.
func (u *Upstream) holdsKey(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.killed || time.Now().After(u.grantExpiry) {
		return false
	}
	for _, r := range u.ranges {
		if int(r[0].(float64)) <= key && key <= int(r[1].(float64)) {
			return true
		}
	}
	return false
}

// running returns the upstreams of a service that have not ended.
func (g *UpstreamGroup) running(service string) []*Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*Upstream
	for _, u := range g.upstreams {
		if u.service == service && u.ctx.Err() == nil {
			out = append(out, u)
		}
	}
	return out
}

func (g *UpstreamGroup) crashFunc() func(u *Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crash
}

func (g *UpstreamGroup) rawFunc() func(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.respondRaw
}

// checkExclusive reports a violation if another upstream of the service holds the key too.
func (g *UpstreamGroup) checkExclusive(u *Upstream, key int) {
	g.mu.Lock()
	all := append([]*Upstream(nil), g.upstreams...)
	g.mu.Unlock()
	for _, x := range all {
		if x != u && x.service == u.service && x.holdsKey(key) && u.holdsKey(key) {
			g.checker.ReportViolation("key %d is held by upstreams %s and %s at the same time", key, u.id, x.id)
		}
	}
}

// ServeHTTP executes a request as an upstream of the platform does.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != u.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	drainAckedAt, silent := u.drainAckedAt, u.silent
	u.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if !drainAckedAt.IsZero() {
		u.group.checker.CheckDrained(id, u.id, time.Since(drainAckedAt))
	}
	u.announceLeaving(w, id)
	if u.refuseForPause(w, id) {
		return
	}
	if u.keyed {
		key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
		if err != nil || !u.holdsKey(key) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		u.group.checkExclusive(u, key)
	}
	u.group.checker.RecordExecution(id, u.id, r.Method == http.MethodPost)
	if crash := u.group.crashFunc(); crash != nil && strings.HasSuffix(r.URL.Path, crashTarget) {
		crash(u)
		panic(http.ErrAbortHandler)
	}
	if respond := u.group.rawFunc(); respond != nil && strings.HasSuffix(r.URL.Path, rawTarget) {
		respond(w, r)
		return
	}
	time.Sleep(serviceTimeOf(r))
	w.Header().Set("Response-Signature", u.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(id)))
	_, _ = io.WriteString(w, id)
}

func (u *Upstream) reportLoop() {
	registryIndex := 0
	for u.ctx.Err() == nil && !u.hasLeft() {
		delay := heartbeatInterval
		ok := u.report(&registryIndex)
		u.mu.Lock()
		if len(u.released) > 0 {
			delay = heartbeatInterval / 3
		}
		if !ok {
			delay = heartbeatInterval / 6
		}
		expired := !u.drainAckedAt.IsZero() && time.Since(u.drainAckedAt) > serveAfterDrain
		u.mu.Unlock()
		if expired {
			u.deregister(registryIndex)
			u.Kill()
			return
		}
		select {
		case <-u.ctx.Done():
		case <-time.After(delay):
		}
	}
}

// report sends one status report and applies the grant in the response. It returns false if the report failed.
func (u *Upstream) report(registryIndex *int) bool {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	held := [][]any{}
	if time.Now().Before(u.grantExpiry) {
		for _, r := range u.ranges {
			held = append(held, r[:3])
		}
	}
	body, err := json.Marshal(map[string]any{
		"Service": u.service, "Address": u.address, "Zone": "z", "Version": "v1", "Slots": 4, "State": state,
		"WarmupLeft": "0ms", "Sequence": u.sequence, "born": u.incarnation, "Holds": held, "Released": u.released,
	})
	target := u.heartbeatURL
	u.sent = append(u.sent, body)
	u.sent = u.sent[max(0, len(u.sent)-maxKeptReports):]
	u.mu.Unlock()
	if err != nil {
		return false
	}
	if target == "" {
		target = u.group.registries[*registryIndex%len(u.group.registries)]
	}
	sentAt := time.Now()
	answer, ok := u.callRegistry(http.MethodPut, target, body)
	if !ok {
		u.mu.Lock()
		u.heartbeatURL = ""
		u.mu.Unlock()
		*registryIndex++
		return false
	}
	u.applyGrant(sentAt, answer)
	return true
}

func (u *Upstream) applyGrant(sentAt time.Time, answer map[string]any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining && u.drainAckedAt.IsZero() {
		u.drainAckedAt = time.Now()
	}
	if url, ok := answer["HeartbeatUrl"].(string); ok {
		u.heartbeatURL = url
	}
	holds, ok := answer["Holds"].([]any)
	if !ok || u.killed {
		return
	}
	grantTTL, err := time.ParseDuration(fmt.Sprint(answer["Hold"]))
	if err != nil {
		return
	}
	var ranges [][]any
	for _, x := range holds {
		ranges = append(ranges, x.([]any))
	}
	u.released = nil
	for _, old := range u.ranges {
		if !overlapsAny(old, ranges) {
			u.released = append(u.released, []any{old[0], old[1], u.id})
		}
	}
	u.ranges, u.grantExpiry = ranges, sentAt.Add(grantTTL)
}

func overlapsAny(r []any, ranges [][]any) bool {
	for _, x := range ranges {
		if x[0].(float64) <= r[1].(float64) && r[0].(float64) <= x[1].(float64) {
			return true
		}
	}
	return false
}

func (u *Upstream) deregister(registryIndex int) bool {
	_, ok := u.callRegistry(http.MethodDelete, u.group.registries[registryIndex%len(u.group.registries)], nil)
	return ok
}

// callRegistry sends a request to one registry and returns the response if it arrives within reportTimeout.
func (u *Upstream) callRegistry(method, address string, body []byte) (map[string]any, bool) {
	ctx, cancel := context.WithTimeout(u.ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/baobabreach/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer map[string]any
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || resp.StatusCode != http.StatusOK {
		return nil, false
	}
	return answer, true
}
