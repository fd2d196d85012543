// Package admit implements admission control: it decides when a request may use a slot of an upstream.
package admit

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

// Rule is a bit set of admission rules. Tests disable single rules to show which fault each of them prevents.
type Rule uint

// Admission rules of a Queue.
const (
	RuleReserve Rule = 1 << iota
	RuleLongShare
	RuleShed
	RuleSlowStart
	RuleEject
	RuleEjectLimit
	RuleBackoff
	RuleStraggler
	RuleCreditTTL
)

// Config configures a Queue. Zero values select the defaults.
type Config struct {
	// CreditTTL is the time after which a credit expires unless it is renewed.
	CreditTTL time.Duration
	// MaxShortWait limits the time that a short request waits for a slot, regardless of its deadline.
	MaxShortWait time.Duration
	// Seed varies the choice between equally loaded upstreams, so that hosts don't all select the same one.
	Seed uint64
	// Disabled holds the rules that are not applied; for tests only.
	Disabled Rule
}

const (
	// DefaultCreditTTL lets a holder lose three renewals in a row.
	DefaultCreditTTL = time.Second
	// DefaultMaxShortWait is the p99 target for the time that a short request takes on top of its own service time and
	// the network. A limit of 100 ms gives 1.1 percentage points more goodput, but a simulated p99 of 205 ms at 150% load.
	DefaultMaxShortWait = 13 * time.Millisecond
	// reserveTime is the time for which slots stay reserved for short requests after the last one arrived.
	reserveTime = 5 * time.Second
	// reserveDivisor reserves a third of the slots of a pool, and at least one, for short requests.
	reserveDivisor = 3
	// minLongShare is the minimum share of slot time for long requests while some wait, regardless of the short load.
	minLongShare = 0.1
	// urgentFactor is the number of mean service times before its deadline from which a long request has priority.
	urgentFactor = 3
	// maxWaiting limits the waiting requests of one pool, and so its memory.
	maxWaiting = 4096
)

// Request is a request for one slot.
type Request struct {
	// ID is unique among the requests that wait for or hold a slot.
	ID     string
	Holder string
	Class  model.Class
	// Deadline is on the clock of the queue. The request is refused if it can't get a slot by then.
	Deadline time.Duration
	// MaxWait is the expected wait above which the request is refused immediately. With 0, only the deadline applies.
	MaxWait time.Duration
}

// Decision is the decision on one request: a slot of Upstream is granted, unless Refused is true.
type Decision struct {
	ID       string
	Upstream model.Upstream
	Refused  bool
	// RetryAfter is the expected time until a slot is free; positive if Refused.
	RetryAfter time.Duration
}

// Error returns the error for a refused request, with the outcome not_run and RetryAfter in milliseconds, at least 1.
func (d Decision) Error() *proto.Error {
	ms := max(1, d.RetryAfter.Milliseconds())
	return proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable,
		"no slot is expected to be free before the deadline").WithRetryAfterMs(ms)
}

// Credit is the right of a holder to use one slot of an upstream. It expires unless it is renewed.
type Credit struct {
	ID       string      `json:"id"`
	Holder   string      `json:"holder"`
	Upstream string      `json:"upstream"`
	Class    model.Class `json:"class"`
}

type waitingRequest struct {
	Request
	sequence uint64
}

type heldCredit struct {
	Credit
	upstream  *upstream
	grantedAt time.Duration
	expiresAt time.Duration
}

// Queue allocates the slots of one pool. It is a deterministic state machine without I/O and not safe for concurrent use.
// Every request gets exactly one decision unless it is cancelled or its holder is removed first.
type Queue struct {
	cfg Config
	// upstreams is sorted by name.
	upstreams []*upstream
	// short and long are sorted by deadline, then by arrival.
	short, long      []waitingRequest
	credits          map[string]*heldCredit
	shortServiceTime serviceTimeEstimate
	longServiceTime  serviceTimeEstimate
	slotTime         slotTimeUse
	lastShortAt      time.Duration
	seenShort        bool
	sequence         uint64
	// longCredits counts the credits of long requests.
	longCredits int
	// nextExpiry is a lower bound of the expiry times of all credits, so that they are not scanned before it.
	nextExpiry time.Duration
	// tieBreakSeed is incremented with each grant, to vary the choice between equally loaded upstreams.
	tieBreakSeed uint64
}

