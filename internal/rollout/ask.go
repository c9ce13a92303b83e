package rollout

import (
	"context"
	"sort"
	"time"
)

const (
	// probeInterval is the time between two rounds of probes of unresponsive replicas. It is
	// longer than callTimeout, so that each round has its answers before the next begins.
	probeInterval = 750 * time.Millisecond
	// maxProbes limits the replicas probed in a round: reports are expensive, and replicas
	// that became unresponsive together mostly recover together.
	maxProbes = 4
)

// replicasToProbe returns the replicas to probe now, if any. Probes are sent only while this
// host still holds a lease that it has yielded because it failed to load all outdated
// replicas. Without them a replica that recovers would wait until the lease has ended,
// 3.3 s, and 2.4 s more if no other host takes it.
func (l *Loader) replicasToProbe(outdated []loadTarget, now time.Time) []loadTarget {
	held := l.lease.LogEndIfHeld() != 0
	l.mu.Lock()
	defer l.mu.Unlock()
	if !held || !l.hasYielded() || !l.yieldedAfterFailures || !l.mayResume() || now.Sub(l.lastProbe) < probeInterval {
		return nil
	}
	out := l.unresponsive(outdated)
	out = out[:min(maxProbes, len(out))]
	for _, t := range out {
		f := l.failed[t.server.ID]
		f.lastProbe = now
		l.failed[t.server.ID] = f
		l.lastProbe = now
	}
	return out
}

// unresponsive returns the outdated replicas that answered no call of their last attempt and
// have none in progress, least recently probed first. l.mu is held.
func (l *Loader) unresponsive(outdated []loadTarget) []loadTarget {
	var out []loadTarget
	for _, t := range outdated {
		if f, failed := l.lastFailure(t); failed && !f.answered && l.attempts[t.server.ID] == nil {
			out = append(out, t)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		return l.failed[out[i].server.ID].lastProbe.Before(l.failed[out[j].server.ID].lastProbe)
	})
	return out
}

// probe requests a report from a replica and records whether it answers again.
func (l *Loader) probe(ctx context.Context, t loadTarget) {
	report, err := l.report(ctx, t)
	if err != nil {
		l.log.WithError(err).WithField("replica", t.server.ID).Debug("replica does not answer yet")
		return
	}
	if l.recordIfLoaded(t, report) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, failed := l.lastFailure(t); failed {
		f.answersAgain = true
		l.failed[t.server.ID] = f
	}
}
