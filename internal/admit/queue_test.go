package admit_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabreach/internal/admit"
	"baobabreach/internal/model"
)

func TestMain(m *testing.M) {
	// A fixed seed makes a failure reproducible; a seed of the command line still wins.
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

const ms = time.Millisecond

func newQueue(off admit.Defence, n, slots int) *admit.Queue {
	q := admit.NewQueue(admit.Config{Off: off, MaxShortWait: time.Hour})
	q.SetUpstreams(0, upstreams(n, slots, 1))
	return q
}

func upstreams(n, slots int, incarnation uint64) []model.Upstream {
	var us []model.Upstream
	for i := range n {
		us = append(us, model.Upstream{Name: fmt.Sprint("u", i), Slots: slots, Incarnation: incarnation})
	}
	return us
}

func ask(q *admit.Queue, now time.Duration, id string, c model.Class, deadline time.Duration) bool {
	for _, e := range q.Submit(now, admit.Request{ID: id, Class: c, Deadline: deadline}) {
		if e.ID == id && !e.Refused {
			return true
		}
	}
	return false
}

func fail(q *admit.Queue, n int) {
	for i := range n {
		id := fmt.Sprint("f", i)
		if ask(q, ms, id, model.ClassShort, time.Hour) {
			q.Release(ms, id, admit.Result{Kind: admit.KindFailed})
		} else {
			q.Cancel(id)
		}
	}
}

// defences returns for each defence whether the failure that it prevents was prevented.
var defences = map[string]struct {
	defence admit.Defence
	held    func(off admit.Defence) bool
}{
	"long work fills the pool": {admit.DefenceReserve, func(off admit.Defence) bool {
		q := newQueue(off, 1, 3)
		ask(q, 0, "s0", model.ClassShort, time.Hour)
		q.Release(10*ms, "s0", admit.Result{Kind: admit.KindDone, Elapsed: 10 * ms})
		for _, id := range []string{"a", "b", "c"} {
			ask(q, 10*ms, id, model.ClassLong, time.Hour)
		}
		return ask(q, 20*ms, "s1", model.ClassShort, time.Hour)
	}},
	"long work starves": {admit.DefenceLongShare, func(off admit.Defence) bool {
		q := newQueue(off, 1, 3)
		for i := range 5 {
			ask(q, 0, fmt.Sprint(i), model.ClassShort, time.Hour)
		}
		ask(q, 0, "long", model.ClassLong, 3*time.Second)
		for i := range 300 {
			now := time.Duration(i+1) * 10 * ms
			for _, e := range q.Release(now, fmt.Sprint(i), admit.Result{Kind: admit.KindDone, Elapsed: 10 * ms}) {
				if e.ID == "long" {
					return !e.Refused
				}
			}
			ask(q, now, fmt.Sprint(i+5), model.ClassShort, time.Hour)
		}
		return false
	}},
	"a hopeless request is queued": {admit.DefenceShed, func(off admit.Defence) bool {
		q := newQueue(off, 1, 1)
		ask(q, 0, "a", model.ClassShort, time.Hour)
		es := q.Submit(0, admit.Request{ID: "b", Class: model.ClassShort, Deadline: 5 * ms})
		return len(es) == 1 && es[0].Refused && es[0].Error().RetryAfterMs > 0
	}},
	"a cold upstream is flooded": {admit.DefenceSlowStart, func(off admit.Defence) bool {
		q := newQueue(off, 1, 3)
		q.SetUpstreams(0, upstreams(1, 3, 2))
		return ask(q, 0, "a", model.ClassShort, time.Hour) && !ask(q, 0, "b", model.ClassShort, time.Hour)
	}},
	"a failing upstream keeps its share": {admit.DefenceEject, func(off admit.Defence) bool {
		q := newQueue(off, 3, 3)
		fail(q, 30)
		n := 0
		for i := 0; ask(q, 2*ms, fmt.Sprint(i), model.ClassShort, time.Hour); i++ {
			n++
		}
		return n == 6
	}},
	"every upstream is ejected": {admit.DefenceEjectCap, func(off admit.Defence) bool {
		q := newQueue(off, 3, 3)
		fail(q, 60)
		return ask(q, 2*ms, "a", model.ClassShort, time.Hour)
	}},
	"an upstream that sheds is asked again at once": {admit.DefenceBackoff, func(off admit.Defence) bool {
		q := newQueue(off, 1, 3)
		ask(q, 0, "a", model.ClassShort, time.Hour)
		q.Release(ms, "a", admit.Result{Kind: admit.KindShed, RetryAfter: 20 * ms})
		early := ask(q, 20*ms, "b", model.ClassShort, time.Hour)
		es := q.Tick(21 * ms)
		return !early && len(es) == 1 && !es[0].Refused
	}},
	"stragglers and long work take every slot": {admit.DefenceStraggler, func(off admit.Defence) bool {
		q := newQueue(off, 1, 3)
		ask(q, 0, "a", model.ClassShort, time.Hour)
		ask(q, 0, "b", model.ClassShort, time.Hour)
		return !ask(q, 200*ms, "c", model.ClassLong, time.Hour) && ask(q, 201*ms, "d", model.ClassShort, time.Hour)
	}},
	"the slot of a lost holder is lost": {admit.DefenceTTL, func(off admit.Defence) bool {
		q := newQueue(off, 1, 1)
		ask(q, 0, "a", model.ClassShort, time.Hour)
		q.Tick(admit.DefaultCreditTTL)
		return ask(q, admit.DefaultCreditTTL, "b", model.ClassShort, time.Hour)
	}},
}

// Guards against a defence that does nothing: each case must fail once its defence is switched off.
func TestDefences(t *testing.T) {
	for name, d := range defences {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(d.held(0))
			is.True(!d.held(d.defence))
		})
	}
}

