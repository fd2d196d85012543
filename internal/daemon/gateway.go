package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"baobabreach/internal/clock"
	"baobabreach/internal/config"
	"baobabreach/internal/errs"
	"baobabreach/internal/gate"
	"baobabreach/internal/limit"
	"baobabreach/internal/logs"
	"baobabreach/internal/metric"
	"baobabreach/internal/node"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/pipe"
	"baobabreach/internal/route"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

const (
	// gatewayVoters is the number of replicas that vote: one may be lost.
	gatewayVoters = 3
	// gatewayMoves bounds the ranges that are taken from live owners at once. Each is without an owner for about a
	// heartbeat.
	gatewayMoves = 6
	// gatewayRenewWait is how long a renewal waits at the leader for a change, gatewayRenewPause the time between two.
	gatewayRenewWait  = time.Second
	gatewayRenewPause = 20 * time.Millisecond
	// gatewayRenewRetry paces the search for a leader by a hundred hosts with links of 2 Mbit/s.
	gatewayRenewRetry = 300 * time.Millisecond
	// gatewayPublish is the least time between two tables. Upstreams that leave serve for two seconds more.
	gatewayPublish = 100 * time.Millisecond
	// gatewayPublishPerHost lengthens it for large fleets: four tables a second for a hundred hosts are a tenth of all bytes
	// between data centres.
	gatewayPublishPerHost = 2500 * time.Microsecond
	// gatewayCompact bounds the entries that a replica applies again after a restart: each copies a list of up to a
	// thousand ranges, which takes a small machine about a millisecond, and the loop that sends heartbeats waits for all.
	gatewayCompact  = 64
	gatewayLeaseTTL = 3500 * time.Millisecond
	// firstWaitBeats is the number of heartbeats after which every upstream of a new service should have been heard.
	firstWaitBeats = 1.3
	// maxIdlePerUpstream bounds the idle connections of a host to one upstream.
	maxIdlePerUpstream = 6
	// maxBufferedShare is the part of the memory that request bodies may take.
	maxBufferedShare = 0.15
	maxGateAnswer    = 16 << 20
	sweepInterval    = time.Second
	directoryPause   = time.Second
)

// gatewayTiming halves the heartbeats of the default, since bytes between data centres are paid for. A replica with a
// quarter of a core must not lose its lease while hundreds of hosts come back at once; grants outlive the longer elections.
var gatewayTiming = node.Timing{
	ElectionMin: 500 * time.Millisecond, ElectionMax: 900 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
}

// Adapter is what a platform needs to say about its calls and headers.
type Adapter struct {
	Names pipe.HeaderNames
	// Registry serves upstreams and operators of the platform.
	Registry func(r Registry) http.Handler
	// Ready serves the readiness checks of the platform's balancer.
	Ready func(ready func() bool) http.Handler
}

func gatewayPlanner(cfg config.Config) owner.Config {
	g := cfg.Gateway
	return owner.Config{
		MaxMoves: gatewayMoves, GrantTTL: g.GrantTTL, AnnounceInterval: g.Heartbeat, ReliableIncarnations: true,
		SlowAnnouncements: true, LeaseTTL: gatewayLeaseTTL,
		FirstAssignmentDelay: time.Duration(firstWaitBeats * float64(g.Heartbeat)),
	}
}

// seedAddresses returns the control addresses of the seeds: every daemon uses the same ports.
func seedAddresses(cfg config.Config) []string {
	_, port, err := net.SplitHostPort(cfg.Control)
	if err != nil {
		return nil
	}
	var out []string
	for _, s := range cfg.Gateway.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

func seedReplicas(cfg config.Config) []config.Replica {
	var out []config.Replica
	for _, a := range seedAddresses(cfg) {
		out = append(out, config.Replica{Host: a, Address: a})
	}
	return out
}

// nextPort returns the address with the port after the given one, or "" if it can't be read.
func nextPort(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+1).String()
}

