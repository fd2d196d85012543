package node

import (
	"context"
	"time"

	"baobabreach/internal/owner"
	"baobabreach/internal/poison"
	"baobabreach/pkg/proto"
)

// reportWait bounds the wait for all entry hosts to learn of a crash.
const reportWait = time.Second

// suspects is the leader's board with what each entry host has acknowledged. It is guarded by ownerMu.
type suspects struct {
	board *poison.Tracker
	hosts map[string]ackedList
	// acked is closed and replaced with each renewal that acknowledges a new list.
	acked chan struct{}
}

// ackedList is the version of the list that a host uses while its routing lease holds.
type ackedList struct {
	version uint64
	until   time.Duration
}

func newSuspects(term uint64) *suspects {
	return &suspects{
		board: poison.NewTracker(poison.FirstVersion(term)), hosts: map[string]ackedList{}, acked: make(chan struct{}),
	}
}

func (s *suspects) acknowledge(now, ttl time.Duration, r owner.Renewal) {
	old := s.hosts[r.Daemon.Host]
	s.hosts[r.Daemon.Host] = ackedList{version: r.SuspectsVersion, until: now + proto.WithDrift(ttl)}
	if old.version != r.SuspectsVersion {
		close(s.acked)
		s.acked = make(chan struct{})
	}
}

// inForce tells whether every host with a lease uses the list of the version or a newer one.
func (s *suspects) inForce(now time.Duration, version uint64) bool {
	for host, a := range s.hosts {
		if now >= a.until {
			delete(s.hosts, host)
			continue
		}
		if a.version < version {
			return false
		}
	}
	return true
}

// ReportCrash takes a report and returns once every entry host knows of it, so that a caller who sends the same
// request again after the answer meets the new list everywhere. It gives up waiting after reportWait.
func (n *Node) ReportCrash(ctx context.Context, r poison.Report) error {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	n.ownerMu.Lock()
	if err := n.mustLead(); err != nil {
		n.ownerMu.Unlock()
		return err
	}
	s := n.suspects
	now := n.cfg.Clock()
	s.board.Report(now, r)
	version := s.board.Version(now)
	n.ownerMu.Unlock()
	n.wakeWatchers()
	for {
		n.ownerMu.Lock()
		acked, done := s.acked, s.inForce(n.cfg.Clock(), version)
		n.ownerMu.Unlock()
		if done {
			return nil
		}
		select {
		case <-acked:
		case <-ctx.Done():
			return nil
		}
	}
}

// Permit asks for, or gives back, the exclusive run of watched content on an upstream.
func (n *Node) Permit(q poison.PermitRequest) (poison.PermitResponse, error) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	if err := n.mustLead(); err != nil {
		return poison.PermitResponse{}, err
	}
	now := n.cfg.Clock()
	b := n.suspects.board
	if !q.Release {
		n.recall(now, q)
		return poison.PermitResponse{Granted: b.Permit(now, q.Upstream, q.Fingerprint, q.Holder)}, nil
	}
	b.Release(q.Upstream, q.Holder)
	if q.Succeeded {
		b.Clear(now, q.Fingerprint)
		n.wakeWatchers()
	}
	return poison.PermitResponse{}, nil
}

// recall takes over what a host learned from an earlier leader. The host's knowledge is not used once it has a list of
// this leader: the content may have been cleared since. The caller holds ownerMu.
func (n *Node) recall(now time.Duration, q poison.PermitRequest) {
	b := n.suspects.board
	if poison.SameLeader(q.Version, b.Version(now)) {
		return
	}
	for _, p := range q.Crashes {
		b.Report(now, poison.Report{Process: p, Fingerprints: []string{q.Fingerprint}, FromEarlierLeader: true})
	}
}

// mustLead returns an error unless this replica is the leader inside its lease. The caller holds ownerMu.
func (n *Node) mustLead() error {
	if n.planner == nil || !n.leads(n.cfg.Clock()) {
		return n.notLeader()
	}
	return nil
}

func (n *Node) wakeWatchers() {
	n.watchMu.Lock()
	defer n.watchMu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// suspectsVersion returns the version of the leader's list, or 0 on another replica.
func (n *Node) suspectsVersion() uint64 {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	if n.suspects == nil {
		return 0
	}
	return n.suspects.board.Version(n.cfg.Clock())
}