// checker compares a queue with a plain list that is searched on each use.
type checker struct {
	t        *rapid.T
	q        *admit.Queue
	now      time.Duration
	slots    int
	total    int
	sawShort bool
	answers  map[string]int
	running  []string
	class    map[string]model.Class
	naive    []admit.Request
	// on maps a running request to its upstream.
	on map[string]string
	// kinds is the number of results to draw from; 2 leaves every upstream usable.
	kinds int
}

func (c *checker) take(es []admit.Decision) {
	for _, e := range es {
		if c.answers[e.ID]++; c.answers[e.ID] != 1 {
			c.t.Fatalf("request %s was answered twice", e.ID)
		}
		i := slices.IndexFunc(c.naive, func(a admit.Request) bool { return a.ID == e.ID })
		if !e.Refused {
			c.granted(c.naive[i])
			c.routed(e)
		}
		c.naive = slices.Delete(c.naive, i, i+1)
	}
	for u, x := range c.q.InUse() {
		if x < 0 || x > c.slots {
			c.t.Fatalf("upstream %s has %d of %d slots in use", u, x, c.slots)
		}
	}
}

func (c *checker) granted(a admit.Request) {
	c.running = append(c.running, a.ID)
	long := 0
	for _, id := range c.running {
		if c.class[id] == model.ClassLong {
			long++
		}
	}
	if a.Class == model.ClassLong && c.sawShort && long > c.total-max(1, c.total/3) {
		c.t.Fatalf("long request %s took a reserved slot", a.ID)
	}
	for _, w := range c.naive {
		if w.Class == a.Class && w.Deadline < a.Deadline && w.Deadline > c.now {
			c.t.Fatalf("request %s was served before %s, whose deadline is earlier", a.ID, w.ID)
		}
	}
}

