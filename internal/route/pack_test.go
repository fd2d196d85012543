package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"baobabreach/internal/model"
	"baobabreach/internal/route"

	"github.com/matryer/is"
)

// Guards against an update that is cut off on its way through the compressor: no host ever got a table.
func TestPackedUpdatesComeBackWhole(t *testing.T) {
	is := is.New(t)
	s, changed, err := model.NewState().WithChange(model.Change{
		Services: map[string]model.Item[model.Service]{"styles": {Version: 1, Value: model.Service{Name: "styles"}}},
		Routes: map[string]model.Item[model.Route]{"r1": {Version: 1, Value: model.Route{
			Name: "r1", Host: "a.example", Prefix: "/x/", TimeoutMs: 100, Services: []model.WeightedService{{Service: "styles", Weight: 1}},
		}}},
	})
	is.NoErr(err)
	is.True(changed)
	b, err := route.Pack(route.NewTable(s), nil)
	is.NoErr(err)
	table, delta, err := route.Unpack(b)
	is.NoErr(err)
	is.True(delta == nil)
	is.Equal(table.Routes, s.Routes)
}

// Guards against ranges that are lost or changed on their way: hosts would send requests to the wrong owners.
func TestPackedRangesComeBackWhole(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 5))
	table := &route.Table{
		Version: 50, Services: map[string]model.Service{
			"a": {Name: "a", Keyed: true, Ordered: true}, "b": {Name: "b", Keyed: true}, "c": {Name: "c", Keyed: true, Ordered: true},
		},
		Upstreams: map[string]model.Upstream{},
	}
	for i := range 20 {
		name := fmt.Sprintf("u%d", i)
		table.Upstreams[name] = model.Upstream{Name: name, Incarnation: uint64(i + 7)}
	}
	for _, service := range []string{"a", "b", "c"} {
		for i := range uint64(256) {
			a := model.Assignment{
				ID: r.Uint64N(100000), Service: service, First: i << 56, Last: (i+1)<<56 - 1, Phase: model.PhaseFree,
				Changed: r.Uint64N(51),
			}
			if o := r.IntN(22); o < 20 {
				a.Owner, a.Epoch, a.Phase = fmt.Sprintf("u%d", o), r.Uint64N(999), model.PhaseHeld
				a.Incarnation = uint64(o + 7)
			}
			switch r.IntN(12) {
			case 0:
				a.Home = true
			case 1:
				a.TakenAt, a.TakenUnchecked = 3, true
			case 2:
				a.Incarnation++
			case 3:
				a.Phase = model.PhaseReleasing
			case 4:
				a.First++
			}
			table.Ranges = append(table.Ranges, a)
		}
	}
	b, err := route.Pack(table, nil)
	is.NoErr(err)
	got, _, err := route.Unpack(b)
	is.NoErr(err)
	is.Equal(got.Ranges, table.Ranges)
}

// Guards against a table that keeps hosts with links of 2 Mbit/s waiting when they start.
func TestAPackedTableIsSmall(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(6, 6))
	table := &route.Table{
		Version: 900, Services: map[string]model.Service{"a": {Name: "a", Keyed: true, Ordered: true}},
		Upstreams: map[string]model.Upstream{},
	}
	var names []string
	for range 150 {
		u := model.Upstream{Name: fmt.Sprintf("i-%010x", r.Uint64()>>24), Incarnation: r.Uint64N(60000), Service: "a"}
		table.Upstreams[u.Name], names = u, append(names, u.Name)
	}
	for i := range uint64(1024) {
		o := names[r.IntN(len(names))]
		table.Ranges = append(table.Ranges, model.Assignment{
			ID: r.Uint64N(2000), Service: "a", First: i << 54, Last: (i+1)<<54 - 1, Epoch: r.Uint64N(3000), Owner: o,
			Incarnation: table.Upstreams[o].Incarnation, Phase: model.PhaseHeld, Changed: r.Uint64N(900),
		})
	}
	whole, err := route.Pack(table, nil)
	is.NoErr(err)
	table.Ranges = nil
	rest, err := route.Pack(table, nil)
	is.NoErr(err)
	is.True(len(whole)-len(rest) < 1024*15) // 30 KB of a table of 60 KB before
}
