package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"baobabreach/internal/claim"
	"baobabreach/internal/model"
	"baobabreach/internal/state"
)

const (
	rangeCount    = 10_000
	upstreamCount = 1_000
	claimCount    = 100_000
	startMs       = int64(1_790_000_000_000)
)

func apply(b *testing.B, m *state.Machine, index uint64, commands ...state.Command) {
	b.Helper()
	data, err := state.Encode(commands)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := m.Apply(index, data); err != nil {
		b.Fatal(err)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func serviceCommand() state.Command {
	return state.Command{Service: &model.Service{Name: "catalogue", Keyed: true, Ranges: rangeCount}}
}

func registerCommand(i int) state.Command {
	return state.Command{Register: &model.Upstream{
		Name: fmt.Sprintf("catalogue-upstream-%d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		DataCentre: "a", Service: "catalogue", Slots: 3, ChecksGrants: true,
	}}
}

// BenchmarkStateSize reports the memory that the replicated state takes per range, upstream and claim.
func BenchmarkStateSize(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		m := state.New()
		apply(b, m, 1, serviceCommand())
		ranges := heapBytes()
		for i := range upstreamCount {
			apply(b, m, uint64(i)+2, registerCommand(i))
		}
		upstreams := heapBytes()
		for i := range claimCount {
			apply(b, m, uint64(i)+upstreamCount+2, state.Command{Claim: &state.Claim{
				ID: claim.NewID(startMs, []byte(fmt.Sprintf("%010d", i))), Holder: "a1/0123456789abcdef",
				Fingerprint: fmt.Sprintf("%032d", i), NowMs: startMs,
			}})
		}
		claims := heapBytes()
		b.ReportMetric(float64(ranges-before)/rangeCount, "B/range")
		b.ReportMetric(float64(upstreams-ranges)/upstreamCount, "B/upstream")
		b.ReportMetric(float64(claims-upstreams)/claimCount, "B/claim")
		runtime.KeepAlive(m)
	}
}

// BenchmarkAssign reports the time to apply one assignment among 10,000 ranges.
func BenchmarkAssign(b *testing.B) {
	m := state.New()
	apply(b, m, 1, serviceCommand(), registerCommand(1), registerCommand(2))
	r := m.Model().Ranges[rangeCount/2]
	i := uint64(2)
	for b.Loop() {
		r = m.Model().Ranges[rangeCount/2]
		apply(b, m, i, state.Command{Release: &state.Release{Range: r.ID, Epoch: r.Epoch}},
			state.Command{Assign: &state.Assign{Range: r.ID, Epoch: r.Epoch, Owner: "catalogue-upstream-1", Incarnation: 1}})
		i++
	}
}

// BenchmarkClaim reports the time to apply one claim.
func BenchmarkClaim(b *testing.B) {
	m := state.New()
	i := uint64(1)
	for b.Loop() {
		apply(b, m, i, state.Command{Claim: &state.Claim{
			ID: claim.NewID(startMs, []byte(fmt.Sprintf("%010d", i))), Holder: "a1/0123456789abcdef",
			Fingerprint: fmt.Sprintf("%032d", i), NowMs: startMs,
		}})
		i++
	}
}
