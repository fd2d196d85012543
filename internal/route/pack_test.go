package route_test

import (
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
			Name: "r1", Host: "a.example", Prefix: "/x/", TimeoutMs: 100, Parts: []model.Part{{Service: "styles", Weight: 1}},
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
