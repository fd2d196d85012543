package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"baobabreach/internal/claim"
	"baobabreach/internal/errs"
	"baobabreach/internal/intent"
	"baobabreach/internal/opapi"
	"baobabreach/internal/peer"

	"github.com/go-faster/errors"
)

// Operator is the name under which the fleet itself plans and confirms.
const Operator = "fleet"

// Host returns the daemon with the name.
func (f *Fleet) Host(name string) (Host, error) {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h, nil
		}
	}
	return Host{}, errors.Errorf("no host is named %s", name)
}

// NewIntentID returns an intent id of the present time.
func NewIntentID() string {
	var b [10]byte
	_, _ = rand.Read(b[:])
	return claim.NewID(time.Now().UnixMilli(), b[:])
}

// Plan plans a change through a host and returns its id.
func (f *Fleet) Plan(ctx context.Context, host string, in intent.Intent) (string, error) {
	h, err := f.Host(host)
	if err != nil {
		return "", err
	}
	in.ID, in.Operator = NewIntentID(), Operator
	_, err = peer.Call[intent.Intent, intent.Plan](ctx, f.client, "http://"+h.Operator+opapi.PathPlan, f.cfg.OperatorToken, in)
	return in.ID, errs.Wrap(err, "plan through "+host)
}

// Confirm confirms a plan through a host.
func (f *Fleet) Confirm(ctx context.Context, host, id string) (intent.Confirmation, error) {
	h, err := f.Host(host)
	if err != nil {
		return intent.Confirmation{}, err
	}
	c, err := peer.Call[opapi.Confirmation, intent.Confirmation](ctx, f.client, "http://"+h.Operator+opapi.PathConfirm,
		f.cfg.OperatorToken,
		opapi.Confirmation{ID: id, Operator: Operator})
	return c, errs.Wrap(err, "confirm through "+host)
}

// Change plans a change, confirms it and returns the new revision.
func (f *Fleet) Change(ctx context.Context, host string, in intent.Intent) (uint64, error) {
	id, err := f.Plan(ctx, host, in)
	if err != nil {
		return 0, err
	}
	c, err := f.Confirm(ctx, host, id)
	return c.Revision, err
}

// Local returns what is in force on a host.
func (f *Fleet) Local(ctx context.Context, host string) (opapi.LocalStatus, error) {
	return operatorQuery[opapi.LocalStatus](ctx, f, host, opapi.PathLocal)
}

// Status returns the status as a host answers it.
func (f *Fleet) Status(ctx context.Context, host string) (opapi.Status, error) {
	return operatorQuery[opapi.Status](ctx, f, host, opapi.PathStatus)
}

// Ready returns an error unless the host tells load balancers that it is ready.
func (f *Fleet) Ready(ctx context.Context, host string) error {
	h, err := f.Host(host)
	if err != nil {
		return err
	}
	if !f.Running(host) {
		return errors.Errorf("%s is not running", host)
	}
	return f.checkReady(ctx, h)
}

// Wipe empties the data folder of a host that is not running.
func (f *Fleet) Wipe(host string) error {
	if f.Running(host) {
		return errors.Errorf("%s is running", host)
	}
	if err := os.RemoveAll(f.dataFolder(host)); err != nil {
		return errors.Wrap(err, "remove data folder")
	}
	return errs.Wrap(os.Mkdir(f.dataFolder(host), 0o700), "make data folder")
}

func operatorQuery[R any](ctx context.Context, f *Fleet, host, path string) (R, error) {
	var a R
	h, err := f.Host(host)
	if err != nil {
		return a, err
	}
	b, status, err := f.getWith(ctx, h.Operator, path, f.cfg.OperatorToken)
	if err != nil {
		return a, err
	}
	if status != http.StatusOK {
		return a, errors.Errorf("%s answered status %d: %s", host, status, b)
	}
	return a, errs.Wrap(json.Unmarshal(b, &a), "decode answer of "+host)
}
