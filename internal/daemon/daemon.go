// Package daemon wires the parts of a daemon with fx.
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
	"time"

	"baobabreach/internal/config"
	"baobabreach/internal/entry"
	"baobabreach/internal/errs"
	"baobabreach/internal/limit"
	"baobabreach/internal/logs"
	"baobabreach/internal/metric"
	"baobabreach/internal/node"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/raft"
	"baobabreach/internal/retry"
	"baobabreach/internal/route"
	"baobabreach/internal/state"
	"baobabreach/internal/store"

	"github.com/go-faster/errors"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Clock is the monotonic time since the start of the process.
type Clock func() time.Duration

// tokens are the shared secrets of the operator and control addresses; empty if none is set.
type tokens struct {
	operator string
	control  string
}

// replica is the replica of this host, if it keeps one.
type replica struct {
	node atomic.Pointer[node.Node]
	info atomic.Pointer[replicaInfo]
}

// New returns the application of a daemon with checked settings.
func New(cfg config.Config) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(cfg.BalancerDelay+cfg.StopTimeout+stopMargin),
		fx.Supply(cfg),
		fx.Provide(
			newLogger, newClock, newTokens, newClients, newLeaderClient, metric.New, route.NewView,
			newReplica, newRenewer, newSlots, limit.NewHost, retry.NewPolicy, newEntry, newStopper, newServers,
		),
		fx.Invoke(startListeners, startReplica, startRenewer, startSlots, startDrain),
	)
}

// stopMargin is the time that closing the listeners takes beyond the configured waits.
const stopMargin = 5 * time.Second

func newLogger(cfg config.Config) (*slog.Logger, error) {
	l, err := logs.New(logs.Config{Level: cfg.LogLevel, Format: cfg.LogFormat, Output: os.Stderr})
	if err != nil {
		return nil, errors.Wrap(err, "make logger")
	}
	return l.With("host", cfg.Host), nil
}

func newClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func newTokens(cfg config.Config) (tokens, error) {
	operator, err := readToken(cfg.OperatorTokenFile)
	if err != nil {
		return tokens{}, errors.Wrap(err, "operator token")
	}
	c, err := readToken(cfg.ControlTokenFile)
	return tokens{operator: operator, control: c}, errs.Wrap(err, "control token")
}

// readToken reads a token file that only its owner may read. An empty name means no token.
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
		return "", errors.Errorf("%s: expected a token, found nothing", name)
	}
	return t, nil
}

// clients are the HTTP clients towards daemons and upstreams.
type clients struct {
	control  *http.Client
	upstream *http.Client
}

// Connections to one peer or upstream.
const (
	maxIdlePerHost        = 16
	maxUpstreamConns      = 10
	idleConnectionTimeout = 30 * time.Second
	dialTimeout           = 500 * time.Millisecond
)

func newClients() clients {
	d := &net.Dialer{Timeout: dialTimeout}
	return clients{
		control: &http.Client{Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnectionTimeout,
		}},
		upstream: &http.Client{
			Transport: &http.Transport{
				DialContext: d.DialContext, MaxIdleConnsPerHost: maxUpstreamConns, MaxConnsPerHost: maxUpstreamConns,
				IdleConnTimeout: idleConnectionTimeout, DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func newLeaderClient(cfg config.Config, c clients, t tokens) *peer.LeaderClient {
	var as []string
	for _, r := range cfg.Replicas {
		as = append(as, r.Address)
	}
	return peer.NewLeaderClient(c.control, t.control, as)
}

func newReplica() *replica { return &replica{} }

func newRenewer(
	cfg config.Config, v *route.View, l *peer.LeaderClient, clock Clock, lim *limit.Host, log *slog.Logger,
) *renewer {
	return &renewer{
		limits: lim,
		self:   route.Daemon{Host: cfg.Host, DataCentre: cfg.DataCentre, Control: cfg.Control, Caller: cfg.Caller},
		view:   v, leader: l, clock: clock, log: logs.Part(log, "lease"), changed: make(chan struct{}),
	}
}

// claimTryTimeout bounds one try to commit a claim; the whole time is bounded by the request's deadline.
const claimTryTimeout = time.Second

func newEntry(
	cfg config.Config, v *route.View, l *peer.LeaderClient, c clients, m *metric.Registry, clock Clock, s *slots,
	lim *limit.Host, rp *retry.Policy, log *slog.Logger,
) *entry.Server {
	ec := entry.Config{
		Host: cfg.Host, DataCentre: cfg.DataCentre, View: v, Clock: clock, Client: c.upstream, Metrics: m,
		Log: logs.Part(log, "entry"), MaxBodyBytes: cfg.MaxBodyBytes, MaxAnswerBytes: cfg.MaxAnswerBytes,
		Propose: func(ctx context.Context, cmd state.Command) (state.Result, error) {
			rs, err := peer.ToLeaderUntil[[]state.Command, []state.Result](ctx, l, peer.PathPropose, claimTryTimeout,
				[]state.Command{cmd})
			if err != nil {
				return state.Result{}, err
			}
			if len(rs) != 1 {
				return state.Result{}, errors.Errorf("expected one result, got %d", len(rs))
			}
			return rs[0], nil
		},
		Slots: s.acquire, Limit: lim.Take, Retry: rp, MaxHeaderBytes: cfg.MaxHeaderBytes,
	}
	if cfg.Policy == policyRelay {
		ec.Relay = s.relay
	}
	s.server = entry.New(ec)
	return s.server
}

func startRenewer(lc fx.Lifecycle, r *renewer) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go r.run(ctx)
			go r.watch(ctx)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

func startReplica(
	lc fx.Lifecycle, sd fx.Shutdowner, cfg config.Config, r *replica, c clients, t tokens, clock Clock, log *slog.Logger,
) error {
	if !cfg.IsReplica() {
		return nil
	}
	st, loaded, err := store.Open(cfg.DataDir)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	log = logs.Part(log, "replica")
	self := raft.Member{ID: loaded.Identity.ID, Host: cfg.Host, Address: cfg.Control}
	r.info.Store(&replicaInfo{Member: self, Members: loaded.Identity.Members})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	run := func() error {
		defer close(done)
		f := former{self: self, cfg: cfg, client: c.control, token: t.control, log: log}
		ms, err := members(ctx, f, st, loaded)
		if err != nil {
			return err
		}
		r.info.Store(&replicaInfo{Member: self, Members: &ms})
		n, err := node.New(node.Config{
			Self: self, Store: st, Loaded: loaded, Members: ms, Random: rand.Int64N, Clock: clock,
			Send: newSender(ctx, c.control, t.control).send, Log: log,
			Planner: owner.Config{MaxMoves: cfg.MaxMoves}, InitialSet: cfg.Services,
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
			return errs.Wrap(st.Close(), "close data folder")
		},
	})
	return nil
}
