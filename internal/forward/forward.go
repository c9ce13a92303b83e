// Package forward passes requests on to another entry host, because this one does not reach the
// backend servers that could run them.
package forward

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

const (
	// maxHosts limits the hosts that are tried one after the other as long as the request certainly did
	// not run.
	maxHosts = 3
	// maxIdleNonRepeatable is the longest idle time of a connection that is reused for a request that
	// must not be repeated.
	maxIdleNonRepeatable = time.Second
	// answerMargin is how long after the deadline the other host's own answer is awaited.
	answerMargin = 100 * time.Millisecond
	// maxBufferedAnswer limits the size in bytes of an answer that is not streamed.
	maxBufferedAnswer = 16 << 20
	// streamBuffer is the size in bytes of the parts in which a stream is copied.
	streamBuffer    = 16 << 10
	eventStreamType = "text/event-stream"
)

// Host is an entry host that requests may be passed on to.
type Host struct{ ID, CallerAddress string }

// Forwarder passes requests on. It is safe for concurrent use.
type Forwarder struct {
	// Self is the ID of this host.
	Self string
	Pool *upstream.Pool
	// Pick returns a host that reaches a service, other than those excluded, and whether there is one.
	Pick func(service string, exclude map[string]bool) (Host, bool)
	// Served is called for each request that a server answered, with the host that it was passed on to; it may be
	// nil.
	Served func(host, service string)
}

// Request is a caller's request to be passed on.
type Request struct {
	*dispatch.Request
	// Config is the version of the configuration by which this host accepted the request.
	Config int64
	// Ran counts the attempts in which a replica may already have run it.
	Ran int
	// LastEvent is the number of the last event that the caller received of a stream that has begun, or 0.
	LastEvent int64
	// AllowRetry charges the retry budget for one more arrival at a replica, and reports whether it allows that. If it
	// does not, the other host is asked to charge its own, which may be larger: it counts the requests passed on to it.
	AllowRetry func() bool
}

// Report describes the outcome for logs.
type Report struct {
	// Host is the ID of the host that the request was sent to, "" if there was none.
	Host string
	// Status is the HTTP status of its answer, 0 without an answer.
	Status int
	// Rejected is set if the answer is the other host's own, not a replica's.
	Rejected bool
	// Retries counts the retries that this host charged because the one that ran the request had ended.
	Retries int
	// First is the time until the head of the answer was received.
	First time.Duration
}

// Send passes a request on and writes the answer to out. The other host applies its own
// configuration and limits, and counts the request as one of its own. If no host could
// be reached, or none of them reached a replica, the error is of kind NoBackend. A request that may be repeated goes on
// at another host if the one that runs it has ended.
func (f *Forwarder) Send(ctx context.Context, req *Request, out dispatch.Answer) (Report, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(answerMargin))
	defer cancel()
	t := f.newTransfer(req)
	t.out = out
	err := t.run(ctx)
	return t.report, err
}

// Begin passes a request on, in the place of a replica that is silent, and returns the answer once it has begun: that
// of a stream from after its last event on. charged is set if this host has charged the retry budget; else the other
// host has to.
func (f *Forwarder) Begin(ctx context.Context, req *Request, charged bool) (*dispatch.PassedOn, error) {
	t := f.newTransfer(req)
	t.chargeThere = !charged
	return t.begin(ctx)
}

func (f *Forwarder) newTransfer(req *Request) *transfer {
	return &transfer{f: f, req: req, began: clock.Now(), exclude: map[string]bool{f.Self: true}, ran: req.Ran, started: req.LastEvent > 0, lastEvent: req.LastEvent}
}

func (f *Forwarder) encode(req *Request, ran int, lastEvent int64, chargeRetry bool) *upstream.Request {
	maxIdle := time.Duration(0)
	if !req.Route.Repeatable() {
		maxIdle = maxIdleNonRepeatable
	}
	mark := platform.Forwarded{
		Host: f.Self, Config: req.Config, Ran: ran, ID: req.ID, Key: req.Caller.Key, Remaining: clock.Until(req.Deadline),
		ChargeRetry: chargeRetry,
	}
	if lastEvent > 0 {
		mark.LastEvent = strconv.FormatInt(lastEvent, 10)
	}
	return &upstream.Request{
		ID: req.ID, Method: req.Method, Target: req.Target, Host: req.Host, Body: req.Body, MaxIdle: maxIdle,
		Header: platform.EncodeForwarded(req.Header, mark),
	}
}

