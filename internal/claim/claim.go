// Package claim decides which host may send a non-idempotent request. It is part of the replicated state machine, so
// every replica applies the same commands in the same order.
package claim

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Retention is how long a claim is kept, counted from the time in its request ID.
const Retention = time.Hour

// maxClockSkew is how far the time in a request ID may be ahead of Table.NowMs.
const maxClockSkew = 5 * time.Minute

// Status is the result of a claim, abandonment or recorded answer.
type Status string

const (
	// StatusGranted means that the holder, and no other host, may send the request once.
	StatusGranted Status = "granted"
	// StatusHeld means that another holder may have sent the request and no outcome is recorded.
	StatusHeld Status = "held"
	// StatusDone means that the outcome is recorded.
	StatusDone Status = "done"
	// StatusExpired means that the time in the ID is too old or too far ahead to tell whether the request was sent.
	StatusExpired Status = "expired"
	// StatusReused means that the ID was used for a request with different content.
	StatusReused Status = "reused"
	// StatusRecorded acknowledges an abandonment or a recorded outcome.
	StatusRecorded Status = "recorded"
)

// Answer is the recorded answer of an upstream.
type Answer struct {
	HTTPStatus  int    `json:"http_status"`
	ContentType string `json:"content_type,omitempty"`
	// Body is nil if the body exceeded the size limit; BodyBytes is its full length.
	Body      []byte `json:"body,omitempty"`
	BodyBytes int    `json:"body_bytes"`
	Upstream  string `json:"upstream"`
}

// Record is the claim on one request ID.
type Record struct {
	Fingerprint string  `json:"fingerprint"`
	Holder      string  `json:"holder"`
	Answer      *Answer `json:"answer,omitempty"`
	// Abandoned is true once Holder promised never to send the request; any other holder may claim the ID, with any content.
	Abandoned bool `json:"abandoned,omitempty"`
}

// Result is the result of a command.
type Result struct {
	Status Status  `json:"status"`
	Holder string  `json:"holder,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// Table holds the claims. It is not safe for concurrent use.
type Table struct {
	Records map[string]Record `json:"records"`
	// NowMs is the largest wall-clock time of any applied claim or abandonment, in milliseconds since the Unix epoch.
	NowMs int64 `json:"now_ms"`
	// PrunedMs is the value of NowMs when expired claims were last deleted.
	PrunedMs int64 `json:"pruned_ms"`
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Records: map[string]Record{}}
}

// Claim requests the right to send the request. Repeating it with the same holder gives the same result.
func (t *Table) Claim(id, fingerprint, holder string, nowMs int64) Result {
	t.advanceClock(nowMs)
	if !t.withinRetention(id) {
		return Result{Status: StatusExpired}
	}
	r, ok := t.Records[id]
	switch {
	case ok && r.Abandoned && r.Holder == holder:
		// The holder's abandonment was applied before its claim.
		return Result{Status: StatusHeld, Holder: holder}
	case !ok || r.Abandoned:
		t.Records[id] = Record{Fingerprint: fingerprint, Holder: holder}
		return Result{Status: StatusGranted, Holder: holder}
	case r.Fingerprint != fingerprint:
		return Result{Status: StatusReused}
	case r.Answer != nil:
		return Result{Status: StatusDone, Holder: r.Holder, Answer: r.Answer}
	case r.Holder == holder:
		return Result{Status: StatusGranted, Holder: holder}
	}
	return Result{Status: StatusHeld, Holder: r.Holder}
}

// Abandon releases the claim. The holder promises that it never sent the request and never will. A claim of the holder
// that arrives after its abandonment is not granted.
func (t *Table) Abandon(id, holder string, nowMs int64) Result {
	t.advanceClock(nowMs)
	r, ok := t.Records[id]
	mayAbandon := r.Abandoned || (r.Holder == holder && r.Answer == nil)
	if (ok && mayAbandon) || (!ok && t.withinRetention(id)) {
		t.Records[id] = Record{Holder: holder, Abandoned: true}
	}
	return Result{Status: StatusRecorded}
}

// Record stores the answer so that resends of the request get it.
func (t *Table) Record(id, holder string, a Answer) Result {
	if r, ok := t.Records[id]; ok && r.Holder == holder && r.Answer == nil && !r.Abandoned {
		r.Answer = &a
		t.Records[id] = r
	}
	return Result{Status: StatusRecorded}
}

// withinRetention reports whether a claim on the ID would still be in the table if there had been one.
func (t *Table) withinRetention(id string) bool {
	idMs, err := IDTime(id)
	return err == nil && idMs >= t.NowMs-Retention.Milliseconds() && idMs <= t.NowMs+maxClockSkew.Milliseconds()
}

func (t *Table) advanceClock(nowMs int64) {
	t.NowMs = max(t.NowMs, nowMs)
	if t.NowMs-t.PrunedMs < Retention.Milliseconds()/60 {
		return
	}
	t.PrunedMs = t.NowMs
	for id := range t.Records {
		if idMs, err := IDTime(id); err != nil || idMs < t.NowMs-Retention.Milliseconds() {
			delete(t.Records, id)
		}
	}
}

// IDTime returns the time of a UUIDv7 in milliseconds since the Unix epoch.
func IDTime(id string) (int64, error) {
	if len(id) != 36 || id[8] != '-' || id[13] != '-' || id[18] != '-' || id[23] != '-' || id[14] != '7' {
		return 0, errors.New("not a UUIDv7")
	}
	b, err := hex.DecodeString(strings.ReplaceAll(id, "-", ""))
	if err != nil || len(b) != 16 || b[8]&0xc0 != 0x80 {
		return 0, errors.New("not a UUIDv7")
	}
	var ms int64
	for _, octet := range b[:6] {
		ms = ms<<8 | int64(octet)
	}
	return ms, nil
}

// NewID returns a UUIDv7 for the given time. random must have at least 10 bytes.
func NewID(nowMs int64, random []byte) string {
	var b [16]byte
	for i := range 6 {
		b[i] = byte(nowMs >> (40 - 8*i))
	}
	copy(b[6:], random)
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	h := hex.EncodeToString(b[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}
