// Package peer exchanges typed JSON messages between the daemons over HTTP.
package peer

import (
	"bytes"
	"context"
	"encoding"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"baobabreach/internal/errs"
	"baobabreach/pkg/proto"

	"github.com/go-faster/errors"
)

// MaxBodyBytes limits the size of control messages other than raft messages.
const MaxBodyBytes = 1 << 20

// MaxRaftBytes limits the size of raft messages, which may carry a snapshot.
const MaxRaftBytes = 64 << 20

// Handle returns a handler that decodes a request body of at most limit bytes, calls fn and encodes its result or
// error.
func Handle[Q, R any](limit int64, fn func(ctx context.Context, message Q) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		message, err := Decode[Q](w, r, limit)
		if err != nil {
			WriteError(w, err)
			return
		}
		response, err := fn(r.Context(), message)
		if err != nil {
			WriteError(w, err)
			return
		}
		if marshaler, ok := any(response).(encoding.BinaryMarshaler); ok {
			writeBinary(w, marshaler)
			return
		}
		WriteJSON(w, http.StatusOK, response)
	}
}

// contentTypeBinary is the content type of responses that are not JSON.
const contentTypeBinary = "application/octet-stream"

func writeBinary(w http.ResponseWriter, marshaler encoding.BinaryMarshaler) {
	b, err := marshaler.MarshalBinary()
	if err != nil {
		WriteError(w, errors.Wrap(err, "encode answer"))
		return
	}
	w.Header().Set("Content-Type", contentTypeBinary)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	// An error means that the caller has disconnected.
	_, _ = w.Write(b)
}

// Decode reads one JSON value of at most limit bytes from the request body. It rejects unknown fields.
func Decode[Q any](w http.ResponseWriter, r *http.Request, limit int64) (Q, error) {
	var message Q
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	err := d.Decode(&message)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return message, proto.NotRun(proto.CodeTooLarge, http.StatusRequestEntityTooLarge, "body is larger than %d bytes", limit)
	}
	if err != nil {
		return message, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "body is not the expected JSON: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return message, proto.NotRun(proto.CodeBadRequest, http.StatusBadRequest, "body holds more than one JSON value")
	}
	return message, nil
}

// WriteJSON sends a response with the status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// WriteError sends err as a response of type proto.Error. Errors of other types get CodeInternal.
func WriteError(w http.ResponseWriter, err error) {
	e := AsError(err)
	if e.Outcome != "" {
		w.Header().Set(proto.HeaderOutcome, string(e.Outcome))
	}
	if e.RequestID != "" {
		w.Header().Set(proto.HeaderRequestID, e.RequestID)
	}
	if e.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMs+999)/1000, 10))
	}
	WriteJSON(w, e.Status, e)
}

// AsError returns the proto.Error that err wraps, or a new one with CodeInternal.
func AsError(err error) *proto.Error {
	var e *proto.Error
	if errors.As(err, &e) {
		return e
	}
	return &proto.Error{Code: proto.CodeInternal, Status: http.StatusInternalServerError, Message: err.Error()}
}

// Call posts message to url and decodes the response. An error sent by the remote side is returned as *proto.Error.
func Call[Q, R any](ctx context.Context, c *http.Client, url, token string, message Q) (R, error) {
	var result R
	b, err := json.Marshal(message)
	if err != nil {
		return result, errors.Wrap(err, "encode message")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return result, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	// An empty value keeps net/http from sending its default User-Agent.
	req.Header.Set("User-Agent", "")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := c.Do(req)
	if err != nil {
		return result, errors.Wrap(err, "send message")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxRaftBytes))
	if err != nil {
		return result, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return result, decodeError(resp.StatusCode, body)
	}
	if u, ok := any(&result).(encoding.BinaryUnmarshaler); ok && resp.Header.Get("Content-Type") == contentTypeBinary {
		return result, errs.Wrap(u.UnmarshalBinary(body), "decode answer")
	}
	return result, errs.Wrap(json.Unmarshal(body, &result), "decode answer")
}

func decodeError(status int, body []byte) error {
	if e, ok := DecodeError(status, body); ok {
		return e
	}
	return errors.Errorf("status %d", status)
}

// DecodeError returns the error in an answer of another daemon, or false if the answer is no typed error. WriteError sends
// each error with its own status.
func DecodeError(status int, body []byte) (*proto.Error, bool) {
	var e proto.Error
	err := json.Unmarshal(body, &e)
	return &e, err == nil && e.Code != "" && e.Status == status && status >= http.StatusBadRequest
}
