package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// suspectCrashes is the number of consecutive crashes from which a request is not sent to another upstream after a
	// broken connection, and quarantineCrashes the number from which its content is refused.
	suspectCrashes    = 2
	quarantineCrashes = 3
	// unsteadyCrashes replaces quarantineCrashes while upstreams crash without the content at least as often.
	unsteadyCrashes = 5
	// suspicionTime is how long content must have been suspected before it is quarantined, so that hosts can report that
	// upstreams have survived it.
	suspicionTime = 500 * time.Millisecond
	// sameEventTime is the time within which crashes of several upstreams count as one event, like the loss of a rack.
	sameEventTime = 250 * time.Millisecond
	// maxReportDelay is the longest time that a report takes to the leader. Times of two hosts can only be compared up to it,
	// and hostTolerance allows for the resolution of the times of one host.
	maxReportDelay = 250 * time.Millisecond
	hostTolerance  = 2 * time.Millisecond
	// lateReportTime is how long after its end a report of a process may still be on its way. A later one proves that the
	// process has not ended.
	lateReportTime = time.Second
	// maxChainRuns limits the runs that are kept for one content.
	maxChainRuns = 16
)

// Crash is a run of content during which the upstream process ended.
type Crash struct {
	// Host is the entry host that sent the request.
	Host         string
	Process      Process
	Fingerprints []string
	// SentAt is when the request was sent and EndedAt when its connection broke.
	SentAt, EndedAt time.Duration
}

// Conviction is the decision to quarantine content.
type Conviction struct {
	Fingerprint string
	// Crashes counts the consecutive crashes with the content, OtherEvents the crashes without it meanwhile.
	Crashes, OtherEvents int
}

// chain holds the crashes of one content since it last survived a run.
type chain struct {
	// runs is sorted by EndedAt and has each process once.
	runs []Crash
	// suspectedAt is when the content was first suspected.
	suspectedAt time.Duration
	// quarantinedUntil is 0 if the content may run.
	quarantinedUntil time.Duration
	expiresAt        time.Duration
}

// crashes counts the runs that crashed one after the other. Runs that were in flight together count once: whatever ended
// their upstreams may have ended all of them.
func (c *chain) crashes() int {
	n, last := 0, Crash{}
	for _, r := range c.runs {
		if n == 0 || r.beganAfter(last) {
			n, last = n+1, r
		}
	}
	return n
}

// beganAfter reports whether the run was certainly sent after the upstream of another one had ended.
func (c Crash) beganAfter(other Crash) bool {
	if c.Host == other.Host {
		return c.SentAt >= other.EndedAt-hostTolerance
	}
	return c.SentAt >= other.EndedAt+maxReportDelay
}

// Chains finds content that crashes each upstream that runs it. Unlike a Tracker it does not isolate requests: content is
// quarantined after consecutive crashes of different processes, of which each run began after the crash before, without
// a run in between that the upstream survived. It is not safe for concurrent use.
type Chains struct {
	contents map[string]*chain
	// listed holds at least the suspected and quarantined content.
	listed map[string]bool
	// crashed holds the recent crashes of all contents by process.
	crashed map[Process]Crash
	// version changes with every change of the suspected or quarantined content.
	version uint64
	// nextExpiry is a time before which nothing expires.
	nextExpiry time.Duration
}

// NewChains returns an instance without crashes.
func NewChains() *Chains {
	return &Chains{contents: map[string]*chain{}, listed: map[string]bool{}, crashed: map[Process]Crash{}}
}

// Record adds a crash and returns the content that is quarantined because of it.
func (c *Chains) Record(now time.Duration, crash Crash) []Conviction {
	c.expire(now)
	c.remember(crash)
	var out []Conviction
	for _, f := range crash.Fingerprints {
		s := c.contents[f]
		if s == nil {
			c.evictEarliestExpiring()
			s = &chain{}
			c.contents[f] = s
		}
		before, _ := c.Check(now, f)
		s.add(crash)
		s.expiresAt = max(s.expiresAt, now+WatchTTL)
		c.nextExpiry = min(c.nextExpiry, s.expiresAt)
		if v, convicted := c.judge(now, f, s); convicted {
			out = append(out, v)
		}
		c.countChange(now, f, before)
	}
	return out
}

