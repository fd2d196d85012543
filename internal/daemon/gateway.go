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
	"baobabreach/internal/drain"
	"baobabreach/internal/errs"
	"baobabreach/internal/gate"
	"baobabreach/internal/limit"
	"baobabreach/internal/logs"
	"baobabreach/internal/metric"
	"baobabreach/internal/model"
	"baobabreach/internal/node"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/pipe"
	"baobabreach/internal/poison"
	"baobabreach/internal/room"
	"baobabreach/internal/route"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

const (
	// gatewayMaxMoves limits how many ranges are moved away from live owners at once. Each of them has no owner for about
	// one heartbeat.
	gatewayMaxMoves = 6
	// gatewayRenewWait is how long the leader holds a renewal until a change occurs.
	gatewayRenewWait = time.Second
	// gatewayRenewInterval is the pause between two renewals.
	gatewayRenewInterval = 20 * time.Millisecond
	// gatewayRenewRetryPause is long enough for a hundred hosts to search for a leader over links of 2 Mbit/s.
	gatewayRenewRetryPause = 300 * time.Millisecond
	// gatewayPublishInterval is the minimum time between two published tables. An upstream that leaves keeps serving for
	// two more seconds, which covers the delay.
	gatewayPublishInterval = 100 * time.Millisecond
	// gatewayPublishPerHost, multiplied by the number of hosts, is the interval between two published tables if that is
	// longer than gatewayPublishInterval. Publishing four tables a second to a hundred hosts takes a tenth of the traffic
	// between data centres.
	gatewayPublishPerHost = 2500 * time.Microsecond
	// gatewaySnapshotEntries limits the log entries that a replica replays after a restart. Each copies a list of up to a
	// thousand ranges, which takes about 1 ms on a small machine, and the loop that sends heartbeats is blocked meanwhile.
	gatewaySnapshotEntries = 64
	gatewayLeaseTTL        = 3500 * time.Millisecond
	// firstAssignmentDelayHeartbeats is the delay, in heartbeat intervals, from the announcement of the latest upstream of a
	// new service to the first assignment of its ranges. By then every upstream of it should have announced itself.
	firstAssignmentDelayHeartbeats = 1.3
	// maxIdlePerUpstream limits the idle connections of a host to one upstream.
	maxIdlePerUpstream = 6
	// maxBufferedShare is the fraction of the memory that buffered request bodies may take, and that responses may.
	maxBufferedShare = 0.15
	// maxMessagesShare is the fraction of the memory that messages of upstreams, operators and other daemons may take before
	// they are decoded, which takes two to three times as much.
	maxMessagesShare         = 0.05
	gatewayMaxResponseBytes  = 16 << 20
	sweepInterval            = time.Second
	directoryRefreshInterval = time.Second
)

// gatewayTiming sends half as many heartbeats as the default, because traffic between data centres is charged. Its
// election timeouts are longer, so that a replica with a quarter of a core keeps its lease while hundreds of hosts
// reconnect together. Grants outlive the longer elections.
var gatewayTiming = node.Timing{
	ElectionMin: 500 * time.Millisecond, ElectionMax: 900 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
}

// Adapter defines the HTTP interfaces and header names of a hosting platform.
type Adapter struct {
	Names pipe.HeaderNames
	// Registry returns the handler for upstreams and operators of the platform.
	Registry func(r Registry) http.Handler
	// Ready returns the handler for the readiness checks of the platform's load balancer.
	Ready func(ready func() bool) http.Handler
}

func gatewayPlannerConfig(cfg config.Config) owner.Config {
	g := cfg.Gateway
	return owner.Config{
		MaxMoves: gatewayMaxMoves, GrantTTL: g.GrantTTL, AnnounceInterval: g.Heartbeat, ReliableIncarnations: true,
		SlowAnnouncements: true, LeaseTTL: gatewayLeaseTTL,
		FirstAssignmentDelay: time.Duration(firstAssignmentDelayHeartbeats * float64(g.Heartbeat)),
	}
}