// NewQueue returns a queue without upstreams.
func NewQueue(cfg Config) *Queue {
	cfg.CreditTTL = cmp.Or(cfg.CreditTTL, DefaultCreditTTL)
	cfg.MaxShortWait = cmp.Or(cfg.MaxShortWait, DefaultMaxShortWait)
	return &Queue{
		cfg: cfg, credits: map[string]*heldCredit{}, shortServiceTime: newServiceTimeEstimate(),
		longServiceTime: newServiceTimeEstimate(), tieBreakSeed: cfg.Seed,
	}
}

func (q *Queue) enabled(r Rule) bool { return q.cfg.Disabled&r == 0 }

// Submit grants a slot to a request, queues it or refuses it. It also returns the decisions on other requests that are due.
func (q *Queue) Submit(now time.Duration, r Request) []Decision {
	if r.Class == model.ClassShort {
		q.lastShortAt, q.seenShort = now, true
	}
	out := q.processExpired(now)
	wait := q.expectedWait(now, r)
	if d, refused := q.shed(now, r, wait); refused {
		return append(out, d)
	}
	if r.Class == model.ClassShort && q.enabled(RuleShed) {
		// The estimate may be too low, so the deadline limits the actual wait of short requests too.
		r.Deadline = min(r.Deadline, now+q.cfg.MaxShortWait)
	}
	q.sequence++
	w := waitingRequest{Request: r, sequence: q.sequence}
	requests := q.waitingList(r.Class)
	i, _ := slices.BinarySearchFunc(*requests, w, compareDeadline)
	*requests = slices.Insert(*requests, i, w)
	return append(out, q.dispatch(now)...)
}

// shed refuses a request that is expected to wait too long, that is past its deadline or that exceeds maxWaiting. It
// returns false if the request may be queued.
func (q *Queue) shed(now time.Duration, r Request, wait time.Duration) (Decision, bool) {
	limit := r.Deadline - now
	if r.Class == model.ClassShort {
		limit = min(limit, q.cfg.MaxShortWait)
	}
	if r.MaxWait > 0 {
		limit = min(limit, r.MaxWait)
	}
	full := len(q.short)+len(q.long) >= maxWaiting
	if now < r.Deadline && !full && (wait <= limit || !q.enabled(RuleShed)) {
		return Decision{}, false
	}
	return Decision{ID: r.ID, Refused: true, RetryAfter: max(time.Millisecond, wait)}, true
}

// Release frees the slot of a request and records its result. An unknown id is ignored, as its credit has expired.
func (q *Queue) Release(now time.Duration, id string, r Result) []Decision {
	if c, ok := q.credits[id]; ok {
		q.slotTime.add(now, q.longCredits, len(q.credits))
		q.removeCredit(c)
		if r.Kind == KindDone {
			q.serviceTime(c.Class).add(r.Elapsed)
		}
		q.recordResult(now, c.upstream, r)
	}
	return append(q.processExpired(now), q.dispatch(now)...)
}

// Cancel removes a waiting request. It returns false if the request is not waiting; it may hold a slot then.
func (q *Queue) Cancel(id string) bool {
	for _, list := range []*[]waitingRequest{&q.short, &q.long} {
		if i := slices.IndexFunc(*list, func(w waitingRequest) bool { return w.ID == id }); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			return true
		}
	}
	return false
}

