package claim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/claim"
)

const startMs = int64(1_790_000_000_000)

// referenceTable is a simple reference implementation of the claims table that never deletes anything.
type referenceTable struct {
	holders  map[string]string
	content  map[string]string
	answered map[string]bool
	// abandoned holds the last holder that abandoned each ID; it may not claim the ID again.
	abandoned map[string]string
}

func newReferenceTable() *referenceTable {
	return &referenceTable{
		holders: map[string]string{}, content: map[string]string{}, answered: map[string]bool{}, abandoned: map[string]string{},
	}
}

func (t *referenceTable) claim(id, content, holder string) claim.Status {
	switch {
	case t.holders[id] == "" && t.abandoned[id] == holder:
		return claim.StatusHeld
	case t.holders[id] == "":
		t.holders[id], t.content[id] = holder, content
		return claim.StatusGranted
	case t.content[id] != content:
		return claim.StatusReused
	case t.answered[id]:
		return claim.StatusDone
	case t.holders[id] == holder:
		return claim.StatusGranted
	}
	return claim.StatusHeld
}

func (t *referenceTable) abandon(id, holder string) {
	if t.holders[id] == "" || (t.holders[id] == holder && !t.answered[id]) {
		delete(t.holders, id)
		t.abandoned[id] = holder
	}
}

// Guards against a second execution of one request ID: claims, resends, abandonments and answers of several hosts in any
// order must give the same results as a table that never deletes anything.
func TestClaimsMatchReferenceTable(t *testing.T) {
	for seed := range uint64(500) {
		runRandomClaims(t, seed)
	}
}

func runRandomClaims(t *testing.T, seed uint64) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(seed, 2))
	table, reference := claim.NewTable(), newReferenceTable()
	now := startMs
	ids := make([]string, 5)
	for i := range ids {
		ids[i] = claim.NewID(now, []byte(fmt.Sprintf("%010d", i)))
	}
	for range 60 {
		now += int64(r.IntN(20_000)) // 60 steps stay within the retention
		id := ids[r.IntN(len(ids))]
		holder := fmt.Sprintf("host-%d", r.IntN(3))
		content := "content"
		if r.IntN(10) == 0 {
			content = "other"
		}
		switch r.IntN(6) {
		case 0:
			table.Abandon(id, holder, now)
			reference.abandon(id, holder)
		case 1:
			table.Record(id, holder, claim.Answer{HTTPStatus: 201})
			if reference.holders[id] == holder {
				reference.answered[id] = true
			}
		default:
			is.Equal(table.Claim(id, content, holder, now).Status, reference.claim(id, content, holder))
		}
	}
}

// Guards against a claim that arrives after its holder abandoned the ID and then blocks the ID permanently.
func TestClaimAfterAbandonmentIsNotGranted(t *testing.T) {
	is := is.New(t)
	table := claim.NewTable()
	id := claim.NewID(startMs, make([]byte, 10))
	table.Claim(claim.NewID(startMs, []byte("0123456789")), "c", "x", startMs)
	table.Abandon(id, "a", startMs)
	is.Equal(table.Claim(id, "c", "a", startMs).Status, claim.StatusHeld)
	is.Equal(table.Claim(id, "c", "b", startMs).Status, claim.StatusGranted)
	table.Abandon(id, "a", startMs)
	is.Equal(table.Claim(id, "c", "d", startMs).Status, claim.StatusHeld)
}

// Guards against a second execution of a request whose claim was deleted: an ID older than the retention is never granted
// again.
func TestExpiredIDIsNeverGranted(t *testing.T) {
	is := is.New(t)
	table := claim.NewTable()
	id := claim.NewID(startMs, make([]byte, 10))
	is.Equal(table.Claim(id, "c", "a", startMs).Status, claim.StatusGranted)
	later := startMs + claim.Retention.Milliseconds() + 1
	is.Equal(table.Claim(id, "c", "b", later).Status, claim.StatusExpired)
	is.Equal(len(table.Records), 0)
	is.Equal(table.Claim(id, "c", "b", startMs).Status, claim.StatusExpired) // the table's time never decreases
}

// Guards against an ID whose time is so far ahead that its claim would be kept far beyond the retention.
func TestFutureIDIsRefused(t *testing.T) {
	is := is.New(t)
	id := claim.NewID(startMs+time.Hour.Milliseconds(), make([]byte, 10))
	is.Equal(claim.NewTable().Claim(id, "c", "a", startMs).Status, claim.StatusExpired)
}

// Guards against request IDs that carry no time.
func TestIDTimeAcceptsOnlyUUIDv7(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{
		"", "x", "018f0000-0000-4000-8000-000000000001", "018f0000-0000-7000-c000-000000000001",
		"018f0000-0000-7000-8000-00000000000g", "018f00000000-7000-8000-0000000000001",
	} {
		_, err := claim.IDTime(id)
		is.True(err != nil)
	}
	idMs, err := claim.IDTime(claim.NewID(startMs, make([]byte, 10)))
	is.NoErr(err)
	is.Equal(idMs, startMs)
}
