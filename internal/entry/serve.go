package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"baobabreach/internal/admit"
	"baobabreach/internal/audit"
	"baobabreach/internal/claim"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/internal/retry"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/internal/wire"
	"baobabreach/pkg/proto"
)

// maxRecordedBody is the largest answer body that is recorded for resends of a claimed request.
const maxRecordedBody = 2 << 10

// Config configures a Server.
type Config struct {
	Host       string
	DataCentre string
	View       *route.View
	Clock      func() time.Duration
	// Propose commits one command on the leader, retrying until ctx ends.
	Propose func(ctx context.Context, c state.Command) (state.Result, error)
	// AcquireSlot waits for a free slot of one of the upstreams. The returned function gives the slot back.
	AcquireSlot AcquireSlotFunc
	// Relay hands the request to the dispatcher of its slot pool instead, unless it is nil.
	Relay func(ctx context.Context, t SlotRequest, to route.Target) (*Response, *proto.Error)
	// Limit refuses requests over the limit of their tenant and class; nil means no limits.
	Limit func(now time.Duration, tenant string, class model.Class) (retryAfter time.Duration, ok bool)
	Retry *retry.Policy
	// MaxHeaderBytes bounds the sum of the header names and values; 0 means no bound.
	MaxHeaderBytes int64
	// Guard keeps requests that crash upstreams away; nil makes one that knows of no other host.
	Guard   *Guard
	Client  *http.Client
	Metrics *metric.Registry
	// Audit keeps the outcome of each request; nil keeps none.
	Audit            *audit.Ring
	Log              *slog.Logger
	MaxBodyBytes     int64
	MaxResponseBytes int64
}

// AcquireSlotFunc waits for a slot for a request. The returned function gives the slot back and must be called once.
type AcquireSlotFunc func(ctx context.Context, t SlotRequest) (model.Upstream, func(admit.Result), *proto.Error)

// SlotRequest describes a request that waits for a slot.
type SlotRequest struct {
	Request   *Request
	Upstreams []model.Upstream
	// NoWait refuses the request unless a slot is free at once.
	NoWait bool
}

// Response is the whole answer of an upstream.
type Response struct {
	Status   int           `json:"status"`
	Header   http.Header   `json:"header"`
	Body     []byte        `json:"body,omitempty"`
	Upstream string        `json:"upstream"`
	Outcome  proto.Outcome `json:"outcome"`
	// RequestID is set on relayed answers only.
	RequestID string `json:"request_id"`
}

// Server handles caller requests. It is safe for concurrent use.
type Server struct {
	cfg  Config
	wire *wire.Client
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.Guard == nil {
		cfg.Guard = NewGuard(GuardConfig{Clock: cfg.Clock, Log: cfg.Log})
	}
	return &Server{
		cfg:  cfg,
		wire: wire.New(wire.Config{Host: cfg.Host, HTTP: cfg.Client, MaxAnswerBytes: cfg.MaxResponseBytes}),
	}
}

// ServeHTTP answers one caller request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := s.cfg.Clock()
	q, perr := s.parse(w, r)
	if perr != nil {
		s.record(&q, nil, perr)
		s.cfg.Metrics.Inc("refused." + string(perr.Code))
		peer.WriteError(w, perr.WithRequestID(q.ID))
		return
	}
	if perr := s.limited(start, &q); perr != nil {
		s.cfg.Metrics.Inc("refused." + string(perr.Code))
		peer.WriteError(w, perr.WithRequestID(q.ID))
		return
	}
	s.cfg.Retry.RecordRequest()
	ctx, cancel := context.WithTimeout(r.Context(), q.Deadline)
	defer cancel()
	a, perr := s.run(ctx, &q)
	elapsed := s.cfg.Clock() - start
	s.record(&q, a, perr)
	if perr != nil {
		if perr.Code == proto.CodeUpstreamShed {
			perr.Code = proto.CodeOverloaded
		}
		s.cfg.Metrics.Observe(q.Tenant, q.Class, perr.Outcome, elapsed)
		s.cfg.Metrics.Inc("refused." + string(perr.Code))
		peer.WriteError(w, perr.WithRequestID(q.ID))
		return
	}
	s.cfg.Metrics.Observe(q.Tenant, q.Class, a.Outcome, elapsed)
	writeAnswer(w, q.ID, a)
}

func (s *Server) run(ctx context.Context, q *Request) (*Response, *proto.Error) {
	if q.Idempotent {
		return s.runIdempotent(ctx, q)
	}
	return s.runOnce(ctx, q)
}

// limited refuses a request over the limit of its tenant and class.
func (s *Server) limited(now time.Duration, q *Request) *proto.Error {
	if s.cfg.Limit == nil {
		return nil
	}
	wait, ok := s.cfg.Limit(now, q.Tenant, q.Class)
	if ok {
		return nil
	}
	return proto.NotRun(proto.CodeLimited, http.StatusTooManyRequests, "tenant %s is over its limit of %s requests",
		q.Tenant, q.Class).WithRetryAfterMs(max(1, wait.Milliseconds()))
}

