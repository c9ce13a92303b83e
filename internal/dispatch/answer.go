package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

// handleNotRun handles an answer stating that the replica did not run the request.
func (x *exchange) handleNotRun(resp *upstream.Response) (replica.Result, error) {
	resp.Discard()
	if resp.Status == http.StatusServiceUnavailable {
		x.recordRejection(x.choice.ID, clock.Now())
	}
	if resp.Status == http.StatusServiceUnavailable && x.choice.Flight.Rejected(clock.Now()) {
		x.d.scheduler.NotifyPeers()
	}
	if resp.Status == http.StatusMisdirectedRequest {
		x.d.handleMisdirected(x.choice, resp.Answer, x.req.Caller.Model)
	}
	reason := fmt.Sprintf("the replica refused with %d", resp.Status)
	if resp.Answer.RetryAfter > 0 {
		reason += fmt.Sprintf(" and asked this host to back off for %v", resp.Answer.RetryAfter)
	}
	return replica.Refused, errkind.New(errkind.BackendRefused, reason)
}

// handleMisdirected handles the answer of a replica that is not the expected one: another
// incarnation has its address, or it holds other weights than expected.
func (d *Dispatcher) handleMisdirected(choice *schedule.Choice, a platform.ReplicaAnswer, model string) {
	if a.Instance != "" && a.Instance != choice.ID {
		d.replicas.RemoveAt(choice.ID, choice.Address)
		return
	}
	// The answer does not state which weights the replica holds. Newer ones may have been
	// requested while a delayed load command was carried out, so the version is not guessed.
	d.replicas.MarkUnverified(choice.ID, model, choice.Weights, clock.Now())
}

// forwardBuffered reads the answer to its end before any of it is forwarded, so that the
// request can be retried if the answer breaks off. Large answers are forwarded as they arrive.
func (x *exchange) forwardBuffered(resp *upstream.Response) (replica.Result, error) {
	x.takeover.await()
	body, whole, err := x.readAnswer(x.ctx, resp)
	if goesOn := x.takeover.received(err != nil); !goesOn {
		resp.Finish(false)
		return x.lost(errUnresponsive, "another replica answers")
	}
	if err == nil && !whole {
		return x.forwardLarge(resp, body)
	}
	resp.Finish(err == nil)
	now := clock.Now()
	if errors.Is(err, membudget.ErrNoRoom) {
		return replica.Cancelled, errkind.Wrap(errkind.Internal, err, "the answer is larger than this host's memory budget")
	}
	if err != nil {
		return x.lost(err, "the answer was cut")
	}
	x.choice.Flight.AnswerStarted(now)
	x.report.First = now.Sub(x.run.began)
	header := platform.AnswerHeaders(resp.Header)
	if resp.Status >= http.StatusInternalServerError {
		x.errorAnswer = &bufferedAnswer{resp.Status, header, body}
		return replica.Failed, errkind.New(errkind.BackendError, fmt.Sprintf("the replica answered %d", resp.Status))
	}
	x.recordServed(now)
	x.report.Status = resp.Status
	if err := x.out.Buffered(resp.Status, header, body); err != nil {
		return replica.Answered, errkind.Wrap(errkind.CallerGone, err, "the caller left")
	}
	return replica.Answered, nil
}

// withholdPromise ends an attempt whose replica ran the request and answered with a status that would tell the caller
// that it did not.
func (x *exchange) withholdPromise(resp *upstream.Response) (replica.Result, error) {
	resp.Discard()
	now := clock.Now()
	x.choice.Flight.AnswerStarted(now)
	x.report.First, x.report.Status = now.Sub(x.run.began), resp.Status
	err := errkind.New(errkind.BackendError, fmt.Sprintf("the replica answered %d and does not state that it did not run the request", resp.Status))
	if resp.Status >= http.StatusInternalServerError {
		return replica.Failed, err
	}
	x.recordServed(now)
	return replica.Answered, err
}

// forwardLarge forwards an answer of which the beginning was read, and the rest as it arrives. One that breaks
// off is aborted, and cannot be retried.
func (x *exchange) forwardLarge(resp *upstream.Response, beginning []byte) (replica.Result, error) {
	x.committed = true
	room := x.streamRoom(x.ctx)
	defer room.release()
	if err := room.open(); err != nil {
		resp.Finish(false)
		return x.lost(err, "there was no memory for the answer")
	}
	now := clock.Now()
	x.choice.Flight.AnswerStarted(now)
	x.report.First, x.report.Status = now.Sub(x.run.began), resp.Status
	x.started = true
	written, err := CopyLarge(x.out, resp, beginning)
	resp.Finish(err == nil && written)
	switch {
	case !written:
		return replica.Cancelled, errkind.Wrap(errkind.CallerGone, err, "the caller left")
	case err != nil:
		return x.lost(err, "the answer was cut")
	case resp.Status >= http.StatusInternalServerError:
		return replica.Failed, nil
	}
	x.recordServed(now)
	return replica.Answered, nil
}

