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
	"baobabreach/internal/drain"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/internal/retry"
	"baobabreach/internal/room"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/internal/strict"
	"baobabreach/internal/wire"
	"baobabreach/pkg/proto"
)

// maxRecordedBodyBytes is the largest response body that is recorded for resends of a claimed request.
const maxRecordedBodyBytes = 2 << 10

// Config holds the settings of a Server and the components that it uses.
type Config struct {
	Host       string
	DataCentre string
	View       *route.View
	Clock      func() time.Duration
	// Propose commits one state command through the leader, retrying until ctx ends.
	Propose func(ctx context.Context, c state.Command) (state.Result, error)
	// AcquireSlot waits for a free slot of one of the upstreams and acquires it.
	AcquireSlot AcquireSlotFunc
	// Relay sends the request to the dispatcher of its slot pool, which acquires the slot and forwards the request. If Relay
	// is nil, the server does both itself.
	Relay func(ctx context.Context, slotReq SlotRequest, target route.Target) (*Response, *proto.Error)
	// Limit returns false, and the time after which to retry, for a request over the limit of its tenant and class. Nil
	// means no limits.
	Limit func(now time.Duration, tenant string, class model.Class) (retryAfter time.Duration, ok bool)
	Retry *retry.Policy
	// Drain tells which requests may still be sent while the host is being stopped. Nil means that it never is.
	Drain *drain.Drain
	// MaxHeaderBytes bounds the total size of the request URI, header names and header values; 0 means no bound.
	MaxHeaderBytes int64
	// Guard blocks requests that crash upstreams; nil creates one that exchanges no crash reports with other hosts.
	Guard   *Guard
	Client  *http.Client
	Metrics *metric.Registry
	// Audit records the outcomes of requests; nil records none.
	Audit            *audit.Ring
	Log              *slog.Logger
	MaxBodyBytes     int64
	MaxResponseBytes int64
	// Requests is the memory for all request bodies that are being read or held, and Responses that for responses. Nil means
	// no limit.
	Requests, Responses *room.Room
}

// AcquireSlotFunc acquires a slot for a request, waiting for one if none is free. The returned function releases the slot
// and must be called exactly once.
type AcquireSlotFunc func(ctx context.Context, slotReq SlotRequest) (model.Upstream, func(admit.Result), *proto.Error)

// SlotRequest is a request for a slot of one of the upstreams.
type SlotRequest struct {
	Request   *Request
	Upstreams []model.Upstream
	// NoWait refuses the request unless a slot is free immediately.
	NoWait bool
}

// Response is the complete response of an upstream.
type Response struct {
	Status   int           `json:"status"`
	Header   http.Header   `json:"header"`
	Body     []byte        `json:"body,omitempty"`
	Upstream string        `json:"upstream"`
	Outcome  proto.Outcome `json:"outcome"`
	// RequestID is set on relayed responses only.
	RequestID string `json:"request_id"`
}

// Server handles caller requests. It is safe for concurrent use.
type Server struct {
	cfg    Config
	client *wire.Client
}

// New returns a server. It knows no services until cfg.View has received a table.
func New(cfg Config) *Server {
	if cfg.Guard == nil {
		cfg.Guard = NewGuard(GuardConfig{Clock: cfg.Clock, Log: cfg.Log})
	}
	cfg.Requests = cfg.Requests.OrUnlimited()
	return &Server{
		cfg: cfg,
		client: wire.New(wire.Config{
			Host: cfg.Host, HTTP: cfg.Client, MaxResponseBytes: cfg.MaxResponseBytes, Responses: cfg.Responses,
		}),
	}
}

// ServeHTTP validates a caller request, checks its limit, runs it within its deadline and records its outcome.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := s.cfg.Clock()
	ctx, scope := room.NewScope(r.Context())
	defer scope.End()
	r = r.WithContext(ctx)
	req, perr := s.parse(w, r)
	if perr != nil {
		s.recordDecision(&req, nil, perr)
		s.cfg.Metrics.Inc("refused." + string(perr.Code))
		peer.WriteError(w, perr.WithRequestID(req.ID))
		return
	}
	if perr := s.checkLimit(start, &req); perr != nil {
		s.cfg.Metrics.Inc("refused." + string(perr.Code))
		peer.WriteError(w, perr.WithRequestID(req.ID))
		return
	}
	s.cfg.Retry.RecordRequest()
	ctx, cancel := context.WithTimeout(r.Context(), req.Deadline)
	defer cancel()
	resp, perr := s.run(ctx, &req)
	elapsed := s.cfg.Clock() - start
	s.recordDecision(&req, resp, perr)
	if perr != nil {
		if perr.Code == proto.CodeUpstreamShed {
			perr.Code = proto.CodeOverloaded
		}
		s.cfg.Metrics.Observe(req.Tenant, req.Class, perr.Outcome, elapsed)
		s.cfg.Metrics.Inc("refused." + string(perr.Code))
		peer.WriteError(w, perr.WithRequestID(req.ID))
		return
	}
	s.cfg.Metrics.Observe(req.Tenant, req.Class, resp.Outcome, elapsed)
	writeResponse(w, req.ID, resp)
}

