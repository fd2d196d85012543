// Package entry handles caller requests: it validates a request, claims it if it must run at most once, acquires a slot,
// forwards the request to an upstream and returns the response with its outcome.
package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"baobabreach/internal/claim"
	"baobabreach/internal/model"
	"baobabreach/internal/room"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

const (
	maxKeyBytes    = 512
	maxTenantBytes = 64
	maxDeadline    = 24 * time.Hour
	defaultTenant  = "none"
	// bodyRetryAfterMs is the Retry-After time of a request whose body found no room. A large body is held for about a
	// second.
	bodyRetryAfterMs = 1000
)

// Request is a validated caller request.
type Request struct {
	ID      string        `json:"id"`
	Method  string        `json:"method"`
	Path    string        `json:"path"`
	Query   string        `json:"query"`
	Header  http.Header   `json:"header"`
	Body    []byte        `json:"body,omitempty"`
	Service model.Service `json:"service"`
	// Key is empty for a service that is not keyed.
	Key    string      `json:"key"`
	Tenant string      `json:"tenant"`
	Class  model.Class `json:"class"`
	// Deadline is the maximum time from the arrival of the request to its response. It is positive.
	Deadline   time.Duration `json:"deadline_ns"`
	Idempotent bool          `json:"idempotent"`
	// Fingerprint is a hash of the content: service, key, method, path, query and body.
	Fingerprint string `json:"fingerprint"`
}

// parse validates the request. Its errors have the outcome not_run.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (Request, *proto.Error) {
	if n := room.HeaderBytes(r); s.cfg.MaxHeaderBytes > 0 && n > s.cfg.MaxHeaderBytes {
		return Request{}, proto.NotRun(proto.CodeTooLarge, http.StatusRequestHeaderFieldsTooLarge,
			"headers are larger than %d bytes", s.cfg.MaxHeaderBytes)
	}
	id, err := requestID(r)
	if err != nil {
		return Request{}, err
	}
	table, _ := s.cfg.View.Table()
	name := mux.Vars(r)["service"]
	service, ok := table.Services[name]
	if !ok {
		return Request{ID: id}, proto.NotRun(proto.CodeUnknownService, http.StatusNotFound, "service %q is not known", name)
	}
	req := Request{
		ID: id, Method: r.Method, Path: "/" + mux.Vars(r)["path"], Query: r.URL.RawQuery, Header: r.Header,
		Service: service, Tenant: defaultTenant, Class: service.Class, Deadline: ms(service.DeadlineMs),
	}
	if err := req.parseHeaders(r.Header); err != nil {
		return req, err
	}
	buffer := s.cfg.Requests.NewBuffer(req.Tenant)
	room.Keep(r.Context(), buffer)
	body, readErr := buffer.ReadRequest(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes), r.ContentLength, s.cfg.MaxBodyBytes)
	if readErr != nil {
		return req, bodyError(readErr, s.cfg.MaxBodyBytes)
	}
	req.Body = body
	req.Idempotent = service.Idempotent || isIdempotentMethod(r.Method)
	req.Fingerprint = req.contentFingerprint()
	return req, nil
}

func requestID(r *http.Request) (string, *proto.Error) {
	id := r.Header.Get(proto.HeaderRequestID)
	if id == "" {
		var b [10]byte
		_, _ = rand.Read(b[:])
		return claim.NewID(time.Now().UnixMilli(), b[:]), nil
	}
	if _, err := claim.IDTime(id); err != nil {
		return "", proto.NotRun(proto.CodeBadRequestID, http.StatusBadRequest, "%s must be a UUIDv7", proto.HeaderRequestID)
	}
	return id, nil
}

func (rq *Request) parseHeaders(h http.Header) *proto.Error {
	rq.Key = h.Get(proto.HeaderKey)
	if rq.Service.Keyed && rq.Key == "" {
		return proto.NotRun(proto.CodeMissingKey, http.StatusBadRequest,
			"service %s needs the header %s", rq.Service.Name, proto.HeaderKey)
	}
	if len(rq.Key) > maxKeyBytes {
		return proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest,
			"%s is longer than %d bytes", proto.HeaderKey, maxKeyBytes)
	}
	if v := h.Get(proto.HeaderTenant); v != "" {
		rq.Tenant = v
	}
	if len(rq.Tenant) > maxTenantBytes {
		return proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest,
			"%s is longer than %d bytes", proto.HeaderTenant, maxTenantBytes)
	}
	if v := h.Get(proto.HeaderClass); v != "" {
		rq.Class = model.Class(v)
	}
	if rq.Class != model.ClassShort && rq.Class != model.ClassLong {
		return proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "%s must be short or long", proto.HeaderClass)
	}
	if v := h.Get(proto.HeaderDeadlineMs); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 || ms(n) > maxDeadline {
			return proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest,
				"%s must be a whole number of milliseconds from 1 to %d", proto.HeaderDeadlineMs, maxDeadline.Milliseconds())
		}
		rq.Deadline = ms(n)
	}
	return nil
}

func bodyError(err error, limit int64) *proto.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return proto.NotRun(proto.CodeTooLarge, http.StatusRequestEntityTooLarge, "body is larger than %d bytes", limit)
	}
	if errors.Is(err, room.ErrFull) {
		return proto.NotRun(proto.CodeOverloaded, http.StatusServiceUnavailable, "body can't be read: %v", err).
			WithRetryAfterMs(bodyRetryAfterMs)
	}
	return proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "body can't be read: %v", err)
}

func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func (rq *Request) contentFingerprint() string {
	h := sha256.New()
	for _, s := range []string{rq.Service.Name, rq.Key, rq.Method, rq.Path, rq.Query} {
		_, _ = io.WriteString(h, strconv.Itoa(len(s))+":"+s)
	}
	_, _ = h.Write(rq.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
