package node

import (
	"context"
	"net/http"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/owner"
	"baobabreach/internal/poison"
	"baobabreach/internal/raft"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// Receive queues messages from other replicas. Messages are dropped if the queue is full; raft treats them as lost by
// the network.
func (n *Node) Receive(messages []raft.Message) {
	select {
	case n.inbox <- messages:
	default:
	}
}

// Propose commits commands and returns their results. After an error the commands may still be committed later.
func (n *Node) Propose(ctx context.Context, commands []state.Command) ([]state.Result, error) {
	if !n.holdsLease(n.cfg.Clock()) {
		return nil, n.notLeader()
	}
	n.setLeaderFields(commands)
	p := proposal{commands: commands, done: make(chan proposalResult, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stopped:
		return nil, n.notLeader()
	}
	select {
	case r := <-p.done:
		return r.results, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stopped:
		return nil, n.notLeader()
	}
}

// setLeaderFields sets the leader's wall clock in claims and abandons, and its view of the group in intents. The clock
// of the host that serves the caller is not used: one host whose clock is far ahead would make the IDs of all other
// hosts look expired.
func (n *Node) setLeaderFields(commands []state.Command) {
	for i := range commands {
		if c := commands[i].Claim; c != nil {
			claim := *c
			claim.NowMs = n.cfg.WallMs()
			commands[i].Claim = &claim
		}
		if c := commands[i].Abandon; c != nil {
			abandon := *c
			abandon.NowMs = n.cfg.WallMs()
			commands[i].Abandon = &abandon
		}
		if c := commands[i].Plan; c != nil {
			plan := *c
			plan.Members = n.Status().Group
			commands[i].Plan = &plan
		}
		if c := commands[i].Confirm; c != nil {
			confirm := *c
			confirm.Members = n.Status().Group
			commands[i].Confirm = &confirm
		}
	}
}

// Announce handles an upstream's announcement on the leader and returns the grant. received is the time at which the
// announcement arrived.
func (n *Node) Announce(received time.Duration, a proto.Announcement) (proto.Grant, error) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	// The lease is checked after the announcement arrived, so that the grant ends before a new leader stops waiting
	// for it.
	if err := n.requireLeader(); err != nil {
		return proto.Grant{}, err
	}
	g, e := n.planner.Announce(received, n.model.Load(), a)
	if e != nil {
		return g, e
	}
	n.recordReport(received, a)
	return g, nil
}

// CurrentGrant returns the current grant for an announcement that Announce has already handled.
func (n *Node) CurrentGrant(a proto.Announcement) (proto.Grant, error) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if err := n.requireLeader(); err != nil {
		return proto.Grant{}, err
	}
	return n.planner.Regrant(n.cfg.Clock(), n.model.Load(), a), nil
}

// TimeToNextGrantExpiry returns the time until the earliest expiry of any current grant, or false if there is none or this
// replica is not the leader.
func (n *Node) TimeToNextGrantExpiry() (time.Duration, bool) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if n.planner == nil {
		return 0, false
	}
	return n.planner.TimeToNextGrantExpiry(n.cfg.Clock())
}

// Syncs returns the number of disk syncs of this replica.
func (n *Node) Syncs() int64 { return n.cfg.Store.SyncCount() }

// MarkLeaving records on the leader that an upstream is leaving, and returns true once the state shows it.
func (n *Node) MarkLeaving(name string) (bool, error) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if err := n.requireLeader(); err != nil {
		return false, err
	}
	return n.planner.MarkLeaving(n.cfg.Clock(), n.model.Load(), name), nil
}

// RecordLeaving records on the leader that upstreams say in their answers that they leave.
func (n *Node) RecordLeaving(processes []poison.Process) error {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if err := n.requireLeader(); err != nil {
		return err
	}
	for _, p := range processes {
		n.planner.RecordLeaving(n.model.Load(), p)
	}
	return nil
}

// Changed returns a channel that is closed on the next change of the model or of the suspects.
func (n *Node) Changed() <-chan struct{} {
	n.watchMu.Lock()
	defer n.watchMu.Unlock()
	return n.changed
}

// CheckLeader returns nil while this replica holds the leader lease, and an error with the code not_leader otherwise.
func (n *Node) CheckLeader() error {
	if !n.holdsLease(n.cfg.Clock()) {
		return n.notLeader()
	}
	return nil
}

// AwaitLeader returns once this replica holds the leader lease or knows another replica that leads, ctx is done, or Run has
// returned.
func (n *Node) AwaitLeader(ctx context.Context) {
	n.watchMu.Lock()
	found := n.leaderFound
	n.watchMu.Unlock()
	select {
	case <-found:
	case <-ctx.Done():
	case <-n.stopped:
	}
}

