// Package proto defines the messages and headers exchanged with callers and upstreams.
// docs/PROTOCOL.md describes the same protocol in prose.
package proto

import "time"

// Header names of caller requests, forwarded requests and answers.
const (
	HeaderKey        = "Baobab-Key"
	HeaderTenant     = "Baobab-Tenant"
	HeaderClass      = "Baobab-Class"
	HeaderRequestID  = "Baobab-Request-Id"
	HeaderDeadlineMs = "Baobab-Deadline-Ms"
	HeaderOutcome    = "Baobab-Outcome"
	HeaderUpstream   = "Baobab-Upstream"
	HeaderRange      = "Baobab-Range"
	HeaderEpoch      = "Baobab-Epoch"
	HeaderHost       = "Baobab-Host"
)

// Outcome tells whether a request was executed.
type Outcome string

const (
	// OutcomeDone means that an upstream executed the request and its whole answer is known.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no upstream executed the request, so a resend is safe.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have executed the request.
	OutcomeUnknown Outcome = "unknown"
)

// Timing of grants and announcements.
const (
	// GrantTTL is counted by the upstream from the moment it sent its announcement.
	GrantTTL = 900 * time.Millisecond
	// AnnounceInterval is the time between two announcements of one upstream.
	AnnounceInterval = 200 * time.Millisecond
	// DriftMarginPercent bounds the difference of clock rates between two hosts.
	DriftMarginPercent = 2
)

// WithDrift lengthens d by the clock-drift margin.
func WithDrift(d time.Duration) time.Duration {
	return d + d*DriftMarginPercent/100
}

// Fence names one assignment of a range. An upstream accepts a keyed request only if it holds the fence.
type Fence struct {
	// Range is the identifier of the range; identifiers are never reused.
	Range uint64 `json:"range"`
	// Epoch grows with every assignment, over all ranges.
	Epoch uint64 `json:"epoch"`
}

// Announcement is sent by an upstream to any entry host every AnnounceInterval.
type Announcement struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	// Slots is the number of requests that the upstream runs at once; at least 1.
	Slots int `json:"slots"`
	// Incarnation grows with each start of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// ChecksGrants is false for an upstream that runs whatever it receives.
	ChecksGrants bool `json:"checks_grants"`
	Draining     bool `json:"draining"`
	InFlight     int  `json:"in_flight"`
	// Released lists fences that the upstream gave back after its last request on them ended.
	Released []Fence `json:"released,omitempty"`
	// Sequence grows with each announcement of an incarnation, so that a late one is noticed; 0 if it isn't counted.
	Sequence uint64 `json:"sequence,omitempty"`
	// Rows is set by an upstream that lists what it holds or still works on in place of Released.
	Rows *[]Row `json:"rows,omitempty"`
	// Handovers lists what was given back since the last acknowledged announcement.
	Handovers []Row `json:"handovers,omitempty"`
	// Gone is true if the upstream left without draining. It keeps what it holds until the end of its grant.
	Gone bool `json:"gone,omitempty"`
}

// Row is a part of the space of positions that an upstream holds, with both ends included.
type Row struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	Epoch uint64 `json:"epoch,omitempty"`
	// Handover is a token of the last holder that spares the next one a cold start.
	Handover string `json:"handover,omitempty"`
}

// Overlaps tells whether the row shares a position with first to last.
func (r Row) Overlaps(first, last uint64) bool { return r.First <= last && first <= r.Last }

// Grant answers an announcement. It replaces every earlier grant of the same incarnation.
type Grant struct {
	// TTLMs is counted from the moment the upstream sent the announcement.
	TTLMs int64 `json:"ttl_ms"`
	// NextMs is the time after which the upstream should announce itself again.
	NextMs int64 `json:"next_ms"`
	// Fences lists every range that the upstream owns.
	Fences []Fence `json:"fences"`
	// Releasing lists ranges to give back: finish their requests, accept no new ones.
	Releasing []Fence `json:"releasing,omitempty"`
	// Drained is true once a draining upstream owns nothing and receives no new work.
	Drained bool `json:"drained"`
	// Rows answers an announcement with Rows: everything that the upstream is to hold, sorted. Nil renews nothing.
	Rows []Row `json:"rows"`
	// Leaving is true once the state says that the upstream leaves, so that no successor of the leader forgets it.
	Leaving bool `json:"leaving,omitempty"`
	// Awaiting is true while the answer may be kept back because ranges of the service move.
	Awaiting bool `json:"awaiting,omitempty"`
}
