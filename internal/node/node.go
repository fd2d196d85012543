// Package node runs one replica: it feeds messages, proposals and time to the raft machine, syncs its effects to
// the store, applies committed entries and runs the planner while it leads.
//
// Lock order: raft, state, owner. The loop goroutine alone uses the raft machine and the store; it publishes the
// leader lease and the immutable model for handlers, which take only the owner lock.
package node

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"baobabreach/internal/audit"
	"baobabreach/internal/config"
	"baobabreach/internal/errs"
	"baobabreach/internal/model"
	"baobabreach/internal/owner"
	"baobabreach/internal/raft"
	"baobabreach/internal/state"
	"baobabreach/internal/store"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

const (
	tickInterval = 10 * time.Millisecond
	planInterval = 20 * time.Millisecond
	// compactEntries is the default of Config.CompactEntries.
	compactEntries = 20_000
	inboxLength    = 1024
)

// Config configures a Node.
type Config struct {
	Self    raft.Member
	Store   *store.Store
	Loaded  store.Contents
	Members raft.Members
	// Replicas are the control hosts of the settings; only they may join.
	Replicas []config.Replica
	// Voters is the number of voters to keep where replicas come and go without operators: any replica may join, learners
	// are spares, and a voter that is lost for VoterLostAfter is replaced by one of them. 0 leaves that to operators.
	Voters int
	Random func(n int64) int64
	Clock  func() time.Duration
	// WallMs is the wall clock in milliseconds since the Unix epoch; used for request ids only, never for leases.
	WallMs          func() int64
	Send            func(to raft.Member, ms []raft.Message)
	Log             *slog.Logger
	Planner         owner.Config
	InitialServices []model.Service
	// InitialLimits are the limits of the settings; used, as InitialSet, only until the state holds settings.
	InitialLimits []model.Limit
	// CompactEntries is the number of entries after which a snapshot is taken. A replica that restarts applies that many
	// again before it can lead; 0 stands for a default that keeps snapshots rare.
	CompactEntries uint64
	// PublishInterval is the least time between two tables for hosts; 0 publishes each change.
	PublishInterval time.Duration
	// PublishPerHost lengthens it in proportion to the number of hosts.
	PublishPerHost time.Duration
	// Timing is DefaultTiming if zero.
	Timing Timing
	// Audit keeps the planner's decisions; nil keeps none.
	Audit *audit.Ring
}

type proposal struct {
	commands []state.Command
	done     chan outcome
	// planned marks the end of the planner's last batch instead of a proposal.
	planned bool
}

// answer is the result of an applied proposal that its proposer doesn't know yet.
type answer struct {
	to      proposal
	results []state.Result
}

type outcome struct {
	results []state.Result
	err     error
}

// Status is a view of the replica for queries.
type Status struct {
	ID      string       `json:"id"`
	Host    string       `json:"host"`
	Role    raft.Role    `json:"role"`
	Term    uint64       `json:"term"`
	Leader  raft.Member  `json:"leader"`
	Commit  uint64       `json:"commit"`
	Last    uint64       `json:"last"`
	Members raft.Members `json:"members"`
	// Group is the leader's view of the members with their progress; nil on other replicas.
	Group []model.Member `json:"group,omitempty"`
}

// Node is one replica. It is safe for concurrent use.
type Node struct {
	cfg      Config
	inbox    chan []raft.Message
	proposed chan proposal
	joining  chan joinRequest
	stopped  chan struct{}

	// Owned by the loop.
	raft     *raft.Machine
	state    *state.Machine
	waiting  map[uint64]proposal
	answers  []answer
	hard     raft.HardState
	lastPlan time.Duration
	planning bool
	silent   silences

	leaseUntil atomic.Int64
	model      atomic.Pointer[model.State]
	status     atomic.Pointer[Status]

	watchMu sync.Mutex
	// changed is closed and replaced whenever the model's version grows.
	changed chan struct{}
	// led is closed while a leader is known that can act.
	led         chan struct{}
	leaderKnown bool

	ownerMu sync.Mutex
	// planner is nil unless this replica leads term plannerTerm.
	planner     *owner.Planner
	plannerTerm uint64
	// suspects is made anew with the planner.
	suspects *suspects
	packs    packs
	// published is the state whose table hosts get, since publishedAt.
	published   *model.State
	publishedAt time.Duration
}