// Renew extends credits. Unknown credits are added, as an earlier dispatcher of the pool granted them.
func (q *Queue) Renew(now time.Duration, credits []Credit) {
	for _, credit := range credits {
		c, ok := q.credits[credit.ID]
		if !ok {
			u := q.findUpstream(credit.Upstream)
			if u == nil {
				continue
			}
			c = &heldCredit{Credit: credit, upstream: u, grantedAt: now}
			q.addCredit(c)
		}
		c.expiresAt = now + q.cfg.CreditTTL
	}
}

// RemoveHolder revokes all credits of a holder and drops its waiting requests without a decision.
func (q *Queue) RemoveHolder(now time.Duration, holder string) []Decision {
	for _, c := range q.credits {
		if c.Holder == holder {
			q.removeCredit(c)
		}
	}
	fromHolder := func(w waitingRequest) bool { return w.Holder == holder }
	q.short, q.long = slices.DeleteFunc(q.short, fromHolder), slices.DeleteFunc(q.long, fromHolder)
	return q.dispatch(now)
}

// Tick removes expired credits, refuses requests past their deadline and grants the slots that are free.
func (q *Queue) Tick(now time.Duration) []Decision {
	return append(q.processExpired(now), q.dispatch(now)...)
}

// NextTick returns the time at which the next Tick is due, or false if the state changes only with another call.
func (q *Queue) NextTick(now time.Duration) (time.Duration, bool) {
	next := time.Duration(-1)
	consider := func(t time.Duration) {
		if t > now && (next < 0 || t < next) {
			next = t
		}
	}
	if len(q.short) > 0 {
		consider(q.short[0].Deadline)
	}
	if len(q.long) > 0 {
		consider(q.long[0].Deadline)
		consider(q.long[0].Deadline - urgentFactor*q.longServiceTime.mean())
		consider(q.lastShortAt + reserveTime)
	}
	if len(q.short)+len(q.long) > 0 {
		for _, u := range q.upstreams {
			consider(u.backoffUntil)
			consider(u.ejectedUntil)
		}
	}
	if len(q.credits) > 0 {
		consider(q.nextExpiry)
	}
	return next, next >= 0
}

// InUse returns the number of slots in use by upstream name.
func (q *Queue) InUse() map[string]int {
	out := map[string]int{}
	for _, u := range q.upstreams {
		out[u.info.Name] = u.inUse
	}
	return out
}

// Waiting returns the number of short and long requests that wait for a slot.
func (q *Queue) Waiting() int { return len(q.short) + len(q.long) }

// Idle reports whether no request waits and no slot is in use.
func (q *Queue) Idle() bool { return q.Waiting() == 0 && len(q.credits) == 0 }

// processExpired removes expired credits and refuses requests past their deadline.
func (q *Queue) processExpired(now time.Duration) []Decision {
	q.slotTime.add(now, q.longCredits, len(q.credits))
	if now >= q.nextExpiry && q.enabled(RuleCreditTTL) {
		q.expireCredits(now)
	}
	var out []Decision
	for _, list := range []*[]waitingRequest{&q.short, &q.long} {
		n := 0
		for n < len(*list) && (*list)[n].Deadline <= now {
			out = append(out, Decision{ID: (*list)[n].ID, Refused: true, RetryAfter: q.shortServiceTime.mean()})
			n++
		}
		*list = slices.Delete(*list, 0, n)
	}
	return out
}

// expireCredits removes the credits that were not renewed in time.
func (q *Queue) expireCredits(now time.Duration) {
	q.nextExpiry = now + q.cfg.CreditTTL
	for _, c := range q.credits {
		if now >= c.expiresAt {
			q.removeCredit(c)
			continue
		}
		q.nextExpiry = min(q.nextExpiry, c.expiresAt)
	}
}

func (q *Queue) addCredit(c *heldCredit) {
	if len(q.credits) == 0 {
		q.nextExpiry = c.grantedAt + q.cfg.CreditTTL
	}
	q.credits[c.ID] = c
	c.upstream.inUse++
	if c.Class == model.ClassLong {
		q.longCredits++
	}
}

func (q *Queue) removeCredit(c *heldCredit) {
	delete(q.credits, c.ID)
	c.upstream.inUse--
	if c.Class == model.ClassLong {
		q.longCredits--
	}
}

