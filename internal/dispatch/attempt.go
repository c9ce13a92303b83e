package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/canary"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

const (
	// maxBufferedAnswer is the size in bytes up to which an answer is read before it is forwarded.
	maxBufferedAnswer = 16 << 20
	// maxIdleNonRepeatable is the longest idle time of a connection that is reused for a
	// request that must not be retried. The request would be lost if the replica closed the
	// connection at the same moment, while a new connection costs only a millisecond.
	maxIdleNonRepeatable = time.Second
	eventStreamType      = "text/event-stream"
)

// exchange is one attempt to run a request at one replica.
type exchange struct {
	*run
	choice *schedule.Choice
	began  time.Time
	// parent is the context of the request, ctx that of the attempt, which cancel ends.
	parent, ctx context.Context
	cancel      context.CancelCauseFunc
	// resumeAfter is the number of the event after which a stream is continued, 0 for one that begins.
	resumeAfter int64
	// ran is set if the replica may have run the request.
	ran bool
	// head describes the answer that arrived, nil without one.
	head *AnswerHead
	// takeover has another replica answer if this one is silent; successor is the answer that has begun there, nil without one.
	takeover  *takeover
	successor successor
	// hangWatch checks for an unresponsive replica; nil if no other replica may be tried.
	hangWatch *hangWatch
	// heardAt is when the replica last sent something.
	heardAt time.Time
	// beside is the silent replica beside which this one is tried, and after how long it had been silent; "" if
	// the attempt is no takeover.
	beside string
	after  time.Duration
	// untilClose is set if the answer ends with its connection.
	untilClose bool
	// firstEventAt is when this attempt's first event arrived, and survived is set once the stream has
	// gone on for survivalTime.
	firstEventAt time.Time
	survived     bool
	// stopQuarantineWatch stops watching for a quarantine of the request; nil once the stream
	// has started.
	stopQuarantineWatch func()
}

// newExchange returns an attempt that is about to begin.
func (r *run) newExchange(choice *schedule.Choice, parent, ctx context.Context, cancel context.CancelCauseFunc) *exchange {
	x := &exchange{run: r, choice: choice, parent: parent, ctx: ctx, cancel: cancel, began: clock.Now(), resumeAfter: r.lastEvent}
	x.takeover = x.newTakeover()
	r.active = append(r.active, choice.ID)
	x.watchHang()
	return x
}

// attempt sends the request to the chosen replica and forwards its answer. It returns the attempt that goes
// on in its place, if there is one.
func (r *run) attempt(parent context.Context, choice *schedule.Choice) (successor, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	x := r.newExchange(choice, parent, ctx, cancel)
	x.watchQuarantine()
	defer x.unwatchQuarantine()
	resp, result, err := x.open()
	if err == nil {
		result, err = x.forward(resp)
	}
	err = x.end(result, err)
	return x.successor, err
}

// end records the result of the attempt, and returns its error.
func (x *exchange) end(result replica.Result, err error) error {
	r := x.run
	x.hangWatch.stop()
	r.active = slices.DeleteFunc(r.active, func(id string) bool { return id == x.choice.ID })
	if err != nil && errors.Is(context.Cause(x.ctx), errUnresponsive) {
		result = replica.Lost
		err = errkind.Wrap(errkind.BackendLost, errUnresponsive, "the replica does not answer")
	}
	x.recordCrashEvidence(result, err)
	x.choice.Flight.End(result, clock.Now())
	x.recordVersionOutcome(result)
	if result == replica.ConnectTimeout || result == replica.Unreachable {
		r.report.Unreachable = true
	}
	if result == replica.ConnectTimeout {
		r.connectTimedOut = x.choice.ID
	}
	if err != nil && r.report.First == 0 {
		r.d.scheduler.PrefillFailed(x.choice)
	}
	x.recordAttempt(result, err)
	return err
}

// recordVersionOutcome counts the result for the canary release of the server's software
// version. Results that say nothing about the version, such as a refusal, a caller that left
// or a lost server, are not counted.
func (x *exchange) recordVersionOutcome(result replica.Result) {
	if result != replica.Answered && result != replica.Failed {
		return
	}
	x.d.scheduler.Canaries.RecordAnswer(x.req.Service.Name, x.choice.Software, canary.Answer{
		Route: x.req.Route.Name, Server: x.choice.ID, Failed: result == replica.Failed, Ratio: x.choice.Flight.Ratio(),
	})
}

// recordCrashEvidence reports the result to the detection of crashed servers and of poison
// requests.
func (x *exchange) recordCrashEvidence(result replica.Result, err error) {
	now := clock.Now()
	switch {
	case result == replica.Answered && x.report.Status >= http.StatusBadRequest:
		// The server may not have run the request.
	case result == replica.Answered && x.untilClose:
		x.choice.Flight.AnsweredUntilClose(x.d.crashes.Suspected(x.fingerprint), now)
	case result == replica.Answered:
		x.d.crashes.Answered(x.fingerprint, now, now)
	case result == replica.Lost && upstream.IsConnectionBroken(err):
		x.choice.Flight.ConnectionBroken(now)
	case (result == replica.Lost || result == replica.Cancelled) && x.ran:
		x.choice.Flight.Abandoned(now)
	case result == replica.Unreachable && upstream.IsConnectionRefused(err):
		x.d.replicas.ConnectionRefused(x.choice.ID, x.choice.Address, now)
	}
}

