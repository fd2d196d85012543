package gate

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/poison"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"
)

const (
	// crashReportDelay is how long a crash report waits for further ones, crashReportTimeout limits a report to the leader,
	// and crashReportPause is the time between two failed ones.
	crashReportDelay   = 5 * time.Millisecond
	crashReportTimeout = 500 * time.Millisecond
	crashReportPause   = 200 * time.Millisecond
	// maxPendingRuns limits the runs that wait for a report or for their upstream to show whether it has ended.
	maxPendingRuns = 512
	// replacedTime is how long after a run without a response the end of its upstream is put down to the run.
	replacedTime = 6 * time.Second
)

// CrashGuardConfig configures a CrashGuard.
type CrashGuardConfig struct {
	// Host is the name of this entry host.
	Host  string
	Clock func() time.Duration
	// Report sends a report to the leader. Nil reports nothing.
	Report func(ctx context.Context, r poison.RunReport) error
	// Probe finds out whether a process listens at an address.
	Probe func(ctx context.Context, address string) pipe.Liveness
	View  *route.View
	Log   *slog.Logger
}

// CrashGuard keeps content that crashes upstreams away from them. A crash is a run without a response whose upstream has
// ended: it refuses connections after the connection broke, or the table shows another process in its place. It is
// safe for concurrent use.
type CrashGuard struct {
	cfg  CrashGuardConfig
	wake chan struct{}

	mu      sync.Mutex
	monitor *poison.Monitor
	// probing holds the runs that wait for the result of a probe, by process.
	probing map[poison.Process][]run
	// unresolved holds runs without a response whose upstream may still turn out to have ended.
	unresolved []run
	// crashes, survived and quarantined wait for the next report.
	crashes     []poison.Crash
	survived    []string
	quarantined []poison.Quarantine
	// reportFails is true from the first report that failed to the next that did not.
	reportFails bool
	stats       CrashStats
}

// CrashStats counts crashes and refused requests since the start.
type CrashStats struct {
	Crashes, Refused int64
}

// run is one attempt at an upstream.
type run struct {
	requestID       string
	upstream        model.Upstream
	contents        []string
	sentAt, endedAt time.Duration
	reason          string
}

func (r run) process() poison.Process { return processOf(r.upstream) }

func processOf(u model.Upstream) poison.Process {
	return poison.Process{Name: u.Name, Incarnation: u.Incarnation}
}

// NewCrashGuard returns a guard that knows of no crashes. Reports are sent by Run.
func NewCrashGuard(cfg CrashGuardConfig) *CrashGuard {
	if cfg.Report == nil {
		cfg.Report = func(context.Context, poison.RunReport) error { return nil }
	}
	return &CrashGuard{
		cfg: cfg, wake: make(chan struct{}, 1), monitor: poison.NewMonitor(), probing: map[poison.Process][]run{},
	}
}

// Version returns the version of the leader's last list.
func (g *CrashGuard) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.monitor.Version()
}

// Stats returns the counts since the start.
func (g *CrashGuard) Stats() CrashStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// Update applies a list of the leader.
func (g *CrashGuard) Update(_ context.Context, l poison.List) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := g.monitor.Update(g.cfg.Clock(), l); len(h.Crashes)+len(h.Quarantined) > 0 {
		g.crashes = append(h.Crashes, g.crashes...)
		g.quarantined = append(h.Quarantined, g.quarantined...)
		g.requestReport()
	}
	if len(l.Quarantined)+len(l.Suspected) > 0 {
		g.cfg.Log.Info("list of crashing content", "version", l.Version, "suspected", len(l.Suspected),
			"quarantined", len(l.Quarantined))
	}
}

// idle reports whether no content is known, so that fingerprints need not be computed.
func (g *CrashGuard) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.monitor.Idle()
}

// check returns the verdict on the content of a request and, if it is quarantined, the time left. It computes the
// fingerprints only if any content is known.
func (g *CrashGuard) check(contents func() []string) (poison.Verdict, time.Duration) {
	if g.idle() {
		return poison.VerdictRun, 0
	}
	fingerprints := contents()
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict, left := g.monitor.Check(g.cfg.Clock(), fingerprints)
	if verdict == poison.VerdictRefuse {
		g.stats.Refused++
	}
	return verdict, left
}

// recordSurvival records that an upstream ran content without ending.
func (g *CrashGuard) recordSurvival(contents func() []string) {
	if g.idle() {
		return
	}
	fingerprints := contents()
	g.mu.Lock()
	defer g.mu.Unlock()
	if cleared := g.monitor.RecordSurvival(g.cfg.Clock(), fingerprints); len(cleared) > 0 {
		g.survived = append(g.survived, cleared...)
		g.requestReport()
	}
}

// recordBroken records a run whose connection broke, and probes its upstream unless a probe is under way.
func (g *CrashGuard) recordBroken(r run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, probing := g.probing[r.process()]
	if len(g.probing[r.process()]) < maxPendingRuns {
		g.probing[r.process()] = append(g.probing[r.process()], r)
	}
	if !probing {
		go g.probe(r.upstream)
	}
}

// recordUnanswered records a run that timed out.
func (g *CrashGuard) recordUnanswered(r run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addUnresolved(r)
}

// addUnresolved keeps a run until its upstream has shown whether it has ended. The caller holds mu.
func (g *CrashGuard) addUnresolved(r run) {
	if len(g.unresolved) >= maxPendingRuns {
		g.unresolved = g.unresolved[1:]
	}
	g.unresolved = append(g.unresolved, r)
}

