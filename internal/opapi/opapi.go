// Package opapi serves the operator API: commands that plan and confirm changes, and queries.
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

// Paths of the operator API.
const (
	PathPlan    = "/operator/v1/plan"
	PathConfirm = "/operator/v1/confirm"
	PathStatus  = "/operator/v1/status"
	PathExplain = "/operator/v1/explain"
	// PathLocal returns the settings revision and table version in force on the daemon that receives the request.
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
	// Propose commits a command on the leader, or returns a typed error whose outcome states whether it may have run.
	Propose func(ctx context.Context, c state.Command) (state.Result, error)
	// Facts returns the measurements of this daemon that plans are based on.
	Facts func() intent.PlanInputs
	// Fleet queries the leader for its view of the fleet.
	Fleet func(ctx context.Context) (Fleet, error)
	// Replicas queries every replica listed in the settings for its status.
	Replicas func(ctx context.Context) []ReplicaStatus
	// Decisions queries the daemons for the decisions that match q.
	Decisions func(ctx context.Context, q audit.Query) Decisions
}

// Server handles operator requests. It is safe for concurrent use.
type Server struct {
	cfg Config
}

// New returns a server; Mount adds its handlers to a router.
func New(cfg Config) *Server {
	return &Server{cfg: cfg}
}

// Mount adds the operator paths to a router.
func (s *Server) Mount(m *mux.Router) {
	m.HandleFunc(PathPlan, commandHandler(s.plan)).Methods(http.MethodPost)
	m.HandleFunc(PathConfirm, commandHandler(s.confirm)).Methods(http.MethodPost)
	m.HandleFunc(PathStatus, queryHandler(s.status)).Methods(http.MethodGet)
	m.HandleFunc(PathExplain, queryHandler(s.explain)).Methods(http.MethodGet)
	m.HandleFunc(PathLocal, queryHandler(s.local)).Methods(http.MethodGet)
}

func queryHandler[R any](fn func(r *http.Request) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		result, err := fn(r)
		if err != nil {
			peer.WriteError(w, err)
			return
		}
		peer.WriteJSON(w, http.StatusOK, result)
	}
}
