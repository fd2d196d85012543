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
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// TimeoutMs bounds the time until the final answer; positive.
	TimeoutMs int64 `json:"timeout_ms"`
	// ObjectiveMs is the latency objective, 0 if there is none.
	ObjectiveMs int64 `json:"objective_ms"`
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int `json:"rank"`
	// Attempts is the largest number of upstreams that one request may be sent to; at least 1.
	Attempts int `json:"attempts"`
	// Services is not empty.
	Services []WeightedService `json:"parts"`
	// Version is that of the item that defines the route.
	Version uint64 `json:"version"`
}

// Bounds limit what a client may send. Zero values stand for the limits of the daemon's settings.
type Bounds struct {
	HeaderBytes int64 `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
}

// Item is a versioned entry of the configuration. A dropped item stays as a tombstone, so that an older version of it
// that arrives late does not bring it back.
type Item[T any] struct {
	Version uint64 `json:"version"`
	Dropped bool   `json:"dropped,omitempty"`
	Value   T      `json:"value"`
	// Source is the item as the operator sent it, for reading it back unchanged.
	Source json.RawMessage `json:"source,omitempty"`
}

// Items is the configuration: named items, each with its own version.
type Items struct {
	Routes   map[string]Item[Route]   `json:"routes"`
	Services map[string]Item[Service] `json:"services"`
	Bounds   Item[Bounds]             `json:"bounds"`
}

// Change sets and drops items. For each name the highest version wins; a lower or equal one changes nothing.
type Change struct {
	Routes   map[string]Item[Route]   `json:"routes,omitempty"`
	Services map[string]Item[Service] `json:"services,omitempty"`
	Bounds   *Item[Bounds]            `json:"bounds,omitempty"`
}

// ErrInvalid is wrapped by the reason why a change is refused.
var ErrInvalid = errors.New("the change is invalid")

func invalid(format string, args ...any) error {
	return errors.Wrap(ErrInvalid, fmt.Sprintf(format, args...))
}

// Validate checks each item by itself.
func (c Change) Validate() error {
	for name, i := range c.Routes {
		if i.Dropped {
			continue
		}
		if err := i.Value.validate(); err != nil {
			return errors.Wrapf(err, "route %s", name)
		}
	}
	for name, i := range c.Services {
		if !i.Dropped && name == "" {
			return invalid("a service without a name")
		}
	}
	return nil
}

func (r Route) validate() error {
	switch {
	case r.Name == "":
		return invalid("the name is empty")
	case r.Host == "":
		return invalid("the host is empty")
	case !strings.HasPrefix(r.Prefix, "/"):
		return invalid("the path prefix %q does not begin with a slash", r.Prefix)
	case r.TimeoutMs <= 0:
		return invalid("the timeout is not positive")
	case len(r.Services) == 0:
		return invalid("there is no service")
	}
	for _, p := range r.Services {
		if p.Weight < 0 {
			return invalid("the weight of service %s is below 0", p.Service)
		}
	}
	return nil
}

// merge returns old with the items of changed that have a higher version, and whether there were any.
func merge[T any](old, changed map[string]Item[T]) (map[string]Item[T], bool) {
	out := maps.Clone(old)
	if out == nil {
		out = map[string]Item[T]{}
	}
	newer := false
	for name, i := range changed {
		if was, ok := old[name]; !ok || i.Version > was.Version {
			out[name], newer = i, true
		}
	}
	if !newer {
		return old, false
	}
	return out, true
}

// With returns the items with the change applied. It returns false if the change has been overtaken in full, and an
// error that wraps ErrInvalid if the result would not be valid as a whole.
func (i Items) With(c Change) (Items, bool, error) {
	if err := c.Validate(); err != nil {
		return i, false, err
	}
	routes, routesChanged := merge(i.Routes, c.Routes)
	services, servicesChanged := merge(i.Services, c.Services)
	out := Items{Routes: routes, Services: services, Bounds: i.Bounds}
	boundsChanged := c.Bounds != nil && c.Bounds.Version > i.Bounds.Version
	if boundsChanged {
		out.Bounds = *c.Bounds
	}
	if !routesChanged && !servicesChanged && !boundsChanged {
		return i, false, nil
	}
	return out, true, out.validate()
}

// validate checks what the items mean for each other.
func (i Items) validate() error {
	type place struct{ host, prefix string }
	taken := map[place]string{}
	for name, r := range i.Routes {
		if r.Dropped {
			continue
		}
		at := place{strings.ToLower(r.Value.Host), r.Value.Prefix}
		if other, ok := taken[at]; ok {
			return invalid("routes %s and %s share host %s and prefix %s", other, name, at.host, at.prefix)
		}
		taken[at] = name
		for _, p := range r.Value.Services {
			if s, ok := i.Services[p.Service]; !ok || s.Dropped {
				return invalid("route %s names the unknown service %q", name, p.Service)
			}
		}
	}
	return nil
}

// routes returns the routes in force, sorted by host, then by descending length of the prefix.
func (i Items) routes() []Route {
	var out []Route
	for _, r := range i.Routes {
		if !r.Dropped {
			out = append(out, r.Value)
		}
	}
	SortRoutes(out)
	return out
}

// SortRoutes sorts by host, then by descending length of the prefix, then by prefix.
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
// dropped service stay: upstreams may still hold them.
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
	for name, i := range items.Services {
		switch {
		case i.Dropped:
			delete(next.Services, name)
		case next.Services[name] != i.Value:
			next = next.WithService(i.Value)
		}
	}
	return next, true, nil
}