// New returns a node with what the store held.
func New(cfg Config) (*Node, error) {
	cfg.Timing = cmp.Or(cfg.Timing, DefaultTiming)
	cfg.CompactEntries = cmp.Or(cfg.CompactEntries, compactEntries)
	cfg.Planner.History = &owner.History{}
	n := &Node{
		cfg: cfg, inbox: make(chan []raft.Message, inboxLength), proposed: make(chan proposal, inboxLength),
		joining: make(chan joinRequest), stopped: make(chan struct{}), state: state.New(),
		waiting: map[uint64]proposal{}, changed: make(chan struct{}),
		led: make(chan struct{}), hard: cfg.Loaded.HardState,
	}
	if s := cfg.Loaded.Snapshot; s != nil {
		if err := n.state.Restore(s.Data); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	n.raft = raft.New(raft.Config{
		ID: cfg.Self.ID, Members: cfg.Members, Log: cfg.Loaded.Log, HardState: cfg.Loaded.HardState, Snapshot: cfg.Loaded.Snapshot,
		ElectionMin: cfg.Timing.ElectionMin, ElectionMax: cfg.Timing.ElectionMax, Heartbeat: cfg.Timing.Heartbeat,
		Random: cfg.Random, Now: cfg.Clock(),
	})
	n.observe((*owner.History).Reset)
	n.publish()
	return n, nil
}

// Timing is how fast a group notices the loss of its leader, and what that costs at rest.
type Timing struct {
	// ElectionMin less the clock-drift margin is the leader lease.
	ElectionMin, ElectionMax, Heartbeat time.Duration
}

// DefaultTiming is used where Config has no timing.
var DefaultTiming = Timing{ElectionMin: ElectionMin, ElectionMax: ElectionMax, Heartbeat: Heartbeat}

// Default timing of elections.
const (
	ElectionMin = 300 * time.Millisecond
	ElectionMax = 500 * time.Millisecond
	Heartbeat   = 50 * time.Millisecond
)

// Run drives the replica until ctx ends or the store fails.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			n.raft.Tick(n.cfg.Clock())
			n.repair()
		case ms := <-n.inbox:
			n.step(ms)
		case p := <-n.proposed:
			n.propose(p)
		case j := <-n.joining:
			n.join(j)
		}
		n.drain()
		if err := n.carryOut(); err != nil {
			return errors.Wrap(err, "carry out effects")
		}
		n.plan()
	}
}

// drain takes whatever else has arrived, so that one sync serves it all.
func (n *Node) drain() {
	for range inboxLength {
		select {
		case ms := <-n.inbox:
			n.step(ms)
		case p := <-n.proposed:
			n.propose(p)
		default:
			return
		}
	}
}

func (n *Node) step(ms []raft.Message) {
	for _, m := range ms {
		n.raft.Step(n.cfg.Clock(), m)
	}
}

func (n *Node) propose(p proposal) {
	if p.planned {
		n.planning = false
		return
	}
	b, err := state.Encode(p.commands)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	if !n.raft.HasCommittedInTerm() {
		p.done <- outcome{err: n.notLeader()}
		return
	}
	index, err := n.raft.Propose(n.cfg.Clock(), b)
	if err != nil {
		p.done <- outcome{err: n.notLeader()}
		return
	}
	n.waiting[index] = p
}

func (n *Node) carryOut() error {
	for {
		e := n.raft.TakeEffects()
		if e.Empty() {
			n.publish()
			n.answer()
			return nil
		}
		if err := n.persist(e); err != nil {
			return err
		}
		n.raft.MarkPersisted()
		n.sendAll(e.Messages)
		if err := n.apply(e.Committed); err != nil {
			return err
		}
	}
}

