package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

// errNotRun means that a host certainly did not have the request run.
var errNotRun = errors.New("the host did not have the request run")

// transfer is one request while it is passed on.
type transfer struct {
	f     *Forwarder
	req   *Request
	out   dispatch.Answer
	began time.Time
	// exclude has the hosts that were tried.
	exclude map[string]bool
	// ran counts the attempts in which a replica may have run the request. Each host that was lost counts as one:
	// how many it made is not known.
	ran int
	// started is set once the caller has the head of an answer, and committed if no other host can go on with it.
	started, committed bool
	// lastEvent is the number of the last event that the caller received, 0 before the first.
	lastEvent int64
	// chargeThere is set if the next host has to charge the retry.
	chargeThere bool
	report      Report
}

// run tries hosts until one has answered or no other may be tried.
func (t *transfer) run(ctx context.Context) error {
	lastErr := errNoHost()
	for tries := 0; tries < maxHosts; {
		host, ok := t.f.Pick(t.req.Service.Name, t.exclude)
		if !ok {
			break
		}
		t.exclude[host.ID] = true
		err := t.try(ctx, host)
		if errors.Is(err, errNotRun) {
			tries++
			continue
		}
		if err == nil || !t.mayRepeat(ctx, host, err) {
			return err
		}
		lastErr = errkind.From(err)
		tries = 0
	}
	return lastErr
}

// begin tries hosts until one has begun to answer with success.
func (t *transfer) begin(ctx context.Context) (*dispatch.PassedOn, error) {
	for range maxHosts {
		host, ok := t.f.Pick(t.req.Service.Name, t.exclude)
		if !ok {
			break
		}
		t.exclude[host.ID] = true
		resp, err := t.send(ctx, host)
		if errors.Is(err, errNotRun) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if err := awaitBeginning(resp); err != nil {
			resp.Finish(false)
			return nil, err
		}
		return &dispatch.PassedOn{
			Host: host.ID, Status: resp.Status, Abandon: func() { resp.Finish(false) },
			Copy: func(out dispatch.Answer) error { return t.copyOrGoOn(ctx, host, resp, out) },
		}, nil
	}
	return nil, errNoHost()
}

// awaitBeginning waits for the first event of a stream. It returns an error if the answer is no replica's, or a failure.
func awaitBeginning(resp *upstream.Response) error {
	if !resp.Answer.Sealed || resp.Status >= http.StatusInternalServerError {
		return errkind.New(errkind.BackendLost, fmt.Sprintf("the host that the request was passed on to answered %d", resp.Status))
	}
	if !isEventStream(resp) {
		return nil
	}
	if err := dispatch.AwaitEvent(resp); err != nil {
		return errkind.Wrap(errkind.BackendLost, err, "the stream ended before its first event")
	}
	return nil
}

// copyOrGoOn writes an answer that has begun, and goes on at another host if the one that runs it has ended.
func (t *transfer) copyOrGoOn(ctx context.Context, host Host, resp *upstream.Response, out dispatch.Answer) error {
	t.out = out
	err := t.copyAnswer(ctx, resp)
	if err != nil && t.mayRepeat(ctx, host, err) {
		err = t.run(ctx)
	}
	return err
}

func errNoHost() *errkind.Error {
	return errkind.New(errkind.NoBackend, "this host reaches no replica of the service, and no other host that does can be reached")
}

// try passes the request on to one host. The error is errNotRun if another one may be tried in any case.
func (t *transfer) try(ctx context.Context, host Host) error {
	resp, err := t.send(ctx, host)
	if err != nil {
		return err
	}
	return t.copyAnswer(ctx, resp)
}

