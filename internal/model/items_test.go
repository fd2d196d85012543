package model_test

import (
	"encoding/json"
	"testing"

	"baobabreach/internal/model"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func serviceItem(version uint64) model.Item[model.Service] {
	return model.Item[model.Service]{Version: version, Value: model.Service{Name: "styles"}}
}

func routeItem(version uint64, prefix string, timeoutMs int64) model.Item[model.Route] {
	return model.Item[model.Route]{
		Version: version, Source: json.RawMessage(`{"Name":"r"}`),
		Value: model.Route{
			Name: "r", Host: "a.example", Prefix: prefix, TimeoutMs: timeoutMs, Attempts: 2, Version: version,
			Services: []model.WeightedService{{Service: "styles", Weight: 1}},
		},
	}
}

func withRoute(t *testing.T, s *model.State, i model.Item[model.Route]) *model.State {
	t.Helper()
	out, _, err := s.WithChange(model.Change{Routes: map[string]model.Item[model.Route]{"r": i}})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func stateWithRoute(t *testing.T) *model.State {
	t.Helper()
	s, _, err := model.NewState().WithChange(model.Change{
		Services: map[string]model.Item[model.Service]{"styles": serviceItem(1)},
		Routes:   map[string]model.Item[model.Route]{"r": routeItem(3, "/x/", 100)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against an older or equal version that replaces the current one, and against an older version that restores a
// dropped item.
func TestHighestItemVersionWins(t *testing.T) {
	is := is.New(t)
	s := stateWithRoute(t)
	is.Equal(withRoute(t, s, routeItem(2, "/old/", 100)), s)
	is.Equal(withRoute(t, s, routeItem(3, "/other/", 100)), s)
	s = withRoute(t, s, routeItem(5, "/new/", 100))
	is.Equal(s.Routes[0].Prefix, "/new/")
	s = withRoute(t, s, model.Item[model.Route]{Version: 7, Dropped: true})
	is.Equal(len(s.Routes), 0)
	s = withRoute(t, s, routeItem(6, "/new/", 100))
	is.Equal(len(s.Routes), 0)
}

// Guards against an invalid change that is applied in part, and against an outdated change that is refused although it
// has no effect.
func TestInvalidChangesHaveNoEffect(t *testing.T) {
	s := stateWithRoute(t)
	duplicate := routeItem(4, "/x/", 100)
	duplicate.Value.Name = "twin"
	for name, c := range map[string]model.Change{
		"no timeout":      {Routes: map[string]model.Item[model.Route]{"r": routeItem(4, "/x/", 0)}},
		"no slash":        {Routes: map[string]model.Item[model.Route]{"r": routeItem(4, "x/", 100)}},
		"same place":      {Routes: map[string]model.Item[model.Route]{"twin": duplicate}},
		"service dropped": {Services: map[string]model.Item[model.Service]{"styles": {Version: 9, Dropped: true}}},
		"unknown service": {Routes: map[string]model.Item[model.Route]{"r": {Version: 4, Value: model.Route{
			Name: "r", Host: "a", Prefix: "/", TimeoutMs: 1, Services: []model.WeightedService{{Service: "none", Weight: 1}},
		}}}},
		"weight below 0": {Routes: map[string]model.Item[model.Route]{"r": {Version: 4, Value: model.Route{
			Name: "r", Host: "a", Prefix: "/", TimeoutMs: 1, Services: []model.WeightedService{{Service: "styles", Weight: -1}},
		}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.Bounds = &model.Item[model.Bounds]{Version: 9, Value: model.Bounds{BodyBytes: 1}}
			out, changed, err := s.WithChange(c)
			is.True(errors.Is(err, model.ErrInvalid))
			is.True(!changed)
			is.Equal(out, s)
		})
	}
	t.Run("overtaken", func(t *testing.T) {
		is := is.New(t)
		// The outdated version names a service that no longer exists; the current version does not.
		old := routeItem(2, "/x/", 100)
		old.Value.Services = []model.WeightedService{{Service: "gone", Weight: 1}}
		is.Equal(withRoute(t, s, old), s)
	})
}

// Guards against ordered ranges that don't start at a key boundary, and against a route order in which a shorter prefix
// hides a longer one.
func TestOrderedRangesAndRouteOrder(t *testing.T) {
	is := is.New(t)
	s := model.NewState().WithService(model.Service{
		Name: "styles", Keyed: true, Ordered: true, Ranges: model.OrderedRanges,
	})
	is.Equal(len(s.Ranges), model.OrderedRanges)
	for _, a := range s.Ranges {
		is.Equal(a.First%model.OrderedSpan, uint64(0))
	}
	i, ok := s.FindRange("styles", model.OrderedPosition(65535))
	is.True(ok)
	is.Equal(i, model.OrderedRanges-1)
	rs := []model.Route{{Host: "a", Prefix: "/"}, {Host: "a", Prefix: "/x/y/"}, {Host: "a", Prefix: "/x/"}}
	model.SortRoutes(rs)
	is.Equal(rs[0].Prefix, "/x/y/")
	is.Equal(rs[2].Prefix, "/")
}
