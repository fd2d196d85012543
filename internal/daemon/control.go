package daemon

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"baobabreach/internal/node"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/poison"
	"baobabreach/internal/raft"
	"baobabreach/internal/slots"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"

	"github.com/gorilla/mux"
)

// controlAPI serves the control address: messages between daemons and announcements of upstreams.
type controlAPI struct {
	// node returns nil until the replica has started, and always on a host without a replica.
	node   func() *node.Node
	leader *peer.LeaderClient
	clock  func() time.Duration
	info   func() (replicaInfo, bool)
	token  string
	// operator serves the requests that other daemons make on behalf of operators.
	operator operatorAPI
	slots    *slots.Slots
}

// maxRenewWait limits how long a renewal waits for a newer table.
const maxRenewWait = 2 * time.Second

func (c controlAPI) router() http.Handler {
	m := mux.NewRouter()
	m.Handle(peer.PathRaft, peer.Handle(peer.MaxRaftBytes, c.raft)).Methods(http.MethodPost)
	m.Handle(peer.PathAnnounce, peer.Handle(peer.MaxBodyBytes, c.announce)).Methods(http.MethodPost)
	m.Handle(peer.PathWatch, peer.Handle(peer.MaxBodyBytes, c.watch)).Methods(http.MethodPost)
	m.Handle(peer.PathPropose, peer.Handle(peer.MaxBodyBytes, c.propose)).Methods(http.MethodPost)
	c.slots.Mount(m)
	return c.mountShared(m)
}

// mountShared adds the paths that every daemon serves to other daemons, the responses to unknown paths, and the token
// check.
func (c controlAPI) mountShared(m *mux.Router) http.Handler {
	m.Handle(peer.PathReplica, peer.Handle(peer.MaxBodyBytes, c.replica)).Methods(http.MethodPost)
	m.Handle(peer.PathJoin, peer.Handle(peer.MaxBodyBytes, c.join)).Methods(http.MethodPost)
	m.Handle(peer.PathRenew, peer.Handle(peer.MaxBodyBytes, c.renew)).Methods(http.MethodPost)
	m.Handle(peer.PathTable, peer.Handle(peer.MaxBodyBytes, c.table)).Methods(http.MethodPost)
	m.Handle(peer.PathCrash, peer.Handle(peer.MaxBodyBytes, c.crash)).Methods(http.MethodPost)
	m.Handle(peer.PathPermit, peer.Handle(peer.MaxBodyBytes, c.permit)).Methods(http.MethodPost)
	c.operator.mountControl(m)
	m.NotFoundHandler = notFoundHandler()
	m.MethodNotAllowedHandler = notFoundHandler()
	return requireToken(c.token, m)
}

func (c controlAPI) raft(_ context.Context, messages []raft.Message) (struct{}, error) {
	n, err := c.replicaNode()
	if err != nil {
		return struct{}{}, err
	}
	n.Receive(messages)
	return struct{}{}, nil
}

func (c controlAPI) replica(context.Context, struct{}) (replicaInfo, error) {
	info, ok := c.info()
	if !ok {
		return info, proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "this host keeps no replica")
	}
	return info, nil
}

// join adds a replica with a new disk to the group. Only the leader accepts it.
func (c controlAPI) join(ctx context.Context, m raft.Member) (raft.Members, error) {
	n, err := c.replicaNode()
	if err != nil {
		return raft.Members{}, err
	}
	return n.Join(ctx, m)
}

// announce handles the announcement of an upstream if this host is the leader and forwards it to the leader otherwise.
func (c controlAPI) announce(ctx context.Context, a proto.Announcement) (proto.Grant, error) {
	received := c.clock()
	if err := a.Validate(); err != nil {
		return proto.Grant{}, err
	}
	if n := c.node(); n != nil {
		g, err := n.Announce(received, a)
		if err == nil || peer.AsError(err).Code != proto.CodeNotLeader {
			return g, err
		}
	}
	return peer.CallLeader[proto.Announcement, proto.Grant](ctx, c.leader, peer.PathAnnounce, renewTimeout, a)
}

func (c controlAPI) renew(ctx context.Context, r owner.Renewal) (owner.Lease, error) {
	received := c.clock()
	n, err := c.replicaNode()
	if err != nil {
		return owner.Lease{}, err
	}
	if wait := min(maxRenewWait, time.Duration(r.WaitMs)*time.Millisecond); wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		if n.CheckLeader() != nil {
			// Wait for a leader, because refused renewals would be repeated by all hosts at all replicas and take processor
			// time that the election needs.
			n.AwaitLeader(ctx)
		}
		have := owner.Versions{Table: r.TableVersion, Suspects: r.SuspectsVersion}
		if err := n.AwaitUpdate(ctx, have); err != nil {
			return owner.Lease{}, err
		}
	}
	return n.Renew(received, r)
}

func (c controlAPI) watch(ctx context.Context, have owner.Versions) (owner.Versions, error) {
	n, err := c.replicaNode()
	if err != nil {
		return have, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return n.Watch(ctx, have)
}

func (c controlAPI) crash(ctx context.Context, r poison.Report) (struct{}, error) {
	n, err := c.replicaNode()
	if err != nil {
		return struct{}{}, err
	}
	return struct{}{}, n.ReportCrash(ctx, r)
}

func (c controlAPI) runs(_ context.Context, r poison.RunReport) (struct{}, error) {
	n, err := c.replicaNode()
	if err != nil {
		return struct{}{}, err
	}
	return struct{}{}, n.ReportRuns(r)
}

func (c controlAPI) leaving(_ context.Context, processes []poison.Process) (struct{}, error) {
	n, err := c.replicaNode()
	if err != nil {
		return struct{}{}, err
	}
	return struct{}{}, n.RecordLeaving(processes)
}

func (c controlAPI) permit(_ context.Context, q poison.PermitRequest) (poison.PermitResponse, error) {
	n, err := c.replicaNode()
	if err != nil {
		return poison.PermitResponse{}, err
	}
	return n.Permit(q)
}

func (c controlAPI) propose(ctx context.Context, commands []state.Command) ([]state.Result, error) {
	n, err := c.replicaNode()
	if err != nil {
		return nil, err
	}
	return n.Propose(ctx, commands)
}

func (c controlAPI) replicaNode() (*node.Node, error) {
	if n := c.node(); n != nil {
		return n, nil
	}
	return nil, proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "this host runs no replica yet")
}

func notFoundHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer.WriteError(w, proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "no such path: %s %s", r.Method, r.URL.Path))
	})
}

// requireToken rejects requests without the bearer token. An empty token disables the check.
func requireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			peer.WriteError(w, proto.NotRun(proto.CodeUnauthorized, http.StatusUnauthorized, "a valid token is needed"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
