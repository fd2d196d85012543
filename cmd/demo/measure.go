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
	// measureSlots is larger than in the deployments, so that probes don't wait for each other.
	measureSlots    = 10
	measureInterval = 10 * time.Millisecond
	// measureDeadline ends a probe that waits for a lost upstream.
	measureDeadline = 100 * time.Millisecond
	// measureLimit ends a run in which a key stays unserved.
	measureLimit = 15 * time.Second
	// measureTarget is the target for a key to be served again after a loss.
	measureTarget = 2 * time.Second
	setUpTimeout  = 60 * time.Second
)

// loss is a kind of loss. It returns the processes that are killed together, the leader given.
type loss struct {
	name string
	of   func(f *fleet.Fleet, leader string, run int) []string
}

func losses() []loss {
	return []loss{
		{"upstream", func(f *fleet.Fleet, _ string, run int) []string {
			return []string{f.Upstreams[run%len(f.Upstreams)].Name}
		}},
		{"leader", func(_ *fleet.Fleet, leader string, _ int) []string { return []string{leader} }},
		{"entry host", func(f *fleet.Fleet, _ string, run int) []string { return []string{f.Hosts[run%3*4+1+run%3].Name} }},
		{"leader's data centre", func(f *fleet.Fleet, leader string, _ int) []string { return centre(f, leader[:1]) }},
		{"other data centre", func(f *fleet.Fleet, leader string, run int) []string {
			others := strings.ReplaceAll("abc", leader[:1], "")
			return centre(f, others[run%2:run%2+1])
		}},
	}
}

func centre(f *fleet.Fleet, name string) []string {
	var out []string
	for _, h := range f.Hosts {
		if h.Centre == name {
			out = append(out, h.Name)
		}
	}
	for _, u := range f.Upstreams {
		if u.Centre == name {
			out = append(out, u.Name)
		}
	}
	return out
}

