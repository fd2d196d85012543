package intent_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"baobabreach/internal/claim"
	"baobabreach/internal/errs"
	"baobabreach/internal/intent"
	"baobabreach/internal/model"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

const startMs = int64(1_790_000_000_000)

// referenceStore is the reference implementation: one list of accepted changes, executed one at a time.
type referenceStore struct {
	baseRevisions map[string]uint64
	plans         map[string]string
	confirmations map[string]string
	accepted      []string
	drained       map[string]bool
}

func (s *referenceStore) plan(in intent.Intent, got string) string {
	if first, ok := s.plans[in.ID]; ok {
		return first
	}
	s.plans[in.ID], s.baseRevisions[in.ID] = got, uint64(len(s.accepted))
	return got
}

func (s *referenceStore) confirm(in intent.Intent) string {
	if _, ok := s.plans[in.ID]; !ok {
		return string(proto.CodeNotFound)
	}
	if first, ok := s.confirmations[in.ID]; ok {
		return first
	}
	switch changesSince := uint64(len(s.accepted)) - s.baseRevisions[in.ID]; changesSince {
	case 0:
		s.accepted = append(s.accepted, in.ID)
		s.drained[targetUpstream(in)] = in.Drain != nil
		s.confirmations[in.ID] = fmt.Sprintf("revision %d", len(s.accepted))
	case 1:
		s.confirmations[in.ID] = "conflict with " + s.accepted[s.baseRevisions[in.ID]]
	default:
		s.confirmations[in.ID] = fmt.Sprintf("stale_plan %d changes", changesSince)
	}
	return s.confirmations[in.ID]
}

func targetUpstream(in intent.Intent) string {
	if in.Drain != nil {
		return in.Drain.Name
	}
	return in.Return.Name
}

func summarize(r intent.Result) string {
	switch {
	case r.Confirmation != nil:
		return fmt.Sprintf("revision %d", r.Confirmation.Revision)
	case r.Refusal == nil:
		return "no result"
	case r.Refusal.Code == proto.CodeConflict:
		return "conflict with " + r.Refusal.Winner.IntentID
	case r.Refusal.Code == proto.CodeStalePlan:
		return fmt.Sprintf("stale_plan %d changes", len(r.Refusal.Changes))
	}
	return string(r.Refusal.Code)
}

// driver writes plans and confirmations of several operators to one log that three replicas apply.
type driver struct {
	random   *rand.Rand
	log      [][]byte
	replicas []*state.Machine
	applied  []int
	// results holds the result of each log entry from the first replica that applied it.
	results       []string
	disableChecks func(*intent.Table)
	reference     referenceStore
}

func newDriver(seed uint64, disableChecks func(*intent.Table)) *driver {
	d := &driver{
		random: rand.New(rand.NewPCG(seed, 1)), applied: make([]int, 3), disableChecks: disableChecks,
		reference: referenceStore{
			baseRevisions: map[string]uint64{}, plans: map[string]string{}, confirmations: map[string]string{},
			drained: map[string]bool{},
		},
	}
	for range d.applied {
		d.replicas = append(d.replicas, d.newReplica())
	}
	return d
}

func (d *driver) newReplica() *state.Machine {
	m := state.New()
	d.disableChecks(m.Intents())
	return m
}

func (d *driver) append(c state.Command) error {
	b, err := state.Encode([]state.Command{c})
	d.log = append(d.log, b)
	return errs.Wrap(err, "encode command")
}

// catchUp applies log entries up to end on one replica and compares the results with those of the other replicas.
func (d *driver) catchUp(i, end int) (intent.Result, error) {
	var last intent.Result
	for ; d.applied[i] < end; d.applied[i]++ {
		entry := d.applied[i]
		rs, err := d.replicas[i].Apply(uint64(entry+1), d.log[entry])
		if err != nil {
			return last, errors.Wrap(err, "apply log entry")
		}
		b, err := json.Marshal(rs)
		if err != nil {
			return last, errors.Wrap(err, "encode results")
		}
		if entry == len(d.results) {
			d.results = append(d.results, string(b))
		}
		if d.results[entry] != string(b) {
			return last, errors.Errorf("log entry %d: replica %d returned %s, another replica returned %s",
				entry, i, b, d.results[entry])
		}
		if rs[0].Intent != nil {
			last = *rs[0].Intent
		}
	}
	return last, nil
}

