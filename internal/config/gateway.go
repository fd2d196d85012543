package config

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const gatewaySection = "gateway"

const (
	// defaultGrantTTL outlives a loss of all power and most cuts of a data centre: keys that move without a handover are
	// slow for seconds. It bounds how long the keys of an upstream that vanished have no owner.
	defaultGrantTTL = 8 * time.Second
	// minGrantBeats is the number of heartbeats that a grant covers at least, so that one may be lost.
	minGrantBeats = 2.5
)

func (r *reader) onPlatform() bool { return r.file.HasSection(gatewaySection) }

// callerAddress is required of every daemon but replicas on a platform.
func (r *reader) callerAddress() string {
	if r.onPlatform() && r.text("listen", "caller", "") == "" {
		return ""
	}
	return r.address("listen", "caller")
}

func (r *reader) fixedReplicas() []Replica {
	if r.onPlatform() {
		return nil
	}
	return r.replicas()
}

func (r *reader) gateway(c Config) *Gateway {
	g := &Gateway{
		FirstStart:  r.boolean(gatewaySection, "first_start"),
		Heartbeat:   r.duration(gatewaySection, "heartbeat", time.Second),
		RetryRatio:  r.fraction("retry_ratio", 0.1),
		RetrySlack:  r.fraction("retry_slack", 16),
		RetryWindow: r.duration(gatewaySection, "retry_window", 10*time.Second),
		MemoryMB:    r.number(gatewaySection, "memory_mb", 256, 16, 1<<20),
	}
	if c.Caller != "" {
		g.Ready = r.address(gatewaySection, "ready")
	}
	if c.IsReplica() {
		g.Registry = r.address(gatewaySection, "registry")
	}
	if c.Caller == "" && !c.IsReplica() {
		r.add("listen", "caller", "", "an address for callers, or a data_dir")
	}
	for _, s := range strings.Split(r.text(gatewaySection, "seeds", ""), ",") {
		s = strings.TrimSpace(s)
		if _, err := netip.ParseAddrPort(s); err != nil {
			r.add(gatewaySection, "seeds", s, "a list of addresses such as 10.1.0.1:8544, 10.2.0.1:8544")
			continue
		}
		g.Seeds = append(g.Seeds, s)
	}
	if g.Heartbeat <= 0 {
		r.add(gatewaySection, "heartbeat", "0", "a positive duration")
	}
	longest := r.duration(gatewaySection, "max_grant_ttl", 10*time.Second)
	least := time.Duration(minGrantBeats * float64(g.Heartbeat))
	g.GrantTTL = min(longest, max(least, r.duration(gatewaySection, "grant_ttl", defaultGrantTTL)))
	return g
}

func (r *reader) fraction(key string, fallback float64) float64 {
	v := r.text(gatewaySection, key, "")
	if v == "" {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f < 0 {
		r.add(gatewaySection, key, v, "a number of at least 0")
	}
	return f
}
