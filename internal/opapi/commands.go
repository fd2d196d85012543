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

// ConfirmRequest is the body of a request to execute the plan of the intent ID.
type ConfirmRequest struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
}

// commandHandler returns a handler that decodes a command, runs it and writes its plan, confirmation or refusal.
func commandHandler[Q any](fn func(ctx context.Context, q Q) (intent.Result, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, err := peer.Decode[Q](w, r, MaxBodyBytes)
		if err != nil {
			peer.WriteError(w, err)
			return
		}
		result, err := fn(r.Context(), q)
		switch {
		case err != nil:
			peer.WriteError(w, err)
		case result.Refusal != nil:
			w.Header().Set(proto.HeaderOutcome, string(result.Refusal.Outcome))
			peer.WriteJSON(w, result.Refusal.Status, result.Refusal)
		case result.Plan != nil:
			peer.WriteJSON(w, http.StatusOK, result.Plan)
		default:
			peer.WriteJSON(w, http.StatusOK, result.Confirmation)
		}
	}
}

func (s *Server) plan(ctx context.Context, in intent.Intent) (intent.Result, error) {
	// Malformed intents are rejected before they are proposed, so that they take no space among the stored results.
	if err := intent.CheckForm(in); err != nil {
		return intent.Result{}, err
	}
	return s.propose(ctx, state.Command{Plan: &state.PlanIntent{
		Intent: in, Inputs: s.cfg.Facts(), NowMs: s.cfg.Now().UnixMilli(),
	}})
}

func (s *Server) confirm(ctx context.Context, c ConfirmRequest) (intent.Result, error) {
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