func (q *Queue) dispatch(now time.Duration) []Decision {
	var out []Decision
	for {
		list := q.pickList(now)
		if list == nil {
			return out
		}
		u := q.pickUpstream(now)
		if u == nil {
			return out
		}
		w := (*list)[0]
		*list = slices.Delete(*list, 0, 1)
		q.tieBreakSeed++
		q.addCredit(&heldCredit{
			Credit:   Credit{ID: w.ID, Holder: w.Holder, Upstream: u.info.Name, Class: w.Class},
			upstream: u, grantedAt: now, expiresAt: now + q.cfg.CreditTTL,
		})
		out = append(out, Decision{ID: w.ID, Upstream: u.info})
	}
}

// pickList returns the list whose first request is served next, or nil. Short requests have priority, unless the first
// long request is close to its deadline or long requests have had less than minLongShare. Long requests never take the
// reserved slots.
func (q *Queue) pickList(now time.Duration) *[]waitingRequest {
	longAllowed := len(q.long) > 0 && q.longOccupied(now) < q.longLimit(now)
	if len(q.short) == 0 {
		if longAllowed {
			return &q.long
		}
		return nil
	}
	if longAllowed && q.enabled(RuleLongShare) {
		urgent := q.long[0].Deadline-now <= urgentFactor*q.longServiceTime.mean()
		if urgent || q.slotTime.long < minLongShare*q.slotTime.total {
			return &q.long
		}
	}
	return &q.short
}

// longLimit returns the number of slots that long requests and stragglers may hold together. It is at least 1: in a pool
// with a single slot, long requests would never run if that slot were reserved. There, they only yield to short requests
// that wait.
func (q *Queue) longLimit(now time.Duration) int {
	n := q.usableSlots(now)
	if !q.seenShort || now-q.lastShortAt >= reserveTime || !q.enabled(RuleReserve) {
		return n
	}
	return max(1, n-max(1, n/reserveDivisor))
}

// stragglerFactor is the number of mean service times after which a short request counts as a long one.
const stragglerFactor = 4

// longOccupied returns the number of slots held by long requests and by stragglers among the short ones.
func (q *Queue) longOccupied(now time.Duration) int {
	n := 0
	for _, c := range q.credits {
		isStraggler := now-c.grantedAt > stragglerFactor*q.shortServiceTime.mean() && q.enabled(RuleStraggler)
		if c.Class == model.ClassLong || isStraggler {
			n++
		}
	}
	return n
}

// expectedWait estimates the time until a new request gets a slot, from the mean service times.
func (q *Queue) expectedWait(now time.Duration, r Request) time.Duration {
	ahead, _ := slices.BinarySearchFunc(
		*q.waitingList(r.Class), waitingRequest{Request: r, sequence: q.sequence + 1}, compareDeadline)
	if r.Class == model.ClassLong {
		limit := q.longLimit(now)
		if ahead+len(q.short) == 0 && q.pickUpstream(now) != nil && q.longOccupied(now) < limit {
			return 0
		}
		work := time.Duration(ahead+1)*q.longServiceTime.mean() + time.Duration(len(q.short))*q.shortServiceTime.mean()
		return work / time.Duration(max(1, limit))
	}
	if ahead == 0 && q.pickUpstream(now) != nil {
		return 0
	}
	slots := max(1, q.usableSlots(now)-q.longCredits)
	return time.Duration(ahead+1) * q.shortServiceTime.mean() / time.Duration(slots)
}

func (q *Queue) waitingList(c model.Class) *[]waitingRequest {
	if c == model.ClassLong {
		return &q.long
	}
	return &q.short
}

func (q *Queue) serviceTime(c model.Class) *serviceTimeEstimate {
	if c == model.ClassLong {
		return &q.longServiceTime
	}
	return &q.shortServiceTime
}

func compareDeadline(a, b waitingRequest) int {
	return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.sequence, b.sequence))
}
