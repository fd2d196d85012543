package daemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"baobabreach/internal/audit"
	"baobabreach/internal/config"
	"baobabreach/internal/intent"
	"baobabreach/internal/node"
	"baobabreach/internal/opapi"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

const (
	// commandTimeout limits an operator's command. It leaves time for an election of at most 500 ms and for the lease of
	// the old leader to expire.
	commandTimeout = 3 * time.Second
	// intentAttemptTimeout limits one attempt, so that a hung replica leaves time to find the leader.
	intentAttemptTimeout = time.Second
	intentRetryPause     = 20 * time.Millisecond
	fleetTimeout         = 2 * time.Second
	peerQueryTimeout     = 500 * time.Millisecond
	maxDaemonsQueried    = 64
	maxDecisionsPerQuery = 100
)

// operatorAPI serves operator requests from the state of this daemon, its peers and the leader.
type operatorAPI struct {
	cfg       config.Config
	node      func() *node.Node
	leader    *peer.LeaderClient
	client    *http.Client
	token     string
	view      *route.View
	auditRing *audit.Ring
}

func newOperatorAPI(p listenerParams) operatorAPI {
	return operatorAPI{
		cfg: p.Config, node: p.Replica.node.Load, leader: p.Leader, client: p.Clients.control, token: p.Tokens.control,
		view: p.View, auditRing: p.Audit,
	}
}

func (o operatorAPI) server() *opapi.Server {
	return opapi.New(opapi.Config{
		Host: o.cfg.Host, View: o.view, Now: time.Now, Propose: o.propose, Fleet: o.queryFleet,
		Replicas: o.queryReplicas, Decisions: o.queryDecisions,
		Facts: func() intent.PlanInputs {
			return intent.PlanInputs{Host: o.cfg.Host, PerSecond: o.auditRing.Rates(time.Now()), MaxMoves: o.cfg.MaxMoves}
		},
	})
}

// mountControl adds the control paths that other daemons call on behalf of operators.
func (o operatorAPI) mountControl(m *mux.Router) {
	m.Handle(peer.PathIntent, peer.Handle(peer.MaxBodyBytes, o.intent)).Methods(http.MethodPost)
	m.Handle(peer.PathFleet, peer.Handle(peer.MaxBodyBytes, o.fleet)).Methods(http.MethodPost)
	m.Handle(peer.PathReplicaStatus, peer.Handle(peer.MaxBodyBytes, o.replicaStatus)).Methods(http.MethodPost)
	m.Handle(peer.PathExplain, peer.Handle(peer.MaxBodyBytes, o.explain)).Methods(http.MethodPost)
}

func (o operatorAPI) intent(ctx context.Context, c state.Command) (state.Result, error) {
	if c.Plan == nil && c.Confirm == nil {
		return state.Result{}, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "expected a plan or a confirmation")
	}
	n, err := o.replicaNode()
	if err != nil {
		return state.Result{}, err
	}
	return n.ProposeIntent(ctx, c)
}

func (o operatorAPI) fleet(context.Context, struct{}) (opapi.Fleet, error) {
	n, err := o.replicaNode()
	if err != nil {
		return opapi.Fleet{}, err
	}
	v, err := n.Overview()
	if err != nil {
		return opapi.Fleet{}, err
	}
	return opapi.NewFleet(v, n.Status()), nil
}

func (o operatorAPI) replicaStatus(context.Context, struct{}) (node.Status, error) {
	n, err := o.replicaNode()
	if err != nil {
		return node.Status{}, err
	}
	return n.Status(), nil
}

func (o operatorAPI) explain(_ context.Context, q audit.Query) ([]audit.Decision, error) {
	q.Limit = min(q.Limit, maxDecisionsPerQuery)
	return o.auditRing.Find(q), nil
}

func (o operatorAPI) replicaNode() (*node.Node, error) {
	if n := o.node(); n != nil {
		return n, nil
	}
	return nil, proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "this host runs no replica yet")
}

