package peer

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// Paths served at the control address.
const (
	PathRaft        = "/control/v1/raft"
	PathJoin        = "/control/v1/join"
	PathReplica     = "/control/v1/replica"
	PathAnnounce    = "/control/v1/announce"
	PathRenew       = "/control/v1/renew"
	PathTable       = "/control/v1/table"
	PathWatch       = "/control/v1/watch"
	PathPropose     = "/control/v1/propose"
	PathCrash       = "/control/v1/crash"
	PathRuns        = "/control/v1/runs"
	PathPermit      = "/control/v1/permit"
	PathMarkLeaving = "/control/v1/depart"
	PathLeaving     = "/control/v1/leaving"
	PathChange      = "/control/v1/change"
	PathItems       = "/control/v1/items"
)

// LeaderClient sends messages to the leader and follows leadership changes. It is safe for concurrent use.
type LeaderClient struct {
	client *http.Client
	token  string

	mu sync.Mutex
	// addresses are the control addresses of the replicas; current is the index of the presumed leader.
	addresses []string
	current   int
}

// NewLeaderClient returns a client that tries the first address first.
func NewLeaderClient(client *http.Client, token string, addresses []string) *LeaderClient {
	return &LeaderClient{client: client, token: token, addresses: addresses}
}

// Leader returns the address of the presumed leader, which the next message is sent to.
func (l *LeaderClient) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[l.current]
}

// switchLeader replaces the presumed leader if it is still the failed address: by hint if that is not empty, and by
// the next address otherwise.
func (l *LeaderClient) switchLeader(failed, hint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[l.current] != failed {
		return
	}
	if hint != "" {
		l.current = slices.Index(l.addresses, hint)
		if l.current < 0 {
			l.addresses, l.current = append(slices.Clone(l.addresses), hint), len(l.addresses)
		}
		return
	}
	l.current = (l.current + 1) % len(l.addresses)
}

// SetLeader makes address the presumed leader.
func (l *LeaderClient) SetLeader(address string) { l.switchLeader(l.Leader(), address) }

// SetAddresses replaces the addresses of the replicas; addresses must not be empty. The presumed leader is kept.
func (l *LeaderClient) SetAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leader := l.addresses[l.current]
	l.addresses = slices.Clone(addresses)
	l.current = slices.Index(addresses, leader)
	if l.current < 0 {
		l.addresses, l.current = append(l.addresses, leader), len(addresses)
	}
}

// CallLeader sends message to the presumed leader once and waits at most timeout. If the address fails or does not lead,
// the next message goes to another address.
func CallLeader[Q, R any](ctx context.Context, l *LeaderClient, path string, timeout time.Duration, message Q) (R, error) {
	return callLeader[Q, R](ctx, l, path, timeout, message, true)
}

// ReportToLeader is like CallLeader for a message beside others. A leader that does not answer it in time is kept, because
// it may be busy and answer the others.
func ReportToLeader[Q, R any](
	ctx context.Context, l *LeaderClient, path string, timeout time.Duration, message Q,
) (R, error) {
	return callLeader[Q, R](ctx, l, path, timeout, message, false)
}

func callLeader[Q, R any](
	ctx context.Context, l *LeaderClient, path string, timeout time.Duration, message Q, switchOnTimeout bool,
) (R, error) {
	address := l.Leader()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := Call[Q, R](ctx, l.client, "http://"+address+path, l.token, message)
	if err == nil {
		return response, nil
	}
	e := AsError(err)
	timedOut := errors.Is(err, context.DeadlineExceeded)
	if e.Code == proto.CodeNotLeader || e.Code == proto.CodeInternal && (!timedOut || switchOnTimeout) {
		l.switchLeader(address, e.Leader)
	}
	return response, err
}

// CallLeaderWithRetry repeats CallLeader until it succeeds, the leader returns an error, or ctx is done. message must be
// idempotent.
func CallLeaderWithRetry[Q, R any](
	ctx context.Context, l *LeaderClient, path string, timeout time.Duration, message Q,
) (R, error) {
	for {
		response, err := CallLeader[Q, R](ctx, l, path, timeout, message)
		if err == nil {
			return response, nil
		}
		e := AsError(err)
		if e.Code != proto.CodeNotLeader && e.Code != proto.CodeInternal {
			return response, err
		}
		select {
		case <-ctx.Done():
			return response, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "no leader can be reached: %v", err)
		case <-time.After(leaderRetryInterval):
		}
	}
}

// leaderRetryInterval is the pause between two attempts to reach the leader.
const leaderRetryInterval = 20 * time.Millisecond