// remember keeps the crash of a process, which several hosts may report with different content.
func (c *Chains) remember(crash Crash) {
	known, ok := c.crashed[crash.Process]
	if !ok && len(c.crashed) >= maxSuspects {
		return
	}
	if ok {
		crash.EndedAt = min(crash.EndedAt, known.EndedAt)
		crash.Fingerprints = slices.Compact(slices.Sorted(slices.Values(slices.Concat(known.Fingerprints, crash.Fingerprints))))
	}
	c.crashed[crash.Process] = crash
	c.nextExpiry = min(c.nextExpiry, crash.EndedAt+WatchTTL)
}

// countChange increases the version if the verdict on content is no longer the one before.
func (c *Chains) countChange(now time.Duration, fingerprint string, before Verdict) {
	after, _ := c.Check(now, fingerprint)
	if after != before {
		c.version++
	}
	if after == VerdictRun {
		delete(c.listed, fingerprint)
	} else {
		c.listed[fingerprint] = true
	}
}

func (c *chain) add(crash Crash) {
	if slices.ContainsFunc(c.runs, func(r Crash) bool { return r.Process == crash.Process }) {
		return
	}
	i, _ := slices.BinarySearchFunc(c.runs, crash.EndedAt, func(r Crash, at time.Duration) int {
		return cmp.Compare(r.EndedAt, at)
	})
	c.runs = slices.Insert(c.runs, i, crash)
	if len(c.runs) > maxChainRuns {
		c.runs = c.runs[len(c.runs)-maxChainRuns:]
	}
}

// judge quarantines content with enough consecutive crashes. A service whose upstreams crash anyway needs more of them.
func (c *Chains) judge(now time.Duration, fingerprint string, s *chain) (Conviction, bool) {
	v := Conviction{Fingerprint: fingerprint, Crashes: s.crashes()}
	if v.Crashes >= suspectCrashes && s.suspectedAt == 0 {
		s.suspectedAt = now
	}
	if s.quarantinedUntil > now || v.Crashes < quarantineCrashes || now < s.suspectedAt+suspicionTime {
		return v, false
	}
	v.OtherEvents = c.otherEvents(s)
	if v.OtherEvents >= v.Crashes && v.Crashes < unsteadyCrashes {
		return v, false
	}
	s.quarantinedUntil = now + QuarantineTTL
	s.expiresAt = s.quarantinedUntil + WatchTTL
	c.nextExpiry = min(c.nextExpiry, s.quarantinedUntil)
	return v, true
}

// otherEvents counts the crashes since the first run of a chain that neither its content nor quarantined content explains.
func (c *Chains) otherEvents(s *chain) int {
	var times []time.Duration
	for p, crash := range c.crashed {
		own := slices.ContainsFunc(s.runs, func(r Crash) bool { return r.Process == p })
		if !own && crash.EndedAt >= s.runs[0].EndedAt-sameEventTime && !c.explained(crash) {
			times = append(times, crash.EndedAt)
		}
	}
	slices.Sort(times)
	n, last := 0, time.Duration(math.MinInt64)
	for _, t := range times {
		if n == 0 || t > last+sameEventTime {
			n, last = n+1, t
		}
	}
	return n
}

func (c *Chains) explained(crash Crash) bool {
	return slices.ContainsFunc(crash.Fingerprints, func(f string) bool {
		s := c.contents[f]
		return s != nil && s.quarantinedUntil > 0
	})
}

// RecordSurvival clears content whose run its upstream survived.
func (c *Chains) RecordSurvival(now time.Duration, fingerprint string) {
	before, _ := c.Check(now, fingerprint)
	delete(c.contents, fingerprint)
	c.countChange(now, fingerprint, before)
}

// RecordReport removes the crash of a process that has reported at now and so has not ended. A process that reports may have
// refused connections because of a cut. It returns true if content is no longer quarantined.
func (c *Chains) RecordReport(now time.Duration, p Process) bool {
	crash, ok := c.crashed[p]
	if !ok || now < crash.EndedAt+lateReportTime {
		return false
	}
	delete(c.crashed, p)
	lifted := false
	for f, s := range c.contents {
		n := len(s.runs)
		before, _ := c.Check(now, f)
		s.runs = slices.DeleteFunc(s.runs, func(r Crash) bool { return r.Process == p })
		if len(s.runs) == n {
			continue
		}
		if s.quarantinedUntil > 0 && s.crashes() < quarantineCrashes {
			s.quarantinedUntil, lifted = 0, true
		}
		if len(s.runs) == 0 {
			delete(c.contents, f)
		}
		c.countChange(now, f, before)
	}
	return lifted
}

