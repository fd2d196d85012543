package main

import (
	"context"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"baobabreach/internal/fleet"
	"baobabreach/internal/load"
	"baobabreach/internal/model"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

const (
	measureRanges    = 26
	measureUpstreams = 13
	// measureSlots exceeds the number of slots in deployments, so that probes don't queue behind each other.
	measureSlots    = 10
	measureInterval = 10 * time.Millisecond
	// measureDeadline bounds a probe that waits for a killed upstream.
	measureDeadline = 100 * time.Millisecond
	// measureTimeout bounds a run in which a key stays unavailable.
	measureTimeout = 15 * time.Second
	// recoveryTarget is the target time for a key to be available again after a failure.
	recoveryTarget = 2 * time.Second
	setUpTimeout   = 60 * time.Second
)

// failure is a kind of failure. processes returns the names of the processes to kill together, given the current leader.
type failure struct {
	name      string
	processes func(f *fleet.Fleet, leader string, run int) []string
}

func failures() []failure {
	return []failure{
		{"upstream", func(f *fleet.Fleet, _ string, run int) []string {
			return []string{f.Upstreams[run%len(f.Upstreams)].Name}
		}},
		{"leader", func(_ *fleet.Fleet, leader string, _ int) []string { return []string{leader} }},
		{"entry host", func(f *fleet.Fleet, _ string, run int) []string { return []string{f.Hosts[run%3*4+1+run%3].Name} }},
		{"leader's data centre", func(f *fleet.Fleet, leader string, _ int) []string { return processesIn(f, leader[:1]) }},
		{"other data centre", func(f *fleet.Fleet, leader string, run int) []string {
			others := strings.ReplaceAll("abc", leader[:1], "")
			return processesIn(f, others[run%2:run%2+1])
		}},
	}
}

func processesIn(f *fleet.Fleet, name string) []string {
	var out []string
	for _, h := range f.Hosts {
		if h.DataCentre == name {
			out = append(out, h.Name)
		}
	}
	for _, u := range f.Upstreams {
		if u.DataCentre == name {
			out = append(out, u.Name)
		}
	}
	return out
}

// measureUnavailability prints the median and the longest time for which any key was unavailable after each kind of
// failure.
func measureUnavailability(ctx context.Context, binaries string, runs int) (err error) {
	f, err := fleet.Start(ctx, fleet.Config{
		Binaries: binaries, DataCentres: []string{"a", "b", "c"}, HostsPerCentre: 4,
		Services: []fleet.Service{{
			Name: "catalogue", Keyed: true, Idempotent: true, Class: "short", Ranges: measureRanges,
			Upstreams: measureUpstreams, Slots: measureSlots, ServiceTime: 2 * time.Millisecond,
		}},
	})
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	for _, kind := range failures() {
		var durations []time.Duration
		for run := range runs {
			d, err := measureRun(ctx, f, kind, run)
			if err != nil {
				return errors.Wrapf(err, "run %d of %s", run, kind.name)
			}
			durations = append(durations, d)
		}
		slices.Sort(durations)
		within, _ := slices.BinarySearch(durations, recoveryTarget+1)
		fmt.Printf("%-21s runs %d, median %4d ms, longest %4d ms, within 2 s %d, load average %s\n", kind.name, len(durations),
			(durations[(len(durations)-1)/2]+durations[len(durations)/2]).Milliseconds()/2,
			durations[len(durations)-1].Milliseconds(), within, loadAverage())
	}
	return nil
}

func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(b))[0]
}

// measureRun kills the processes of a failure and returns the longest time between two successful responses for one
// key. Afterwards it restarts the processes.
func measureRun(ctx context.Context, f *fleet.Fleet, kind failure, run int) (time.Duration, error) {
	setUpCtx, cancel := context.WithTimeout(ctx, setUpTimeout)
	defer cancel()
	if err := fleet.Wait(setUpCtx, f.CheckBalanced); err != nil {
		return 0, err
	}
	leader, err := f.Leader(setUpCtx)
	if err != nil {
		return 0, err
	}
	names := kind.processes(f, leader, run)
	p := newProber(f, names, uint64(run))
	defer p.client.Close()
	longestGap, err := p.run(ctx, func() error { return killAll(f, names) })
	if err != nil {
		return 0, errors.Wrapf(err, "after killing %v", names)
	}
	for _, n := range names {
		if err := f.Restart(n); err != nil {
			return 0, err
		}
	}
	return longestGap, f.WaitReady(setUpCtx)
}

