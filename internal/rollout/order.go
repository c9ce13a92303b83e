package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/platform"
)

// load brings one replica to its target.
func (l *Loader) load(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	began := clock.Now()
	err := l.bring(ctx, t)
	l.ended(t, err)
	line := l.log.WithFields(logrus.Fields{
		"replica": t.server.ID, "model": t.model, "version": t.version,
		"fencing": l.lease.Fencing(), "ms": clock.Since(began).Milliseconds(),
	})
	if err != nil {
		line.WithError(err).Warn("weights not loaded")
		return
	}
	line.Info("weights loaded")
}

// ended records how a try ended. One that the end of the lease cut says nothing of the
// replica.
func (l *Loader) ended(t target, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered := l.busy[t.server.ID].answered
	delete(l.busy, t.server.ID)
	if err == nil {
		l.progress = progress{at: clock.Now()}
		delete(l.failed, t.server.ID)
		return
	}
	if errors.Is(err, errLeaseEnded) {
		return
	}
	now := clock.Now()
	f, again := l.failure(t)
	if !again {
		f.since = now
	}
	f.at, f.version, f.answered, f.back = now, t.version, answered, false
	l.failed[t.server.ID] = f
}

func (l *Loader) bring(ctx context.Context, t target) error {
	l.drain(ctx, t)
	sequence, known := l.sequence(t.server.ID)
	if known {
		result, err := l.order(ctx, t, sequence)
		if err != nil {
			return err
		}
		if result != platform.OrderConflict {
			return l.await(ctx, t, sequence, result)
		}
		// Another host has given orders since: only the replica knows how many.
	}
	report, err := l.report(ctx, t)
	if err != nil {
		return err
	}
	if l.holds(t, report) {
		return nil
	}
	result, err := l.order(ctx, t, report.Sequence)
	if err != nil {
		return err
	}
	return l.await(ctx, t, report.Sequence, result)
}

// drain keeps new requests away from the replica until it has read the prompts
// that it was sent.
func (l *Loader) drain(ctx context.Context, t target) {
	began := clock.Now()
	marked := time.Time{}
	for ctx.Err() == nil {
		if clock.Since(marked) > refuseHold/3 {
			l.mark(t)
			marked = clock.Now()
		}
		time.Sleep(drainPoll)
		now := clock.Now()
		drained := now.Sub(began)
		if drained >= maxDrain || drained >= leastDrain && l.replicas.Waiting(t.server.ID, now) == 0 {
			return
		}
	}
}

func (l *Loader) mark(t target) {
	l.replicas.Loading(t.server.ID, clock.Now().Add(refuseHold))
	l.Changed()
}

func (l *Loader) sequence(id string) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, known := l.sequences[id]
	return n, known
}

func (l *Loader) setSequence(id string, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequences[id] = n
}

// noteCall notes whether a replica answered a report or an order.
func (l *Loader) noteCall(id string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.note(answered)
	if try := l.busy[id]; try != nil {
		try.answered = try.answered || answered
		try.silent = try.silent || !answered
		l.patchy = l.patchy || try.answered && try.silent
	}
}

// noteReport notes what a replica reports of its orders.
func (l *Loader) noteReport(id string, report platform.EngineReport) {
	l.setSequence(id, report.Sequence)
	if !report.Loading {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress = progress{at: clock.Now()}
}

func (l *Loader) report(ctx context.Context, t target) (platform.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := l.engine.Report(ctx, t.server.Address, t.server.ID)
	l.noteCall(t.server.ID, err == nil)
	if err == nil {
		l.noteReport(t.server.ID, report)
	}
	return report, err
}

// holds records what a report shows and whether it is the target.
func (l *Loader) holds(t target, report platform.EngineReport) bool {
	if report.Weights[t.model] < t.version {
		return false
	}
	l.learn(t.server.ID, t.model, report.Weights[t.model])
	return true
}

// order sends the order right after checking the lease. An order without an answer may
// have been accepted.
func (l *Loader) order(ctx context.Context, t target, sequence int64) (platform.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := platform.LoadOrder{
		Replica: t.server.ID, Model: t.model, Version: t.version, Mode: l.mode,
		Holder: l.holder, Fencing: l.lease.Fencing(), Sequence: sequence,
	}
	if !l.lease.Valid() {
		return platform.OrderRefused, errLeaseEnded
	}
	l.Ordered()
	result, err := l.engine.Order(ctx, t.server.Address, o)
	l.noteCall(t.server.ID, err == nil)
	line := l.log.WithFields(logrus.Fields{
		"replica": t.server.ID, "version": t.version, "fencing": o.Fencing, "sequence": sequence, "result": result.String(),
	})
	if err != nil {
		// The reports show whether it was accepted.
		line.WithError(err).Warn("order to load weights without an answer")
		return platform.OrderLost, nil
	}
	line.Info("order to load weights")
	if result == platform.OrderAccepted {
		l.setSequence(t.server.ID, sequence+1)
		return result, nil
	}
	// The count is not what was believed, or nothing was said of it.
	l.Forget(t.server.ID)
	if result == platform.OrderHolds || result == platform.OrderConflict {
		return result, nil
	}
	return result, errOrderRefused
}

// Forget drops what is known of a replica's orders: it left or started again,
// and counts its orders from zero.
func (l *Loader) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sequences, id)
}

// await asks the replica until it holds the target's weights. An order that was not
// accepted, and will not be, ends the wait early, so that the next plan orders again.
func (l *Loader) await(ctx context.Context, t target, sequence int64, result platform.OrderResult) error {
	accepted := result == platform.OrderAccepted || result == platform.OrderHolds
	began := clock.Now()
	pause := firstReport
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return errLoadSlow
		case <-time.After(pause):
		}
		pause = reportInterval
		l.mark(t)
		report, err := l.report(ctx, t)
		if err != nil {
			failures++
			if failures >= maxFailures {
				return err
			}
			continue
		}
		failures = 0
		if t.server.Started != 0 && report.Started > t.server.Started {
			l.Forget(t.server.ID)
			return errRestarted
		}
		if l.holds(t, report) {
			return nil
		}
		if !accepted && isVoid(report, sequence, clock.Since(began)) {
			return errOrderLost
		}
	}
}

// isVoid reports whether an order that the replica was not seen to accept need not be
// waited for: its condition cannot come true any more, since others were accepted and
// have ended, or it had time enough to arrive. Without the first a host whose count of
// a replica's orders is old would lose loadTimeout to each replica.
func isVoid(report platform.EngineReport, sequence int64, waited time.Duration) bool {
	if report.Loading {
		return false
	}
	return report.Sequence > sequence || waited > resendAfter
}