// NewGateway returns the application of a daemon on a platform.
func NewGateway(cfg config.Config, dial Dial, ad Adapter) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(cfg.BalancerDelay+cfg.StopTimeout+stopMargin),
		fx.Supply(cfg, dial, ad),
		fx.Provide(
			newGatewayLogger, newClock, newTokens, newClients, newSeedClient, metric.New, route.NewView, newReplica, newRenewer,
			limit.NewHostLimiter, newGuard, newAudit, newGate, newPipes, newDirectory, newRegistry,
		),
		// Stopped in the reverse order: callers are served to the end with a table that is kept fresh.
		fx.Invoke(
			limitMemory, startReloader, startReplica, startDirectory, startGauges, startGate, startFirstTable,
			startGatewayListeners,
		),
	)
}

const (
	// gcPercent trades memory for processor time, which is the dearer of the two.
	gcPercent = 200
	// memoryShare is the part of the process's memory at which the collector works harder.
	memoryShare = 0.7
)

// limitMemory keeps the process below the memory that it may use.
func limitMemory(cfg config.Config) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Gateway.MemoryMB<<20)))
}

func newGatewayLogger(lc fx.Lifecycle, cfg config.Config) (*slog.Logger, error) {
	out := logs.NewAsyncWriter(os.Stdout)
	l, err := logs.New(logs.Config{Level: cfg.LogLevel, Format: cfg.LogFormat, Output: out})
	if err != nil {
		return nil, errors.Wrap(err, "make logger")
	}
	l = l.With("host", cfg.Host)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l.Info("daemon: started", "zone", cfg.DataCentre, "control", cfg.Control, "replica", cfg.IsReplica())
			return nil
		},
		OnStop: func(context.Context) error {
			l.Info("daemon: stopped")
			out.Close()
			return nil
		},
	})
	return l, nil
}

func newSeedClient(cfg config.Config, c clients, t tokens) *peer.LeaderClient {
	return peer.NewLeaderClient(c.control, t.control, seedAddresses(cfg))
}

func newPipes(cfg config.Config, dial Dial, now Clock, ad Adapter) *pipe.Pool {
	return pipe.New(pipe.Config{
		Names: ad.Names, Dial: dial, Now: now, MaxResponseBytes: maxGateAnswer, MaxIdle: maxIdlePerUpstream,
	})
}

func newGate(
	cfg config.Config, v *route.View, p *pipe.Pool, now Clock, ad Adapter, m *metric.Registry, log *slog.Logger,
) *gate.Gate {
	g := cfg.Gateway
	return gate.New(gate.Config{
		Names: ad.Names, View: v, Pool: p, Picker: gate.NewPicker(cfg.DataCentre, rand.IntN), Clock: now, Metrics: m,
		Budget: gate.NewBudget(gate.BudgetConfig{Ratio: g.RetryRatio, Slack: g.RetrySlack, Window: g.RetryWindow}),
		Log:    logs.ForComponent(log, "gate"), MaxBodyBytes: cfg.MaxBodyBytes,
		MaxBuffered: int64(maxBufferedShare * float64(g.MemoryMB<<20)),
	})
}

// gatewayRouter serves the other daemons of a platform.
func gatewayRouter(c control, r Registry) http.Handler {
	m := mux.NewRouter()
	m.Handle(peer.PathAnnounce, peer.Handle(peer.MaxBodyBytes, r.announceHere)).Methods(http.MethodPost)
	m.Handle(peer.PathDepart, peer.Handle(peer.MaxBodyBytes, r.departHere)).Methods(http.MethodPost)
	m.Handle(peer.PathChange, peer.Handle(peer.MaxRaftBytes, r.changeHere)).Methods(http.MethodPost)
	m.Handle(peer.PathItems, peer.Handle(peer.MaxBodyBytes, r.itemsHere)).Methods(http.MethodPost)
	return c.mountCommon(m)
}

// raftRouter serves the other replicas.
func raftRouter(c control) http.Handler {
	m := mux.NewRouter()
	m.Handle(peer.PathRaft, peer.Handle(peer.MaxRaftBytes, c.raft)).Methods(http.MethodPost)
	return requireToken(c.token, m)
}

