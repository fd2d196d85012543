package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Run is one execution of a seeded fault schedule.
type Run struct {
	cfg       Config
	random    *rand.Rand
	fleet     *Fleet
	group     *UpstreamGroup
	operator  *Operator
	checker   *Checker
	upstreams []*Upstream
	// upstreamStarts counts the upstreams started so far; each gets its own address.
	upstreamStarts int
	// diskWiped is true once a disk was wiped: a run wipes at most one.
	diskWiped bool
	// plannedOnly is true if hosts are only stopped and started as planned, so that no request may be cut off.
	plannedOnly bool
	// afterStart is called right after the daemons have been started, unless it is nil.
	afterStart func() error
	// Events lists the injected faults, to be printed if the run fails.
	Events    []string
	startedAt time.Time
}

const (
	keyedUpstreams   = 4
	orderUpstreams   = 3
	callerCount      = 6
	faultCount       = 9
	maxFaultInterval = 1200 * time.Millisecond
)

// RunSchedule runs the fault schedule of a seed and returns the violations of guarantees. An error means that the run
// could not be started or completed.
func RunSchedule(cfg Config, seed uint64) (*Run, []string, error) {
	r := newRun(cfg, seed)
	return r.run(func(ctx context.Context) error {
		for range faultCount {
			if err := r.injectFault(ctx); err != nil {
				return err
			}
			time.Sleep(time.Duration(r.random.Int64N(int64(maxFaultInterval))))
		}
		return nil
	})
}

// RunPlannedStops stops and starts one host after the other under load, without any fault. A request that an upstream ran
// and that ends without an answer is then a violation.
func RunPlannedStops(cfg Config) (*Run, []string, error) {
	r := newRun(cfg, 1)
	r.plannedOnly = true
	return r.run(func(context.Context) error {
		for _, h := range r.fleet.Hosts {
			r.recordEvent("stop %s", h.Name)
			h.Stop()
			if err := r.fleet.Start(h); err != nil {
				return err
			}
		}
		return nil
	})
}

// RunKilledFirstStart kills a replica during the first start of the fleet, once its disk has an identity, and starts it
// again. An error means that the fleet does not serve requests then.
func RunKilledFirstStart(cfg Config, replica int) (*Run, []string, error) {
	r := newRun(cfg, 1)
	r.afterStart = func() error {
		h := r.fleet.Hosts[replica]
		for deadline := time.Now().Add(serveTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if _, err := os.Stat(filepath.Join(cfg.Dir, h.Name, "identity")); err == nil {
				break
			}
		}
		r.recordEvent("kill %s", h.Name)
		h.Kill()
		return r.fleet.Start(h)
	}
	return r.run(func(context.Context) error { return nil })
}

func newRun(cfg Config, seed uint64) *Run {
	return &Run{cfg: cfg, random: rand.New(rand.NewPCG(seed, 1)), checker: NewChecker(), startedAt: time.Now()}
}

// run starts the fleet and callers, calls disturb, and checks that the fleet recovers.
func (r *Run) run(disturb func(ctx context.Context) error) (*Run, []string, error) {
	f, err := NewFleet(r.cfg)
	if err != nil {
		return r, nil, err
	}
	r.fleet = f
	defer f.Close()
	r.group = &UpstreamGroup{
		checker: r.checker, registries: f.Registries(), lastIncarnation: time.Now().UnixMilli(),
		listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
	}
	defer r.group.Close()
	r.operator = &Operator{registries: f.Registries(), checker: r.checker}
	if err := r.startFleet(); err != nil {
		return r, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Add(1)
		go func() { defer wg.Done(); r.runCaller(ctx, i) }()
	}
	if err := disturb(ctx); err != nil {
		return r, nil, err
	}
	if err := r.fleet.RestoreAll(); err != nil {
		return r, nil, err
	}
	r.checkRecovery(ctx)
	cancel()
	wg.Wait()
	return r, r.checker.Violations(), nil
}

