// Package config loads and validates the INI settings of a daemon. It reports all invalid settings at once.
package config

import (
	"fmt"
	"strings"
	"time"

	"baobabreach/internal/model"
)

// Policy names an admission policy, which shares the request slots of the upstreams between the entry hosts.
type Policy string

// Replica is a host that stores a copy of the replicated log, with its control address.
type Replica struct {
	Host    string
	Address string
}

// Config holds the settings of one daemon.
type Config struct {
	// File is the path of the settings file.
	File       string
	Host       string
	DataCentre string
	// DataDir is empty on a host without a replica.
	DataDir string
	// Caller, Control and Operator are distinct listen addresses of the form IP:port. Caller is empty on a replica that
	// accepts no requests, which is possible only if Gateway is set.
	Caller   string
	Control  string
	Operator string
	// Advertise is the control address that other daemons connect to. It defaults to Control.
	Advertise string
	// Replicas has an odd number of entries with unique hosts and addresses. Load leaves it empty if Gateway is set.
	Replicas []Replica
	// LogLevel is debug, info, warn or error. LogFormat is text or json.
	LogLevel  string
	LogFormat string
	// The limits on the size of requests and of responses of upstreams are positive.
	MaxHeaderBytes         int64
	MaxBodyBytes           int64
	MaxResponseBytes       int64
	MaxResponseHeaderBytes int64
	// MaxBufferedBytes is the memory for request bodies that are held or being read, and as much again for responses;
	// positive. A single larger one within its own limit is held alone.
	MaxBufferedBytes int64
	// BodyTimeout is the longest time in which a caller, upstream, operator or other daemon may send a body; positive.
	BodyTimeout time.Duration
	Policy      Policy
	// MaxMoves is the maximum number of ranges that move between upstreams at the same time; at least 1.
	MaxMoves int
	// BalancerDelay is the time during a shutdown in which readiness is off but requests are still accepted, so that load
	// balancers can stop sending them.
	BalancerDelay time.Duration
	// StopTimeout bounds the wait for requests in flight during a shutdown.
	StopTimeout       time.Duration
	OperatorTokenFile string
	ControlTokenFile  string
	// Services is the initial set of services. It is ignored once the replicated state contains services.
	Services []model.Service
	Limits   []model.Limit
	// Gateway is nil unless the daemon runs on a hosting platform, where daemons discover each other through seeds.
	Gateway *Gateway
}

// Gateway holds the additional settings of a daemon on a hosting platform. Such a daemon accepts requests on an entry
// host, or it runs a replica.
type Gateway struct {
	// Ready is the address of the readiness checks; empty if Caller is empty.
	Ready string
	// Registry is the address that upstreams and operators of the platform connect to; empty unless IsReplica.
	Registry string
	// Seeds are the registry addresses of some replicas; not empty.
	Seeds []string
	// FirstStart is true if the whole fleet starts for the first time. Only then may the seeds bootstrap the Raft group.
	FirstStart bool
	// Heartbeat is the interval between two announcements of an upstream; positive.
	Heartbeat time.Duration
	// GrantTTL is the validity of a grant: at least 2.5 times Heartbeat, unless the max_grant_ttl setting is shorter.
	GrantTTL time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit the retries of all hosts together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// DrainTime is how long an upstream goes on serving after it said that it leaves; positive.
	DrainTime time.Duration
	// MemoryMB is the memory limit of the process in MiB.
	MemoryMB int64
	// ToleratedLosses is the number of replicas that may be lost together, with their disks.
	ToleratedLosses int
}

// Voters returns the number of voting replicas, of which a majority is left after ToleratedLosses.
func (g *Gateway) Voters() int { return 2*g.ToleratedLosses + 1 }

// IsReplica reports whether the daemon stores a replica of the log.
func (c Config) IsReplica() bool { return c.DataDir != "" }

// Problem describes one invalid setting.
type Problem struct {
	File     string
	Section  string
	Key      string
	Value    string
	Expected string
}

// String returns the location of the invalid setting and what was expected there.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: [%s]: expected %s", p.File, p.Section, p.Expected)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: expected %s", p.File, p.Section, p.Key, p.Value, p.Expected)
}

// Problems lists all invalid settings of a file: unknown sections and keys first, then invalid values.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
