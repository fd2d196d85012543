// Package poison finds requests whose content crashes upstreams. The leader keeps a Board of suspects that all entry
// hosts report to; every entry host keeps a Guard that refuses or isolates requests by the board's list.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"
)

const (
	// QuarantineTime is how long content is refused after its second crash.
	QuarantineTime = 10 * time.Minute
	// WatchTime is how long content is watched after its first crash.
	WatchTime = 10 * time.Minute
	// PermitTTL bounds the exclusive run of a watched request on one upstream.
	PermitTTL = 30 * time.Second
	// crashesToQuarantine is the number of distinct crashed processes that convict a fingerprint.
	crashesToQuarantine = 2
	// maxSuspects bounds the memory of the board; the oldest suspects are forgotten first.
	maxSuspects = 4096
)

// Process is one run of an upstream. A process can crash only once.
type Process struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

func (p Process) compare(q Process) int {
	return cmp.Or(cmp.Compare(p.Name, q.Name), cmp.Compare(p.Incarnation, q.Incarnation))
}

// Report tells that connections to an upstream broke while the fingerprints were in flight on it.
type Report struct {
	Process      Process  `json:"process"`
	Fingerprints []string `json:"fingerprints"`
	// Holder is the holder of the permit under which the first fingerprint ran; empty if it had none.
	Holder string `json:"holder,omitempty"`
	// FromEarlierLeader is true if an earlier leader knew of the crash. It convicts nobody, because the permit that an upstream
	// holds now says nothing about an earlier crash.
	FromEarlierLeader bool `json:"recalled,omitempty"`
	// Quarantined holds what an earlier leader refused.
	Quarantined []Quarantine `json:"quarantined,omitempty"`
}

// Quarantine is refused content.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"`
	// RemainingMs is the time left at the moment the list was made.
	RemainingMs int64 `json:"remaining_ms"`
}

// List is what entry hosts need to know of the board.
type List struct {
	// Version changes with every change of the list. It starts anew with each leader, from the leader's term.
	Version     uint64       `json:"version"`
	Watched     []string     `json:"watched"`
	Quarantined []Quarantine `json:"quarantined"`
	// Crashes holds the crashed processes of each watched fingerprint, sorted, for the next leader.
	Crashes map[string][]Process `json:"crashes,omitempty"`
}

type suspect struct {
	// crashes holds the crashed processes that ran the content; empty if an earlier leader refused it.
	crashes map[Process]bool
	until   time.Duration
	// quarantined is true once the content is refused.
	quarantined bool
}

type permit struct {
	holder      string
	fingerprint string
	until       time.Duration
	// again is true if the content had crashed an upstream before the permit was given.
	again bool
}

// Tracker merges the reports of all entry hosts. It is not safe for concurrent use.
type Tracker struct {
	version  uint64
	suspects map[string]*suspect
	// permits holds the one watched run that each upstream may have at a time.
	permits map[string]permit
	// convictAnyone drops the need for a permit; set by tests only, to show that the need matters.
	convictAnyone bool
}

// termShift leaves room in a version for the changes of one term, so that lists of different leaders differ.
const termShift = 32

// FirstVersion returns the version of the empty list of the leader of a term.
func FirstVersion(term uint64) uint64 { return term << termShift }

// SameLeader tells whether two versions are of lists of the same leader.
func SameLeader(a, b uint64) bool { return a>>termShift == b>>termShift }

// NewTracker returns an empty board. Versions of different leaders differ if firstVersion does.
func NewTracker(firstVersion uint64) *Tracker {
	return &Tracker{version: firstVersion, suspects: map[string]*suspect{}, permits: map[string]permit{}}
}

// Report counts a crash. Reports of the same process from several hosts are one crash. Content is quarantined only if
// the crash happened while it held the permit of the upstream: other content may have run beside it by accident.
func (b *Tracker) Report(now time.Duration, r Report) {
	b.expire(now)
	for _, f := range r.Fingerprints {
		b.blame(now, f, r)
	}
	for _, q := range r.Quarantined {
		left := time.Duration(q.RemainingMs) * time.Millisecond
		if s := b.suspect(now, q.Fingerprint); left > 0 && !s.quarantined {
			s.quarantined, s.until = true, now+min(left, QuarantineTime)
			b.version++
		}
	}
}