// routed compares the choice with a naive router that recounts the use of every upstream.
func (c *checker) routed(e admit.Decision) {
	use := map[string]int{}
	for _, u := range c.on {
		use[u]++
	}
	c.on[e.ID] = e.Upstream.Name
	for i := range c.total / c.slots {
		if u := fmt.Sprint("u", i); c.kinds == 2 && use[u] < use[e.Upstream.Name] {
			c.t.Fatalf("request %s went to %s, although %s had less to do", e.ID, e.Upstream.Name, u)
		}
	}
}

func (c *checker) step(id string) {
	c.now += time.Duration(rapid.IntRange(0, 20).Draw(c.t, "pause")) * ms
	// The naive queue knows no time limits, so every credit is kept.
	c.q.Keep(c.now, held(c.running, c.class))
	switch k := rapid.IntRange(0, 9).Draw(c.t, "kind"); {
	case k < 5:
		class := rapid.SampledFrom([]model.Class{model.ClassShort, model.ClassLong}).Draw(c.t, "class")
		a := admit.Request{ID: id, Class: class, Deadline: c.now + time.Duration(rapid.IntRange(0, 400).Draw(c.t, "deadline"))*ms}
		c.class[id], c.naive = class, append(c.naive, a)
		c.sawShort = c.sawShort || class == model.ClassShort
		c.take(c.q.Submit(c.now, a))
	case k < 8 && len(c.running) > 0:
		j := rapid.IntRange(0, len(c.running)-1).Draw(c.t, "which")
		id := c.running[j]
		c.running = slices.Delete(c.running, j, j+1)
		delete(c.on, id)
		kinds := []admit.Kind{admit.KindDone, admit.KindDone, admit.KindFailed, admit.KindShed}
		kind := rapid.SampledFrom(kinds[:c.kinds]).Draw(c.t, "result")
		c.take(c.q.Release(c.now, id, admit.Result{Kind: kind, Elapsed: 10 * ms}))
	default:
		c.take(c.q.Tick(c.now))
	}
}

// Guards against slots that are exceeded or lost, requests that are both run and refused or forgotten, a wrong order,
// and short requests that find every slot taken by long work.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, slots := rapid.IntRange(1, 4).Draw(t, "upstreams"), rapid.IntRange(2, 3).Draw(t, "slots")
		c := &checker{
			t: t, q: newQueue(0, n, slots), slots: slots, total: n * slots,
			answers: map[string]int{}, class: map[string]model.Class{}, on: map[string]string{},
			kinds: rapid.SampledFrom([]int{2, 4}).Draw(t, "kinds"),
		}
		for i := range rapid.IntRange(1, 150).Draw(t, "events") {
			c.step(fmt.Sprint(i))
		}
		for len(c.running) > 0 {
			id := c.running[0]
			c.running = c.running[1:]
			delete(c.on, id)
			c.take(c.q.Release(c.now, id, admit.Result{Kind: admit.KindDone, Elapsed: 10 * ms}))
		}
		c.now += time.Hour
		c.take(c.q.Tick(c.now))
		c.take(c.q.Tick(c.now + time.Hour))
		if !c.q.Idle() || len(c.naive) != 0 {
			t.Fatalf("slots or requests were lost: %v, %v", c.q.InUse(), c.naive)
		}
	})
}

func held(ids []string, class map[string]model.Class) []admit.Held {
	var hs []admit.Held
	for _, id := range ids {
		hs = append(hs, admit.Held{ID: id, Class: class[id]})
	}
	return hs
}

// Guards against a new dispatcher that gives out slots which credits of its predecessor still use.
func TestKeepTakesCreditsOver(t *testing.T) {
	is := is.New(t)
	q := newQueue(0, 1, 1)
	q.Keep(0, []admit.Held{{ID: "old", Holder: "a1", Upstream: "u0", Class: model.ClassShort}})
	is.True(!ask(q, ms, "new", model.ClassShort, time.Hour))
	es := q.Lost(2*ms, "a1")
	is.Equal(len(es), 1)
	is.Equal(es[0].ID, "new")
}
