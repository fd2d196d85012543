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
	hostCount            = 4
	upstreamCount        = 6
	harmlessContentCount = 60
	poisonContent        = "crash"
)

type runningRequest struct {
	host      int
	process   poison.Process
	content   string
	holder    string
	stepsLeft int
}

// simulation runs requests of several hosts on several upstreams. Each request with poisonContent crashes its upstream.
type simulation struct {
	random      *rand.Rand
	now         time.Duration
	tracker     *poison.Tracker
	guards      []*poison.Guard
	incarnation [upstreamCount]uint64
	running     []runningRequest
	crashes     int
	holders     int
	// lastCrashVersion is the version of the leader's list after the last crash.
	lastCrashVersion uint64
	isolate          bool
}

func newSimulation(seed uint64, isolate bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), tracker: poison.NewTracker(1), isolate: isolate}
	for range hostCount {
		s.guards = append(s.guards, poison.NewGuard())
	}
	return s
}

func (s *simulation) step() {
	s.now += time.Millisecond
	for i, g := range s.guards {
		if s.random.IntN(3) == 0 {
			g.Update(s.now, s.tracker.List(s.now), false)
		}
		content := fmt.Sprintf("page-%d", s.random.IntN(harmlessContentCount))
		if s.random.IntN(4) == 0 && !s.isRunning(poisonContent) && s.allGuardsUpdated() {
			content = poisonContent
		}
		s.start(i, content)
	}
	s.finish()
}

// allGuardsUpdated reports whether every host knows of the last crash. The caller of a crashed request gets its response
// only then, and so can't send the request again earlier.
func (s *simulation) allGuardsUpdated() bool {
	for _, g := range s.guards {
		if g.Version() < s.lastCrashVersion {
			return false
		}
	}
	return true
}

func (s *simulation) isRunning(content string) bool {
	for _, r := range s.running {
		if r.content == content {
			return true
		}
	}
	return false
}

func (s *simulation) start(host int, content string) {
	u := s.random.IntN(upstreamCount)
	p := poison.Process{Name: fmt.Sprintf("u%d", u), Incarnation: s.incarnation[u]}
	r := runningRequest{host: host, process: p, content: content, stepsLeft: 1 + s.random.IntN(10)}
	switch v, _ := s.guards[host].Check(s.now, content); {
	case v == poison.VerdictRefuse:
		return
	case v == poison.VerdictIsolate && s.isolate:
		s.holders++
		r.holder = fmt.Sprint(s.holders)
		if !s.tracker.Permit(s.now, p.Name, content, r.holder) {
			return
		}
	}
	s.guards[host].Begin(p, content)
	s.running = append(s.running, r)
}

func (s *simulation) finish() {
	var crashed []poison.Process
	for i := range s.running {
		s.running[i].stepsLeft--
		if s.running[i].stepsLeft == 0 && s.running[i].content == poisonContent {
			crashed = append(crashed, s.running[i].process)
		}
	}
	for _, p := range crashed {
		s.crash(p)
	}
	remaining := s.running[:0]
	for _, r := range s.running {
		if r.stepsLeft > 0 {
			remaining = append(remaining, r)
			continue
		}
		s.guards[r.host].End(r.process, r.content)
		s.release(r)
		s.tracker.Clear(s.now, r.content)
	}
	s.running = remaining
}

func (s *simulation) crash(p poison.Process) {
	s.crashes++
	for u := range s.incarnation {
		if p.Name == fmt.Sprintf("u%d", u) && p.Incarnation == s.incarnation[u] {
			s.incarnation[u]++
		}
	}
	remaining := s.running[:0:0]
	for _, r := range s.running {
		if r.process != p {
			remaining = append(remaining, r)
			continue
		}
		s.tracker.Report(s.now, s.guards[r.host].EndBroken(s.now, p, r.content))
		s.release(r)
	}
	s.running = remaining
	s.lastCrashVersion = s.tracker.Version(s.now)
}

func (s *simulation) release(r runningRequest) {
	if r.holder != "" {
		s.tracker.Release(r.process.Name, r.holder)
	}
}

func (s *simulation) run() (crashes int, harmlessRefused int) {
	for range 2000 {
		s.step()
	}
	for _, q := range s.tracker.List(s.now).Quarantined {
		if q.Fingerprint != poisonContent {
			harmlessRefused++
		}
	}
	return s.crashes, harmlessRefused
}

// Guards against content that crashes more than two upstreams before it is quarantined, and against the quarantine of
// harmless content that was in flight on the same upstream.
func TestOnlyPoisonContentIsQuarantined(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		crashes, refused := newSimulation(seed, true).run()
		is.Equal(crashes, 2) // upstreams crashed by the poison content, of which at most one copy runs at a time
		is.Equal(refused, 0) // harmless content in quarantine
	}
}

// Checks that the permit is necessary: without it, harmless content that was in flight with the poison content is
// quarantined.
func TestWithoutPermitsHarmlessContentIsQuarantined(t *testing.T) {
	is := is.New(t)
	s := newSimulation(4, false)
	s.tracker.IgnorePermits()
	_, refused := s.run()
	is.True(refused > 0)
}

