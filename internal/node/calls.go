package node

import (
	"context"
	"net/http"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/owner"
	"baobabreach/internal/raft"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"
)

// Receive queues messages of other replicas. Messages that find the queue full are lost, as on a network.
func (n *Node) Receive(ms []raft.Message) {
	select {
	case n.inbox <- ms:
	default:
	}
}

// Propose commits commands and returns their results. After an error the commands may still be committed later.
func (n *Node) Propose(ctx context.Context, cs []state.Command) ([]state.Result, error) {
	if !n.leads(n.cfg.Clock()) {
		return nil, n.notLeader()
	}
	n.stamp(cs)
	p := proposal{commands: cs, done: make(chan outcome, 1)}
	select {
	case n.proposed <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stopped:
		return nil, n.notLeader()
	}
	select {
	case o := <-p.done:
		return o.results, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stopped:
		return nil, n.notLeader()
	}
}

// stamp gives claims the leader's wall clock and intents its view of the group. The clock of the host that serves the
// caller is not used: one host with a clock far ahead would make the ids of all others look expired.
func (n *Node) stamp(cs []state.Command) {
	for i := range cs {
		if c := cs[i].Claim; c != nil {
			stamped := *c
			stamped.NowMs = n.cfg.WallMs()
			cs[i].Claim = &stamped
		}
		if c := cs[i].Abandon; c != nil {
			stamped := *c
			stamped.NowMs = n.cfg.WallMs()
			cs[i].Abandon = &stamped
		}
		if c := cs[i].Plan; c != nil {
			stamped := *c
			stamped.Members = n.Status().Group
			cs[i].Plan = &stamped
		}
		if c := cs[i].Confirm; c != nil {
			stamped := *c
			stamped.Members = n.Status().Group
			cs[i].Confirm = &stamped
		}
	}
}

// Announce answers an upstream's announcement on the leader. received is the time at which it arrived.
func (n *Node) Announce(received time.Duration, a proto.Announcement) (proto.Grant, error) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	// The lease is checked after the receipt, so that the grant ends before a successor stops waiting for it.
	if err := n.mustLead(); err != nil {
		return proto.Grant{}, err
	}
	g, e := n.planner.Announce(received, n.model.Load(), a)
	if e != nil {
		return g, e
	}
	return g, nil
}

// CurrentGrant returns the present grant for an announcement that Announce has answered before.
func (n *Node) CurrentGrant(a proto.Announcement) (proto.Grant, error) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	if err := n.mustLead(); err != nil {
		return proto.Grant{}, err
	}
	return n.planner.Regrant(n.cfg.Clock(), n.model.Load(), a), nil
}

// LeastGrantLeft returns the time until the first grant of an upstream ends, or false on replicas that don't lead.
func (n *Node) LeastGrantLeft() (time.Duration, bool) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	if n.planner == nil {
		return 0, false
	}
	return n.planner.LeastGrantLeft(n.cfg.Clock())
}

// Syncs returns the number of syncs of this replica's disk.
func (n *Node) Syncs() int64 { return n.cfg.Store.Syncs() }

// Depart notes on the leader that an upstream leaves, and returns true once the state says so.
func (n *Node) Depart(name string) (bool, error) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	if err := n.mustLead(); err != nil {
		return false, err
	}
	return n.planner.Depart(n.cfg.Clock(), n.model.Load(), name), nil
}

// Changed returns a channel that is closed with the next change of the model.
func (n *Node) Changed() <-chan struct{} {
	n.watchMu.Lock()
	defer n.watchMu.Unlock()
	return n.changed
}

// CheckLeader returns nil while this replica may answer for the group, and an error with the code not_leader otherwise.
func (n *Node) CheckLeader() error {
	if !n.leads(n.cfg.Clock()) {
		return n.notLeader()
	}
	return nil
}

// AwaitLeader returns once this replica leads or knows another one that does, or ctx ends.
func (n *Node) AwaitLeader(ctx context.Context) {
	n.watchMu.Lock()
	led := n.led
	n.watchMu.Unlock()
	select {
	case <-led:
	case <-ctx.Done():
	case <-n.stopped:
	}
}

