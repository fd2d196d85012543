package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"baobabreach/internal/model"
	"baobabreach/pkg/proto"

	"gopkg.in/ini.v1"
)

const (
	servicePrefix = "service."
	tenantPrefix  = "tenant."
	maxRanges     = 65536
)

// Policies lists the valid admission policies.
var Policies = []Policy{"local", "shared", "credit", "relay"}

var knownKeys = map[string][]string{
	"daemon":  {"host", "data_centre", "data_dir"},
	"listen":  {"caller", "control", "operator", "advertise"},
	"cluster": {"replicas", "max_moves"},
	"log":     {"level", "format"},
	"requests": {
		"max_header_bytes", "max_body_bytes", "max_answer_bytes", "max_answer_header_bytes", "max_buffered_bytes", "body_timeout",
	},
	"admission": {"policy"},
	"stop":      {"balancer_delay", "timeout", "grace"},
	"access":    {"operator_token_file", "control_token_file"},
	"gateway": {
		"ready", "registry", "seeds", "first_start", "heartbeat", "grant_ttl", "max_grant_ttl", "retry_ratio", "retry_slack",
		"retry_window", "drain_time", "memory_mb", "tolerated_losses",
	},
}

var (
	serviceKeys = []string{"keyed", "idempotent", "class", "on_cut", "ranges", "deadline"}
	tenantKeys  = []string{"short_per_second", "long_per_second"}
)

// reader converts the settings of a file to typed values and collects the problems.
type reader struct {
	path     string
	file     *ini.File
	problems Problems
}

// Load reads and validates a settings file. Every error that it returns is of type Problems.
func Load(path string) (Config, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false, KeyValueDelimiters: "="}, path)
	if err != nil {
		return Config{}, Problems{{File: path, Section: "file", Expected: "a readable INI file: " + err.Error()}}
	}
	r := &reader{path: path, file: f}
	r.checkKnownKeys()
	c := r.read()
	r.checkConsistency(c)
	if len(r.problems) > 0 {
		return Config{}, r.problems
	}
	return c, nil
}

func (r *reader) read() Config {
	c := Config{
		File:                   r.path,
		Host:                   r.identifier("daemon", "host"),
		DataCentre:             r.identifier("daemon", "data_centre"),
		DataDir:                r.text("daemon", "data_dir", ""),
		Caller:                 r.callerAddress(),
		Control:                r.address("listen", "control"),
		Operator:               r.address("listen", "operator"),
		Replicas:               r.staticReplicas(),
		MaxMoves:               int(r.integer("cluster", "max_moves", 8, 1, 1024)),
		LogLevel:               r.oneOf("log", "level", "info", []string{"debug", "info", "warn", "error"}),
		LogFormat:              r.oneOf("log", "format", "text", []string{"text", "json"}),
		MaxHeaderBytes:         r.integer("requests", "max_header_bytes", 16<<10, 1<<10, 1<<20),
		MaxBodyBytes:           r.integer("requests", "max_body_bytes", 1<<20, 1, 64<<20),
		MaxResponseBytes:       r.integer("requests", "max_answer_bytes", 4<<20, 1, 64<<20),
		MaxResponseHeaderBytes: r.integer("requests", "max_answer_header_bytes", 64<<10, 1<<10, 1<<20),
		MaxBufferedBytes:       r.integer("requests", "max_buffered_bytes", 64<<20, 1<<20, 1<<40),
		BodyTimeout:            r.duration("requests", "body_timeout", 30*time.Second),
		Policy:                 Policy(r.oneOf("admission", "policy", "relay", policyNames())),
		BalancerDelay:          r.duration("stop", "balancer_delay", 2*time.Second),
		StopTimeout:            r.duration("stop", "timeout", 30*time.Second),
		OperatorTokenFile:      r.text("access", "operator_token_file", ""),
		ControlTokenFile:       r.text("access", "control_token_file", ""),
		Services:               r.services(),
		Limits:                 r.limits(),
	}
	if grace := r.duration("stop", "grace", 0); grace > 0 {
		c.StopTimeout = r.stopTimeoutWithin(grace, c.BalancerDelay)
	}
	c.Advertise = c.Control
	if r.text("listen", "advertise", "") != "" {
		c.Advertise = r.address("listen", "advertise")
	}
	if r.hasGatewaySection() {
		c.Gateway = r.gateway(c)
	}
	return c
}

func (r *reader) checkKnownKeys() {
	for _, s := range r.file.Sections() {
		keys, ok := sectionKeys(s.Name())
		if !ok {
			if s.Name() != ini.DefaultSection || len(s.Keys()) > 0 {
				r.addProblem(s.Name(), "", "", "a known section")
			}
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(keys, k.Name()) {
				r.addProblem(s.Name(), k.Name(), k.Value(), "one of the keys "+strings.Join(keys, ", "))
			}
		}
	}
}

func sectionKeys(name string) ([]string, bool) {
	switch {
	case strings.HasPrefix(name, servicePrefix):
		return serviceKeys, true
	case strings.HasPrefix(name, tenantPrefix):
		return tenantKeys, true
	}
	keys, ok := knownKeys[name]
	return keys, ok
}

