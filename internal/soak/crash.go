package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// crashTarget is the path of the requests that crash the upstreams of orders. Each upstream returns crashDowntime later
	// at its address, with a new ID.
	crashTarget   = "/crash"
	crashDowntime = 2 * time.Second
	// crashInterval is the time between two of these requests, which go to one entry host after the other.
	crashInterval = 300 * time.Millisecond
	// stableWindow is how long after the third crash the fleet may take to stop the request.
	stableWindow = 3 * time.Second
	// crashesBeforeStop is the number of crashes after which the fleet must know the request, and maxLateCrashes how often it
	// may still reach an upstream later than stableWindow after that.
	crashesBeforeStop = 3
	maxLateCrashes    = 3
	crashTestOrders   = 12
)

// CrashConfig selects the request that crashes upstreams.
type CrashConfig struct {
	Name string
	// Method and Service select the route: GET is idempotent; POST is not.
	Method, Service string
	// Duration is how long the request is repeated.
	Duration time.Duration
	// End is how the upstreams end.
	End CrashEnd
	// RunTime is how long an upstream runs the request before it ends.
	RunTime time.Duration
	// SameID lets the successors have the IDs of the upstreams that ended.
	SameID bool
	// NewQuery gives each request a query of its own.
	NewQuery bool
	// Disturb is called halfway, or not at all if it is nil.
	Disturb func(r *Run) error
}

// CrashEnd is how an upstream ends that runs the crashing request.
type CrashEnd string

const (
	// CrashCloses closes all connections and the listener.
	CrashCloses CrashEnd = ""
	// CrashAccepts closes all connections, while something goes on accepting and closing connections at the address.
	CrashAccepts CrashEnd = "accepts"
	// CrashSilent closes nothing: the upstream answers no request any more.
	CrashSilent CrashEnd = "silent"
)

// crashRecorder counts the crashes that one request caused.
type crashRecorder struct {
	cfg   CrashConfig
	mu    sync.Mutex
	times []time.Time
}

func (r *crashRecorder) record() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, time.Now())
}

// counts returns all crashes and those later than stableWindow after the third.
func (r *crashRecorder) counts() (all, late int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.times {
		if len(r.times) >= crashesBeforeStop && t.After(r.times[crashesBeforeStop-1].Add(stableWindow)) {
			late++
		}
	}
	return len(r.times), late
}

// RunCrashingRequest repeats a request that crashes each upstream that runs it, beside harmless requests to the same and
// other services. It is a violation if the request still reaches upstreams once the fleet had time to stop it.
func RunCrashingRequest(cfg Config, crash CrashConfig) (*Run, []string, error) {
	r := newRun(cfg, 1)
	recorder := &crashRecorder{cfg: crash}
	return r.run(func(ctx context.Context) error {
		r.group.SetCrash(recorder.crash)
		for range crashTestOrders - orderUpstreams {
			if err := r.startUpstream(false); err != nil {
				return err
			}
		}
		time.Sleep(2 * heartbeatInterval)
		c := &http.Client{Timeout: 3 * time.Second}
		disturbed := crash.Disturb == nil
		for i, startedAt := 0, time.Now(); time.Since(startedAt) < crash.Duration; i++ {
			if !disturbed && time.Since(startedAt) > crash.Duration/2 {
				disturbed = true
				if err := crash.Disturb(r); err != nil {
					return err
				}
			}
			hosts := r.fleet.EntryHosts()
			status := r.sendCrashing(ctx, c, hosts[i%len(hosts)], crash, fmt.Sprintf("crash-%d", i))
			r.recordEvent("crashing request %d to %s: %d", i, hosts[i%len(hosts)].Name, status)
			time.Sleep(crashInterval)
		}
		all, late := recorder.counts()
		answered, failed := r.checker.Counts()
		r.recordEvent("%d crashes, %d of them late; of the harmless requests %d answered, %d failed", all, late, answered, failed)
		if all < crashesBeforeStop {
			r.checker.ReportViolation("the request caused %d crashes only", all)
		}
		if late > maxLateCrashes {
			r.checker.ReportViolation("%d crashes by one request, %d of them later than %v after the third", all, late, stableWindow)
		}
		return nil
	})
}

// sendCrashing sends the request that crashes upstreams and returns the status of the response, or 0 without one.
func (r *Run) sendCrashing(ctx context.Context, c *http.Client, h *Host, crash CrashConfig, id string) int {
	if crash.NewQuery {
		return r.sendRepeated(ctx, c, h, crash, crashTarget+"?page="+id, id)
	}
	return r.sendRepeated(ctx, c, h, crash, crashTarget, id)
}

// sendRepeated sends a request whose content is the same each time.
func (r *Run) sendRepeated(ctx context.Context, c *http.Client, h *Host, crash CrashConfig, target, id string) int {
	status, _ := r.sendTo(ctx, c, h, crash, target, id, "same")
	return status
}

