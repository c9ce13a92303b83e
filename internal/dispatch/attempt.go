package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
	"github.com/briarlink/briarlink/platform"
)

const (
	// maxWhole bounds an answer that is read whole before it is passed on.
	maxWhole = 16 << 20
	// idleOnce is the longest that a connection may have been idle for a request
	// that may not be repeated: if the replica closes it meanwhile, the request is
	// lost, and a new connection costs a millisecond.
	idleOnce = time.Second
	// watchInterval is how often a hanging replica is looked for.
	watchInterval = 100 * time.Millisecond
	// leastSilence is the shortest silence at which a replica is given up for
	// another one.
	leastSilence = 500 * time.Millisecond
	// silentTargets is that silence in latency targets.
	silentTargets = 1.0
	// stalledPauses is the pause, in pause targets, after which a stream is
	// continued elsewhere. Callers give up after eight.
	stalledPauses = 4
	contentEvents = "text/event-stream"
)

var errSilent = errors.New("the replica gives no sign of life")

// exchange is one attempt at one replica.
type exchange struct {
	*run
	choice *schedule.Choice
	began  time.Time
	cancel context.CancelCauseFunc
	// watch looks for a hanging replica; nil where no other may be tried.
	watch *time.Timer
}

// attempt sends the request to the chosen replica and passes its answer on.
func (r *run) attempt(ctx context.Context, choice *schedule.Choice) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{run: r, choice: choice, began: time.Now(), cancel: cancel}
	x.watchSilence()
	result, err := x.send(ctx)
	if x.watch != nil {
		x.watch.Stop()
	}
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		result = replica.Lost
		err = errkind.Wrap(errkind.BackendLost, errSilent, "the replica does not answer")
	}
	choice.Flight.End(result, time.Now())
	if err != nil && r.report.First == 0 {
		r.d.scheduler.Failed(choice)
	}
	r.note(choice, x.began, result, err)
	return err
}

// note records the attempt for the request's log line.
func (r *run) note(choice *schedule.Choice, began time.Time, result replica.Result, err error) {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	r.report.Tries = append(r.report.Tries, Try{choice.ID, result.String(), reason, time.Since(began).Milliseconds()})
}

// watchSilence ends the attempt when the replica hangs and another may be tried.
func (x *exchange) watchSilence() {
	route := x.req.Route
	if !route.Repeatable() || x.report.Ran+1 >= route.Attempts {
		return
	}
	limit := max(leastSilence, time.Duration(silentTargets*float64(route.LatencyTarget)))
	check := func() {
		if x.choice.Flight.Silence(time.Now()) > limit || x.choice.Flight.Lost() {
			x.cancel(errSilent)
			return
		}
		x.watch.Reset(watchInterval)
	}
	x.watch = time.AfterFunc(time.Hour, check)
	x.watch.Reset(watchInterval)
}

func (x *exchange) send(ctx context.Context) (replica.Result, error) {
	x.report.Sends++
	resp, err := x.d.pool.Send(ctx, x.choice.Address, x.upstreamRequest())
	if err != nil {
		return x.sendFailed(ctx, err)
	}
	x.arrived++
	if resp.Answer.NotRun {
		return x.refused(resp)
	}
	x.report.Ran++
	if !resp.Answer.Sealed || resp.Answer.ID != x.req.ID {
		resp.Finish(false)
		return replica.Lost, errkind.New(errkind.BackendLost, fmt.Sprintf("the replica answered %d without its seal and the request's ID", resp.Status))
	}
	isStream := resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), contentEvents)
	switch {
	case isStream:
		return x.stream(ctx, resp)
	case x.started:
		resp.Finish(false)
		return replica.Lost, errkind.New(errkind.BackendLost, fmt.Sprintf("the replica answered %d in place of the rest of the stream", resp.Status))
	default:
		return x.whole(ctx, resp)
	}
}

