package proto

import (
	"fmt"
	"net/http"
)

// Code identifies the reason for a refusal. Codes are stable; messages are not.
type Code string

// Refusal codes; docs/PROTOCOL.md describes when each is used.
const (
	CodeBadRequest      Code = "bad_request"
	CodeTooLarge        Code = "too_large"
	CodeUnknownService  Code = "unknown_service"
	CodeMissingKey      Code = "missing_key"
	CodeBadRequestID    Code = "bad_request_id"
	CodeIDExpired       Code = "request_id_expired"
	CodeIDReused        Code = "request_id_reused"
	CodeNameInUse       Code = "name_in_use"
	CodeSuperseded      Code = "superseded"
	CodeNoUpstream      Code = "no_upstream"
	CodeNoLease         Code = "no_lease"
	CodeNoLeader        Code = "no_leader"
	CodeNotLeader       Code = "not_leader"
	CodeOverloaded      Code = "overloaded"
	CodeLimited         Code = "limited"
	CodeDeadline        Code = "deadline"
	CodeStaleGrant      Code = "stale_grant"
	CodeUpstreamFailed  Code = "upstream_failed"
	CodeConnectionLost  Code = "connection_lost"
	CodeCrossedAnswer   Code = "crossed_answer"
	CodeTruncatedAnswer Code = "truncated_answer"
	CodeInvalidAnswer   Code = "invalid_answer"
	CodeInProgress      Code = "in_progress"
	CodeAnswerNotKept   Code = "answer_not_kept"
	CodeQuarantined     Code = "quarantined"
	CodeUnauthorized    Code = "unauthorized"
	CodeNotFound        Code = "not_found"
	CodeConflict        Code = "conflict"
	CodeStalePlan       Code = "stale_plan"
	CodeInternal        Code = "internal"
	CodeStopping        Code = "stopping"
)

// CodeUpstreamShed is used between daemons only; callers receive CodeOverloaded.
const CodeUpstreamShed Code = "upstream_shed"

// Error is the body of every response that comes from the system itself rather than from an upstream.
type Error struct {
	Code         Code    `json:"code"`
	Status       int     `json:"status"`
	Message      string  `json:"message"`
	Outcome      Outcome `json:"outcome,omitempty"`
	RequestID    string  `json:"request_id,omitempty"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
	// Leader is the control address of the leader, if known; set with CodeNotLeader.
	Leader string `json:"leader,omitempty"`
}

// NotRun returns an error for a request that is known not to have been executed.
func NotRun(code Code, status int, format string, args ...any) *Error {
	return &Error{Code: code, Status: status, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun}
}

// Unknown returns an error for a request that may have been executed.
func Unknown(code Code, format string, args ...any) *Error {
	return &Error{
		Code: code, Status: http.StatusBadGateway,
		Message: fmt.Sprintf(format, args...), Outcome: OutcomeUnknown,
	}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// WithRequestID returns a copy with the ID of the request.
func (e *Error) WithRequestID(id string) *Error {
	c := *e
	c.RequestID = id
	return &c
}

// WithRetryAfterMs returns a copy with the delay after which the caller may retry.
func (e *Error) WithRetryAfterMs(ms int64) *Error {
	c := *e
	c.RetryAfterMs = ms
	return &c
}