// largeBuffer is the size in bytes of the pieces in which a large answer is forwarded.
const largeBuffer = 8 << 10

// CopyLarge writes an answer of which the beginning was read, and the rest as it arrives. written is false if err is
// that of out.
func CopyLarge(out Answer, resp *upstream.Response, beginning []byte) (written bool, err error) {
	header := platform.AnswerHeaders(resp.Header)
	if resp.Length() >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.Length(), 10))
	}
	if err := out.Start(resp.Status, header); err != nil {
		return false, err
	}
	if len(beginning) > 0 {
		if err := out.Event(beginning); err != nil {
			return false, err
		}
	}
	buffer := make([]byte, largeBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if err := out.Event(buffer[:n]); err != nil {
				return false, err
			}
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return true, err
		}
	}
}

// forwardStream forwards events to the caller as they arrive.
func (x *exchange) forwardStream(resp *upstream.Response) (replica.Result, error) {
	x.fire(eventStream)
	room := x.streamRoom(x.ctx)
	defer room.release()
	if err := room.open(); err != nil {
		resp.Finish(false)
		return x.streamLost(err)
	}
	return x.forwardEvents(resp, room)
}

func (x *exchange) forwardEvents(resp *upstream.Response, room *streamRoom) (replica.Result, error) {
	events := newEventReader(resp.Body)
	events.room = room.grow
	x.takeover.await()
	for {
		ev, err := events.next()
		if err == nil {
			x.heardAt = clock.Now()
			err = ev.checkOrder(x.lastEvent)
		}
		ended := errors.Is(err, io.EOF)
		if goesOn := x.takeover.received(err != nil && !ended); !goesOn && (err == nil || ended) {
			err, ended = errUnresponsive, false
		}
		if ended {
			resp.Finish(true)
			return x.streamEnded(resp)
		}
		if err != nil {
			resp.Finish(false)
			return x.streamLost(err)
		}
		if err := x.forwardEvent(resp, ev); err != nil {
			resp.Finish(false)
			return replica.Cancelled, errkind.Wrap(errkind.CallerGone, err, "the caller left")
		}
		room.forwarded()
		x.takeover.awaitEvent()
	}
}

func (x *exchange) forwardEvent(resp *upstream.Response, ev event) error {
	now := x.heardAt
	x.choice.Flight.AnswerStarted(now)
	x.recordSurvival(now)
	if !x.started {
		x.started = true
		x.unwatchQuarantine()
		x.report.First = now.Sub(x.run.began)
		x.report.Status = resp.Status
		x.d.scheduler.PrefillDone(x.choice, now)
		x.recordServed(now)
		if err := x.out.Start(resp.Status, platform.AnswerHeaders(resp.Header)); err != nil {
			return err
		}
	}
	x.lastEvent = ev.number
	return x.out.Event(ev.data)
}

// survivalTime is how long after its first event a stream shows that its request does not crash the
// server.
const survivalTime = 2 * time.Second

// recordSurvival clears the request of crashes once its server has gone on with the answer for
// survivalTime. Long streams may not end between the crashes of several servers.
func (x *exchange) recordSurvival(now time.Time) {
	if x.firstEventAt.IsZero() {
		x.firstEventAt = now
	}
	if !x.survived && now.Sub(x.firstEventAt) >= survivalTime {
		x.survived = true
		x.d.crashes.Answered(x.fingerprint, now, now)
	}
}

// streamEnded handles the clean end of a stream.
func (x *exchange) streamEnded(resp *upstream.Response) (replica.Result, error) {
	if x.started {
		return replica.Answered, nil
	}
	// The stream ended without any event; the caller still needs the headers.
	x.started = true
	x.report.Status = resp.Status
	if err := x.out.Start(resp.Status, platform.AnswerHeaders(resp.Header)); err != nil {
		return replica.Answered, errkind.Wrap(errkind.CallerGone, err, "the caller left")
	}
	return replica.Answered, nil
}

func (x *exchange) streamLost(err error) (replica.Result, error) {
	result, err := x.lost(err, "the stream was cut")
	if result == replica.Lost && x.lastEvent > 0 {
		x.report.Resumed++
	}
	return result, err
}

// lost returns the result of an attempt whose answer has not arrived completely.
func (x *exchange) lost(err error, how string) (replica.Result, error) {
	if x.ctx.Err() != nil && !errors.Is(context.Cause(x.ctx), errUnresponsive) {
		return replica.Cancelled, errkind.Wrap(errkind.BackendLost, err, "the attempt was ended")
	}
	return replica.Lost, errkind.Wrap(errkind.BackendLost, err, how)
}
