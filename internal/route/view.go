package route

import (
	"sync"
	"time"
)

// View is the table of an entry host with its routing lease. It is safe for concurrent use.
type View struct {
	mu    sync.Mutex
	table *Table
	// leaseUntil is the end of the routing lease by the host's own clock.
	leaseUntil time.Duration
	daemons    []Daemon
	// inUse counts the keyed requests in flight per table version.
	inUse map[uint64]int
	// changed is closed and replaced with every new table.
	changed chan struct{}
}

// NewView returns a view without a lease.
func NewView() *View {
	return &View{table: &Table{}, inUse: map[uint64]int{}, changed: make(chan struct{})}
}

// Update takes the answer to a renewal sent at sentAt. A nil table keeps the present one, an older one is ignored.
func (v *View) Update(sentAt, ttl time.Duration, t *Table, ds []Daemon) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemons = ds
	if t != nil && t.Version > v.table.Version {
		v.table = t
		close(v.changed)
		v.changed = make(chan struct{})
	}
	v.leaseUntil = max(v.leaseUntil, sentAt+ttl)
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

// Leased tells whether the routing lease holds at the time now.
func (v *View) Leased(now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now < v.leaseUntil
}

// Use counts a keyed request routed by the version until the returned function is called. It returns false if
// the version is no longer the present one.
func (v *View) Use(version uint64) (func(), bool) {
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
