package peer

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"baobabreach/pkg/proto"
)

// Paths of the control address.
const (
	PathRaft     = "/control/v1/raft"
	PathJoin     = "/control/v1/join"
	PathReplica  = "/control/v1/replica"
	PathAnnounce = "/control/v1/announce"
	PathRenew    = "/control/v1/renew"
	PathTable    = "/control/v1/table"
	PathWatch    = "/control/v1/watch"
	PathPropose  = "/control/v1/propose"
	PathCrash    = "/control/v1/crash"
	PathPermit   = "/control/v1/permit"
	PathDepart   = "/control/v1/depart"
	PathChange   = "/control/v1/change"
	PathItems    = "/control/v1/items"
)

// LeaderClient sends messages to the leader and follows it when it changes. It is safe for concurrent use.
type LeaderClient struct {
	client *http.Client
	token  string

	mu sync.Mutex
	// addresses holds the control addresses of the replicas; current is an index into it.
	addresses []string
	current   int
}

// NewLeaderClient returns a client that starts with the first address.
func NewLeaderClient(client *http.Client, token string, addresses []string) *LeaderClient {
	return &LeaderClient{client: client, token: token, addresses: addresses}
}

// Leader returns the address that the next message goes to.
func (l *LeaderClient) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[l.current]
}

// report moves on from an address that failed, to the hinted leader if it is known.
func (l *LeaderClient) report(failed, hint string) {
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

// SetLeader sends the next message to an address that is known to lead.
func (l *LeaderClient) SetLeader(address string) { l.report(l.Leader(), address) }

// SetAddresses replaces the addresses of the replicas; as is not empty. The present leader stays in use.
func (l *LeaderClient) SetAddresses(as []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := l.addresses[l.current]
	l.addresses = slices.Clone(as)
	l.current = slices.Index(as, present)
	if l.current < 0 {
		l.addresses, l.current = append(l.addresses, present), len(as)
	}
}

// CallLeader sends q to the leader once, with at most timeout for the try.
func CallLeader[Q, R any](ctx context.Context, l *LeaderClient, path string, timeout time.Duration, q Q) (R, error) {
	address := l.Leader()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := Call[Q, R](ctx, l.client, "http://"+address+path, l.token, q)
	if err == nil {
		return a, nil
	}
	e := AsError(err)
	if e.Code == proto.CodeNotLeader || e.Code == proto.CodeInternal {
		l.report(address, e.Leader)
	}
	return a, err
}

// CallLeaderWithRetry repeats ToLeader until it succeeds, is refused by the leader, or ctx ends. q must be idempotent.
func CallLeaderWithRetry[Q, R any](ctx context.Context, l *LeaderClient, path string, timeout time.Duration, q Q) (R, error) {
	for {
		a, err := CallLeader[Q, R](ctx, l, path, timeout, q)
		if err == nil {
			return a, nil
		}
		e := AsError(err)
		if e.Code != proto.CodeNotLeader && e.Code != proto.CodeInternal {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, proto.NotRun(proto.CodeNoLeader, http.StatusServiceUnavailable, "no leader can be reached: %v", err)
		case <-time.After(leaderRetryPause):
		}
	}
}

// leaderRetryPause is the time between two tries to find the leader.
const leaderRetryPause = 20 * time.Millisecond
