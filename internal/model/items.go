package model

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// WeightedService is one of the services that share the requests of a route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route sends the requests of a host and path prefix to services. Names are unique, and so are pairs of Host and Prefix.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Idempotent means that the requests of the route may run more than once.
	Idempotent bool `json:"idempotent"`
	// TimeoutMs limits the time until the final answer. It is positive.
	TimeoutMs int64 `json:"timeout_ms"`
	// ObjectiveMs is the latency objective; 0 means none.
	ObjectiveMs int64 `json:"objective_ms"`
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int `json:"rank"`
	// Attempts is the largest number of upstreams to which one request may be sent, at least 1.
	Attempts int `json:"attempts"`
	// Services is not empty.
	Services []WeightedService `json:"parts"`
	// Version is the version of the item that defines the route.
	Version uint64 `json:"version"`
}

// Bounds limits the size of client requests. A zero value stands for the limit in the daemon's settings.
type Bounds struct {
	HeaderBytes int64 `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
}

// Item is a versioned entry of the configuration. A dropped item is kept as a tombstone, so that an older version that
// arrives late does not restore it.
type Item[T any] struct {
	Version uint64 `json:"version"`
	Dropped bool   `json:"dropped,omitempty"`
	Value   T      `json:"value"`
	// Source is the item as the operator sent it, so that it can be returned unchanged.
	Source json.RawMessage `json:"source,omitempty"`
}

// Items is the configuration: named items, each with its own version.
type Items struct {
	Routes   map[string]Item[Route]   `json:"routes"`
	Services map[string]Item[Service] `json:"services"`
	Bounds   Item[Bounds]             `json:"bounds"`
}

// Change sets and drops items. For each name the highest version wins; a lower or equal version has no effect.
type Change struct {
	Routes   map[string]Item[Route]   `json:"routes,omitempty"`
	Services map[string]Item[Service] `json:"services,omitempty"`
	Bounds   *Item[Bounds]            `json:"bounds,omitempty"`
}

// ErrInvalid is wrapped by errors that give the reason why a change is refused.
var ErrInvalid = errors.New("the change is invalid")

func invalidf(format string, args ...any) error {
	return errors.Wrap(ErrInvalid, fmt.Sprintf(format, args...))
}

// Validate checks each item on its own, without regard to the others.
func (c Change) Validate() error {
	for name, item := range c.Routes {
		if item.Dropped {
			continue
		}
		if err := item.Value.validate(); err != nil {
			return errors.Wrapf(err, "route %s", name)
		}
	}
	for name, item := range c.Services {
		if !item.Dropped && name == "" {
			return invalidf("a service without a name")
		}
	}
	return nil
}

func (r Route) validate() error {
	switch {
	case r.Name == "":
		return invalidf("the name is empty")
	case r.Host == "":
		return invalidf("the host is empty")
	case !strings.HasPrefix(r.Prefix, "/"):
		return invalidf("the path prefix %q does not begin with a slash", r.Prefix)
	case r.TimeoutMs <= 0:
		return invalidf("the timeout is not positive")
	case len(r.Services) == 0:
		return invalidf("there is no service")
	}
	for _, ws := range r.Services {
		if ws.Weight < 0 {
			return invalidf("the weight of service %s is below 0", ws.Service)
		}
	}
	return nil
}

// mergeItems returns old with those items of changed that have a higher version, and reports whether there were any.
func mergeItems[T any](old, changed map[string]Item[T]) (map[string]Item[T], bool) {
	out := maps.Clone(old)
	if out == nil {
		out = map[string]Item[T]{}
	}
	anyNewer := false
	for name, item := range changed {
		if current, ok := old[name]; !ok || item.Version > current.Version {
			out[name], anyNewer = item, true
		}
	}
	if !anyNewer {
		return old, false
	}
	return out, true
}

// With returns the items with the change applied. It returns false if no item of the change has a newer version, and an
// error that wraps ErrInvalid if the result as a whole would be invalid.
func (it Items) With(c Change) (Items, bool, error) {
	if err := c.Validate(); err != nil {
		return it, false, err
	}
	routes, routesChanged := mergeItems(it.Routes, c.Routes)
	services, servicesChanged := mergeItems(it.Services, c.Services)
	out := Items{Routes: routes, Services: services, Bounds: it.Bounds}
	boundsChanged := c.Bounds != nil && c.Bounds.Version > it.Bounds.Version
	if boundsChanged {
		out.Bounds = *c.Bounds
	}
	if !routesChanged && !servicesChanged && !boundsChanged {
		return it, false, nil
	}
	return out, true, out.validate()
}

// validate checks the references and conflicts between items.
func (it Items) validate() error {
	type routeMatch struct{ host, prefix string }
	routeNames := map[routeMatch]string{}
	for name, item := range it.Routes {
		if item.Dropped {
			continue
		}
		match := routeMatch{strings.ToLower(item.Value.Host), item.Value.Prefix}
		if other, ok := routeNames[match]; ok {
			return invalidf("routes %s and %s share host %s and prefix %s", other, name, match.host, match.prefix)
		}
		routeNames[match] = name
		for _, ws := range item.Value.Services {
			if s, ok := it.Services[ws.Service]; !ok || s.Dropped {
				return invalidf("route %s names the unknown service %q", name, ws.Service)
			}
		}
	}
	return nil
}

// routes returns the routes in force, sorted by host, then by descending length of the prefix.
func (it Items) routes() []Route {
	var out []Route
	for _, item := range it.Routes {
		if !item.Dropped {
			out = append(out, item.Value)
		}
	}
	SortRoutes(out)
	return out
}

// SortRoutes sorts routes by host, then by descending length of the prefix, then by prefix.
func SortRoutes(rs []Route) {
	slices.SortFunc(rs, func(a, b Route) int {
		if c := strings.Compare(a.Host, b.Host); c != 0 {
			return c
		}
		if len(a.Prefix) != len(b.Prefix) {
			return len(b.Prefix) - len(a.Prefix)
		}
		return strings.Compare(a.Prefix, b.Prefix)
	})
}

// WithChange returns a copy with the change of items applied. It returns false if nothing changed. The ranges of a
// dropped service are kept, because upstreams may still hold them.
func (s *State) WithChange(c Change) (*State, bool, error) {
	items, changed, err := s.Items.With(c)
	if err != nil || !changed {
		return s, false, err
	}
	out := *s
	out.Items = items
	out.ItemsVersion++
	out.Routes = items.routes()
	out.Bounds = items.Bounds.Value
	out.Services = maps.Clone(s.Services)
	next := &out
	for name, item := range items.Services {
		switch {
		case item.Dropped:
			delete(next.Services, name)
		case next.Services[name] != item.Value:
			next = next.WithService(item.Value)
		}
	}
	return next, true, nil
}
