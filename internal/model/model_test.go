package model_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"baobabreach/internal/model"
)

// Guards against gaps and overlaps in the hash space, which would leave a key with no owner or with two.
func TestRangesCoverHashSpace(t *testing.T) {
	for _, n := range []int{1, 2, 3, 64, 100} {
		is := is.New(t)
		s := model.NewState().WithService(model.Service{Name: "catalogue", Keyed: true, Ranges: n})
		is.Equal(len(s.Ranges), n)
		is.Equal(s.Ranges[0].First, uint64(0))
		is.Equal(s.Ranges[n-1].Last, uint64(math.MaxUint64))
		for i := 1; i < n; i++ {
			is.Equal(s.Ranges[i].First, s.Ranges[i-1].Last+1)
		}
	}
}
