// Package node runs one replica: it feeds messages, proposals and time to the raft machine, syncs its effects to the
// store, applies committed entries and runs the planner while it leads.
//
// Only the goroutine of Run uses the raft machine and the state machine, and writes to the store. It publishes the leader
// lease, the status and the immutable model for handlers, which read them without a lock. Lock order: plannerMu, then
// watchMu.
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
	// defaultSnapshotEntries is the number of entries between two snapshots if Config sets none.
	defaultSnapshotEntries = 20_000
	// queueCapacity is the capacity of the inbox and of the queue of proposals. Batches of messages beyond it are dropped,
	// and callers of Propose wait.
	queueCapacity = 1024
)

// Config configures a Node.
type Config struct {
	Self    raft.Member
	Store   *store.Store
	Loaded  store.Contents
	Members raft.Members
	// Replicas are the control hosts listed in the settings. If Voters is 0, only they may join.
	Replicas []config.Replica
	// Voters is the number of voters to keep in a group without fixed replicas: any replica may join, learners are
	// spares, and a voter that is lost for VoterLostTimeout is replaced by one of them. 0 leaves membership to operators.
	Voters int
	Random func(n int64) int64
	Clock  func() time.Duration
	// WallMs returns the wall clock in milliseconds since the Unix epoch. It is used only for request IDs, never for
	// leases.
	WallMs          func() int64
	Send            func(to raft.Member, messages []raft.Message)
	Log             *slog.Logger
	Planner         owner.Config
	InitialServices []model.Service
	// InitialLimits are the limits in the settings. Like InitialServices they are used only until the state holds a
	// configuration.
	InitialLimits []model.Limit
	// SnapshotEntries is the number of committed entries after which a snapshot is taken. A replica that restarts applies
	// up to that many again before it can lead; 0 selects a default that keeps snapshots rare.
	SnapshotEntries uint64
	// PublishInterval is the minimum time between two tables for entry hosts; 0 publishes each change.
	PublishInterval time.Duration
	// PublishPerHost times the number of hosts is a further lower bound of the interval, up to maxPublishInterval.
	PublishPerHost time.Duration
	// Timing defaults to DefaultTiming.
	Timing Timing
	// Audit records the decisions of the planner; nil disables it.
	Audit *audit.Ring
}

type proposal struct {
	commands []state.Command
	done     chan proposalResult
	// plannerDone marks the end of the planner's last batch; such a value carries no commands.
	plannerDone bool
}

// appliedProposal is an applied proposal whose proposer has not been notified yet.
type appliedProposal struct {
	proposal proposal
	results  []state.Result
}

type proposalResult struct {
	results []state.Result
	err     error
}

// Status describes the replica for queries.
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

	// Used only by the goroutine of Run.
	raft         *raft.Machine
	state        *state.Machine
	pending      map[uint64]proposal
	applied      []appliedProposal
	hardState    raft.HardState
	lastPlanAt   time.Duration
	planInFlight bool
	liveness     livenessTracker

	leaseUntil atomic.Int64
	model      atomic.Pointer[model.State]
	status     atomic.Pointer[Status]

	watchMu sync.Mutex
	// changed is closed and replaced whenever the model or the list of suspects changes.
	changed chan struct{}
	// leaderFound is closed while a leader is known: another replica, or this one with a valid lease.
	leaderFound chan struct{}
	leaderKnown bool

	plannerMu sync.Mutex
	// planner is nil unless this replica leads term plannerTerm.
	planner     *owner.Planner
	plannerTerm uint64
	// suspects is recreated together with the planner.
	suspects  *suspects
	packCache packCache
	// published is the state that entry hosts get as their table, since publishedAt.
	published   *model.State
	publishedAt time.Duration
}

// New returns a node that starts from the data loaded from the store.
func New(cfg Config) (*Node, error) {
	cfg.Timing = cmp.Or(cfg.Timing, DefaultTiming)
	cfg.SnapshotEntries = cmp.Or(cfg.SnapshotEntries, defaultSnapshotEntries)
	cfg.Planner.History = &owner.History{}
	n := &Node{
		cfg: cfg, inbox: make(chan []raft.Message, queueCapacity), proposals: make(chan proposal, queueCapacity),
		joins: make(chan joinRequest), stopped: make(chan struct{}), state: state.New(),
		pending: map[uint64]proposal{}, changed: make(chan struct{}),
		leaderFound: make(chan struct{}), hardState: cfg.Loaded.HardState,
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
	n.updateHistory((*owner.History).Reset)
	n.publish()
	return n, nil
}

// Timing sets how fast a group detects the loss of its leader, and how many heartbeats that costs while it is idle.
type Timing struct {
	// The leader lease is ElectionMin minus the clock-drift margin.
	ElectionMin, ElectionMax, Heartbeat time.Duration
}

// DefaultTiming is used if Config.Timing is zero.
var DefaultTiming = Timing{ElectionMin: DefaultElectionMin, ElectionMax: DefaultElectionMax, Heartbeat: DefaultHeartbeat}

// Default timing of elections.
const (
	DefaultElectionMin = 300 * time.Millisecond
	DefaultElectionMax = 500 * time.Millisecond
	DefaultHeartbeat   = 50 * time.Millisecond
)

// Run drives the replica until ctx is done, or until the store or applying an entry fails.
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
		case messages := <-n.inbox:
			n.stepAll(messages)
		case p := <-n.proposals:
			n.propose(p)
		case j := <-n.joins:
			n.join(j)
		}
		n.drainQueues()
		if err := n.processEffects(); err != nil {
			return errors.Wrap(err, "process raft effects")
		}
		n.runPlanner()
	}
}

