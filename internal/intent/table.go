package intent

import (
	"net/http"
	"sort"

	"baobabreach/internal/claim"
	"baobabreach/internal/model"
	"baobabreach/pkg/proto"
)

const (
	// MaxRecords is the number of intents whose results are kept: about 2.5 hours at 9,700 changes a day. A full table
	// encodes to 1.7 MB when every plan stops a data centre with 10 services; snapshots carry it.
	MaxRecords = 1024
	// MaxHistory is the number of accepted changes that a refusal of a stale plan can list.
	MaxHistory = 64
	// maxSkewMs is how far an id may lie ahead of the log's time. Ids are dropped in their own order, so an id far
	// ahead would keep its place and displace present ones.
	maxSkewMs = 5 * 60 * 1000
)

// Change is an accepted intent.
type Change struct {
	// Revision is the settings revision that the change made.
	Revision uint64   `json:"revision"`
	IntentID string   `json:"intent_id"`
	Operator string   `json:"operator"`
	Changes  []string `json:"changes"`
}

// typed is embedded under a name of its own, because a field named Error would hide the method.
type typed = proto.Error

// Refusal is a typed error with what an operator needs to decide again.
type Refusal struct {
	typed
	// Winner is the first change that was accepted after the plan's revision.
	Winner *Change `json:"winner,omitempty"`
	// Changes lists the changes since the plan's revision, oldest first; Omitted counts those no longer kept.
	Changes []Change `json:"changes,omitempty"`
	Omitted int      `json:"omitted,omitempty"`
}

// Confirmation is the result of an accepted confirmation.
type Confirmation struct {
	Change
	// Version is the log index of the change. A daemon with at least this table version has it in force.
	Version uint64 `json:"version"`
}

// Result is the result of a plan or confirm command. Exactly one field is set.
type Result struct {
	Plan         *Plan         `json:"plan,omitempty"`
	Confirmation *Confirmation `json:"confirmation,omitempty"`
	Refusal      *Refusal      `json:"refusal,omitempty"`
}

// Record holds the first result of an intent and of its confirmation.
type Record struct {
	Intent    Intent  `json:"intent"`
	Planned   Result  `json:"planned"`
	Confirmed *Result `json:"confirmed,omitempty"`
}

// Table holds the results of the latest intents. It is not safe for concurrent use.
type Table struct {
	Records map[string]Record `json:"records"`
	// Horizon is the largest id that was dropped. An id up to it that has no record is never planned or executed.
	Horizon string `json:"horizon"`
	// History holds the latest accepted changes, oldest first.
	History []Change `json:"history"`
	// NowMs is the log's time in milliseconds since the Unix epoch; it never goes back.
	NowMs int64 `json:"now_ms"`

	// ignoreRevision and ignoreStored switch the defences off in tests that show what they prevent.
	ignoreRevision, ignoreStored bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Records: map[string]Record{}}
}

// Plan plans an intent, or returns the first result of its id.
func (t *Table) Plan(in Intent, s *model.State, f PlanInputs, nowMs int64) Result {
	t.NowMs = max(t.NowMs, nowMs)
	if err := CheckForm(in); err != nil {
		return refused(err)
	}
	if r, ok := t.Records[in.ID]; ok && !t.ignoreStored {
		if !sameContent(r.Intent, in) {
			return refused(proto.NotRun(CodeIntentReused, http.StatusConflict, "intent id %s was used for another intent", in.ID))
		}
		return r.Planned
	}
	if err := t.checkNew(in.ID); err != nil {
		return refused(err)
	}
	var r Result
	if err := Validate(in, s); err != nil {
		r = refused(err)
	} else {
		p := New(in, s, f)
		r = Result{Plan: &p}
	}
	t.Records[in.ID] = Record{Intent: in, Planned: r}
	t.drop()
	return r
}

func (t *Table) checkNew(id string) *proto.Error {
	at, err := claim.IDTime(id)
	if err != nil || at > t.NowMs+maxSkewMs {
		return bad("id: its time is more than 5 minutes ahead")
	}
	if id <= t.Horizon {
		return expired(id)
	}
	return nil
}

