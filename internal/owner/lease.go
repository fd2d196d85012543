package owner

import (
	"encoding/binary"
	"encoding/json"

	"baobabreach/internal/poison"
	"baobabreach/internal/route"

	"github.com/go-faster/errors"
)

// Renewal is sent by an entry host to the leader.
type Renewal struct {
	Daemon route.Daemon `json:"daemon"`
	// TableVersion is the version of the table that new requests use.
	TableVersion uint64 `json:"table_version"`
	// OldestVersion is the oldest table version that a keyed request in flight was routed by.
	OldestVersion uint64 `json:"oldest_version"`
	// SuspectsVersion is the version of the list of suspects in use.
	SuspectsVersion uint64 `json:"suspects_version"`
	// Revision is the settings revision of the table, for operators' queries.
	Revision uint64 `json:"revision"`
	// Load is nil in most renewals; the last report stays in use.
	Load *route.Load `json:"load,omitempty"`
	// DaemonsSum identifies the list of daemons that the host has.
	DaemonsSum uint64 `json:"daemons_sum"`
	// Demand is in requests per second by limit key.
	Demand map[string]float64 `json:"demand,omitempty"`
	// WaitMs is how long the leader may keep the answer back while there is no newer table.
	WaitMs int64 `json:"wait_ms,omitempty"`
	// Compact asks for Lease.Packed and Lease.HostCount in place of Table, Delta and Daemons.
	Compact bool `json:"compact,omitempty"`
}

// Versions tells what a host has of the leader's state.
type Versions struct {
	Table    uint64 `json:"table"`
	Suspects uint64 `json:"suspects"`
}

// Lease answers a Renewal.
type Lease struct {
	// TTLMs is counted from the moment the entry host sent the renewal.
	TTLMs   int64  `json:"ttl_ms"`
	Version uint64 `json:"version"`
	// Table or Delta is set if the host's table is older than Version, whichever is smaller.
	Table *route.Table `json:"table,omitempty"`
	Delta *route.Delta `json:"delta,omitempty"`
	// Packed holds Table or Delta as made by route.Pack.
	Packed []byte `json:"-"`
	// HostCount is the number of hosts with a lease.
	HostCount int `json:"host_count,omitempty"`
	// Daemons is nil if the host has the present list.
	Daemons []route.Daemon `json:"daemons,omitempty"`
	// Suspects is nil if the host has the present list.
	Suspects *poison.List `json:"suspects,omitempty"`
	// Shares of the limits, in requests per second by limit key; valid as long as the lease.
	Shares map[string]float64 `json:"shares,omitempty"`
}

// leaseHead is the length of the number that comes before the JSON part of a packed lease.
const leaseHead = 4

// MarshalBinary encodes the lease as the length of a JSON part, that part, and Packed as it is: base64 would cost hosts
// with a link of 2 Mbit/s a third more time for a table.
func (l Lease) MarshalBinary() ([]byte, error) {
	packed := l.Packed
	l.Packed = nil
	b, err := json.Marshal(l)
	if err != nil {
		return nil, errors.Wrap(err, "encode lease")
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, leaseHead+len(b)+len(packed)), uint32(len(b)))
	return append(append(out, b...), packed...), nil
}

// UnmarshalBinary decodes what MarshalBinary made.
func (l *Lease) UnmarshalBinary(b []byte) error {
	if len(b) < leaseHead {
		return errors.New("lease is cut off")
	}
	n := uint64(binary.BigEndian.Uint32(b))
	if b = b[leaseHead:]; uint64(len(b)) < n {
		return errors.New("lease is cut off")
	}
	*l = Lease{}
	if err := json.Unmarshal(b[:n], l); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	if len(b[n:]) > 0 {
		l.Packed = b[n:]
	}
	return nil
}