// restart replaces a replica with a new one, restored from the snapshot of another replica.
func (d *driver) restart(i, from int) error {
	b, err := d.replicas[from].Snapshot()
	if err != nil {
		return errors.Wrap(err, "take snapshot")
	}
	m := d.newReplica()
	if err := m.Restore(b); err != nil {
		return errors.Wrap(err, "restore snapshot")
	}
	d.disableChecks(m.Intents())
	d.replicas[i], d.applied[i] = m, d.applied[from]
	return nil
}

func (d *driver) step(intents []intent.Intent) error {
	leader := d.random.IntN(3)
	switch d.random.IntN(10) {
	case 0:
		return d.restart(leader, d.random.IntN(3))
	case 1:
		_, err := d.catchUp(leader, d.applied[leader]+d.random.IntN(len(d.log)-d.applied[leader]+1))
		return err
	}
	// Messages arrive in any order and any number of times, at whichever replica leads at that time.
	in := intents[d.random.IntN(len(intents))]
	isPlan := d.random.IntN(2) == 0
	c := state.Command{Confirm: &state.ConfirmIntent{ID: in.ID, Operator: in.Operator}}
	if isPlan {
		c = state.Command{Plan: &state.PlanIntent{Intent: in, Inputs: intent.PlanInputs{MaxMoves: 8}, NowMs: startMs}}
	}
	if err := d.append(c); err != nil {
		return err
	}
	r, err := d.catchUp(leader, len(d.log))
	if err != nil {
		return err
	}
	got, want := summarize(r), ""
	if isPlan {
		b, err := json.Marshal(r)
		if err != nil {
			return errs.Wrap(err, "encode result")
		}
		got, want = string(b), d.reference.plan(in, string(b))
	} else {
		want = d.reference.confirm(in)
	}
	if got != want {
		return errors.Errorf("log entry %d (plan: %t, intent %s): got %s, expected %s", len(d.log), isPlan, in.ID, got, want)
	}
	return d.compareState(d.replicas[leader].Model())
}

func (d *driver) compareState(m *model.State) error {
	if m.Revision != uint64(len(d.reference.accepted)) {
		return errors.Errorf("log entry %d: got revision %d, expected %d", len(d.log), m.Revision, len(d.reference.accepted))
	}
	want := map[string]bool{}
	for name, drained := range d.reference.drained {
		if drained {
			want[name] = true
		}
	}
	if !reflect.DeepEqual(m.Drained, want) {
		return errors.Errorf("log entry %d: got drained upstreams %v, expected %v", len(d.log), m.Drained, want)
	}
	return nil
}

func runSchedule(seed uint64, disableChecks func(*intent.Table)) error {
	d := newDriver(seed, disableChecks)
	var intents []intent.Intent
	for i := range 3 {
		u := model.Upstream{Name: fmt.Sprintf("u%d", i), Service: "catalogue", Incarnation: 1, DataCentre: "a"}
		if err := d.append(state.Command{Register: &u}); err != nil {
			return err
		}
	}
	for i := range 12 {
		in := intent.Intent{ID: intentID(i), Operator: fmt.Sprintf("operator-%d", i%3)}
		upstream := &intent.Upstream{Name: fmt.Sprintf("u%d", i%4%3)}
		if d.random.IntN(2) == 0 {
			in.Drain = upstream
		} else {
			in.Return = upstream
		}
		intents = append(intents, in)
	}
	for range 150 {
		if err := d.step(intents); err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
	}
	for i := range d.replicas {
		if _, err := d.catchUp(i, len(d.log)); err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
	}
	return nil
}

func intentID(i int) string { return claim.NewID(startMs+int64(i), make([]byte, 10)) }

// Guards against a second execution of a resent intent or confirmation, against two changes accepted on the same
// revision, and against replicas that answer differently after a snapshot or under another leader.
func TestIntentsMatchReferenceStore(t *testing.T) {
	for seed := range uint64(300) {
		if err := runSchedule(seed, func(*intent.Table) {}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a driver that can't detect the faults that each check prevents.
func TestDriverDetectsMissingChecks(t *testing.T) {
	is := is.New(t)
	const seed = 7
	is.NoErr(runSchedule(seed, func(*intent.Table) {}))
	err := runSchedule(seed, (*intent.Table).IgnoreRevision)
	t.Log("revision check disabled:", err)
	is.True(err != nil)
	err = runSchedule(seed, (*intent.Table).IgnoreStoredResults)
	t.Log("stored results ignored:", err)
	is.True(err != nil)
}
