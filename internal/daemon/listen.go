package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"baobabreach/internal/audit"
	"baobabreach/internal/config"
	"baobabreach/internal/entry"
	"baobabreach/internal/errs"
	"baobabreach/internal/logs"
	"baobabreach/internal/metric"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/internal/slots"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
)

// readHeaderTimeout ends connections that send their headers too slowly.
const readHeaderTimeout = 5 * time.Second

// stopper turns readiness off ahead of a stop.
type stopper struct {
	stopping atomic.Bool
}

func newStopper() *stopper { return &stopper{} }

type listenerParams struct {
	fx.In

	Config  config.Config
	Stopper *stopper
	Entry   *entry.Server
	Replica *replica
	Leader  *peer.LeaderClient
	View    *route.View
	Metrics *metric.Registry
	Clock   Clock
	Tokens  tokens
	Clients clients
	Audit   *audit.Ring
	Slots   *slots.Slots
}

// servers are the HTTP servers of the three addresses.
type servers struct {
	callers  *http.Server
	control  *http.Server
	operator *http.Server
}

func newServers(p listenerParams) servers {
	limit := p.Config.MaxHeaderBytes
	return servers{
		// The entry server checks the headers of callers itself.
		callers:  newServer(callerRouter(p), limit),
		control:  newServer(limitHeaders(controlRouter(p), limit), limit),
		operator: newServer(limitHeaders(operatorRouter(p), limit), limit),
	}
}

// startListeners opens the three addresses.
func startListeners(lc fx.Lifecycle, cfg config.Config, s servers, m *metric.Registry, root *slog.Logger) {
	log := logs.ForComponent(root, "listen")
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, x := range []struct {
				name, address string
				server        *http.Server
			}{
				{"control", cfg.Control, s.control},
				{"operator", cfg.Operator, s.operator},
				{"caller", cfg.Caller, s.callers},
			} {
				l, err := net.Listen("tcp", x.address)
				if err != nil {
					return errors.Wrapf(err, "listen for %s", x.name)
				}
				if x.server == s.control {
					l = countedListener{Listener: l, metrics: m}
				}
				log.Info("listening", "part", x.name, "address", x.address)
				go func() { _ = x.server.Serve(l) }()
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			// The long polls of the control address would delay a graceful stop for nothing.
			return errs.Wrap(firstError(s.operator.Shutdown(ctx), s.control.Close()), "close listeners")
		},
	})
}

// startDrain registers the graceful stop. It is invoked last, so that it runs before leases and replica stop:
// requests in flight still need them while they end.
func startDrain(lc fx.Lifecycle, cfg config.Config, s servers, st *stopper, root *slog.Logger) {
	log := logs.ForComponent(root, "stop")
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		st.stopping.Store(true)
		log.Info("readiness is off", "balancer_delay", cfg.BalancerDelay)
		select {
		case <-time.After(cfg.BalancerDelay):
		case <-ctx.Done():
		}
		ctx, cancel := context.WithTimeout(ctx, cfg.StopTimeout)
		defer cancel()
		return errs.Wrap(s.callers.Shutdown(ctx), "finish requests in flight")
	}})
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func newServer(h http.Handler, maxHeaderBytes int64) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: int(hardHeaderFactor * maxHeaderBytes),
	}
}

// hardHeaderFactor is how far net/http reads beyond the limit. It answers what exceeds its own limit with plain text,
// so that up to there callers of the daemon get a typed error.
const hardHeaderFactor = 4

// headerLineBytes is what a header line takes beyond its name and value.
const headerLineBytes = int64(len(": \r\n"))

// limitHeaders refuses requests whose request line and headers are larger than the limit.
func limitHeaders(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int64(len(r.Method)+len(r.RequestURI)+len(r.Proto)+len(r.Host)) + headerLineBytes
		for k, vs := range r.Header {
			for _, v := range vs {
				n += int64(len(k)+len(v)) + headerLineBytes
			}
		}
		if n > limit {
			peer.WriteError(w, proto.NotRun(proto.CodeTooLarge, http.StatusRequestHeaderFieldsTooLarge,
				"headers are larger than %d bytes", limit))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func callerRouter(p listenerParams) http.Handler {
	m := mux.NewRouter()
	m.SkipClean(true)
	m.Handle("/s/{service}", p.Entry)
	m.Handle("/s/{service}/{path:.*}", p.Entry)
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		peer.WriteJSON(w, http.StatusOK, health{Status: "ok"})
	})
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeReadiness(w, p)
	})
	m.NotFoundHandler = notFound()
	return m
}

// health is the body of the health and readiness paths.
type health struct {
	Status string `json:"status"`
}

func writeReadiness(w http.ResponseWriter, p listenerParams) {
	t, _ := p.View.Table()
	switch {
	case p.Stopper.stopping.Load():
		peer.WriteError(w, proto.NotRun(proto.CodeStopping, http.StatusServiceUnavailable, "the host is stopping"))
	case len(t.Services) == 0:
		peer.WriteError(w, proto.NotRun(proto.CodeNoLease, http.StatusServiceUnavailable, "no routing table yet"))
	default:
		peer.WriteJSON(w, http.StatusOK, health{Status: "ready"})
	}
}

func controlRouter(p listenerParams) http.Handler {
	return control{
		node: p.Replica.node.Load, leader: p.Leader, clock: p.Clock, token: p.Tokens.control, slots: p.Slots,
		operate: newOperate(p),
		info: func() (replicaInfo, bool) {
			if i := p.Replica.info.Load(); i != nil {
				return *i, true
			}
			return replicaInfo{}, false
		},
	}.router()
}

func operatorRouter(p listenerParams) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		peer.WriteJSON(w, http.StatusOK, p.Metrics.All())
	}).Methods(http.MethodGet)
	newOperate(p).server().Mount(m)
	m.NotFoundHandler = notFound()
	m.MethodNotAllowedHandler = notFound()
	return requireToken(p.Tokens.operator, m)
}
