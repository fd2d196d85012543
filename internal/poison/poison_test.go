package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabreach/internal/poison"
)

const (
	hosts     = 4
	upstreams = 6
	innocents = 60
	poisonous = "crash"
)

type running struct {
	host    int
	process poison.Process
	content string
	holder  string
	ends    int
}

// bench runs requests of several hosts on several upstreams, one of which crashes whatever runs it.
type bench struct {
	random      *rand.Rand
	now         time.Duration
	board       *poison.Tracker
	guards      []*poison.Guard
	incarnation [upstreams]uint64
	running     []running
	crashes     int
	holders     int
	// listed is the version of the board's list after the last crash.
	listed  uint64
	isolate bool
}

func newBench(seed uint64, isolate bool) *bench {
	b := &bench{random: rand.New(rand.NewPCG(seed, 1)), board: poison.NewTracker(1), isolate: isolate}
	for range hosts {
		b.guards = append(b.guards, poison.NewGuard())
	}
	return b
}

func (b *bench) step() {
	b.now += time.Millisecond
	for i, g := range b.guards {
		if b.random.IntN(3) == 0 {
			g.Update(b.now, b.board.List(b.now), false)
		}
		content := fmt.Sprintf("page-%d", b.random.IntN(innocents))
		if b.random.IntN(4) == 0 && !b.isRunning(poisonous) && b.inForce() {
			content = poisonous
		}
		b.start(i, content)
	}
	b.finish()
}

// inForce tells whether every host knows of the last crash. The answer to a request that broke is held until then, so
// that its caller can't send it again earlier.
func (b *bench) inForce() bool {
	for _, g := range b.guards {
		if g.Version() < b.listed {
			return false
		}
	}
	return true
}

func (b *bench) isRunning(content string) bool {
	for _, r := range b.running {
		if r.content == content {
			return true
		}
	}
	return false
}

func (b *bench) start(host int, content string) {
	u := b.random.IntN(upstreams)
	p := poison.Process{Name: fmt.Sprintf("u%d", u), Incarnation: b.incarnation[u]}
	r := running{host: host, process: p, content: content, ends: 1 + b.random.IntN(10)}
	switch v, _ := b.guards[host].Check(b.now, content); {
	case v == poison.VerdictRefuse:
		return
	case v == poison.VerdictIsolate && b.isolate:
		b.holders++
		r.holder = fmt.Sprint(b.holders)
		if !b.board.Permit(b.now, p.Name, content, r.holder) {
			return
		}
	}
	b.guards[host].Begin(p, content)
	b.running = append(b.running, r)
}

func (b *bench) finish() {
	var crashed []poison.Process
	for i := range b.running {
		b.running[i].ends--
		if b.running[i].ends == 0 && b.running[i].content == poisonous {
			crashed = append(crashed, b.running[i].process)
		}
	}
	for _, p := range crashed {
		b.crash(p)
	}
	keep := b.running[:0]
	for _, r := range b.running {
		if r.ends > 0 {
			keep = append(keep, r)
			continue
		}
		b.guards[r.host].End(r.process, r.content)
		b.release(r)
		b.board.Clear(b.now, r.content)
	}
	b.running = keep
}

func (b *bench) crash(p poison.Process) {
	b.crashes++
	for u := range b.incarnation {
		if p.Name == fmt.Sprintf("u%d", u) && p.Incarnation == b.incarnation[u] {
			b.incarnation[u]++
		}
	}
	keep := b.running[:0:0]
	for _, r := range b.running {
		if r.process != p {
			keep = append(keep, r)
			continue
		}
		b.board.Report(b.now, b.guards[r.host].EndBroken(b.now, p, r.content))
		b.release(r)
	}
	b.running = keep
	b.listed = b.board.Version(b.now)
}

func (b *bench) release(r running) {
	if r.holder != "" {
		b.board.Release(r.process.Name, r.holder)
	}
}

func (b *bench) run() (crashes int, innocentsRefused int) {
	for range 2000 {
		b.step()
	}
	for _, q := range b.board.List(b.now).Quarantined {
		if q.Fingerprint != poisonous {
			innocentsRefused++
		}
	}
	return b.crashes, innocentsRefused
}

// Guards against a poison request that takes down more than two upstreams, and against innocents that are refused
// because they ran beside it.
func TestOnlyThePoisonRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		crashes, refused := newBench(seed, true).run()
		is.Equal(crashes, 2) // upstreams taken down by one request sent one copy at a time
		is.Equal(refused, 0) // innocent contents in quarantine
	}
}