// send passes the request on to one host and returns the answer, of which the head was read.
func (t *transfer) send(ctx context.Context, host Host) (*upstream.Response, error) {
	ranBefore := t.started || t.ran > 0
	resp, err := t.f.Pool.Send(ctx, host.CallerAddress, t.f.encode(t.req, t.ran, t.lastEvent, t.chargeThere))
	var failed *upstream.Error
	if errors.As(err, &failed) && !failed.Sent {
		switch {
		case ctx.Err() == nil:
			return nil, errNotRun
		case errors.Is(ctx.Err(), context.DeadlineExceeded) && !ranBefore:
			return nil, errkind.Wrap(errkind.Overloaded, err, "the deadline passed before the request was passed on to another host")
		}
	}
	if err != nil {
		t.arrived(host)
		t.ran++
		return nil, lost(ctx, err, "the host that the request was passed on to was lost")
	}
	if !resp.Answer.Sealed && !resp.Own && errkind.PromisesNotRun(resp.Status) {
		// It may be a late answer to another request on the connection.
		resp.Finish(false)
		t.arrived(host)
		t.ran++
		return nil, errkind.New(errkind.BackendLost, fmt.Sprintf("the host that the request was passed on to answered %d without the request's ID", resp.Status))
	}
	if isUnreached(resp) || ranBefore && isRejection(resp) {
		// The rejection states that the request did not run.
		resp.Discard()
		return nil, errNotRun
	}
	t.arrived(host)
	if resp.Answer.Sealed {
		t.ran++
		if t.f.Served != nil {
			t.f.Served(host.ID, t.req.Service.Name)
		}
	}
	if t.started && !isEventStream(resp) {
		resp.Discard()
		return nil, errkind.New(errkind.BackendLost, "another host answered in place of the rest of the stream")
	}
	t.report.Status, t.report.Rejected = resp.Status, !resp.Answer.Sealed
	return resp, nil
}

// arrived records that a host answered or was lost with the request.
func (t *transfer) arrived(host Host) {
	t.report.Host = host.ID
	if t.report.First == 0 {
		t.report.First = clock.Since(t.began)
	}
}

// mayRepeat reports whether another host may be sent the request after err, and charges this host's retry budget if
// that allows it. A host that still accepts connections has ended the answer itself, as its own attempts or retries
// are used up.
func (t *transfer) mayRepeat(ctx context.Context, host Host, err error) bool {
	route := t.req.Route
	if !errkind.Is(err, errkind.BackendLost) || t.committed || !route.Repeatable() || t.ran >= route.Attempts {
		return false
	}
	if t.f.Pool.Probe(ctx, host.CallerAddress) == nil {
		return false
	}
	if ctx.Err() != nil || !clock.Now().Before(t.req.Deadline) {
		return false
	}
	t.chargeThere = !t.req.AllowRetry()
	if !t.chargeThere {
		t.report.Retries++
	}
	return true
}

// copyEvents writes the events of a stream that may be resumed as they arrive. An event that is cut is not written.
func (t *transfer) copyEvents(ctx context.Context, resp *upstream.Response) error {
	if err := t.start(resp); err != nil {
		return err
	}
	memory := roomIn(ctx, t.req.Memory)
	reserved := int64(0)
	defer func() { t.req.Memory.Return(membudget.Answer, reserved) }()
	events := dispatch.NewEventReader(resp.Body, t.lastEvent, func(size int) error {
		for streamBuffer+reserved < int64(size) {
			if err := memory(membudget.Step); err != nil {
				return err
			}
			reserved += membudget.Step
		}
		return nil
	})
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			resp.Finish(true)
			return nil
		}
		if err != nil {
			resp.Finish(false)
			return lost(ctx, err, "the stream of the host that the request was passed on to was cut")
		}
		if err := t.out.Event(event); err != nil {
			resp.Finish(false)
			return errkind.Wrap(errkind.CallerGone, err, "the caller left")
		}
		t.lastEvent = events.Last()
		t.req.Memory.Return(membudget.Answer, reserved)
		reserved = 0
	}
}

// start writes the head of a stream, which stays that of its first replica.
func (t *transfer) start(resp *upstream.Response) error {
	if t.started {
		return nil
	}
	t.started = true
	if err := t.out.Start(resp.Status, platform.AnswerHeaders(resp.Header)); err != nil {
		resp.Finish(false)
		return errkind.Wrap(errkind.CallerGone, err, "the caller left")
	}
	return nil
}

// isUnreached reports whether an answer is the other host's own and states that it reached no replica.
func isUnreached(resp *upstream.Response) bool {
	return !resp.Answer.Sealed && platform.Unreached(resp.Header)
}

// isRejection reports whether an answer is the other host's own and states that the request did not run.
func isRejection(resp *upstream.Response) bool {
	return !resp.Answer.Sealed && resp.Status >= http.StatusBadRequest && (resp.Status < http.StatusInternalServerError || resp.Status == http.StatusServiceUnavailable)
}

func isSuccess(resp *upstream.Response) bool {
	return resp.Status >= http.StatusOK && resp.Status < http.StatusMultipleChoices
}