func (n *Node) persist(e raft.Effects) error {
	if e.HardState != nil {
		n.hard = *e.HardState
	}
	if e.Restore != nil {
		if err := n.state.Restore(e.Restore.Data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
		n.observe((*owner.History).Reset)
		if err := n.cfg.Store.SaveSnapshot(*e.Restore, n.hard, nil); err != nil {
			return errors.Wrap(err, "save snapshot")
		}
	}
	if e.HardState == nil && len(e.Entries) == 0 {
		return nil
	}
	return errs.Wrap(n.cfg.Store.Append(e.HardState, e.Entries), "save log")
}

func (n *Node) sendAll(ms []raft.Message) {
	byPeer := map[string][]raft.Message{}
	for _, m := range ms {
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	for id, ms := range byPeer {
		to, ok := n.raft.Members().ByID(id)
		if !ok {
			// A replica that catches up may hold a list older than its leader's membership. It joined with a newer one.
			to, ok = n.cfg.Members.ByID(id)
		}
		if ok {
			n.cfg.Send(to, ms)
		}
	}
}

func (n *Node) apply(es []raft.Entry) error {
	for _, e := range es {
		var rs []state.Result
		if e.Kind == raft.EntryCommand {
			var err error
			if rs, err = n.state.Apply(e.Index, e.Data); err != nil {
				return errors.Wrapf(err, "apply entry %d", e.Index)
			}
			n.observe((*owner.History).Observe)
		}
		if p, ok := n.waiting[e.Index]; ok {
			delete(n.waiting, e.Index)
			n.answers = append(n.answers, answer{to: p, results: rs})
		}
	}
	return n.compact()
}

// observe shows the state to the history.
func (n *Node) observe(show func(h *owner.History, s *model.State)) {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	show(n.cfg.Planner.History, n.state.Model())
}

// answer tells proposers the results of their entries. It follows publish, so that whoever has the answer also reads
// what it changed.
func (n *Node) answer() {
	for _, a := range n.answers {
		a.to.done <- outcome{results: a.results}
	}
	n.answers = n.answers[:0]
}

func (n *Node) compact() error {
	if n.raft.Commit()-n.raft.SnapshotIndex() < n.cfg.CompactEntries {
		return nil
	}
	b, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	s, ok := n.raft.Compact(n.raft.Commit(), b)
	if !ok {
		return nil
	}
	return errs.Wrap(n.cfg.Store.SaveSnapshot(s, n.hard, n.raft.EntriesAfterSnapshot()), "save snapshot")
}

// publish shows the loop's state to the handlers.
//
// The model goes first: a handler that sees the lease must also see every entry committed before it.
func (n *Node) publish() {
	old := n.model.Swap(n.state.Model())
	until := time.Duration(0)
	if n.raft.HasCommittedInTerm() {
		until = n.raft.LeaseUntil()
	}
	n.leaseUntil.Store(int64(until))
	n.failWaiting()
	n.followLeadership()
	leader, _ := n.raft.Members().ByID(n.raft.Leader())
	n.status.Store(&Status{
		ID: n.cfg.Self.ID, Host: n.cfg.Self.Host, Role: n.raft.Role(), Term: n.raft.Term(), Leader: leader,
		Commit: n.raft.Commit(), Last: n.raft.LastIndex(), Members: n.raft.Members(),
		Group: n.group(n.cfg.Clock()),
	})
	n.noteLeader(leader.ID != "" && (leader.ID != n.cfg.Self.ID || until > n.cfg.Clock()))
	if old == nil || old.Version != n.state.Model().Version {
		n.wakeWatchers()
	}
}

// noteLeader wakes those who wait for a leader.
func (n *Node) noteLeader(known bool) {
	n.watchMu.Lock()
	defer n.watchMu.Unlock()
	switch {
	case known && !n.leaderKnown:
		close(n.led)
	case !known && n.leaderKnown:
		n.led = make(chan struct{})
	}
	n.leaderKnown = known
}

// failWaiting tells proposers on a deposed leader that the result of their entry is unknown.
func (n *Node) failWaiting() {
	if n.raft.Role() == raft.RoleLeader {
		return
	}
	for i, p := range n.waiting {
		delete(n.waiting, i)
		p.done <- outcome{err: n.notLeader()}
	}
}

func (n *Node) followLeadership() {
	n.ownerMu.Lock()
	defer n.ownerMu.Unlock()
	if !n.raft.HasCommittedInTerm() {
		n.planner = nil
		return
	}
	if n.planner == nil || n.plannerTerm != n.raft.Term() {
		n.planner, n.plannerTerm = owner.New(n.cfg.Planner, n.cfg.Clock()), n.raft.Term()
		n.suspects = newSuspects(n.plannerTerm)
		n.published = nil
		n.cfg.Log.Info("became leader", "term", n.plannerTerm)
	}
}

// plan lets the planner propose commands, one batch at a time.
func (n *Node) plan() {
	now := n.cfg.Clock()
	if n.planning || now-n.lastPlan < planInterval || !n.leads(now) {
		return
	}
	n.lastPlan = now
	cs := n.initialSettings()
	if len(cs) == 0 {
		n.ownerMu.Lock()
		if n.planner != nil {
			cs = n.planner.Tick(now, n.state.Model())
		}
		n.ownerMu.Unlock()
	}
	if len(cs) == 0 {
		return
	}
	n.record(cs, n.state.Model())
	n.planning = true
	p := proposal{commands: cs, done: make(chan outcome, 1)}
	go func() {
		<-p.done
		n.proposed <- proposal{planned: true}
	}()
	n.propose(p)
}

// initialSettings returns the services and limits of the settings as one batch, so that both are committed or none.
func (n *Node) initialSettings() []state.Command {
	s := n.state.Model()
	if s.Revision > 0 || len(s.Services) > 0 || len(s.Limits) > 0 {
		return nil
	}
	var cs []state.Command
	for _, v := range n.cfg.InitialServices {
		cs = append(cs, state.Command{Service: &v})
	}
	for _, l := range n.cfg.InitialLimits {
		cs = append(cs, state.Command{Limit: &l})
	}
	return cs
}

func (n *Node) leads(now time.Duration) bool {
	return now < time.Duration(n.leaseUntil.Load())
}

func (n *Node) notLeader() *proto.Error {
	e := proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "host %s is not the leader", n.cfg.Self.Host)
	if s := n.status.Load(); s != nil && s.Leader.ID != n.cfg.Self.ID {
		e.Leader = s.Leader.Address
	}
	return e
}
