package gate

import (
	"context"
	"strconv"
	"time"

	"baobabreach/internal/poison"
)

const (
	// permitWait is the longest time for which a request waits for the permit to run isolated content, and permitPause the
	// time between two attempts to get it.
	permitWait  = 300 * time.Millisecond
	permitPause = 50 * time.Millisecond
	// maxPermitWaits limits the requests that wait for a permit.
	maxPermitWaits = 64
	// maxSurvivorBytes is the size of the longest body whose content is remembered as harmless while no content is
	// suspected.
	maxSurvivorBytes = 64 << 10
)

// reasonIsolated is the reason for not running isolated content.
const reasonIsolated = "upstreams crashed with the content of the request, which runs on one of them at a time"

// permit is the right to run isolated content. The zero value is no permit.
type permit struct {
	holder string
	// fromLeader is false if the leader could not be asked, so that other hosts may run the content too.
	fromLeader bool
}

// permits holds the permits of this host's runs.
type permits struct {
	// holders maps isolated content to the holder of its permit.
	holders map[string]string
	// count is the number of permits given out since the start, waiting the number of requests that wait for one.
	count   int
	waiting int
	// ended holds the permits whose end the leader does not know yet.
	ended []string
}

// permitRun returns the permit to run the isolated ones of the contents, for at most ttl. It returns false if another
// run of one of them is in progress, here or at another host.
func (g *CrashGuard) permitRun(ctx context.Context, contents []string, ttl time.Duration) (permit, bool) {
	g.mu.Lock()
	isolated := g.monitor.Isolated(g.cfg.Clock(), contents)
	if len(isolated) == 0 {
		g.mu.Unlock()
		return permit{}, true
	}
	for _, f := range isolated {
		if g.permits.holders[f] != "" {
			g.mu.Unlock()
			return permit{}, false
		}
	}
	g.permits.count++
	p := permit{holder: g.cfg.Host + "-" + strconv.FormatInt(int64(g.cfg.Clock()), 36) + "-" + strconv.Itoa(g.permits.count)}
	for _, f := range isolated {
		g.permits.holders[f] = p.holder
	}
	q := poison.RunPermitRequest{
		Contents: isolated, Holder: p.holder, TTLMs: ttl.Milliseconds(), Version: g.monitor.Version(),
	}
	g.mu.Unlock()

	granted, err := g.cfg.Permit(ctx, q)
	if err != nil {
		// A host that is cut off from the leader goes on with the runs of its own one by one. The leader may have granted the
		// permit all the same.
		g.cfg.Log.Warn("no permit of the leader for isolated content", "content", isolated, "error", err)
		return p, true
	}
	if !granted {
		g.endPermit(permit{holder: p.holder})
		return permit{}, false
	}
	p.fromLeader = true
	return p, true
}

// endPermit returns a permit, once a crash of the run has been recorded.
func (g *CrashGuard) endPermit(p permit) {
	if p.holder == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endPermitLocked(p)
}

func (g *CrashGuard) endPermitLocked(p permit) {
	if p.holder == "" {
		return
	}
	for f, h := range g.permits.holders {
		if h == p.holder {
			delete(g.permits.holders, f)
		}
	}
	g.permits.ended = limitLength(append(g.permits.ended, p.holder))
	g.requestReport()
}

// addWaiting counts one more request that waits for a permit, and returns false if there are enough.
func (g *CrashGuard) addWaiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.permits.waiting >= maxPermitWaits {
		return false
	}
	g.permits.waiting++
	return true
}

func (g *CrashGuard) removeWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.permits.waiting--
}

// takePermit takes the permit to run the content of the request, if that needs one.
func (c *call) takePermit(ctx context.Context) bool {
	guard := c.gate.cfg.Crashes
	if c.permit.holder != "" || guard.idle() {
		return true
	}
	var ok bool
	c.permit, ok = guard.permitRun(ctx, c.fingerprints(), c.deadline-c.now())
	return ok
}

// awaitPermit waits before the next attempt to take the permit. It returns false if the request has waited long enough.
func (c *call) awaitPermit(ctx context.Context) bool {
	guard := c.gate.cfg.Crashes
	if c.permitWaits >= int(permitWait/permitPause) || !guard.addWaiting() {
		return false
	}
	defer guard.removeWaiting()
	c.permitWaits++
	select {
	case <-ctx.Done():
		return false
	case <-time.After(permitPause):
		return true
	}
}
