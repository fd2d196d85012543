package gate_test

import (
	"testing"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/gate"
	"baobabreach/internal/model"
	"baobabreach/internal/route"

	"github.com/matryer/is"
)

func newUpstreams(n int, dataCentre string) []model.Upstream {
	var us []model.Upstream
	for i := range n {
		us = append(us, model.Upstream{
			Name: dataCentre + string(rune('0'+i)), Incarnation: 1, DataCentre: dataCentre, Slots: 3,
		})
	}
	return us
}

func newPicker() *gate.Picker { return gate.NewPicker("a", func(int) int { return 0 }) }

// Guards against overloading one upstream while others are idle, and against traffic to another data centre while the
// local one has capacity.
func TestPickBalancesAndPrefersLocalDataCentre(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	us := append(newUpstreams(2, "a"), newUpstreams(2, "b")...)
	count := map[string]int{}
	for range 8 {
		u, ok := p.Pick(time.Second, us, nil)
		is.True(ok)
		count[u.Name]++
	}
	is.Equal(count["a0"], 3)
	is.Equal(count["a1"], 3)
	is.Equal(count["b0"]+count["b1"], 2)
}

// Guards against sending further requests to a failing upstream, and against ejecting so many that too few remain.
func TestFailingUpstreamsAreEjected(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	us := newUpstreams(3, "a")
	for range 3 {
		is.Equal(p.Acquire(time.Second, us[0], false), gate.AdmissionGranted)
		p.Done(time.Second, us[0], assign.ResultFailed, time.Millisecond)
	}
	for range 6 {
		u, _ := p.Pick(time.Second, us, nil)
		is.True(u.Name != "a0")
	}
	is.Equal(p.Acquire(time.Second, us[0], false), gate.AdmissionEjected)
	is.Equal(p.Acquire(2*time.Second, us[0], false), gate.AdmissionGranted)
	// If all upstreams fail, ejections must be ignored.
	for _, u := range us[1:] {
		for range 3 {
			p.Acquire(time.Second, u, false)
			p.Done(time.Second, u, assign.ResultFailed, time.Millisecond)
		}
	}
	_, ok := p.Pick(time.Second, us, nil)
	is.True(ok)
}

// Guards against a host that fills the queue of a hot key's owner, and against an unlimited number of waiting requests.
func TestHotOwnerHasLowerInFlightLimit(t *testing.T) {
	is := is.New(t)
	u := newUpstreams(1, "a")[0]
	fillInFlight := func(p *gate.Picker) (n int) {
		for p.Acquire(time.Second, u, false) == gate.AdmissionGranted {
			n++
		}
		return n
	}
	normal := newPicker()
	normalInFlight := fillInFlight(normal)
	hot := newPicker()
	is.Equal(hot.Acquire(time.Second, u, false), gate.AdmissionGranted)
	hot.Done(time.Second, u, assign.ResultRefused, time.Millisecond)
	hotInFlight := fillInFlight(hot)
	is.True(hotInFlight >= 1)
	is.True(hotInFlight < normalInFlight)
	for n := 1; hot.Acquire(time.Second, u, false) != gate.AdmissionQueueFull; n++ {
		is.True(n < 16)
	}
	hot.Done(time.Second, u, assign.ResultSuccess, time.Millisecond)
	is.Equal(hot.Acquire(time.Second, u, true), gate.AdmissionGranted)
	// An owner is treated as hot for one second.
	is.Equal(hot.Acquire(3*time.Second, u, true), gate.AdmissionGranted)
}

// Guards against hosts that together exceed the limit on retries.
func TestRetryBudgetIsSharedByHosts(t *testing.T) {
	is := is.New(t)
	const hosts, requests = 12, 500
	cfg := gate.BudgetConfig{Ratio: 0.2, Slack: 64, Window: 10 * time.Second, FirstStart: true}
	resends := 0
	for range hosts {
		b := gate.NewBudget(cfg)
		for i := range requests {
			now := time.Duration(i) * 10 * time.Second / requests
			b.RecordRequest(now, "orders", hosts)
			for b.Allow(now, "orders", hosts) {
				resends++
			}
		}
	}
	is.True(float64(resends) <= cfg.Ratio*hosts*requests+cfg.Slack)
	is.True(resends > hosts)
}

// Guards against hosts that are restarted again and again and together exceed the limit on retries, because each process
// starts with a full budget.
func TestRestartedHostsShareTheRetryBudget(t *testing.T) {
	is := is.New(t)
	const hosts, requests, restarts = 12, 500, 12
	retries := func(firstStart bool) (n int, limit float64) {
		cfg := gate.BudgetConfig{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
		for range hosts {
			var b *gate.Budget
			for i := range requests {
				now := time.Duration(i) * cfg.Window / requests
				if i%(requests/restarts) == 0 {
					cfg.StartedAt, cfg.FirstStart = now, firstStart && i == 0
					b = gate.NewBudget(cfg)
				}
				b.RecordRequest(now, "orders", hosts)
				for b.Allow(now, "orders", hosts) {
					n++
				}
			}
		}
		return n, cfg.Ratio*hosts*requests + cfg.Slack
	}
	for _, firstStart := range []bool{true, false} {
		n, limit := retries(firstStart)
		is.True(float64(n) <= limit)
		is.True(n > hosts*restarts) // a restarted host earns retries by its requests
	}
	// A service that is used long after the start has its whole slack.
	b := gate.NewBudget(gate.BudgetConfig{Ratio: 0.2, Slack: 64, Window: 10 * time.Second})
	n := 0
	for b.Allow(time.Hour, "orders", hosts) {
		n++
	}
	is.Equal(n, 3)
}

// Guards against idle connections of many hosts that together exceed the connection limit of an upstream.
func TestIdleConnectionsRespectServiceLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	is.Equal(f.gate.IdlePerUpstream(6), 6)
	f.view.Update(0, route.Update{Version: 1, HostCount: 87, Table: &route.Table{
		Version: 1, Services: map[string]model.Service{"orders": {Name: "orders", MaxConnections: 500}},
	}})
	is.Equal(f.gate.IdlePerUpstream(6), 2)
}

// Guards against memory use that grows with every upstream ever seen, and against wrong metrics.
func TestPickerForgetsRemovedUpstreams(t *testing.T) {
	is := is.New(t)
	p := newPicker()
	us := newUpstreams(3, "a")
	inUse, ok := p.Pick(0, us, nil)
	is.True(ok)
	for range 3 {
		u, _ := p.Pick(0, us[1:2], nil)
		p.Done(0, u, assign.ResultFailed, time.Millisecond)
	}
	is.Equal(p.Stats(0), gate.PickerStats{Ejected: 1, Ejections: 1, InFlight: 1})
	p.Forget(nil)
	is.Equal(p.Stats(0), gate.PickerStats{Ejections: 1, InFlight: 1}) // an upstream with a request in flight is kept
	p.Done(0, inUse, assign.ResultSuccess, time.Millisecond)
	p.Forget(nil)
	is.Equal(p.Stats(0), gate.PickerStats{Ejections: 1})
}