// copyAnswer writes the other host's answer to the caller, a stream as its parts arrive.
func (t *transfer) copyAnswer(ctx context.Context, resp *upstream.Response) error {
	if isSuccess(resp) && !resp.Answer.Sealed {
		resp.Finish(false)
		return errkind.New(errkind.BackendLost, "the host that the request was passed on to answered without a replica's seal")
	}
	if resp.Answer.Sealed && errkind.PromisesNotRun(resp.Status) && !t.req.Route.Repeatable() {
		resp.Discard()
		return errkind.New(errkind.BackendError, fmt.Sprintf("a replica of the host that the request was passed on to answered %d and does not state that it did not run the request", resp.Status))
	}
	if isEventStream(resp) && t.req.Route.Resumable {
		return t.copyEvents(ctx, resp)
	}
	if isEventStream(resp) {
		return t.copyStream(ctx, resp)
	}
	if resp.Length() > maxBufferedAnswer {
		return t.copyLarge(ctx, resp, nil)
	}
	beginning := &io.LimitedReader{R: resp.Body, N: maxBufferedAnswer}
	reserved := int64(0)
	room := roomIn(ctx, t.req.Memory)
	body, err := membudget.ReadAll(beginning, resp.Length(), func(bytes int64) error {
		err := room(bytes)
		if err == nil {
			reserved += bytes
		}
		return err
	})
	if err == nil && resp.Length() < 0 && beginning.N == 0 {
		return t.copyLarge(ctx, resp, body)
	}
	resp.Finish(err == nil)
	if err != nil {
		t.req.Memory.Return(membudget.Answer, reserved)
		return lost(ctx, err, "the answer of the host that the request was passed on to was cut")
	}
	if err := t.out.Buffered(resp.Status, platform.AnswerHeaders(resp.Header), body); err != nil {
		return errkind.Wrap(errkind.CallerGone, err, "the caller left")
	}
	return nil
}

func isEventStream(resp *upstream.Response) bool {
	return isSuccess(resp) && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
}

// copyLarge writes an answer of which the beginning was read, and the rest as it arrives.
func (t *transfer) copyLarge(ctx context.Context, resp *upstream.Response, beginning []byte) error {
	t.committed = true
	written, err := dispatch.CopyLarge(t.out, resp, beginning)
	resp.Finish(err == nil && written)
	switch {
	case !written:
		return errkind.Wrap(errkind.CallerGone, err, "the caller left")
	case err != nil:
		return lost(ctx, err, "the answer of the host that the request was passed on to was cut")
	}
	return nil
}

// roomIn returns what reserves the memory of an answer.
func roomIn(ctx context.Context, memory *membudget.Hold) membudget.Room {
	return func(bytes int64) error {
		if bytes < 0 {
			memory.Return(membudget.Answer, -bytes)
			return nil
		}
		return memory.Await(ctx, membudget.Answer, bytes, func() {})
	}
}

func (t *transfer) copyStream(ctx context.Context, resp *upstream.Response) error {
	t.committed = true
	if err := t.start(resp); err != nil {
		return err
	}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if err := t.out.Event(buffer[:n]); err != nil {
				resp.Finish(false)
				return errkind.Wrap(errkind.CallerGone, err, "the caller left")
			}
		}
		if errors.Is(err, io.EOF) {
			resp.Finish(true)
			return nil
		}
		if err != nil {
			resp.Finish(false)
			return lost(ctx, err, "the stream of the host that the request was passed on to was cut")
		}
	}
}

// lost returns the error for a request that may have run at the other host.
func lost(ctx context.Context, err error, reason string) error {
	switch ctx.Err() {
	case nil:
		return errkind.Wrap(errkind.BackendLost, err, reason)
	case context.DeadlineExceeded:
		return errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline passed")
	default:
		return errkind.Wrap(errkind.CallerGone, err, "the caller left")
	}
}
