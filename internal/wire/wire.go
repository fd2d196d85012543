// Package wire implements the protocol of docs/PROTOCOL.md towards upstreams: it forwards one request and turns the
// result into a complete response or a typed error. Support for another wire format needs another package like this
// one and no other change.
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/internal/room"
	"baobabreach/internal/strict"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// strippedHeaders are removed in both directions, in addition to hop-by-hop headers.
var strippedHeaders = []string{
	"Authorization",
	// net/http retries a request with one of these headers on its own after a connection error.
	"Idempotency-Key", "X-Idempotency-Key",
}

// Config configures a Client.
type Config struct {
	// Host is the name of the entry host, sent with each request.
	Host string
	// HTTP sends the requests. If it has a transport of net/http's own, the Client makes that strict.
	HTTP *http.Client
	// MaxResponseBytes limits the size of a response body; it must be positive.
	MaxResponseBytes int64
	// Responses is the memory for all responses that are being read or held. Nil means no limit.
	Responses *room.Room
}

// Client forwards requests to upstreams. It is safe for concurrent use.
type Client struct {
	cfg Config
	// pooled reuses connections; unpooled sends each request on a connection of its own.
	pooled, unpooled *http.Client
	refused          recentIDs
}

// New returns a client that sends its requests with cfg.HTTP.
func New(cfg Config) *Client {
	cfg.Responses = cfg.Responses.OrUnlimited()
	c := &Client{cfg: cfg, pooled: cfg.HTTP, unpooled: cfg.HTTP, refused: recentIDs{known: map[string]bool{}}}
	if t, ok := cfg.HTTP.Transport.(*http.Transport); ok {
		transport := strict.NewTransport(t)
		c.pooled = withTransport(cfg.HTTP, transport)
		c.unpooled = withTransport(cfg.HTTP, transport.WithoutKeepAlives())
	}
	return c
}

// withTransport returns a copy of c with another transport.
func withTransport(c *http.Client, t http.RoundTripper) *http.Client {
	clone := *c
	clone.Transport = t
	return &clone
}

// maxRecentIDs limits the IDs that are remembered.
const maxRecentIDs = 4096

// recentIDs remembers the last maxRecentIDs request IDs.
type recentIDs struct {
	mu    sync.Mutex
	known map[string]bool
	// order holds the known IDs, the oldest one at next once it is full.
	order []string
	next  int
}

func (r *recentIDs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.known[id]:
		return
	case len(r.order) < maxRecentIDs:
		r.order = append(r.order, id)
	default:
		delete(r.known, r.order[r.next])
		r.order[r.next] = id
		r.next = (r.next + 1) % maxRecentIDs
	}
	r.known[id] = true
}

func (r *recentIDs) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[id]
}

// Request is a request to forward to an upstream. Send leaves out its hop-by-hop headers and the strippedHeaders.
type Request struct {
	ID     string
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Keyed reports whether Fence is sent with the request.
	Keyed bool
	Fence proto.Fence
}

// Response is the complete response of an upstream that ran the request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// minResponseBytes is the room that every response takes before the request is sent, for its head.
const minResponseBytes = 8 << 10

// Send forwards the request once and reads the complete response, whose room is kept in the scope of ctx. The outcome of an
// error is not_run only if no byte of the request reached the upstream, or if the upstream reported that outcome.
func (c *Client) Send(ctx context.Context, u model.Upstream, r Request) (*Response, *proto.Error) {
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	buffer := c.cfg.Responses.NewAbortable(u.Address, func() { cancel(room.ErrFull) })
	if err := buffer.Resize(minResponseBytes); err != nil {
		buffer.Release()
		return nil, proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable, "no room for the answer: %v", err)
	}
	resp, perr := c.sendWithRoom(sendCtx, u, r, buffer)
	if perr != nil {
		buffer.Release()
		return nil, perr
	}
	room.Keep(ctx, buffer)
	return resp, nil
}