// propose commits a command on the leader and retries until commandTimeout. Retries are safe, because commands are
// idempotent by their intent ID. peer.CallLeaderWithRetry can't be used: it reports every failure as not run, but here
// an attempt may have reached the log before its response was lost, and then the outcome is unknown.
func (o operatorAPI) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	mayHaveRun := false
	for {
		r, err := peer.CallLeader[state.Command, state.Result](ctx, o.leader, peer.PathIntent, intentAttemptTimeout, c)
		if err == nil {
			return r, nil
		}
		switch peer.AsError(err).Code {
		case proto.CodeNotLeader:
		case proto.CodeInternal, proto.CodeNoLeader:
			mayHaveRun = mayHaveRun || !isDialError(err)
		default:
			return r, err
		}
		// Without time for a full dial, an attempt that times out while connecting would look like one that was sent.
		if deadline, ok := ctx.Deadline(); ctx.Err() != nil || (ok && time.Until(deadline) < dialTimeout+intentRetryPause) {
			return r, noLeaderError(mayHaveRun, err)
		}
		time.Sleep(intentRetryPause)
	}
}

func noLeaderError(mayHaveRun bool, last error) *proto.Error {
	if !mayHaveRun {
		return proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "no leader can be reached: %v", last)
	}
	e := proto.Unknown(proto.CodeNoLeader, "no leader confirmed the command; resend it with the same id: %v", last)
	e.Status = http.StatusServiceUnavailable
	return e
}

// isDialError reports whether err occurred while connecting, in which case no request was sent.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

func (o operatorAPI) queryFleet(ctx context.Context) (opapi.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	return peer.CallLeaderWithRetry[struct{}, opapi.Fleet](ctx, o.leader, peer.PathFleet, peerQueryTimeout, struct{}{})
}

func (o operatorAPI) queryReplicas(ctx context.Context) []opapi.ReplicaStatus {
	replicas := o.cfg.Replicas
	out := make([]opapi.ReplicaStatus, len(replicas))
	var wg sync.WaitGroup
	for i, r := range replicas {
		wg.Go(func() {
			out[i] = opapi.ReplicaStatus{Host: r.Host, Address: r.Address}
			st, err := queryPeer[struct{}, node.Status](ctx, o, r.Address, peer.PathReplicaStatus, struct{}{})
			if err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].Role, out[i].Term, out[i].Leader, out[i].Commit = string(st.Role), st.Term, st.Leader.Host, st.Commit
		})
	}
	wg.Wait()
	maxCommit := uint64(0)
	for _, r := range out {
		maxCommit = max(maxCommit, r.Commit)
	}
	for i := range out {
		if out[i].Error == "" {
			out[i].Lag = maxCommit - out[i].Commit
		}
	}
	return out
}

// queryDecisions collects decisions from this daemon, the replicas and the other daemons, at most maxDaemonsQueried in
// total: a move is recorded on the replica that led at the time, a request on the daemon that the caller chose.
func (o operatorAPI) queryDecisions(ctx context.Context, q audit.Query) opapi.Decisions {
	addresses := []string{o.cfg.Control}
	for _, r := range o.cfg.Replicas {
		if r.Address != o.cfg.Control {
			addresses = append(addresses, r.Address)
		}
	}
	for _, d := range o.view.Daemons() {
		if !slices.Contains(addresses, d.Control) {
			addresses = append(addresses, d.Control)
		}
	}
	out := opapi.Decisions{Unanswered: []string{}, Decisions: []audit.Decision{}}
	if len(addresses) > maxDaemonsQueried {
		out.Skipped, addresses = len(addresses)-maxDaemonsQueried, addresses[:maxDaemonsQueried]
	}
	out.Asked = len(addresses)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			var ds []audit.Decision
			var err error
			if i == 0 {
				ds = o.auditRing.Find(q)
			} else {
				ds, err = queryPeer[audit.Query, []audit.Decision](ctx, o, a, peer.PathExplain, q)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Unanswered = append(out.Unanswered, a)
			}
			out.Decisions = append(out.Decisions, ds...)
		})
	}
	wg.Wait()
	slices.SortStableFunc(out.Decisions, func(a, b audit.Decision) int { return int(b.AtMs - a.AtMs) })
	out.Decisions = out.Decisions[:min(len(out.Decisions), q.Limit)]
	slices.Sort(out.Unanswered)
	return out
}

func queryPeer[Q, R any](ctx context.Context, o operatorAPI, address, path string, q Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	return peer.Call[Q, R](ctx, o.client, "http://"+address+path, o.token, q)
}
