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
	// defaultCompactEntries is the default of Config.CompactEntries.
	defaultCompactEntries = 20_000
	queueLength           = 1024
)

// Config configures a Node.
type Config struct {
	Self    raft.Member
	Store   *store.Store
	Loaded  store.Loaded
	Members raft.Members
	// Replicas are the control hosts of the settings; only they may join.
	Replicas []config.Replica
	// Voters is the number of voters to keep where replicas come and go without operators: any replica may join, learners
	// are spares, and a voter that is lost for VoterLostTimeout is replaced by one of them. 0 leaves that to operators.
	Voters int
	Random func(n int64) int64
	Clock  func() time.Duration
	// WallMs is the wall clock in milliseconds since the Unix epoch; used for request ids only, never for leases.
	WallMs     func() int64
	Send       func(to raft.Member, ms []raft.Message)
	Log        *slog.Logger
	Planner    owner.Config
	InitialSet []model.Service
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
	done     chan proposalResult
	// plannerDone marks the end of the planner's last batch instead of a proposal.
	plannerDone bool
}

// appliedProposal is the result of an applied proposal that its proposer doesn't know yet.
type appliedProposal struct {
	proposal proposal
	results  []state.Result
}

type proposalResult struct {
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
	cfg       Config
	inbox     chan []raft.Message
	proposals chan proposal
	joins     chan joinRequest
	stopped   chan struct{}

	// Owned by the loop.
	raft         *raft.Machine
	state        *state.Machine
	pending      map[uint64]proposal
	applied      []appliedProposal
	hardState    raft.HardState
	lastPlan     time.Duration
	planInFlight bool
	liveness     livenessTracker

	leaseUntil atomic.Int64
	model      atomic.Pointer[model.State]
	status     atomic.Pointer[Status]

	watchMu sync.Mutex
	// changed is closed and replaced whenever the model's version grows.
	changed chan struct{}
	// leaderFound is closed while a leader is known that can act.
	leaderFound chan struct{}
	leaderKnown bool

	plannerMu sync.Mutex
	// planner is nil unless this replica leads term plannerTerm.
	planner     *owner.Planner
	plannerTerm uint64
	// suspects is made anew with the planner.
	suspects  *suspects
	packCache packCache
	// published is the state whose table hosts get, since publishedAt.
	published   *model.State
	publishedAt time.Duration
}

// New returns a node with what the store held.
func New(cfg Config) (*Node, error) {
	cfg.Timing = cmp.Or(cfg.Timing, DefaultTiming)
	cfg.CompactEntries = cmp.Or(cfg.CompactEntries, defaultCompactEntries)
	cfg.Planner.History = &owner.History{}
	n := &Node{
		cfg: cfg, inbox: make(chan []raft.Message, queueLength), proposals: make(chan proposal, queueLength),
		joins: make(chan joinRequest), stopped: make(chan struct{}), state: state.New(),
		pending: map[uint64]proposal{}, changed: make(chan struct{}),
		leaderFound: make(chan struct{}), hardState: cfg.Loaded.Hard,
	}
	if s := cfg.Loaded.Snapshot; s != nil {
		if err := n.state.Restore(s.Data); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	n.raft = raft.New(raft.Config{
		ID: cfg.Self.ID, Members: cfg.Members, Log: cfg.Loaded.Log, Hard: cfg.Loaded.Hard, Snapshot: cfg.Loaded.Snapshot,
		ElectionMin: cfg.Timing.ElectionMin, ElectionMax: cfg.Timing.ElectionMax, Heartbeat: cfg.Timing.Heartbeat,
		Random: cfg.Random, Now: cfg.Clock(),
	})
	n.updateHistory((*owner.History).Restart)
	n.publish()
	return n, nil
}

// Timing is how fast a group notices the loss of its leader, and what that costs at rest.
type Timing struct {
	// ElectionMin less the clock-drift margin is the leader lease.
	ElectionMin, ElectionMax, Heartbeat time.Duration
}

// DefaultTiming is used where Config has no timing.
var DefaultTiming = Timing{ElectionMin: DefaultElectionMin, ElectionMax: DefaultElectionMax, Heartbeat: DefaultHeartbeat}

// Default timing of elections.
const (
	DefaultElectionMin = 300 * time.Millisecond
	DefaultElectionMax = 500 * time.Millisecond
	DefaultHeartbeat   = 50 * time.Millisecond
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
			n.repairMembers()
		case ms := <-n.inbox:
			n.stepAll(ms)
		case p := <-n.proposals:
			n.propose(p)
		case j := <-n.joins:
			n.join(j)
		}
		n.drainQueues()
		if err := n.processEffects(); err != nil {
			return errors.Wrap(err, "carry out effects")
		}
		n.runPlanner()
	}
}

