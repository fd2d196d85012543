// Package poison detects requests whose content crashes upstreams. The leader merges the crash reports of all entry hosts
// into a list of suspects. Every entry host has a Guard that refuses or isolates requests according to that list.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"
)

const (
	// QuarantineTTL is the time for which content is refused after its second crash.
	QuarantineTTL = 10 * time.Minute
	// WatchTTL is the time for which content is watched after its first crash.
	WatchTTL = 10 * time.Minute
	// PermitTTL limits the time for which a permit keeps other watched content off an upstream.
	PermitTTL = 30 * time.Second
	// crashesToQuarantine is the number of distinct crashed processes after which a fingerprint is quarantined.
	crashesToQuarantine = 2
	// maxSuspects limits memory use. The suspects that expire first are evicted.
	maxSuspects = 4096
)

// Process is one incarnation of an upstream. A process can crash only once.
type Process struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

func (p Process) compare(q Process) int {
	return cmp.Or(cmp.Compare(p.Name, q.Name), cmp.Compare(p.Incarnation, q.Incarnation))
}

// Report states that a connection to an upstream broke while requests with the fingerprints were in flight on it.
type Report struct {
	Process      Process  `json:"process"`
	Fingerprints []string `json:"fingerprints"`
	// Holder is the holder of the permit under which the first fingerprint ran; empty without a permit.
	Holder string `json:"holder,omitempty"`
	// FromEarlierLeader is true if an earlier leader already knew of the crash. Such a report quarantines no fingerprint,
	// because the current permit of an upstream says nothing about an earlier crash.
	FromEarlierLeader bool `json:"recalled,omitempty"`
	// Quarantined holds the content that an earlier leader had quarantined.
	Quarantined []Quarantine `json:"quarantined,omitempty"`
}

// Quarantine describes content that is refused.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"`
	// RemainingMs is the time left when the list was created.
	RemainingMs int64 `json:"remaining_ms"`
}

// List is the state that the leader sends to the entry hosts.
type List struct {
	// Version changes with every change of the list. Each leader starts from the FirstVersion of its term.
	Version     uint64       `json:"version"`
	Watched     []string     `json:"watched"`
	Quarantined []Quarantine `json:"quarantined"`
	// Suspected holds content with consecutive crashes that is not quarantined yet.
	Suspected []string `json:"suspected,omitempty"`
	// Crashes holds the sorted crashed processes of each watched fingerprint. The hosts report them to the next leader.
	Crashes map[string][]Process `json:"crashes,omitempty"`
}

type suspect struct {
	// crashes holds the crashed processes that ran the content; empty if an earlier leader quarantined it.
	crashes   map[Process]bool
	expiresAt time.Duration
	// quarantined is true if the content is refused rather than watched.
	quarantined bool
}

type permit struct {
	holder      string
	fingerprint string
	expiresAt   time.Duration
	// crashedBefore is true if a crash of the content was known when the permit was granted.
	crashedBefore bool
}

// Tracker merges the crash reports of all entry hosts into a List. It is not safe for concurrent use.
type Tracker struct {
	version  uint64
	suspects map[string]*suspect
	// permits holds the current permit of each upstream by name. An upstream runs one watched content at a time.
	permits map[string]permit
	// chains holds the crashes of hosts that do not isolate requests, and chainsVersion is that of its content in version.
	chains        *Chains
	chainsVersion uint64
	// ignorePermits quarantines content that crashed without a permit. Only tests set it, to verify that the permit is
	// necessary.
	ignorePermits bool
}

// termShift is the number of low bits of a version that count the changes of one term. The bits above hold the term, so
// that the versions of different leaders differ.
const termShift = 32

// FirstVersion returns the version of the empty list that the leader of a term starts with.
func FirstVersion(term uint64) uint64 { return term << termShift }

// SameLeader reports whether two list versions come from the same leader.
func SameLeader(a, b uint64) bool { return a>>termShift == b>>termShift }

// NewTracker returns a tracker with an empty list. Each leader must pass a different firstVersion, so that the list
// versions of two leaders never collide.
func NewTracker(firstVersion uint64) *Tracker {
	return &Tracker{
		version: firstVersion, suspects: map[string]*suspect{}, permits: map[string]permit{}, chains: NewChains(),
	}
}

// Report counts a crash. Reports of the same process from several hosts count as one crash. Content is quarantined only
// if it held the permit of the upstream during the crash, because other content in flight may be harmless.
func (t *Tracker) Report(now time.Duration, r Report) {
	t.expire(now)
	for _, f := range r.Fingerprints {
		t.countCrash(now, f, r)
	}
	for _, q := range r.Quarantined {
		left := time.Duration(q.RemainingMs) * time.Millisecond
		if s := t.watch(now, q.Fingerprint); left > 0 && !s.quarantined {
			s.quarantined, s.expiresAt = true, now+min(left, QuarantineTTL)
			t.version++
		}
	}
}