func killAll(f *fleet.Fleet, names []string) error {
	killErrs := make(chan error, len(names))
	for _, n := range names {
		go func() { killErrs <- f.Kill(n) }()
	}
	var err error
	for range names {
		if e := <-killErrs; e != nil {
			err = e
		}
	}
	return err
}

// prober sends probes for one key per range through the hosts that are not killed.
type prober struct {
	client *load.Client
	hosts  []string
	keys   []string
	// killed is closed once the processes have been killed.
	killed chan struct{}
	// done is closed once recoveryTarget has passed since every key was served again.
	done chan struct{}
	// unserved counts the keys that have not been served since the kill.
	unserved sync.WaitGroup

	mu         sync.Mutex
	rng        *rand.Rand
	longestGap time.Duration
	// lastFailures holds the last failed reply for each key that was not served yet after the kill.
	lastFailures map[string]string
	served       map[string]bool
}

func newProber(f *fleet.Fleet, excluded []string, seed uint64) *prober {
	p := &prober{
		client: load.NewClient(), rng: rand.New(rand.NewPCG(seed, 0)), keys: make([]string, measureRanges),
		killed: make(chan struct{}), done: make(chan struct{}), lastFailures: map[string]string{},
		served: map[string]bool{},
	}
	for _, h := range f.Hosts {
		if !slices.Contains(excluded, h.Name) {
			p.hosts = append(p.hosts, h.CallerAddress)
		}
	}
	for i, missing := 0, measureRanges; missing > 0; i++ {
		k := fmt.Sprintf("probe-%d", i)
		// The ranges divide the hash space evenly, so the high word of the product is the index of the range.
		if r, _ := bits.Mul64(model.HashKey("catalogue", k), measureRanges); p.keys[r] == "" {
			p.keys[r] = k
			missing--
		}
	}
	return p
}

// warmUpTime is the duration of probing before the kill.
const warmUpTime = 300 * time.Millisecond

func (p *prober) run(ctx context.Context, kill func() error) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	var probers sync.WaitGroup
	p.unserved.Add(len(p.keys))
	for i, k := range p.keys {
		probers.Go(func() { p.probe(ctx, k, p.hosts[i%len(p.hosts)]) })
	}
	time.Sleep(warmUpTime)
	err := kill()
	close(p.killed)
	go func() {
		p.unserved.Wait()
		// Keys that are still served under the grants of a killed leader can become unavailable later than others.
		time.Sleep(recoveryTarget)
		close(p.done)
	}()
	probers.Wait()
	if err == nil && len(p.lastFailures) > 0 {
		err = errors.Errorf("%d keys stay unavailable: %v", len(p.lastFailures), p.lastFailures)
	}
	return p.longestGap, err
}

// probe starts a probe of a key every measureInterval, whether or not earlier ones have ended, and records the longest
// time between two successful responses.
func (p *prober) probe(ctx context.Context, key, host string) {
	var (
		lastMu sync.Mutex
		once   sync.Once
		probes sync.WaitGroup
	)
	lastDone := time.Now()
	send := func(afterKill bool) {
		p.mu.Lock()
		id := load.NewID(p.rng)
		p.mu.Unlock()
		r := p.client.Send(ctx, host, load.Request{ID: id, Service: "catalogue", Key: key, Deadline: measureDeadline})
		if r.Outcome != proto.OutcomeDone {
			if afterKill && ctx.Err() == nil {
				p.recordReply(key, host, r)
			}
			return
		}
		lastMu.Lock()
		gap := time.Since(lastDone)
		lastDone = time.Now()
		lastMu.Unlock()
		p.mu.Lock()
		p.longestGap = max(p.longestGap, gap)
		p.mu.Unlock()
		if afterKill {
			once.Do(func() {
				p.recordReply(key, "", r)
				p.unserved.Done()
			})
		}
	}
	t := time.NewTicker(measureInterval)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			probes.Wait()
			return
		case <-ctx.Done():
			once.Do(p.unserved.Done)
			probes.Wait()
			return
		case <-t.C:
		}
		afterKill := false
		select {
		case <-p.killed:
			afterKill = true
		default:
		}
		probes.Go(func() { send(afterKill) })
	}
}

func (p *prober) recordReply(key, host string, r load.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Outcome == proto.OutcomeDone {
		p.served[key] = true
		delete(p.lastFailures, key)
	}
	if p.served[key] {
		return
	}
	p.lastFailures[key] = fmt.Sprintf("%s through %s: %s %s %s %v", key, host, r.Outcome, r.Code, r.Message, r.Err)
}