type gatewayParams struct {
	fx.In

	Config   config.Config
	Adapter  Adapter
	Replica  *replica
	Leader   *peer.LeaderClient
	View     *route.View
	Metrics  *metric.Registry
	Clock    Clock
	Tokens   tokens
	Clients  clients
	Registry Registry
	Gate     *gate.Gate
	Log      *slog.Logger
}

func (p gatewayParams) control() control {
	return control{
		node: p.Replica.node.Load, leader: p.Leader, clock: p.Clock, token: p.Tokens.control,
		info: p.Replica.present,
		operate: operate{
			cfg: p.Config, node: p.Replica.node.Load, leader: p.Leader, client: p.Clients.control, token: p.Tokens.control,
			view: p.View,
		},
	}
}

// present returns what the replica of this host tells about its disk, with the present members.
func (r *replica) present() (replicaInfo, bool) {
	i := r.info.Load()
	if i == nil {
		return replicaInfo{}, false
	}
	info := *i
	if n := r.node.Load(); n != nil {
		ms := n.Status().Members
		info.Members = &ms
	}
	return info, true
}

// listener is one address of the daemon.
type listener struct {
	name, address string
	server        *http.Server
}

// startGatewayListeners opens the addresses of the daemon's roles, and ends callers last at a stop.
func startGatewayListeners(lc fx.Lifecycle, p gatewayParams) {
	log := logs.ForComponent(p.Log, "listen")
	c := p.control()
	var ls []listener
	add := func(name, address string, h http.Handler) *http.Server {
		s := &http.Server{
			Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: gatewayIdle,
			MaxHeaderBytes: int(p.Config.MaxHeaderBytes),
		}
		if address != "" {
			ls = append(ls, listener{name: name, address: address, server: s})
		}
		return s
	}
	operator := mux.NewRouter()
	operator.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { p.Metrics.WriteText(w) })
	c.operate.server().Mount(operator)
	add("control", p.Config.Control, gatewayRouter(c, p.Registry))
	if p.Config.IsReplica() {
		add("raft", nextPort(p.Config.Control), raftRouter(c))
	}
	add("operator", p.Config.Operator, requireToken(p.Tokens.operator, operator))
	add("registry", p.Config.Gateway.Registry, p.Adapter.Registry(p.Registry))
	callers := add("caller", p.Config.Caller, p.Gate)
	ready := add("ready", p.Config.Gateway.Ready, p.Adapter.Ready(p.Gate.Ready))
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, x := range ls {
				l, err := net.Listen("tcp", x.address)
				if err != nil {
					return errors.Wrapf(err, "listen for %s", x.name)
				}
				log.Info("listening", "part", x.name, "address", x.address)
				if x.name == "control" || x.name == "raft" {
					l = countedListener{Listener: l, metrics: p.Metrics}
				}
				go func() { _ = x.server.Serve(l) }()
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if p.Config.Caller != "" {
				stopCallers(ctx, p, callers, log)
			}
			for _, x := range ls {
				if x.server != callers && x.server != ready {
					_ = x.server.Close()
				}
			}
			return errs.Wrap(ready.Close(), "close readiness checks")
		},
	})
}

// gatewayIdle is how long a connection may stay idle; longer than callers of the platform reuse one.
const gatewayIdle = 30 * time.Second

// stopCallers turns readiness off, waits until the balancer has noticed, and lets requests in flight end.
func stopCallers(ctx context.Context, p gatewayParams, callers *http.Server, log *slog.Logger) {
	p.Gate.Stop()
	log.Info("readiness is off", "balancer_delay", p.Config.BalancerDelay)
	select {
	case <-time.After(p.Config.BalancerDelay):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, p.Config.StopTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		log.Warn("requests in flight were cut off", "error", err)
	}
}

// startGate keeps the table of an entry host fresh.
func startGate(lc fx.Lifecycle, cfg config.Config, r *renewer, pool *pipe.Pool, g *gate.Gate) {
	if cfg.Caller == "" {
		return
	}
	startRenewer(lc, r)
	inBackground(lc, func(ctx context.Context) {
		clock.Every(ctx, sweepInterval, func(context.Context) {
			pool.SetMaxIdle(g.IdlePerUpstream(maxIdlePerUpstream))
			pool.Sweep()
			g.Sweep()
		})
	})
}
