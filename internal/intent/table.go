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
	// takes 1.7 MB in each snapshot when every plan stops a data centre with 10 services.
	MaxRecords = 1024
	// MaxHistory is the largest number of accepted changes that the refusal of a stale plan can list.
	MaxHistory = 64
	// maxClockSkewMs is how far the time in an ID may be ahead of Table.NowMs. Records are evicted in the order of their
	// IDs, so an ID far ahead would stay in the table and displace current ones.
	maxClockSkewMs = 5 * 60 * 1000
)

// Change is an accepted intent.
type Change struct {
	// Revision is the settings revision that the change created.
	Revision uint64   `json:"revision"`
	IntentID string   `json:"intent_id"`
	Operator string   `json:"operator"`
	Changes  []string `json:"changes"`
}

// typedError is an alias for embedding: an embedded field named Error would conflict with the method Error.
type typedError = proto.Error

// Refusal is a typed error with the information that an operator needs to plan again.
type Refusal struct {
	typedError
	// Winner is the first change that was accepted after the plan's revision.
	Winner *Change `json:"winner,omitempty"`
	// Changes lists the changes since the plan's revision, oldest first. Omitted counts those that are no longer kept.
	Changes []Change `json:"changes,omitempty"`
	Omitted int      `json:"omitted,omitempty"`
}

// Confirmation is the result of an accepted confirmation.
type Confirmation struct {
	Change
	// Version is the log index of the change. The change is in force on each daemon with at least this table version.
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
	// Horizon is the largest ID that was evicted. An ID up to the horizon that has no record is never planned or executed.
	Horizon string `json:"horizon"`
	// History holds the latest accepted changes, oldest first.
	History []Change `json:"history"`
	// NowMs is the largest wall-clock time of any applied plan command, in milliseconds since the Unix epoch.
	NowMs int64 `json:"now_ms"`

	// ignoreRevision and ignoreStoredResults disable checks in tests that show which faults these checks prevent.
	ignoreRevision, ignoreStoredResults bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Records: map[string]Record{}}
}

// Plan plans an intent, or returns the stored result if its ID was planned before.
func (t *Table) Plan(in Intent, s *model.State, inputs PlanInputs, nowMs int64) Result {
	t.NowMs = max(t.NowMs, nowMs)
	if err := CheckForm(in); err != nil {
		return refusedResult(err)
	}
	if r, ok := t.Records[in.ID]; ok && !t.ignoreStoredResults {
		if !sameChange(r.Intent, in) {
			return refusedResult(proto.NotRun(CodeIntentReused, http.StatusConflict,
				"intent id %s was used for another intent", in.ID))
		}
		return r.Planned
	}
	if err := t.checkNewID(in.ID); err != nil {
		return refusedResult(err)
	}
	var r Result
	if err := Validate(in, s); err != nil {
		r = refusedResult(err)
	} else {
		p := NewPlan(in, s, inputs)
		r = Result{Plan: &p}
	}
	t.Records[in.ID] = Record{Intent: in, Planned: r}
	t.evictOldest()
	return r
}

func (t *Table) checkNewID(id string) *proto.Error {
	idMs, err := claim.IDTime(id)
	if err != nil || idMs > t.NowMs+maxClockSkewMs {
		return badRequest("id: its time is more than 5 minutes ahead")
	}
	if id <= t.Horizon {
		return expiredError(id)
	}
	return nil
}

// evictOldest deletes the records with the smallest IDs once there are more than MaxRecords. A new ID is refused for this
// only if it is itself among the smallest.
func (t *Table) evictOldest() {
	if len(t.Records) <= MaxRecords {
		return
	}
	ids := make([]string, 0, len(t.Records))
	for id := range t.Records {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	// Evicting an eighth at a time keeps the cost of sorting low. Hence 896 to 1,024 results are kept.
	for _, id := range ids[:MaxRecords/8] {
		delete(t.Records, id)
		t.Horizon = max(t.Horizon, id)
	}
}

// Confirm executes a plan, or returns the stored result if the plan was confirmed before. It also returns the new state,
// which is s unless the confirmation is accepted. index is the log index of the command.
func (t *Table) Confirm(id, operator string, s *model.State, index uint64) (Result, *model.State) {
	if err := CheckID(id); err != nil {
		return refusedResult(err), s
	}
	if !isValidName(operator) {
		return refusedResult(badRequest("operator: expected a name of letters, digits, '.', '-' and '_'")), s
	}
	r, ok := t.Records[id]
	switch {
	case !ok && id <= t.Horizon:
		return refusedResult(expiredError(id)), s
	case !ok:
		return refusedResult(proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "no plan has the id %s", id)), s
	case r.Confirmed != nil && !t.ignoreStoredResults:
		return *r.Confirmed, s
	case r.Planned.Plan == nil:
		return r.Planned, s
	}
	result, next := t.executePlan(r, operator, s, index)
	r.Confirmed = &result
	t.Records[id] = r
	return result, next
}

func (t *Table) executePlan(r Record, operator string, s *model.State, index uint64) (Result, *model.State) {
	p := r.Planned.Plan
	if p.Revision != s.Revision && !t.ignoreRevision {
		return Result{Refusal: t.stalePlanRefusal(p, s.Revision)}, s
	}
	// Replacing a lost disk changes the group without a new revision, so the intent is validated again.
	if r.Intent.Members != nil {
		if err := Validate(r.Intent, s); err != nil {
			return refusedResult(err), s
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

// stalePlanRefusal returns the refusal of a plan that is based on an older revision. A single change accepted since the
// plan means a race between two operators and is reported as a conflict; after several changes, the plan is reported as
// stale and the operator should review the whole list.
func (t *Table) stalePlanRefusal(p *Plan, revision uint64) *Refusal {
	out := &Refusal{}
	for _, c := range t.History {
		if c.Revision > p.Revision {
			out.Changes = append(out.Changes, c)
		}
	}
	out.Omitted = int(revision-p.Revision) - len(out.Changes)
	if out.Omitted == 0 && len(out.Changes) > 0 {
		winner := out.Changes[0]
		out.Winner = &winner
	}
	if revision == p.Revision+1 && out.Winner != nil {
		out.typedError = *proto.NotRun(proto.CodeConflict, http.StatusConflict,
			"intent %s of %s was confirmed first on revision %d", out.Winner.IntentID, out.Winner.Operator, p.Revision)
		return out
	}
	out.typedError = *proto.NotRun(proto.CodeStalePlan, http.StatusConflict,
		"the plan is based on revision %d, the settings are at %d", p.Revision, revision)
	return out
}

func expiredError(id string) *proto.Error {
	return proto.NotRun(CodeIntentExpired, http.StatusGone,
		"the result of intent %s is no longer kept; this request changed nothing", id)
}

func refusedResult(err *proto.Error) Result { return Result{Refusal: &Refusal{typedError: *err}} }

// Error implements the error interface. The text includes the outcome, which states whether anything was changed.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Outcome) + "): " + r.Message
}
