package load

import (
	"encoding/json"
	"os"
	"time"

	"baobabreach/internal/fleet"

	"github.com/go-faster/errors"
)

// Limits of a plan, so that a mistake in one cannot overload the machine.
const (
	maxRate         = 5000
	maxTotalSeconds = 300
	maxUpstreams    = 50
)

// Service is a service of a plan with its steady load, which RateFactor of a phase multiplies.
type Service struct {
	Name       string `json:"name"`
	Keyed      bool   `json:"keyed"`
	Idempotent bool   `json:"idempotent"`
	Class      string `json:"class"`
	Upstreams  int    `json:"upstreams"`
	Slots      int    `json:"slots"`
	ServiceMs  int64  `json:"service_ms"`
	// LongShare is the share of requests that have class long and run for LongMs.
	LongShare  float64 `json:"long_share"`
	LongMs     int64   `json:"long_ms"`
	DeadlineMs int64   `json:"deadline_ms"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	Keys int     `json:"keys"`
}

// Values of Phase.Event.
const (
	EventFreeze  = "freeze_upstream"
	EventRestart = "restart_daemon"
	EventDrain   = "drain_upstream"
)

// Phase is a part of a plan with its own load.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// RateFactor multiplies the steady rates.
	RateFactor float64 `json:"rate_factor"`
	// HotShare is the share of keyed requests that use the single key HotKey.
	HotShare float64 `json:"hot_share"`
	HotKey   int     `json:"hot_key"`
	// StragglerShare is the share of requests whose service time is multiplied by StragglerFactor.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// Event is triggered at the start of the phase; empty means none.
	Event string `json:"event"`
}

// Plan describes the fleet and the load of one run.
type Plan struct {
	Name           string    `json:"name"`
	HostsPerCentre int       `json:"hosts_per_centre"`
	Tenants        []string  `json:"tenants"`
	Services       []Service `json:"services"`
	Phases         []Phase   `json:"phases"`
}

// ReadPlan returns the built-in plan with the given name, or reads a plan from a JSON file.
func ReadPlan(name string) (Plan, error) {
	if p, ok := builtInPlans()[name]; ok {
		return p, nil
	}
	f, err := os.Open(name)
	if err != nil {
		return Plan{}, errors.Wrap(err, "expected a built-in plan (kovacic, cascade, policies) or a readable file")
	}
	defer func() { _ = f.Close() }()
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	var p Plan
	if err := d.Decode(&p); err != nil {
		return p, errors.Wrap(err, "decode plan")
	}
	return p, p.validate()
}

func (p Plan) validate() error {
	seconds, rate, upstreams := 0.0, 0.0, 0
	for _, s := range p.Services {
		rate += s.Rate
		upstreams += s.Upstreams
		if err := s.validate(); err != nil {
			return err
		}
	}
	for _, x := range p.Phases {
		seconds += x.Seconds
		if err := x.validate(rate); err != nil {
			return err
		}
	}
	if len(p.Services) == 0 || len(p.Phases) == 0 || seconds > maxTotalSeconds || upstreams > maxUpstreams {
		return errors.Errorf("expected services, phases of at most %d s in total and at most %d upstreams",
			maxTotalSeconds, maxUpstreams)
	}
	if p.HostsPerCentre < 1 || p.HostsPerCentre > 4 {
		return errors.Errorf("hosts_per_centre %d: expected 1 to 4", p.HostsPerCentre)
	}
	return nil
}

func (s Service) validate() error {
	if s.Name == "" || s.Rate < 0 || s.Upstreams < 1 || s.Slots < 1 || s.DeadlineMs < 1 {
		return errors.Errorf("service %q: expected a name, a rate, upstreams, slots and deadline_ms", s.Name)
	}
	if s.Keyed && s.Keys < 1 {
		return errors.Errorf("service %q: expected keys", s.Name)
	}
	return nil
}

// validate checks the phase; steadyRate is the total steady rate of all services.
func (x Phase) validate(steadyRate float64) error {
	if x.Seconds <= 0 || x.RateFactor <= 0 || steadyRate*x.RateFactor > maxRate {
		return errors.Errorf("phase %q: expected seconds, a rate_factor, and at most %d requests/s", x.Name, maxRate)
	}
	switch x.Event {
	case "", EventFreeze, EventRestart, EventDrain:
		return nil
	}
	return errors.Errorf("phase %q: unknown event %q", x.Name, x.Event)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (p Plan) fleetConfig(binaries, policy string) fleet.Config {
	direct := policy == PolicyNaive
	if direct {
		policy = ""
	}
	c := fleet.Config{
		Binaries: binaries, DataCentres: []string{"a", "b", "c"}, HostsPerCentre: p.HostsPerCentre, Policy: policy,
		BalancerDelay: time.Second,
	}
	for _, s := range p.Services {
		c.Services = append(c.Services, fleet.Service{
			Name: s.Name, Keyed: s.Keyed && !direct, Idempotent: s.Idempotent, Class: s.Class,
			Ranges:   rangesPerUpstream * s.Upstreams,
			Deadline: millis(s.DeadlineMs), Upstreams: s.Upstreams, Slots: s.Slots, ServiceTime: millis(s.ServiceMs),
		})
	}
	return c
}

const rangesPerUpstream = 5

// deploymentPhases returns the phases of the plans kovacic and cascade. The load peak, phase "crest", has 4 times the
// steady load.
func deploymentPhases() []Phase {
	return []Phase{
		{Name: "steady", Seconds: 4, RateFactor: 1, HotShare: 0.05},
		{Name: "crest", Seconds: 4, RateFactor: 4, HotShare: 0.05},
		{Name: "hot_key_shift", Seconds: 4, RateFactor: 1, HotShare: 0.2, HotKey: 1},
		{Name: "stragglers", Seconds: 4, RateFactor: 1, StragglerShare: 0.02, StragglerFactor: 30},
		{Name: "freeze", Seconds: 4, RateFactor: 1, Event: EventFreeze},
		{Name: "restart", Seconds: 4, RateFactor: 1, Event: EventRestart},
		{Name: "drain", Seconds: 4, RateFactor: 1, Event: EventDrain},
	}
}

// policyComparisonPlan returns the plan that compares the admission policies. The numbers in the phase names are the offered
// load in percent of the slot time, at a mean service time of 15.8 ms including stragglers. There are only two upstreams
// per service because with three, next to 12 hosts, the CPU is the bottleneck on a busy machine with 10 cores.
func policyComparisonPlan() Plan {
	s := Service{
		Idempotent: true, Class: "short", Upstreams: 2, Slots: 3, ServiceMs: 10, DeadlineMs: 1000, Rate: 190,
	}
	keyed := s
	keyed.Name, keyed.Keyed, keyed.Keys = "catalogue", true, 5000
	s.Name = "prices"
	p := Plan{Name: "policies", HostsPerCentre: 4, Services: []Service{keyed, s}, Phases: []Phase{
		{Name: "steady_50", Seconds: 1, RateFactor: 1},
		{Name: "load_90", Seconds: 2, RateFactor: 1.8},
		{Name: "load_110", Seconds: 2, RateFactor: 2.2},
		{Name: "before_50", Seconds: 1, RateFactor: 1},
		{Name: "crest_150", Seconds: 2, RateFactor: 3},
		{Name: "after_50", Seconds: 2, RateFactor: 1},
	}}
	for i := range p.Phases {
		p.Phases[i].StragglerShare, p.Phases[i].StragglerFactor = 0.02, 30
	}
	return p
}

// builtInPlans returns the plan "policies" and the plans "kovacic" and "cascade", which have the current numbers of
// upstreams of the two deployments of these names. The service times and rates of the deployments are assumptions, such
// that the load peak uses most of the slots and still fits on one machine.
func builtInPlans() map[string]Plan {
	keyed := Service{
		Keyed: true, Idempotent: true, Class: "short", Upstreams: 13, Slots: 3, ServiceMs: 20, LongShare: 0.02,
		LongMs: 200, DeadlineMs: 2000, Rate: 250, Keys: 5000,
	}
	nonIdempotent := Service{Class: "short", Upstreams: 10, Slots: 3, ServiceMs: 30, DeadlineMs: 5000, Rate: 40}
	longRunning := Service{
		Idempotent: true, Class: "long", Upstreams: 13, Slots: 3, ServiceMs: 100, DeadlineMs: 20_000, Rate: 40,
	}
	withName := func(s Service, name string, upstreams int) Service {
		s.Name, s.Upstreams = name, upstreams
		return s
	}
	return map[string]Plan{
		"policies": policyComparisonPlan(),
		"kovacic": {
			Name: "kovacic", HostsPerCentre: 4, Tenants: []string{"boutiques", "stylists"}, Phases: deploymentPhases(),
			Services: []Service{
				withName(keyed, "catalogue", 13), withName(nonIdempotent, "orders", 10),
				withName(longRunning, "care_sheets", 13),
			},
		},
		"cascade": {
			Name: "cascade", HostsPerCentre: 4, Tenants: []string{"counters", "night_jobs"}, Phases: deploymentPhases(),
			Services: []Service{
				withName(keyed, "quotes_stock", 13), withName(nonIdempotent, "releases_billing", 7),
				withName(longRunning, "press_history", 13),
			},
		},
	}
}
