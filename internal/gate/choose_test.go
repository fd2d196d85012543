package gate_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/broker"
	"baobabreach/internal/gate"
	"baobabreach/internal/model"

	"github.com/matryer/is"
)

// fakeBrokers answers the questions of a gate.
type fakeBrokers struct {
	// answer is nil for a broker that does not answer.
	answer func(q broker.Query) broker.Answer
	// unreachable is the data centre that the host is cut off from.
	unreachable string

	mu        sync.Mutex
	questions []broker.Query
	results   []assign.Result
}

func (b *fakeBrokers) gateBrokers() *gate.Brokers {
	members := []broker.Member{
		{Address: netip.MustParseAddrPort("10.0.0.1:1"), DataCentre: "a"},
		{Address: netip.MustParseAddrPort("10.0.0.2:1"), DataCentre: "b"},
	}
	return &gate.Brokers{
		Members: func() []broker.Member { return members },
		Ask: func(_ context.Context, _ broker.Member, q broker.Query) (broker.Answer, error) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.questions = append(b.questions, q)
			if b.answer == nil {
				return broker.Answer{}, broker.ErrNoAnswer
			}
			return b.answer(q), nil
		},
		Done: func(_ broker.Ticket, r assign.Result, _ time.Duration) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.results = append(b.results, r)
		},
		Reachable: func(dataCentre string) bool { return dataCentre != b.unreachable },
	}
}

func (b *fakeBrokers) questionCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.questions)
}

// Guards against requests that are sent to upstreams or wait although all of them are busy, and against a refusal that
// tells callers to come back sooner than there will be room.
func TestRequestsAreRefusedWhileAllUpstreamsAreBusy(t *testing.T) {
	for name, path := range map[string]string{"any upstream": "/o/1", "owner of a key": "/s/1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refused := broker.Answer{RetryAfter: 700 * time.Millisecond}
			brokers := &fakeBrokers{answer: func(broker.Query) broker.Answer { return refused }}
			f := newFixtureWithBrokers(t, brokers.gateBrokers())
			upstream := newFakeUpstream(t, respondOK)
			f.setTable(1, true, newUpstream("u1", upstream))
			startedAt := time.Now()
			r := f.do("GET", path, "")
			is.Equal(r.StatusCode, http.StatusServiceUnavailable)
			is.Equal(r.Header.Get("Retry-After"), "0.700")
			is.Equal(upstream.requestCount(), 0)
			is.Equal(f.lastRequestEntry()["outcome"], "not_run")
			is.True(time.Since(startedAt) < 5*time.Second)
		})
	}
}

// Guards against requests that fail because no broker answers, or because one assigns an upstream that the table of the
// host does not have: the host then chooses on its own.
func TestRequestsAreServedWithoutBrokers(t *testing.T) {
	for name, answer := range map[string]func(broker.Query) broker.Answer{
		"no answer":           nil,
		"an unknown upstream": func(broker.Query) broker.Answer { return broker.Answer{Granted: true} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			brokers := &fakeBrokers{answer: answer}
			f := newFixtureWithBrokers(t, brokers.gateBrokers())
			f.setTable(1, true, newUpstream("u1", newFakeUpstream(t, respondOK)))
			is.Equal(f.do("GET", "/o/1", "").StatusCode, http.StatusOK)
			is.Equal(f.do("GET", "/s/1", "").StatusCode, http.StatusOK)
			is.Equal(brokers.questionCount(), 2)
		})
	}
}

// Guards against keyed requests that wait until their deadline for an owner beyond a cut between data centres.
func TestOwnerInUnreachableDataCentreIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	brokers := &fakeBrokers{unreachable: "b"}
	f := newFixtureWithBrokers(t, brokers.gateBrokers())
	silent := newFakeUpstream(t, neverRespond)
	u := newUpstream("u1", silent)
	u.DataCentre = "b"
	f.setTable(1, true, u)
	r := f.do("GET", "/s/1", "")
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.Equal(silent.requestCount(), 0)
	is.Equal(f.lastRequestEntry()["outcome"], "not_run")
}

// Guards against an upstream that resets connections while it is full and is then left alone as if it had failed.
func TestResetsOfABusyUpstreamAreNoFailures(t *testing.T) {
	is := is.New(t)
	p := gate.NewPicker("a", func(int) int { return 0 })
	u := model.Upstream{Name: "u", Incarnation: 1, DataCentre: "a", Slots: 3}
	now := time.Minute
	for range 20 {
		is.Equal(p.Acquire(now, u, false), gate.AdmissionGranted)
		p.Done(now, u, assign.ResultSuccess, 100*time.Millisecond)
		is.Equal(p.Acquire(now, u, false), gate.AdmissionGranted)
		p.Done(now, u, assign.ResultReset, time.Millisecond)
		now += 100 * time.Millisecond
	}
	is.Equal(p.Stats(now).Ejections, int64(0))
	// Without any response, resets are those of a crashed upstream.
	for range 3 {
		now += 2 * time.Second
		is.Equal(p.Acquire(now, u, false), gate.AdmissionGranted)
		p.Done(now, u, assign.ResultReset, time.Millisecond)
	}
	is.Equal(p.Acquire(now, u, false), gate.AdmissionEjected)
}

// Guards against requests that are sent again and again to an address that now belongs to another upstream. Pattern: a
// replacement that reuses addresses, seen by hosts that lost their power (incident inc-60b2).
func TestMisdirectedUpstreamIsNotTriedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	replaced := newFakeUpstream(t, func(c net.Conn, _ int, r *http.Request) {
		writeResponse(c, r, "421 Misdirected Request", "X-Not-Run: 1\r\n", "")
	})
	good := newFakeUpstream(t, respondOK)
	f.setTable(1, false, newUpstream("u1", replaced), newUpstream("u2", good))
	for range 5 {
		is.Equal(f.do("POST", "/o/1", "x").StatusCode, http.StatusOK)
	}
	is.Equal(replaced.requestCount(), 1)
	is.Equal(good.requestCount(), 5)
}
