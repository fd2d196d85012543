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

// Traffic of the demo: every host gets one request of each service per turn.
const (
	turn = 100 * time.Millisecond
	// maxTries bounds the resends of one request; with the pause between them they span a leader change.
	maxTries  = 40
	probeKeys = 24
	probeTurn = 20 * time.Millisecond
	// probeDeadline is short, so that a lost try delays the next one little.
	probeDeadline = 200 * time.Millisecond
)

// outcome is the end of one request, after all its resends.
type outcome struct {
	service string
	reply   load.Reply
}

// traffic sends requests and keeps their ends.
type traffic struct {
	fleet  *fleet.Fleet
	client *load.Client
	hosts  []string

	mu       sync.Mutex
	random   *rand.Rand
	outcomes map[string]outcome
	// longest is the longest time between two answers for one key.
	longest time.Duration
}

func newTraffic(f *fleet.Fleet, seed uint64) *traffic {
	t := &traffic{
		fleet: f, client: load.NewClient(), random: rand.New(rand.NewPCG(seed, 0)), outcomes: map[string]outcome{},
	}
	for _, h := range f.Hosts {
		t.hosts = append(t.hosts, h.Caller)
	}
	return t
}

// run sends until sending ends; requests under way then end by themselves, or with ctx.
func (t *traffic) run(sending, ctx context.Context) {
	defer t.client.Close()
	var wg sync.WaitGroup
	for k := range probeKeys {
		wg.Go(func() { t.probe(sending, fmt.Sprintf("probe-%d", k), k) })
	}
	tick := time.NewTicker(turn)
	defer tick.Stop()
	for sending.Err() == nil {
		for h := range t.hosts {
			for _, q := range t.requests() {
				wg.Go(func() { t.send(ctx, h, q) })
			}
		}
		select {
		case <-sending.Done():
		case <-tick.C:
		}
	}
	wg.Wait()
}

func (t *traffic) requests() []load.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return []load.Request{
		{ID: load.NewID(t.random), Service: "catalogue", Key: fmt.Sprintf("style-%d", t.random.IntN(5000))},
		{ID: load.NewID(t.random), Service: "orders", Method: http.MethodPost, Body: `{"wig":"bob"}`},
		{ID: load.NewID(t.random), Service: "care_sheets"},
	}
}

func (t *traffic) send(ctx context.Context, host int, q load.Request) {
	r := t.client.SendUntilDone(ctx, t.hosts, host, maxTries, q)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[q.ID] = outcome{service: q.Service, reply: r}
}

// probe measures the time for which a key is unavailable, through a different host each time.
func (t *traffic) probe(ctx context.Context, key string, host int) {
	last := time.Now()
	for ctx.Err() == nil {
		t.mu.Lock()
		id := load.NewID(t.random)
		t.mu.Unlock()
		r := t.client.Send(ctx, t.hosts[host%len(t.hosts)],
			load.Request{ID: id, Service: "catalogue", Key: key, Deadline: probeDeadline})
		host++
		now := time.Now()
		if r.Outcome == proto.OutcomeDone || ctx.Err() != nil {
			t.mu.Lock()
			t.longest = max(t.longest, now.Sub(last))
			t.mu.Unlock()
			last = now
		}
		time.Sleep(probeTurn)
	}
}

// summary is the result of the demo.
type summary struct {
	sent, answered, refused, unknown, lost, twice int
	longest                                       time.Duration
	// note tells that the run was incomplete.
	note string
}

func (s summary) ok() bool { return s.lost == 0 && s.twice == 0 && s.note == "" }

// String is the one line of the result.
func (s summary) String() string {
	return fmt.Sprintf("sent %d, answered %d, refused as not run %d, unknown %d, lost %d, run twice %d, "+
		"longest time a key was unavailable %d ms%s", s.sent, s.answered, s.refused, s.unknown, s.lost, s.twice,
		s.longest.Milliseconds(), s.note)
}

// summary compares the replies with the stand-ins' own records. A request is lost if it was reported done without
// having run, reported as not run although it ran, or, if it is safe to repeat, never answered.
func (t *traffic) summary() (summary, error) {
	s := summary{sent: len(t.outcomes), longest: t.longest}
	xs, err := t.fleet.Executions()
	if err != nil {
		return s, err
	}
	runs := map[string]int{}
	for _, x := range xs {
		runs[x.RequestID]++
	}
	for id, o := range t.outcomes {
		order := o.service == "orders"
		if order && runs[id] > 1 {
			s.twice++
		}
		switch o.reply.Outcome {
		case proto.OutcomeDone:
			s.answered++
			if runs[id] == 0 {
				s.lost++
			}
		case proto.OutcomeNotRun:
			s.refused++
			if order && runs[id] > 0 {
				s.lost++
			}
		case proto.OutcomeUnknown:
			s.unknown++
			if !order {
				s.lost++
			}
		}
	}
	return s, nil
}
