package bench_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/bench"
)

// Guards against a default policy that performs worse than the others or than a router that picks at random.
func TestPolicyComparison(t *testing.T) {
	is := is.New(t)
	t.Log("load  policy  short p50, p99 over own service  goodput  refused  imbalance  sheds  longest behind long")
	for _, load := range []float64{0.9, 1.1, 1.5} {
		got := map[string]bench.Report{}
		for _, p := range []string{"naive", "local", "shared", "credit", "relay"} {
			r := bench.Run(p, load)
			got[p] = r
			t.Logf("%3.0f%%  %-6s  %8.2f ms %8.2f ms  %5.1f%%  %5.1f%%  %.2f  %6d  %7.1f ms", load*100, p,
				r.P50.Seconds()*1e3, r.P99.Seconds()*1e3, r.SlotShare*100, r.Refused*100, r.Imbalance, r.Sheds,
				r.MaxWaitBehindLong.Seconds()*1e3)
		}
		for _, p := range []string{"naive", "local", "shared", "credit"} {
			is.True(got["relay"].SlotShare > got[p].SlotShare)
		}
		is.True(got["relay"].P99 < 15*time.Millisecond)
	}
}
