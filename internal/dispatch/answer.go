package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

// refused takes a true "not run".
func (x *exchange) refused(resp *upstream.Response) (replica.Result, error) {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWhole))
	resp.Finish(err == nil)
	if resp.Status == http.StatusMisdirectedRequest {
		x.d.misdirected(x.choice, resp.Answer, x.req.Caller.Model)
	}
	reason := fmt.Sprintf("the replica refused with %d", resp.Status)
	if resp.Answer.RetryAfter > 0 {
		reason += fmt.Sprintf(" and asked this host to back off for %v", resp.Answer.RetryAfter)
	}
	return replica.Refused, errkind.New(errkind.BackendRefused, reason)
}

// misdirected learns from a replica that is not the one expected: another start
// has its address, or its weights are not those expected.
func (d *Dispatcher) misdirected(choice *schedule.Choice, a platform.ReplicaAnswer, model string) {
	if a.Instance != "" && a.Instance != choice.ID {
		d.replicas.RemoveAt(choice.ID, choice.Address)
		return
	}
	// Which weights it holds it does not say: those wanted by now may have overtaken
	// those of a late order.
	d.replicas.MarkUnsure(choice.ID, model, choice.Weights, clock.Now())
}

// whole reads the answer to its end before any of it is passed on, so that a
// broken one can be replaced.
func (x *exchange) whole(ctx context.Context, resp *upstream.Response) (replica.Result, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole))
	resp.Finish(err == nil)
	now := clock.Now()
	if err != nil {
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
			return replica.Cancelled, errkind.Wrap(errkind.BackendLost, err, "the attempt was ended")
		}
		return replica.Lost, errkind.Wrap(errkind.BackendLost, err, "the answer was cut")
	}
	x.choice.Flight.First(now)
	x.report.First = now.Sub(x.run.began)
	header := platform.AnswerHeaders(resp.Header)
	if resp.Status >= http.StatusInternalServerError {
		x.failure = &whole{resp.Status, header, body}
		return replica.Failed, errkind.New(errkind.BackendError, fmt.Sprintf("the replica answered %d", resp.Status))
	}
	x.report.Status = resp.Status
	if err := x.out.Whole(resp.Status, header, body); err != nil {
		return replica.Answered, errkind.Wrap(errkind.CallerGone, err, "the caller left")
	}
	return replica.Answered, nil
}

// stream passes events on as they come.
func (x *exchange) stream(ctx context.Context, resp *upstream.Response) (replica.Result, error) {
	x.fire(eventStream)
	events := newEventReader(resp.Body)
	stall := x.watchStall()
	defer stall.stop()
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			resp.Finish(true)
			return x.streamEnded(resp)
		}
		if err == nil {
			err = x.inOrder(ev)
		}
		if err != nil {
			resp.Finish(false)
			return x.streamLost(ctx, err)
		}
		stall.feed()
		if err := x.passOn(resp, ev); err != nil {
			resp.Finish(false)
			return replica.Cancelled, errkind.Wrap(errkind.CallerGone, err, "the caller left")
		}
	}
}

// inOrder checks that an event follows the one before it.
func (x *exchange) inOrder(ev event) error {
	if ev.number == 0 || x.lastEvent > 0 && ev.number != x.lastEvent+1 {
		return errEventNumber
	}
	return nil
}

func (x *exchange) passOn(resp *upstream.Response, ev event) error {
	now := clock.Now()
	x.choice.Flight.First(now)
	if !x.started {
		x.started = true
		x.answerBegins()
		x.report.First = now.Sub(x.run.began)
		x.report.Status = resp.Status
		x.d.scheduler.Read(x.choice, now)
		if err := x.out.Start(resp.Status, platform.AnswerHeaders(resp.Header)); err != nil {
			return err
		}
	}
	x.lastEvent = ev.number
	return x.out.Event(ev.data)
}

// streamEnded ends a stream that its replica ended cleanly.
func (x *exchange) streamEnded(resp *upstream.Response) (replica.Result, error) {
	if x.started {
		return replica.Answered, nil
	}
	// A resumed stream may have nothing left to say.
	x.started = true
	x.report.Status = resp.Status
	if err := x.out.Start(resp.Status, platform.AnswerHeaders(resp.Header)); err != nil {
		return replica.Answered, errkind.Wrap(errkind.CallerGone, err, "the caller left")
	}
	return replica.Answered, nil
}

func (x *exchange) streamLost(ctx context.Context, err error) (replica.Result, error) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		return replica.Cancelled, errkind.Wrap(errkind.BackendLost, err, "the attempt was ended")
	}
	if x.lastEvent > 0 {
		x.report.Resumed++
	}
	return replica.Lost, errkind.Wrap(errkind.BackendLost, err, "the stream was cut")
}