// drainQueues takes whatever else has arrived, so that one sync serves it all.
func (n *Node) drainQueues() {
	for range queueLength {
		select {
		case ms := <-n.inbox:
			n.stepAll(ms)
		case p := <-n.proposals:
			n.propose(p)
		default:
			return
		}
	}
}

func (n *Node) stepAll(messages []raft.Message) {
	for _, m := range messages {
		n.raft.Step(n.cfg.Clock(), m)
	}
}

func (n *Node) propose(p proposal) {
	if p.plannerDone {
		n.planInFlight = false
		return
	}
	b, err := state.Encode(p.commands)
	if err != nil {
		p.done <- proposalResult{err: err}
		return
	}
	if !n.raft.Ready() {
		p.done <- proposalResult{err: n.notLeader()}
		return
	}
	index, err := n.raft.Propose(n.cfg.Clock(), b)
	if err != nil {
		p.done <- proposalResult{err: n.notLeader()}
		return
	}
	n.pending[index] = p
}

func (n *Node) processEffects() error {
	for {
		e := n.raft.Take()
		if e.Empty() {
			n.publish()
			n.notifyProposers()
			return nil
		}
		if err := n.persist(e); err != nil {
			return err
		}
		n.raft.Persisted()
		n.sendAll(e.Messages)
		if err := n.apply(e.Committed); err != nil {
			return err
		}
	}
}