// suspect returns the suspect of a fingerprint and watches it from now on.
func (b *Tracker) suspect(now time.Duration, fingerprint string) *suspect {
	s := b.suspects[fingerprint]
	if s == nil {
		b.makeRoom()
		s = &suspect{crashes: map[Process]bool{}, until: now + WatchTime}
		b.suspects[fingerprint] = s
		b.version++
	}
	return s
}

func (b *Tracker) blame(now time.Duration, fingerprint string, r Report) {
	s, p := b.suspect(now, fingerprint), r.Process
	if !s.crashes[p] {
		s.crashes[p] = true
		b.version++
	}
	m := b.permits[p.Name]
	alone := b.convictAnyone || (!r.FromEarlierLeader && m.fingerprint == fingerprint)
	// An upstream that was restarted at once is listed under its old incarnation until its grant has expired, so both
	// crashes carry the same process. The permit tells them apart, because it was given after the first one.
	again := m.again && m.holder == r.Holder
	if (len(s.crashes) >= crashesToQuarantine || again) && alone && !s.quarantined {
		s.quarantined, s.until = true, now+QuarantineTime
		b.version++
	}
}

// Clear forgets watched content that finished well while it ran alone. Quarantined content stays.
func (b *Tracker) Clear(now time.Duration, fingerprint string) {
	b.expire(now)
	if s := b.suspects[fingerprint]; s != nil && !s.quarantined {
		delete(b.suspects, fingerprint)
		b.version++
	}
}

// Permit lets the holder run watched content on the upstream while no other watched content runs there.
func (b *Tracker) Permit(now time.Duration, upstream, fingerprint, holder string) bool {
	p, ok := b.permits[upstream]
	if ok && now < p.until && p.holder != holder {
		return false
	}
	s := b.suspects[fingerprint]
	b.permits[upstream] = permit{
		holder: holder, fingerprint: fingerprint, until: now + PermitTTL, again: s != nil && len(s.crashes) > 0,
	}
	return true
}

// Release gives a permit back.
func (b *Tracker) Release(upstream, holder string) {
	if b.permits[upstream].holder == holder {
		delete(b.permits, upstream)
	}
}

// List returns the suspects at the time now, sorted.
func (b *Tracker) List(now time.Duration) List {
	b.expire(now)
	l := List{Version: b.version, Watched: []string{}, Quarantined: []Quarantine{}, Crashes: map[string][]Process{}}
	for f, s := range b.suspects {
		if s.quarantined {
			l.Quarantined = append(l.Quarantined, Quarantine{Fingerprint: f, RemainingMs: (s.until - now).Milliseconds()})
			continue
		}
		l.Watched = append(l.Watched, f)
		l.Crashes[f] = slices.SortedFunc(maps.Keys(s.crashes), Process.compare)
	}
	sort.Strings(l.Watched)
	sort.Slice(l.Quarantined, func(i, j int) bool { return l.Quarantined[i].Fingerprint < l.Quarantined[j].Fingerprint })
	return l
}

// Version returns the version of the list.
func (b *Tracker) Version(now time.Duration) uint64 {
	b.expire(now)
	return b.version
}

func (b *Tracker) expire(now time.Duration) {
	for f, s := range b.suspects {
		if now >= s.until {
			delete(b.suspects, f)
			b.version++
		}
	}
}

func (b *Tracker) makeRoom() {
	if len(b.suspects) < maxSuspects {
		return
	}
	oldest, found := "", false
	for f, s := range b.suspects {
		if !found || s.until < b.suspects[oldest].until || (s.until == b.suspects[oldest].until && f < oldest) {
			oldest, found = f, true
		}
	}
	delete(b.suspects, oldest)
}

// PermitRequest asks the leader for a permit, or gives it back.
type PermitRequest struct {
	Upstream    string `json:"upstream"`
	Fingerprint string `json:"fingerprint"`
	Holder      string `json:"holder"`
	Release     bool   `json:"release,omitempty"`
	// Succeeded clears the content; set together with Release only.
	Succeeded bool `json:"finished_well,omitempty"`
	// Crashes holds the crashed processes that the host knows of by the list of Version. A new leader may not have been
	// told of them yet.
	Crashes []Process `json:"crashes,omitempty"`
	Version uint64    `json:"version,omitempty"`
}

// PermitResponse answers a PermitQuery.
type PermitResponse struct {
	Granted bool `json:"granted"`
}
