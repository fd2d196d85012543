package poison

import (
	"maps"
	"slices"
	"time"
)

// RunReport tells the leader how runs of content ended at one entry host. Times are ages, since hosts have no common
// clock.
type RunReport struct {
	// Host is the reporting entry host.
	Host    string       `json:"host"`
	Crashes []CrashedRun `json:"crashes,omitempty"`
	// Survived holds suspected content that an upstream ran without ending.
	Survived []string `json:"survived,omitempty"`
	// Quarantined holds the content that an earlier leader had quarantined.
	Quarantined []Quarantine `json:"quarantined,omitempty"`
}

// CrashedRun is a Crash whose times are in milliseconds before the report.
type CrashedRun struct {
	Process      Process  `json:"process"`
	Fingerprints []string `json:"fingerprints"`
	SentAgoMs    int64    `json:"sent_ago_ms"`
	EndedAgoMs   int64    `json:"ended_ago_ms"`
}

func (r CrashedRun) crash(now time.Duration, host string) Crash {
	age := func(ms int64) time.Duration { return min(WatchTTL, max(0, time.Duration(ms)*time.Millisecond)) }
	return Crash{
		Host: host, Process: r.Process, Fingerprints: r.Fingerprints, SentAt: now - age(r.SentAgoMs),
		EndedAt: now - age(r.EndedAgoMs),
	}
}

// NewRunReport returns a host's report of crashes.
func NewRunReport(now time.Duration, host string, crashes []Crash) RunReport {
	r := RunReport{Host: host}
	for _, c := range crashes {
		r.Crashes = append(r.Crashes, CrashedRun{
			Process: c.Process, Fingerprints: c.Fingerprints,
			SentAgoMs: (now - c.SentAt).Milliseconds(), EndedAgoMs: (now - c.EndedAt).Milliseconds(),
		})
	}
	return r
}

// Empty reports whether there is nothing to report.
func (r RunReport) Empty() bool { return len(r.Crashes)+len(r.Survived)+len(r.Quarantined) == 0 }

// ReportRuns applies the report of a host that does not isolate requests. It returns the content that is quarantined
// because of it.
func (t *Tracker) ReportRuns(now time.Duration, r RunReport) []Conviction {
	var out []Conviction
	t.Adopt(now, r.Quarantined)
	for _, crash := range r.Crashes {
		out = append(out, t.chains.Record(now, crash.crash(now, r.Host))...)
	}
	for _, f := range r.Survived {
		t.chains.RecordSurvival(now, f)
	}
	t.expire(now)
	return out
}

// Adopt quarantines content that an earlier leader had quarantined.
func (t *Tracker) Adopt(now time.Duration, quarantined []Quarantine) {
	for _, q := range quarantined {
		t.chains.Adopt(now, q)
	}
	t.countChainChanges()
}

// QuarantinedByRuns returns the content that is quarantined because of reported runs.
func (t *Tracker) QuarantinedByRuns(now time.Duration) []Quarantine { return t.chains.Quarantined(now) }

// RecordReport notes that an upstream process has reported to the leader. It returns true if content is no longer
// quarantined, because its crashes included one of this process.
func (t *Tracker) RecordReport(now time.Duration, p Process) bool {
	lifted := t.chains.RecordReport(now, p)
	t.countChainChanges()
	return lifted
}

// Monitor decides at an entry host which content may run, by the crashes that this host has seen and by the list of the
// leader. It is not safe for concurrent use.
type Monitor struct {
	own *Chains
	// version is that of the last list. suspected and quarantined hold its content, the latter with the end of the quarantine.
	version     uint64
	suspected   map[string]bool
	quarantined map[string]time.Duration
}

// NewMonitor returns a monitor without a list.
func NewMonitor() *Monitor {
	return &Monitor{own: NewChains(), suspected: map[string]bool{}, quarantined: map[string]time.Duration{}}
}

// Version returns the version of the last list.
func (m *Monitor) Version() uint64 { return m.version }

