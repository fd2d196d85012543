package route

import (
	"sync"
	"time"

	"baobabreach/internal/model"

	"github.com/cespare/xxhash/v2"
)

// View is the table of an entry host with its routing lease. It is safe for concurrent use.
type View struct {
	mu    sync.Mutex
	table *Table
	// leaseUntil is the end of the routing lease by the host's own clock.
	leaseUntil time.Duration
	daemons    []Daemon
	// hosts is the number of hosts with a lease where the list of daemons is not sent.
	hosts int
	// inUse counts the keyed requests in flight per table version.
	inUse map[uint64]int
	// changed is closed and replaced with every new table.
	changed chan struct{}
	meter   *meter
	// updatedAt is when the renewal of the last update was sent, and leaving since when an upstream in the table may have
	// been leaving.
	updatedAt time.Duration
	leaving   map[string]time.Duration
	// provisional is true for a table that no leader gave.
	provisional bool
	// reported is the time of the last load report.
	reported time.Duration
}

// NewView returns a view without a lease.
func NewView() *View {
	return &View{
		table: &Table{}, inUse: map[uint64]int{}, changed: make(chan struct{}), meter: newMeter(),
		leaving: map[string]time.Duration{},
	}
}

// Update is what an entry host learns from the answer to a renewal.
type Update struct {
	// TTL is counted from the moment the renewal was sent.
	TTL time.Duration
	// Version is the version of the leader's table. At most one of Table and Delta is set.
	Version uint64
	Table   *Table
	Delta   *Delta
	// Daemons is nil if the list has not changed.
	Daemons []Daemon
	// HostCount is 0 if Daemons is used.
	HostCount int
}

// Update takes the answer to a renewal sent at sentAt. An older table is ignored. The lease is extended only if the
// present table is then at least as new as the leader's was: a lease with an older table would let the host route
// to owners that the leader no longer waits for.
func (v *View) Update(sentAt time.Duration, u Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Daemons != nil {
		v.daemons = u.Daemons
	}
	if u.HostCount > 0 {
		v.hosts = u.HostCount
	}
	t := u.Table
	if u.Delta != nil {
		t, _ = v.table.WithDelta(u.Delta)
	}
	gap := sentAt - v.updatedAt
	fresh := v.table.Version > 0 && gap <= maxUpdateGap
	v.updatedAt = max(v.updatedAt, sentAt)
	if t != nil && t.Version > v.table.Version {
		v.table = t
		v.noteLeaving(sentAt, fresh)
		close(v.changed)
		v.changed = make(chan struct{})
	}
	if v.table.Version >= u.Version {
		v.provisional = false
		v.leaseUntil = max(v.leaseUntil, sentAt+u.TTL)
	}
}

// SetProvisional takes the table of a replica that does not lead, which may be a few changes old. It returns false if the host
// has a table. Such a table gives no lease.
func (v *View) SetProvisional(sentAt time.Duration, t *Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table.Version > 0 || t.Version == 0 {
		return false
	}
	v.table, v.provisional = t, true
	v.noteLeaving(sentAt, false)
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// Provisional tells whether the table is one of Provide.
func (v *View) Provisional() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.provisional
}

const (
	// maxUpdateGap is the longest time between two renewals of a host that follows the changes: one that waits a second
	// for a change, and its answer.
	maxUpdateGap = 1500 * time.Millisecond
	// leavingUse is how long the owner of a key gets requests after the renewal was sent that told of its leave. It
	// serves for two seconds after that was acknowledged.
	leavingUse = 1600 * time.Millisecond
)

// noteLeaving notes since when the upstreams of a new table may have been leaving. A host that did not follow the changes
// before can't tell, so it takes them for long gone.
func (v *View) noteLeaving(sentAt time.Duration, fresh bool) {
	for name := range v.leaving {
		if v.table.Upstreams[name].LeavingSince == 0 {
			delete(v.leaving, name)
		}
	}
	for name, u := range v.table.Upstreams {
		if _, ok := v.leaving[name]; ok || u.LeavingSince == 0 {
			continue
		}
		v.leaving[name] = sentAt
		if !fresh {
			v.leaving[name] = sentAt - leavingUse
		}
	}
}

// MayRouteTo tells whether the owner of a key may still get requests for it: not for long once it leaves.
func (v *View) MayRouteTo(now time.Duration, u model.Upstream) bool {
	if u.LeavingSince == 0 {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	since, ok := v.leaving[u.Name]
	return ok && now < since+leavingUse
}

// Table returns the present table and a channel that is closed when a newer one arrives.
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
	return max(v.hosts, len(v.daemons))
}

// Leased tells whether the routing lease holds at the time now.
func (v *View) Leased(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now < v.leaseUntil
}

// LeaseLeft returns the time until the routing lease ends; 0 or less if it has ended. Requests in flight to an
// upstream that doesn't check grants must be cancelled once it has.
func (v *View) LeaseLeft(now time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaseUntil - now
}

// BeginRequest counts a keyed request routed by the version until the returned function is called. It returns false if
// the version is no longer the present one.
func (v *View) BeginRequest(version uint64) (func(), bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table.Version != version {
		return nil, false
	}
	v.inUse[version]++
	return func() { v.done(version) }, true
}

func (v *View) done(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inUse[version]--
	if v.inUse[version] == 0 {
		delete(v.inUse, version)
	}
}

// Versions returns the version of new requests and the oldest version still in use.
func (v *View) Versions() (present, oldest uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	oldest = v.table.Version
	for x := range v.inUse {
		oldest = min(oldest, x)
	}
	return v.table.Version, oldest
}

// Record counts a keyed request that occupied a slot of the range's owner for elapsed.
func (v *View) Record(now time.Duration, service string, hash, rangeID uint64, elapsed time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.meter.add(now, service, hash, rangeID, elapsed)
}

// RecordPosition counts a request for a key of an ordered service, whose ranges are cut without regard to single keys.
func (v *View) RecordPosition(now time.Duration, a model.Assignment, position uint64, usual time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.meter.addPosition(now, a, position, usual, 1)
}

// RecordExtraTime adds the time that a request counted by RecordPosition took longer than usual.
func (v *View) RecordExtraTime(now time.Duration, a model.Assignment, position uint64, more time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.meter.addPosition(now, a, position, more, 0)
}

const (
	// reportInterval is the time between two load reports. A report in each renewal would cost up to 10 KB/s.
	reportInterval = time.Second
	// hotInterval is the same while a range has much of the load of this host.
	hotInterval = 300 * time.Millisecond
)

// HasHotRange tells whether the load is so uneven that the leader should hear of it soon.
func (v *View) HasHotRange(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.meter.hot(now)
}

func (v *View) reportDue(now time.Duration) time.Duration {
	if v.meter.hot(now) {
		return v.reported + hotInterval
	}
	return v.reported + reportInterval
}

// Report returns the measured load at the time now, or nil if the last report is younger than reportInterval.
func (v *View) Report(now time.Duration) *Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reported > 0 && now < v.reportDue(now) {
		return nil
	}
	v.reported = now
	l := v.meter.load(now)
	return &l
}

// HashDaemons identifies a list of daemons.
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
