// Package errkind defines the closed list of error kinds and the table that maps each
// kind to the answer that callers and operators receive.
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
	// Internal is a fault in this program; the request may have run.
	Internal Kind = iota
	// InvalidRequest means the request is malformed.
	InvalidRequest
	// Unauthenticated means the API key is missing or unknown.
	Unauthenticated
	// NotFound means no route matches.
	NotFound
	// TooLarge means a size limit is exceeded.
	TooLarge
	// Quarantined means backend servers crash while running the request.
	Quarantined
	// QuotaExceeded means the organisation is at its rate limit.
	QuotaExceeded
	// Overloaded means the request cannot be answered in time under the present load.
	Overloaded
	// NotReady means this host has no configuration yet.
	NotReady
	// OutOfTouch means this host cannot tell whether its configuration is current.
	OutOfTouch
	// Stopping means this host is shutting down.
	Stopping
	// NoBackend means no backend server can accept the request.
	NoBackend
	// BackendUnreachable means no connection to the backend server could be made;
	// nothing was sent.
	BackendUnreachable
	// BackendRefused means the backend server rejected the request without running it.
	BackendRefused
	// BackendLost means the backend server was lost after the request was sent.
	BackendLost
	// BackendError means the backend server answered with an error.
	BackendError
	// DeadlineExceeded means the deadline passed after the request was sent.
	DeadlineExceeded
	// CallerGone means the caller closed its connection.
	CallerGone
	// BodyTooSlow means the body did not arrive before the deadline, or too slowly while this host was short of memory.
	BodyTooSlow
	count
)

// RunState says whether a request ran on a backend server.
type RunState string

// Run states as reported to callers.
const (
	NotRun     RunState = "not_run"
	Ran        RunState = "ran"
	MayHaveRun RunState = "may_have_run"
)

// Answer describes how errors of a kind are answered.
type Answer struct {
	// Name is the stable identifier reported to callers.
	Name string
	// Status is the HTTP status.
	Status int
	// Code is the RPC code.
	Code connect.Code
	// Run is the run state that holds for every answer of this kind.
	Run RunState
	// RetryAfter is the default of the Retry-After header; 0 means that the header is
	// not sent.
	RetryAfter time.Duration
}

var table = [count]Answer{
	Internal:           {"internal", http.StatusInternalServerError, connect.CodeInternal, MayHaveRun, 0},
	InvalidRequest:     {"invalid_request", http.StatusBadRequest, connect.CodeInvalidArgument, NotRun, 0},
	Unauthenticated:    {"unauthenticated", http.StatusUnauthorized, connect.CodeUnauthenticated, NotRun, 0},
	NotFound:           {"not_found", http.StatusNotFound, connect.CodeNotFound, NotRun, 0},
	TooLarge:           {"too_large", http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, NotRun, 0},
	Quarantined:        {"quarantined", http.StatusBadRequest, connect.CodeFailedPrecondition, NotRun, 0},
	QuotaExceeded:      {"quota_exceeded", http.StatusTooManyRequests, connect.CodeResourceExhausted, NotRun, 500 * time.Millisecond},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, connect.CodeResourceExhausted, NotRun, 500 * time.Millisecond},
	NotReady:           {"not_ready", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 300 * time.Millisecond},
	OutOfTouch:         {"out_of_touch", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 300 * time.Millisecond},
	Stopping:           {"stopping", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 50 * time.Millisecond},
	NoBackend:          {"no_backend", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 300 * time.Millisecond},
	BackendUnreachable: {"backend_unreachable", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 300 * time.Millisecond},
	BackendRefused:     {"backend_refused", http.StatusServiceUnavailable, connect.CodeUnavailable, NotRun, 200 * time.Millisecond},
	BackendLost:        {"backend_lost", http.StatusBadGateway, connect.CodeUnknown, MayHaveRun, 0},
	BackendError:       {"backend_error", http.StatusBadGateway, connect.CodeUnknown, MayHaveRun, 0},
	DeadlineExceeded:   {"deadline_exceeded", http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, MayHaveRun, 0},
	CallerGone:         {"caller_gone", statusCallerGone, connect.CodeCanceled, MayHaveRun, 0},
	BodyTooSlow:        {"body_too_slow", http.StatusRequestTimeout, connect.CodeAborted, NotRun, 500 * time.Millisecond},
}

// statusCallerGone appears in logs only: the caller is gone and receives no answer.
const statusCallerGone = 499

// All returns every kind in order of declaration.
func All() []Kind {
	kinds := make([]Kind, count)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Answer returns how errors of kind k are answered.
func (k Kind) Answer() Answer { return table[k] }

// String returns the stable name of k.
func (k Kind) String() string { return table[k].Name }

// ByName returns the kind with a stable name, and whether there is one.
func ByName(name string) (Kind, bool) {
	for k := range count {
		if k.String() == name {
			return k, true
		}
	}
	return Internal, false
}

// PromisesNotRun reports whether callers take a status as a promise that their request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Refusal reports whether the answer rejects a request that has not run and may be retried.
func (a Answer) Refusal() bool { return a.Run == NotRun && a.RetryAfter > 0 }

// Denial reports whether the answer rejects a request that has not run and for which a
// retry is of no use.
func (a Answer) Denial() bool { return a.Run == NotRun && a.RetryAfter == 0 }

// Error is an error with a kind.
type Error struct {
	Kind Kind
	// Reason explains the error to the caller; it contains no secrets.
	Reason string
	// RetryAfter overrides the kind's default when positive.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k.
func New(k Kind, reason string) *Error { return &Error{Kind: k, Reason: reason} }

// Wrap returns an error of kind k caused by err.
func Wrap(k Kind, err error, reason string) *Error {
	return &Error{Kind: k, Reason: reason, cause: err}
}

// After sets an explicit Retry-After and returns e.
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

// Retry returns how long the caller should wait before a retry, or 0 when a retry is of
// no use.
func (e *Error) Retry() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Answer().RetryAfter
}

// From returns err as an *Error; an error without a kind becomes Internal.
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