// Idle reports whether no content is known, so that Check would let any content run.
func (m *Monitor) Idle() bool { return len(m.own.contents)+len(m.suspected)+len(m.quarantined) == 0 }

// Check returns the strictest verdict on the fingerprints of one request, and the time left if it is refused.
func (m *Monitor) Check(now time.Duration, fingerprints []string) (Verdict, time.Duration) {
	verdict, left := VerdictRun, time.Duration(0)
	for _, f := range fingerprints {
		v, l := m.own.Check(now, f)
		if until := m.quarantined[f]; now < until {
			v, l = VerdictRefuse, max(l, until-now)
		}
		switch {
		case v == VerdictRefuse:
			verdict, left = VerdictRefuse, max(left, l)
		case (v == VerdictIsolate || m.suspected[f]) && verdict == VerdictRun:
			verdict = VerdictIsolate
		}
	}
	return verdict, left
}

// RecordCrash adds a crash that this host has seen, and returns the content that this host refuses because of it.
func (m *Monitor) RecordCrash(now time.Duration, crash Crash) []Conviction {
	return m.own.Record(now, crash)
}

// RecordSurvival clears content that an upstream has run without ending, and returns what the leader has to know of it.
func (m *Monitor) RecordSurvival(now time.Duration, fingerprints []string) []string {
	var out []string
	for _, f := range fingerprints {
		if m.own.contents[f] == nil && !m.suspected[f] && m.quarantined[f] == 0 {
			continue
		}
		m.own.RecordSurvival(now, f)
		delete(m.suspected, f)
		delete(m.quarantined, f)
		out = append(out, f)
	}
	return out
}

// History is what a host knows from the time of an earlier leader.
type History struct {
	Crashes     []Crash
	Quarantined []Quarantine
}

// Update applies a list of the leader. It returns what a new leader has to know.
func (m *Monitor) Update(now time.Duration, l List) History {
	newLeader := !SameLeader(l.Version, m.version)
	m.version = l.Version
	m.own.expire(now)
	var h History
	listed := map[string]time.Duration{}
	for _, q := range l.Quarantined {
		listed[q.Fingerprint] = now + time.Duration(q.RemainingMs)*time.Millisecond
	}
	if newLeader {
		h = m.history(now, listed)
		// The quarantine stays in force until the new leader lists it.
		for f, until := range m.quarantined {
			if _, ok := listed[f]; !ok && now < until {
				listed[f] = until
			}
		}
	}
	m.quarantined, m.suspected = listed, map[string]bool{}
	for _, f := range l.Suspected {
		m.suspected[f] = true
	}
	if !newLeader {
		m.liftOwn(now)
	}
	return h
}

// reportTime is the time after which a list of the leader covers the crashes that this host has seen before.
const reportTime = 500 * time.Millisecond

// liftOwn ends the quarantine by this host of content that the leader has cleared since.
func (m *Monitor) liftOwn(now time.Duration) {
	for _, q := range m.own.Quarantined(now) {
		if m.quarantined[q.Fingerprint] == 0 && !m.suspected[q.Fingerprint] {
			m.own.lift(now, q.Fingerprint, reportTime)
		}
	}
}

// Sweep drops what has expired.
func (m *Monitor) Sweep(now time.Duration) {
	m.own.expire(now)
	maps.DeleteFunc(m.quarantined, func(_ string, until time.Duration) bool { return now >= until })
}

// history returns the crashes and quarantines that a new leader may lack.
func (m *Monitor) history(now time.Duration, listed map[string]time.Duration) History {
	h := History{Crashes: m.own.Crashes()}
	for _, f := range slices.Sorted(maps.Keys(m.quarantined)) {
		if left := m.quarantined[f] - now; left > 0 && listed[f] == 0 {
			h.Quarantined = append(h.Quarantined, Quarantine{Fingerprint: f, RemainingMs: left.Milliseconds()})
		}
	}
	return h
}
