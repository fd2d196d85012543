package pipe

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"baobabreach/internal/room"

	"github.com/go-faster/errors"
)

// hopByHopHeaders apply to a single connection and are not forwarded in either direction.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// concurrentWriteBytes is the body size above which the request is written while the response is read, because an
// upstream may respond before it has read the whole body.
const concurrentWriteBytes = 16 << 10

// minResponseBytes is the room that every response takes before the request is sent, for the read buffer and the head.
const minResponseBytes = 2 * readBufferBytes

// Send makes one attempt. It returns either a response, which must be released, or a failure.
func (p *Pool) Send(ctx context.Context, req Request) (*Response, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	buffer := p.cfg.Responses.NewAbortable(req.Address, func() { cancel(room.ErrFull) })
	resp, failure := p.sendWithRoom(ctx, req, buffer)
	if failure == nil {
		return resp, nil
	}
	buffer.Release()
	switch {
	case failure.NoRoom():
		p.updateStats(func(s *Stats) { s.CrowdedOut++ })
	case failure.Broken:
		p.updateStats(func(s *Stats) { s.Broken++ })
	}
	return nil, failure
}

func (p *Pool) sendWithRoom(ctx context.Context, req Request, buffer *room.Buffer) (*Response, *Failure) {
	if err := buffer.Resize(minResponseBytes); err != nil {
		return nil, &Failure{Stage: StageNotSent, Reason: "no room for the answer", Err: err}
	}
	c := p.takeIdle(req.Address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, req.Address); err != nil {
			return nil, &Failure{Stage: StageNotSent, Reason: "connection failed", ConnFailed: ctx.Err() == nil, Err: err}
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	c.limit.buffer = buffer
	resp, reusable, failure := p.exchange(c, req)
	c.limit.buffer = nil
	if !stop() || !reusable {
		c.close()
	} else {
		c.idleDeadline += p.cfg.Now()
		p.putIdle(req.Address, c)
	}
	if failure != nil && ctx.Err() != nil {
		failure.ConnFailed, failure.Broken, failure.Err = false, false, context.Cause(ctx)
	}
	return resp, failure
}

// exchange writes the request and reads the response. reusable is true if the connection may carry another request.
func (p *Pool) exchange(c *conn, req Request) (resp *Response, reusable bool, failure *Failure) {
	c.ExpectResponse(req.Method)
	head := p.encodeHead(req)
	written := make(chan error, 1)
	if len(req.Body) <= concurrentWriteBytes {
		n, err := c.Write(append(head, req.Body...))
		if err != nil && n == 0 {
			return nil, false, &Failure{Stage: StageNotSent, Reason: "connection broke before the send", ConnFailed: true, Err: err}
		}
		written <- err
	} else {
		go func() {
			_, err := io.Copy(c, io.MultiReader(bytes.NewReader(head), bytes.NewReader(req.Body)))
			written <- err
		}()
	}
	resp, reusable, failure = p.readResponse(c, req)
	if err := c.Invalid(); err != nil {
		p.updateStats(func(s *Stats) { s.InvalidResponses++ })
		return nil, false, unknownFailure("answer is not valid", err)
	}
	if failure != nil {
		return nil, false, failure
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		// The upstream responded before the whole body was written. It would read a next request as the rest of that body.
		reusable = false
	}
	return resp, reusable, nil
}

func (p *Pool) encodeHead(req Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	h := EndToEndHeaders(req.Header)
	h.Set(p.cfg.Names.RequestID, req.ID)
	h.Set(p.cfg.Names.Deadline, strconv.FormatInt(max(1, req.Timeout.Milliseconds()), 10))
	h.Set(p.cfg.Names.ExpectedUpstream, req.Upstream)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(req.Body)))
	}
	// Writes to a bytes.Buffer never fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// EndToEndHeaders returns a copy of h without the hop-by-hop headers.
func EndToEndHeaders(h http.Header) http.Header {
	c := h.Clone()
	for _, named := range h.Values("Connection") {
		for _, k := range strings.Split(named, ",") {
			c.Del(strings.TrimSpace(k))
		}
	}
	for _, k := range hopByHopHeaders {
		c.Del(k)
	}
	return c
}

func unknownFailure(reason string, err error) *Failure {
	return &Failure{Stage: StageUnknown, Reason: reason, ConnFailed: true, Err: err}
}

// brokenFailure returns the failure of a read, which the end of the connection may have caused.
func (c *conn) brokenFailure(reason string, err error) *Failure {
	failure := unknownFailure(reason, err)
	failure.Broken = c.limit.ended
	return failure
}

// isConnectionEnd reports whether a read failed because the peer closed or reset the connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

