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
	// A fixed seed makes failures reproducible. A seed on the command line overrides it.
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

const ms = time.Millisecond

func newQueue(disabled admit.Rule, n, slots int) *admit.Queue {
	q := admit.NewQueue(admit.Config{Disabled: disabled, MaxShortWait: time.Hour})
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

// submit reports whether the request is granted a slot immediately.
func submit(q *admit.Queue, now time.Duration, id string, c model.Class, deadline time.Duration) bool {
	for _, d := range q.Submit(now, admit.Request{ID: id, Class: c, Deadline: deadline}) {
		if d.ID == id && !d.Refused {
			return true
		}
	}
	return false
}

func failRequests(q *admit.Queue, n int) {
	for i := range n {
		id := fmt.Sprint("f", i)
		if submit(q, ms, id, model.ClassShort, time.Hour) {
			q.Release(ms, id, admit.Result{Kind: admit.KindFailed})
		} else {
			q.Cancel(id)
		}
	}
}

// rules maps a fault to the rule that prevents it. The function reports whether the fault was prevented.
var rules = map[string]struct {
	rule      admit.Rule
	prevented func(disabled admit.Rule) bool
}{
	"long work fills the pool": {admit.RuleReserve, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 1, 3)
		submit(q, 0, "s0", model.ClassShort, time.Hour)
		q.Release(10*ms, "s0", admit.Result{Kind: admit.KindDone, Elapsed: 10 * ms})
		for _, id := range []string{"a", "b", "c"} {
			submit(q, 10*ms, id, model.ClassLong, time.Hour)
		}
		return submit(q, 20*ms, "s1", model.ClassShort, time.Hour)
	}},
	"long work starves": {admit.RuleLongShare, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 1, 3)
		for i := range 5 {
			submit(q, 0, fmt.Sprint(i), model.ClassShort, time.Hour)
		}
		submit(q, 0, "long", model.ClassLong, 3*time.Second)
		for i := range 300 {
			now := time.Duration(i+1) * 10 * ms
			for _, d := range q.Release(now, fmt.Sprint(i), admit.Result{Kind: admit.KindDone, Elapsed: 10 * ms}) {
				if d.ID == "long" {
					return !d.Refused
				}
			}
			submit(q, now, fmt.Sprint(i+5), model.ClassShort, time.Hour)
		}
		return false
	}},
	"a hopeless request is queued": {admit.RuleShed, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 1, 1)
		submit(q, 0, "a", model.ClassShort, time.Hour)
		ds := q.Submit(0, admit.Request{ID: "b", Class: model.ClassShort, Deadline: 5 * ms})
		return len(ds) == 1 && ds[0].Refused && ds[0].Error().RetryAfterMs > 0
	}},
	"a cold upstream is flooded": {admit.RuleSlowStart, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 1, 3)
		q.SetUpstreams(0, upstreams(1, 3, 2))
		return submit(q, 0, "a", model.ClassShort, time.Hour) && !submit(q, 0, "b", model.ClassShort, time.Hour)
	}},
	"a failing upstream keeps its share": {admit.RuleEject, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 3, 3)
		failRequests(q, 30)
		n := 0
		for i := 0; submit(q, 2*ms, fmt.Sprint(i), model.ClassShort, time.Hour); i++ {
			n++
		}
		return n == 6
	}},
	"every upstream is ejected": {admit.RuleEjectLimit, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 3, 3)
		failRequests(q, 60)
		return submit(q, 2*ms, "a", model.ClassShort, time.Hour)
	}},
	"an upstream that sheds is asked again at once": {admit.RuleBackoff, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 1, 3)
		submit(q, 0, "a", model.ClassShort, time.Hour)
		q.Release(ms, "a", admit.Result{Kind: admit.KindShed, RetryAfter: 20 * ms})
		early := submit(q, 20*ms, "b", model.ClassShort, time.Hour)
		ds := q.Tick(21 * ms)
		return !early && len(ds) == 1 && !ds[0].Refused
	}},
	"stragglers and long work take every slot": {admit.RuleStraggler, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 1, 3)
		submit(q, 0, "a", model.ClassShort, time.Hour)
		submit(q, 0, "b", model.ClassShort, time.Hour)
		return !submit(q, 200*ms, "c", model.ClassLong, time.Hour) && submit(q, 201*ms, "d", model.ClassShort, time.Hour)
	}},
	"the slot of a lost holder is lost": {admit.RuleCreditTTL, func(disabled admit.Rule) bool {
		q := newQueue(disabled, 1, 1)
		submit(q, 0, "a", model.ClassShort, time.Hour)
		q.Tick(admit.DefaultCreditTTL)
		return submit(q, admit.DefaultCreditTTL, "b", model.ClassShort, time.Hour)
	}},
}

// Guards against a rule without effect: each fault must occur if its rule is disabled.
func TestRules(t *testing.T) {
	for name, c := range rules {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(c.prevented(0))
			is.True(!c.prevented(c.rule))
		})
	}
}

// queueModel checks a queue against a reference model: plain lists that are searched on each use.
type queueModel struct {
	t                *rapid.T
	q                *admit.Queue
	now              time.Duration
	slotsPerUpstream int
	totalSlots       int
	seenShort        bool
	decisions        map[string]int
	running          []string
	class            map[string]model.Class
	waiting          []admit.Request
	// runningOn maps a running request to its upstream.
	runningOn map[string]string
	// kinds is the number of result kinds to draw from. With 2, every upstream stays usable.
	kinds int
}

