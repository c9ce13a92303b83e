// Package errkind holds the closed list of error kinds and the one table that
// maps a kind to what a caller or operator is told.
package errkind

import (
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Kind is one entry of the closed list of error kinds.
type Kind int

// The closed list of error kinds.
const (
	// Internal is a fault of this program; the request may have run.
	Internal Kind = iota
	// InvalidRequest means the request is malformed.
	InvalidRequest
	// Unauthenticated means the key or token is missing or unknown.
	Unauthenticated
	// PermissionDenied means the organisation may not use what it asked for.
	PermissionDenied
	// NotFound means the object, route or model does not exist.
	NotFound
	// TooLarge means a size limit is exceeded.
	TooLarge
	// RateLimited means the organisation is over its ceiling.
	RateLimited
	// Overloaded means the deadline cannot be met with the present load.
	Overloaded
	// NotReady means this host has no configuration yet.
	NotReady
	// OutOfTouch means this host cannot know whether its configuration is current.
	OutOfTouch
	// Stopping means this host is shutting down.
	Stopping
	// LogUnavailable means the platform's log did not answer in time.
	LogUnavailable
	// KeyRejected means the idempotency key is not a UUIDv7 or its time is out of range.
	KeyRejected
	// KeyReused means the idempotency key belongs to another request.
	KeyReused
	// InDoubt means an earlier request with this key may have run.
	InDoubt
	// Undecided means this host cannot tell whether an earlier request with the
	// same key ran; this one was not sent.
	Undecided
	// NoBackend means no backend server can take the request.
	NoBackend
	// BackendUnreachable means nothing was sent to the backend server.
	BackendUnreachable
	// BackendRefused means the backend server refused before running anything.
	BackendRefused
	// BackendLost means the backend server was lost after the request was sent.
	BackendLost
	// BackendError means the backend server answered with an error.
	BackendError
	// DeadlineExceeded means the deadline passed after the request was sent.
	DeadlineExceeded
	// Conflict means the object changed since the version that was edited.
	Conflict
	// Stale means the change was read too long ago to be folded safely.
	Stale
	// OutcomeUnknown means a change may or may not be on the log.
	OutcomeUnknown
	count
)

// RunState says whether a request ran at a backend server.
type RunState string

// Run states as callers see them.
const (
	NotRun     RunState = "not_run"
	Ran        RunState = "ran"
	MayHaveRun RunState = "may_have_run"
)

// Answer is what a kind is answered with.
type Answer struct {
	// Name is the stable identifier given to callers.
	Name string
	// Status is the HTTP status.
	Status int
	// Code is the RPC code.
	Code connect.Code
	// Run is the run state that holds whenever this kind is answered.
	Run RunState
	// RetryAfter is the default for Retry-After; 0 means none is sent.
	RetryAfter time.Duration
}

var table = [count]Answer{
	Internal:           {"internal", http.StatusInternalServerError, connect.CodeInternal, MayHaveRun, 0},
	InvalidRequest:     {"invalid_request", http.StatusBadRequest, connect.CodeInvalidArgument, NotRun, 0},
	Unauthenticated:    {"unauthenticated", http.StatusUnauthorized, connect.CodeUnauthenticated, NotRun, 0},
	PermissionDenied:   {"permission_denied", http.StatusForbidden, connect.CodePermissionDenied, NotRun, 0},
	NotFound:           {"not_found", http.StatusNotFound, connect.CodeNotFound, NotRun, 0},
	TooLarge:           {"too_large", http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, NotRun, 0},
	RateLimited:        {"rate_limited", http.StatusTooManyRequests, connect.CodeResourceExhausted, NotRun, time.Second},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, connect.CodeResourceExhausted, NotRun, 2 * time.Second},
	NotReady:           {"not_ready", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, time.Second},
	OutOfTouch:         {"out_of_touch", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 5 * time.Second},
	Stopping:           {"stopping", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, time.Second},
	LogUnavailable:     {"log_unavailable", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 5 * time.Second},
	KeyRejected:        {"key_rejected", http.StatusUnprocessableEntity, connect.CodeFailedPrecondition, NotRun, 0},
	KeyReused:          {"key_reused", http.StatusConflict, connect.CodeAlreadyExists, NotRun, 0},
	InDoubt:            {"in_doubt", http.StatusConflict, connect.CodeUnknown, MayHaveRun, 0},
	Undecided:          {"undecided", http.StatusServiceUnavailable, connect.CodeUnavailable, MayHaveRun, time.Second},
	NoBackend:          {"no_backend", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 2 * time.Second},
	BackendUnreachable: {"backend_unreachable", http.StatusBadGateway, connect.CodeUnavailable, NotRun, time.Second},
	BackendRefused:     {"backend_refused", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, time.Second},
	BackendLost:        {"backend_lost", http.StatusBadGateway, connect.CodeUnknown, MayHaveRun, 0},
	BackendError:       {"backend_error", http.StatusBadGateway, connect.CodeUnknown, MayHaveRun, 0},
	DeadlineExceeded:   {"deadline_exceeded", http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, MayHaveRun, 0},
	Conflict:           {"conflict", http.StatusConflict, connect.CodeAborted, NotRun, 0},
	Stale:              {"stale", http.StatusConflict, connect.CodeAborted, NotRun, 0},
	OutcomeUnknown:     {"outcome_unknown", http.StatusServiceUnavailable, connect.CodeUnknown, MayHaveRun, time.Second},
}

// All returns every kind in the order of the list.
func All() []Kind {
	kinds := make([]Kind, count)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Answer returns the table's row for k.
func (k Kind) Answer() Answer { return table[k] }

// String returns the stable name of k.
func (k Kind) String() string { return table[k].Name }

// Error is an error with a kind.
type Error struct {
	Kind Kind
	// Reason is a sentence for the caller, without secrets.
	Reason string
	// RetryAfter overrides the table's value when positive.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k.
func New(k Kind, reason string) *Error { return &Error{Kind: k, Reason: reason} }

// Wrap returns an error of kind k caused by err.
func Wrap(k Kind, err error, reason string) *Error {
	return &Error{Kind: k, Reason: reason, cause: err}
}

// After returns e with an explicit Retry-After.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	msg := e.Kind.String() + ": " + e.Reason
	if e.cause != nil {
		msg += ": " + e.cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Retry returns how long the caller should wait, or 0 when a retry is of no use.
func (e *Error) Retry() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Answer().RetryAfter
}

// From returns err as an *Error; one without a kind becomes Internal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}

// Is reports whether err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
