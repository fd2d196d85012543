// Package proto defines the messages and headers exchanged with callers and upstreams.
// docs/PROTOCOL.md describes the same protocol in prose.
package proto

import "time"

// Header names of caller requests, forwarded requests and responses.
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

// Outcome reports whether a request was executed.
type Outcome string

const (
	// OutcomeDone means that an upstream executed the request and its whole response is known.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no upstream executed the request, so that a retry is safe.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have executed the request.
	OutcomeUnknown Outcome = "unknown"
)

// Timing of grants and announcements.
const (
	// GrantTTL is the validity of a grant. The upstream counts it from the time it sent the announcement.
	GrantTTL = 900 * time.Millisecond
	// AnnounceInterval is the time between two announcements of one upstream.
	AnnounceInterval = 200 * time.Millisecond
	// DriftMarginPercent bounds the difference between the clock rates of two hosts.
	DriftMarginPercent = 2
)

// WithDrift lengthens d by the clock-drift margin.
func WithDrift(d time.Duration) time.Duration {
	return d + d*DriftMarginPercent/100
}

// Fence identifies one assignment of a range to an upstream. An upstream accepts a keyed request only if it holds the
// fence of the request.
type Fence struct {
	// Range is the identifier of the range; identifiers are never reused.
	Range uint64 `json:"range"`
	// Epoch increases with every assignment of any range.
	Epoch uint64 `json:"epoch"`
}

// Announcement is sent by an upstream every AnnounceInterval, to any entry host.
type Announcement struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	// Slots is the number of requests that the upstream runs concurrently; at least 1.
	Slots int `json:"slots"`
	// Incarnation increases with each start of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// ChecksGrants is false for an upstream that runs every request it receives.
	ChecksGrants bool `json:"checks_grants"`
	Draining     bool `json:"draining"`
	InFlight     int  `json:"in_flight"`
	// Released lists fences that the upstream released after its last request under them ended.
	Released []Fence `json:"released,omitempty"`
	// Sequence increases with each announcement of an incarnation, so that a delayed one is detected. 0 disables the check.
	Sequence uint64 `json:"sequence,omitempty"`
	// Rows lists every interval that the upstream holds or still runs requests for. Upstreams that report it leave
	// Released empty.
	Rows *[]Row `json:"rows,omitempty"`
	// Handovers lists the intervals released since the last acknowledged announcement, each with its handover token.
	Handovers []Row `json:"handovers,omitempty"`
	// Gone is true if the upstream left without draining. Its ranges stay assigned to it until its grant expires.
	Gone bool `json:"gone,omitempty"`
}

// Row is an interval of key positions that an upstream holds. First and Last are inclusive.
type Row struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	Epoch uint64 `json:"epoch,omitempty"`
	// Handover is a token from the previous holder that lets the next one avoid a cold start.
	Handover string `json:"handover,omitempty"`
}

// Overlaps reports whether the row and the interval from first to last, both inclusive, share a position.
func (r Row) Overlaps(first, last uint64) bool { return r.First <= last && first <= r.Last }

// Grant is the response to an announcement. It replaces every earlier grant of the same incarnation.
type Grant struct {
	// TTLMs is counted from the time the upstream sent the announcement.
	TTLMs int64 `json:"ttl_ms"`
	// NextMs is the time after which the upstream should announce itself again.
	NextMs int64 `json:"next_ms"`
	// Fences lists every range that the upstream owns.
	Fences []Fence `json:"fences"`
	// Releasing lists ranges to release: finish their running requests, accept no new ones.
	Releasing []Fence `json:"releasing,omitempty"`
	// Drained is true once a draining upstream owns nothing and receives no new work.
	Drained bool `json:"drained"`
	// Rows is the response to an announcement with Rows: every interval that the upstream should hold, sorted. Nil
	// renews nothing.
	Rows []Row `json:"rows"`
	// Leaving is true once the replicated state records that the upstream leaves, so that a new leader knows it too.
	Leaving bool `json:"leaving,omitempty"`
	// Awaiting is true while the response may be delayed because ranges of the service are moving.
	Awaiting bool `json:"awaiting,omitempty"`
}
