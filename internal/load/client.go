// Package load is an open-loop load generator for a fleet on loopback, with its plans and reports.
package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"baobabreach/internal/claim"
	"baobabreach/internal/fleet"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// Request describes one request of a caller.
type Request struct {
	ID      string
	Service string
	// Method defaults to GET.
	Method string
	Key    string
	Tenant string
	// Class defaults to the class of the service.
	Class string
	Body  string
	// Deadline defaults to the deadline of the service.
	Deadline time.Duration
}

// Reply is the result of a request as seen by its caller. If the request was sent but no complete response arrived,
// Outcome is unknown.
type Reply struct {
	Outcome  proto.Outcome
	Code     proto.Code
	Status   int
	Upstream string
	// Err is the transport error, if no complete response arrived.
	Err error
	// Message is a human-readable explanation of Code.
	Message string
}

// Client sends requests to entry hosts. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// direct is set if requests go directly to stand-ins, whose complete responses have no outcome header.
	direct bool
}

const (
	maxIdleConnections = 512
	dialTimeout        = time.Second
	// responseMargin is how long a client waits for a response beyond the deadline of its request.
	responseMargin = time.Second
	// defaultDeadline is the deadline of a service that does not set one.
	defaultDeadline  = 2 * time.Second
	maxResponseBytes = 8 << 20
)

// NewClient returns a client that connects to loopback addresses only.
func NewClient() *Client {
	d := &net.Dialer{Timeout: dialTimeout, Control: func(_, address string, _ syscall.RawConn) error {
		return fleet.CheckLoopback(address)
	}}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
	}}}
}

// Close closes idle connections. It does not interrupt requests in flight.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends a request to the caller address of a host, without retries.
func (c *Client) Send(ctx context.Context, host string, q Request) Reply {
	deadline := q.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+responseMargin)
	defer cancel()
	req, err := newRequest(ctx, host, q)
	if err != nil {
		return Reply{Outcome: proto.OutcomeNotRun, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return failedReply(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return failedReply(err)
	}
	r := Reply{
		Outcome: proto.Outcome(resp.Header.Get(proto.HeaderOutcome)), Status: resp.StatusCode,
		Upstream: resp.Header.Get(proto.HeaderUpstream),
	}
	if c.direct && r.Outcome == "" && r.Status == http.StatusOK {
		r.Outcome = proto.OutcomeDone
	}
	var e proto.Error
	if r.Outcome != proto.OutcomeDone && json.Unmarshal(body, &e) == nil {
		r.Code, r.Message = e.Code, e.Message
	}
	if id := resp.Header.Get(proto.HeaderRequestID); id != q.ID || r.Outcome == "" {
		return failedReply(errors.Errorf("response has request id %q and outcome %q", id, r.Outcome))
	}
	return r
}

// failedReply returns not_run for a refused connection, on which nothing was sent, and unknown for any other error.
func failedReply(err error) Reply {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Reply{Outcome: proto.OutcomeNotRun, Err: err}
	}
	return Reply{Outcome: proto.OutcomeUnknown, Err: err}
}

func newRequest(ctx context.Context, host string, q Request) (*http.Request, error) {
	method := q.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+"/s/"+q.Service+"/item", strings.NewReader(q.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	// Without GetBody, the transport never resends the request by itself.
	req.GetBody = nil
	req.Header.Set(proto.HeaderRequestID, q.ID)
	for k, v := range map[string]string{
		proto.HeaderKey: q.Key, proto.HeaderTenant: q.Tenant, proto.HeaderClass: q.Class,
	} {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	if q.Deadline > 0 {
		req.Header.Set(proto.HeaderDeadlineMs, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

// retryInterval is the delay between two tries of one request.
const retryInterval = 100 * time.Millisecond

// SendUntilDone sends a request, and retries it with the same id through the next host until it is done, the tries are
// used up or ctx ends. It returns the last reply, with outcome unknown if the outcome of any try was unknown.
func (c *Client) SendUntilDone(ctx context.Context, hosts []string, first, tries int, q Request) Reply {
	var last Reply
	unknown := false
	for i := range tries {
		last = c.Send(ctx, hosts[(first+i)%len(hosts)], q)
		if last.Outcome == proto.OutcomeDone {
			return last
		}
		unknown = unknown || last.Outcome == proto.OutcomeUnknown
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
			continue
		}
		break
	}
	if unknown {
		last.Outcome = proto.OutcomeUnknown
	}
	return last
}

// NewID returns a UUIDv7 with the current time and random bits from r.
func NewID(r *rand.Rand) string {
	b := make([]byte, 0, 16)
	for range 2 {
		v := r.Uint64()
		for i := range 8 {
			b = append(b, byte(v>>(8*i)))
		}
	}
	return claim.NewID(time.Now().UnixMilli(), b)
}
