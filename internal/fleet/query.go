package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"time"

	"baobabreach/internal/errs"
	"baobabreach/internal/node"
	"baobabreach/internal/opapi"
	"baobabreach/internal/owner"
	"baobabreach/internal/peer"
	"baobabreach/internal/stub"

	"github.com/go-faster/errors"
)

const pollInterval = 50 * time.Millisecond

// Wait polls check until it returns nil. If ctx ends first, Wait returns the last error of check.
func Wait(ctx context.Context, check func(context.Context) error) error {
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "condition not met before the end of the context")
		case <-time.After(pollInterval):
		}
	}
}

// WaitReady waits until every running host is ready and every keyed range has an owner.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return Wait(ctx, func(ctx context.Context) error {
		for _, h := range f.Hosts {
			if err := f.checkHostReady(ctx, h); err != nil {
				return err
			}
		}
		return f.CheckRangesOwned(ctx)
	})
}

func (f *Fleet) checkHostReady(ctx context.Context, h Host) error {
	if !f.Running(h.Name) {
		return nil
	}
	b, status, err := f.get(ctx, h.CallerAddress, "/readyz")
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("%s is not ready: %s", h.Name, b)
	}
	return err
}

// CheckRangesOwned returns an error unless the running upstreams own every range of every keyed service.
func (f *Fleet) CheckRangesOwned(ctx context.Context) error {
	owned := map[string]int{}
	for _, u := range f.Upstreams {
		s := f.service(u.Service)
		if !s.Keyed || !f.Running(u.Name) {
			continue
		}
		st, err := f.Stats(ctx, u.Name)
		if err != nil {
			return err
		}
		owned[u.Service] += len(st.Epochs)
	}
	for _, s := range f.cfg.Services {
		if s.Keyed && s.Upstreams > 0 && owned[s.Name] < s.Ranges {
			return errors.Errorf("%d of %d ranges of %s have an owner", owned[s.Name], s.Ranges, s.Name)
		}
	}
	return nil
}

// Ownership is the owner of a range and the epoch of its assignment.
type Ownership struct {
	Upstream string
	Epoch    uint64
}

// RangeOwners returns the owner and epoch of every granted range, as reported by the running upstreams.
func (f *Fleet) RangeOwners(ctx context.Context) (map[uint64]Ownership, error) {
	out := map[uint64]Ownership{}
	for _, u := range f.Upstreams {
		if !f.service(u.Service).Keyed || !f.Running(u.Name) {
			continue
		}
		st, err := f.Stats(ctx, u.Name)
		if err != nil {
			return nil, err
		}
		for r, e := range st.Epochs {
			out[r] = Ownership{Upstream: u.Name, Epoch: e}
		}
	}
	return out, nil
}

// CheckBalanced returns an error unless every range is owned and, for each keyed service, the numbers of ranges of the
// running upstreams differ by at most one.
func (f *Fleet) CheckBalanced(ctx context.Context) error {
	fewest, most := map[string]int{}, map[string]int{}
	for _, u := range f.Upstreams {
		if !f.service(u.Service).Keyed || !f.Running(u.Name) {
			continue
		}
		st, err := f.Stats(ctx, u.Name)
		if err != nil {
			return err
		}
		n := len(st.Epochs)
		if _, ok := fewest[u.Service]; !ok {
			fewest[u.Service] = n
		}
		fewest[u.Service], most[u.Service] = min(fewest[u.Service], n), max(most[u.Service], n)
	}
	for s := range fewest {
		if most[s]-fewest[s] > 1 {
			return errors.Errorf("upstreams of %s own between %d and %d ranges", s, fewest[s], most[s])
		}
	}
	return f.CheckRangesOwned(ctx)
}

// Overview queries the leader for its view of the fleet. It returns an error if there is no leader.
func (f *Fleet) Overview(ctx context.Context) (opapi.Fleet, error) {
	name, err := f.Leader(ctx)
	if err != nil {
		return opapi.Fleet{}, err
	}
	i := slices.IndexFunc(f.Hosts, func(h Host) bool { return h.Name == name })
	return peer.Call[struct{}, opapi.Fleet](ctx, f.client, "http://"+f.Hosts[i].ControlAddress+peer.PathFleet, "", struct{}{})
}