func (s *Server) runIdempotent(ctx context.Context, q *Request) (*Response, *proto.Error) {
	var tries retry.Attempts
	ran := false
	for {
		// The channel is taken before the attempt, so that a table that arrives during it ends the wait.
		_, changed := s.cfg.View.Table()
		a, err := s.attempt(ctx, q)
		if err == nil {
			return a, nil
		}
		// A refusal after a send with an unknown outcome doesn't make the request one that was not run.
		ran = ran || err.Outcome != proto.OutcomeNotRun
		err = mayHaveRun(err, ran)
		if ctx.Err() != nil {
			return nil, err
		}
		action, wait := s.cfg.Retry.Decide(&tries, true, err)
		if action == retry.ActionStop {
			return nil, err
		}
		if action == retry.ActionAwait && !pause(ctx, changed, wait) {
			return nil, err
		}
	}
}

// mayHaveRun returns err with the outcome unknown if an earlier send of the request may have been executed.
func mayHaveRun(err *proto.Error, ran bool) *proto.Error {
	if !ran || err.Outcome == proto.OutcomeUnknown {
		return err
	}
	e := *err
	e.Outcome = proto.OutcomeUnknown
	return &e
}

// pause waits for a newer table, at most for the given time. It returns false if ctx ended.
func pause(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// runOnce claims the request before the only send.
func (s *Server) runOnce(ctx context.Context, q *Request) (*Response, *proto.Error) {
	// A lease outlives an election, so a host without one is cut off. Its caller should try another host at once.
	if !s.cfg.View.Leased(s.cfg.Clock()) {
		return nil, proto.NotRun(proto.CodeNoLease, http.StatusServiceUnavailable,
			"host %s holds no routing lease, so the request can't be claimed", s.cfg.Host)
	}
	holder := s.newHolder()
	r, err := s.cfg.Propose(ctx, state.Command{Claim: &state.Claim{
		ID: q.ID, Fingerprint: q.Fingerprint, Holder: holder,
	}})
	if err != nil || r.Claim == nil {
		go s.settle(state.Command{Abandon: &state.Abandon{ID: q.ID, Holder: holder}})
		return nil, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "the request can't be claimed: %v", err)
	}
	if r.Claim.Status != claim.StatusGranted {
		return claimed(r.Claim)
	}
	a, perr := s.attempt(ctx, q)
	if perr != nil && perr.Outcome == proto.OutcomeNotRun {
		go s.settle(state.Command{Abandon: &state.Abandon{ID: q.ID, Holder: holder}})
		return nil, perr
	}
	if perr != nil {
		return nil, perr
	}
	s.recordOutcome(ctx, state.Command{Outcome: &state.Outcome{ID: q.ID, Holder: holder, Answer: recorded(a)}})
	return a, nil
}

// recordWait bounds the delay of an answer while no leader records it. It is longer than an election takes.
const recordWait = time.Second

// recordOutcome returns once the outcome is committed, so that a resend after the answer gets it even if this host or
// the leader is lost right after the answer. It gives up waiting, but not trying, after recordWait or with ctx.
func (s *Server) recordOutcome(ctx context.Context, c state.Command) {
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		s.settle(c)
	}()
	t := time.NewTimer(recordWait)
	defer t.Stop()
	select {
	case <-settled:
	case <-t.C:
	case <-ctx.Done():
	}
}

// settleTimeout bounds the tries to record what became of a claim. A claim that isn't settled stays held.
const settleTimeout = 10 * time.Second

func (s *Server) settle(c state.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := s.cfg.Propose(ctx, c); err != nil {
		s.cfg.Log.Warn("claim stays held", "error", err)
	}
}

func (s *Server) newHolder() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return s.cfg.Host + "/" + hex.EncodeToString(b[:])
}

// claimed answers a resend from the record of the first send.
func claimed(r *claim.Result) (*Response, *proto.Error) {
	switch r.Status {
	case claim.StatusDone:
		if r.Answer.Body == nil && r.Answer.BodyBytes > 0 {
			return nil, notKept(r.Answer)
		}
		h := http.Header{"Content-Type": {r.Answer.ContentType}}
		return &Response{
			Status: r.Answer.HTTPStatus, Header: h, Body: r.Answer.Body,
			Upstream: r.Answer.Upstream, Outcome: proto.OutcomeDone,
		}, nil
	case claim.StatusExpired:
		e := proto.Unknown(proto.CodeIDExpired, "the request id is too old or too far ahead")
		e.Status = http.StatusGone
		return nil, e
	case claim.StatusReused:
		return nil, proto.NotRun(proto.CodeIDReused, http.StatusConflict, "the request id was used for another request")
	}
	e := proto.Unknown(proto.CodeInProgress, "the request was sent by %s and its outcome is not recorded", r.Holder)
	e.Status = http.StatusConflict
	return nil, e
}

// notKept answers a resend of a request that ran but whose answer was too large to keep.
func notKept(a *claim.Answer) *proto.Error {
	return &proto.Error{
		Code: proto.CodeAnswerNotKept, Status: http.StatusConflict, Outcome: proto.OutcomeDone,
		Message: fmt.Sprintf("the request ran with status %d; its answer of %d bytes was not kept", a.HTTPStatus, a.BodyBytes),
	}
}

func recorded(a *Response) claim.Answer {
	c := claim.Answer{
		HTTPStatus: a.Status, ContentType: a.Header.Get("Content-Type"), Upstream: a.Upstream, BodyBytes: len(a.Body),
	}
	if len(a.Body) <= maxRecordedBody {
		c.Body = a.Body
	}
	return c
}

func writeAnswer(w http.ResponseWriter, id string, a *Response) {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set(proto.HeaderOutcome, string(a.Outcome))
	h.Set(proto.HeaderRequestID, id)
	h.Set(proto.HeaderUpstream, a.Upstream)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