// drainQueues handles all queued messages and proposals, so that one disk sync covers them.
func (n *Node) drainQueues() {
	for range queueCapacity {
		select {
		case messages := <-n.inbox:
			n.stepAll(messages)
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
	if !n.raft.HasCommittedInTerm() {
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
		e := n.raft.TakeEffects()
		if e.Empty() {
			n.publish()
			n.notifyProposers()
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
		n.hardState = *e.HardState
	}
	if e.Restore != nil {
		if err := n.state.Restore(e.Restore.Data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
		n.updateHistory((*owner.History).Reset)
		if err := n.cfg.Store.SaveSnapshot(*e.Restore, n.hardState, nil); err != nil {
			return errors.Wrap(err, "save snapshot")
		}
	}
	if e.HardState == nil && len(e.Entries) == 0 {
		return nil
	}
	return errs.Wrap(n.cfg.Store.Append(e.HardState, e.Entries), "save log")
}

func (n *Node) sendAll(messages []raft.Message) {
	byPeer := map[string][]raft.Message{}
	for _, m := range messages {
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	for id, batch := range byPeer {
		to, ok := n.raft.Members().ByID(id)
		if !ok {
			// A replica that is catching up may hold a member list from before its leader was added. The list that it joined
			// with is newer.
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

// updateHistory calls update with the history and the current model.
func (n *Node) updateHistory(update func(h *owner.History, s *model.State)) {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	update(n.cfg.Planner.History, n.state.Model())
}

// notifyProposers sends proposers the results of their entries. It runs after publish, so that a proposer that has its
// result also reads what it changed.
func (n *Node) notifyProposers() {
	for _, a := range n.applied {
		a.proposal.done <- proposalResult{results: a.results}
	}
	n.applied = n.applied[:0]
}

func (n *Node) compact() error {
	if n.raft.CommitIndex()-n.raft.SnapshotIndex() < n.cfg.SnapshotEntries {
		return nil
	}
	b, err := n.state.Snapshot()
	if err != nil {
		return err
	}
	s, ok := n.raft.Compact(n.raft.CommitIndex(), b)
	if !ok {
		return nil
	}
	return errs.Wrap(n.cfg.Store.SaveSnapshot(s, n.hardState, n.raft.EntriesAfterSnapshot()), "save snapshot")
}

// publish makes the loop's state visible to handlers.
//
// The model is stored before the lease: a handler that sees the lease must also see every entry committed before it.
func (n *Node) publish() {
	old := n.model.Swap(n.state.Model())
	leaseUntil := time.Duration(0)
	if n.raft.HasCommittedInTerm() {
		leaseUntil = n.raft.LeaseUntil()
	}
	n.leaseUntil.Store(int64(leaseUntil))
	n.failPending()
	n.updatePlanner()
	leader, _ := n.raft.Members().ByID(n.raft.Leader())
	n.status.Store(&Status{
		ID: n.cfg.Self.ID, Host: n.cfg.Self.Host, Role: n.raft.Role(), Term: n.raft.Term(), Leader: leader,
		Commit: n.raft.CommitIndex(), Last: n.raft.LastIndex(), Members: n.raft.Members(),
		Group: n.groupMembers(n.cfg.Clock()),
	})
	n.setLeaderKnown(leader.ID != "" && (leader.ID != n.cfg.Self.ID || leaseUntil > n.cfg.Clock()))
	if old == nil || old.Version != n.state.Model().Version {
		n.notifyWatchers()
	}
}

// setLeaderKnown records whether a leader is known and wakes callers of AwaitLeader.
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

// failPending fails the pending proposals of a replica that no longer leads: the results of their entries are unknown.
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
	if !n.raft.HasCommittedInTerm() {
		n.planner = nil
		return
	}
	if n.planner == nil || n.plannerTerm != n.raft.Term() {
		n.planner, n.plannerTerm = owner.New(n.cfg.Planner, n.cfg.Clock()), n.raft.Term()
		n.suspects = newSuspects(n.plannerTerm)
		n.suspects.adopt(n.cfg.Clock(), n.cfg.WallMs(), n.state.Model().Quarantined)
		n.published = nil
		n.cfg.Log.Info("became leader", "term", n.plannerTerm)
	}
}

// runPlanner proposes the commands of the planner, one batch at a time.
func (n *Node) runPlanner() {
	now := n.cfg.Clock()
	if n.planInFlight || now-n.lastPlanAt < planInterval || !n.holdsLease(now) {
		return
	}
	n.lastPlanAt = now
	commands := n.initialCommands()
	if len(commands) == 0 {
		n.plannerMu.Lock()
		if n.planner != nil {
			commands = append(n.planner.Tick(now, n.state.Model()),
				n.suspects.quarantineCommands(now, n.cfg.WallMs(), n.state.Model().Quarantined)...)
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

// initialCommands returns the services and limits in the settings as one batch, so that either both are committed or
// neither is.
func (n *Node) initialCommands() []state.Command {
	s := n.state.Model()
	if s.Revision > 0 || len(s.Services) > 0 || len(s.Limits) > 0 {
		return nil
	}
	var commands []state.Command
	for _, v := range n.cfg.InitialServices {
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
