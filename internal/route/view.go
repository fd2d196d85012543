package route

import (
	"sync"
	"time"

	"baobabreach/internal/model"

	"github.com/cespare/xxhash/v2"
)

// View is an entry host's copy of the routing table together with its routing lease. It is safe for concurrent use.
type View struct {
	mu    sync.Mutex
	table *Table
	// leaseEnd is the end of the routing lease on the host's own clock.
	leaseEnd time.Duration
	daemons  []Daemon
	// hostCount is the number of hosts with a lease, for updates that carry no list of daemons.
	hostCount int
	// inFlight counts the keyed requests in flight per table version.
	inFlight map[uint64]int
	// changed is closed and replaced with every new table.
	changed chan struct{}
	meter   *loadMeter
	// updatedAt is the time at which the host sent the renewal that returned the last update.
	updatedAt time.Duration
	// leavingSince is the earliest time at which each leaving upstream of the table may have started to leave, by name. Its
	// grace period starts then.
	leavingSince map[string]time.Duration
	// leavingGrace is the grace period of owners that leave.
	leavingGrace time.Duration
	// provisional is true for a table that did not come from a leader.
	provisional bool
	// reportedAt is the time of the last load report.
	reportedAt time.Duration
}

// NewView returns a view without a lease.
func NewView() *View {
	return &View{
		table: &Table{}, inFlight: map[uint64]int{}, changed: make(chan struct{}), meter: newLoadMeter(),
		leavingSince: map[string]time.Duration{}, leavingGrace: defaultLeavingGrace,
	}
}

// leavingGraceShare is the share of the time for which a leaving upstream goes on serving in which it gets requests.
const leavingGraceShare = 0.8

// SetDrainTime sets the time for which a leaving upstream goes on serving. It shortens the grace period of owners that leave
// if it is short.
func (v *View) SetDrainTime(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leavingGrace = min(defaultLeavingGrace, time.Duration(leavingGraceShare*float64(d)))
}

// LeavingGrace returns how long the owner of a key still gets requests once this host knows that it leaves.
func (v *View) LeavingGrace() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leavingGrace
}

// Update is the content of the answer to a lease renewal.
type Update struct {
	// TTL is counted from the time at which the renewal was sent.
	TTL time.Duration
	// Version is the version of the leader's table. At most one of Table and Delta is set.
	Version uint64
	Table   *Table
	Delta   *Delta
	// Daemons is nil if the list has not changed.
	Daemons []Daemon
	// HostCount is the number of hosts with a lease; 0 if the leader sends the list of daemons instead.
	HostCount int
}

// Update applies the answer to a renewal sent at sentAt. A table that is not newer than the current one is ignored. The
// lease is extended only if the current table is then at least as new as the leader's: with a lease and an older table,
// the host could route to an owner whose range the leader has already given to another upstream.
func (v *View) Update(sentAt time.Duration, u Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Daemons != nil {
		v.daemons = u.Daemons
	}
	if u.HostCount > 0 {
		v.hostCount = u.HostCount
	}
	t := u.Table
	if u.Delta != nil {
		t, _ = v.table.WithDelta(u.Delta)
	}
	gap := sentAt - v.updatedAt
	upToDate := v.table.Version > 0 && gap <= maxUpdateGap
	v.updatedAt = max(v.updatedAt, sentAt)
	if t != nil && t.Version > v.table.Version {
		v.table = t
		v.updateLeavingSince(sentAt, upToDate)
		close(v.changed)
		v.changed = make(chan struct{})
	}
	if v.table.Version >= u.Version {
		v.provisional = false
		v.leaseEnd = max(v.leaseEnd, sentAt+u.TTL)
	}
}

// SetProvisional sets a provisional table from a replica that is not the leader. It may be a few changes old and gives no
// lease. SetProvisional returns false if the host already has a table or t is empty.
func (v *View) SetProvisional(sentAt time.Duration, t *Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table.Version > 0 || t.Version == 0 {
		return false
	}
	v.table, v.provisional = t, true
	v.updateLeavingSince(sentAt, false)
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// Provisional reports whether the current table was set by SetProvisional.
func (v *View) Provisional() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.provisional
}

const (
	// maxUpdateGap is the longest time between two renewals of a host that follows all changes: a renewal waits up to 1 s
	// for a change, and its answer has to arrive.
	maxUpdateGap = 1500 * time.Millisecond
	// defaultLeavingGrace is how long the owner of a key still gets requests after the host sent the renewal whose answer
	// reported that the owner is leaving. The owner keeps serving for 2 s after its announcement was acknowledged.
	defaultLeavingGrace = 1600 * time.Millisecond
)

