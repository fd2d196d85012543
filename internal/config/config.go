// Package config reads and checks the INI settings of a daemon. All problems are reported at once.
package config

import (
	"fmt"
	"strings"
	"time"

	"baobabreach/internal/model"
)

// Policy names a way to share the slots of the upstreams between the entry hosts.
type Policy string

// Replica is a control host of the settings.
type Replica struct {
	Host    string
	Address string
}

// Config is the settings of one daemon.
type Config struct {
	// File is the settings file that the rest was read from.
	File       string
	Host       string
	DataCentre string
	// DataDir is empty on a host without a replica.
	DataDir string
	// Caller, Control and Operator are distinct addresses of the form IP:port.
	Caller   string
	Control  string
	Operator string
	// Advertise is the control address that other daemons use; Control unless the settings name another.
	Advertise string
	// Replicas is not empty; hosts and addresses are unique.
	Replicas []Replica
	// LogLevel is debug, info, warn or error. LogFormat is text or json.
	LogLevel  string
	LogFormat string
	// MaxHeaderBytes, MaxBodyBytes and MaxAnswerBytes are positive.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	MaxAnswerBytes int64
	Policy         Policy
	// MaxMoves is the number of ranges that may move at once; at least 1.
	MaxMoves int
	// BalancerDelay is the time between turning readiness off and refusing requests at a stop.
	BalancerDelay time.Duration
	// StopTimeout bounds the wait for requests in flight at a stop.
	StopTimeout       time.Duration
	OperatorTokenFile string
	ControlTokenFile  string
	// Services is the initial set, used only until the replicated state holds services.
	Services []model.Service
	Limits   []model.Limit
	// Gateway is nil unless the daemon runs on a platform, where daemons find each other by seeds.
	Gateway *Gateway
}

// Gateway is the part of the settings of a daemon on a platform. Such a daemon takes callers on an entry host, or keeps
// a replica.
type Gateway struct {
	// Ready is the address of the readiness checks; empty without callers.
	Ready string
	// Registry is the address that upstreams and operators of the platform call; empty on an entry host.
	Registry string
	// Seeds are registry addresses of some replicas; not empty.
	Seeds []string
	// FirstStart is true if the whole fleet starts for the first time, so that the seeds may form the group.
	FirstStart bool
	// Heartbeat is the time between two announcements of an upstream; positive.
	Heartbeat time.Duration
	// GrantTTL is the term of a grant; at least twice Heartbeat.
	GrantTTL time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeated sends of all hosts together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryMB is the memory that the process may use.
	MemoryMB int64
}

// IsReplica tells whether the daemon keeps a replica of the log.
func (c Config) IsReplica() bool { return c.DataDir != "" }

// Problem is one fault of the settings.
type Problem struct {
	File     string
	Section  string
	Key      string
	Value    string
	Expected string
}

// String names the place of the fault and what was expected.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: [%s]: expected %s", p.File, p.Section, p.Expected)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: expected %s", p.File, p.Section, p.Key, p.Value, p.Expected)
}

// Problems is every fault found, in the order of the file.
type Problems []Problem

// Error implements the error interface with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