func (m *queueModel) check(ds []admit.Decision) {
	for _, d := range ds {
		if m.decisions[d.ID]++; m.decisions[d.ID] != 1 {
			m.t.Fatalf("request %s got a second decision", d.ID)
		}
		i := slices.IndexFunc(m.waiting, func(r admit.Request) bool { return r.ID == d.ID })
		if !d.Refused {
			m.checkGrant(m.waiting[i])
			m.checkUpstream(d)
		}
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
	for u, inUse := range m.q.InUse() {
		if inUse < 0 || inUse > m.slotsPerUpstream {
			m.t.Fatalf("upstream %s has %d of %d slots in use", u, inUse, m.slotsPerUpstream)
		}
	}
}

func (m *queueModel) checkGrant(r admit.Request) {
	m.running = append(m.running, r.ID)
	long := 0
	for _, id := range m.running {
		if m.class[id] == model.ClassLong {
			long++
		}
	}
	if r.Class == model.ClassLong && m.seenShort && long > m.totalSlots-max(1, m.totalSlots/3) {
		m.t.Fatalf("long request %s took a reserved slot", r.ID)
	}
	for _, w := range m.waiting {
		if w.Class == r.Class && w.Deadline < r.Deadline && w.Deadline > m.now {
			m.t.Fatalf("request %s was served before %s, whose deadline is earlier", r.ID, w.ID)
		}
	}
}

// checkUpstream recounts the slots in use and checks that the least loaded upstream was selected.
func (m *queueModel) checkUpstream(d admit.Decision) {
	inUse := map[string]int{}
	for _, u := range m.runningOn {
		inUse[u]++
	}
	m.runningOn[d.ID] = d.Upstream.Name
	for i := range m.totalSlots / m.slotsPerUpstream {
		if u := fmt.Sprint("u", i); m.kinds == 2 && inUse[u] < inUse[d.Upstream.Name] {
			m.t.Fatalf("request %s went to %s, although %s had fewer slots in use", d.ID, d.Upstream.Name, u)
		}
	}
}

func (m *queueModel) step(id string) {
	m.now += time.Duration(rapid.IntRange(0, 20).Draw(m.t, "pause")) * ms
	// The model has no expiry, so every credit is renewed.
	m.q.Renew(m.now, credits(m.running, m.class))
	switch k := rapid.IntRange(0, 9).Draw(m.t, "kind"); {
	case k < 5:
		class := rapid.SampledFrom([]model.Class{model.ClassShort, model.ClassLong}).Draw(m.t, "class")
		r := admit.Request{ID: id, Class: class, Deadline: m.now + time.Duration(rapid.IntRange(0, 400).Draw(m.t, "deadline"))*ms}
		m.class[id], m.waiting = class, append(m.waiting, r)
		m.seenShort = m.seenShort || class == model.ClassShort
		m.check(m.q.Submit(m.now, r))
	case k < 8 && len(m.running) > 0:
		j := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "which")
		id := m.running[j]
		m.running = slices.Delete(m.running, j, j+1)
		delete(m.runningOn, id)
		kinds := []admit.Kind{admit.KindDone, admit.KindDone, admit.KindFailed, admit.KindShed}
		kind := rapid.SampledFrom(kinds[:m.kinds]).Draw(m.t, "result")
		m.check(m.q.Release(m.now, id, admit.Result{Kind: kind, Elapsed: 10 * ms}))
	default:
		m.check(m.q.Tick(m.now))
	}
}

// Guards against exceeded or leaked slots, requests that get no decision or more than one, a wrong order, a wrong choice
// of the upstream, and long requests that take the slots reserved for short ones.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, slots := rapid.IntRange(1, 4).Draw(t, "upstreams"), rapid.IntRange(2, 3).Draw(t, "slots")
		m := &queueModel{
			t: t, q: newQueue(0, n, slots), slotsPerUpstream: slots, totalSlots: n * slots,
			decisions: map[string]int{}, class: map[string]model.Class{}, runningOn: map[string]string{},
			kinds: rapid.SampledFrom([]int{2, 4}).Draw(t, "kinds"),
		}
		for i := range rapid.IntRange(1, 150).Draw(t, "events") {
			m.step(fmt.Sprint(i))
		}
		for len(m.running) > 0 {
			id := m.running[0]
			m.running = m.running[1:]
			delete(m.runningOn, id)
			m.check(m.q.Release(m.now, id, admit.Result{Kind: admit.KindDone, Elapsed: 10 * ms}))
		}
		m.now += time.Hour
		m.check(m.q.Tick(m.now))
		m.check(m.q.Tick(m.now + time.Hour))
		if !m.q.Idle() || len(m.waiting) != 0 {
			t.Fatalf("slots are still in use or requests still wait: %v, %v", m.q.InUse(), m.waiting)
		}
	})
}

func credits(ids []string, class map[string]model.Class) []admit.Credit {
	var out []admit.Credit
	for _, id := range ids {
		out = append(out, admit.Credit{ID: id, Class: class[id]})
	}
	return out
}

// Guards against a new dispatcher that grants slots which are in use by credits of its predecessor.
func TestRenewTakesOverCredits(t *testing.T) {
	is := is.New(t)
	q := newQueue(0, 1, 1)
	q.Renew(0, []admit.Credit{{ID: "old", Holder: "a1", Upstream: "u0", Class: model.ClassShort}})
	is.True(!submit(q, ms, "new", model.ClassShort, time.Hour))
	ds := q.RemoveHolder(2*ms, "a1")
	is.Equal(len(ds), 1)
	is.Equal(ds[0].ID, "new")
}
