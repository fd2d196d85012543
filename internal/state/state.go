// Package state is the replicated state machine: it applies committed commands to the model and the claims.
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
	Register *model.Upstream `json:"register,omitempty"`
	Remove   *Remove         `json:"remove,omitempty"`
	Assign   *Assign         `json:"assign,omitempty"`
	Release  *Release        `json:"release,omitempty"`
	Service  *model.Service  `json:"service,omitempty"`
	Limit    *model.Limit    `json:"limit,omitempty"`
	Claim    *Claim          `json:"claim,omitempty"`
	Abandon  *Abandon        `json:"abandon,omitempty"`
	Outcome  *Outcome        `json:"outcome,omitempty"`
	Plan     *PlanIntent     `json:"plan,omitempty"`
	Confirm  *ConfirmIntent  `json:"confirm,omitempty"`
}

// Remove forgets an upstream whose grant has ended; its ranges become free.
type Remove struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Assign gives a free or releasing range to an upstream. It applies only while the range has Epoch.
type Assign struct {
	Range       uint64 `json:"range"`
	Epoch       uint64 `json:"epoch"`
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
}

// Release starts to take a range from its owner. It applies only while the range has Epoch.
type Release struct {
	Range uint64 `json:"range"`
	Epoch uint64 `json:"epoch"`
}

// Claim asks for the right to send a non-idempotent request.
type Claim struct {
	ID          string `json:"id"`
	Fingerprint string `json:"fingerprint"`
	Holder      string `json:"holder"`
	// NowMs is the leader's wall clock in milliseconds since the Unix epoch.
	NowMs int64 `json:"now_ms"`
}

// Abandon gives up a claim whose request was never sent.
type Abandon struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
	// NowMs is as in Claim.
	NowMs int64 `json:"now_ms"`
}

// Outcome records the answer to a claimed request.
type Outcome struct {
	ID     string       `json:"id"`
	Holder string       `json:"holder"`
	Answer claim.Answer `json:"answer"`
}

// Result is what a command returned.
type Result struct {
	// Applied is false if the state had moved past the command.
	Applied bool          `json:"applied"`
	Claim   *claim.Result `json:"claim,omitempty"`
	// Intent is the result of a plan or a confirmation.
	Intent *intent.Result `json:"intent,omitempty"`
}

// Machine holds the present state. It is not safe for concurrent use; the model it returns is immutable.
type Machine struct {
	model   *model.State
	claims  *claim.Table
	intents *intent.Table
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

// Model returns the present model.
func (m *Machine) Model() *model.State { return m.model }

// ClaimCount returns the number of claims held.
func (m *Machine) ClaimCount() int { return len(m.claims.Records) }

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	b, err := json.Marshal(snapshot{Model: m.model, Claims: m.claims, Intents: m.intents})
	return b, errs.Wrap(err, "encode snapshot")
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(b []byte) error {
	s := snapshot{Model: model.NewState(), Claims: claim.NewTable(), Intents: intent.NewTable()}
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.model, m.claims, m.intents = s.Model, s.Claims, s.Intents
	return nil
}

// Encode encodes a batch of commands as one log entry.
func Encode(cs []Command) ([]byte, error) {
	b, err := json.Marshal(cs)
	return b, errs.Wrap(err, "encode commands")
}

// Apply applies the batch of one log entry and returns one result per command.
func (m *Machine) Apply(index uint64, data []byte) ([]Result, error) {
	var cs []Command
	if err := json.Unmarshal(data, &cs); err != nil {
		return nil, errors.Wrap(err, "decode commands")
	}
	before := m.model
	rs := make([]Result, len(cs))
	for i, c := range cs {
		rs[i] = m.apply(c, index)
	}
	if m.model != before {
		m.model = m.model.WithVersion(index)
	}
	return rs, nil
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
	case c.Register != nil:
		return m.register(*c.Register)
	case c.Remove != nil:
		return m.remove(*c.Remove)
	case c.Assign != nil:
		return m.assign(*c.Assign)
	case c.Release != nil:
		return m.release(*c.Release)
	case c.Service != nil:
		return m.change(m.model.WithService(*c.Service))
	case c.Limit != nil:
		return m.change(m.model.WithLimit(*c.Limit))
	case c.Plan != nil:
		return m.planIntent(*c.Plan)
	case c.Confirm != nil:
		return m.confirmIntent(*c.Confirm, index)
	}
	return Result{}
}

func (m *Machine) change(s *model.State) Result {
	m.model = s
	return Result{Applied: true}
}

func (m *Machine) register(u model.Upstream) Result {
	// The old incarnation must be removed first, which happens only after its grant has ended.
	if _, ok := m.model.Upstreams[u.Name]; ok {
		return Result{}
	}
	return m.change(m.model.WithUpstream(u))
}

func (m *Machine) remove(c Remove) Result {
	if u, ok := m.model.Upstreams[c.Name]; !ok || u.Incarnation != c.Incarnation {
		return Result{}
	}
	return m.change(m.model.WithoutUpstream(c.Name))
}

func (m *Machine) assign(c Assign) Result {
	i, ok := m.model.RangeByID(c.Range)
	if !ok {
		return Result{}
	}
	a := m.model.Ranges[i]
	u, known := m.model.Upstreams[c.Owner]
	if !known || u.Incarnation != c.Incarnation || a.Epoch != c.Epoch || a.Phase == model.PhaseHeld {
		return Result{}
	}
	a.Owner, a.Incarnation, a.Phase, a.Epoch = c.Owner, c.Incarnation, model.PhaseHeld, m.model.NextEpoch
	next := *m.model.WithRange(a)
	next.NextEpoch++
	return m.change(&next)
}

func (m *Machine) release(c Release) Result {
	i, ok := m.model.RangeByID(c.Range)
	if !ok || m.model.Ranges[i].Epoch != c.Epoch || m.model.Ranges[i].Phase != model.PhaseHeld {
		return Result{}
	}
	a := m.model.Ranges[i]
	a.Phase = model.PhaseReleasing
	return m.change(m.model.WithRange(a))
}