// Shows that the conviction under a permit matters: without it, innocents that ran beside the poison are refused.
func TestWithoutPermitsInnocentsAreQuarantined(t *testing.T) {
	is := is.New(t)
	b := newBench(4, false)
	b.board.ConvictAnyone()
	_, refused := b.run()
	is.True(refused > 0)
}

// Shows that isolation matters: without permits nobody is convicted and the poison goes on.
func TestWithoutIsolationThePoisonGoesOn(t *testing.T) {
	is := is.New(t)
	crashes, _ := newBench(3, false).run()
	is.True(crashes > 2)
}

// Guards against content that is refused for ever.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	b, g := poison.NewTracker(1), poison.NewGuard()
	b.Permit(0, "u", poisonous, "host/1")
	for i := range uint64(2) {
		b.Report(0, poison.Report{Process: poison.Process{Name: "u", Incarnation: i}, Fingerprints: []string{poisonous}})
	}
	g.Update(0, b.List(0), false)
	v, left := g.Check(time.Second, poisonous)
	is.Equal(v, poison.VerdictRefuse)
	is.Equal(left, poison.QuarantineTime-time.Second)
	v, _ = g.Check(poison.QuarantineTime, poisonous)
	is.Equal(v, poison.VerdictRun)
	is.Equal(len(b.List(poison.QuarantineTime).Quarantined), 0)
}

// Guards against one crash that counts twice because two hosts reported it.
func TestReportsOfOneProcessAreOneCrash(t *testing.T) {
	is := is.New(t)
	b := poison.NewTracker(1)
	r := poison.Report{Process: poison.Process{Name: "u", Incarnation: 7}, Fingerprints: []string{"page"}}
	b.Report(0, r)
	b.Report(0, r)
	is.Equal(len(b.List(0).Quarantined), 0)
	is.Equal(b.List(0).Watched, []string{"page"})
}

// Guards against a new leader that forgets the first crash of a suspect.
func TestReportsAreRepeatedToANewLeader(t *testing.T) {
	is := is.New(t)
	g := poison.NewGuard()
	p := poison.Process{Name: "u", Incarnation: 1}
	g.Begin(p, poisonous)
	g.EndBroken(0, p, poisonous)
	old := poison.NewTracker(1)
	is.Equal(len(g.Update(time.Second, old.List(time.Second), false)), 0)
	is.Equal(len(g.Update(time.Second, poison.NewTracker(1<<32).List(time.Second), true)), 1)
}

// Guards against a new leader that forgets what its predecessor refused or watched, and against a host that lets it
// run before the new leader lists it.
func TestANewLeaderKeepsSuspects(t *testing.T) {
	is := is.New(t)
	g, old, next := poison.NewGuard(), poison.NewTracker(1<<32), poison.NewTracker(2<<32)
	old.Permit(0, "u", poisonous, "host/1")
	for i := range uint64(2) {
		old.Report(0, poison.Report{Process: poison.Process{Name: "u", Incarnation: i}, Fingerprints: []string{poisonous}})
	}
	first := poison.Process{Name: "v", Incarnation: 7}
	old.Report(0, poison.Report{Process: first, Fingerprints: []string{"page"}})
	g.Update(0, old.List(0), true)
	again := g.Update(time.Second, next.List(time.Second), true)
	v, _ := g.Check(time.Second, poisonous)
	is.Equal(v, poison.VerdictRefuse)
	v, _ = g.Check(time.Second, "page")
	is.Equal(v, poison.VerdictIsolate)
	for _, r := range again {
		next.Report(time.Second, r)
	}
	is.Equal(next.List(time.Second).Watched, []string{"page"})
	is.Equal(next.List(time.Second).Quarantined, []poison.Quarantine{
		{Fingerprint: poisonous, RemainingMs: (poison.QuarantineTime - time.Second).Milliseconds()},
	})
	is.Equal(next.List(time.Second).Crashes["page"], []poison.Process{first})
}

// Guards against the second crash of a quickly restarted upstream, which is still listed under its old incarnation,
// being taken for the first one; and against a late report of the first crash being taken for a second one.
func TestCrashUnderAPermitIsANewOne(t *testing.T) {
	is := is.New(t)
	b := poison.NewTracker(1)
	r := poison.Report{Process: poison.Process{Name: "u", Incarnation: 7}, Fingerprints: []string{poisonous}}
	b.Report(0, r)
	is.True(b.Permit(0, "u", poisonous, "host/1"))
	b.Report(0, r)
	is.Equal(len(b.List(0).Quarantined), 0)
	r.Holder = "host/1"
	b.Report(0, r)
	is.Equal(len(b.List(0).Quarantined), 1)
}
