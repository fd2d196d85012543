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
	"daemon":    {"host", "data_centre", "data_dir"},
	"listen":    {"caller", "control", "operator", "advertise"},
	"cluster":   {"replicas", "max_moves"},
	"log":       {"level", "format"},
	"requests":  {"max_header_bytes", "max_body_bytes", "max_answer_bytes"},
	"admission": {"policy"},
	"stop":      {"balancer_delay", "timeout"},
	"access":    {"operator_token_file", "control_token_file"},
	"gateway": {
		"ready", "registry", "seeds", "first_start", "heartbeat", "grant_ttl", "max_grant_ttl", "retry_ratio", "retry_slack",
		"retry_window", "memory_mb",
	},
}

var (
	serviceKeys = []string{"keyed", "idempotent", "class", "on_cut", "ranges", "deadline"}
	tenantKeys  = []string{"short_per_second", "long_per_second"}
)

type reader struct {
	name     string
	file     *ini.File
	problems Problems
}

// Load reads and checks a settings file. The error is of type Problems unless the file can't be read.
func Load(name string) (Config, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false, KeyValueDelimiters: "="}, name)
	if err != nil {
		return Config{}, Problems{{File: name, Section: "file", Expected: "a readable INI file: " + err.Error()}}
	}
	r := &reader{name: name, file: f}
	r.checkNames()
	c := r.read()
	r.checkTogether(c)
	if len(r.problems) > 0 {
		return Config{}, r.problems
	}
	return c, nil
}

func (r *reader) read() Config {
	c := Config{
		File:              r.name,
		Host:              r.word("daemon", "host"),
		DataCentre:        r.word("daemon", "data_centre"),
		DataDir:           r.text("daemon", "data_dir", ""),
		Caller:            r.callerAddress(),
		Control:           r.address("listen", "control"),
		Operator:          r.address("listen", "operator"),
		Replicas:          r.fixedReplicas(),
		MaxMoves:          int(r.number("cluster", "max_moves", 8, 1, 1024)),
		LogLevel:          r.oneOf("log", "level", "info", []string{"debug", "info", "warn", "error"}),
		LogFormat:         r.oneOf("log", "format", "text", []string{"text", "json"}),
		MaxHeaderBytes:    r.number("requests", "max_header_bytes", 16<<10, 1<<10, 1<<20),
		MaxBodyBytes:      r.number("requests", "max_body_bytes", 1<<20, 1, 64<<20),
		MaxAnswerBytes:    r.number("requests", "max_answer_bytes", 4<<20, 1, 64<<20),
		Policy:            Policy(r.oneOf("admission", "policy", "relay", policyNames())),
		BalancerDelay:     r.duration("stop", "balancer_delay", 2*time.Second),
		StopTimeout:       r.duration("stop", "timeout", 30*time.Second),
		OperatorTokenFile: r.text("access", "operator_token_file", ""),
		ControlTokenFile:  r.text("access", "control_token_file", ""),
		Services:          r.services(),
		Limits:            r.limits(),
	}
	c.Advertise = c.Control
	if r.text("listen", "advertise", "") != "" {
		c.Advertise = r.address("listen", "advertise")
	}
	if r.onPlatform() {
		c.Gateway = r.gateway(c)
	}
	return c
}