// recordAttempt adds the attempt to the report, which becomes the request's log line.
func (x *exchange) recordAttempt(result replica.Result, err error) {
	a := Attempt{
		Replica: x.choice.ID, Result: result.String(), AtMs: x.began.Sub(x.run.began).Milliseconds(), Ms: clock.Since(x.began).Milliseconds(), Answer: x.head,
		Beside: x.beside, AfterMs: x.after.Milliseconds(),
	}
	if err != nil {
		a.Reason = err.Error()
		a.EndedBy, a.SilentMs = x.endedBy(), x.silence(clock.Now()).Milliseconds()
	}
	x.report.Attempts = append(x.report.Attempts, a)
}

// silence returns for how long the replica has sent nothing.
func (x *exchange) silence(now time.Time) time.Duration {
	if x.heardAt.IsZero() {
		return now.Sub(x.began)
	}
	return now.Sub(x.heardAt)
}

// endedBy returns who ended an attempt without a complete answer.
func (x *exchange) endedBy() EndedBy {
	switch {
	case x.ctx.Err() == nil:
		return EndedByReplica
	case errors.Is(context.Cause(x.ctx), errUnresponsive):
		return EndedBySilence
	case x.parent.Err() == nil:
		return EndedByHost
	case deadlinePassed(x.parent):
		return EndedByDeadline
	default:
		return EndedByCaller
	}
}

// open sends the request and returns the answer, of which the head was read, and the beginning of a stream, unless the
// replica did not run the request, the answer is not one to it, or another replica answers in its place.
func (x *exchange) open() (*upstream.Response, replica.Result, error) {
	x.report.Sends++
	x.unsettled++
	req := x.upstreamRequest()
	x.takeover.await()
	resp, err := x.d.pool.Send(x.ctx, x.choice.Address, req)
	var begun error
	if err == nil {
		x.head = describeHead(resp, x.req.ID)
		begun = x.awaitBeginning(resp)
	}
	if err == nil && resp.Answer.NotRun && resp.Answer.ID == "" {
		x.d.unnamed.record(x.req.Service.Name, clock.Now())
	}
	notRun := err == nil && x.provesNotRun(resp)
	if notRun {
		x.rejected.Add(1)
	}
	goesOn := x.takeover.received(err != nil || begun != nil || notRun)
	x.unsettled--
	if notRun {
		x.rejected.Add(-1)
	}
	if err != nil {
		result, err := x.sendFailed(err)
		return nil, result, err
	}
	x.recordArrival()
	if notRun {
		result, err := x.handleNotRun(resp)
		return nil, result, err
	}
	x.recordRun()
	x.untilClose = resp.UntilClose()
	if err := x.checkAnswer(resp); err != nil {
		resp.Finish(false)
		return nil, replica.Lost, err
	}
	if begun != nil {
		resp.Finish(false)
		if isEventStream(resp) {
			result, err := x.streamLost(begun)
			return nil, result, err
		}
		result, err := x.lost(begun, "the answer was cut")
		return nil, result, err
	}
	if !goesOn {
		resp.Finish(false)
		result, err := x.lost(errUnresponsive, "another replica answers")
		return nil, result, err
	}
	return resp, 0, nil
}

func describeHead(resp *upstream.Response, id string) *AnswerHead {
	a := resp.Answer
	return &AnswerHead{Status: resp.Status, NotRun: a.NotRun, Sealed: a.Sealed, Named: a.ID == id, Reused: resp.Reused, Skipped: resp.Skipped}
}

// awaitBeginning waits for the first event of a stream, as a replica may send the head while the request still waits for
// memory, and for the body of a short answer. It returns an error if they break off; a stream that ends without any event
// is complete.
func (x *exchange) awaitBeginning(resp *upstream.Response) error {
	x.heardAt = clock.Now()
	x.choice.Flight.RecordNotice(resp.Answer, x.heardAt)
	switch {
	case x.provesNotRun(resp):
		return nil
	case isEventStream(resp):
		if err := AwaitEvent(resp); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	case resp.Length() > 0 && resp.Length() <= beginningSize:
		body := bufio.NewReaderSize(resp.Body, beginningSize)
		resp.Body = body
		if _, err := body.Peek(int(resp.Length())); err != nil {
			return err
		}
	}
	x.heardAt = clock.Now()
	return nil
}

// beginningSize is the size in bytes up to which the beginning of an answer is awaited.
const beginningSize = 4 << 10

