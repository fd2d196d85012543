package clock_test

import (
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/clock"
)

// Guards against a clock that runs backwards, which would extend leases.
func TestSinceBootNeverGoesBack(t *testing.T) {
	is := is.New(t)
	last := clock.SinceBoot()
	for range 10_000 {
		now := clock.SinceBoot()
		is.True(now >= last)
		last = now
	}
}

func BenchmarkSinceBoot(b *testing.B) {
	for b.Loop() {
		clock.SinceBoot()
	}
}