// sendTo sends a request with the body and returns the status and the body of the response; the status is 0 without a whole
// one.
func (r *Run) sendTo(
	ctx context.Context, c *http.Client, h *Host, crash CrashConfig, target, id, body string,
) (int, string) {
	host, path := "a.example", "/o"
	if crash.Service == "styles" {
		path = "/s"
	}
	if crash.Service == "orders" && crash.Method == http.MethodGet {
		host, path = "b.example", fmt.Sprintf("/v%d", r.operator.version)
	}
	url := "http://" + h.CallerAddress() + path + target
	req, err := http.NewRequestWithContext(ctx, crash.Method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "1500")
	req.Header.Set("Shard-Key", "1")
	resp, err := c.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// crash ends an upstream that runs the crashing request and starts its successor at the same address later.
func (r *crashRecorder) crash(u *Upstream) {
	r.record()
	time.Sleep(r.cfg.RunTime)
	endAccepting := func() {}
	switch r.cfg.End {
	case CrashSilent:
		u.fallSilent()
	case CrashAccepts:
		u.Kill()
		endAccepting = acceptAndClose(u.address)
	default:
		u.Kill()
	}
	time.AfterFunc(crashDowntime, func() {
		u.Kill()
		endAccepting()
		id, _, _ := strings.Cut(u.id, "_")
		if !r.cfg.SameID {
			id = fmt.Sprintf("%s_%d", id, time.Now().UnixMilli())
		}
		// An error means that the run has ended.
		_, _ = u.group.Start(id, u.service, u.address, u.address, u.keyed)
	})
	if r.cfg.End == CrashSilent {
		<-u.ctx.Done()
		time.Sleep(crashDowntime)
	}
}

// acceptAndClose accepts connections at the address and closes them, until the returned function is called.
func acceptAndClose(address string) func() {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return func() {}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	return func() { _ = l.Close() }
}

// KillLeader kills the replica that leads and starts it again.
func (r *Run) KillLeader() error {
	for _, h := range r.fleet.Hosts[:replicaCount] {
		if h.leads() {
			r.recordEvent("kill the leader %s", h.Name)
			h.Kill()
			return r.fleet.Start(h)
		}
	}
	return errors.New("no replica leads")
}

// leads reports whether the replica counts itself as the leader.
func (h *Host) leads() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", h.daemonIP, portOperator))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(b), "raft_leader 1")
}

// RestartReplicas kills all replicas at once and starts them again.
func (r *Run) RestartReplicas() error { return r.killReplicas() }

// RestartAll kills all daemons at once and starts them again.
func (r *Run) RestartAll() error {
	r.recordEvent("kill all daemons")
	for _, h := range r.fleet.Hosts {
		h.Kill()
	}
	return r.fleet.RestoreAll()
}

// RestartEntryHosts kills one entry host after the other and starts it again.
func (r *Run) RestartEntryHosts() error {
	for _, h := range r.fleet.EntryHosts() {
		r.recordEvent("kill %s", h.Name)
		h.Kill()
		if err := r.fleet.Start(h); err != nil {
			return err
		}
		time.Sleep(crashInterval)
	}
	return nil
}

const (
	// repeatInterval is the time between two sends of the same harmless request by each of repeatCallers.
	repeatInterval = 20 * time.Millisecond
	repeatCallers  = 4
	// massCrashes is how often all upstreams of orders end at once, massCrashInterval the time between two of them.
	massCrashes       = 3
	massCrashInterval = 4 * time.Second
	// afterCrashes is how long the request is repeated after the last upstreams have come back, and serviceAfter the share of
	// these requests that must be served.
	afterCrashes = 4 * time.Second
	serviceAfter = 0.99
)

// RunHarmlessRequest keeps one harmless request in flight on all entry hosts while all upstreams that run it end at once
// several times. It is a violation if the request is not served again afterwards.
func RunHarmlessRequest(cfg Config, method string) (*Run, []string, error) {
	r := newRun(cfg, 1)
	return r.run(func(ctx context.Context) error {
		recorder := &crashRecorder{}
		var wg sync.WaitGroup
		var measured, served, all atomic.Int64
		ctx, cancel := context.WithCancel(ctx)
		measuring := &atomic.Bool{}
		for i := range repeatCallers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &http.Client{Timeout: 3 * time.Second}
				for n := 0; ctx.Err() == nil; n++ {
					counted := measuring.Load()
					hosts := r.fleet.EntryHosts()
					crash := CrashConfig{Method: method, Service: "orders"}
					status := r.sendRepeated(ctx, c, hosts[(i+n)%len(hosts)], crash, "/same", fmt.Sprintf("same-%d-%d", i, n))
					all.Add(1)
					if counted && ctx.Err() == nil {
						measured.Add(1)
						if status == http.StatusOK {
							served.Add(1)
						}
					}
					time.Sleep(repeatInterval)
				}
			}()
		}
		for range massCrashes {
			time.Sleep(massCrashInterval)
			r.recordEvent("all upstreams of orders end")
			for _, u := range r.group.running("orders") {
				recorder.crash(u)
			}
		}
		time.Sleep(crashDowntime + afterCrashes/2)
		measuring.Store(true)
		time.Sleep(afterCrashes)
		cancel()
		wg.Wait()
		r.recordEvent("%d of %d harmless requests served afterwards, %d sent in all", served.Load(), measured.Load(), all.Load())
		if float64(served.Load()) < serviceAfter*float64(measured.Load()) {
			r.checker.ReportViolation("%d of %d harmless requests served after the crashes", served.Load(), measured.Load())
		}
		return nil
	})
}
