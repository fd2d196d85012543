// Package daemon assembles the components of a daemon with fx.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"baobabreach/internal/audit"
	"baobabreach/internal/clock"
	"baobabreach/internal/config"
	"baobabreach/internal/drain"
	"baobabreach/internal/entry"
	"baobabreach/internal/errs"
	"baobabreach/internal/limit"
	"baobabreach/internal/logs"
	"baobabreach/internal/metric"
	"baobabreach/internal/node"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/poison"
	"baobabreach/internal/raft"
	"baobabreach/internal/retry"
	"baobabreach/internal/room"
	"baobabreach/internal/route"
	"baobabreach/internal/slots"
	"baobabreach/internal/state"
	"baobabreach/internal/store"
	"baobabreach/internal/strict"

	"github.com/go-faster/errors"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sys/unix"
)

// Clock returns the time since the boot of the host. Leases are measured by it.
type Clock func() time.Duration

// tokens holds the shared secrets of the operator and control addresses. An empty one disables the check.
type tokens struct {
	operator string
	control  string
}

// localReplica holds the replica of this host. Its pointers stay nil on a host that runs no replica.
type localReplica struct {
	node atomic.Pointer[node.Node]
	info atomic.Pointer[replicaInfo]
}

// DialFunc opens the connections of a daemon to other daemons and upstreams.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Settings that detect a peer that has vanished without resetting the connection.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// tcpUserTimeout closes a connection whose sent data stays unacknowledged.
	tcpUserTimeout = 3 * time.Second
)

// NetDial dials over the network. Its connections fail within a few seconds if the peer vanishes.
func NetDial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var setErr error
			err := c.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			return firstError(err, setErr)
		},
	}
	c, err := d.DialContext(ctx, network, address)
	return c, errs.Wrap(err, "dial")
}

// New returns the application of a daemon. cfg must have been validated.
func New(cfg config.Config, dial DialFunc) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(cfg.BalancerDelay+cfg.StopTimeout+stopMargin),
		fx.Supply(cfg, dial),
		fx.Provide(
			newLogger, newClock, newTokens, newClients, newLeaderClient, metric.New, route.NewView,
			newLocalReplica, newRenewer, newSlots, limit.NewHostLimiter, retry.NewPolicy, newGuard, newEntry,
			suspectsOfEntry, newDrain, newRooms, newServers, newAuditRing,
		),
		fx.Invoke(startListeners, startReplica, startRenewer, startSlots, startDrain),
	)
}

func newDrain(cfg config.Config) *drain.Drain {
	return drain.New(drain.Config{BalancerDelay: cfg.BalancerDelay, Timeout: cfg.StopTimeout})
}

// stopMargin is the time allowed for closing the listeners, beyond the configured delays.
const stopMargin = 5 * time.Second

func newLogger(cfg config.Config) (*slog.Logger, error) {
	l, err := logs.New(logs.Config{Level: cfg.LogLevel, Format: cfg.LogFormat, Output: os.Stderr})
	if err != nil {
		return nil, errors.Wrap(err, "create logger")
	}
	return l.With("host", cfg.Host), nil
}

func newClock() Clock {
	return clock.SinceBoot
}

func newTokens(cfg config.Config) (tokens, error) {
	operator, err := readToken(cfg.OperatorTokenFile)
	if err != nil {
		return tokens{}, errors.Wrap(err, "read operator token")
	}
	c, err := readToken(cfg.ControlTokenFile)
	return tokens{operator: operator, control: c}, errs.Wrap(err, "read control token")
}

// readToken returns the token in the file, which only its owner may have access to. An empty name means no token.
func readToken(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	st, err := os.Stat(name)
	if err != nil {
		return "", errors.Wrap(err, "stat token file")
	}
	if st.Mode().Perm()&0o077 != 0 {
		return "", errors.Errorf("%s: expected mode 0600, found %04o", name, st.Mode().Perm())
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrap(err, "read token file")
	}
	t := strings.TrimSpace(string(b))
	if t == "" {
		return "", errors.Errorf("%s: token file is empty", name)
	}
	return t, nil
}

// clients holds the HTTP clients for requests to daemons and upstreams.
type clients struct {
	control *http.Client
	// dispatch sends credits and relayed requests. It is separate because these may be many and large.
	dispatch *http.Client
	// upstream is for package wire, which makes it strict.
	upstream *http.Client
}

// Limits and timeouts of the connections to one peer or upstream.
const (
	maxIdlePerHost        = 16
	maxUpstreamConns      = 10
	maxDispatchConns      = 256
	idleConnectionTimeout = 30 * time.Second
	dialTimeout           = 500 * time.Millisecond
)

