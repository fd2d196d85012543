package opapi

import (
	"context"
	"net/http"

	"baobabreach/internal/intent"
	"baobabreach/internal/peer"
	"baobabreach/internal/state"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// Confirmation asks to execute a plan.
type Confirmation struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
}

// command decodes a command, runs it and writes its plan, confirmation or refusal.
func command[Q any](fn func(ctx context.Context, q Q) (intent.Result, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, err := peer.Decode[Q](w, r, MaxBodyBytes)
		if err != nil {
			peer.WriteError(w, err)
			return
		}
		a, err := fn(r.Context(), q)
		switch {
		case err != nil:
			peer.WriteError(w, err)
		case a.Refusal != nil:
			w.Header().Set(proto.HeaderOutcome, string(a.Refusal.Outcome))
			peer.WriteJSON(w, a.Refusal.Status, a.Refusal)
		case a.Plan != nil:
			peer.WriteJSON(w, http.StatusOK, a.Plan)
		default:
			peer.WriteJSON(w, http.StatusOK, a.Confirmation)
		}
	}
}

func (s *Server) plan(ctx context.Context, in intent.Intent) (intent.Result, error) {
	// The form is checked before the log, so that malformed intents take no place among the kept results.
	if err := intent.CheckForm(in); err != nil {
		return intent.Result{}, err
	}
	return s.propose(ctx, state.Command{Plan: &state.PlanIntent{
		Intent: in, Inputs: s.cfg.Facts(), NowMs: s.cfg.Now().UnixMilli(),
	}})
}

func (s *Server) confirm(ctx context.Context, c Confirmation) (intent.Result, error) {
	if err := intent.CheckID(c.ID); err != nil {
		return intent.Result{}, err
	}
	return s.propose(ctx, state.Command{Confirm: &state.ConfirmIntent{ID: c.ID, Operator: c.Operator}})
}

func (s *Server) propose(ctx context.Context, c state.Command) (intent.Result, error) {
	r, err := s.cfg.Propose(ctx, c)
	if err != nil {
		return intent.Result{}, errors.Wrap(err, "propose")
	}
	if r.Intent == nil {
		return intent.Result{}, errors.New("the leader returned no result")
	}
	return *r.Intent, nil
}