// drop forgets the smallest ids beyond MaxRecords. Only a new id that is itself the smallest may be refused for it.
func (t *Table) drop() {
	if len(t.Records) <= MaxRecords {
		return
	}
	ids := make([]string, 0, len(t.Records))
	for id := range t.Records {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	// An eighth at a time keeps the cost of sorting low, so that 896 to 1,024 results are kept.
	for _, id := range ids[:MaxRecords/8] {
		delete(t.Records, id)
		t.Horizon = max(t.Horizon, id)
	}
}

// Confirm executes a plan, or returns the first result of its confirmation. It returns the state to be applied, which
// is s unless the confirmation is accepted. index is the log index of the command.
func (t *Table) Confirm(id, operator string, s *model.State, index uint64) (Result, *model.State) {
	if err := CheckID(id); err != nil {
		return refused(err), s
	}
	if !isName(operator) {
		return refused(bad("operator: expected a name of letters, digits, '.', '-' and '_'")), s
	}
	r, ok := t.Records[id]
	switch {
	case !ok && id <= t.Horizon:
		return refused(expired(id)), s
	case !ok:
		return refused(proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "no plan has the id %s", id)), s
	case r.Confirmed != nil && !t.ignoreStored:
		return *r.Confirmed, s
	case r.Planned.Plan == nil:
		return r.Planned, s
	}
	result, next := t.decide(r, operator, s, index)
	r.Confirmed = &result
	t.Records[id] = r
	return result, next
}

func (t *Table) decide(r Record, operator string, s *model.State, index uint64) (Result, *model.State) {
	p := r.Planned.Plan
	if p.Revision != s.Revision && !t.ignoreRevision {
		return Result{Refusal: t.outdated(p, s.Revision)}, s
	}
	// The group changes without a new revision when a lost disk is replaced, so its state is checked again.
	if r.Intent.Members != nil {
		if err := Validate(r.Intent, s); err != nil {
			return refused(err), s
		}
	}
	next := Apply(r.Intent, s).WithRevision(s.Revision + 1)
	c := Change{Revision: next.Revision, IntentID: p.ID, Operator: operator, Changes: p.Changes}
	t.History = append(t.History, c)
	if len(t.History) > MaxHistory {
		t.History = append([]Change(nil), t.History[len(t.History)-MaxHistory:]...)
	}
	return Result{Confirmation: &Confirmation{Change: c, Version: index}}, next
}

// outdated explains a plan that others overtook. One accepted change since the plan is a race between two
// operators, reported as a conflict; after several the operator should look at the whole list.
func (t *Table) outdated(p *Plan, revision uint64) *Refusal {
	out := &Refusal{}
	for _, c := range t.History {
		if c.Revision > p.Revision {
			out.Changes = append(out.Changes, c)
		}
	}
	out.Omitted = int(revision-p.Revision) - len(out.Changes)
	if out.Omitted == 0 && len(out.Changes) > 0 {
		w := out.Changes[0]
		out.Winner = &w
	}
	if revision == p.Revision+1 && out.Winner != nil {
		out.typed = *proto.NotRun(proto.CodeConflict, http.StatusConflict,
			"intent %s of %s was confirmed first on revision %d", out.Winner.IntentID, out.Winner.Operator, p.Revision)
		return out
	}
	out.typed = *proto.NotRun(proto.CodeStalePlan, http.StatusConflict,
		"the plan is based on revision %d, the settings are at %d", p.Revision, revision)
	return out
}

func expired(id string) *proto.Error {
	return proto.NotRun(CodeIntentExpired, http.StatusGone,
		"the result of intent %s is no longer kept; this request changed nothing", id)
}

func refused(err *proto.Error) Result { return Result{Refusal: &Refusal{typed: *err}} }

// Error implements the error interface and tells whether anything was changed.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Outcome) + "): " + r.Message
}