func (s *Server) run(ctx context.Context, req *Request) (*Response, *proto.Error) {
	if err := s.checkStop(ctx); err != nil {
		return nil, err
	}
	if req.Idempotent {
		return s.runIdempotent(ctx, req)
	}
	return s.runAtMostOnce(ctx, req)
}

// checkStop refuses a request that may outlast this host because it is being stopped.
func (s *Server) checkStop(ctx context.Context) *proto.Error {
	deadline, ok := ctx.Deadline()
	now := s.cfg.Clock()
	if !ok || s.cfg.Drain.MaySend(now, now+time.Until(deadline)) {
		return nil
	}
	return proto.NotRun(proto.CodeStopping, http.StatusServiceUnavailable, "host %s stops before the deadline of the request",
		s.cfg.Host)
}

// checkLimit refuses a request over the limit of its tenant and class.
func (s *Server) checkLimit(now time.Duration, req *Request) *proto.Error {
	if s.cfg.Limit == nil {
		return nil
	}
	retryAfter, ok := s.cfg.Limit(now, req.Tenant, req.Class)
	if ok {
		return nil
	}
	return proto.NotRun(proto.CodeLimited, http.StatusTooManyRequests, "tenant %s is over its limit of %s requests",
		req.Tenant, req.Class).WithRetryAfterMs(max(1, retryAfter.Milliseconds()))
}

// runIdempotent attempts the request until it succeeds, ctx ends or the retry policy stops it.
func (s *Server) runIdempotent(ctx context.Context, req *Request) (*Response, *proto.Error) {
	var attempts retry.Attempts
	mayHaveRun := false
	for {
		// Get the channel before the attempt, so that a table that arrives during the attempt ends the wait.
		_, changed := s.cfg.View.Table()
		resp, err := s.attempt(ctx, req)
		if err == nil {
			return resp, nil
		}
		// A refusal with the outcome "not run" says nothing about an earlier send whose outcome is unknown.
		mayHaveRun = mayHaveRun || err.Outcome != proto.OutcomeNotRun
		err = withUnknownOutcome(err, mayHaveRun)
		if ctx.Err() != nil {
			return nil, err
		}
		action, wait := s.cfg.Retry.Decide(&attempts, true, err)
		if action == retry.ActionStop {
			return nil, err
		}
		if action == retry.ActionAwait && !waitForTable(ctx, changed, wait) {
			return nil, err
		}
	}
}

// withUnknownOutcome returns err, or a copy with the outcome unknown if an earlier send of the request may have been
// executed.
func withUnknownOutcome(err *proto.Error, mayHaveRun bool) *proto.Error {
	if !mayHaveRun || err.Outcome == proto.OutcomeUnknown {
		return err
	}
	unknown := *err
	unknown.Outcome = proto.OutcomeUnknown
	return &unknown
}

// waitForTable waits up to maxWait for a newer table. It returns false if ctx ended.
func waitForTable(ctx context.Context, changed <-chan struct{}, maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// runAtMostOnce claims a request that is not idempotent before its only send, so that a resend is not executed again.
func (s *Server) runAtMostOnce(ctx context.Context, req *Request) (*Response, *proto.Error) {
	// A lease lasts longer than an election, so a host without one is cut off from the leader. Refuse at once, so that
	// the caller can try another host.
	if !s.cfg.View.Leased(s.cfg.Clock()) {
		return nil, proto.NotRun(proto.CodeNoLease, http.StatusServiceUnavailable,
			"host %s holds no routing lease, so the request can't be claimed", s.cfg.Host)
	}
	holder := s.newHolderID()
	result, err := s.cfg.Propose(ctx, state.Command{Claim: &state.Claim{
		ID: req.ID, Fingerprint: req.Fingerprint, Holder: holder,
	}})
	if err != nil || result.Claim == nil {
		go s.resolveClaim(state.Command{Abandon: &state.Abandon{ID: req.ID, Holder: holder}})
		return nil, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "the request can't be claimed: %v", err)
	}
	if result.Claim.Status != claim.StatusGranted {
		return replayClaim(result.Claim)
	}
	resp, perr := s.attempt(ctx, req)
	if perr != nil && perr.Outcome == proto.OutcomeNotRun {
		go s.resolveClaim(state.Command{Abandon: &state.Abandon{ID: req.ID, Holder: holder}})
		return nil, perr
	}
	if perr != nil {
		return nil, perr
	}
	s.recordOutcome(ctx, state.Command{Outcome: &state.Outcome{ID: req.ID, Holder: holder, Answer: toClaimAnswer(resp)}})
	return resp, nil
}

