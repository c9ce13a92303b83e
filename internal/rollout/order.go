package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/platform"
)

// load makes one attempt to load a replica and logs the result.
func (l *Loader) load(ctx context.Context, t loadTarget) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	began := clock.Now()
	err := l.loadWeights(ctx, t)
	l.endAttempt(t, err)
	entry := l.log.WithFields(logrus.Fields{
		"replica": t.server.ID, "model": t.model, "version": t.version,
		"fencing": l.lease.Fencing(), "ms": clock.Since(began).Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Warn("weights not loaded")
		return
	}
	entry.Info("weights loaded")
}

// endAttempt records the result of an attempt. One that failed because the lease ended says
// nothing about the replica.
func (l *Loader) endAttempt(t loadTarget, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered := l.attempts[t.server.ID].answered
	delete(l.attempts, t.server.ID)
	if err == nil {
		l.progress = progress{since: clock.Now()}
		delete(l.failed, t.server.ID)
		return
	}
	if errors.Is(err, errLeaseEnded) {
		return
	}
	now := clock.Now()
	f, again := l.lastFailure(t)
	if !again {
		f.firstEnd = now
	}
	f.lastEnd, f.version, f.answered, f.answersAgain = now, t.version, answered, false
	l.failed[t.server.ID] = f
}

// loadWeights drains a replica, sends it a load order and waits until it holds the weights.
func (l *Loader) loadWeights(ctx context.Context, t loadTarget) error {
	l.drain(ctx, t)
	sequence, known := l.orderSequence(t.server.ID)
	if known {
		result, err := l.order(ctx, t, sequence)
		if err != nil {
			return err
		}
		if result != platform.OrderConflict {
			return l.awaitLoad(ctx, t, sequence, result)
		}
		// Another host has sent orders in the meantime: only the replica knows how many it
		// has accepted.
	}
	report, err := l.report(ctx, t)
	if err != nil {
		return err
	}
	if l.recordIfLoaded(t, report) {
		return nil
	}
	result, err := l.order(ctx, t, report.Sequence)
	if err != nil {
		return err
	}
	return l.awaitLoad(ctx, t, report.Sequence, result)
}

// drain keeps new requests away from the replica until it has prefilled the prompts that it
// was sent, for at least minDrain and at most maxDrain.
func (l *Loader) drain(ctx context.Context, t loadTarget) {
	began := clock.Now()
	l.markLoading(t)
	l.OnChange()
	marked := began
	for ctx.Err() == nil {
		if clock.Since(marked) > loadingMarkTTL/3 {
			l.markLoading(t)
			marked = clock.Now()
		}
		time.Sleep(drainPollInterval)
		now := clock.Now()
		drained := now.Sub(began)
		if drained >= maxDrain || drained >= minDrain && l.replicas.WaitingRequests(t.server.ID, now) == 0 {
			return
		}
	}
}

// markLoading keeps new requests of this host away from a replica for loadingMarkTTL. Heartbeats tell
// the other hosts as long as the attempt lasts: a heartbeat at once for each mark of each replica filled the
// host's own link, so that the others neither heard of the replicas nor of the host itself.
func (l *Loader) markLoading(t loadTarget) {
	l.replicas.MarkLoading(t.server.ID, clock.Now().Add(loadingMarkTTL))
}

func (l *Loader) orderSequence(id string) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, known := l.orderSequences[id]
	return n, known
}

func (l *Loader) setOrderSequence(id string, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orderSequences[id] = n
}

// recordCall records whether a replica answered a call.
func (l *Loader) recordCall(id string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.count(answered)
	if current := l.attempts[id]; current != nil {
		current.answered = current.answered || answered
		current.unanswered = current.unanswered || !answered
		l.partlyReachable = l.partlyReachable || current.answered && current.unanswered
	}
}

