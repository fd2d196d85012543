// Package state is the replicated state machine. It applies committed commands to the model, the claims and the intents.
// Apply is deterministic and performs no I/O.
package state

import (
	"encoding/json"

	"baobabreach/internal/claim"
	"baobabreach/internal/errs"
	"baobabreach/internal/intent"
	"baobabreach/internal/model"

	"github.com/go-faster/errors"
)

// Command is one change. Exactly one field is set.
type Command struct {
	Register     *model.Upstream `json:"register,omitempty"`
	Remove       *Remove         `json:"remove,omitempty"`
	Assign       *Assign         `json:"assign,omitempty"`
	Release      *Release        `json:"release,omitempty"`
	Split        *Split          `json:"split,omitempty"`
	Merge        *Merge          `json:"merge,omitempty"`
	Leave        *Leave          `json:"leave,omitempty"`
	End          *End            `json:"end,omitempty"`
	Service      *model.Service  `json:"service,omitempty"`
	Limit        *model.Limit    `json:"limit,omitempty"`
	Claim        *Claim          `json:"claim,omitempty"`
	Abandon      *Abandon        `json:"abandon,omitempty"`
	Outcome      *Outcome        `json:"outcome,omitempty"`
	Plan         *PlanIntent     `json:"plan,omitempty"`
	Confirm      *ConfirmIntent  `json:"confirm,omitempty"`
	SplitInPlace *SplitInPlace   `json:"cut,omitempty"`
	Renumber     *Renumber       `json:"renumber,omitempty"`
	Items        *model.Change   `json:"items,omitempty"`
	Quarantine   *Quarantine     `json:"quarantine,omitempty"`
}

// Quarantine starts or ends the quarantine of content that crashes upstreams.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"`
	// UntilMs is the end of the quarantine by the leader's wall clock in milliseconds since the Unix epoch, or 0 to end it.
	UntilMs int64 `json:"until_ms"`
}

// Claim requests the right to send a non-idempotent request.
type Claim struct {
	ID          string `json:"id"`
	Fingerprint string `json:"fingerprint"`
	Holder      string `json:"holder"`
	// NowMs is the leader's wall clock in milliseconds since the Unix epoch.
	NowMs int64 `json:"now_ms"`
}

// Abandon releases a claim whose request was never sent.
type Abandon struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
	// NowMs is the leader's wall clock in milliseconds since the Unix epoch.
	NowMs int64 `json:"now_ms"`
}

// Outcome records the answer to a claimed request.
type Outcome struct {
	ID     string       `json:"id"`
	Holder string       `json:"holder"`
	Answer claim.Answer `json:"answer"`
}

// Result is the result of one command.
type Result struct {
	// Applied is false if the command no longer fits the state, for example because of a stale epoch.
	Applied bool          `json:"applied"`
	Claim   *claim.Result `json:"claim,omitempty"`
	// Intent is the result of a plan or a confirmation.
	Intent *intent.Result `json:"intent,omitempty"`
	// Invalid is the reason why a change of items was refused.
	Invalid string `json:"invalid,omitempty"`
}

// Machine holds the current state. It is not safe for concurrent use; the model it returns is immutable.
type Machine struct {
	model   *model.State
	claims  *claim.Table
	intents *intent.Table
	// rangesCopied is true while the current batch has its own copy of the model's ranges, which it may modify.
	rangesCopied bool
	// indexByID caches the index of each range; an entry may be stale.
	indexByID map[uint64]int
}

type snapshot struct {
	Model   *model.State  `json:"model"`
	Claims  *claim.Table  `json:"claims"`
	Intents *intent.Table `json:"intents"`
}

// New returns an empty state machine.
func New() *Machine {
	return &Machine{model: model.NewState(), claims: claim.NewTable(), intents: intent.NewTable()}
}

// Model returns the current model.
func (m *Machine) Model() *model.State { return m.model }

