package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"baobabreach/internal/owner"
	"baobabreach/internal/poison"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// crashReportTimeout limits how long ReportCrash waits for all entry hosts to learn of a crash.
const crashReportTimeout = time.Second

// suspects holds the leader's crash tracker, and the version of its list of suspected requests that each entry host has
// acknowledged. It is guarded by plannerMu.
type suspects struct {
	tracker      *poison.Tracker
	acknowledged map[string]acknowledgedList
	// acksChanged is closed and replaced with each renewal that acknowledges a new list.
	acksChanged chan struct{}
	// recordedVersion is the version of the list whose quarantined content the replicated state has.
	recordedVersion uint64
}

// acknowledgedList is the version of the list that a host uses until its routing lease ends.
type acknowledgedList struct {
	version uint64
	until   time.Duration
}

func newSuspects(term uint64) *suspects {
	return &suspects{
		tracker: poison.NewTracker(poison.FirstVersion(term)), acknowledged: map[string]acknowledgedList{},
		acksChanged: make(chan struct{}),
	}
}

// quarantineCommands returns the commands that bring the quarantined content of the state up to date with the tracker.
// wallMs is the leader's wall clock in milliseconds since the Unix epoch.
func (s *suspects) quarantineCommands(now time.Duration, wallMs int64, recorded map[string]int64) []state.Command {
	version := s.tracker.Version(now)
	if version == s.recordedVersion {
		return nil
	}
	var out []state.Command
	current := map[string]bool{}
	for _, q := range s.tracker.QuarantinedByRuns(now) {
		current[q.Fingerprint] = true
		if _, ok := recorded[q.Fingerprint]; !ok {
			out = append(out, state.Command{Quarantine: &state.Quarantine{
				Fingerprint: q.Fingerprint, UntilMs: wallMs + q.RemainingMs,
			}})
		}
	}
	for _, f := range slices.Sorted(maps.Keys(recorded)) {
		if !current[f] {
			out = append(out, state.Command{Quarantine: &state.Quarantine{Fingerprint: f}})
		}
	}
	if len(out) == 0 {
		s.recordedVersion = version
	}
	return out
}

// adopt quarantines the content of the replicated state.
func (s *suspects) adopt(now time.Duration, wallMs int64, recorded map[string]int64) {
	var quarantined []poison.Quarantine
	for _, f := range slices.Sorted(maps.Keys(recorded)) {
		quarantined = append(quarantined, poison.Quarantine{Fingerprint: f, RemainingMs: recorded[f] - wallMs})
	}
	s.tracker.Adopt(now, quarantined)
}

func (s *suspects) acknowledge(now, ttl time.Duration, r owner.Renewal) {
	old := s.acknowledged[r.Daemon.Host]
	s.acknowledged[r.Daemon.Host] = acknowledgedList{version: r.SuspectsVersion, until: now + proto.WithDrift(ttl)}
	if old.version != r.SuspectsVersion {
		close(s.acksChanged)
		s.acksChanged = make(chan struct{})
	}
}

// acknowledgedByAll reports whether every host with a lease uses the given version of the list or a newer one.
func (s *suspects) acknowledgedByAll(now time.Duration, version uint64) bool {
	for host, a := range s.acknowledged {
		if now >= a.until {
			delete(s.acknowledged, host)
			continue
		}
		if a.version < version {
			return false
		}
	}
	return true
}

// ReportCrash adds a report to the crash tracker and returns once every entry host knows of it, so that a caller that
// repeats the request after the response finds the new list on every host. It waits at most for crashReportTimeout.
func (n *Node) ReportCrash(ctx context.Context, r poison.Report) error {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	n.plannerMu.Lock()
	if err := n.requireLeader(); err != nil {
		n.plannerMu.Unlock()
		return err
	}
	s := n.suspects
	now := n.cfg.Clock()
	s.tracker.Report(now, r)
	version := s.tracker.Version(now)
	n.plannerMu.Unlock()
	n.notifyWatchers()
	for {
		n.plannerMu.Lock()
		acksChanged, done := s.acksChanged, s.acknowledgedByAll(n.cfg.Clock(), version)
		n.plannerMu.Unlock()
		if done {
			return nil
		}
		select {
		case <-acksChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

// ReportRuns adds the report of a host that does not isolate requests. It does not wait for other hosts to learn of it.
func (n *Node) ReportRuns(r poison.RunReport) error {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if err := n.requireLeader(); err != nil {
		return err
	}
	now := n.cfg.Clock()
	t := n.suspects.tracker
	before := t.Version(now)
	for _, v := range t.ReportRuns(now, r) {
		n.cfg.Log.Warn("content is quarantined", "content", v.Fingerprint, "crashes", v.Crashes, "other_events", v.OtherEvents)
	}
	if t.Version(now) != before {
		n.notifyWatchers()
	}
	return nil
}

// recordReport notes that an upstream process has reported, so that it has not crashed. The caller holds plannerMu.
func (n *Node) recordReport(received time.Duration, a proto.Announcement) {
	p := poison.Process{Name: a.Name, Incarnation: a.Incarnation}
	if n.suspects.tracker.RecordReport(received, p) {
		n.cfg.Log.Warn("content is no longer quarantined: an upstream that counted as crashed has reported", "upstream", a.Name)
		n.notifyWatchers()
	}
}

// Permit grants or releases the exclusive right to run watched content on an upstream.
func (n *Node) Permit(q poison.PermitRequest) (poison.PermitResponse, error) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if err := n.requireLeader(); err != nil {
		return poison.PermitResponse{}, err
	}
	now := n.cfg.Clock()
	t := n.suspects.tracker
	if !q.Release {
		n.recoverCrashes(now, q)
		return poison.PermitResponse{Granted: t.Permit(now, q.Upstream, q.Fingerprint, q.Holder)}, nil
	}
	t.Release(q.Upstream, q.Holder)
	if q.Succeeded {
		t.Clear(now, q.Fingerprint)
		n.notifyWatchers()
	}
	return poison.PermitResponse{}, nil
}

// recoverCrashes adds crashes to the crash tracker that a host learned of from an earlier leader. They are ignored once
// the host has a list of this leader, because the content may have been cleared since. The caller holds plannerMu.
func (n *Node) recoverCrashes(now time.Duration, q poison.PermitRequest) {
	t := n.suspects.tracker
	if poison.SameLeader(q.Version, t.Version(now)) {
		return
	}
	for _, p := range q.Crashes {
		t.Report(now, poison.Report{Process: p, Fingerprints: []string{q.Fingerprint}, FromEarlierLeader: true})
	}
}

// requireLeader returns an error unless this replica leads and holds the leader lease. The caller holds plannerMu.
func (n *Node) requireLeader() error {
	if n.planner == nil || !n.holdsLease(n.cfg.Clock()) {
		return n.notLeader()
	}
	return nil
}

func (n *Node) notifyWatchers() {
	n.watchMu.Lock()
	defer n.watchMu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// suspectsVersion returns the version of the leader's list of suspects, or 0 on a replica that has never led.
func (n *Node) suspectsVersion() uint64 {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if n.suspects == nil {
		return 0
	}
	return n.suspects.tracker.Version(n.cfg.Clock())
}