// checkConsistency reports settings that contradict each other.
func (r *reader) checkConsistency(c Config) {
	keyByAddress := map[string]string{}
	for _, keyAddress := range [][2]string{{"caller", c.Caller}, {"control", c.Control}, {"operator", c.Operator}} {
		if keyAddress[1] == "" {
			continue
		}
		if other, ok := keyByAddress[keyAddress[1]]; ok {
			r.addProblem("listen", keyAddress[0], keyAddress[1], "an address other than that of "+other)
		}
		keyByAddress[keyAddress[1]] = keyAddress[0]
	}
	if c.Gateway != nil {
		return
	}
	self := slices.IndexFunc(c.Replicas, func(x Replica) bool { return x.Host == c.Host })
	switch {
	case c.IsReplica() && self < 0:
		r.addProblem("daemon", "data_dir", c.DataDir, "no data_dir on a host that is not in [cluster] replicas")
	case !c.IsReplica() && self >= 0:
		r.addProblem("daemon", "data_dir", "", "a data_dir on a host that is in [cluster] replicas")
	case self >= 0 && c.Replicas[self].Address != c.Control:
		r.addProblem("listen", "control", c.Control, "the address "+c.Replicas[self].Address+" of [cluster] replicas")
	}
}

func (r *reader) addProblem(section, key, value, expected string) {
	r.problems = append(r.problems, Problem{File: r.path, Section: section, Key: key, Value: value, Expected: expected})
}

func (r *reader) text(section, key, fallback string) string {
	s := r.file.Section(section)
	if !s.HasKey(key) {
		return fallback
	}
	return s.Key(key).String()
}

func (r *reader) identifier(section, key string) string {
	v := r.text(section, key, "")
	if !proto.IsName(v) {
		r.addProblem(section, key, v, "a name of letters, digits, '-' and '_'")
	}
	return v
}

func (r *reader) address(section, key string) string {
	v := r.text(section, key, "")
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addProblem(section, key, v, "an IP address and port such as 127.0.0.1:7100")
	}
	return v
}

func (r *reader) oneOf(section, key, fallback string, allowed []string) string {
	v := r.text(section, key, fallback)
	if !slices.Contains(allowed, v) {
		r.addProblem(section, key, v, "one of "+strings.Join(allowed, ", "))
	}
	return v
}

func (r *reader) integer(section, key string, fallback, low, high int64) int64 {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		r.addProblem(section, key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
	return n
}

func (r *reader) duration(section, key string, fallback time.Duration) time.Duration {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		r.addProblem(section, key, v, "a duration with a unit such as 500ms or 2s")
	}
	return d
}

func (r *reader) boolean(section, key string) bool {
	v := r.text(section, key, "false")
	if v != "true" && v != "false" {
		r.addProblem(section, key, v, "true or false")
	}
	return v == "true"
}

func (r *reader) replicas() []Replica {
	v := r.text("cluster", "replicas", "")
	var out []Replica
	for _, part := range strings.Split(v, ",") {
		host, address, ok := strings.Cut(strings.TrimSpace(part), "@")
		_, err := netip.ParseAddrPort(address)
		if !ok || err != nil || !proto.IsName(host) {
			r.addProblem("cluster", "replicas", v, "a list such as a1@127.0.0.1:7101, b1@127.0.0.1:7201, c1@127.0.0.1:7301")
			return nil
		}
		if slices.ContainsFunc(out, func(p Replica) bool { return p.Host == host || p.Address == address }) {
			r.addProblem("cluster", "replicas", v, "hosts and addresses that occur once")
			return nil
		}
		out = append(out, Replica{Host: host, Address: address})
	}
	if len(out)%2 == 0 {
		r.addProblem("cluster", "replicas", v, "an odd number of replicas")
	}
	return out
}

func (r *reader) services() []model.Service {
	var out []model.Service
	for _, s := range r.file.Sections() {
		name, ok := strings.CutPrefix(s.Name(), servicePrefix)
		if !ok {
			continue
		}
		if !proto.IsName(name) {
			r.addProblem(s.Name(), "", "", "a service name of letters, digits, '-' and '_'")
		}
		service := model.Service{
			Name: name, Keyed: r.boolean(s.Name(), "keyed"), Idempotent: r.boolean(s.Name(), "idempotent"),
			Class:           model.Class(r.oneOf(s.Name(), "class", "short", []string{"short", "long"})),
			PartitionPolicy: model.PartitionPolicy(r.oneOf(s.Name(), "on_cut", "majority", []string{"majority", "home"})),
			Ranges:          int(r.integer(s.Name(), "ranges", model.DefaultRanges, 1, maxRanges)),
			DeadlineMs:      r.duration(s.Name(), "deadline", 2*time.Second).Milliseconds(),
		}
		if !service.Keyed && s.HasKey("ranges") {
			r.addProblem(s.Name(), "ranges", s.Key("ranges").Value(), "no ranges for a service that is not keyed")
		}
		if service.DeadlineMs == 0 {
			r.addProblem(s.Name(), "deadline", s.Key("deadline").Value(), "a deadline of at least 1ms")
		}
		out = append(out, service)
	}
	return out
}

func (r *reader) limits() []model.Limit {
	var out []model.Limit
	for _, s := range r.file.Sections() {
		tenant, ok := strings.CutPrefix(s.Name(), tenantPrefix)
		if !ok {
			continue
		}
		for _, class := range []model.Class{model.ClassShort, model.ClassLong} {
			key := string(class) + "_per_second"
			if n := r.integer(s.Name(), key, 0, 1, 1<<30); n > 0 {
				out = append(out, model.Limit{Tenant: tenant, Class: class, PerSecond: float64(n)})
			}
		}
	}
	return out
}

func policyNames() []string {
	out := make([]string, len(Policies))
	for i, p := range Policies {
		out[i] = string(p)
	}
	return out
}

// exitMargin is the part of the grace period that is left for closing listeners and files after the last request.
const exitMargin = 600 * time.Millisecond

// stopTimeoutWithin returns the time for requests in flight during a shutdown that must end within the grace period.
func (r *reader) stopTimeoutWithin(grace, balancerDelay time.Duration) time.Duration {
	if grace <= balancerDelay+exitMargin {
		r.addProblem("stop", "grace", grace.String(), "more than balancer_delay and "+exitMargin.String())
	}
	return grace - balancerDelay - exitMargin
}
