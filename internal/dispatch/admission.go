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
	// maxHolds bounds how often a request is held, and maxHoldTargets how long each
	// time, in latency targets.
	maxHolds       = 2
	maxHoldTargets = 0.7
)

// maxHold returns how long the request may be held now.
func (r *run) maxHold() time.Duration {
	if r.report.Holds >= maxHolds {
		return 0
	}
	return time.Duration(maxHoldTargets * float64(r.req.Route.LatencyTarget))
}

// held waits while the chosen replica reads shared parts for another request, so
// that they are read once, and reports whether the choice is to be made again.
func (r *run) held(ctx context.Context, choice *schedule.Choice) bool {
	if choice.Hold == 0 {
		return false
	}
	r.report.Holds++
	clock.Sleep(ctx, choice.Hold)
	return true
}

const (
	// lateTargets is the expected time to a stream's first event, in latency
	// targets, from which a request is refused: it would be late, make those behind
	// it late, and mostly be given up by its caller, who waits for four targets.
	lateTargets = 3
	// urgentTargets is the wait, in latency targets of the service's most urgent
	// route, from which less urgent requests are refused: they are the larger ones,
	// and urgent requests would wait behind them.
	urgentTargets = 1.0
	// leastAfter is the shortest time after which a refused request is asked back.
	leastAfter = 200 * time.Millisecond
)

// tooLate returns a refusal when the request had better come back later.
func (r *run) tooLate(choice *schedule.Choice, now time.Time) error {
	if r.arrived > 0 {
		return nil
	}
	left := r.req.Deadline.Sub(now)
	if !r.d.Off[mechanism.LateRefusal] {
		left = min(left, patience(r.req.Route))
	}
	if choice.Expected > left {
		return errkind.New(errkind.Overloaded, fmt.Sprintf("the first answer is expected after %d ms, and accepted up to %d ms",
			choice.Expected.Milliseconds(), left.Milliseconds())).After(max(leastAfter, choice.Expected-left))
	}
	s := r.req.Service
	if r.d.Off[mechanism.UrgentRefusal] || r.req.Route.Kind != config.Streaming || s.UrgentTarget == 0 || r.req.Route.Priority <= s.UrgentPriority {
		return nil
	}
	limit := time.Duration(urgentTargets * float64(s.UrgentTarget))
	if choice.Waiting <= limit {
		return nil
	}
	return errkind.New(errkind.Overloaded, fmt.Sprintf("the wait is expected to be %d ms, and %d ms are left to more urgent requests",
		choice.Waiting.Milliseconds(), limit.Milliseconds())).After(max(leastAfter, choice.Waiting))
}

// patience returns the longest expected time to the first event of a stream that
// is accepted; for other answers the deadline says so.
func patience(route *config.Route) time.Duration {
	if route.Kind != config.Streaming || route.LatencyTarget <= 0 {
		return unlimited
	}
	return lateTargets * route.LatencyTarget
}

// refusePoison returns a denial of a request under which servers crash, wherever it came
// from: each further server would end too, with all that it runs for others. It is asked
// before each attempt, as other hosts may have seen the last crash meanwhile.
func (r *run) refusePoison() error {
	n := r.d.crashes.Refused(r.report.Digest, clock.Now())
	if n == 0 {
		return nil
	}
	return errkind.New(errkind.Quarantined, fmt.Sprintf("%d backend servers crashed while they were running this request; it is not sent to others", n))
}

// errPoison ends attempts at a request under which servers crash.
var errPoison = errors.New("servers crash under this request")

// guard ends the attempt if the request is refused before its answer begins: it may still
// wait for its turn at a server, which would crash too.
func (x *exchange) guard() {
	if !x.started {
		x.unguard = x.d.crashes.OnRefused(x.report.Digest, func() { x.cancel(errPoison) })
	}
}

// answerBegins ends the guard: the server runs the request and lives.
func (x *exchange) answerBegins() {
	if x.unguard != nil {
		x.unguard()
		x.unguard = nil
	}
}

// unlimited stands for no bound.
const unlimited = 24 * time.Hour
