package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/limit"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Organisation string
	// Addresses of the service's instances.
	Addresses  []string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
	// MaxAnswerBytes bounds the answer.
	MaxAnswerBytes int64
}

// ServiceAnswer is a plain service's whole answer.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services calls plain services. It is safe for concurrent use.
type Services struct {
	client  *http.Client
	retries *limit.RetryBudget
}

// NewServices returns a caller of plain services with its own connections.
func NewServices(retries *limit.RetryBudget) *Services {
	return &Services{
		client: &http.Client{
			Transport: newTransport(),
			// A redirect is the service's answer, and is the caller's to follow.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		retries: retries,
	}
}

// Call tries the instances in random order. Another instance is tried only when
// the call surely did not run, or may be repeated.
func (s *Services) Call(ctx context.Context, call *ServiceCall) (*ServiceAnswer, error) {
	s.retries.Request(call.Organisation)
	mayHaveRun := false
	var last error
	for n, i := range rand.Perm(len(call.Addresses)) {
		if n > 0 && !s.retries.Retry(call.Organisation) {
			break
		}
		answer, err := s.once(ctx, call, call.Addresses[i])
		if err == nil {
			return answer, nil
		}
		last = err
		mayHaveRun = mayHaveRun || errkind.From(err).Kind.Answer().Run != errkind.NotRun
		if ctx.Err() != nil || mayHaveRun && !call.Repeatable {
			break
		}
	}
	return nil, serviceError(ctx, last, mayHaveRun)
}

func serviceError(ctx context.Context, last error, mayHaveRun bool) error {
	switch {
	case last == nil:
		return errkind.New(errkind.NoBackend, "the service has no instance")
	case mayHaveRun && ctx.Err() != nil:
		return errkind.Wrap(errkind.DeadlineExceeded, last, "the deadline passed")
	case mayHaveRun:
		return errkind.Wrap(errkind.BackendLost, last, "the service was lost after the request was sent")
	default:
		return last
	}
}

func (s *Services) once(ctx context.Context, call *ServiceCall, address string) (*ServiceAnswer, error) {
	mark := &sendMark{}
	req, err := http.NewRequestWithContext(mark.watch(ctx), call.Method, "http://"+address+call.Path, unrewindable(call.Body))
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "the call cannot be built")
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Header.Clone()
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, mark.classify(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.MaxAnswerBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendLost, err, "the service's answer was cut")
	}
	if int64(len(body)) > call.MaxAnswerBytes {
		return nil, errkind.New(errkind.BackendError, "the service's answer is too large")
	}
	return &ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
