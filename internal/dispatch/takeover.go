package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
)

// lookAgainInterval is the pause after which another replica is looked for if none could be used, or if one did not begin
// to answer and no event has been forwarded yet.
const lookAgainInterval = 250 * time.Millisecond

// successor is an answer that has begun in the place of a silent one.
type successor interface {
	// forward goes on with the answer. It returns the successor that took over from it, if there is one.
	forward() (successor, error)
	// abandon ends it, as the silent replica goes on.
	abandon()
}

// takeover has another replica answer a request, or resume its stream, if the one that it was sent to is silent. The
// silent attempt is kept until the other replica sends: a sound replica may be silent for a second or two, while others may
// be full, and the retry budget may be used up.
//
// The goroutine of an attempt owns the run except between await and received. Then it waits for its replica, and an
// attempt beside it owns the run, under the same rule.
type takeover struct {
	x *exchange
	// limit is the pause between two events from which a replica is looked for, and between two that are tried.
	limit time.Duration

	mu sync.Mutex
	// timer looks for a replica during the pause between two events; until the first one watchHang does.
	timer *time.Timer
	// nextTry is the earliest time of the next attempt.
	nextTry time.Time
	// waiting is set while the attempt waits for its replica, since waitingSince. lost is set if it has ended without a
	// complete answer.
	waiting, lost bool
	waitingSince  time.Time
	// streaming is set once an event was forwarded.
	streaming bool
	// trying is set while an attempt at another replica is under way; cancel ends it.
	trying bool
	cancel context.CancelCauseFunc
	// taken is set once another replica has taken over.
	taken bool
	// done is signalled when an attempt has ended.
	done sync.WaitGroup
}

func (x *exchange) newTakeover() *takeover {
	t := &takeover{x: x, limit: max(2*minHangTimeout, stallPauseTargets*x.req.Route.PauseTarget)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Hour, t.tryAnother)
	t.timer.Stop()
	return t
}

// await begins to wait for the replica.
func (t *takeover) await() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting, t.waitingSince = true, clock.Now()
}

// suspend ends the wait for the time until the next one: the replica has sent something, which waits for this host's
// memory.
func (t *takeover) suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
	t.timer.Stop()
	if t.trying {
		t.cancel(nil)
	}
}

// awaitEvent begins to wait for the next event of a stream. The time that the caller takes for an event is no pause of
// the replica.
func (t *takeover) awaitEvent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting, t.waitingSince, t.streaming = true, clock.Now(), true
	if t.mayResume() && t.x.req.Route.PauseTarget > 0 {
		t.timer.Reset(t.limit)
	}
}

// received ends the wait. An attempt beside this one ends with it, unless this one is lost: then received waits until the
// other replica has begun or refused. It returns false if another replica has taken over.
func (t *takeover) received(lost bool) bool {
	t.mu.Lock()
	t.waiting = false
	t.lost = lost && t.x.ctx.Err() == nil
	t.timer.Stop()
	if t.trying && !t.lost {
		t.cancel(nil)
	}
	t.mu.Unlock()
	t.done.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.taken
}

// mayResume reports whether what the caller has got so far can be continued by another replica.
func (t *takeover) mayResume() bool { return !t.streaming || t.x.req.Route.Resumable }

// tryAnotherAfter tries another replica, unless this one has sent an event within the given time: a replica that owes
// answers to other requests may go on with its streams.
func (t *takeover) tryAnotherAfter(silence time.Duration) {
	t.mu.Lock()
	goesOn := t.streaming && clock.Since(t.waitingSince) < silence
	t.mu.Unlock()
	if !goesOn {
		t.tryAnother()
	}
}

// tryAnother tries another replica beside the silent one.
func (t *takeover) tryAnother() {
	t.mu.Lock()
	if !t.waiting || t.trying || t.taken || clock.Now().Before(t.nextTry) || !t.mayTry() {
		t.mu.Unlock()
		return
	}
	t.trying = true
	ctx, cancel := context.WithCancelCause(t.x.parent)
	t.cancel = cancel
	silence := clock.Since(t.waitingSince)
	t.done.Add(1)
	t.mu.Unlock()
	defer t.done.Done()
	next, sent := t.beginAnother(ctx, cancel, silence)
	if next == nil {
		cancel(nil)
	}
	if !t.handOver(next, sent) && next != nil {
		next.abandon()
	}
}

// handOver ends the silent attempt for its successor, unless there is none or the silence has ended. It reports whether
// it did.
func (t *takeover) handOver(next successor, sent bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trying = false
	t.taken = next != nil && (t.waiting || t.lost)
	if t.taken {
		t.x.successor = next
	}
	switch {
	case !t.waiting:
	case t.taken:
		t.x.cancel(errUnresponsive)
	default:
		pause := t.pause(sent)
		t.nextTry = clock.Now().Add(pause)
		if t.streaming {
			t.timer.Reset(pause)
		}
	}
	return t.taken
}

