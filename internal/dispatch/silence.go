package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
)

const (
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
)

var errSilent = errors.New("the replica gives no sign of life")

// watchSilence ends the attempt when the replica hangs and another may be tried.
func (x *exchange) watchSilence() {
	route := x.req.Route
	if !route.Repeatable() || x.report.Ran+1 >= route.Attempts {
		return
	}
	limit := max(leastSilence, time.Duration(silentTargets*float64(route.LatencyTarget)))
	check := func() {
		if x.choice.Flight.Silence(clock.Now()) > limit || x.choice.Flight.Lost() {
			x.cancel(errSilent)
			return
		}
		x.watch.Reset(watchInterval)
	}
	x.watch = time.AfterFunc(time.Hour, check)
	x.watch.Reset(watchInterval)
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