// measureUnavailability prints the median and the longest time for which any key was unavailable after each loss.
func measureUnavailability(ctx context.Context, binaries string, runs int) (err error) {
	f, err := fleet.Start(ctx, fleet.Config{
		Binaries: binaries, Centres: []string{"a", "b", "c"}, HostsPerCentre: 4,
		Services: []fleet.Service{{
			Name: "catalogue", Keyed: true, Idempotent: true, Class: "short", Ranges: measureRanges,
			Upstreams: measureUpstreams, Slots: measureSlots, ServiceTime: 2 * time.Millisecond,
		}},
	})
	if err != nil {
		return err
	}
	defer func() {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}()
	for _, l := range losses() {
		var all []time.Duration
		for run := range runs {
			d, err := measureRun(ctx, f, l, run)
			if err != nil {
				return errors.Wrapf(err, "run %d of %s", run, l.name)
			}
			all = append(all, d)
		}
		slices.Sort(all)
		within, _ := slices.BinarySearch(all, measureTarget+1)
		fmt.Printf("%-21s runs %d, median %4d ms, longest %4d ms, within 2 s %d, load average %s\n", l.name, len(all),
			(all[(len(all)-1)/2]+all[len(all)/2]).Milliseconds()/2, all[len(all)-1].Milliseconds(), within, loadAverage())
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

// measureRun kills the processes of a loss and returns the longest gap between two answers for one key. Afterwards it
// restarts them.
func measureRun(ctx context.Context, f *fleet.Fleet, l loss, run int) (time.Duration, error) {
	setUp, cancel := context.WithTimeout(ctx, setUpTimeout)
	defer cancel()
	if err := fleet.Wait(setUp, f.CheckBalanced); err != nil {
		return 0, err
	}
	leader, err := f.Leader(setUp)
	if err != nil {
		return 0, err
	}
	names := l.of(f, leader, run)
	p := newProber(f, names, uint64(run))
	defer p.client.Close()
	longest, err := p.run(ctx, func() error { return killAll(f, names) })
	if err != nil {
		return 0, errors.Wrapf(err, "killed %v", names)
	}
	for _, n := range names {
		if err := f.Restart(n); err != nil {
			return 0, err
		}
	}
	return longest, f.WaitReady(setUp)
}

func killAll(f *fleet.Fleet, names []string) error {
	failed := make(chan error, len(names))
	for _, n := range names {
		go func() { failed <- f.Kill(n) }()
	}
	var err error
	for range names {
		if e := <-failed; e != nil {
			err = e
		}
	}
	return err
}

// prober sends one key per range through the hosts that stay alive.
type prober struct {
	client *load.Client
	hosts  []string
	keys   []string
	killed chan struct{}
	// enough is closed once every key was answered after the kill.
	enough  chan struct{}
	waiting sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	longest time.Duration
	// failed holds the last reply for each key that was not answered yet after the kill.
	failed map[string]string
	served map[string]bool
}

func newProber(f *fleet.Fleet, lost []string, seed uint64) *prober {
	p := &prober{
		client: load.NewClient(), random: rand.New(rand.NewPCG(seed, 0)), keys: make([]string, measureRanges),
		killed: make(chan struct{}), enough: make(chan struct{}), failed: map[string]string{},
		served: map[string]bool{},
	}
	for _, h := range f.Hosts {
		if !slices.Contains(lost, h.Name) {
			p.hosts = append(p.hosts, h.Caller)
		}
	}
	for i, missing := 0, measureRanges; missing > 0; i++ {
		k := fmt.Sprintf("probe-%d", i)
		// The hash space is divided evenly.
		if r, _ := bits.Mul64(model.HashKey("catalogue", k), measureRanges); p.keys[r] == "" {
			p.keys[r] = k
			missing--
		}
	}
	return p
}

// settleTime is the time under probes before the kill.
const settleTime = 300 * time.Millisecond

func (p *prober) run(ctx context.Context, kill func() error) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, measureLimit)
	defer cancel()
	var all sync.WaitGroup
	p.waiting.Add(len(p.keys))
	for i, k := range p.keys {
		all.Go(func() { p.probe(ctx, k, p.hosts[i%len(p.hosts)]) })
	}
	time.Sleep(settleTime)
	err := kill()
	close(p.killed)
	go func() {
		p.waiting.Wait()
		// Keys that were still served by the grants of a lost leader can become unavailable later than others.
		time.Sleep(measureTarget)
		close(p.enough)
	}()
	all.Wait()
	if err == nil && len(p.failed) > 0 {
		err = errors.Errorf("%d keys stay unavailable: %v", len(p.failed), p.failed)
	}
	return p.longest, err
}

// probe starts a probe of a key every interval, whether or not the earlier ones were answered, and keeps the longest
// time between the ends of two answers.
func (p *prober) probe(ctx context.Context, key, host string) {
	var (
		mu     sync.Mutex
		once   sync.Once
		probes sync.WaitGroup
	)
	last := time.Now()
	send := func(afterKill bool) {
		p.mu.Lock()
		id := load.NewID(p.random)
		p.mu.Unlock()
		r := p.client.Send(ctx, host, load.Request{ID: id, Service: "catalogue", Key: key, Deadline: measureDeadline})
		if r.Outcome != proto.OutcomeDone {
			if afterKill && ctx.Err() == nil {
				p.setFailed(key, host, r)
			}
			return
		}
		mu.Lock()
		gap := time.Since(last)
		last = time.Now()
		mu.Unlock()
		p.mu.Lock()
		p.longest = max(p.longest, gap)
		p.mu.Unlock()
		if afterKill {
			once.Do(func() {
				p.setFailed(key, "", r)
				p.waiting.Done()
			})
		}
	}
	t := time.NewTicker(measureInterval)
	defer t.Stop()
	for {
		select {
		case <-p.enough:
			probes.Wait()
			return
		case <-ctx.Done():
			once.Do(p.waiting.Done)
			probes.Wait()
			return
		case <-t.C:
		}
		after := false
		select {
		case <-p.killed:
			after = true
		default:
		}
		probes.Go(func() { send(after) })
	}
}

func (p *prober) setFailed(key, host string, r load.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Outcome == proto.OutcomeDone {
		p.served[key] = true
		delete(p.failed, key)
	}
	if p.served[key] {
		return
	}
	p.failed[key] = fmt.Sprintf("%s through %s: %s %s %s %v", key, host, r.Outcome, r.Code, r.Message, r.Err)
}