// seedAddresses returns the control addresses of the seeds, assuming that every daemon uses the same control port.
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

// nextPort returns the address with its port incremented by one, or "" if the address is invalid. Applied to the control
// address of a replica, it gives the address for raft messages.
func nextPort(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+1).String()
}

// NewGateway returns the application of a daemon on a hosting platform, whose interfaces adapter defines. cfg must have been
// validated and have a Gateway.
func NewGateway(cfg config.Config, dial DialFunc, adapter Adapter) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(cfg.BalancerDelay+cfg.StopTimeout+stopMargin),
		fx.Supply(cfg, dial, adapter),
		fx.Provide(
			newGatewayLogger, newClock, newTokens, newClients, newSeedLeaderClient, metric.New, newGatewayView, newLocalReplica,
			newRenewer, limit.NewHostLimiter, newCrashGuard, suspectsOfGate, newAuditRing, newGate, newPipePool,
			newReplicaDirectory, newRegistry, newBrokerSocket, newDrain, newRooms,
		),
		// fx stops these in reverse order, so that the table is kept up to date until the last caller is served.
		fx.Invoke(
			limitMemory, startReloader, startReplica, startReplicaDirectory, startBrokerSocket, startGauges, startGate,
			startInitialTableFetcher, startGatewayListeners,
		),
	)
}

// softMemoryLimitShare is the fraction of the allowed memory that is set as the soft limit of the Go runtime.
const softMemoryLimitShare = 0.7

// limitMemory configures the garbage collector so that the process stays below its allowed memory.
func limitMemory(cfg config.Config) {
	debug.SetMemoryLimit(int64(softMemoryLimitShare * float64(cfg.Gateway.MemoryMB<<20)))
}

