package owner_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/owner"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"
)

// newAssignedPlanner returns a planner and a state with the given numbers of upstreams and ranges, all assigned.
func newAssignedPlanner(upstreamCount, ranges int) (*owner.Planner, *model.State) {
	s := model.NewState().WithService(model.Service{Name: "catalogue", Keyed: true, Ranges: ranges})
	us := map[string]model.Upstream{}
	for i := range upstreamCount {
		u := announcement(i)
		us[u.Name] = model.Upstream{
			Name: u.Name, Incarnation: 1, Address: u.Address, DataCentre: "a", Service: "catalogue", Slots: 3, ChecksGrants: true,
		}
	}
	s.Upstreams = us
	for i := range s.Ranges {
		s.Ranges[i] = s.Ranges[i].Hold(us[announcement(i%upstreamCount).Name], uint64(i+1), false, 1)
	}
	return owner.New(owner.Config{MaxMoves: 8}, 0), s.WithVersion(1)
}

func announcement(i int) proto.Announcement {
	return proto.Announcement{
		Name: fmt.Sprintf("catalogue-upstream-%d", i), Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		DataCentre: "a", Service: "catalogue", Slots: 3, Incarnation: 1, ChecksGrants: true,
	}
}

// BenchmarkAnnounce reports the leader's time per announcement.
func BenchmarkAnnounce(b *testing.B) {
	for _, n := range []int{100, 1_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p, s := newAssignedPlanner(n, 8*n)
			i := 0
			for b.Loop() {
				if _, err := p.Announce(time.Second, s, announcement(i%n)); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// BenchmarkRenew reports the leader's time per renewal without changes and the size of the messages.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{12, 100, 870} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			p, s := newAssignedPlanner(39, 64)
			daemon := func(i int) route.Daemon {
				return route.Daemon{
					Host: fmt.Sprintf("host-%d", i), DataCentre: "a", Control: "10.0.0.1:7101", Caller: "10.0.0.1:7100",
				}
			}
			hash := uint64(0)
			for i := range n {
				l := p.Renew(time.Second, s, owner.Renewal{Daemon: daemon(i), TableVersion: 1, OldestVersion: 1})
				hash = route.HashDaemons(l.Daemons)
			}
			r := owner.Renewal{TableVersion: 1, OldestVersion: 1, DaemonsSum: hash}
			i := 0
			for b.Loop() {
				r.Daemon = daemon(i % n)
				p.Renew(time.Second, s, r)
				i++
			}
			q, _ := json.Marshal(r)
			a, _ := json.Marshal(p.Renew(time.Second, s, r))
			b.ReportMetric(float64(len(q)), "B/renewal")
			b.ReportMetric(float64(len(a)), "B/lease")
		})
	}
}

// BenchmarkTableSize reports the memory and the encoded size of a host's table per range.
func BenchmarkTableSize(b *testing.B) {
	const ranges = 10_000
	for b.Loop() {
		_, s := newAssignedPlanner(1_000, ranges)
		data, err := json.Marshal(route.NewTable(s))
		if err != nil {
			b.Fatal(err)
		}
		before := liveBytes()
		var t route.Table
		if err := json.Unmarshal(data, &t); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(liveBytes()-before)/ranges, "B/range")
		b.ReportMetric(float64(len(data))/ranges, "json-B/range")
		runtime.KeepAlive(&t)
		runtime.KeepAlive(s)
		runtime.KeepAlive(data)
	}
}

func liveBytes() uint64 {
	// The second collection empties the pools of encoding/json.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
