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

// permitRetry is the time between two tries to get the exclusive run of watched content.
const permitRetry = 10 * time.Millisecond

// GuardConfig configures a Guard.
type GuardConfig struct {
	Clock func() time.Duration
	// Report tells the leader of a crash and returns once all entry hosts know. Nil tells nobody.
	Report func(ctx context.Context, r poison.Report) error
	// Permit asks the leader for the exclusive run of watched content, or gives it back. Nil grants all.
	Permit func(ctx context.Context, q poison.PermitRequest) (bool, error)
	Log    *slog.Logger
}

// Guard keeps requests that crash upstreams away from them. It is safe for concurrent use.
type Guard struct {
	cfg GuardConfig

	mu    sync.Mutex
	guard *poison.Guard
}

// NewGuard returns a guard that knows of no suspects.
func NewGuard(cfg GuardConfig) *Guard {
	if cfg.Report == nil {
		cfg.Report = func(context.Context, poison.Report) error { return nil }
	}
	if cfg.Permit == nil {
		cfg.Permit = func(context.Context, poison.PermitRequest) (bool, error) { return true, nil }
	}
	return &Guard{cfg: cfg, guard: poison.NewGuard()}
}

// Version returns the version of the list of suspects in use.
func (g *Guard) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Version()
}

// Update takes the leader's list. A new leader gets the recent reports of this host again.
func (g *Guard) Update(ctx context.Context, l poison.List) {
	g.mu.Lock()
	newLeader := !poison.SameLeader(l.Version, g.guard.Version())
	again := g.guard.Update(g.cfg.Clock(), l, newLeader)
	g.mu.Unlock()
	for _, r := range again {
		go g.report(ctx, r)
	}
}

// admission is a request that the guard let through to an upstream.
type admission struct {
	guard       *Guard
	process     poison.Process
	fingerprint string
	// holder is empty if the content is not watched.
	holder string
}

// enter refuses quarantined content, waits for the exclusive run of watched content, and counts the request.
func (g *Guard) enter(ctx context.Context, q *Request, u model.Upstream, holder string) (admission, *proto.Error) {
	a := admission{
		guard: g, process: poison.Process{Name: u.Name, Incarnation: u.Incarnation}, fingerprint: q.Fingerprint,
	}
	for {
		g.mu.Lock()
		v, left := g.guard.Check(g.cfg.Clock(), q.Fingerprint)
		if v == poison.VerdictRun || (v == poison.VerdictIsolate && a.holder != "") {
			g.guard.Begin(a.process, q.Fingerprint)
			g.mu.Unlock()
			return a, nil
		}
		pq := a.query(holder)
		pq.Crashes, pq.Version = g.guard.Crashes(q.Fingerprint), g.guard.Version()
		g.mu.Unlock()
		if v == poison.VerdictRefuse {
			a.giveBack(false)
			return a, quarantined(left)
		}
		ok, err := a.ask(ctx, pq)
		if err != nil {
			return a, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "the request can't be isolated: %v", err)
		}
		if ok {
			a.holder = holder
			continue
		}
		select {
		case <-ctx.Done():
			return a, proto.NotRun(proto.CodeDeadline, http.StatusServiceUnavailable, "the request waited for its isolated run")
		case <-time.After(permitRetry):
		}
	}
}

func quarantined(left time.Duration) *proto.Error {
	return proto.NotRun(proto.CodeQuarantined, http.StatusUnprocessableEntity,
		"this request crashed two upstreams and is refused").WithRetryAfterMs(left.Milliseconds())
}

// ask asks for a permit. A permit that is granted after ctx has ended is given back: nobody would use it, and the
// content would wait for poison.PermitTime.
func (a admission) ask(ctx context.Context, q poison.PermitRequest) (bool, error) {
	type answer struct {
		granted bool
		err     error
	}
	got := make(chan answer, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
		defer cancel()
		granted, err := a.guard.cfg.Permit(ctx, q)
		got <- answer{granted, err}
	}()
	select {
	case r := <-got:
		if r.err != nil {
			go a.giveUp(q)
		}
		return r.granted, r.err
	case <-ctx.Done():
		go func() {
			<-got
			a.giveUp(q)
		}()
		return false, ctx.Err()
	}
}

// giveUp gives back a permit that may have been granted.
func (a admission) giveUp(q poison.PermitRequest) {
	q.Release, q.Crashes = true, nil
	a.release(q)
}

func (a admission) query(holder string) poison.PermitRequest {
	return poison.PermitRequest{Upstream: a.process.Name, Fingerprint: a.fingerprint, Holder: holder}
}

// leave ends the request. A broken connection is reported before the caller gets its answer.
func (a admission) leave(ctx context.Context, broken, finishedWell bool) {
	g := a.guard
	if broken {
		g.mu.Lock()
		r := g.guard.EndBroken(g.cfg.Clock(), a.process, a.fingerprint)
		g.mu.Unlock()
		r.Holder = a.holder
		g.report(ctx, r)
	} else {
		g.mu.Lock()
		g.guard.End(a.process, a.fingerprint)
		if finishedWell && a.holder != "" {
			g.guard.Clear(a.fingerprint)
		}
		g.mu.Unlock()
	}
	a.giveBack(finishedWell)
}

// giveBack returns the permit, if the request has one.
func (a admission) giveBack(finishedWell bool) {
	if a.holder == "" {
		return
	}
	q := a.query(a.holder)
	q.Release, q.Succeeded = true, finishedWell
	go a.release(q)
}

func (a admission) release(q poison.PermitRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if _, err := a.guard.cfg.Permit(ctx, q); err != nil {
		a.guard.cfg.Log.Warn("permit not given back", "error", err)
	}
}

// reportTimeout bounds the delay of a retry while the leader or another entry host can't be reached.
const reportTimeout = 500 * time.Millisecond

func (g *Guard) report(ctx context.Context, r poison.Report) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if err := g.cfg.Report(ctx, r); err != nil {
		g.cfg.Log.Warn("crash not reported", "upstream", r.Process.Name, "error", err)
	}
}