// AwaitEvent waits until the first event of a stream has arrived, or as much of it as fits into a buffer, and keeps it for
// the reader of the body. The error is io.EOF if the stream ends without any event.
func AwaitEvent(resp *upstream.Response) error {
	body := bufio.NewReaderSize(resp.Body, beginningSize)
	resp.Body = body
	for n := 1; n <= beginningSize; n = body.Buffered() + 1 {
		_, err := body.Peek(n)
		arrived, _ := body.Peek(body.Buffered())
		switch {
		case bytes.Contains(arrived, []byte("\n\n")), bytes.Contains(arrived, []byte("\r\n\r\n")):
			return nil
		case errors.Is(err, io.EOF) && len(arrived) > 0:
			return errEventTruncated
		case err != nil:
			return err
		}
	}
	return nil
}

// checkAnswer returns an error if the answer is not the replica's to this request.
func (x *exchange) checkAnswer(resp *upstream.Response) error {
	if !resp.Answer.Sealed || resp.Answer.ID != x.req.ID {
		return errkind.New(errkind.BackendLost, fmt.Sprintf("the replica answered %d without its seal and the request's ID", resp.Status))
	}
	if x.resumeAfter > 0 && !isEventStream(resp) {
		return errkind.New(errkind.BackendLost, fmt.Sprintf("the replica answered %d in place of the rest of the stream", resp.Status))
	}
	return nil
}

// provesNotRun reports whether the answer shows that the replica did not run the request. One that names no request may be
// a late rejection of an earlier request on its connection. A request that may run again is retried after it all the
// same.
func (x *exchange) provesNotRun(resp *upstream.Response) bool {
	return resp.Answer.NotRun && (resp.Own || x.req.Route.Repeatable())
}

// recordArrival records that the request may have reached the replica.
func (x *exchange) recordArrival() { x.arrived++ }

// recordRun records that the replica may have run the request.
func (x *exchange) recordRun() {
	x.ran = true
	x.report.Ran++
}

func (x *exchange) forward(resp *upstream.Response) (replica.Result, error) {
	if !x.req.Route.Repeatable() && errkind.PromisesNotRun(resp.Status) {
		return x.withholdPromise(resp)
	}
	if isEventStream(resp) {
		return x.forwardStream(resp)
	}
	return x.forwardBuffered(resp)
}

func isEventStream(resp *upstream.Response) bool {
	return resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
}

func (x *exchange) sendFailed(err error) (replica.Result, error) {
	var failed *upstream.Error
	sent := errors.As(err, &failed) && failed.Sent
	if sent {
		x.recordArrival()
		x.recordRun()
	}
	switch {
	case x.ctx.Err() != nil && !errors.Is(context.Cause(x.ctx), errUnresponsive):
		return replica.Cancelled, errkind.Wrap(errkind.BackendLost, err, "the attempt was ended")
	case !sent && failed != nil && failed.Timeout():
		return replica.ConnectTimeout, errkind.Wrap(errkind.BackendUnreachable, err, "no connection to the replica in time")
	case !sent:
		return replica.Unreachable, errkind.Wrap(errkind.BackendUnreachable, err, "nothing was sent to the replica")
	default:
		return replica.Lost, errkind.Wrap(errkind.BackendLost, err, "the replica was lost after the request was sent")
	}
}

func (x *exchange) upstreamRequest() *upstream.Request {
	req := x.req
	out := platform.ReplicaRequest{
		Replica:   x.choice.ID,
		Remaining: clock.Until(req.Deadline),
		ID:        req.ID,
		Salt:      x.choice.Salt,
		Source:    x.choice.Source,
		Sink:      x.choice.Sink,
		Weights:   x.choice.Weights,
	}
	if req.Organisation != nil {
		out.Organisation = req.Organisation.Name
	}
	if req.Service.Engine != nil {
		out.HasPriority = true
		out.Priority = enginePriority(req)
	}
	if x.resumeAfter > 0 {
		out.LastEvent = strconv.FormatInt(x.resumeAfter, 10)
	}
	maxIdle := time.Duration(0)
	if !req.Route.Repeatable() {
		maxIdle = maxIdleNonRepeatable
	}
	return &upstream.Request{
		ID: req.ID, Method: req.Method, Target: req.Target, Host: req.Host,
		Header: platform.EncodeRequest(req.Header, out), Body: req.Body, MaxIdle: maxIdle,
		NewConnection: x.needsNewConnection(),
	}
}

// needsNewConnection reports whether a rejection on a used connection would prove nothing, as it may not name its request.
func (x *exchange) needsNewConnection() bool {
	return !x.req.Route.Repeatable() && x.d.unnamed.rejects(x.req.Service.Name, clock.Now())
}

const (
	// maxPriority is the least urgent priority that engines accept.
	maxPriority = 9
	// routeRanks is the number of route priorities that are distinguished within one
	// organisation priority.
	routeRanks = 3
)

// enginePriority returns the priority that is sent to an engine, 0 being the most urgent.
// The organisation's priority takes precedence over the route's.
func enginePriority(req *Request) int {
	rank := min(req.Route.Priority, routeRanks-1)
	if o := req.Organisation; o != nil && o.HasPriority {
		rank += routeRanks * o.Priority
	}
	return min(rank, maxPriority)
}
