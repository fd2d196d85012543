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

	"baobabreach/internal/audit"
	"baobabreach/internal/claim"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
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
	// Slots waits for a free slot of one of the upstreams. The returned function gives the slot back.
	Slots func(ctx context.Context, t Ticket) (model.Upstream, func(Result), *proto.Error)
	// Guard keeps requests that crash upstreams away; nil makes one that knows of no other host.
	Guard   *Guard
	Client  *http.Client
	Metrics *metric.Registry
	// Audit keeps the outcome of each request; nil keeps none.
	Audit          *audit.Ring
	Log            *slog.Logger
	MaxBodyBytes   int64
	MaxAnswerBytes int64
}

// Ticket describes a request that waits for a slot.
type Ticket struct {
	Request   *Request
	Upstreams []model.Upstream
}

// Result tells how a forwarded request ended, for accounting.
type Result struct {
	Outcome proto.Outcome
	Elapsed time.Duration
	// Shed is true if the upstream refused the request without running it.
	Shed bool
}

// Answer is the whole answer of an upstream.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
	Outcome  proto.Outcome
}

// Server handles caller requests. It is safe for concurrent use.
type Server struct {
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.Guard == nil {
		cfg.Guard = NewGuard(GuardConfig{Clock: cfg.Clock, Log: cfg.Log})
	}
	return &Server{cfg: cfg}
}

// ServeHTTP answers one caller request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := s.cfg.Clock()
	q, perr := s.parse(w, r)
	if perr != nil {
		s.record(&q, nil, perr)
		s.cfg.Metrics.Count("refused." + string(perr.Code))
		peer.WriteError(w, perr.WithRequestID(q.ID))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.Deadline)
	defer cancel()
	a, perr := s.run(ctx, &q)
	elapsed := s.cfg.Clock() - start
	s.record(&q, a, perr)
	if perr != nil {
		s.cfg.Metrics.Observe(q.Tenant, q.Class, perr.Outcome, elapsed)
		s.cfg.Metrics.Count("refused." + string(perr.Code))
		peer.WriteError(w, perr.WithRequestID(q.ID))
		return
	}
	s.cfg.Metrics.Observe(q.Tenant, q.Class, a.Outcome, elapsed)
	writeAnswer(w, q.ID, a)
}

func (s *Server) run(ctx context.Context, q *Request) (*Answer, *proto.Error) {
	if q.Idempotent {
		return s.runIdempotent(ctx, q)
	}
	return s.runOnce(ctx, q)
}

// maxTries bounds the tries of an idempotent request.
const maxTries = 3

func (s *Server) runIdempotent(ctx context.Context, q *Request) (*Answer, *proto.Error) {
	var last *proto.Error
	unknown := false
	for range maxTries {
		a, err := s.attempt(ctx, q)
		if err == nil {
			return a, nil
		}
		last = err
		if unknown = unknown || err.Outcome == proto.OutcomeUnknown; unknown {
			// An earlier try may have run, whatever became of this one.
			last.Outcome = proto.OutcomeUnknown
		}
		if ctx.Err() != nil || !retryable(err.Code) {
			break
		}
	}
	return nil, last
}

func retryable(c proto.Code) bool {
	switch c {
	case proto.CodeUpstreamFailed, proto.CodeConnectionLost, proto.CodeStaleGrant,
		proto.CodeCrossedAnswer, proto.CodeTruncatedAnswer:
		return true
	}
	return false
}

// runOnce claims the request before the only send.
func (s *Server) runOnce(ctx context.Context, q *Request) (*Answer, *proto.Error) {
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
func claimed(r *claim.Result) (*Answer, *proto.Error) {
	switch r.Status {
	case claim.StatusDone:
		if r.Answer.Body == nil && r.Answer.BodyBytes > 0 {
			return nil, notKept(r.Answer)
		}
		h := http.Header{"Content-Type": {r.Answer.ContentType}}
		return &Answer{
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

func recorded(a *Answer) claim.Answer {
	c := claim.Answer{
		HTTPStatus: a.Status, ContentType: a.Header.Get("Content-Type"), Upstream: a.Upstream, BodyBytes: len(a.Body),
	}
	if len(a.Body) <= maxRecordedBody {
		c.Body = a.Body
	}
	return c
}

func writeAnswer(w http.ResponseWriter, id string, a *Answer) {
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
