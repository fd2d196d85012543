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

// OperatorName is the operator name in the plans and confirmations of the fleet itself.
const OperatorName = "fleet"

// Host returns the host with the given name, or an error if there is none.
func (f *Fleet) Host(name string) (Host, error) {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h, nil
		}
	}
	return Host{}, errors.Errorf("no host is named %s", name)
}

// NewIntentID returns a random UUIDv7 with the current time, for use as an intent ID.
func NewIntentID() string {
	var b [10]byte
	_, _ = rand.Read(b[:])
	return claim.NewID(time.Now().UnixMilli(), b[:])
}

// Plan plans a change through a host and returns the intent ID, which Confirm takes.
func (f *Fleet) Plan(ctx context.Context, host string, in intent.Intent) (string, error) {
	h, err := f.Host(host)
	if err != nil {
		return "", err
	}
	in.ID, in.Operator = NewIntentID(), OperatorName
	_, err = peer.Call[intent.Intent, intent.Plan](ctx, f.client, "http://"+h.OperatorAddress+opapi.PathPlan,
		f.cfg.OperatorToken, in)
	return in.ID, errs.Wrap(err, "plan change through "+host)
}

// Confirm executes the plan with the given intent ID through a host.
func (f *Fleet) Confirm(ctx context.Context, host, id string) (intent.Confirmation, error) {
	h, err := f.Host(host)
	if err != nil {
		return intent.Confirmation{}, err
	}
	c, err := peer.Call[opapi.ConfirmRequest, intent.Confirmation](ctx, f.client, "http://"+h.OperatorAddress+opapi.PathConfirm,
		f.cfg.OperatorToken, opapi.ConfirmRequest{ID: id, Operator: OperatorName})
	return c, errs.Wrap(err, "confirm change through "+host)
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

// Local returns the settings revision and table version in force on a host.
func (f *Fleet) Local(ctx context.Context, host string) (opapi.LocalStatus, error) {
	return queryOperator[opapi.LocalStatus](ctx, f, host, opapi.PathLocal)
}

// Status returns the fleet status as reported by a host.
func (f *Fleet) Status(ctx context.Context, host string) (opapi.Status, error) {
	return queryOperator[opapi.Status](ctx, f, host, opapi.PathStatus)
}

// CheckReady returns an error unless the host reports to load balancers that it is ready.
func (f *Fleet) CheckReady(ctx context.Context, host string) error {
	h, err := f.Host(host)
	if err != nil {
		return err
	}
	if !f.Running(host) {
		return errors.Errorf("%s is not running", host)
	}
	return f.checkHostReady(ctx, h)
}

// Wipe empties the data directory of a host that is not running.
func (f *Fleet) Wipe(host string) error {
	if f.Running(host) {
		return errors.Errorf("%s is still running", host)
	}
	if err := os.RemoveAll(f.dataDir(host)); err != nil {
		return errors.Wrap(err, "remove data directory")
	}
	return errs.Wrap(os.Mkdir(f.dataDir(host), 0o700), "create data directory")
}

func queryOperator[R any](ctx context.Context, f *Fleet, host, path string) (R, error) {
	var result R
	h, err := f.Host(host)
	if err != nil {
		return result, err
	}
	b, status, err := f.getWithToken(ctx, h.OperatorAddress, path, f.cfg.OperatorToken)
	if err != nil {
		return result, err
	}
	if status != http.StatusOK {
		return result, errors.Errorf("%s responded with status %d: %s", host, status, b)
	}
	return result, errs.Wrap(json.Unmarshal(b, &result), "decode response of "+host)
}
