package poison

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Verdict is the decision of a Guard on a request.
type Verdict string

const (
	// VerdictRun means that the content may run on any upstream.
	VerdictRun Verdict = "run"
	// VerdictIsolate means that the content may run only with a permit for the upstream.
	VerdictIsolate Verdict = "isolate"
	// VerdictRefuse means that the content is quarantined and must not run.
	VerdictRefuse Verdict = "refuse"
)

// crashSet holds the processes that crashed while one fingerprint was in flight on them.
type crashSet struct {
	processes map[Process]bool
	expiresAt time.Duration
}

// Guard tracks the requests in flight of one entry host. It is not safe for concurrent use.
type Guard struct {
	version uint64
	// watched holds the crashed processes by watched fingerprint, from the last list of the leader.
	watched map[string][]Process
	// unlistedCrashes holds the crashes by fingerprint that this host knows of and the current leader has not listed yet.
	unlistedCrashes map[string]crashSet
	quarantined     map[string]time.Duration
	// inFlight counts the requests in flight by process and fingerprint.
	inFlight map[Process]map[string]int
}

// NewGuard returns a guard without suspects.
func NewGuard() *Guard {
	return &Guard{
		watched: map[string][]Process{}, unlistedCrashes: map[string]crashSet{}, quarantined: map[string]time.Duration{},
		inFlight: map[Process]map[string]int{},
	}
}

// Check returns the verdict on content and, if it is quarantined, the time left.
func (g *Guard) Check(now time.Duration, fingerprint string) (Verdict, time.Duration) {
	if until, ok := g.quarantined[fingerprint]; ok && now < until {
		return VerdictRefuse, until - now
	}
	_, watched := g.watched[fingerprint]
	if u, ok := g.unlistedCrashes[fingerprint]; watched || (ok && now < u.expiresAt) {
		return VerdictIsolate, 0
	}
	return VerdictRun, 0
}

// Crashes returns the known crashed processes of watched content, sorted.
func (g *Guard) Crashes(fingerprint string) []Process {
	known := map[Process]bool{}
	for _, p := range g.watched[fingerprint] {
		known[p] = true
	}
	maps.Copy(known, g.unlistedCrashes[fingerprint].processes)
	return slices.SortedFunc(maps.Keys(known), Process.compare)
}

// Clear drops the unlisted crashes of content that ran successfully under a permit.
func (g *Guard) Clear(fingerprint string) { delete(g.unlistedCrashes, fingerprint) }

// Begin counts a request as in flight. It is called before the request is sent.
func (g *Guard) Begin(p Process, fingerprint string) {
	m := g.inFlight[p]
	if m == nil {
		m = map[string]int{}
		g.inFlight[p] = m
	}
	m[fingerprint]++
}

// End removes a request from those in flight. If its connection broke, EndBroken is called instead.
func (g *Guard) End(p Process, fingerprint string) {
	m := g.inFlight[p]
	m[fingerprint]--
	if m[fingerprint] <= 0 {
		delete(m, fingerprint)
	}
	if len(m) == 0 {
		delete(g.inFlight, p)
	}
}

// EndBroken ends a request whose connection broke after the request was sent, and returns the report for the leader. This
// host watches the content immediately, before the leader lists it.
func (g *Guard) EndBroken(now time.Duration, p Process, fingerprint string) Report {
	r := Report{Process: p, Fingerprints: []string{fingerprint}}
	for f := range g.inFlight[p] {
		if f != fingerprint {
			r.Fingerprints = append(r.Fingerprints, f)
		}
	}
	sort.Strings(r.Fingerprints[1:])
	for _, f := range r.Fingerprints {
		g.recordCrash(now, f, p)
	}
	g.End(p, fingerprint)
	return r
}

func (g *Guard) recordCrash(now time.Duration, fingerprint string, p Process) {
	u, ok := g.unlistedCrashes[fingerprint]
	if !ok {
		u.processes = map[Process]bool{}
	}
	u.expiresAt = now + WatchTTL
	u.processes[p] = true
	g.unlistedCrashes[fingerprint] = u
}

// Version returns the version of the list in use.
func (g *Guard) Version() uint64 { return g.version }

// Update applies a list of the leader. A new leader starts with an empty list. With its first list, Update returns reports
// of the suspects that this host knows of and the list lacks. This host keeps isolating or refusing them until the new
// leader lists them or they expire.
func (g *Guard) Update(now time.Duration, l List, newLeader bool) []Report {
	if newLeader {
		for f, ps := range g.watched {
			for _, p := range ps {
				g.recordCrash(now, f, p)
			}
		}
	}
	g.version = l.Version
	g.watched = map[string][]Process{}
	for _, f := range l.Watched {
		g.watched[f] = l.Crashes[f]
	}
	listed := map[string]bool{}
	for _, q := range l.Quarantined {
		g.quarantined[q.Fingerprint] = now + time.Duration(q.RemainingMs)*time.Millisecond
		listed[q.Fingerprint] = true
		delete(g.unlistedCrashes, q.Fingerprint)
	}
	g.prune(now)
	if !newLeader {
		return nil
	}
	return g.unlistedReports(now, listed)
}

// prune removes expired entries, and unlisted crashes once the leader lists all of those known for the fingerprint.
func (g *Guard) prune(now time.Duration) {
	maps.DeleteFunc(g.quarantined, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(g.unlistedCrashes, func(f string, u crashSet) bool {
		if now >= u.expiresAt {
			return true
		}
		for p := range u.processes {
			if !slices.Contains(g.watched[f], p) {
				return false
			}
		}
		return true
	})
}

// unlistedReports returns reports of the suspects that the current leader has not listed: one for all quarantined content
// and one for each crashed process.
func (g *Guard) unlistedReports(now time.Duration, listed map[string]bool) []Report {
	var refused Report
	for _, f := range slices.Sorted(maps.Keys(g.quarantined)) {
		if !listed[f] {
			refused.Quarantined = append(refused.Quarantined, Quarantine{
				Fingerprint: f, RemainingMs: (g.quarantined[f] - now).Milliseconds(),
			})
		}
	}
	byProcess := map[Process][]string{}
	for _, f := range slices.Sorted(maps.Keys(g.unlistedCrashes)) {
		for p := range g.unlistedCrashes[f].processes {
			byProcess[p] = append(byProcess[p], f)
		}
	}
	var out []Report
	if len(refused.Quarantined) > 0 {
		refused.FromEarlierLeader = true
		out = append(out, refused)
	}
	for _, p := range slices.SortedFunc(maps.Keys(byProcess), Process.compare) {
		out = append(out, Report{Process: p, Fingerprints: byProcess[p], FromEarlierLeader: true})
	}
	return out
}
