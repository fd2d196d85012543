package gate_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/broker"
	"baobabreach/internal/drain"
	"baobabreach/internal/gate"

	"github.com/matryer/is"
)

// Guards against an order that is passed on so late in a planned stop that the end of the host cuts it off.
func TestLateOrderOfAStoppingHostIsRefused(t *testing.T) {
	for _, path := range []string{"/o/1", "/s/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			u := newFakeUpstream(t, respondOK)
			f.setTable(1, false, newUpstream("u1", u))
			f.drain.Begin(f.clock())
			f.advance(4 * time.Second)
			is.Equal(f.do("POST", path, "x").StatusCode, http.StatusOK) // its time ends before the host
			f.advance(850 * time.Millisecond)
			resp := f.do("POST", path, "x")
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			is.Equal(f.lastRequestEntry()["code"], "stopping")
			is.Equal(f.lastRequestEntry()["outcome"], "not_run")
			is.Equal(u.requestCount(), 1)
		})
	}
}

// Guards against an order that is accepted early in a planned stop and sent late, because it waited for a broker or because
// an upstream refused it.
func TestOrderThatWaitedDuringAStopIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name, path string
		refused    bool
		sends      int
	}{
		{name: "waited for a broker", path: "/o/1"},
		{name: "waited for the broker of the owner", path: "/s/1"},
		{name: "refused by an upstream", path: "/o/1", refused: true, sends: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var f *fixture
			wait := func() { f.advance(150 * time.Millisecond) }
			brokers := &fakeBrokers{answer: func(broker.Query) broker.Answer {
				wait()
				return broker.Answer{Granted: true} // an unknown upstream, so that the gate picks one
			}}
			u := newFakeUpstream(t, func(conn net.Conn, n int, r *http.Request) {
				wait()
				respondRefused(conn, n, r)
			})
			f = newFixtureWith(t, func(cfg *gate.Config) {
				cfg.Drain = drain.New(drain.Config{BalancerDelay: 100 * time.Millisecond, Timeout: 150 * time.Millisecond})
				if !c.refused {
					cfg.Brokers = brokers.gateBrokers()
				}
				cfg.Drain.Begin(cfg.Clock())
			})
			f.setTable(1, false, newUpstream("u1", u), newUpstream("u2", u))
			is.Equal(f.do("POST", c.path, "x").StatusCode, http.StatusServiceUnavailable)
			is.Equal(f.lastRequestEntry()["code"], "stopping")
			is.Equal(f.lastRequestEntry()["outcome"], "not_run")
			is.Equal(u.requestCount(), c.sends)
			if !c.refused {
				is.Equal(brokers.results[len(brokers.results)-1], assign.ResultNeutral) // the broker gets the slot back
			}
		})
	}
}