// Renew handles an entry host's lease renewal on the leader. received is the time at which the renewal arrived.
func (n *Node) Renew(received time.Duration, r owner.Renewal) (owner.Lease, error) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if err := n.requireLeader(); err != nil {
		return owner.Lease{}, err
	}
	l := n.planner.Renew(received, n.publishedState(n.cfg.Clock()), r)
	n.suspects.acknowledge(received, time.Duration(l.TTLMs)*time.Millisecond, r)
	if r.Compact && (l.Table != nil || l.Delta != nil) {
		if err := n.packCache.pack(&l, r.TableVersion); err != nil {
			return owner.Lease{}, err
		}
	}
	if r.SuspectsVersion != n.suspects.tracker.Version(received) {
		list := n.suspects.tracker.List(received)
		l.Suspects = &list
	}
	return l, nil
}

// Watch returns once the version of the state or of the suspects differs from the host's known versions, or ctx is
// done.
func (n *Node) Watch(ctx context.Context, known owner.Versions) (owner.Versions, error) {
	for {
		n.watchMu.Lock()
		changed := n.changed
		n.watchMu.Unlock()
		if !n.holdsLease(n.cfg.Clock()) {
			return known, n.notLeader()
		}
		current := owner.Versions{Table: n.model.Load().Version, Suspects: n.suspectsVersion()}
		if current != known {
			return current, nil
		}
		select {
		case <-ctx.Done():
			return known, nil
		case <-changed:
		}
	}
}

// publishedState returns the state that entry hosts get as their table. It changes at most once per publishInterval,
// so that a burst of changes makes one update, which is packed once for all hosts. The caller holds plannerMu.
func (n *Node) publishedState(now time.Duration) *model.State {
	s := n.model.Load()
	if n.published == nil || s.Version < n.published.Version || now-n.publishedAt >= n.publishInterval() {
		n.published, n.publishedAt = s, now
	}
	return n.published
}

// publishInterval grows with the number of hosts, since each table is sent to all of them. The caller holds plannerMu.
func (n *Node) publishInterval() time.Duration {
	hosts := 0
	if n.planner != nil {
		hosts = n.planner.HostCount()
	}
	return max(n.cfg.PublishInterval, min(time.Duration(hosts)*n.cfg.PublishPerHost, maxPublishInterval))
}

// maxPublishInterval limits the age of a host's table. It must be well below the two seconds for which a leaving upstream
// still serves requests.
const maxPublishInterval = 300 * time.Millisecond

// timeToNextTable returns the time until a newer table than the known version may be sent, or false if there is none.
func (n *Node) timeToNextTable(known uint64) (time.Duration, bool) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	now := n.cfg.Clock()
	if n.publishedState(now).Version != known {
		return 0, true
	}
	if n.model.Load().Version == known {
		return 0, false
	}
	return n.publishedAt + n.publishInterval() - now, true
}

// AwaitUpdate returns once there is an update for a host with the known versions, or ctx is done.
func (n *Node) AwaitUpdate(ctx context.Context, known owner.Versions) error {
	for ctx.Err() == nil {
		if known.Suspects != n.suspectsVersion() {
			return nil
		}
		wait, changed := n.timeToNextTable(known.Table)
		if changed && wait <= 0 {
			return nil
		}
		if changed {
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
			continue
		}
		if _, err := n.Watch(ctx, known); err != nil {
			return err
		}
	}
	return nil
}

// packCache caches packed updates, because hosts that follow each change request the same ones. It is guarded by
// plannerMu.
type packCache struct {
	version uint64
	// byBase maps the version that an update is based on to its packed form; a whole table is stored under 0.
	byBase map[uint64][]byte
}

// TableWithoutLeader returns the packed table of this replica while no leader is known. It may be a few changes old.
func (n *Node) TableWithoutLeader() ([]byte, error) {
	n.watchMu.Lock()
	known := n.leaderKnown
	n.watchMu.Unlock()
	if known {
		return nil, n.notLeader()
	}
	s := n.model.Load()
	if len(s.Routes) == 0 {
		return nil, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "this replica holds no configuration")
	}
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	l := owner.Lease{Version: s.Version, Table: route.NewTable(s)}
	if err := n.packCache.pack(&l, 0); err != nil {
		return nil, err
	}
	return l.Packed, nil
}

// pack replaces the table or delta of a lease by its packed form.
func (p *packCache) pack(l *owner.Lease, base uint64) error {
	if p.version != l.Version || p.byBase == nil {
		p.version, p.byBase = l.Version, map[uint64][]byte{}
	}
	if l.Table != nil {
		base = 0
	}
	b, ok := p.byBase[base]
	if !ok {
		var err error
		if b, err = route.Pack(l.Table, l.Delta); err != nil {
			return err
		}
		p.byBase[base] = b
	}
	l.Table, l.Delta, l.Packed = nil, nil, b
	return nil
}

// Model returns the applied state of this replica, which may lag behind the leader's.
func (n *Node) Model() *model.State { return n.model.Load() }

// Status returns the last published status of the replica.
func (n *Node) Status() Status { return *n.status.Load() }