func (p *Pool) readResponse(c *conn, req Request) (*Response, bool, *Failure) {
	resp, err := p.readResponseHead(c, req.Method)
	if errors.Is(err, errHeadTooLarge) {
		p.updateStats(func(s *Stats) { s.OversizedResponses++ })
	}
	if err != nil {
		return nil, false, c.brokenFailure("connection broke after the send", err)
	}
	complete := false
	defer func() {
		if !complete {
			// Closing a body reads the rest of it, which may have no end.
			c.close()
		}
		_ = resp.Body.Close()
	}()
	answers := p.answers(resp.Header, req.ID, c.reused)
	c.reused = true
	if !answers {
		p.updateStats(func(s *Stats) { s.MismatchedResponses++ })
		ids := strings.Join(resp.Header.Values(p.cfg.Names.RequestID), ", ")
		return nil, false, unknownFailure("answer to another request "+strconv.Quote(ids), nil)
	}
	body, err := c.limit.buffer.Read(resp.Body, resp.ContentLength, p.cfg.MaxResponseBytes)
	if err == nil {
		err = c.limit.buffer.Complete()
	}
	switch {
	case errors.Is(err, room.ErrFull):
		return nil, false, unknownFailure("no room for the whole answer", err)
	case err != nil:
		return nil, false, c.brokenFailure("answer is truncated", err)
	case int64(len(body)) > p.cfg.MaxResponseBytes:
		p.updateStats(func(s *Stats) { s.OversizedResponses++ })
		return nil, false, unknownFailure("answer is too large", nil)
	}
	complete = true
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	reusable := framed && !resp.Close && !c.hasUnread()
	c.idleDeadline = idleTimeout(resp.Header.Get("Keep-Alive"))
	header := EndToEndHeaders(resp.Header)
	if failure := p.checkResponse(resp, header); failure != nil {
		return nil, reusable, failure
	}
	return &Response{
		Status: resp.StatusCode, Header: header, Body: body, Notice: p.notice(resp), buffer: c.limit.buffer,
	}, reusable, nil
}

// answers reports whether the response is the one to the request with the ID and to no other.
func (p *Pool) answers(h http.Header, id string, reusedConn bool) bool {
	ids := h.Values(p.cfg.Names.RequestID)
	if strings.Join(ids, "") == "" {
		// A refusal may lack the ID, but on a reused connection it may then be a late copy for an earlier request.
		return h.Get(p.cfg.Names.NotRun) != "" && !reusedConn
	}
	return !slices.ContainsFunc(ids, func(other string) bool { return other != id })
}

// notice returns what a response says about its upstream. A response that names another process at the address says nothing
// about the one that the request was for.
func (p *Pool) notice(resp *http.Response) Notice {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return Notice{}
	}
	leaving := resp.Header.Get(p.cfg.Names.Leaving)
	n := Notice{Leaving: leaving != "" && leaving != "0"}
	if resp.StatusCode == http.StatusServiceUnavailable {
		n.RetryAfter = retryAfter(resp.Header.Get("Retry-After"))
	}
	return n
}

// maxRetryAfter limits the time that an upstream can ask for, which is forgotten with its process.
const maxRetryAfter = time.Hour

// retryAfter parses a number of seconds. It returns 0 for anything else.
func retryAfter(header string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// checkResponse returns a failure if the upstream reports that it did not run the request, or if a successful response has
// a content encoding that was not requested or no signature in the header for the caller, and thus cannot come from the
// upstream.
func (p *Pool) checkResponse(resp *http.Response, header http.Header) *Failure {
	switch {
	case resp.Header.Get(p.cfg.Names.NotRun) != "", resp.StatusCode == http.StatusMisdirectedRequest:
		return &Failure{
			Stage: StageRefused, Status: resp.StatusCode, Reason: "upstream refused with " + resp.Status, Notice: p.notice(resp),
		}
	case resp.StatusCode < 300 && header.Get(p.cfg.Names.Signature) == "":
		return unknownFailure("answer without a signature", nil)
	case resp.StatusCode < 300 && resp.Header.Get("Content-Encoding") != "":
		return unknownFailure("answer with an encoding that was not asked for", nil)
	}
	return nil
}

// maxInterimResponses bounds the 1xx responses before the final one.
const maxInterimResponses = 4

// readResponseHead reads the head of the final response and skips 1xx responses. All of them together may have
// MaxHeadBytes. The time is limited by the context of the request, whose end closes the connection.
func (p *Pool) readResponseHead(c *conn, method string) (*http.Response, error) {
	c.limit.left, c.limit.head = p.cfg.MaxHeadBytes, 0
	// The body is limited by its reader.
	defer func() { c.limit.left = -1 }()
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		_ = resp.Body.Close()
	}
	return nil, errors.New("too many interim answers")
}