func (c *Client) sendWithRoom(
	ctx context.Context, u model.Upstream, r Request, buffer *room.Buffer,
) (*Response, *proto.Error) {
	var headerWritten atomic.Bool
	var conn atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{
		GotConn:          func(info httptrace.GotConnInfo) { conn.Store(&info) },
		WroteHeaderField: func(string, []string) { headerWritten.Store(true) },
	}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), u, r)
	if err != nil {
		return nil, proto.NotRun(proto.CodeInternal, http.StatusInternalServerError, "make request: %v", err)
	}
	client := c.pooled
	if c.refused.contains(r.ID) {
		// An upstream may write a refusal once more. On the same connection it would pass for the answer to this send.
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		if !headerWritten.Load() {
			return nil, proto.NotRun(proto.CodeUpstreamFailed, http.StatusBadGateway, "upstream %s can't be reached: %v", u.Name, err)
		}
		if errors.Is(context.Cause(ctx), room.ErrFull) {
			return nil, errNoRoom(u)
		}
		if invalid := invalidAnswer(conn.Load()); invalid != nil {
			return nil, errInvalid(u, invalid)
		}
		return nil, proto.Unknown(proto.CodeConnectionLost, "the connection to upstream %s broke: %v", u.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := buffer.Read(resp.Body, resp.ContentLength, c.cfg.MaxResponseBytes)
	if err == nil {
		err = buffer.Complete()
	}
	if err != nil && (errors.Is(err, room.ErrFull) || errors.Is(context.Cause(ctx), room.ErrFull)) {
		// Closing the body alone would read more of it.
		closeConn(conn.Load())
		return nil, errNoRoom(u)
	}
	if invalid := invalidAnswer(conn.Load()); invalid != nil {
		return nil, errInvalid(u, invalid)
	}
	if err != nil {
		return nil, proto.Unknown(proto.CodeTruncatedAnswer, "the answer of upstream %s is truncated: %v", u.Name, err)
	}
	result, protoErr := c.classify(u, r, resp, body)
	if protoErr != nil && protoErr.Outcome == proto.OutcomeUnknown {
		// After an invalid response the next one on the same connection can't be trusted.
		closeConn(conn.Load())
	}
	return result, protoErr
}

func errNoRoom(u model.Upstream) *proto.Error {
	return proto.Unknown(proto.CodeTooLarge, "no room for the whole answer of upstream %s", u.Name)
}

func errInvalid(u model.Upstream, err error) *proto.Error {
	return proto.Unknown(proto.CodeInvalidAnswer, "the answer of upstream %s is not valid: %v", u.Name, err)
}

// invalidAnswer returns the error for an invalid response on the connection, or nil.
func invalidAnswer(info *httptrace.GotConnInfo) error {
	if info == nil {
		return nil
	}
	c, ok := info.Conn.(*strict.Conn)
	if !ok {
		return nil
	}
	return c.Invalid()
}

func closeConn(info *httptrace.GotConnInfo) {
	if info != nil {
		_ = info.Conn.Close()
	}
}

// classify determines the outcome from the complete response of an upstream.
func (c *Client) classify(u model.Upstream, r Request, resp *http.Response, body []byte) (*Response, *proto.Error) {
	if int64(len(body)) > c.cfg.MaxResponseBytes {
		return nil, proto.Unknown(proto.CodeTooLarge, "the answer of upstream %s is larger than %d bytes",
			u.Name, c.cfg.MaxResponseBytes)
	}
	if id := resp.Header.Get(proto.HeaderRequestID); id != r.ID {
		return nil, proto.Unknown(proto.CodeCrossedAnswer, "upstream %s answered request %q", u.Name, id)
	}
	if proto.Outcome(resp.Header.Get(proto.HeaderOutcome)) == proto.OutcomeNotRun {
		c.refused.add(r.ID)
		return nil, notRunError(u, resp.StatusCode, body)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, proto.Unknown(proto.CodeUpstreamFailed, "upstream %s answered status %d", u.Name, resp.StatusCode)
	}
	return &Response{Status: resp.StatusCode, Header: forwardedHeaders(resp.Header), Body: body}, nil
}

// notRunError returns an error with the upstream's own reason for not running the request.
func notRunError(u model.Upstream, status int, body []byte) *proto.Error {
	var e proto.Error
	if err := json.Unmarshal(body, &e); err != nil || e.Code == "" || e.Code == proto.CodeOverloaded {
		e.Code = proto.CodeUpstreamShed
	}
	if status < http.StatusBadRequest {
		status = http.StatusServiceUnavailable
	}
	return proto.NotRun(e.Code, status, "upstream %s did not run the request: %s", u.Name, e.Message).
		WithRetryAfterMs(e.RetryAfterMs)
}

func (c *Client) newRequest(ctx context.Context, u model.Upstream, r Request) (*http.Request, error) {
	requestURL := url.URL{Scheme: "http", Host: u.Address, Path: r.Path, RawQuery: r.Query}
	req, err := http.NewRequestWithContext(ctx, r.Method, requestURL.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "new request")
	}
	// Without GetBody the transport never retries the request on its own.
	req.GetBody = nil
	req.Header = forwardedHeaders(r.Header)
	req.Header.Set(proto.HeaderRequestID, r.ID)
	req.Header.Set(proto.HeaderHost, c.cfg.Host)
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(proto.HeaderDeadlineMs, strconv.FormatInt(max(1, time.Until(d).Milliseconds()), 10))
	}
	if r.Keyed {
		req.Header.Set(proto.HeaderRange, strconv.FormatUint(r.Fence.Range, 10))
		req.Header.Set(proto.HeaderEpoch, strconv.FormatUint(r.Fence.Epoch, 10))
	}
	return req, nil
}

func forwardedHeaders(h http.Header) http.Header {
	c := pipe.EndToEndHeaders(h)
	for _, k := range strippedHeaders {
		c.Del(k)
	}
	return c
}