// recordReport records what a report shows about the load orders of a replica.
func (l *Loader) recordReport(id string, report platform.EngineReport) {
	l.setOrderSequence(id, report.Sequence)
	if !report.Loading {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress = progress{since: clock.Now()}
}

func (l *Loader) report(ctx context.Context, t loadTarget) (platform.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := l.engine.Report(ctx, t.server.Address, t.server.ID)
	l.recordCall(t.server.ID, err == nil)
	if err == nil {
		l.recordReport(t.server.ID, report)
	}
	return report, err
}

// recordIfLoaded records the weights in a report if they are the target's version or newer,
// and reports whether they are.
func (l *Loader) recordIfLoaded(t loadTarget, report platform.EngineReport) bool {
	if report.Weights[t.model] < t.version {
		return false
	}
	l.recordWeights(t.server.ID, t.model, report.Weights[t.model])
	return true
}

// order sends a load order right after checking the lease. An order without an answer may
// have been accepted.
func (l *Loader) order(ctx context.Context, t loadTarget, sequence int64) (platform.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := platform.LoadOrder{
		Replica: t.server.ID, Model: t.model, Version: t.version, Mode: l.mode,
		Holder: l.holder, Fencing: l.lease.Fencing(), Sequence: sequence,
	}
	if !l.lease.Valid() {
		return platform.OrderRejected, errLeaseEnded
	}
	l.OnOrder()
	result, err := l.engine.Order(ctx, t.server.Address, o)
	l.recordCall(t.server.ID, err == nil)
	entry := l.log.WithFields(logrus.Fields{
		"replica": t.server.ID, "version": t.version, "fencing": o.Fencing, "sequence": sequence, "result": result.String(),
	})
	if err != nil {
		// Later reports show whether it was accepted.
		entry.WithError(err).Warn("order to load weights without an answer")
		return platform.OrderLost, nil
	}
	entry.Info("order to load weights")
	if result == platform.OrderAccepted {
		l.setOrderSequence(t.server.ID, sequence+1)
		return result, nil
	}
	// The replica's count of orders differs from the recorded one, or was not confirmed.
	l.Forget(t.server.ID)
	if result == platform.OrderAlreadyHeld || result == platform.OrderConflict {
		return result, nil
	}
	return result, errOrderRejected
}

// Forget drops the recorded count of a replica's orders, after which the next attempt asks
// the replica for it. A replica that restarts counts its orders from zero.
func (l *Loader) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.orderSequences, id)
}

// awaitLoad polls the replica until it holds the target's weights. It ends early if the order
// was not accepted and can no longer be, so that the next plan sends another one.
func (l *Loader) awaitLoad(ctx context.Context, t loadTarget, sequence int64, result platform.OrderResult) error {
	accepted := result == platform.OrderAccepted || result == platform.OrderAlreadyHeld
	began := clock.Now()
	pause := minLoadTime
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return errLoadTimeout
		case <-time.After(pause):
		}
		pause = pollInterval
		l.markLoading(t)
		report, err := l.report(ctx, t)
		if err != nil {
			failures++
			if failures >= maxReportFailures {
				return err
			}
			continue
		}
		failures = 0
		if t.server.Started != 0 && report.Started > t.server.Started {
			l.Forget(t.server.ID)
			return errRestarted
		}
		if l.recordIfLoaded(t, report) {
			return nil
		}
		if !accepted && cannotTakeEffect(report, sequence, clock.Since(began)) {
			return errOrderLost
		}
	}
}

// cannotTakeEffect reports whether to stop waiting for an order that the replica has not
// confirmed: the replica is not loading, and has either accepted other orders since, so that the
// order's sequence number no longer matches, or had enough time to receive this one.
// Without the check of the sequence number a host with an outdated count of a replica's orders
// would lose loadTimeout on each replica.
func cannotTakeEffect(report platform.EngineReport, sequence int64, waited time.Duration) bool {
	if report.Loading {
		return false
	}
	return report.Sequence > sequence || waited > lostOrderTimeout
}