func newClients(cfg config.Config, dial DialFunc, m *metric.Registry) clients {
	return clients{
		control: &http.Client{Transport: strict.NewTransport(&http.Transport{
			DialContext: newCountedDial(dial, m), MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnectionTimeout,
			DisableCompression: true, MaxResponseHeaderBytes: cfg.MaxResponseHeaderBytes,
		})},
		dispatch: &http.Client{Transport: strict.NewTransport(&http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxDispatchConns, IdleConnTimeout: idleConnectionTimeout,
			DisableCompression: true, MaxResponseHeaderBytes: cfg.MaxResponseHeaderBytes,
		})},
		upstream: &http.Client{
			Transport: &http.Transport{
				DialContext: dial, MaxIdleConnsPerHost: maxUpstreamConns, MaxConnsPerHost: maxUpstreamConns,
				IdleConnTimeout: idleConnectionTimeout, DisableCompression: true, MaxResponseHeaderBytes: cfg.MaxResponseHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func newLeaderClient(cfg config.Config, c clients, t tokens) *peer.LeaderClient {
	var addresses []string
	for _, r := range cfg.Replicas {
		addresses = append(addresses, r.Address)
	}
	return peer.NewLeaderClient(c.control, t.control, addresses)
}

func newAuditRing(cfg config.Config) *audit.Ring { return audit.New(cfg.Host, audit.DefaultSize) }

func newLocalReplica() *localReplica { return &localReplica{} }

func newRenewer(
	cfg config.Config, v *route.View, l *peer.LeaderClient, now Clock, s suspects, lim *limit.HostLimiter,
	log *slog.Logger,
) *renewer {
	interval, retryPause, wait := owner.RenewInterval, renewRetryPause, time.Duration(0)
	if cfg.Gateway != nil {
		interval, retryPause, wait = gatewayRenewInterval, gatewayRenewRetryPause, gatewayRenewWait
	}
	return &renewer{
		limits: lim, interval: interval, retryPause: retryPause, longPollWait: wait,
		self: route.Daemon{Host: cfg.Host, DataCentre: cfg.DataCentre, Control: cfg.Control, Caller: cfg.Caller},
		view: v, leader: l, clock: now, log: logs.ForComponent(log, "lease"), renewNow: make(chan struct{}), suspects: s,
	}
}

// claimAttemptTimeout limits one attempt to commit a claim. The deadline of the request limits all attempts together.
const claimAttemptTimeout = time.Second

// suspects is the part of a daemon that applies the leader's list of requests that crash upstreams.
type suspects struct {
	version func() uint64
	update  func(ctx context.Context, l poison.List)
}

func suspectsOfEntry(g *entry.Guard) suspects { return suspects{version: g.Version, update: g.Update} }

func newGuard(l *peer.LeaderClient, now Clock, log *slog.Logger) *entry.Guard {
	return entry.NewGuard(entry.GuardConfig{
		Clock: now, Log: logs.ForComponent(log, "guard"),
		Report: func(ctx context.Context, r poison.Report) error {
			_, err := peer.CallLeaderWithRetry[poison.Report, struct{}](ctx, l, peer.PathCrash, reportAttemptTimeout, r)
			return err
		},
		Permit: func(ctx context.Context, req poison.PermitRequest) (bool, error) {
			resp, err := peer.CallLeaderWithRetry[poison.PermitRequest, poison.PermitResponse](
				ctx, l, peer.PathPermit, claimAttemptTimeout, req)
			return resp.Granted, err
		},
	})
}

// reportAttemptTimeout limits one attempt to report a crash. It is longer than the leader waits for the entry hosts to
// acknowledge the new list of suspects.
const reportAttemptTimeout = 2 * time.Second

func newEntry(
	cfg config.Config, v *route.View, l *peer.LeaderClient, c clients, g *entry.Guard, m *metric.Registry,
	ring *audit.Ring, now Clock, s *slots.Slots, lim *limit.HostLimiter, rp *retry.Policy, d *drain.Drain,
	rooms rooms, log *slog.Logger,
) *entry.Server {
	ec := entry.Config{
		Host: cfg.Host, DataCentre: cfg.DataCentre, View: v, Clock: now, Guard: g, Client: c.upstream,
		Metrics: m, Audit: ring, Drain: d, Requests: rooms.requests, Responses: rooms.responses,
		Log: logs.ForComponent(log, "entry"), MaxBodyBytes: cfg.MaxBodyBytes, MaxResponseBytes: cfg.MaxResponseBytes,
		Propose: func(ctx context.Context, cmd state.Command) (state.Result, error) {
			results, err := peer.CallLeaderWithRetry[[]state.Command, []state.Result](ctx, l, peer.PathPropose, claimAttemptTimeout,
				[]state.Command{cmd})
			if err != nil {
				return state.Result{}, err
			}
			if len(results) != 1 {
				return state.Result{}, errors.Errorf("expected one proposal result, got %d", len(results))
			}
			return results[0], nil
		},
		AcquireSlot: s.Acquire, Limit: lim.Allow, Retry: rp, MaxHeaderBytes: cfg.MaxHeaderBytes,
	}
	if s.Relays() {
		ec.Relay = s.Relay
	}
	server := entry.New(ec)
	s.SetServer(server)
	return server
}

// rooms is the memory for request bodies and for responses.
type rooms struct{ requests, responses *room.Room }

func newRooms(cfg config.Config) rooms {
	limit := cfg.MaxBufferedBytes
	if cfg.Gateway != nil {
		limit = int64(maxBufferedShare * float64(cfg.Gateway.MemoryMB<<20))
	}
	return rooms{requests: room.New(limit), responses: room.New(limit)}
}

func newSlots(cfg config.Config, v *route.View, now Clock, t tokens, c clients, rooms rooms) *slots.Slots {
	return slots.New(slots.Config{
		Host: cfg.Host, DataCentre: cfg.DataCentre, Policy: cfg.Policy, View: v, Clock: now, Client: c.dispatch,
		Token: t.control, MaxResponseBytes: cfg.MaxResponseBytes, Requests: rooms.requests, Responses: rooms.responses,
	})
}

// runInBackground starts run in a goroutine when the daemon starts and cancels its context when the daemon stops.
func runInBackground(lc fx.Lifecycle, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go run(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

func startSlots(lc fx.Lifecycle, s *slots.Slots) { runInBackground(lc, s.Run) }

func startRenewer(lc fx.Lifecycle, r *renewer) {
	runInBackground(lc, r.run)
	if r.longPollWait == 0 {
		runInBackground(lc, r.watch)
	}
}

func startReplica(
	lc fx.Lifecycle, sd fx.Shutdowner, cfg config.Config, r *localReplica, c clients, t tokens, ring *audit.Ring, now Clock,
	log *slog.Logger,
) error {
	if !cfg.IsReplica() {
		return nil
	}
	st, loaded, err := store.Open(cfg.DataDir, cfg.Gateway != nil && cfg.Gateway.FirstStart)
	if err != nil {
		return errors.Wrap(err, "open data directory")
	}
	log = logs.ForComponent(log, "replica")
	self := raft.Member{ID: loaded.Identity.ID, Host: cfg.Host, Address: cfg.Control}
	planner, voters, timing, publishInterval := owner.Config{MaxMoves: cfg.MaxMoves}, 0, node.DefaultTiming, time.Duration(0)
	snapshotEntries, publishPerHost := uint64(0), time.Duration(0)
	firstStart := true
	raftAddress := func(control string) string { return control }
	if g := cfg.Gateway; g != nil {
		// A hosting platform replaces hosts under arbitrary names, so a replica is identified by its advertised address.
		// A replica that is restarted before the group has formed is no longer told of the first start by its settings.
		firstStart = g.FirstStart || loaded.Identity.FirstStart
		self.Host, self.Address, voters = cfg.Advertise, cfg.Advertise, g.Voters()
		self.DataCentre = cfg.DataCentre
		cfg.Replicas = seedReplicas(cfg)
		raftAddress = nextPort
		planner, timing, publishInterval = gatewayPlannerConfig(cfg), gatewayTiming, gatewayPublishInterval
		snapshotEntries, publishPerHost = gatewaySnapshotEntries, gatewayPublishPerHost
	}
	r.info.Store(&replicaInfo{Member: self, Members: loaded.Identity.Members, FirstStart: firstStart})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	run := func() error {
		defer close(done)
		bs := bootstrapper{
			self: self, firstStart: firstStart, cfg: cfg, client: c.control, token: t.control, log: log,
		}
		members, err := loadOrBootstrapMembers(ctx, bs, st, loaded)
		if err != nil {
			return err
		}
		r.info.Store(&replicaInfo{Member: self, Members: &members, FirstStart: firstStart})
		n, err := node.New(node.Config{
			Self: self, Store: st, Loaded: loaded, Members: members, Replicas: cfg.Replicas, Random: rand.Int64N, Clock: now,
			WallMs: func() int64 { return time.Now().UnixMilli() },
			Send:   newRaftSender(ctx, c.control, t.control, raftAddress).send, Log: log,
			Planner: planner, Voters: voters, Timing: timing, PublishInterval: publishInterval, PublishPerHost: publishPerHost,
			SnapshotEntries: snapshotEntries, InitialServices: cfg.Services, InitialLimits: cfg.Limits,
			Audit: ring,
		})
		if err != nil {
			return errors.Wrap(err, "start replica")
		}
		r.node.Store(n)
		log.Info("replica started", "id", self.ID)
		return n.Run(ctx)
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := run(); err != nil && ctx.Err() == nil {
					log.Error("replica stopped", "error", err)
					_ = sd.Shutdown(fx.ExitCode(1))
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			return errs.Wrap(st.Close(), "close data directory")
		},
	})
	return nil
}