// Checks that isolation is necessary: without permits no content is quarantined and the crashes continue.
func TestWithoutIsolationCrashesContinue(t *testing.T) {
	is := is.New(t)
	crashes, _ := newSimulation(3, false).run()
	is.True(crashes > 2)
}

// Guards against a quarantine that never expires.
func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	tracker, g := poison.NewTracker(1), poison.NewGuard()
	tracker.Permit(0, "u", poisonContent, "host/1")
	for i := range uint64(2) {
		tracker.Report(0, poison.Report{Process: poison.Process{Name: "u", Incarnation: i}, Fingerprints: []string{poisonContent}})
	}
	g.Update(0, tracker.List(0), false)
	v, left := g.Check(time.Second, poisonContent)
	is.Equal(v, poison.VerdictRefuse)
	is.Equal(left, poison.QuarantineTTL-time.Second)
	v, _ = g.Check(poison.QuarantineTTL, poisonContent)
	is.Equal(v, poison.VerdictRun)
	is.Equal(len(tracker.List(poison.QuarantineTTL).Quarantined), 0)
}

// Guards against counting one crash twice because two hosts report it.
func TestReportsOfOneProcessAreOneCrash(t *testing.T) {
	is := is.New(t)
	tracker := poison.NewTracker(1)
	r := poison.Report{Process: poison.Process{Name: "u", Incarnation: 7}, Fingerprints: []string{"page"}}
	tracker.Report(0, r)
	tracker.Report(0, r)
	is.Equal(len(tracker.List(0).Quarantined), 0)
	is.Equal(tracker.List(0).Watched, []string{"page"})
}

// Guards against losing the first crash of a suspect when the leader changes.
func TestReportsAreRepeatedToNewLeader(t *testing.T) {
	is := is.New(t)
	g := poison.NewGuard()
	p := poison.Process{Name: "u", Incarnation: 1}
	g.Begin(p, poisonContent)
	g.EndBroken(0, p, poisonContent)
	old := poison.NewTracker(1)
	is.Equal(len(g.Update(time.Second, old.List(time.Second), false)), 0)
	is.Equal(len(g.Update(time.Second, poison.NewTracker(1<<32).List(time.Second), true)), 1)
}

// Guards against losing the quarantined and watched content when the leader changes, and against a host that runs such
// content before the new leader lists it.
func TestNewLeaderKeepsSuspects(t *testing.T) {
	is := is.New(t)
	g, old, next := poison.NewGuard(), poison.NewTracker(1<<32), poison.NewTracker(2<<32)
	old.Permit(0, "u", poisonContent, "host/1")
	for i := range uint64(2) {
		old.Report(0, poison.Report{Process: poison.Process{Name: "u", Incarnation: i}, Fingerprints: []string{poisonContent}})
	}
	first := poison.Process{Name: "v", Incarnation: 7}
	old.Report(0, poison.Report{Process: first, Fingerprints: []string{"page"}})
	g.Update(0, old.List(0), true)
	reports := g.Update(time.Second, next.List(time.Second), true)
	v, _ := g.Check(time.Second, poisonContent)
	is.Equal(v, poison.VerdictRefuse)
	v, _ = g.Check(time.Second, "page")
	is.Equal(v, poison.VerdictIsolate)
	for _, r := range reports {
		next.Report(time.Second, r)
	}
	is.Equal(next.List(time.Second).Watched, []string{"page"})
	is.Equal(next.List(time.Second).Quarantined, []poison.Quarantine{
		{Fingerprint: poisonContent, RemainingMs: (poison.QuarantineTTL - time.Second).Milliseconds()},
	})
	is.Equal(next.List(time.Second).Crashes["page"], []poison.Process{first})
}

// Guards against two errors after the quick restart of an upstream, which is still listed under its old incarnation: its
// second crash counts as the first, or a late report of the first crash counts as a second one.
func TestCrashUnderPermitIsNew(t *testing.T) {
	is := is.New(t)
	tracker := poison.NewTracker(1)
	r := poison.Report{Process: poison.Process{Name: "u", Incarnation: 7}, Fingerprints: []string{poisonContent}}
	tracker.Report(0, r)
	is.True(tracker.Permit(0, "u", poisonContent, "host/1"))
	tracker.Report(0, r)
	is.Equal(len(tracker.List(0).Quarantined), 0)
	r.Holder = "host/1"
	tracker.Report(0, r)
	is.Equal(len(tracker.List(0).Quarantined), 1)
}

// Guards against a third crash by content that the leader has quarantined, at a host that does not have the new list yet and
// asks for a permit.
func TestQuarantinedContentGetsNoPermit(t *testing.T) {
	is := is.New(t)
	tracker := poison.NewTracker(poison.FirstVersion(1))
	for i := range 2 {
		p := poison.Process{Name: fmt.Sprint("u", i), Incarnation: 1}
		is.True(tracker.Permit(time.Second, p.Name, "f", "h1"))
		tracker.Report(time.Second, poison.Report{Process: p, Fingerprints: []string{"f"}, Holder: "h1"})
		tracker.Release(p.Name, "h1")
	}
	is.Equal(len(tracker.List(time.Second).Quarantined), 1)
	is.True(!tracker.Permit(time.Second, "u3", "f", "h2"))
	is.True(tracker.Permit(time.Second, "u3", "other", "h2"))
}