// watch returns the suspect of a fingerprint, and adds it if it is not watched yet.
func (t *Tracker) watch(now time.Duration, fingerprint string) *suspect {
	s := t.suspects[fingerprint]
	if s == nil {
		t.evictEarliestExpiring()
		s = &suspect{crashes: map[Process]bool{}, expiresAt: now + WatchTTL}
		t.suspects[fingerprint] = s
		t.version++
	}
	return s
}

func (t *Tracker) countCrash(now time.Duration, fingerprint string, r Report) {
	s, p := t.watch(now, fingerprint), r.Process
	if !s.crashes[p] {
		s.crashes[p] = true
		t.version++
	}
	held := t.permits[p.Name]
	attributable := t.ignorePermits || (!r.FromEarlierLeader && held.fingerprint == fingerprint)
	// An upstream that restarts quickly is listed under its old incarnation until its grant expires, so that both crashes
	// carry the same process. The permit distinguishes them, because it was granted after the first crash.
	crashedAgain := held.crashedBefore && held.holder == r.Holder
	if (len(s.crashes) >= crashesToQuarantine || crashedAgain) && attributable && !s.quarantined {
		s.quarantined, s.expiresAt = true, now+QuarantineTTL
		t.version++
	}
}

// Clear removes watched content after a successful run under a permit. Quarantined content stays.
func (t *Tracker) Clear(now time.Duration, fingerprint string) {
	t.expire(now)
	if s := t.suspects[fingerprint]; s != nil && !s.quarantined {
		delete(t.suspects, fingerprint)
		t.version++
	}
}

// Permit grants the exclusive permit of an upstream for watched content. It returns false if another holder has it, or if
// the content is quarantined, which the host may not know yet.
func (t *Tracker) Permit(now time.Duration, upstream, fingerprint, holder string) bool {
	if s := t.suspects[fingerprint]; s != nil && s.quarantined {
		return false
	}
	p, ok := t.permits[upstream]
	if ok && now < p.expiresAt && p.holder != holder {
		return false
	}
	s := t.suspects[fingerprint]
	t.permits[upstream] = permit{
		holder: holder, fingerprint: fingerprint, expiresAt: now + PermitTTL, crashedBefore: s != nil && len(s.crashes) > 0,
	}
	return true
}

// Release returns a permit, if the holder still has it.
func (t *Tracker) Release(upstream, holder string) {
	if t.permits[upstream].holder == holder {
		delete(t.permits, upstream)
	}
}

// List returns the watched and quarantined content, sorted by fingerprint.
func (t *Tracker) List(now time.Duration) List {
	t.expire(now)
	l := List{Version: t.version, Watched: []string{}, Quarantined: []Quarantine{}, Crashes: map[string][]Process{}}
	for f, s := range t.suspects {
		if s.quarantined {
			l.Quarantined = append(l.Quarantined, Quarantine{Fingerprint: f, RemainingMs: (s.expiresAt - now).Milliseconds()})
			continue
		}
		l.Watched = append(l.Watched, f)
		l.Crashes[f] = slices.SortedFunc(maps.Keys(s.crashes), Process.compare)
	}
	l.Suspected, l.Quarantined = t.chains.Suspected(now), append(l.Quarantined, t.chains.Quarantined(now)...)
	sort.Strings(l.Watched)
	sort.Slice(l.Quarantined, func(i, j int) bool { return l.Quarantined[i].Fingerprint < l.Quarantined[j].Fingerprint })
	return l
}

// Version removes expired suspects and returns the resulting version of the list.
func (t *Tracker) Version(now time.Duration) uint64 {
	t.expire(now)
	return t.version
}

func (t *Tracker) expire(now time.Duration) {
	for f, s := range t.suspects {
		if now >= s.expiresAt {
			delete(t.suspects, f)
			t.version++
		}
	}
	t.chains.expire(now)
	t.countChainChanges()
}

// countChainChanges includes the changes of the chains in the version of the list.
func (t *Tracker) countChainChanges() {
	t.version += t.chains.version - t.chainsVersion
	t.chainsVersion = t.chains.version
}

func (t *Tracker) evictEarliestExpiring() {
	if len(t.suspects) < maxSuspects {
		return
	}
	first, found := "", false
	for f, s := range t.suspects {
		if !found || s.expiresAt < t.suspects[first].expiresAt || (s.expiresAt == t.suspects[first].expiresAt && f < first) {
			first, found = f, true
		}
	}
	delete(t.suspects, first)
}

// PermitRequest requests a permit from the leader, or returns it.
type PermitRequest struct {
	Upstream    string `json:"upstream"`
	Fingerprint string `json:"fingerprint"`
	Holder      string `json:"holder"`
	Release     bool   `json:"release,omitempty"`
	// Succeeded means that the request succeeded, so that the content is no longer watched. It is set only with Release.
	Succeeded bool `json:"finished_well,omitempty"`
	// Crashes holds the crashed processes that the host knows of, with the list of Version applied. A new leader may not
	// know of them yet.
	Crashes []Process `json:"crashes,omitempty"`
	Version uint64    `json:"version,omitempty"`
}

// PermitResponse is the leader's response to a PermitRequest. It is the zero value if the request returned a permit.
type PermitResponse struct {
	Granted bool `json:"granted"`
}