func (r *reader) checkNames() {
	for _, s := range r.file.Sections() {
		keys, ok := sectionKeys(s.Name())
		if !ok {
			if s.Name() != ini.DefaultSection || len(s.Keys()) > 0 {
				r.add(s.Name(), "", "", "a known section")
			}
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(keys, k.Name()) {
				r.add(s.Name(), k.Name(), k.Value(), "one of the keys "+strings.Join(keys, ", "))
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

func (r *reader) checkTogether(c Config) {
	seen := map[string]string{}
	for _, p := range [][2]string{{"caller", c.Caller}, {"control", c.Control}, {"operator", c.Operator}} {
		if p[1] == "" {
			continue
		}
		if other, ok := seen[p[1]]; ok {
			r.add("listen", p[0], p[1], "an address other than that of "+other)
		}
		seen[p[1]] = p[0]
	}
	if c.Gateway != nil {
		return
	}
	i := slices.IndexFunc(c.Replicas, func(p Replica) bool { return p.Host == c.Host })
	switch {
	case c.IsReplica() && i < 0:
		r.add("daemon", "data_dir", c.DataDir, "no data_dir on a host that is not in [cluster] replicas")
	case !c.IsReplica() && i >= 0:
		r.add("daemon", "data_dir", "", "a data_dir on a host that is in [cluster] replicas")
	case i >= 0 && c.Replicas[i].Address != c.Control:
		r.add("listen", "control", c.Control, "the address "+c.Replicas[i].Address+" of [cluster] replicas")
	}
}

func (r *reader) add(section, key, value, expected string) {
	r.problems = append(r.problems, Problem{File: r.name, Section: section, Key: key, Value: value, Expected: expected})
}

func (r *reader) text(section, key, fallback string) string {
	s := r.file.Section(section)
	if !s.HasKey(key) {
		return fallback
	}
	return s.Key(key).String()
}

func (r *reader) word(section, key string) string {
	v := r.text(section, key, "")
	if !proto.IsName(v) {
		r.add(section, key, v, "a name of letters, digits, '-' and '_'")
	}
	return v
}

func (r *reader) address(section, key string) string {
	v := r.text(section, key, "")
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.add(section, key, v, "an IP address and port such as 127.0.0.1:7100")
	}
	return v
}

func (r *reader) oneOf(section, key, fallback string, allowed []string) string {
	v := r.text(section, key, fallback)
	if !slices.Contains(allowed, v) {
		r.add(section, key, v, "one of "+strings.Join(allowed, ", "))
	}
	return v
}

func (r *reader) number(section, key string, fallback, low, high int64) int64 {
	v := r.text(section, key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		r.add(section, key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
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
		r.add(section, key, v, "a duration with a unit such as 500ms or 2s")
	}
	return d
}

func (r *reader) boolean(section, key string) bool {
	v := r.text(section, key, "false")
	if v != "true" && v != "false" {
		r.add(section, key, v, "true or false")
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
			r.add("cluster", "replicas", v, "a list such as a1@127.0.0.1:7101, b1@127.0.0.1:7201, c1@127.0.0.1:7301")
			return nil
		}
		if slices.ContainsFunc(out, func(p Replica) bool { return p.Host == host || p.Address == address }) {
			r.add("cluster", "replicas", v, "hosts and addresses that occur once")
			return nil
		}
		out = append(out, Replica{Host: host, Address: address})
	}
	if len(out)%2 == 0 {
		r.add("cluster", "replicas", v, "an odd number of replicas")
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
			r.add(s.Name(), "", "", "a service name of letters, digits, '-' and '_'")
		}
		v := model.Service{
			Name: name, Keyed: r.boolean(s.Name(), "keyed"), Idempotent: r.boolean(s.Name(), "idempotent"),
			Class:      model.Class(r.oneOf(s.Name(), "class", "short", []string{"short", "long"})),
			OnCut:      model.OnCut(r.oneOf(s.Name(), "on_cut", "majority", []string{"majority", "home"})),
			Ranges:     int(r.number(s.Name(), "ranges", model.DefaultRanges, 1, maxRanges)),
			DeadlineMs: r.duration(s.Name(), "deadline", 2*time.Second).Milliseconds(),
		}
		if !v.Keyed && s.HasKey("ranges") {
			r.add(s.Name(), "ranges", s.Key("ranges").Value(), "no ranges for a service that is not keyed")
		}
		if v.DeadlineMs == 0 {
			r.add(s.Name(), "deadline", s.Key("deadline").Value(), "a deadline of at least 1ms")
		}
		out = append(out, v)
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
			if n := r.number(s.Name(), key, 0, 1, 1<<30); n > 0 {
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
