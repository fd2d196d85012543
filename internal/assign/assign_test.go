package assign_test

import (
	"net/netip"
	"testing"
	"time"

	"baobabreach/internal/assign"
	"baobabreach/internal/model"

	"github.com/matryer/is"
)

func newUpstream(name string) model.Upstream {
	return model.Upstream{Name: name, Incarnation: 1, DataCentre: "a", Service: "s", Slots: 3}
}

// requests numbers requests with an objective of 600 ms.
type requests struct{ sequence uint64 }

func (r *requests) next() assign.Request {
	r.sequence++
	return assign.Request{
		ID: assign.ID{Sequence: r.sequence}, Objective: 600 * time.Millisecond, Timeout: 1500 * time.Millisecond,
	}
}

// Guards against an upstream that refuses or resets requests because it is full and is then taken for a failed one, so that
// at a crest a whole service or all keys of an owner are refused.
func TestRefusalsAndResetsOfAFullUpstreamAreLoad(t *testing.T) {
	for name, result := range map[string]assign.Result{"refused": assign.ResultRefused, "reset": assign.ResultReset} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, u, rs := assign.New(), newUpstream("u"), &requests{}
			var ids []assign.ID
			now := time.Second
			for range 5 {
				r := rs.next()
				is.True(a.Admit(now, r, u).Granted())
				ids = append(ids, r.ID)
			}
			for range 20 {
				r := rs.next()
				if a.Admit(now, r, u).Granted() {
					a.Done(now, r.ID, result, time.Millisecond)
				}
				now += 70 * time.Millisecond
			}
			is.Equal(a.Stats().Ejections, int64(0))
			for _, id := range ids {
				a.Done(now, id, assign.ResultSuccess, 200*time.Millisecond)
			}
			is.True(a.Admit(now+100*time.Millisecond, rs.next(), u).Granted())
		})
	}
}

// Guards against an owner that gets no requests because it fails some of them, although there is no other upstream for its
// keys.
func TestOwnerThatFailsSomeRequestsIsUsed(t *testing.T) {
	is := is.New(t)
	a, u, rs := assign.New(), newUpstream("u"), &requests{}
	now := time.Second
	for i := range 100 {
		r := rs.next()
		is.True(a.Admit(now, r, u).Granted())
		result := assign.ResultSuccess
		if i%2 == 0 {
			result = assign.ResultFailed
		}
		a.Done(now+10*time.Millisecond, r.ID, result, 10*time.Millisecond)
		now += 20 * time.Millisecond
	}
	for range 3 {
		r := rs.next()
		is.True(a.Admit(now, r, u).Granted())
		a.Done(now, r.ID, assign.ResultFailed, 10*time.Millisecond)
	}
	d := a.Admit(now, rs.next(), u)
	is.True(!d.Granted())
	is.True(d.RetryAfter > 0)
}

// Guards against slots that stay counted as used because the message about the end of a request was lost.
func TestLostEndsAreForgotten(t *testing.T) {
	is := is.New(t)
	a, u, rs := assign.New(), newUpstream("u"), &requests{}
	now := time.Second
	for a.Admit(now, rs.next(), u).Granted() {
		is.True(rs.sequence < 100)
	}
	a.Sweep(now+2*time.Second, map[string]model.Upstream{"u": u})
	is.True(a.Admit(now+2*time.Second, rs.next(), u).Granted())
	// An end that arrives late, twice or from nowhere changes nothing.
	a.Done(now+3*time.Second, assign.ID{Sequence: 1}, assign.ResultFailed, time.Second)
	a.Done(now+3*time.Second, assign.ID{Sequence: 9999}, assign.ResultFailed, time.Second)
	is.Equal(a.Stats().Ejections, int64(0))
}

// Guards against counts of an earlier process that limit or eject the next one of the same name.
func TestNewIncarnationStartsAnew(t *testing.T) {
	is := is.New(t)
	a, u, rs := assign.New(), newUpstream("u"), &requests{}
	now := time.Second
	var last assign.Request
	for {
		last = rs.next()
		if !a.Admit(now, last, u).Granted() {
			break
		}
	}
	u.Incarnation = 2
	is.True(a.Admit(now, rs.next(), u).Granted())
	a.Done(now, assign.ID{Sequence: 1}, assign.ResultSuccess, time.Second)
	is.True(a.Admit(now, rs.next(), u).Granted())
}

// Guards against an upstream that ends requests at once without running them and therefore always seems to have the fewest
// requests in flight.
func TestUpstreamThatRunsNothingAttractsNoRequests(t *testing.T) {
	for name, result := range map[string]assign.Result{
		"refused": assign.ResultRefused, "misdirected": assign.ResultMisdirected, "failed": assign.ResultFailed,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, rs := assign.New(), &requests{}
			candidates := []model.Upstream{newUpstream("bad"), newUpstream("u1"), newUpstream("u2"), newUpstream("u3")}
			now := time.Second
			toBad := 0
			for range 200 {
				r := rs.next()
				r.ID.Host = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rs.sequence)}), 1)
				d := a.Choose(now, r, candidates)
				is.True(d.Granted())
				if d.Upstream.Name == "bad" {
					toBad++
					a.Done(now+time.Millisecond, r.ID, result, time.Millisecond)
				} else {
					a.Done(now+100*time.Millisecond, r.ID, assign.ResultSuccess, 100*time.Millisecond)
				}
				now += 20 * time.Millisecond
			}
			is.True(toBad < 200/len(candidates)/2)
		})
	}
}

// Guards against hundreds of hosts that each have to be refused by each upstream of a service that turns all requests away.
func TestUpstreamsThatTurnRequestsAwayAreLeftAlone(t *testing.T) {
	is := is.New(t)
	a, rs := assign.New(), &requests{}
	us := []model.Upstream{newUpstream("u1"), newUpstream("u2"), newUpstream("u3"), newUpstream("u4")}
	now, granted := time.Second, 0
	var last assign.Decision
	for i := range 200 {
		r := rs.next()
		r.ID.Host = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		if last = a.Choose(now, r, us); last.Granted() {
			granted++
			a.Pause(now, r.ID, 3*time.Second)
			a.Done(now, r.ID, assign.ResultRefused, time.Millisecond)
		}
		now += time.Millisecond
	}
	is.Equal(granted, 8) // two hosts for each upstream
	is.True(!last.Granted())
	is.True(last.RetryAfter > 2*time.Second && last.RetryAfter <= 3*time.Second)
	is.True(a.Choose(now+3*time.Second, rs.next(), us).Granted())
}

// Guards against an upstream that no host uses because it wanted no requests of one of them, and against a host that gets it
// assigned again.
func TestPauseOfOneHostIsItsOwn(t *testing.T) {
	is := is.New(t)
	a, rs, u := assign.New(), &requests{}, newUpstream("u")
	r := rs.next()
	r.ID.Host = netip.MustParseAddrPort("10.0.0.1:1")
	is.True(a.Admit(time.Second, r, u).Granted())
	a.Pause(time.Second, r.ID, 2*time.Second)
	a.Done(time.Second, r.ID, assign.ResultRefused, time.Millisecond)
	same, other := rs.next(), rs.next()
	same.ID.Host, other.ID.Host = r.ID.Host, netip.MustParseAddrPort("10.0.0.2:1")
	is.Equal(a.Admit(1100*time.Millisecond, same, u).RetryAfter, 1900*time.Millisecond)
	is.True(a.Admit(1100*time.Millisecond, other, u).Granted())
}