// Renew answers an entry host's renewal on the leader. received is the time at which it arrived.
func (n *Node) Renew(received time.Duration, r owner.Renewal) (owner.Lease, error) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	if err := n.mustLead(); err != nil {
		return owner.Lease{}, err
	}
	l := n.planner.Renew(received, n.table(n.cfg.Clock()), r)
	n.suspects.acknowledge(received, time.Duration(l.TTLMs)*time.Millisecond, r)
	if r.Compact && (l.Table != nil || l.Delta != nil) {
		if err := n.packs.fill(&l, r.TableVersion); err != nil {
			return owner.Lease{}, err
		}
	}
	if r.SuspectsVersion != n.suspects.board.Version(received) {
		list := n.suspects.board.List(received)
		l.Suspects = &list
	}
	return l, nil
}

// Watch returns once the state's or the suspects' version differs from what the host has, or ctx ends.
func (n *Node) Watch(ctx context.Context, have owner.Versions) (owner.Versions, error) {
	for {
		n.watchMu.Lock()
		changed := n.changed
		n.watchMu.Unlock()
		if !n.leads(n.cfg.Clock()) {
			return have, n.notLeader()
		}
		now := owner.Versions{Table: n.model.Load().Version, Suspects: n.suspectsVersion()}
		if now != have {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return have, nil
		case <-changed:
		}
	}
}

// table returns the state that hosts get. It changes at most once per PublishInterval, so that a burst of changes makes
// one update that is packed once for all hosts. The caller holds ownerMu.
func (n *Node) table(now time.Duration) *model.State {
	s := n.model.Load()
	if n.published == nil || s.Version < n.published.Version || now-n.publishedAt >= n.publishInterval() {
		n.published, n.publishedAt = s, now
	}
	return n.published
}

// publishInterval grows with the number of hosts, since each table goes to all of them. The caller holds ownerMu.
func (n *Node) publishInterval() time.Duration {
	hosts := 0
	if n.planner != nil {
		hosts = n.planner.HostCount()
	}
	return max(n.cfg.PublishInterval, min(time.Duration(hosts)*n.cfg.PublishPerHost, maxPublishInterval))
}

// maxPublishInterval bounds how old the table of hosts may be: upstreams that leave serve for two seconds more.
const maxPublishInterval = 300 * time.Millisecond

// untilPublished returns the time until a newer table than have may be given, or false if there is none.
func (n *Node) untilPublished(have uint64) (time.Duration, bool) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	now := n.cfg.Clock()
	if n.table(now).Version != have {
		return 0, true
	}
	if n.model.Load().Version == have {
		return 0, false
	}
	return n.publishedAt + n.publishInterval() - now, true
}

// AwaitUpdate returns once there is something that the host lacks, or ctx ends.
func (n *Node) AwaitUpdate(ctx context.Context, have owner.Versions) error {
	for ctx.Err() == nil {
		if have.Suspects != n.suspectsVersion() {
			return nil
		}
		wait, changed := n.untilPublished(have.Table)
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
		if _, err := n.Watch(ctx, have); err != nil {
			return err
		}
	}
	return nil
}

// packs caches packed updates: hosts that follow the changes ask for the same ones. It is guarded by ownerMu.
type packs struct {
	version uint64
	byFrom  map[uint64][]byte
}

// TableWithoutLeader returns the packed table of this replica while no leader is known. It may be a few changes old.
func (n *Node) TableWithoutLeader() ([]byte, error) {
	n.watchMu.Lock()
	led := n.leaderKnown
	n.watchMu.Unlock()
	if led {
		return nil, n.notLeader()
	}
	s := n.model.Load()
	if len(s.Routes) == 0 {
		return nil, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "this replica holds no configuration")
	}
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	l := owner.Lease{Version: s.Version, Table: route.NewTable(s)}
	if err := n.packs.fill(&l, 0); err != nil {
		return nil, err
	}
	return l.Packed, nil
}

// fill replaces the table or delta of a lease by its packed form.
func (p *packs) fill(l *owner.Lease, from uint64) error {
	if p.version != l.Version || p.byFrom == nil {
		p.version, p.byFrom = l.Version, map[uint64][]byte{}
	}
	if l.Table != nil {
		from = 0
	}
	b, ok := p.byFrom[from]
	if !ok {
		var err error
		if b, err = route.Pack(l.Table, l.Delta); err != nil {
			return err
		}
		p.byFrom[from] = b
	}
	l.Table, l.Delta, l.Packed = nil, nil, b
	return nil
}

// Model returns the applied state of this replica, which may lag behind the leader's.
func (n *Node) Model() *model.State { return n.model.Load() }

// Status returns a view of the replica.
func (n *Node) Status() Status { return *n.status.Load() }
