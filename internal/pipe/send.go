package pipe

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// hopHeaders concern one connection only and are not passed on in either direction.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// largeBody is the size from which a body is written while the answer is read: an upstream may answer early.
const largeBody = 16 << 10

// Send makes one try. It returns an answer or a *Failure.
func (p *Pool) Send(ctx context.Context, q Request) (*Answer, *Failure) {
	c := p.take(q.Address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, q.Address); err != nil {
			return nil, &Failure{Stage: StageNotSent, Reason: "connection failed", Broken: ctx.Err() == nil, Err: err}
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	a, keep, f := p.exchange(c, q)
	if !stop() || !keep {
		c.close()
	} else {
		c.idleUntil += p.cfg.Now()
		p.put(q.Address, c)
	}
	if f != nil && ctx.Err() != nil {
		f.Broken, f.Err = false, context.Cause(ctx)
	}
	return a, f
}

// exchange writes the request and reads the answer. keep tells whether the connection may carry another request.
func (p *Pool) exchange(c *conn, q Request) (a *Answer, keep bool, f *Failure) {
	head := p.encode(q)
	written := make(chan error, 1)
	if len(q.Body) <= largeBody {
		n, err := c.Write(append(head, q.Body...))
		if err != nil && n == 0 {
			return nil, false, &Failure{Stage: StageNotSent, Reason: "connection broke before the send", Broken: true, Err: err}
		}
		written <- err
	} else {
		go func() {
			_, err := io.Copy(c, io.MultiReader(bytes.NewReader(head), bytes.NewReader(q.Body)))
			written <- err
		}()
	}
	a, keep, f = p.read(c, q)
	if f != nil {
		return nil, false, f
	}
	select {
	case err := <-written:
		keep = keep && err == nil
	default:
		// The upstream has answered before it read the body. It would take what is sent next for the rest of it.
		keep = false
	}
	return a, keep, nil
}

func (p *Pool) encode(q Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, q.Host)
	h := EndToEndHeaders(q.Header)
	h.Set(p.cfg.Names.RequestID, q.ID)
	h.Set(p.cfg.Names.Deadline, strconv.FormatInt(max(1, q.Left.Milliseconds()), 10))
	h.Set(p.cfg.Names.ExpectedUpstream, q.Upstream)
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(q.Body)))
	}
	// A buffer takes every write.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// EndToEndHeaders returns a copy without the headers that concern one connection.
func EndToEndHeaders(h http.Header) http.Header {
	c := h.Clone()
	for _, named := range h.Values("Connection") {
		for _, k := range strings.Split(named, ",") {
			c.Del(strings.TrimSpace(k))
		}
	}
	for _, k := range hopHeaders {
		c.Del(k)
	}
	return c
}

func unknown(reason string, err error) *Failure {
	return &Failure{Stage: StageUnknown, Reason: reason, Broken: true, Err: err}
}

func (p *Pool) read(c *conn, q Request) (*Answer, bool, *Failure) {
	resp, err := readHead(c, q.Method)
	if err != nil {
		return nil, false, unknown("connection broke after the send", err)
	}
	defer func() { _ = resp.Body.Close() }()
	id := resp.Header.Get(p.cfg.Names.RequestID)
	if id != q.ID && (id != "" || resp.Header.Get(p.cfg.Names.NotRun) == "") {
		p.count(func(s *Stats) { s.MismatchedResponses++ })
		return nil, false, unknown("answer to another request "+strconv.Quote(id), nil)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, p.cfg.MaxResponseBytes+1))
	switch {
	case err != nil:
		return nil, false, unknown("answer is truncated", err)
	case int64(len(body)) > p.cfg.MaxResponseBytes:
		return nil, false, unknown("answer is too large", nil)
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	keep := framed && !resp.Close && c.br.Buffered() == 0
	c.idleUntil = keepFor(resp.Header.Get("Keep-Alive"))
	if f := p.judge(resp); f != nil {
		return nil, keep, f
	}
	return &Answer{Status: resp.StatusCode, Header: EndToEndHeaders(resp.Header), Body: body}, keep, nil
}

// judge returns a failure for an answer that says that the request was not run or that no upstream can have given.
func (p *Pool) judge(resp *http.Response) *Failure {
	switch {
	case resp.Header.Get(p.cfg.Names.NotRun) != "", resp.StatusCode == http.StatusMisdirectedRequest:
		return &Failure{Stage: StageRefused, Status: resp.StatusCode, Reason: "upstream refused with " + resp.Status}
	case resp.StatusCode < 300 && resp.Header.Get(p.cfg.Names.Signature) == "":
		return unknown("answer without a signature", nil)
	case resp.StatusCode < 300 && resp.Header.Get("Content-Encoding") != "":
		return unknown("answer with an encoding that was not asked for", nil)
	}
	return nil
}

// maxInformational bounds the interim answers before the final one.
const maxInformational = 4

// readHead reads the head of the final answer.
func readHead(c *conn, method string) (*http.Response, error) {
	for range maxInformational {
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