// ClaimCount returns the number of claims held.
func (m *Machine) ClaimCount() int { return len(m.claims.Records) }

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	b, err := json.Marshal(snapshot{Model: m.model, Claims: m.claims, Intents: m.intents})
	return b, errs.Wrap(err, "encode snapshot")
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(b []byte) error {
	s := snapshot{Model: model.NewState(), Claims: claim.NewTable(), Intents: intent.NewTable()}
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.model, m.claims, m.intents = s.Model, s.Claims, s.Intents
	return nil
}

// Encode encodes a batch of commands as one log entry.
func Encode(commands []Command) ([]byte, error) {
	b, err := json.Marshal(commands)
	return b, errs.Wrap(err, "encode commands")
}

// Apply applies the batch of one log entry and returns one result per command.
func (m *Machine) Apply(index uint64, data []byte) ([]Result, error) {
	var commands []Command
	if err := json.Unmarshal(data, &commands); err != nil {
		return nil, errors.Wrap(err, "decode commands")
	}
	before := m.model
	m.rangesCopied = false
	results := make([]Result, len(commands))
	for i, c := range commands {
		results[i] = m.apply(c, index)
	}
	if m.model != before {
		m.model = m.model.WithVersion(index)
	}
	return results, nil
}

func (m *Machine) apply(c Command, index uint64) Result {
	switch {
	case c.Claim != nil:
		r := m.claims.Claim(c.Claim.ID, c.Claim.Fingerprint, c.Claim.Holder, c.Claim.NowMs)
		return Result{Applied: true, Claim: &r}
	case c.Abandon != nil:
		r := m.claims.Abandon(c.Abandon.ID, c.Abandon.Holder, c.Abandon.NowMs)
		return Result{Applied: true, Claim: &r}
	case c.Outcome != nil:
		r := m.claims.Record(c.Outcome.ID, c.Outcome.Holder, c.Outcome.Answer)
		return Result{Applied: true, Claim: &r}
	case c.Register != nil || c.Remove != nil || c.Leave != nil || c.End != nil:
		return m.applyUpstream(index, c)
	case c.Service != nil || c.Limit != nil || c.Items != nil || c.Quarantine != nil:
		return m.applySettings(c)
	case c.isRangeCommand():
		return m.applyRange(index, c)
	case c.Plan != nil:
		return m.planIntent(*c.Plan)
	case c.Confirm != nil:
		return m.confirmIntent(*c.Confirm, index)
	}
	return Result{}
}

func (c Command) isRangeCommand() bool {
	return c.Assign != nil || c.Release != nil || c.Split != nil || c.Merge != nil || c.SplitInPlace != nil || c.Renumber != nil
}

func (m *Machine) applyUpstream(index uint64, c Command) Result {
	switch {
	case c.Register != nil:
		return m.register(*c.Register)
	case c.Remove != nil:
		return m.remove(index, *c.Remove)
	case c.End != nil:
		return m.end(index, *c.End)
	}
	return m.leave(index, *c.Leave)
}

func (m *Machine) applySettings(c Command) Result {
	switch {
	case c.Service != nil:
		return m.setModel(m.model.WithService(*c.Service))
	case c.Limit != nil:
		return m.setModel(m.model.WithLimit(*c.Limit))
	case c.Quarantine != nil:
		return m.setModel(m.model.WithQuarantine(c.Quarantine.Fingerprint, c.Quarantine.UntilMs))
	}
	return m.changeItems(*c.Items)
}

// changeItems applies a change of items atomically. A change whose versions are all outdated counts as applied but has no
// effect.
func (m *Machine) changeItems(c model.Change) Result {
	s, changed, err := m.model.WithChange(c)
	if err != nil {
		return Result{Invalid: err.Error()}
	}
	if changed {
		m.model, m.rangesCopied = s, false
	}
	return Result{Applied: true}
}

func (m *Machine) setModel(s *model.State) Result {
	m.model = s
	return Result{Applied: true}
}
