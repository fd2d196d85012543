// Package opapi serves the operator address: commands that plan and confirm changes, and queries.
package opapi

import (
	"context"
	"net/http"
	"time"

	"baobabreach/internal/audit"
	"baobabreach/internal/intent"
	"baobabreach/internal/peer"
	"baobabreach/internal/route"
	"baobabreach/internal/state"

	"github.com/gorilla/mux"
)

// Paths of the operator address.
const (
	PathPlan    = "/operator/v1/plan"
	PathConfirm = "/operator/v1/confirm"
	PathStatus  = "/operator/v1/status"
	PathExplain = "/operator/v1/explain"
	// PathLocal tells which settings are in force on the daemon itself.
	PathLocal = "/operator/v1/local"
)

// MaxBodyBytes bounds the body of a command. The largest valid intent is below 4 KiB.
const MaxBodyBytes = 16 << 10

// Config configures a Server.
type Config struct {
	Host string
	View *route.View
	// Now is the wall clock.
	Now func() time.Time
	// Propose commits a command on the leader, or returns a typed error that tells whether it may have run.
	Propose func(ctx context.Context, c state.Command) (state.Result, error)
	// Facts returns what this daemon measures for plans.
	Facts func() intent.PlanInputs
	// Fleet asks the leader for its view.
	Fleet func(ctx context.Context) (Fleet, error)
	// Replicas asks every replica of the settings for its status.
	Replicas func(ctx context.Context) []ReplicaStatus
	// Decisions asks the daemons for their decisions.
	Decisions func(ctx context.Context, q audit.Query) Decisions
}

// Server serves operators. It is safe for concurrent use.
type Server struct {
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Mount adds the operator paths to a router.
func (s *Server) Mount(m *mux.Router) {
	m.HandleFunc(PathPlan, command(s.plan)).Methods(http.MethodPost)
	m.HandleFunc(PathConfirm, command(s.confirm)).Methods(http.MethodPost)
	m.HandleFunc(PathStatus, query(s.status)).Methods(http.MethodGet)
	m.HandleFunc(PathExplain, query(s.explain)).Methods(http.MethodGet)
	m.HandleFunc(PathLocal, query(s.local)).Methods(http.MethodGet)
}

func query[R any](fn func(r *http.Request) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, err := fn(r)
		if err != nil {
			peer.WriteError(w, err)
			return
		}
		peer.WriteJSON(w, http.StatusOK, a)
	}
}