// pause returns the time until the next attempt.
func (t *takeover) pause(sent bool) time.Duration {
	if sent && t.streaming {
		return t.limit
	}
	return lookAgainInterval
}

// mayTry reports whether the request may be sent to one more replica.
func (t *takeover) mayTry() bool {
	r, route := t.x.run, t.x.req.Route
	return route.Repeatable() && t.mayResume() && r.report.Sends < maxSends && r.report.Ran+r.unsettled-int(r.rejected.Load()) < route.Attempts
}

// beginAnother sends the request to another replica, or from a host that is cut off to another host, and returns the answer
// once it has begun. It returns nil if none may or does take the request; sent is false if it was sent to none.
func (t *takeover) beginAnother(ctx context.Context, cancel context.CancelCauseFunc, silence time.Duration) (next successor, sent bool) {
	r := t.x.run
	if r.d.IsCutOff(r.req.Service.Name) {
		return r.tryAnotherHost(ctx, cancel)
	}
	choice := r.reserveAnother(ctx)
	if choice == nil {
		return nil, false
	}
	x := r.newExchange(choice, t.x.parent, ctx, cancel)
	x.beside, x.after = t.x.choice.ID, silence
	resp, result, err := x.open()
	if err == nil {
		result, err = x.checkBegun(resp)
	}
	if err == nil {
		return &attemptBeside{x, resp}, true
	}
	_ = x.end(result, err)
	if result != replica.Refused && result != replica.Cancelled {
		r.exclude[choice.ID] = true
	}
	return x.successor, true
}

// checkBegun returns an error if an answer can't take the place of one that may still come: it is a failure, or a stream
// without any event.
func (x *exchange) checkBegun(resp *upstream.Response) (replica.Result, error) {
	if isEventStream(resp) {
		if err := x.checkFirstEvent(resp); err != nil {
			resp.Finish(false)
			return x.lost(err, "the stream was cut")
		}
		return 0, nil
	}
	if resp.Status < http.StatusInternalServerError {
		return 0, nil
	}
	if resp.Length() >= 0 && resp.Length() <= maxBufferedAnswer {
		return x.forwardBuffered(resp)
	}
	resp.Finish(false)
	return replica.Failed, errkind.New(errkind.BackendError, fmt.Sprintf("the replica answered %d", resp.Status))
}

// checkFirstEvent returns an error if a stream has no event, or its first one does not follow the last that the caller
// received.
func (x *exchange) checkFirstEvent(resp *upstream.Response) error {
	body := resp.Body.(*bufio.Reader)
	if _, err := body.Peek(1); err != nil {
		return err
	}
	arrived, err := body.Peek(body.Buffered())
	if err != nil {
		return err
	}
	return event{number: eventNumber(firstEvent(arrived))}.checkOrder(x.lastEvent)
}

// reserveAnother picks a replica other than those that the request is at, and charges the retry budget, or returns nil
// if either is not to be had.
func (r *run) reserveAnother(ctx context.Context) *schedule.Choice {
	now := clock.Now()
	if _, refused := r.d.crashes.Check(r.fingerprint, now); refused {
		return nil
	}
	exclude := maps.Clone(r.withoutRoom(now))
	for _, id := range r.active {
		exclude[id] = true
	}
	req := r.scheduleRequest(ctx, exclude, now)
	// Held requests are scheduled again, which may find no replica.
	req.MaxHold = 0
	// While all servers pause, another silent one is no better, and both would run the request.
	req.NotSilent = true
	choice, err := r.d.scheduler.Pick(req, now)
	if err != nil || choice.Hold > 0 {
		return nil
	}
	if !r.chargeBeside(now) {
		r.d.scheduler.Cancel(choice, now)
		return nil
	}
	return choice
}

// chargeBeside charges the retry budget for an attempt beside those under way, and reports whether it allows that.
func (r *run) chargeBeside(now time.Time) bool {
	if r.charged >= r.arrived+r.unsettled {
		return true
	}
	allowed := r.d.budget.Allow(r.req.Service.Name, now)
	if allowed {
		r.countCharge()
	}
	return allowed
}

// attemptBeside is an attempt whose replica has begun to answer.
type attemptBeside struct {
	x    *exchange
	resp *upstream.Response
}

func (a *attemptBeside) abandon() {
	a.x.cancel(nil)
	a.resp.Finish(false)
	result, err := a.x.lost(context.Canceled, "the silent replica goes on")
	_ = a.x.end(result, err)
}

func (a *attemptBeside) forward() (successor, error) {
	x := a.x
	defer x.cancel(nil)
	x.reportChoice(x.choice, len(x.exclude))
	result, err := x.forward(a.resp)
	err = x.end(result, err)
	x.exclude[x.choice.ID] = true
	return x.successor, err
}
