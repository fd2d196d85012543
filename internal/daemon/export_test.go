package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"baobabreach/internal/config"
	"baobabreach/internal/metric"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
)

// ReadToken exposes readToken to external tests.
var ReadToken = readToken

// NewServer exposes newServer to external tests.
var NewServer = newServer

// StoppingServer is a server for callers.
type StoppingServer struct{ *callerServer }

// NewStoppingServer returns a server for callers that serves the handler on the listener.
func NewStoppingServer(cfg config.Config, l net.Listener, h http.Handler) StoppingServer {
	s := newCallerServer(cfg, newServer(h, 4<<10, 0), newDrain(cfg), newClock(), slog.New(slog.DiscardHandler))
	go s.serve(l)
	return StoppingServer{s}
}

// Stop stops the server.
func (s StoppingServer) Stop(ctx context.Context) { s.stop(ctx) }

// Routers returns the caller and operator routers of a daemon without a replica.
func Routers(token string) (callers, operators http.Handler) {
	p := listenerParams{
		Config: config.Config{Host: "a1"}, Drain: newDrain(config.Config{}), Replica: newLocalReplica(), View: route.NewView(),
		Tokens: tokens{operator: token}, Clients: newClients(config.Config{}, NetDial, metric.New()),
		Leader: peer.NewLeaderClient(http.DefaultClient, "", []string{"127.0.0.1:1"}),
	}
	return callerRouter(p), operatorRouter(p)
}

// ProposeTo proposes an operator's command to the replica at the address.
func ProposeTo(ctx context.Context, address string, c state.Command) error {
	client := newClients(config.Config{}, NetDial, metric.New()).control
	o := operatorAPI{leader: peer.NewLeaderClient(client, "", []string{address}), client: client}
	_, err := o.propose(ctx, c)
	return err
}

// PeerClients returns the clients for requests to other daemons by name.
func PeerClients(cfg config.Config) map[string]*http.Client {
	c := newClients(cfg, NetDial, metric.New())
	return map[string]*http.Client{"control": c.control, "dispatch": c.dispatch}
}
