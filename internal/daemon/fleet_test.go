package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"

	"baobabreach/internal/clock"
	"baobabreach/internal/config"
	"baobabreach/internal/daemon"
	"baobabreach/internal/model"
	"baobabreach/internal/stub"
	"baobabreach/pkg/proto"
)

var dataCentres = []string{"a", "b", "c"}

const (
	hostsPerDC = 2
	keyCount   = 40
	// conditionTimeout limits every wait for a condition. No test asserts a shorter time.
	conditionTimeout = 30 * time.Second
	// The blocks of ports are below the ephemeral port range of the kernel.
	firstBlockPort, blockCount, portsPerBlock = 25000, 7, 1000
)

// blockListener keeps the listener of the claimed block reachable, since garbage collection would close it.
var blockListener net.Listener

// basePort claims a block by listening on its last port until the process ends, so that concurrent runs of these tests
// in several work trees don't use the same ports.
var basePort = sync.OnceValue(func() int {
	for i := range blockCount {
		first := firstBlockPort + (os.Getpid()+i)%blockCount*portsPerBlock
		lock, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+portsPerBlock-1))
		if err != nil {
			continue
		}
		// A control address in use indicates a run that has not claimed its block.
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+1)); err == nil {
			_ = l.Close()
			blockListener = lock
			return first
		}
		_ = lock.Close()
	}
	panic("no free block of ports")
})

// fleet is a set of daemons and stub upstreams in one process, connected over loopback by a network with links that can
// be cut.
type fleet struct {
	t       *testing.T
	network *network
	callers map[string]string
	apps    map[string]*fx.App
	// upstreams holds the upstreams by name.
	upstreams map[string]*stub.Upstream
	client    *http.Client
	stop      context.CancelFunc
	wg        sync.WaitGroup
	// overlap describes a range that two upstreams held at the same time, or is nil if none was seen.
	overlap atomic.Pointer[string]
}

func startFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		t: t, network: newNetwork(), callers: map[string]string{}, apps: map[string]*fx.App{},
		upstreams: map[string]*stub.Upstream{}, client: &http.Client{}, stop: cancel,
	}
	t.Cleanup(f.close)
	for i, dc := range dataCentres {
		for h := range hostsPerDC {
			f.startDaemon(i, dc, h)
		}
	}
	for i, dc := range dataCentres {
		for n := range 2 {
			f.startUpstream(ctx, fmt.Sprintf("cat-%s%d", dc, n), dc, "catalogue", basePort()+500+i*10+n)
		}
		f.startUpstream(ctx, "ord-"+dc, dc, "orders", basePort()+600+i)
	}
	f.wg.Add(1)
	go f.watchOwnership(ctx)
	f.eventually("every key is served through every host", func() bool { return f.allKeysServed(f.hosts()...) })
	return f
}

func (f *fleet) startDaemon(i int, dc string, h int) {
	host := fmt.Sprintf("%s%d", dc, h)
	cfg := config.Config{
		Host: host, DataCentre: dc, Caller: address(i, h, 0), Control: address(i, h, 1), Operator: address(i, h, 2),
		LogLevel: "error", LogFormat: "text", MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 20,
		MaxBufferedBytes: 64 << 20, Policy: "relay", MaxMoves: 8, StopTimeout: time.Second, Services: []model.Service{
			{
				Name: "catalogue", Keyed: true, Ranges: 16, Class: model.ClassShort,
				PartitionPolicy: model.PartitionMajority, DeadlineMs: 1000,
			},
			{Name: "orders", Class: model.ClassShort, PartitionPolicy: model.PartitionMajority, DeadlineMs: 1000},
		},
	}
	for j, d := range dataCentres {
		cfg.Replicas = append(cfg.Replicas, config.Replica{Host: d + "0", Address: address(j, 0, 1)})
	}
	if h == 0 {
		cfg.DataDir = f.t.TempDir()
	}
	f.network.assignSite(cfg.Control, dc)
	app := daemon.New(cfg, f.network.dialFrom(dc))
	if err := app.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.apps[host], f.callers[host] = app, cfg.Caller
}

func address(dc, host, part int) string {
	return fmt.Sprintf("127.0.0.1:%d", basePort()+dc*100+host*10+part)
}