// maxOutcomeWait bounds the delay of a response while no leader commits its outcome. It is longer than an election
// takes.
const maxOutcomeWait = time.Second

// recordOutcome waits until the outcome is committed, so that a resend gets it even if this host or the leader fails
// right after the response. It stops waiting after maxOutcomeWait or when ctx ends; the commit is then still retried in
// the background.
func (s *Server) recordOutcome(ctx context.Context, cmd state.Command) {
	resolved := make(chan struct{})
	go func() {
		defer close(resolved)
		s.resolveClaim(cmd)
	}()
	timer := time.NewTimer(maxOutcomeWait)
	defer timer.Stop()
	select {
	case <-resolved:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// backgroundCallTimeout bounds calls to the leader that may outlive their request: resolving a claim, and requesting or
// releasing a permit. A claim that isn't resolved within this time stays held.
const backgroundCallTimeout = 10 * time.Second

// resolveClaim commits the outcome or the abandonment of a claim.
func (s *Server) resolveClaim(cmd state.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundCallTimeout)
	defer cancel()
	if _, err := s.cfg.Propose(ctx, cmd); err != nil {
		s.cfg.Log.Warn("failed to resolve claim; it stays held", "error", err)
	}
}

// newHolderID returns a unique ID for the holder of a claim or permit.
func (s *Server) newHolderID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return s.cfg.Host + "/" + hex.EncodeToString(b[:])
}

// replayClaim returns the response to a resend from the recorded claim of the first send.
func replayClaim(result *claim.Result) (*Response, *proto.Error) {
	switch result.Status {
	case claim.StatusDone:
		if result.Answer.Body == nil && result.Answer.BodyBytes > 0 {
			return nil, errResponseNotKept(result.Answer)
		}
		h := http.Header{"Content-Type": {result.Answer.ContentType}}
		if err := strict.CheckHead(result.Answer.HTTPStatus, h); err != nil {
			return nil, proto.Unknown(proto.CodeInvalidAnswer, "the recorded answer is not valid: %v", err)
		}
		return &Response{
			Status: result.Answer.HTTPStatus, Header: h, Body: result.Answer.Body,
			Upstream: result.Answer.Upstream, Outcome: proto.OutcomeDone,
		}, nil
	case claim.StatusExpired:
		e := proto.Unknown(proto.CodeIDExpired, "the request id is too old or too far ahead")
		e.Status = http.StatusGone
		return nil, e
	case claim.StatusReused:
		return nil, proto.NotRun(proto.CodeIDReused, http.StatusConflict, "the request id was used for another request")
	}
	e := proto.Unknown(proto.CodeInProgress, "the request was sent by %s and its outcome is not recorded", result.Holder)
	e.Status = http.StatusConflict
	return nil, e
}

// errResponseNotKept is the error for a resend of a request that was executed but whose response was too large to record.
func errResponseNotKept(answer *claim.Answer) *proto.Error {
	return &proto.Error{
		Code: proto.CodeAnswerNotKept, Status: http.StatusConflict, Outcome: proto.OutcomeDone,
		Message: fmt.Sprintf("the request ran with status %d; its answer of %d bytes was not kept",
			answer.HTTPStatus, answer.BodyBytes),
	}
}

func toClaimAnswer(resp *Response) claim.Answer {
	answer := claim.Answer{
		HTTPStatus: resp.Status, ContentType: resp.Header.Get("Content-Type"), Upstream: resp.Upstream, BodyBytes: len(resp.Body),
	}
	if len(resp.Body) <= maxRecordedBodyBytes {
		answer.Body = resp.Body
	}
	return answer
}

func writeResponse(w http.ResponseWriter, id string, resp *Response) {
	h := w.Header()
	for k, v := range resp.Header {
		h[k] = v
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	h.Set(proto.HeaderOutcome, string(resp.Outcome))
	h.Set(proto.HeaderRequestID, id)
	h.Set(proto.HeaderUpstream, resp.Upstream)
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