// updateLeavingSince records when the upstreams of a new table may have started to leave. A host that has not followed all
// changes can't know this, so it treats their grace period as over.
func (v *View) updateLeavingSince(sentAt time.Duration, upToDate bool) {
	for name := range v.leavingSince {
		if v.table.Upstreams[name].LeavingSince == 0 {
			delete(v.leavingSince, name)
		}
	}
	for name, u := range v.table.Upstreams {
		if _, ok := v.leavingSince[name]; ok || u.LeavingSince == 0 {
			continue
		}
		v.leavingSince[name] = sentAt
		if !upToDate {
			v.leavingSince[name] = sentAt - v.leavingGrace
		}
	}
}

// MayRouteTo reports whether the owner of a key may still get requests for it. An owner that leaves gets them only for
// the grace period.
func (v *View) MayRouteTo(now time.Duration, u model.Upstream) bool {
	if u.LeavingSince == 0 {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	since, ok := v.leavingSince[u.Name]
	return ok && now < since+v.leavingGrace
}

// Table returns the current table and a channel that is closed when a newer one arrives.
func (v *View) Table() (*Table, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, v.changed
}

// Daemons returns the daemons that were live at the last renewal.
func (v *View) Daemons() []Daemon {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemons
}

// HostCount returns the number of hosts with a routing lease at the last renewal.
func (v *View) HostCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.hostCount, len(v.daemons))
}

// Leased reports whether the routing lease is valid at the time now.
func (v *View) Leased(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now < v.leaseEnd
}

// LeaseLeft returns the time until the routing lease ends; 0 or less if it has ended. Once the lease has ended, requests
// in flight to an upstream that doesn't check grants must be cancelled.
func (v *View) LeaseLeft(now time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaseEnd - now
}

// BeginRequest counts a keyed request routed by the given table version as in flight until the returned function is
// called. It returns false if the version is no longer the current one.
func (v *View) BeginRequest(version uint64) (func(), bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table.Version != version {
		return nil, false
	}
	v.inFlight[version]++
	return func() { v.endRequest(version) }, true
}

func (v *View) endRequest(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight[version]--
	if v.inFlight[version] == 0 {
		delete(v.inFlight, version)
	}
}

// Versions returns the table version for new requests and the oldest version that requests in flight still use.
func (v *View) Versions() (current, oldest uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	oldest = v.table.Version
	for version := range v.inFlight {
		oldest = min(oldest, version)
	}
	return v.table.Version, oldest
}

// Record counts a keyed request that occupied a slot of the range's owner for elapsed.
func (v *View) Record(now time.Duration, service string, hash, rangeID uint64, elapsed time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.meter.addKey(now, service, hash, rangeID, elapsed)
}

// RecordPosition counts a request for a key of an ordered service. It does not count keys one by one, because the ranges
// of ordered services are divided without regard to single keys.
func (v *View) RecordPosition(now time.Duration, a model.Assignment, position uint64, typical time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.meter.addPosition(now, a, position, typical, 1)
}

// RecordExtraTime adds the time by which a request counted by RecordPosition exceeded its typical duration.
func (v *View) RecordExtraTime(now time.Duration, a model.Assignment, position uint64, extra time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.meter.addPosition(now, a, position, extra, 0)
}

const (
	// reportInterval is the time between two load reports. A report with every renewal would take up to 10 KB/s.
	reportInterval = time.Second
	// hotReportInterval replaces reportInterval while a single range has a large share of this host's load.
	hotReportInterval = 300 * time.Millisecond
)

// HasHotRange reports whether the load is so uneven that the leader should get the next report early.
func (v *View) HasHotRange(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.meter.hasHotRange(now)
}

func (v *View) nextReportAt(now time.Duration) time.Duration {
	if v.meter.hasHotRange(now) {
		return v.reportedAt + hotReportInterval
	}
	return v.reportedAt + reportInterval
}

// Report returns the measured load at the time now, or nil if the next report is not due yet.
func (v *View) Report(now time.Duration) *Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reportedAt > 0 && now < v.nextReportAt(now) {
		return nil
	}
	v.reportedAt = now
	l := v.meter.report(now)
	return &l
}

// HashDaemons returns a hash that identifies a list of daemons.
func HashDaemons(ds []Daemon) uint64 {
	h := xxhash.New()
	for _, d := range ds {
		for _, s := range []string{d.Host, d.DataCentre, d.Control, d.Caller} {
			_, _ = h.WriteString(s)
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}
