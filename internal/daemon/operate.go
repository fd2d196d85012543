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
	// commandTimeout bounds an operator's command: an election of at most 500 ms and a wait for the old lease fit in.
	commandTimeout = 3 * time.Second
	// intentTryTimeout bounds one try, so that a frozen replica leaves time to find the leader.
	intentTryTimeout   = time.Second
	intentRetryPause   = 20 * time.Millisecond
	fleetTimeout       = 2 * time.Second
	askTimeout         = 500 * time.Millisecond
	maxDaemonsAsked    = 64
	maxDecisionsPerAsk = 100
)

// operate connects the operator address with this daemon, its peers and the leader.
type operate struct {
	cfg    config.Config
	node   func() *node.Node
	leader *peer.LeaderClient
	client *http.Client
	token  string
	view   *route.View
	ring   *audit.Ring
}

func newOperate(p listenerParams) operate {
	return operate{
		cfg: p.Config, node: p.Replica.node.Load, leader: p.Leader, client: p.Clients.control, token: p.Tokens.control,
		view: p.View, ring: p.Audit,
	}
}

func (o operate) server() *opapi.Server {
	return opapi.New(opapi.Config{
		Host: o.cfg.Host, View: o.view, Now: time.Now, Propose: o.propose, Fleet: o.askFleet,
		Replicas: o.askReplicas, Decisions: o.askDecisions,
		Facts: func() intent.PlanInputs {
			return intent.PlanInputs{Host: o.cfg.Host, PerSecond: o.ring.Rates(time.Now()), MaxMoves: o.cfg.MaxMoves}
		},
	})
}

// mountControl adds the paths that other daemons use on behalf of operators.
func (o operate) mountControl(m *mux.Router) {
	m.Handle(peer.PathIntent, peer.Handle(peer.MaxBodyBytes, o.intent)).Methods(http.MethodPost)
	m.Handle(peer.PathFleet, peer.Handle(peer.MaxBodyBytes, o.fleet)).Methods(http.MethodPost)
	m.Handle(peer.PathReplicaStatus, peer.Handle(peer.MaxBodyBytes, o.replicaStatus)).Methods(http.MethodPost)
	m.Handle(peer.PathExplain, peer.Handle(peer.MaxBodyBytes, o.explain)).Methods(http.MethodPost)
}

func (o operate) intent(ctx context.Context, c state.Command) (state.Result, error) {
	if c.Plan == nil && c.Confirm == nil {
		return state.Result{}, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "expected a plan or a confirmation")
	}
	n, err := o.replica()
	if err != nil {
		return state.Result{}, err
	}
	return n.ProposeIntent(ctx, c)
}

func (o operate) fleet(context.Context, struct{}) (opapi.Fleet, error) {
	n, err := o.replica()
	if err != nil {
		return opapi.Fleet{}, err
	}
	v, err := n.Overview()
	if err != nil {
		return opapi.Fleet{}, err
	}
	return opapi.NewFleet(v, n.Status()), nil
}

func (o operate) replicaStatus(context.Context, struct{}) (node.Status, error) {
	n, err := o.replica()
	if err != nil {
		return node.Status{}, err
	}
	return n.Status(), nil
}

func (o operate) explain(_ context.Context, q audit.Query) ([]audit.Decision, error) {
	q.Limit = min(q.Limit, maxDecisionsPerAsk)
	return o.ring.Find(q), nil
}

func (o operate) replica() (*node.Node, error) {
	if n := o.node(); n != nil {
		return n, nil
	}
	return nil, proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "this host runs no replica yet")
}

// propose commits a command on the leader, with retries until commandTimeout. The commands are idempotent by their
// intent id. peer.ToLeaderUntil reports every failure as not run; here a try may have reached the log before its
// answer was lost, and then the outcome is unknown.
func (o operate) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	mayHaveRun := false
	for {
		r, err := peer.CallLeader[state.Command, state.Result](ctx, o.leader, peer.PathIntent, intentTryTimeout, c)
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
		// A try that is cut short while it connects could not be told from one that was sent.
		if end, ok := ctx.Deadline(); ctx.Err() != nil || (ok && time.Until(end) < dialTimeout+intentRetryPause) {
			return r, noLeader(mayHaveRun, err)
		}
		time.Sleep(intentRetryPause)
	}
}

func noLeader(mayHaveRun bool, last error) *proto.Error {
	if !mayHaveRun {
		return proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "no leader can be reached: %v", last)
	}
	e := proto.Unknown(proto.CodeNoLeader, "no leader confirmed the command; resend it with the same id: %v", last)
	e.Status = http.StatusServiceUnavailable
	return e
}

// isDialError tells whether the connection was never made, so that nothing was sent.
func isDialError(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

func (o operate) askFleet(ctx context.Context) (opapi.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	return peer.CallLeaderWithRetry[struct{}, opapi.Fleet](ctx, o.leader, peer.PathFleet, askTimeout, struct{}{})
}

func (o operate) askReplicas(ctx context.Context) []opapi.ReplicaStatus {
	rs := o.cfg.Replicas
	out := make([]opapi.ReplicaStatus, len(rs))
	var wg sync.WaitGroup
	for i, r := range rs {
		wg.Go(func() {
			out[i] = opapi.ReplicaStatus{Host: r.Host, Address: r.Address}
			st, err := ask[struct{}, node.Status](ctx, o, r.Address, peer.PathReplicaStatus, struct{}{})
			if err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].Role, out[i].Term, out[i].Leader, out[i].Commit = string(st.Role), st.Term, st.Leader.Host, st.Commit
		})
	}
	wg.Wait()
	furthest := uint64(0)
	for _, r := range out {
		furthest = max(furthest, r.Commit)
	}
	for i := range out {
		if out[i].Error == "" {
			out[i].Lag = furthest - out[i].Commit
		}
	}
	return out
}

// askDecisions asks this daemon, the replicas and the other daemons, at most maxDaemonsAsked: moves are recorded on
// whatever replica led, requests on the daemon that the caller chose.
func (o operate) askDecisions(ctx context.Context, q audit.Query) opapi.Decisions {
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
	if len(addresses) > maxDaemonsAsked {
		out.Skipped, addresses = len(addresses)-maxDaemonsAsked, addresses[:maxDaemonsAsked]
	}
	out.Asked = len(addresses)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			var ds []audit.Decision
			var err error
			if i == 0 {
				ds = o.ring.Find(q)
			} else {
				ds, err = ask[audit.Query, []audit.Decision](ctx, o, a, peer.PathExplain, q)
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

func ask[Q, R any](ctx context.Context, o operate, address, path string, q Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return peer.Call[Q, R](ctx, o.client, "http://"+address+path, o.token, q)
}