func (f *fleet) startUpstream(ctx context.Context, name, dc, service string, port int) {
	addr := fmt.Sprintf("127.0.0.1:%d", port)
	f.network.assignSite(addr, dc)
	i := int(dc[0] - 'a')
	u := stub.New(stub.Config{
		Name: name, Address: addr, DataCentre: dc, Service: service, Slots: 3, Keyed: service == "catalogue",
		Entries: []string{address(i, 0, 1), address(i, 1, 1)}, ChecksGrants: true, Incarnation: 1,
		Clock: clock.SinceBoot, Client: &http.Client{Transport: &http.Transport{DialContext: f.network.dialFrom(dc)}},
	})
	l, err := net.Listen("tcp", addr)
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		u.Announce(ctx)
	}()
	f.upstreams[name] = u
}

func (f *fleet) close() {
	f.stop()
	f.network.heal()
	f.wg.Wait()
	for _, app := range f.apps {
		ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
		_ = app.Stop(ctx)
		cancel()
	}
}

// watchOwnership samples the grants that the upstreams hold and records any range that two of them hold at the same time.
// The upstreams share one clock and process, so a range that two hold in a sample and again right after was held by both
// at one moment.
func (f *fleet) watchOwnership(ctx context.Context) {
	defer f.wg.Done()
	for ctx.Err() == nil {
		if found := f.findOverlap(); found != "" {
			f.overlap.Store(&found)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) findOverlap() string {
	holders := map[uint64]string{}
	for name, u := range f.upstreams {
		for _, fence := range u.ValidFences() {
			other, ok := holders[fence.Range]
			if ok && f.holds(other, fence.Range) && f.holds(name, fence.Range) && f.holds(other, fence.Range) {
				return fmt.Sprintf("range %d is held by %s and %s", fence.Range, other, name)
			}
			holders[fence.Range] = name
		}
	}
	return ""
}

func (f *fleet) holds(name string, id uint64) bool {
	for _, fence := range f.upstreams[name].ValidFences() {
		if fence.Range == id {
			return true
		}
	}
	return false
}

func (f *fleet) requireNoOverlap() {
	f.t.Helper()
	if s := f.overlap.Load(); s != nil {
		f.t.Fatal(*s)
	}
}

func (f *fleet) hosts(dcs ...string) []string {
	if len(dcs) == 0 {
		dcs = dataCentres
	}
	var out []string
	for _, dc := range dcs {
		for h := range hostsPerDC {
			out = append(out, dc+strconv.Itoa(h))
		}
	}
	return out
}

// response is the part of an HTTP response that tests check.
type response struct {
	status  int
	outcome proto.Outcome
	body    string
}

func (f *fleet) get(host, service, key string) response {
	return f.send(host, http.MethodGet, service, key, "", "")
}

func (f *fleet) send(host, method, service, key, id, body string) response {
	f.t.Helper()
	url := "http://" + f.callers[host] + "/s/" + service + "/x"
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewBufferString(body))
	if err != nil {
		f.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set(proto.HeaderKey, key)
	}
	if id != "" {
		req.Header.Set(proto.HeaderRequestID, id)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response{status: resp.StatusCode, outcome: proto.Outcome(resp.Header.Get(proto.HeaderOutcome)), body: string(b)}
}

// countOutcomes sends one GET per key, or a single one without a key, through each host and counts the responses by outcome.
func (f *fleet) countOutcomes(service string, keyed bool, hosts ...string) map[proto.Outcome]int {
	out := map[proto.Outcome]int{}
	for _, h := range hosts {
		if !keyed {
			out[f.get(h, service, "").outcome]++
			continue
		}
		for k := range keyCount {
			out[f.get(h, service, fmt.Sprintf("key-%d", k)).outcome]++
		}
	}
	return out
}

func (f *fleet) allKeysServed(hosts ...string) bool {
	got := f.countOutcomes("catalogue", true, hosts...)
	return got[proto.OutcomeDone] == keyCount*len(hosts)
}

// executions returns how often the request with the ID has run, over all upstreams.
func (f *fleet) executions(id string) int {
	n := 0
	for _, u := range f.upstreams {
		n += u.ExecutionCounts()[id]
	}
	return n
}

func (f *fleet) eventually(condition string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for condition: %s", condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
