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

// naive is the specification: one list of accepted changes, executed one at a time.
type naive struct {
	based    map[string]uint64
	plans    map[string]string
	confirms map[string]string
	accepted []string
	drained  map[string]bool
}

func (n *naive) plan(in intent.Intent, got string) string {
	if first, ok := n.plans[in.ID]; ok {
		return first
	}
	n.plans[in.ID], n.based[in.ID] = got, uint64(len(n.accepted))
	return got
}

func (n *naive) confirm(in intent.Intent) string {
	if _, ok := n.plans[in.ID]; !ok {
		return string(proto.CodeNotFound)
	}
	if first, ok := n.confirms[in.ID]; ok {
		return first
	}
	switch behind := uint64(len(n.accepted)) - n.based[in.ID]; behind {
	case 0:
		n.accepted = append(n.accepted, in.ID)
		n.drained[target(in)] = in.Drain != nil
		n.confirms[in.ID] = fmt.Sprintf("revision %d", len(n.accepted))
	case 1:
		n.confirms[in.ID] = "conflict with " + n.accepted[n.based[in.ID]]
	default:
		n.confirms[in.ID] = fmt.Sprintf("stale_plan %d changes", behind)
	}
	return n.confirms[in.ID]
}

func target(in intent.Intent) string {
	if in.Drain != nil {
		return in.Drain.Name
	}
	return in.Return.Name
}

func summary(r intent.Result) string {
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

// driver sends plans and confirmations of several operators through one log that three replicas apply.
type driver struct {
	random   *rand.Rand
	log      [][]byte
	replicas []*state.Machine
	applied  []int
	// results holds the result of each entry by the first replica that applied it.
	results []string
	weaken  func(*intent.Table)
	spec    naive
}

func newDriver(seed uint64, weaken func(*intent.Table)) *driver {
	d := &driver{
		random: rand.New(rand.NewPCG(seed, 1)), applied: make([]int, 3), weaken: weaken,
		spec: naive{
			based: map[string]uint64{}, plans: map[string]string{}, confirms: map[string]string{}, drained: map[string]bool{},
		},
	}
	for range d.applied {
		d.replicas = append(d.replicas, d.machine())
	}
	return d
}

func (d *driver) machine() *state.Machine {
	m := state.New()
	d.weaken(m.Intents())
	return m
}

func (d *driver) append(c state.Command) error {
	b, err := state.Encode([]state.Command{c})
	d.log = append(d.log, b)
	return errs.Wrap(err, "encode")
}

// catchUp applies entries on one replica up to the end of the log and compares the results with the others'.
func (d *driver) catchUp(i, end int) (intent.Result, error) {
	var last intent.Result
	for ; d.applied[i] < end; d.applied[i]++ {
		at := d.applied[i]
		rs, err := d.replicas[i].Apply(uint64(at+1), d.log[at])
		if err != nil {
			return last, errors.Wrap(err, "apply")
		}
		b, err := json.Marshal(rs)
		if err != nil {
			return last, errors.Wrap(err, "encode")
		}
		if at == len(d.results) {
			d.results = append(d.results, string(b))
		}
		if d.results[at] != string(b) {
			return last, errors.Errorf("entry %d: replica %d got %s, another %s", at, i, b, d.results[at])
		}
		if rs[0].Intent != nil {
			last = *rs[0].Intent
		}
	}
	return last, nil
}

// restart replaces a replica by one that is restored from another's snapshot.
func (d *driver) restart(i, from int) error {
	b, err := d.replicas[from].Snapshot()
	if err != nil {
		return errors.Wrap(err, "snapshot")
	}
	m := d.machine()
	if err := m.Restore(b); err != nil {
		return errors.Wrap(err, "restore")
	}
	d.weaken(m.Intents())
	d.replicas[i], d.applied[i] = m, d.applied[from]
	return nil
}

func (d *driver) step(ins []intent.Intent) error {
	leader := d.random.IntN(3)
	switch d.random.IntN(10) {
	case 0:
		return d.restart(leader, d.random.IntN(3))
	case 1:
		_, err := d.catchUp(leader, d.applied[leader]+d.random.IntN(len(d.log)-d.applied[leader]+1))
		return err
	}
	// Messages arrive in any order and any number of times, at whichever replica leads by then.
	in := ins[d.random.IntN(len(ins))]
	plan := d.random.IntN(2) == 0
	c := state.Command{Confirm: &state.ConfirmIntent{ID: in.ID, Operator: in.Operator}}
	if plan {
		c = state.Command{Plan: &state.PlanIntent{Intent: in, Inputs: intent.PlanInputs{MaxMoves: 8}, NowMs: startMs}}
	}
	if err := d.append(c); err != nil {
		return err
	}
	r, err := d.catchUp(leader, len(d.log))
	if err != nil {
		return err
	}
	got, want := summary(r), ""
	if plan {
		b, err := json.Marshal(r)
		if err != nil {
			return errs.Wrap(err, "encode")
		}
		got, want = string(b), d.spec.plan(in, string(b))
	} else {
		want = d.spec.confirm(in)
	}
	if got != want {
		return errors.Errorf("entry %d, plan %t of %s: got %s, expected %s", len(d.log), plan, in.ID, got, want)
	}
	return d.compare(d.replicas[leader].Model())
}

func (d *driver) compare(m *model.State) error {
	if m.Revision != uint64(len(d.spec.accepted)) {
		return errors.Errorf("entry %d: revision %d, expected %d", len(d.log), m.Revision, len(d.spec.accepted))
	}
	want := map[string]bool{}
	for name, drained := range d.spec.drained {
		if drained {
			want[name] = true
		}
	}
	if !reflect.DeepEqual(m.Drained, want) {
		return errors.Errorf("entry %d: drained %v, expected %v", len(d.log), m.Drained, want)
	}
	return nil
}

func run(seed uint64, weaken func(*intent.Table)) error {
	d := newDriver(seed, weaken)
	var ins []intent.Intent
	for i := range 3 {
		u := model.Upstream{Name: fmt.Sprintf("u%d", i), Service: "catalogue", Incarnation: 1, DataCentre: "a"}
		if err := d.append(state.Command{Register: &u}); err != nil {
			return err
		}
	}
	for i := range 12 {
		in := intent.Intent{ID: id(i), Operator: fmt.Sprintf("operator-%d", i%3)}
		on := &intent.Upstream{Name: fmt.Sprintf("u%d", i%4%3)}
		if d.random.IntN(2) == 0 {
			in.Drain = on
		} else {
			in.Return = on
		}
		ins = append(ins, in)
	}
	for range 150 {
		if err := d.step(ins); err != nil {
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

func id(i int) string { return claim.NewID(startMs+int64(i), make([]byte, 10)) }

// Guards against a second execution of a resent intent or confirmation, two winners on one revision, and replicas
// that answer differently after a snapshot or under another leader.
func TestIntentsAgreeWithANaiveStore(t *testing.T) {
	for seed := range uint64(300) {
		if err := run(seed, func(*intent.Table) {}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a driver that can't see the faults that each defence prevents.
func TestMissingDefencesAreSeen(t *testing.T) {
	is := is.New(t)
	const seed = 7
	is.NoErr(run(seed, func(*intent.Table) {}))
	err := run(seed, (*intent.Table).IgnoreRevision)
	t.Log("without the revision check:", err)
	is.True(err != nil)
	err = run(seed, (*intent.Table).IgnoreStored)
	t.Log("without the stored result:", err)
	is.True(err != nil)
}