func (n *Node) persist(e raft.Effects) error {
	if e.HardState != nil {
		n.hardState = *e.HardState
	}
	if e.Restore != nil {
		if err := n.state.Restore(e.Restore.Data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
		n.updateHistory((*owner.History).Restart)
		if err := n.cfg.Store.SaveSnapshot(*e.Restore, n.hardState, nil); err != nil {
			return errors.Wrap(err, "save snapshot")
		}
	}
	if e.HardState == nil && len(e.Entries) == 0 {
		return nil
	}
	return errs.Wrap(n.cfg.Store.Save(e.HardState, e.Entries), "save log")
}

func (n *Node) sendAll(messages []raft.Message) {
	byPeer := map[string][]raft.Message{}
	for _, m := range messages {
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	for id, batch := range byPeer {
		to, ok := n.raft.Members().ByID(id)
		if !ok {
			// A replica that catches up may hold a list older than its leader's membership. It joined with a newer one.
			to, ok = n.cfg.Members.ByID(id)
		}
		if ok {
			n.cfg.Send(to, batch)
		}
	}
}

func (n *Node) apply(entries []raft.Entry) error {
	for _, e := range entries {
		var results []state.Result
		if e.Kind == raft.EntryCommand {
			var err error
			if results, err = n.state.Apply(e.Index, e.Data); err != nil {
				return errors.Wrapf(err, "apply entry %d", e.Index)
			}
			n.updateHistory((*owner.History).Observe)
		}
		if p, ok := n.pending[e.Index]; ok {
			delete(n.pending, e.Index)
			n.applied = append(n.applied, appliedProposal{proposal: p, results: results})
		}
	}
	return n.compact()
}

// updateHistory shows the state to the history.
func (n *Node) updateHistory(update func(h *owner.History, s *model.State)) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	update(n.cfg.Planner.History, n.state.Model())
}

// notifyProposers tells proposers the results of their entries. It follows publish, so that whoever has the answer also reads
// what it changed.
func (n *Node) notifyProposers() {
	for _, a := range n.applied {
		a.proposal.done <- proposalResult{results: a.results}
	}
	n.applied = n.applied[:0]
}

func (n *Node) compact() error {
	if n.raft.Commit()-n.raft.BaseIndex() < n.cfg.CompactEntries {
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
	return errs.Wrap(n.cfg.Store.SaveSnapshot(s, n.hardState, n.raft.Tail()), "save snapshot")
}

// publish shows the loop's state to the handlers.
//
// The model goes first: a handler that sees the lease must also see every entry committed before it.
func (n *Node) publish() {
	old := n.model.Swap(n.state.Model())
	leaseUntil := time.Duration(0)
	if n.raft.Ready() {
		leaseUntil = n.raft.LeaseUntil()
	}
	n.leaseUntil.Store(int64(leaseUntil))
	n.failPending()
	n.updatePlanner()
	leader, _ := n.raft.Members().ByID(n.raft.Leader())
	n.status.Store(&Status{
		ID: n.cfg.Self.ID, Host: n.cfg.Self.Host, Role: n.raft.Role(), Term: n.raft.Term(), Leader: leader,
		Commit: n.raft.Commit(), Last: n.raft.LastIndex(), Members: n.raft.Members(),
		Group: n.groupMembers(n.cfg.Clock()),
	})
	n.setLeaderKnown(leader.ID != "" && (leader.ID != n.cfg.Self.ID || leaseUntil > n.cfg.Clock()))
	if old == nil || old.Version != n.state.Model().Version {
		n.notifyWatchers()
	}
}

// setLeaderKnown wakes those who wait for a leader.
func (n *Node) setLeaderKnown(known bool) {
	n.watchMu.Lock()
	defer n.watchMu.Unlock()
	switch {
	case known && !n.leaderKnown:
		close(n.leaderFound)
	case !known && n.leaderKnown:
		n.leaderFound = make(chan struct{})
	}
	n.leaderKnown = known
}

// failPending tells proposers on a deposed leader that the result of their entry is unknown.
func (n *Node) failPending() {
	if n.raft.Role() == raft.RoleLeader {
		return
	}
	for i, p := range n.pending {
		delete(n.pending, i)
		p.done <- proposalResult{err: n.notLeader()}
	}
}

func (n *Node) updatePlanner() {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	if !n.raft.Ready() {
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

// runPlanner lets the planner propose commands, one batch at a time.
func (n *Node) runPlanner() {
	now := n.cfg.Clock()
	if n.planInFlight || now-n.lastPlan < planInterval || !n.holdsLease(now) {
		return
	}
	n.lastPlan = now
	commands := n.initialCommands()
	if len(commands) == 0 {
		n.plannerMu.Lock()
		if n.planner != nil {
			commands = n.planner.Tick(now, n.state.Model())
		}
		n.plannerMu.Unlock()
	}
	if len(commands) == 0 {
		return
	}
	n.recordDecisions(commands, n.state.Model())
	n.planInFlight = true
	p := proposal{commands: commands, done: make(chan proposalResult, 1)}
	go func() {
		<-p.done
		n.proposals <- proposal{plannerDone: true}
	}()
	n.propose(p)
}

// initialCommands returns the services and limits of the settings as one batch, so that both are committed or none.
func (n *Node) initialCommands() []state.Command {
	s := n.state.Model()
	if s.Revision > 0 || len(s.Services) > 0 || len(s.Limits) > 0 {
		return nil
	}
	var commands []state.Command
	for _, v := range n.cfg.InitialSet {
		commands = append(commands, state.Command{Service: &v})
	}
	for _, l := range n.cfg.InitialLimits {
		commands = append(commands, state.Command{Limit: &l})
	}
	return commands
}

func (n *Node) holdsLease(now time.Duration) bool {
	return now < time.Duration(n.leaseUntil.Load())
}

func (n *Node) notLeader() *proto.Error {
	e := proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "host %s is not the leader", n.cfg.Self.Host)
	if s := n.status.Load(); s != nil && s.Leader.ID != n.cfg.Self.ID {
		e.Leader = s.Leader.Address
	}
	return e
}
