package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"baobabreach/internal/audit"
	"baobabreach/internal/config"
	"baobabreach/internal/drain"
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

type listenerParams struct {
	fx.In

	Config  config.Config
	Drain   *drain.Drain
	Entry   *entry.Server
	Replica *localReplica
	Leader  *peer.LeaderClient
	View    *route.View
	Metrics *metric.Registry
	Clock   Clock
	Tokens  tokens
	Clients clients
	Audit   *audit.Ring
	Slots   *slots.Slots
	Log     *slog.Logger
}

// servers holds the HTTP servers of the caller, control and operator addresses.
type servers struct {
	callers  *callerServer
	control  *http.Server
	operator *http.Server
}

func newServers(p listenerParams) servers {
	limit := p.Config.MaxHeaderBytes
	serve := func(h http.Handler) *http.Server {
		return newServer(h, int(hardHeaderLimitFactor*limit), p.Config.BodyTimeout)
	}
	return servers{
		// The entry server checks the headers of callers itself.
		callers:  newCallerServer(p.Config, serve(callerRouter(p)), p.Drain, p.Clock, logs.ForComponent(p.Log, "stop")),
		control:  serve(limitHeaders(controlRouter(p), limit)),
		operator: serve(limitHeaders(operatorRouter(p), limit)),
	}
}

// startListeners opens the control, operator and caller addresses.
func startListeners(lc fx.Lifecycle, cfg config.Config, s servers, m *metric.Registry, root *slog.Logger) {
	log := logs.ForComponent(root, "listen")
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, ln := range []struct {
				name, address string
				server        *http.Server
			}{
				{"control", cfg.Control, s.control},
				{"operator", cfg.Operator, s.operator},
				{"caller", cfg.Caller, s.callers.server},
			} {
				l, err := net.Listen("tcp", ln.address)
				if err != nil {
					return errors.Wrapf(err, "listen on %s address", ln.name)
				}
				if ln.server == s.control {
					l = countedListener{Listener: l, metrics: m}
				}
				log.Info("listening", "part", ln.name, "address", ln.address)
				if ln.server == s.callers.server {
					go s.callers.serve(l)
					continue
				}
				go func() { _ = ln.server.Serve(l) }()
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			// The control address is closed at once: its long polls would delay a graceful shutdown needlessly.
			return errs.Wrap(firstError(s.operator.Shutdown(ctx), s.control.Close()), "close listeners")
		},
	})
}

// startDrain registers the graceful shutdown. It must be invoked last, so that its stop hook runs before the lease
// renewal and the replica stop: requests in flight need them until they finish.
func startDrain(lc fx.Lifecycle, s servers) {
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		s.callers.stop(ctx)
		return nil
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

// hardHeaderLimitFactor is the limit of net/http as a multiple of the configured one. net/http responds to headers
// beyond its limit with plain text; between the two limits the daemon responds with a typed error.
const hardHeaderLimitFactor = 4

// headerLineOverhead is the size of a header line without its name and value.
const headerLineOverhead = int64(len(": \r\n"))

// limitHeaders rejects requests whose request line and headers together exceed the limit, in bytes.
func limitHeaders(next http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int64(len(r.Method)+len(r.RequestURI)+len(r.Proto)+len(r.Host)) + headerLineOverhead
		for k, vs := range r.Header {
			for _, v := range vs {
				n += int64(len(k)+len(v)) + headerLineOverhead
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
	m.NotFoundHandler = notFoundHandler()
	return m
}

// health is the body of the health and readiness paths.
type health struct {
	Status string `json:"status"`
}

func writeReadiness(w http.ResponseWriter, p listenerParams) {
	t, _ := p.View.Table()
	switch {
	case p.Drain.Stopping():
		peer.WriteError(w, proto.NotRun(proto.CodeStopping, http.StatusServiceUnavailable, "the host is stopping"))
	case len(t.Services) == 0:
		peer.WriteError(w, proto.NotRun(proto.CodeNoLease, http.StatusServiceUnavailable, "no routing table yet"))
	default:
		peer.WriteJSON(w, http.StatusOK, health{Status: "ready"})
	}
}

func controlRouter(p listenerParams) http.Handler {
	return controlAPI{
		node: p.Replica.node.Load, leader: p.Leader, clock: p.Clock, token: p.Tokens.control, slots: p.Slots,
		operator: newOperatorAPI(p),
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
	newOperatorAPI(p).server().Mount(m)
	m.NotFoundHandler = notFoundHandler()
	m.MethodNotAllowedHandler = notFoundHandler()
	return requireToken(p.Tokens.operator, m)
}