func newGatewayLogger(lc fx.Lifecycle, cfg config.Config) (*slog.Logger, error) {
	out := logs.NewAsyncWriter(os.Stdout)
	l, err := logs.New(logs.Config{Level: cfg.LogLevel, Format: cfg.LogFormat, Output: out})
	if err != nil {
		return nil, errors.Wrap(err, "create logger")
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

func newGatewayView(cfg config.Config) *route.View {
	v := route.NewView()
	v.SetDrainTime(cfg.Gateway.DrainTime)
	return v
}

func newSeedLeaderClient(cfg config.Config, c clients, t tokens) *peer.LeaderClient {
	return peer.NewLeaderClient(c.control, t.control, seedAddresses(cfg))
}

func newPipePool(cfg config.Config, dial DialFunc, now Clock, adapter Adapter, rooms rooms) *pipe.Pool {
	return pipe.New(pipe.Config{
		Names: adapter.Names, Dial: dial, Now: now, MaxHeadBytes: cfg.MaxResponseHeaderBytes,
		MaxResponseBytes: gatewayMaxResponseBytes, MaxIdle: maxIdlePerUpstream, Responses: rooms.responses,
	})
}

func newGate(
	cfg config.Config, v *route.View, p *pipe.Pool, now Clock, adapter Adapter, m *metric.Registry, b *brokerSocket,
	crashes *gate.CrashGuard, l *peer.LeaderClient, d *drain.Drain, rooms rooms, log *slog.Logger,
) *gate.Gate {
	g := cfg.Gateway
	return gate.New(gate.Config{
		Names: adapter.Names, View: v, Pool: p, Picker: gate.NewPicker(cfg.DataCentre, rand.IntN), Clock: now, Metrics: m,
		Brokers: b.gateBrokers(), DataCentre: cfg.DataCentre, Crashes: crashes, ReportLeaving: reportLeaving(l),
		Drain: d,
		Budget: gate.NewBudget(gate.BudgetConfig{
			Ratio: g.RetryRatio, Slack: g.RetrySlack, Window: g.RetryWindow, StartedAt: now(), FirstStart: g.FirstStart,
		}),
		Log: logs.ForComponent(log, "gate"), MaxHeaderBytes: cfg.MaxHeaderBytes, MaxBodyBytes: cfg.MaxBodyBytes,
		Bodies: rooms.requests,
	})
}

// reportToLeader sends a report to the leader. A leader of an earlier build does not know the path; repeating the report
// would be in vain.
func reportToLeader[Q any](ctx context.Context, l *peer.LeaderClient, path string, report Q) error {
	_, err := peer.ReportToLeader[Q, struct{}](ctx, l, path, renewTimeout, report)
	if err != nil && peer.AsError(err).Code == proto.CodeNotFound {
		return nil
	}
	return err
}

// reportLeaving returns a function that tells the leader which upstreams leave.
func reportLeaving(l *peer.LeaderClient) func(ctx context.Context, upstreams []model.Upstream) error {
	return func(ctx context.Context, upstreams []model.Upstream) error {
		var processes []poison.Process
		for _, u := range upstreams {
			processes = append(processes, poison.Process{Name: u.Name, Incarnation: u.Incarnation})
		}
		return reportToLeader(ctx, l, peer.PathLeaving, processes)
	}
}

func newCrashGuard(
	cfg config.Config, l *peer.LeaderClient, p *pipe.Pool, v *route.View, now Clock, log *slog.Logger,
) *gate.CrashGuard {
	return gate.NewCrashGuard(gate.CrashGuardConfig{
		Host: cfg.Host, Clock: now, Probe: p.Probe, View: v, Log: logs.ForComponent(log, "gate"),
		Report: func(ctx context.Context, r poison.RunReport) error {
			return reportToLeader(ctx, l, peer.PathRuns, r)
		},
	})
}

func suspectsOfGate(g *gate.CrashGuard) suspects {
	return suspects{version: g.Version, update: g.Update}
}

// gatewayRouter returns the handler of the control address on a hosting platform.
func gatewayRouter(c controlAPI, r Registry) http.Handler {
	m := mux.NewRouter()
	m.Handle(peer.PathAnnounce, peer.Handle(peer.MaxBodyBytes, r.handleAnnounce)).Methods(http.MethodPost)
	m.Handle(peer.PathMarkLeaving, peer.Handle(peer.MaxBodyBytes, r.handleMarkLeaving)).Methods(http.MethodPost)
	m.Handle(peer.PathChange, peer.Handle(peer.MaxRaftBytes, r.handleChange)).Methods(http.MethodPost)
	m.Handle(peer.PathLeaving, peer.Handle(peer.MaxBodyBytes, c.leaving)).Methods(http.MethodPost)
	m.Handle(peer.PathRuns, peer.Handle(peer.MaxBodyBytes, c.runs)).Methods(http.MethodPost)
	m.Handle(peer.PathItems, peer.Handle(peer.MaxBodyBytes, r.handleItems)).Methods(http.MethodPost)
	return c.mountShared(m)
}

// raftRouter returns the handler of the raft address, which only other replicas use.
func raftRouter(c controlAPI) http.Handler {
	m := mux.NewRouter()
	m.Handle(peer.PathRaft, peer.Handle(peer.MaxRaftBytes, c.raft)).Methods(http.MethodPost)
	return requireToken(c.token, m)
}

type gatewayParams struct {
	fx.In

	Config   config.Config
	Adapter  Adapter
	Replica  *localReplica
	Leader   *peer.LeaderClient
	View     *route.View
	Metrics  *metric.Registry
	Clock    Clock
	Tokens   tokens
	Clients  clients
	Registry Registry
	Gate     *gate.Gate
	Drain    *drain.Drain
	Log      *slog.Logger
}

func (p gatewayParams) control() controlAPI {
	return controlAPI{
		node: p.Replica.node.Load, leader: p.Leader, clock: p.Clock, token: p.Tokens.control,
		info: p.Replica.currentInfo,
		operator: operatorAPI{
			cfg: p.Config, node: p.Replica.node.Load, leader: p.Leader, client: p.Clients.control, token: p.Tokens.control,
			view: p.View,
		},
	}
}

// currentInfo returns the info of the local replica with the current members, or false if there is no replica.
func (r *localReplica) currentInfo() (replicaInfo, bool) {
	i := r.info.Load()
	if i == nil {
		return replicaInfo{}, false
	}
	info := *i
	if n := r.node.Load(); n != nil {
		members := n.Status().Members
		info.Members = &members
	}
	return info, true
}

// callerListener is the name of the address for callers.
const callerListener = "caller"

// listener is an address of the daemon with its HTTP server.
type listener struct {
	name, address string
	server        *http.Server
}

// startGatewayListeners opens the addresses that the daemon needs as an entry host, a replica or both. During a shutdown it
// drains callers before it closes the other addresses.
func startGatewayListeners(lc fx.Lifecycle, p gatewayParams) {
	log := logs.ForComponent(p.Log, "listen")
	c := p.control()
	var listeners []listener
	addServer := func(name, address string, h http.Handler) *http.Server {
		maxHeaderBytes := p.Config.MaxHeaderBytes
		if name == callerListener {
			// The gate checks the headers of callers by the limit of the configuration.
			maxHeaderBytes *= hardHeaderLimitFactor
		}
		s := newServer(h, int(maxHeaderBytes), p.Config.BodyTimeout)
		s.IdleTimeout = gatewayIdleTimeout
		if address != "" {
			listeners = append(listeners, listener{name: name, address: address, server: s})
		}
		return s
	}
	operator := mux.NewRouter()
	operator.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { p.Metrics.WriteText(w) })
	c.operator.server().Mount(operator)
	messages := room.New(int64(maxMessagesShare * float64(p.Config.Gateway.MemoryMB<<20)))
	addServer("control", p.Config.Control, room.Handler(messages, peer.MaxRaftBytes, gatewayRouter(c, p.Registry)))
	if p.Config.IsReplica() {
		addServer("raft", nextPort(p.Config.Control), raftRouter(c))
	}
	addServer("operator", p.Config.Operator, requireToken(p.Tokens.operator, operator))
	addServer("registry", p.Config.Gateway.Registry,
		room.Handler(messages, peer.MaxRaftBytes, p.Adapter.Registry(p.Registry)))
	callers := newCallerServer(p.Config, addServer(callerListener, p.Config.Caller, p.Gate), p.Drain, p.Clock, log)
	ready := addServer("ready", p.Config.Gateway.Ready, p.Adapter.Ready(p.Gate.Ready))
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, ln := range listeners {
				l, err := net.Listen("tcp", ln.address)
				if err != nil {
					return errors.Wrapf(err, "listen on %s address", ln.name)
				}
				log.Info("listening", "part", ln.name, "address", ln.address)
				if ln.name == "control" || ln.name == "raft" {
					l = countedListener{Listener: l, metrics: p.Metrics}
				}
				if ln.server == callers.server {
					go callers.serve(l)
					continue
				}
				go func() { _ = ln.server.Serve(l) }()
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if p.Config.Caller != "" {
				callers.stop(ctx)
			}
			for _, ln := range listeners {
				if ln.server != callers.server && ln.server != ready {
					_ = ln.server.Close()
				}
			}
			return errs.Wrap(ready.Close(), "close readiness listener")
		},
	})
}

// gatewayIdleTimeout limits how long a connection may be idle. It is longer than callers of the platform keep idle
// connections for reuse.
const gatewayIdleTimeout = 30 * time.Second

// startGate starts the lease and table renewal of an entry host and the periodic cleanup of its connection pool and gate.
func startGate(
	lc fx.Lifecycle, cfg config.Config, r *renewer, pool *pipe.Pool, g *gate.Gate, crashes *gate.CrashGuard,
) {
	if cfg.Caller == "" {
		return
	}
	startRenewer(lc, r)
	runInBackground(lc, crashes.Run)
	runInBackground(lc, func(ctx context.Context) {
		clock.Every(ctx, sweepInterval, func(context.Context) {
			pool.SetMaxIdle(g.IdlePerUpstream(maxIdlePerUpstream))
			pool.Sweep()
			g.Sweep()
		})
	})
}
