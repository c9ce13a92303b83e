package dispatch

import (
	"bufio"
	"context"
	"maps"
	"sync"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
)

// lookAgainInterval is the pause after which another replica is looked for if none could be used.
const lookAgainInterval = 250 * time.Millisecond

// successor is an attempt whose replica has begun to resume a stream.
type successor struct {
	x    *exchange
	resp *upstream.Response
}

// takeover has another replica resume a stream that stalls. The stalled stream is kept until the other
// replica sends: an engine that is short of memory goes on with it later, while others may be full, and the
// retry budget may be used up.
type takeover struct {
	x *exchange
	// limit is the pause between two events from which a replica is looked for, and between two that are tried.
	limit time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// nextTry is the earliest time of the next attempt.
	nextTry time.Time
	// lastEvent is the number of the last event, from which another replica continues.
	lastEvent int64
	// waitingSince is when the wait for the next event began.
	waitingSince time.Time
	// trying is set while an attempt at another replica is under way; cancel ends it.
	trying bool
	cancel context.CancelCauseFunc
	// taken is set once another replica has taken over, and stopped once the stream has ended.
	taken, stopped bool
	// done is signalled when an attempt has ended.
	done sync.WaitGroup
}

// watchStall returns the takeover of a stream. Its timer is armed by the first event; until then watchHang
// starts it.
func (x *exchange) watchStall() *takeover {
	t := &takeover{x: x, limit: max(2*minHangTimeout, stallPauseTargets*x.req.Route.PauseTarget), lastEvent: x.resumeAfter, waitingSince: clock.Now()}
	t.stopped = !x.req.Route.Resumable
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Hour, t.attempt)
	x.setStall(t)
	return t
}

// received records an event: the stream goes on, and needs no other replica. It returns false if another one
// has taken over already.
func (t *takeover) received(event int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.taken {
		return false
	}
	t.lastEvent = event
	t.timer.Stop()
	if t.trying {
		t.cancel(nil)
	}
	return true
}

// await begins to wait for the next event. The time that the caller takes for an event is no pause of the replica.
func (t *takeover) await() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waitingSince = clock.Now()
	if !t.stopped && t.x.req.Route.PauseTarget > 0 {
		t.timer.Reset(t.limit)
	}
}

// finish ends the watch when the stream has ended. If it was lost, an attempt under way goes on, and finish waits
// for its replica to begin or to refuse.
func (t *takeover) finish(lost bool) {
	t.mu.Lock()
	t.timer.Stop()
	t.stopped = true
	if t.trying && !lost {
		t.cancel(nil)
	}
	t.mu.Unlock()
	t.done.Wait()
}

// attempt looks for another replica and has it resume the stream. While it runs, the goroutine that forwards
// the stream changes nothing that is used here: it waits for events or forwards one, and finish waits for the end.
func (t *takeover) attempt() {
	t.mu.Lock()
	if t.stopped || t.trying || t.taken || clock.Now().Before(t.nextTry) || !t.mayTry() {
		t.mu.Unlock()
		return
	}
	if t.x.d.IsCutOff(t.x.req.Service.Name) {
		// No replica can be reached from here; the caller may resume the stream at another host.
		t.stopped = true
		t.mu.Unlock()
		t.x.cancel(errUnresponsive)
		return
	}
	t.trying = true
	ctx, cancel := context.WithCancelCause(t.x.parent)
	t.cancel = cancel
	from, silence := t.lastEvent, clock.Since(t.waitingSince)
	t.done.Add(1)
	t.mu.Unlock()
	defer t.done.Done()
	next, sent := t.resume(ctx, cancel, from, silence)
	if next == nil {
		cancel(nil)
	}
	if !t.handOver(next, from, sent) && next != nil {
		next.abandon()
	}
}

// handOver ends the stalled stream for its successor, unless there is none or the stream has gone on since
// the event that the successor continues from. It reports whether it did.
func (t *takeover) handOver(next *successor, from int64, sent bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trying = false
	t.taken = next != nil && t.lastEvent == from
	switch {
	case t.taken:
		t.x.successor = next
		t.x.cancel(errUnresponsive)
	case !t.stopped:
		pause := t.pause(sent)
		t.nextTry = clock.Now().Add(pause)
		t.timer.Reset(pause)
	}
	return t.taken
}

// pause returns the time until the next attempt.
func (t *takeover) pause(sent bool) time.Duration {
	switch {
	case t.x.reserved != nil:
		return 0
	case !sent:
		return lookAgainInterval
	default:
		return t.limit
	}
}

// mayTry reports whether the request may be sent to one more replica.
func (t *takeover) mayTry() bool {
	r := t.x.run
	return r.report.Sends < maxSends && r.report.Ran < r.req.Route.Attempts
}

// resume sends the request to another replica, and returns the attempt once that replica has begun to send
// events. It returns nil if none may or does take the request; sent is false if it was sent to none.
func (t *takeover) resume(ctx context.Context, cancel context.CancelCauseFunc, from int64, silence time.Duration) (next *successor, sent bool) {
	r := t.x.run
	choice := r.takeReserved()
	if choice == nil {
		choice = t.x.reserve(ctx)
		if choice == nil {
			return nil, false
		}
		r.countCharge()
	}
	x := &exchange{run: r, choice: choice, parent: t.x.parent, ctx: ctx, cancel: cancel, began: clock.Now(), resumeAfter: from, ranBefore: r.report.Ran, beside: t.x.choice.ID, after: silence}
	x.watchHang()
	resp, result, err := x.open()
	if err == nil {
		// An engine may send the head while the request still waits for memory.
		body := bufio.NewReader(resp.Body)
		resp.Body = body
		if _, err = body.Peek(1); err == nil {
			return &successor{x, resp}, true
		}
		resp.Finish(false)
		result, err = x.lost(err, "the stream was cut")
	}
	_ = x.end(result, err)
	if result != replica.Refused && result != replica.Cancelled {
		r.exclude[choice.ID] = true
	}
	return nil, true
}

// reserve picks another replica and charges the retry budget, or returns nil if either is not to be had.
func (x *exchange) reserve(ctx context.Context) *schedule.Choice {
	r := x.run
	now := clock.Now()
	if _, refused := r.d.crashes.Check(r.fingerprint, now); refused || r.d.IsCutOff(r.req.Service.Name) {
		return nil
	}
	exclude := maps.Clone(r.withoutRoom(now))
	exclude[x.choice.ID] = true
	req := r.scheduleRequest(ctx, exclude, now)
	// Held requests are scheduled again, which may find no replica.
	req.MaxHold = 0
	choice, err := r.d.scheduler.Pick(req, now)
	if err != nil || choice.Hold > 0 {
		return nil
	}
	if !r.d.budget.Allow(r.req.Service.Name, now) {
		r.d.scheduler.Cancel(choice, now)
		return nil
	}
	return choice
}

// abandon ends an attempt that is not needed, as the stream that it would resume goes on.
func (s *successor) abandon() {
	s.x.cancel(nil)
	s.resp.Finish(false)
	result, err := s.x.lost(context.Canceled, "the stream that was to be resumed goes on")
	_ = s.x.end(result, err)
}

// forward goes on with the stream of a successor.
func (s *successor) forward() error {
	s.x.reportChoice(s.x.choice, len(s.x.exclude))
	result, err := s.x.forward(s.resp)
	return s.x.end(result, err)
}
