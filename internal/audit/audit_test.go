package audit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/audit"
)

// Guards against an index that grows beyond the ring, and against queries that return an overwritten decision.
func TestRingEvictsOldestDecisions(t *testing.T) {
	is := is.New(t)
	const size = 8
	r := audit.New("a1", size)
	now := time.Unix(1_790_000_000, 0)
	for i := range 100 {
		r.Record(now, audit.Decision{
			Kind: audit.KindRouted, Service: "s", Key: fmt.Sprint("k", i%3), RequestID: fmt.Sprint("r", i), Upstream: "u",
		})
	}
	for i := range 100 {
		is.Equal(len(r.Find(audit.Query{RequestID: fmt.Sprint("r", i), Limit: 5})) == 1, i >= 100-size)
	}
	decisions := r.Find(audit.Query{Upstream: "u", Limit: 100})
	is.Equal(len(decisions), size)
	is.Equal(decisions[0].RequestID, "r99")
	is.Equal(decisions[size-1].RequestID, "r92")
	is.Equal(len(r.Find(audit.Query{Service: "s", Key: "k0", Limit: 100})), 3) // requests 93, 96 and 99 have the key k0
	is.Equal(r.Rates(now)["s"], 10.0)
	is.Equal(len(r.Rates(now.Add(11*time.Second))), 0)
}

// Guards against a query for a key that returns requests for other keys of the range, which could displace the moves of
// the range from a limited result, and against returning a decision twice because it matches several terms.
func TestKeyQueryReturnsItsRequestsAndTheMovesOfItsRange(t *testing.T) {
	is := is.New(t)
	r := audit.New("a1", 8)
	now := time.Unix(1_790_000_000, 0)
	r.Record(now, audit.Decision{Kind: audit.KindAssign, Range: 7, Upstream: "u"})
	r.Record(now, audit.Decision{Kind: audit.KindRouted, Service: "s", Key: "k", Range: 7, RequestID: "r1"})
	r.Record(now, audit.Decision{Kind: audit.KindRouted, Service: "s", Key: "other", Range: 7, RequestID: "r2"})
	decisions := r.Find(audit.Query{Service: "s", Key: "k", Range: 7, Limit: 5})
	is.Equal(len(decisions), 2)
	is.Equal(decisions[0].RequestID, "r1")
	is.Equal(decisions[1].Kind, audit.KindAssign)
}