func (x *exchange) sendFailed(ctx context.Context, err error) (replica.Result, error) {
	var failed *upstream.Error
	sent := errors.As(err, &failed) && failed.Sent
	if sent {
		x.arrived++
		x.report.Ran++
	}
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent):
		return replica.Cancelled, errkind.Wrap(errkind.BackendLost, err, "the attempt was ended")
	case !sent:
		return replica.Unreachable, errkind.Wrap(errkind.BackendUnreachable, err, "nothing was sent to the replica")
	default:
		return replica.Lost, errkind.Wrap(errkind.BackendLost, err, "the replica was lost after the request was sent")
	}
}

func (x *exchange) upstreamRequest() *upstream.Request {
	req := x.req
	out := platform.ReplicaRequest{
		Replica: x.choice.ID,
		Left:    time.Until(req.Deadline),
		ID:      req.ID,
		Salt:    x.choice.Salt,
		Source:  x.choice.Source,
		Sink:    x.choice.Sink,
		Weights: x.choice.Weights,
	}
	if req.Organisation != nil {
		out.Organisation = req.Organisation.Name
	}
	if req.Service.Engine != nil {
		out.HasPriority = true
		out.Priority = priority(req)
	}
	if x.lastEvent > 0 {
		out.LastEvent = strconv.FormatInt(x.lastEvent, 10)
	}
	maxIdle := time.Duration(0)
	if !req.Route.Repeatable() {
		maxIdle = idleOnce
	}
	return &upstream.Request{
		ID: req.ID, Method: req.Method, Target: req.Target, Host: req.Host,
		Header: platform.EncodeRequest(req.Header, out), Body: req.Body, MaxIdle: maxIdle,
	}
}

const (
	// maxPriority is the least urgent priority that engines know.
	maxPriority = 9
	// routeRanks is how many ranks of routes are told apart within a priority of
	// organisations.
	routeRanks = 3
)

// priority ranks a request for an engine: by its organisation's priority, which
// goes first, then by its route's.
func priority(req *Request) int {
	rank := min(req.Route.Priority, routeRanks-1)
	if o := req.Organisation; o != nil && o.HasPriority {
		rank += routeRanks * o.Priority
	}
	return min(rank, maxPriority)
}

// refused takes a true "not run".
func (x *exchange) refused(resp *upstream.Response) (replica.Result, error) {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWhole))
	resp.Finish(err == nil)
	if resp.Status == http.StatusMisdirectedRequest {
		x.d.misdirected(x.choice, resp.Answer, x.req.Caller.Model)
	}
	return replica.Refused, errkind.New(errkind.BackendRefused, fmt.Sprintf("the replica refused with %d", resp.Status))
}

// misdirected learns from a replica that is not the one expected: another start
// has its address, or its weights are not those expected.
func (d *Dispatcher) misdirected(choice *schedule.Choice, a platform.ReplicaAnswer, model string) {
	if a.Instance != "" && a.Instance != choice.ID {
		d.replicas.Remove(choice.ID, true)
		return
	}
	// Which weights it holds it does not say: those wanted by now may have overtaken
	// those of a late order.
	d.replicas.MarkUnsure(choice.ID, model, choice.Weights, time.Now())
}

// whole reads the answer to its end before any of it is passed on, so that a
// broken one can be replaced.
func (x *exchange) whole(ctx context.Context, resp *upstream.Response) (replica.Result, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole))
	resp.Finish(err == nil)
	now := time.Now()
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
	now := time.Now()
	x.choice.Flight.First(now)
	if !x.started {
		x.started = true
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

// stallWatch ends an attempt whose stream stalls while it may be continued
// elsewhere.
type stallWatch struct {
	timer *time.Timer
	limit time.Duration
}

func (x *exchange) watchStall() *stallWatch {
	route := x.req.Route
	if !route.Resumable || x.report.Ran >= route.Attempts || route.PauseTarget <= 0 {
		return &stallWatch{}
	}
	limit := max(2*leastSilence, stalledPauses*route.PauseTarget)
	// Until the first event the replica's silence is watched instead.
	timer := time.AfterFunc(time.Hour, func() { x.cancel(errSilent) })
	return &stallWatch{timer, limit}
}

func (w *stallWatch) feed() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