// Counts returns the numbers of answered and failed requests.
func (r *Run) Counts() (answered, failed int) { return r.checker.Counts() }

func (r *Run) recordEvent(format string, args ...any) {
	r.Events = append(r.Events, fmt.Sprintf("%6d ms ", time.Since(r.startedAt).Milliseconds())+fmt.Sprintf(format, args...))
}

func (r *Run) startFleet() error {
	for _, h := range r.fleet.Hosts {
		if err := r.fleet.Start(h); err != nil {
			return err
		}
	}
	if r.afterStart != nil {
		if err := r.afterStart(); err != nil {
			return err
		}
	}
	for i := range keyedUpstreams + orderUpstreams {
		if err := r.startUpstream(i < keyedUpstreams); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	r.operator.Change(ctx)
	if !r.waitServing(ctx) {
		return errors.New("the fleet does not serve requests after its start")
	}
	return nil
}

// startUpstream starts an upstream at a new address.
func (r *Run) startUpstream(keyed bool) error {
	r.upstreamStarts++
	service := "orders"
	if keyed {
		service = "styles"
	}
	address := fmt.Sprintf("127.%d.1.%d:%d", r.cfg.LoopbackOctet, r.upstreamStarts, portUpstream)
	u, err := r.group.Start(fmt.Sprintf("i-%d", r.upstreamStarts), service, address, address, keyed)
	if err != nil {
		return errors.Wrap(err, "start upstream")
	}
	r.upstreams = append(r.upstreams, u)
	return nil
}

// waitServing waits until every entry host has answered a keyed request and an order. It returns false if ctx is done
// before.
func (r *Run) waitServing(ctx context.Context) bool {
	c := &http.Client{Timeout: 2 * time.Second}
	for _, h := range r.fleet.EntryHosts() {
		for n := 0; ; n++ {
			if ctx.Err() != nil {
				return false
			}
			id := fmt.Sprintf("probe-%s-%d-%d", h.Name, time.Now().UnixNano(), n)
			keyed, _ := send(c, h, id, http.MethodGet, n*9000%65536)
			order, _ := send(c, h, id+"-o", http.MethodPost, 0)
			if keyed == http.StatusOK && order == http.StatusOK {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// checkRecovery checks that all entry hosts serve again and that no acknowledged change is lost.
func (r *Run) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	if !r.waitServing(ctx) {
		r.checker.ReportViolation("requests are not served %v after the last fault", serveTimeout)
	}
	for !r.operator.Check(ctx) {
		if ctx.Err() != nil {
			r.checker.ReportViolation("no registry returns the configuration %v after the last fault", serveTimeout)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// send sends one request. The status is 0 without a complete response, and -1 if the response is wrong.
func send(c *http.Client, h *Host, id, method string, key int) (int, error) {
	path, body := "/s/"+id, ""
	if method == http.MethodPost {
		path, body = "/o/"+id, "order"
	}
	req, err := http.NewRequest(method, "http://"+h.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	// Without GetBody the transport can't resend an order on its own.
	req.GetBody = nil
	req.Host = "a.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "1500")
	req.Header.Set("Shard-Key", strconv.Itoa(key))
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusOK && (string(b) != id || resp.Header.Get("Response-Signature") == "") {
		return -1, errors.Errorf("request %s: response has body %q, or no signature", id, b)
	}
	return resp.StatusCode, nil
}

// runCaller sends requests over persistent connections until ctx is done.
func (r *Run) runCaller(ctx context.Context, caller int) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	random := rand.New(rand.NewPCG(uint64(caller), 2))
	for i := 0; ctx.Err() == nil; i++ {
		h := r.fleet.EntryHosts()[random.IntN(len(r.fleet.EntryHosts()))]
		id := fmt.Sprintf("c%d-%d%s%s-%d", caller, i, hostSeparator, h.Name, h.starts.Load())
		method := http.MethodGet
		if i%2 == 1 {
			method = http.MethodPost
		}
		status, err := send(c, h, id, method, random.IntN(65536))
		switch {
		case status < 0:
			r.checker.ReportViolation("%v", err)
		case status == http.StatusOK:
			r.checker.RecordAnswer()
		case status == http.StatusNotFound:
			r.checker.ReportViolation("request %s was answered 404", id)
		case method == http.MethodPost && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			r.checker.RecordRefusal(id)
			r.checker.RecordFailure()
		default:
			r.checker.RecordFailure()
			if status == 0 && r.plannedOnly && r.checker.WasExecuted(id) {
				r.checker.ReportViolation("request %s to %s was executed and ended without an answer: %v", id, h.Name, err)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// injectFault injects one random fault. Link faults are undone in the background, so they overlap with later faults.
func (r *Run) injectFault(ctx context.Context) error {
	h := r.fleet.Hosts[r.random.IntN(len(r.fleet.Hosts))]
	switch r.random.IntN(12) {
	case 0:
		r.recordEvent("kill %s", h.Name)
		h.Kill()
		return r.fleet.Start(h)
	case 1:
		r.recordEvent("stop %s", h.Name)
		h.Stop()
		return r.fleet.Start(h)
	case 2:
		r.recordEvent("pause %s", h.Name)
		h.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(r.random.Int64N(int64(3 * time.Second))))
		h.Signal(syscall.SIGCONT)
	case 3:
		r.recordEvent("hangup %s", h.Name)
		h.Signal(syscall.SIGHUP)
	case 4, 5:
		link := []LinkState{LinkSlow, LinkReset, LinkDropInbound, LinkDropOutbound, LinkDropBoth}[r.random.IntN(5)]
		r.recordEvent("link of %s is %s", h.Name, link)
		h.proxy.SetLink(link)
		d := time.Duration(r.random.Int64N(int64(3 * time.Second)))
		time.AfterFunc(d, func() { h.proxy.SetLink(LinkUp) })
	case 6:
		return r.killReplicas()
	case 7:
		return r.wipeReplica()
	case 8:
		r.recordEvent("change the configuration")
		r.operator.Change(ctx)
		r.operator.Check(ctx)
	case 9, 10, 11:
		return r.replaceUpstream()
	}
	return nil
}

func (r *Run) killReplicas() error {
	r.recordEvent("kill all replicas")
	for _, h := range r.fleet.Hosts[:replicaCount] {
		h.Kill()
	}
	for _, h := range r.fleet.Hosts[:replicaCount] {
		if err := r.fleet.Start(h); err != nil {
			return err
		}
	}
	return nil
}

// wipeReplica restores all hosts, then wipes the disk of one replica while the others are running.
func (r *Run) wipeReplica() error {
	if r.diskWiped {
		return nil
	}
	r.diskWiped = true
	if err := r.fleet.RestoreAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	h := r.fleet.Hosts[r.random.IntN(replicaCount)]
	r.recordEvent("wipe %s", h.Name)
	h.Kill()
	if err := r.fleet.WipeDisk(h); err != nil {
		return err
	}
	if err := r.fleet.Start(h); err != nil {
		return err
	}
	// The replica must be repaired before another fault: the fleet does not have to survive a second loss before that.
	time.Sleep(4 * time.Second)
	return nil
}

func (r *Run) replaceUpstream() error {
	i := r.random.IntN(len(r.upstreams))
	u := r.upstreams[i]
	r.upstreams = append(r.upstreams[:i:i], r.upstreams[i+1:]...)
	if r.random.IntN(2) == 0 {
		r.recordEvent("kill upstream %s", u.id)
		u.Kill()
	} else {
		r.recordEvent("drain upstream %s", u.id)
		u.Drain()
	}
	return r.startUpstream(u.keyed)
}
