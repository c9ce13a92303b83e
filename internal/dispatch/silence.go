package dispatch

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
)

const (
	// watchInterval is the interval at which a replica is checked for a hang.
	watchInterval = 100 * time.Millisecond
	// minHangTimeout is the shortest time without a liveness signal after which another replica is
	// tried.
	minHangTimeout = 500 * time.Millisecond
	// hangTimeoutTargets is the same time in multiples of the route's latency target; the
	// longer of the two applies.
	hangTimeoutTargets = 1.0
	// stallPauseTargets is the pause between two events, in multiples of the route's pause
	// target, after which another replica is looked for that resumes the stream. newTakeover applies a
	// minimum of 2*minHangTimeout. Callers give up after a pause of eight targets.
	stallPauseTargets = 4
)

// errUnresponsive is the cause with which attempts at an unresponsive replica, or with a
// stalled stream, are cancelled.
var errUnresponsive = errors.New("no liveness signal from the replica")

// watchHang has another replica tried if this one is unresponsive, or its answer is assumed lost.
func (x *exchange) watchHang() {
	route := x.req.Route
	if !route.Repeatable() || route.Attempts <= 1 {
		return
	}
	limit := max(minHangTimeout, time.Duration(hangTimeoutTargets*float64(route.LatencyTarget)))
	x.hangWatch = startHangWatch(func() {
		if x.choice.Flight.UnresponsiveFor(clock.Now()) > limit || x.choice.Flight.PresumedLost() {
			x.takeover.tryAnotherAfter(limit)
		}
	})
}

// hangWatch checks for a hang at each watchInterval until it is stopped.
type hangWatch struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func startHangWatch(check func()) *hangWatch {
	w := &hangWatch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, func() {
		check()
		w.continueUnlessStopped()
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

// stop ends the checks. w may be nil.
func (w *hangWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
