package config

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const gatewaySection = "gateway"

const (
	// defaultGrantTTL is long enough to survive a complete power loss and most network partitions of a data centre,
	// because keys that move to another upstream without a handover are slow for seconds. It also bounds how long the
	// keys of an upstream that has disappeared have no owner.
	defaultGrantTTL = 8 * time.Second
	// minHeartbeatsPerGrant is the minimum validity of a grant in heartbeat intervals, so that a grant survives one lost
	// heartbeat.
	minHeartbeatsPerGrant = 2.5
)

func (r *reader) hasGatewaySection() bool { return r.file.HasSection(gatewaySection) }

// callerAddress returns the listen address for callers. It is optional if the settings have a gateway section, because
// a replica may run without callers there.
func (r *reader) callerAddress() string {
	if r.hasGatewaySection() && r.text("listen", "caller", "") == "" {
		return ""
	}
	return r.address("listen", "caller")
}

func (r *reader) staticReplicas() []Replica {
	if r.hasGatewaySection() {
		return nil
	}
	return r.replicas()
}

func (r *reader) gateway(c Config) *Gateway {
	g := &Gateway{
		FirstStart:      r.boolean(gatewaySection, "first_start"),
		Heartbeat:       r.duration(gatewaySection, "heartbeat", time.Second),
		RetryRatio:      r.nonNegativeFloat("retry_ratio", 0.1),
		RetrySlack:      r.nonNegativeFloat("retry_slack", 16),
		RetryWindow:     r.duration(gatewaySection, "retry_window", 10*time.Second),
		DrainTime:       r.duration(gatewaySection, "drain_time", 2*time.Second),
		MemoryMB:        r.integer(gatewaySection, "memory_mb", 256, 16, 1<<20),
		ToleratedLosses: int(r.integer(gatewaySection, "tolerated_losses", 1, 0, 16)),
	}
	if c.Caller != "" {
		g.Ready = r.address(gatewaySection, "ready")
	}
	if c.IsReplica() {
		g.Registry = r.address(gatewaySection, "registry")
	}
	if c.Caller == "" && !c.IsReplica() {
		r.addProblem("listen", "caller", "", "an address for callers, or a data_dir")
	}
	for _, seed := range strings.Split(r.text(gatewaySection, "seeds", ""), ",") {
		seed = strings.TrimSpace(seed)
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.addProblem(gatewaySection, "seeds", seed, "a list of addresses such as 10.1.0.1:8544, 10.2.0.1:8544")
			continue
		}
		g.Seeds = append(g.Seeds, seed)
	}
	if g.Heartbeat <= 0 {
		r.addProblem(gatewaySection, "heartbeat", "0", "a positive duration")
	}
	if g.DrainTime <= 0 {
		r.addProblem(gatewaySection, "drain_time", "0", "a positive duration")
	}
	maxTTL := r.duration(gatewaySection, "max_grant_ttl", 10*time.Second)
	minTTL := time.Duration(minHeartbeatsPerGrant * float64(g.Heartbeat))
	g.GrantTTL = min(maxTTL, max(minTTL, r.duration(gatewaySection, "grant_ttl", defaultGrantTTL)))
	return g
}

func (r *reader) nonNegativeFloat(key string, fallback float64) float64 {
	v := r.text(gatewaySection, key, "")
	if v == "" {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f < 0 {
		r.addProblem(gatewaySection, key, v, "a number of at least 0")
	}
	return f
}
