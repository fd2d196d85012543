package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"baobabreach/internal/fleet"
	"baobabreach/internal/load"
	"baobabreach/pkg/proto"
)

// Load of the demo: every host receives one request for each service per sendInterval.
const (
	sendInterval = 100 * time.Millisecond
	// maxTries bounds the attempts of one request. Together with the pauses between them they outlast a leader change.
	maxTries      = 40
	probeKeys     = 24
	probeInterval = 20 * time.Millisecond
	// probeDeadline is short, so that a lost probe hardly delays the next one.
	probeDeadline = 200 * time.Millisecond
)

// result is the final reply to one request, after all its attempts.
type result struct {
	service string
	reply   load.Reply
}

// traffic sends requests and records their results by request ID.
type traffic struct {
	fleet  *fleet.Fleet
	client *load.Client
	hosts  []string

	mu      sync.Mutex
	rng     *rand.Rand
	results map[string]result
	// longestUnavailable is the longest time between two successful responses for one key.
	longestUnavailable time.Duration
}

func newTraffic(f *fleet.Fleet, seed uint64) *traffic {
	t := &traffic{
		fleet: f, client: load.NewClient(), rng: rand.New(rand.NewPCG(seed, 0)), results: map[string]result{},
	}
	for _, h := range f.Hosts {
		t.hosts = append(t.hosts, h.CallerAddress)
	}
	return t
}

// run sends requests until sendCtx ends. Requests in flight then run to completion, or until ctx ends.
func (t *traffic) run(sendCtx, ctx context.Context) {
	defer t.client.Close()
	var wg sync.WaitGroup
	for k := range probeKeys {
		wg.Go(func() { t.probe(sendCtx, fmt.Sprintf("probe-%d", k), k) })
	}
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	for sendCtx.Err() == nil {
		for h := range t.hosts {
			for _, q := range t.nextRequests() {
				wg.Go(func() { t.send(ctx, h, q) })
			}
		}
		select {
		case <-sendCtx.Done():
		case <-tick.C:
		}
	}
	wg.Wait()
}

func (t *traffic) nextRequests() []load.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return []load.Request{
		{ID: load.NewID(t.rng), Service: "catalogue", Key: fmt.Sprintf("style-%d", t.rng.IntN(5000))},
		{ID: load.NewID(t.rng), Service: "orders", Method: http.MethodPost, Body: `{"wig":"bob"}`},
		{ID: load.NewID(t.rng), Service: "care_sheets"},
	}
}

func (t *traffic) send(ctx context.Context, host int, q load.Request) {
	r := t.client.SendUntilDone(ctx, t.hosts, host, maxTries, q)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results[q.ID] = result{service: q.Service, reply: r}
}

// probe measures for how long a key is unavailable. Each probe goes through the next host.
func (t *traffic) probe(ctx context.Context, key string, hostIndex int) {
	lastDone := time.Now()
	for ctx.Err() == nil {
		t.mu.Lock()
		id := load.NewID(t.rng)
		t.mu.Unlock()
		r := t.client.Send(ctx, t.hosts[hostIndex%len(t.hosts)],
			load.Request{ID: id, Service: "catalogue", Key: key, Deadline: probeDeadline})
		hostIndex++
		now := time.Now()
		if r.Outcome == proto.OutcomeDone || ctx.Err() != nil {
			t.mu.Lock()
			t.longestUnavailable = max(t.longestUnavailable, now.Sub(lastDone))
			t.mu.Unlock()
			lastDone = now
		}
		time.Sleep(probeInterval)
	}
}

// summary is the result of the demo.
type summary struct {
	sent, answered, refused, unknown, lost, ranTwice int
	longestUnavailable                               time.Duration
	// incomplete is appended to the result line if not all planned processes were killed.
	incomplete string
}

func (s summary) ok() bool { return s.lost == 0 && s.ranTwice == 0 && s.incomplete == "" }

// String returns the result line.
func (s summary) String() string {
	return fmt.Sprintf("sent %d, answered %d, refused as not run %d, unknown %d, lost %d, run twice %d, "+
		"longest time a key was unavailable %d ms%s", s.sent, s.answered, s.refused, s.unknown, s.lost, s.ranTwice,
		s.longestUnavailable.Milliseconds(), s.incomplete)
}

// summary compares the replies with the executions recorded by the stand-ins. A request counts as lost if it was
// reported done but did not run, if it is an order, which is not idempotent, and ran although it was reported as not
// run, or if it is idempotent and its outcome stayed unknown.
func (t *traffic) summary() (summary, error) {
	s := summary{sent: len(t.results), longestUnavailable: t.longestUnavailable}
	executions, err := t.fleet.Executions()
	if err != nil {
		return s, err
	}
	runCounts := map[string]int{}
	for _, x := range executions {
		runCounts[x.RequestID]++
	}
	for id, r := range t.results {
		isOrder := r.service == "orders"
		if isOrder && runCounts[id] > 1 {
			s.ranTwice++
		}
		switch r.reply.Outcome {
		case proto.OutcomeDone:
			s.answered++
			if runCounts[id] == 0 {
				s.lost++
			}
		case proto.OutcomeNotRun:
			s.refused++
			if isOrder && runCounts[id] > 0 {
				s.lost++
			}
		case proto.OutcomeUnknown:
			s.unknown++
			if !isOrder {
				s.lost++
			}
		}
	}
	return s, nil
}
