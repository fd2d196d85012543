// Package wire speaks the protocol of docs/PROTOCOL.md towards upstreams: it forwards one request and turns what comes
// back into a whole answer or a typed error. Another wire form needs another package like this one and nothing else.
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"baobabreach/internal/model"
	"baobabreach/internal/pipe"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// ownHeaders are not passed on in either direction, beside those that concern one connection.
var ownHeaders = []string{
	"Authorization",
	// net/http resends a request with one of these headers by itself after a connection error.
	"Idempotency-Key", "X-Idempotency-Key",
}

// Config configures a Client.
type Config struct {
	// Host is the name of the entry host, sent along with each request.
	Host string
	HTTP *http.Client
	// MaxAnswerBytes bounds the body of an answer; positive.
	MaxAnswerBytes int64
}

// Client forwards requests to upstreams. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a client.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// Request is a request to an upstream.
type Request struct {
	ID     string
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Keyed tells whether the request carries Fence.
	Keyed bool
	Fence proto.Fence
}

// Answer is the whole answer of an upstream that ran the request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Send forwards the request once and reads the whole answer. Errors are of type *proto.Error: not_run only if no byte of
// the request reached the upstream, or the upstream said so.
func (c *Client) Send(ctx context.Context, u model.Upstream, q Request) (*Answer, *proto.Error) {
	var wrote atomic.Bool
	var conn atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{
		GotConn:          func(i httptrace.GotConnInfo) { conn.Store(&i) },
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), u, q)
	if err != nil {
		return nil, proto.NotRun(proto.CodeInternal, http.StatusInternalServerError, "make request: %v", err)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		if !wrote.Load() {
			return nil, proto.NotRun(proto.CodeUpstreamFailed, http.StatusBadGateway, "upstream %s can't be reached: %v", u.Name, err)
		}
		return nil, proto.Unknown(proto.CodeConnectionLost, "the connection to upstream %s broke: %v", u.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxAnswerBytes+1))
	if err != nil {
		return nil, proto.Unknown(proto.CodeTruncatedAnswer, "the answer of upstream %s is truncated: %v", u.Name, err)
	}
	answer, perr := c.classify(u, q, resp, body)
	if i := conn.Load(); i != nil && perr != nil && perr.Outcome == proto.OutcomeUnknown {
		// The next response on a connection that delivered a wrong one can't be trusted.
		_ = i.Conn.Close()
	}
	return answer, perr
}

// classify turns a whole answer of an upstream into an outcome.
func (c *Client) classify(u model.Upstream, q Request, resp *http.Response, body []byte) (*Answer, *proto.Error) {
	if int64(len(body)) > c.cfg.MaxAnswerBytes {
		return nil, proto.Unknown(proto.CodeTooLarge, "the answer of upstream %s is larger than %d bytes",
			u.Name, c.cfg.MaxAnswerBytes)
	}
	if id := resp.Header.Get(proto.HeaderRequestID); id != q.ID {
		return nil, proto.Unknown(proto.CodeCrossedAnswer, "upstream %s answered request %q", u.Name, id)
	}
	if proto.Outcome(resp.Header.Get(proto.HeaderOutcome)) == proto.OutcomeNotRun {
		return nil, refusedBy(u, resp.StatusCode, body)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, proto.Unknown(proto.CodeUpstreamFailed, "upstream %s answered status %d", u.Name, resp.StatusCode)
	}
	return &Answer{Status: resp.StatusCode, Header: passedOn(resp.Header), Body: body}, nil
}

// refusedBy keeps the upstream's own reason for not running a request.
func refusedBy(u model.Upstream, status int, body []byte) *proto.Error {
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

func (c *Client) newRequest(ctx context.Context, u model.Upstream, q Request) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: u.Address, Path: q.Path, RawQuery: q.Query}
	req, err := http.NewRequestWithContext(ctx, q.Method, target.String(), bytes.NewReader(q.Body))
	if err != nil {
		return nil, errors.Wrap(err, "new request")
	}
	// Without GetBody the transport never sends the request a second time by itself.
	req.GetBody = nil
	req.Header = passedOn(q.Header)
	req.Header.Set(proto.HeaderRequestID, q.ID)
	req.Header.Set(proto.HeaderHost, c.cfg.Host)
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(proto.HeaderDeadlineMs, strconv.FormatInt(max(1, time.Until(d).Milliseconds()), 10))
	}
	if q.Keyed {
		req.Header.Set(proto.HeaderRange, strconv.FormatUint(q.Fence.Range, 10))
		req.Header.Set(proto.HeaderEpoch, strconv.FormatUint(q.Fence.Epoch, 10))
	}
	return req, nil
}

func passedOn(h http.Header) http.Header {
	c := pipe.EndToEndHeaders(h)
	for _, k := range ownHeaders {
		c.Del(k)
	}
	return c
}
