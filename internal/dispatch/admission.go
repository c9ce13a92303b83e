package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/schedule"
)

const (
	// maxHolds limits how often a request is held.
	maxHolds = 2
	// maxHoldTargets limits each hold, in multiples of the route's latency target.
	maxHoldTargets = 0.7
)

// maxHold returns how long the request may still be held, 0 once it was held maxHolds times.
func (r *run) maxHold() time.Duration {
	if r.report.Holds >= maxHolds {
		return 0
	}
	return time.Duration(maxHoldTargets * float64(r.req.Route.LatencyTarget))
}

// timeLeft returns what is left of the route's latency target, or of the deadline if that is less.
func (r *run) timeLeft(now time.Time) time.Duration {
	return min(r.began.Add(r.req.Route.LatencyTarget).Sub(now), r.req.Deadline.Sub(now))
}

// hold waits while the chosen replica, or its source, prefills shared prefix blocks for another
// request, so that they are computed only once. It reports whether it waited; the caller then picks a
// replica again.
func (r *run) hold(ctx context.Context, choice *schedule.Choice) bool {
	if choice.Hold == 0 {
		return false
	}
	r.report.Holds++
	if choice.AwaitsSource {
		r.report.Awaited += choice.Hold
	}
	clock.Sleep(ctx, choice.Hold)
	return true
}

const (
	// maxFirstEventTargets limits the expected time to a stream's first event, in multiples
	// of the latency target. A request beyond it would be late, would delay the requests
	// queued behind it, and would mostly be abandoned: callers wait for four targets.
	maxFirstEventTargets = 3
	// maxUrgentWaitTargets is the longest expected wait at a replica with which it is still
	// sent less urgent requests, in multiples of the latency target of the service's most
	// urgent route. Less urgent requests are larger, and urgent ones would wait behind them.
	maxUrgentWaitTargets = 1.0
	// minRetryAfter is the shortest Retry-After of a rejected request.
	minRetryAfter = 200 * time.Millisecond
)

// admit returns an error with a Retry-After if the chosen replica would answer the request
// too late, or if the request would delay more urgent ones. A request that may have reached
// a replica before is always admitted. One that was refused before for want of capacity is admitted if it
// can be answered before its deadline.
func (r *run) admit(choice *schedule.Choice, now time.Time) error {
	if r.arrived > 0 {
		return nil
	}
	left := r.req.Deadline.Sub(now)
	if !r.d.Off[mechanism.LateRefusal] && !r.report.Returned {
		left = min(left, maxExpected(r.req.Route))
	}
	if choice.Expected > left {
		r.recordLate(choice, left, now)
		return errkind.New(errkind.Overloaded, fmt.Sprintf("the first answer is expected after %d ms, and accepted up to %d ms",
			choice.Expected.Milliseconds(), left.Milliseconds())).After(max(minRetryAfter, choice.Expected-left))
	}
	s := r.req.Service
	if r.d.Off[mechanism.UrgentRefusal] || r.report.Returned || r.req.Route.Kind != config.Streaming || s.UrgentTarget == 0 || r.req.Route.Priority <= s.UrgentPriority {
		return nil
	}
	limit := time.Duration(maxUrgentWaitTargets * float64(s.UrgentTarget))
	if choice.QueueTime <= limit {
		return nil
	}
	r.recordLate(choice, left, now)
	return errkind.New(errkind.Overloaded, fmt.Sprintf("the wait is expected to be %d ms, and %d ms are left to more urgent requests",
		choice.QueueTime.Milliseconds(), limit.Milliseconds())).After(max(minRetryAfter, choice.QueueTime))
}

// maxExpected returns the longest expected time to the first event at which a streaming
// request is admitted. Other requests are limited by their deadline only.
func maxExpected(route *config.Route) time.Duration {
	if route.Kind != config.Streaming || route.LatencyTarget <= 0 {
		return unlimited
	}
	return maxFirstEventTargets * route.LatencyTarget
}

// rejectPoison returns an error if the request, or one of its prefix blocks, is quarantined because
// servers crashed while running it, whoever sent it. Each further server would crash too, along with
// all requests that it is running. It is called before each attempt, as another host may have
// reported a crash since the last one.
func (r *run) rejectPoison() error {
	refusal, refused := r.d.crashes.Check(r.fingerprint, clock.Now())
	switch {
	case !refused:
		return nil
	case refusal.Block < 0:
		return errkind.New(errkind.Quarantined, fmt.Sprintf("%d backend servers crashed while they were running this request; it is not sent to others", refusal.Crashes))
	}
	r.report.RefusedBlock = r.fingerprint.Blocks[refusal.Block]
	return errkind.New(errkind.Quarantined, fmt.Sprintf("%d backend servers crashed while they were running requests with the prefix block %s; none is sent to others",
		refusal.Crashes, r.req.Caller.Blocks[refusal.Block].ID))
}

// errQuarantined is the cause with which attempts at a quarantined request are cancelled.
var errQuarantined = errors.New("request quarantined: backend servers crashed while running it")

// watchQuarantine cancels the attempt if the request is quarantined before its answer starts:
// the request may still be queued at a server, which would crash too.
func (x *exchange) watchQuarantine() {
	if !x.started {
		x.stopQuarantineWatch = x.d.crashes.OnRefused(x.fingerprint, clock.Now(), func() { x.cancel(errQuarantined) })
	}
}

// unwatchQuarantine stops watching for a quarantine. It is called at the first event of a
// stream, as the server is then running the request without a crash, and when the attempt ends.
func (x *exchange) unwatchQuarantine() {
	if x.stopQuarantineWatch != nil {
		x.stopQuarantineWatch()
		x.stopQuarantineWatch = nil
	}
}

// unlimited is used where no limit applies.
const unlimited = 24 * time.Hour
