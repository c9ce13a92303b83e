package dispatch

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/schedule"
)

const (
	// watchInterval is the interval at which a replica is checked for a hang.
	watchInterval = 100 * time.Millisecond
	// minHangTimeout is the shortest time without a liveness signal after which a replica is
	// abandoned for another one.
	minHangTimeout = 500 * time.Millisecond
	// hangTimeoutTargets is the same time in multiples of the route's latency target; the
	// longer of the two applies.
	hangTimeoutTargets = 1.0
	// stallPauseTargets is the pause between two events, in multiples of the route's pause
	// target, after which another replica is looked for that resumes the stream. watchStall applies a
	// minimum of 2*minHangTimeout. Callers give up after a pause of eight targets.
	stallPauseTargets = 4
)

// errUnresponsive is the cause with which attempts at an unresponsive replica, or with a
// stalled stream, are cancelled.
var errUnresponsive = errors.New("no liveness signal from the replica")

// watchHang looks for another replica if the replica is unresponsive, or its answer is assumed lost. The attempt
// is only given up for one that may be used: a sound replica may be silent for a second, too.
func (x *exchange) watchHang() {
	route := x.req.Route
	if !route.Repeatable() || x.report.Ran+1 >= route.Attempts || x.report.Sends+1 >= maxSends {
		return
	}
	limit := max(minHangTimeout, time.Duration(hangTimeoutTargets*float64(route.LatencyTarget)))
	x.hangWatch = startHangWatch(func() bool {
		now := clock.Now()
		hangs := x.choice.Flight.UnresponsiveFor(now) > limit || x.choice.Flight.PresumedLost()
		return hangs && x.giveUp()
	})
}

// giveUp ends the attempt if another replica may be used, and reserves that one. A stream that has begun is
// kept until another replica resumes it. It reports whether the check for a hang has ended.
func (x *exchange) giveUp() bool {
	x.mu.Lock()
	stall := x.stall
	x.mu.Unlock()
	if stall != nil {
		stall.attempt()
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended || x.stall != nil {
		return x.ended
	}
	x.replacement = x.reserve(x.parent)
	if x.replacement == nil {
		return false
	}
	x.cancel(errUnresponsive)
	return true
}

// setStall hands the attempt over to the takeover of its stream.
func (x *exchange) setStall(t *takeover) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stall = t
}

// commit ends the check for a hang, as the answer is forwarded from now on. It returns false if the attempt was given
// up already.
func (x *exchange) commit() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended, x.committed = true, x.replacement == nil
	return x.committed
}

// endHangCheck ends the check for a hang, and returns the replica that it reserved, or nil.
func (x *exchange) endHangCheck() *schedule.Choice {
	if x.hangWatch != nil {
		x.hangWatch.stop()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	return x.replacement
}

// hangWatch checks for a hang at each watchInterval until it finds one or is stopped.
type hangWatch struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func startHangWatch(hangs func() bool) *hangWatch {
	w := &hangWatch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, func() {
		if !hangs() {
			w.continueUnlessStopped()
		}
	})
	return w
}

// continueUnlessStopped arms the timer again. The watch may have been stopped during the check,
// which stopping the timer does not prevent.
func (w *hangWatch) continueUnlessStopped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(watchInterval)
	}
}

func (w *hangWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
