package limit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabreach/internal/limit"
	"baobabreach/internal/model"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

const (
	ttl  = 900 * time.Millisecond
	rate = 1000.0
)

var limits = map[string]model.Limit{"t/short": {Tenant: "t", Class: model.ClassShort, PerSecond: rate}}

// Guards against hosts that together exceed the limit while demand shifts, responses are lost and leaders change.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, startAt := time.Duration(0), time.Duration(0)
		allocator := limit.NewAllocator(startAt)
		type share struct {
			rate  float64
			until time.Duration
		}
		used := map[string]share{}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 19).Draw(t, "leader") == 0 {
				allocator = limit.NewAllocator(now + ttl)
			}
			host := fmt.Sprint(rapid.IntRange(0, 11).Draw(t, "host"))
			demand := rapid.Float64Range(-1, 1e6).Draw(t, "demand")
			s := allocator.Allocate(now, now+ttl, host, map[string]float64{"t/short": demand}, limits)
			if rapid.Bool().Draw(t, "answered") {
				used[host] = share{s["t/short"], now + ttl}
			}
			sum := limit.MaxHosts * limit.FloorRate(rate)
			for _, u := range used {
				if now < u.until {
					sum += u.rate
				}
			}
			if sum > rate*1.000001 {
				t.Fatalf("shares and floor rates add up to %f requests/s, limit is %f", sum, rate)
			}
		}
	})
}

// Guards against shares that are not proportional to demand.
func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	allocator := limit.NewAllocator(0)
	var a, b float64
	for i := range 10 {
		now := time.Duration(i) * 300 * time.Millisecond
		a = allocator.Allocate(now, now+ttl, "a", map[string]float64{"t/short": 3000}, limits)["t/short"]
		b = allocator.Allocate(now, now+ttl, "b", map[string]float64{"t/short": 1000}, limits)["t/short"]
	}
	is.True(a > 2.9*b && a < 3.1*b)
	is.True(a+b > 0.89*rate && a+b < 0.91*rate)
}

// Guards against a host that still uses its share after it expired, or that then admits nothing at all.
func TestHostFallsBackToFloorRate(t *testing.T) {
	is := is.New(t)
	h := limit.NewHostLimiter()
	h.Update(0, ttl, map[string]float64{"t/short": 500}, limits)
	admitted := func(from, to time.Duration) int {
		n := 0
		for now := from; now < to; now += time.Millisecond {
			if _, ok := h.Allow(now, "t", model.ClassShort); ok {
				n++
			}
		}
		return n
	}
	n := admitted(0, ttl)
	is.True(n > 400 && n < 510)
	n = admitted(ttl+time.Second, ttl+11*time.Second)
	is.True(n >= 15 && n <= 18) // the floor rate is 1.6 requests/s
	_, ok := h.Allow(0, "unlimited", model.ClassShort)
	is.True(ok)
	is.Equal(len(h.Demand(0)), 1)
}