// Adopt quarantines content that an earlier leader had quarantined.
func (c *Chains) Adopt(now time.Duration, q Quarantine) {
	until := now + min(QuarantineTTL, time.Duration(q.RemainingMs)*time.Millisecond)
	s := c.contents[q.Fingerprint]
	if s == nil && until <= now {
		return
	}
	if s == nil {
		c.evictEarliestExpiring()
		s = &chain{}
		c.contents[q.Fingerprint] = s
	}
	if until > now && s.quarantinedUntil == 0 {
		s.quarantinedUntil, s.expiresAt = until, until+WatchTTL
		c.nextExpiry = min(c.nextExpiry, until)
		c.listed[q.Fingerprint] = true
		c.version++
	}
}

// Check returns the verdict on content: VerdictIsolate for suspected content, and VerdictRefuse with the time left for
// quarantined content.
func (c *Chains) Check(now time.Duration, fingerprint string) (Verdict, time.Duration) {
	s := c.contents[fingerprint]
	switch {
	case s == nil || now >= s.expiresAt:
		return VerdictRun, 0
	case now < s.quarantinedUntil:
		return VerdictRefuse, s.quarantinedUntil - now
	case s.crashes() >= suspectCrashes:
		return VerdictIsolate, 0
	}
	return VerdictRun, 0
}

// Suspected returns the suspected content, sorted.
func (c *Chains) Suspected(now time.Duration) []string {
	var out []string
	for f := range c.listed {
		if v, _ := c.Check(now, f); v == VerdictIsolate {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// Quarantined returns the quarantined content, sorted.
func (c *Chains) Quarantined(now time.Duration) []Quarantine {
	var out []Quarantine
	for f := range c.listed {
		if v, left := c.Check(now, f); v == VerdictRefuse {
			out = append(out, Quarantine{Fingerprint: f, RemainingMs: left.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Crashes returns the crashes that the content in memory still rests on.
func (c *Chains) Crashes() []Crash {
	var out []Crash
	for _, crash := range c.crashed {
		if slices.ContainsFunc(crash.Fingerprints, func(f string) bool { return c.contents[f] != nil }) {
			out = append(out, crash)
		}
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.EndedAt, b.EndedAt), a.Process.compare(b.Process))
	})
	return out
}

// lift ends the quarantine of content whose last crash is older than age.
func (c *Chains) lift(now time.Duration, fingerprint string, age time.Duration) {
	if s := c.contents[fingerprint]; s != nil && len(s.runs) > 0 && s.runs[len(s.runs)-1].EndedAt+age < now {
		c.RecordSurvival(now, fingerprint)
	}
}

// expire drops crashes and content that nothing has confirmed for WatchTTL.
func (c *Chains) expire(now time.Duration) {
	if now < c.nextExpiry {
		return
	}
	c.nextExpiry = math.MaxInt64
	for p, crash := range c.crashed {
		if now >= crash.EndedAt+WatchTTL {
			delete(c.crashed, p)
			continue
		}
		c.nextExpiry = min(c.nextExpiry, crash.EndedAt+WatchTTL)
	}
	for f, s := range c.contents {
		if now >= s.expiresAt {
			delete(c.contents, f)
			delete(c.listed, f)
			c.version++
			continue
		}
		if s.quarantinedUntil > 0 && now >= s.quarantinedUntil {
			// The next crash quarantines the content again.
			s.quarantinedUntil = 0
			c.version++
		}
		c.nextExpiry = min(c.nextExpiry, s.expiresAt)
		if s.quarantinedUntil > 0 {
			c.nextExpiry = min(c.nextExpiry, s.quarantinedUntil)
		}
	}
}

func (c *Chains) evictEarliestExpiring() {
	if len(c.contents) < maxSuspects {
		return
	}
	first := ""
	for f, s := range c.contents {
		if first == "" || s.expiresAt < c.contents[first].expiresAt {
			first = f
		}
	}
	delete(c.contents, first)
	delete(c.listed, first)
}