// Replicas returns the status of every running replica by host name.
func (f *Fleet) Replicas(ctx context.Context) (map[string]node.Status, error) {
	out := map[string]node.Status{}
	for i := 0; i < len(f.Hosts); i += f.cfg.HostsPerCentre {
		h := f.Hosts[i]
		if !f.Running(h.Name) {
			continue
		}
		st, err := peer.Call[struct{}, node.Status](ctx, f.client, "http://"+h.ControlAddress+peer.PathReplicaStatus, "",
			struct{}{})
		if err != nil {
			return nil, errors.Wrapf(err, "status of replica %s", h.Name)
		}
		out[h.Name] = st
	}
	return out, nil
}

// Stats returns the statistics that a running upstream reports.
func (f *Fleet) Stats(ctx context.Context, upstream string) (stub.Stats, error) {
	var st stub.Stats
	a, err := f.upstreamAddress(upstream)
	if err != nil {
		return st, err
	}
	b, _, err := f.get(ctx, a, stub.PathStats)
	if err != nil {
		return st, err
	}
	return st, errs.Wrap(json.Unmarshal(b, &st), "decode stats of "+upstream)
}

// SetFaults replaces the injected faults of an upstream.
func (f *Fleet) SetFaults(ctx context.Context, upstream string, faults stub.Faults) error {
	a, err := f.upstreamAddress(upstream)
	if err != nil {
		return err
	}
	_, err = peer.Call[stub.Faults, stub.Faults](ctx, f.client, "http://"+a+stub.PathFault, "", faults)
	return errs.Wrap(err, "set faults of "+upstream)
}

func (f *Fleet) upstreamAddress(upstream string) (string, error) {
	for _, u := range f.Upstreams {
		if u.Name == upstream {
			return u.Address, nil
		}
	}
	return "", errors.Errorf("no upstream is named %s", upstream)
}

// Leader returns the name of the host whose replica is the leader.
func (f *Fleet) Leader(ctx context.Context) (string, error) {
	lastErr := errors.New("no replica is running")
	for i := 0; i < len(f.Hosts); i += f.cfg.HostsPerCentre {
		h := f.Hosts[i]
		if !f.Running(h.Name) {
			continue
		}
		// A watch with a version other than the current one returns immediately, and only the leader answers it.
		_, err := peer.Call[owner.Versions, owner.Versions](ctx, f.client, "http://"+h.ControlAddress+peer.PathWatch, "",
			owner.Versions{})
		if err == nil {
			return h.Name, nil
		}
		lastErr = err
	}
	return "", errors.Wrap(lastErr, "find leader")
}

// Executions reads the execution records of all upstreams, including those that have exited.
func (f *Fleet) Executions() ([]stub.Execution, error) {
	var out []stub.Execution
	for _, u := range f.Upstreams {
		b, err := os.ReadFile(f.recordFile(u.Name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "read execution records")
		}
		s := bufio.NewScanner(bytes.NewReader(b))
		for s.Scan() {
			var x stub.Execution
			if err := json.Unmarshal(s.Bytes(), &x); err != nil {
				return nil, errors.Wrapf(err, "decode execution record of %s", u.Name)
			}
			// A process started by StartDuplicate records the name that it announces.
			x.Upstream = u.Name
			out = append(out, x)
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrap(err, "read execution records")
		}
	}
	return out, nil
}

func (f *Fleet) get(ctx context.Context, address, path string) ([]byte, int, error) {
	return f.getWithToken(ctx, address, path, "")
}

// getWithToken sends the token in the Authorization header unless it is empty.
func (f *Fleet) getWithToken(ctx context.Context, address, path, token string) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, 0, errors.Wrap(err, "create request")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return b.Bytes(), resp.StatusCode, errs.Wrap(err, "read response")
}
