package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/poison"
	"baobabreach/pkg/proto"
)

// permitRetryInterval is the time between two requests for a permit.
const permitRetryInterval = 10 * time.Millisecond

// GuardConfig holds the clock of a Guard and the functions that call the leader.
type GuardConfig struct {
	Clock func() time.Duration
	// Report reports a crash to the leader and returns once all entry hosts know of it. Nil reports nothing.
	Report func(ctx context.Context, r poison.Report) error
	// Permit requests or releases a permit of the leader. A request whose content is suspected of crashing upstreams needs
	// one, so that an upstream runs only one such content at a time. Nil grants every request.
	Permit func(ctx context.Context, req poison.PermitRequest) (bool, error)
	Log    *slog.Logger
}

// Guard protects upstreams from requests that crash them. It is safe for concurrent use.
type Guard struct {
	cfg GuardConfig

	mu     sync.Mutex
	poison *poison.Guard
}

// NewGuard returns a guard with an empty list of suspects.
func NewGuard(cfg GuardConfig) *Guard {
	if cfg.Report == nil {
		cfg.Report = func(context.Context, poison.Report) error { return nil }
	}
	if cfg.Permit == nil {
		cfg.Permit = func(context.Context, poison.PermitRequest) (bool, error) { return true, nil }
	}
	return &Guard{cfg: cfg, poison: poison.NewGuard()}
}

// Version returns the version of the list of suspects that Update applied last.
func (g *Guard) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Version()
}

// Update applies the leader's list of suspects. The recent crash reports of this host are sent again to a new leader.
func (g *Guard) Update(ctx context.Context, list poison.List) {
	g.mu.Lock()
	newLeader := !poison.SameLeader(list.Version, g.poison.Version())
	resend := g.poison.Update(g.cfg.Clock(), list, newLeader)
	g.mu.Unlock()
	for _, r := range resend {
		go g.report(ctx, r)
	}
}

// guardedRequest is a request that the guard admitted to an upstream.
type guardedRequest struct {
	guard       *Guard
	process     poison.Process
	fingerprint string
	// permitHolder is empty if the request has no permit. Only content suspected of crashing upstreams needs one.
	permitHolder string
}

// begin refuses a request whose content is quarantined, waits for a permit if its content is only suspected of crashing
// upstreams, and counts the request as in flight.
func (g *Guard) begin(
	ctx context.Context, req *Request, u model.Upstream, permitHolder string,
) (guardedRequest, *proto.Error) {
	gr := guardedRequest{
		guard: g, process: poison.Process{Name: u.Name, Incarnation: u.Incarnation}, fingerprint: req.Fingerprint,
	}
	for {
		g.mu.Lock()
		verdict, remaining := g.poison.Check(g.cfg.Clock(), req.Fingerprint)
		if verdict == poison.VerdictRun || (verdict == poison.VerdictIsolate && gr.permitHolder != "") {
			g.poison.Begin(gr.process, req.Fingerprint)
			g.mu.Unlock()
			return gr, nil
		}
		permitReq := gr.newPermitRequest(permitHolder)
		permitReq.Crashes, permitReq.Version = g.poison.Crashes(req.Fingerprint), g.poison.Version()
		g.mu.Unlock()
		if verdict == poison.VerdictRefuse {
			gr.releasePermit(false)
			return gr, errQuarantined(remaining)
		}
		granted, err := gr.requestPermit(ctx, permitReq)
		if err != nil {
			return gr, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "the request can't be isolated: %v", err)
		}
		if granted {
			gr.permitHolder = permitHolder
			continue
		}
		select {
		case <-ctx.Done():
			return gr, proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable, "the request waited for its isolated run")
		case <-time.After(permitRetryInterval):
		}
	}
}

func errQuarantined(remaining time.Duration) *proto.Error {
	return proto.NotRun(proto.CodeQuarantined, http.StatusUnprocessableEntity,
		"this request crashed two upstreams and is refused").WithRetryAfterMs(remaining.Milliseconds())
}

// requestPermit requests a permit. A permit that is granted after ctx has ended is released: it would not be used, and
// other requests with the content would have to wait until it expires.
func (gr guardedRequest) requestPermit(ctx context.Context, permitReq poison.PermitRequest) (bool, error) {
	type result struct {
		granted bool
		err     error
	}
	results := make(chan result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), backgroundCallTimeout)
		defer cancel()
		granted, err := gr.guard.cfg.Permit(ctx, permitReq)
		results <- result{granted, err}
	}()
	select {
	case r := <-results:
		if r.err != nil {
			go gr.abandonPermit(permitReq)
		}
		return r.granted, r.err
	case <-ctx.Done():
		go func() {
			<-results
			gr.abandonPermit(permitReq)
		}()
		return false, ctx.Err()
	}
}

// abandonPermit releases a permit that may have been granted.
func (gr guardedRequest) abandonPermit(permitReq poison.PermitRequest) {
	permitReq.Release, permitReq.Crashes = true, nil
	gr.sendRelease(permitReq)
}

func (gr guardedRequest) newPermitRequest(holder string) poison.PermitRequest {
	return poison.PermitRequest{Upstream: gr.process.Name, Fingerprint: gr.fingerprint, Holder: holder}
}

// end removes the request from those in flight. A broken connection is reported before the caller gets its response.
func (gr guardedRequest) end(ctx context.Context, connectionBroken, succeeded bool) {
	g := gr.guard
	if connectionBroken {
		g.mu.Lock()
		r := g.poison.EndBroken(g.cfg.Clock(), gr.process, gr.fingerprint)
		g.mu.Unlock()
		r.Holder = gr.permitHolder
		g.report(ctx, r)
	} else {
		g.mu.Lock()
		g.poison.End(gr.process, gr.fingerprint)
		if succeeded && gr.permitHolder != "" {
			g.poison.Clear(gr.fingerprint)
		}
		g.mu.Unlock()
	}
	gr.releasePermit(succeeded)
}

// releasePermit releases the permit of the request, if it has one.
func (gr guardedRequest) releasePermit(succeeded bool) {
	if gr.permitHolder == "" {
		return
	}
	permitReq := gr.newPermitRequest(gr.permitHolder)
	permitReq.Release, permitReq.Succeeded = true, succeeded
	go gr.sendRelease(permitReq)
}

func (gr guardedRequest) sendRelease(permitReq poison.PermitRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundCallTimeout)
	defer cancel()
	if _, err := gr.guard.cfg.Permit(ctx, permitReq); err != nil {
		gr.guard.cfg.Log.Warn("failed to release permit", "error", err)
	}
}

// reportTimeout bounds a crash report, which delays a retry while the leader or another entry host is unreachable.
const reportTimeout = 500 * time.Millisecond

func (g *Guard) report(ctx context.Context, r poison.Report) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if err := g.cfg.Report(ctx, r); err != nil {
		g.cfg.Log.Warn("failed to report crash to the leader", "upstream", r.Process.Name, "error", err)
	}
}
