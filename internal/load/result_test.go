package load_test

import (
	"testing"

	"baobabreach/internal/load"

	"github.com/matryer/is"
)

// Guards against a plan whose phases do not load the stated share of the slots, which would mislabel every result.
func TestPolicyPlanLoadsTheStatedShare(t *testing.T) {
	is := is.New(t)
	p, err := load.ReadPlan("policies")
	is.NoErr(err)
	for phase, want := range map[string]float64{"load_90": 0.9, "load_110": 1.1, "crest_150": 1.5} {
		work, slots := 0.0, 0
		for _, x := range p.Phases {
			if x.Name != phase {
				continue
			}
			for _, s := range p.Services {
				mean := float64(s.ServiceMs) / 1000 * (1 + x.StragglerShare*(x.StragglerFactor-1))
				work += s.Rate * x.RateFactor * mean
				slots += s.Upstreams * s.Slots
			}
		}
		got := work / float64(slots)
		is.True(got > want-0.01 && got < want+0.01)
	}
}
