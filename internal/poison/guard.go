package poison

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Verdict tells what to do with a request.
type Verdict string

const (
	// VerdictRun means that nothing is known against the content.
	VerdictRun Verdict = "run"
	// VerdictIsolate means that the content may run only with a permit for the upstream.
	VerdictIsolate Verdict = "isolate"
	// VerdictRefuse means that the content is quarantined.
	VerdictRefuse Verdict = "refuse"
)

// crashSet holds the crashed processes known of one fingerprint.
type crashSet struct {
	processes map[Process]bool
	until     time.Duration
}

// Guard tracks the requests in flight of one entry host. It is not safe for concurrent use.
type Guard struct {
	version uint64
	// listed holds what the last list of the leader watches.
	listed map[string][]Process
	// unlisted holds what this host knows and the present leader has not listed yet.
	unlisted    map[string]crashSet
	quarantined map[string]time.Duration
	// inFlight counts the requests per process and fingerprint.
	inFlight map[Process]map[string]int
}

// NewGuard returns a guard that knows of nothing.
func NewGuard() *Guard {
	return &Guard{
		listed: map[string][]Process{}, unlisted: map[string]crashSet{}, quarantined: map[string]time.Duration{},
		inFlight: map[Process]map[string]int{},
	}
}

// Check returns the verdict on content, with the time left of a quarantine.
func (g *Guard) Check(now time.Duration, fingerprint string) (Verdict, time.Duration) {
	if until, ok := g.quarantined[fingerprint]; ok && now < until {
		return VerdictRefuse, until - now
	}
	_, listed := g.listed[fingerprint]
	if u, ok := g.unlisted[fingerprint]; listed || (ok && now < u.until) {
		return VerdictIsolate, 0
	}
	return VerdictRun, 0
}

// Crashes returns the crashed processes that are known of watched content, sorted.
func (g *Guard) Crashes(fingerprint string) []Process {
	known := map[Process]bool{}
	for _, p := range g.listed[fingerprint] {
		known[p] = true
	}
	maps.Copy(known, g.unlisted[fingerprint].processes)
	return slices.SortedFunc(maps.Keys(known), Process.compare)
}

// Clear forgets what this host alone knows of content that finished well while it ran alone.
func (g *Guard) Clear(fingerprint string) { delete(g.unlisted, fingerprint) }

// Begin counts a request that is about to be sent.
func (g *Guard) Begin(p Process, fingerprint string) {
	m := g.inFlight[p]
	if m == nil {
		m = map[string]int{}
		g.inFlight[p] = m
	}
	m[fingerprint]++
}

// End counts a request that ended without a broken connection.
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

// EndBroken ends a request whose connection broke after the send, and returns the report for the board. The content is
// watched here at once, before the board's list arrives.
func (g *Guard) EndBroken(now time.Duration, p Process, fingerprint string) Report {
	r := Report{Process: p, Fingerprints: []string{fingerprint}}
	for f := range g.inFlight[p] {
		if f != fingerprint {
			r.Fingerprints = append(r.Fingerprints, f)
		}
	}
	sort.Strings(r.Fingerprints[1:])
	for _, f := range r.Fingerprints {
		g.remember(now, f, p)
	}
	g.End(p, fingerprint)
	return r
}

func (g *Guard) remember(now time.Duration, fingerprint string, p Process) {
	u, ok := g.unlisted[fingerprint]
	if !ok {
		u.processes = map[Process]bool{}
	}
	u.until = now + WatchTime
	u.processes[p] = true
	g.unlisted[fingerprint] = u
}

// Version returns the version of the list in use.
func (g *Guard) Version() uint64 { return g.version }

// Update takes the board's list. The board of a new leader starts empty, so the first list of one is answered with
// what this host knows and the list lacks. Until the new leader lists it, it stays in force here.
func (g *Guard) Update(now time.Duration, l List, newLeader bool) []Report {
	if newLeader {
		for f, ps := range g.listed {
			for _, p := range ps {
				g.remember(now, f, p)
			}
		}
	}
	g.version = l.Version
	g.listed = map[string][]Process{}
	for _, f := range l.Watched {
		g.listed[f] = l.Crashes[f]
	}
	known := map[string]bool{}
	for _, q := range l.Quarantined {
		g.quarantined[q.Fingerprint] = now + time.Duration(q.RemainingMs)*time.Millisecond
		known[q.Fingerprint] = true
		delete(g.unlisted, q.Fingerprint)
	}
	g.prune(now)
	if !newLeader {
		return nil
	}
	return g.recall(now, known)
}

// prune forgets what has expired, and what the leader lists with every crash known here.
func (g *Guard) prune(now time.Duration) {
	maps.DeleteFunc(g.quarantined, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(g.unlisted, func(f string, u crashSet) bool {
		if now >= u.until {
			return true
		}
		for p := range u.processes {
			if !slices.Contains(g.listed[f], p) {
				return false
			}
		}
		return true
	})
}

// recall returns what the present leader has not listed, one report per crashed process.
func (g *Guard) recall(now time.Duration, known map[string]bool) []Report {
	var refused Report
	for _, f := range slices.Sorted(maps.Keys(g.quarantined)) {
		if !known[f] {
			refused.Quarantined = append(refused.Quarantined, Quarantine{
				Fingerprint: f, RemainingMs: (g.quarantined[f] - now).Milliseconds(),
			})
		}
	}
	byProcess := map[Process][]string{}
	for _, f := range slices.Sorted(maps.Keys(g.unlisted)) {
		for p := range g.unlisted[f].processes {
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
