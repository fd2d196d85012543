package poison

import (
	"sort"
	"time"
)

// reportMemory is how long a host repeats its reports to new leaders, whose boards start empty.
const reportMemory = WatchTime

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

type sentReport struct {
	report Report
	at     time.Duration
}

// Guard tracks the requests in flight of one entry host. It is not safe for concurrent use.
type Guard struct {
	version     uint64
	watched     map[string]bool
	quarantined map[string]time.Duration
	// inFlight counts the requests per process and fingerprint.
	inFlight map[Process]map[string]int
	reports  []sentReport
}

// NewGuard returns a guard that knows of nothing.
func NewGuard() *Guard {
	return &Guard{watched: map[string]bool{}, quarantined: map[string]time.Duration{}, inFlight: map[Process]map[string]int{}}
}

// Check returns the verdict on content, with the time left of a quarantine.
func (g *Guard) Check(now time.Duration, fingerprint string) (Verdict, time.Duration) {
	if until, ok := g.quarantined[fingerprint]; ok && now < until {
		return VerdictRefuse, until - now
	}
	if g.watched[fingerprint] {
		return VerdictIsolate, 0
	}
	return VerdictRun, 0
}

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

// Broken ends a request whose connection broke after the send, and returns the report for the board. The content is
// watched here at once, before the board's list arrives.
func (g *Guard) Broken(now time.Duration, p Process, fingerprint string) Report {
	r := Report{Process: p, Fingerprints: []string{fingerprint}}
	for f := range g.inFlight[p] {
		if f != fingerprint {
			r.Fingerprints = append(r.Fingerprints, f)
		}
	}
	sort.Strings(r.Fingerprints[1:])
	for _, f := range r.Fingerprints {
		g.watched[f] = true
	}
	g.End(p, fingerprint)
	g.reports = append(g.reports, sentReport{report: r, at: now})
	return r
}

// Version returns the version of the list in use.
func (g *Guard) Version() uint64 { return g.version }

// Update takes the board's list. A list of another leader than the last one is answered with the host's recent
// reports, which the new board lacks.
func (g *Guard) Update(now time.Duration, l List, newLeader bool) []Report {
	g.version = l.Version
	g.watched = map[string]bool{}
	for _, f := range l.Watched {
		g.watched[f] = true
	}
	g.quarantined = map[string]time.Duration{}
	for _, q := range l.Quarantined {
		g.quarantined[q.Fingerprint] = now + time.Duration(q.RemainingMs)*time.Millisecond
	}
	return g.recent(now, newLeader)
}

func (g *Guard) recent(now time.Duration, newLeader bool) []Report {
	keep := g.reports[:0]
	var out []Report
	for _, s := range g.reports {
		if now-s.at < reportMemory {
			keep = append(keep, s)
			out = append(out, s.report)
		}
	}
	g.reports = keep
	if !newLeader {
		return nil
	}
	return out
}