// probe decides whether the runs of an upstream whose connections broke have crashed it.
func (g *CrashGuard) probe(u model.Upstream) {
	liveness := g.cfg.Probe(context.Background(), u.Address)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := processOf(u)
	for _, r := range g.probing[p] {
		g.cfg.Log.Warn("connection broke during a request", slog.String("request", r.requestID), slog.Any("content", r.contents),
			slog.String("upstream", u.Name), slog.Uint64("incarnation", u.Incarnation), slog.String("address", u.Address),
			slog.String("reason", r.reason), slog.String("upstream_is", string(liveness)))
		if liveness == pipe.LivenessRefused {
			g.addCrash(r)
		} else {
			g.addUnresolved(r)
		}
	}
	delete(g.probing, p)
}

// addCrash records the crash of an upstream during a run. The caller holds mu.
func (g *CrashGuard) addCrash(r run) {
	g.stats.Crashes++
	crash := poison.Crash{
		Host: g.cfg.Host, Process: r.process(), Fingerprints: r.contents, SentAt: r.sentAt, EndedAt: r.endedAt,
	}
	for _, v := range g.monitor.RecordCrash(g.cfg.Clock(), crash) {
		g.cfg.Log.Warn("content crashes upstreams and is refused", "content", v.Fingerprint, "crashes", v.Crashes,
			"other_events", v.OtherEvents, "request", r.requestID, "upstream", r.upstream.Name)
	}
	if len(g.crashes) < maxPendingRuns {
		g.crashes = append(g.crashes, crash)
	}
	g.requestReport()
}

// requestReport makes Run send a report soon. The caller holds mu.
func (g *CrashGuard) requestReport() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Sweep looks for runs without a response whose upstream has been replaced since, and drops what has expired.
func (g *CrashGuard) Sweep() {
	t, _ := g.cfg.View.Table()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	g.monitor.Sweep(now)
	var kept []run
	for _, r := range g.unresolved {
		u, ok := t.Upstreams[r.upstream.Name]
		switch {
		case ok && u.LeavingSince > 0 || now > r.endedAt+replacedTime:
		case !ok || u.Incarnation != r.upstream.Incarnation:
			g.cfg.Log.Warn("upstream ended after a request without a response", "request", r.requestID, "content", r.contents,
				"upstream", r.upstream.Name, "incarnation", r.upstream.Incarnation, "reason", r.reason)
			g.addCrash(r)
		default:
			kept = append(kept, r)
		}
	}
	g.unresolved = kept
}

// Run sends reports to the leader until ctx is done.
func (g *CrashGuard) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		pause := crashReportDelay
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			if g.sendReport(ctx) {
				break
			}
			pause = crashReportPause
		}
	}
}

// sendReport sends everything that waits for a report, and keeps it if that fails.
func (g *CrashGuard) sendReport(ctx context.Context) bool {
	g.mu.Lock()
	crashes, survived, quarantined := g.crashes, g.survived, g.quarantined
	g.crashes, g.survived, g.quarantined = nil, nil, nil
	r := poison.NewRunReport(g.cfg.Clock(), g.cfg.Host, crashes)
	g.mu.Unlock()
	r.Survived, r.Quarantined = survived, quarantined
	if r.Empty() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	err := g.cfg.Report(ctx, r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil && !g.reportFails {
		g.cfg.Log.Warn("crashes could not be reported", "crashes", len(crashes), "error", err)
	}
	if g.reportFails = err != nil; !g.reportFails {
		return true
	}
	g.crashes = limitLength(append(crashes, g.crashes...))
	g.survived = limitLength(append(survived, g.survived...))
	g.quarantined = limitLength(append(quarantined, g.quarantined...))
	return false
}

// limitLength keeps the newest maxPendingRuns elements.
func limitLength[T any](list []T) []T { return list[max(0, len(list)-maxPendingRuns):] }

// fingerprints returns the fingerprints of the request's content.
func (c *call) fingerprints() []string {
	if c.contents == nil {
		c.contents = poison.Fingerprints(c.method, c.host, c.target, c.body)
	}
	return c.contents
}

// checkContent returns false and the final response if the content of the request is known to crash upstreams.
func (c *call) checkContent(ctx context.Context) (response, bool) {
	verdict, left := c.gate.cfg.Crashes.check(c.fingerprints)
	if verdict != poison.VerdictRefuse {
		return response{}, true
	}
	c.retryAfter = left
	return c.giveUp(ctx, proto.CodeQuarantined, "the content of the request crashed the upstreams that ran it"), false
}

// suspectedOfCrashes reports whether upstreams have crashed with the content of the request more than once.
func (c *call) suspectedOfCrashes() bool {
	verdict, _ := c.gate.cfg.Crashes.check(c.fingerprints)
	return verdict != poison.VerdictRun
}

// recordRun tells the crash guard how an attempt ended that reached the upstream.
func (c *call) recordRun(ctx context.Context, u model.Upstream, sentAt time.Duration, failure *pipe.Failure) {
	guard := c.gate.cfg.Crashes
	if failure == nil {
		guard.recordSurvival(c.fingerprints)
		return
	}
	if failure.Stage != pipe.StageUnknown || !failure.Broken && ctx.Err() == nil {
		return
	}
	r := run{
		requestID: c.id, upstream: u, contents: c.fingerprints(), sentAt: sentAt, endedAt: c.now(), reason: failure.Error(),
	}
	if failure.Broken {
		guard.recordBroken(r)
		return
	}
	guard.recordUnanswered(r)
}
