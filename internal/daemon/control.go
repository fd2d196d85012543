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

// control serves the control address: messages between daemons and announcements of upstreams.
type control struct {
	// node is nil until the replica has started, and always nil on a host without a replica.
	node   func() *node.Node
	leader *peer.LeaderClient
	clock  func() time.Duration
	info   func() (replicaInfo, bool)
	token  string
	// operate serves what other daemons ask on behalf of operators.
	operate operate
	slots   *slots.Slots
}

// maxRenewWait bounds how long a renewal waits for a newer table.
const maxRenewWait = 2 * time.Second

func (c control) router() http.Handler {
	m := mux.NewRouter()
	m.Handle(peer.PathRaft, peer.Handle(peer.MaxRaftBytes, c.raft)).Methods(http.MethodPost)
	m.Handle(peer.PathAnnounce, peer.Handle(peer.MaxBodyBytes, c.announce)).Methods(http.MethodPost)
	m.Handle(peer.PathWatch, peer.Handle(peer.MaxBodyBytes, c.watch)).Methods(http.MethodPost)
	m.Handle(peer.PathPropose, peer.Handle(peer.MaxBodyBytes, c.propose)).Methods(http.MethodPost)
	c.slots.Mount(m)
	return c.mountCommon(m)
}

// mountCommon adds what every daemon serves to other daemons, and the answers to anything else.
func (c control) mountCommon(m *mux.Router) http.Handler {
	m.Handle(peer.PathReplica, peer.Handle(peer.MaxBodyBytes, c.replica)).Methods(http.MethodPost)
	m.Handle(peer.PathJoin, peer.Handle(peer.MaxBodyBytes, c.join)).Methods(http.MethodPost)
	m.Handle(peer.PathRenew, peer.Handle(peer.MaxBodyBytes, c.renew)).Methods(http.MethodPost)
	m.Handle(peer.PathTable, peer.Handle(peer.MaxBodyBytes, c.table)).Methods(http.MethodPost)
	m.Handle(peer.PathCrash, peer.Handle(peer.MaxBodyBytes, c.crash)).Methods(http.MethodPost)
	m.Handle(peer.PathPermit, peer.Handle(peer.MaxBodyBytes, c.permit)).Methods(http.MethodPost)
	c.operate.mountControl(m)
	m.NotFoundHandler = notFound()
	m.MethodNotAllowedHandler = notFound()
	return requireToken(c.token, m)
}

func (c control) raft(_ context.Context, ms []raft.Message) (struct{}, error) {
	n, err := c.replicaNode()
	if err != nil {
		return struct{}{}, err
	}
	n.Receive(ms)
	return struct{}{}, nil
}

func (c control) replica(context.Context, struct{}) (replicaInfo, error) {
	info, ok := c.info()
	if !ok {
		return info, proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "this host keeps no replica")
	}
	return info, nil
}

// join lets a replica with a new disk into the group; on the leader only.
func (c control) join(ctx context.Context, m raft.Member) (raft.Members, error) {
	n, err := c.replicaNode()
	if err != nil {
		return raft.Members{}, err
	}
	return n.Join(ctx, m)
}

// announce answers on the leader and passes the announcement on everywhere else.
func (c control) announce(ctx context.Context, a proto.Announcement) (proto.Grant, error) {
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

func (c control) renew(ctx context.Context, r owner.Renewal) (owner.Lease, error) {
	received := c.clock()
	n, err := c.replicaNode()
	if err != nil {
		return owner.Lease{}, err
	}
	if wait := min(maxRenewWait, time.Duration(r.WaitMs)*time.Millisecond); wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		if n.CheckLeader() != nil {
			// Hosts that asked all replicas again and again would take the time that the election needs.
			n.AwaitLeader(ctx)
		}
		have := owner.Versions{Table: r.TableVersion, Suspects: r.SuspectsVersion}
		if err := n.AwaitUpdate(ctx, have); err != nil {
			return owner.Lease{}, err
		}
	}
	return n.Renew(received, r)
}

func (c control) watch(ctx context.Context, have owner.Versions) (owner.Versions, error) {
	n, err := c.replicaNode()
	if err != nil {
		return have, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return n.Watch(ctx, have)
}

func (c control) crash(ctx context.Context, r poison.Report) (struct{}, error) {
	n, err := c.replicaNode()
	if err != nil {
		return struct{}{}, err
	}
	return struct{}{}, n.ReportCrash(ctx, r)
}

func (c control) permit(_ context.Context, q poison.PermitRequest) (poison.PermitResponse, error) {
	n, err := c.replicaNode()
	if err != nil {
		return poison.PermitResponse{}, err
	}
	return n.Permit(q)
}

func (c control) propose(ctx context.Context, cs []state.Command) ([]state.Result, error) {
	n, err := c.replicaNode()
	if err != nil {
		return nil, err
	}
	return n.Propose(ctx, cs)
}

func (c control) replicaNode() (*node.Node, error) {
	if n := c.node(); n != nil {
		return n, nil
	}
	return nil, proto.NotRun(proto.CodeNotLeader, http.StatusMisdirectedRequest, "this host runs no replica yet")
}

func notFound() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer.WriteError(w, proto.NotRun(proto.CodeNotFound, http.StatusNotFound, "no such path: %s %s", r.Method, r.URL.Path))
	})
}

// requireToken refuses requests without the token. An empty token admits everybody.
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
