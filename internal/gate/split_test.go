package gate_test

import (
	"math"
	"testing"

	"baobabreach/internal/gate"
	"baobabreach/internal/model"

	"github.com/matryer/is"
)

// Guards against a split that gives requests to a service with weight 0, that does not keep the proportions of the
// weights, or that depends on their sum.
func TestServicesAreChosenByWeight(t *testing.T) {
	split := func(a, b float64) []model.WeightedService {
		return []model.WeightedService{{Service: "a", Weight: a}, {Service: "b", Weight: b}}
	}
	for name, c := range map[string]struct {
		weights []model.WeightedService
		shares  map[string]float64
	}{
		"one service":       {[]model.WeightedService{{Service: "a", Weight: 1}}, map[string]float64{"a": 1}},
		"sum of 100":        {split(90, 10), map[string]float64{"a": 0.9, "b": 0.1}},
		"tiny weights":      {split(3e-308, 1e-308), map[string]float64{"a": 0.75, "b": 0.25}},
		"huge weights":      {split(1.7e308, 1.7e308), map[string]float64{"a": 0.5, "b": 0.5}},
		"last weight is 0":  {split(1, 0), map[string]float64{"a": 1}},
		"first weight is 0": {split(0, 1), map[string]float64{"b": 1}},
		"service named twice": {
			[]model.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}, {Service: "a", Weight: 1}},
			map[string]float64{"a": 0.5, "b": 0.5},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const n = 1000
			got := map[string]float64{}
			for i := range n + 1 {
				service, ok := gate.ChooseService(model.Route{Services: c.weights}, min(float64(i)/n, math.Nextafter(1, 0)))
				is.True(ok)
				got[service] += 1 / float64(n+1)
			}
			is.Equal(len(got), len(c.shares))
			for service, share := range c.shares {
				is.True(math.Abs(got[service]-share) < 0.005)
			}
		})
	}
	is := is.New(t)
	_, ok := gate.ChooseService(model.Route{Services: split(0, 0)}, 0)
	is.True(!ok)
}
