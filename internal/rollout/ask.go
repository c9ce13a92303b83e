package rollout

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// askInterval is how often a silent replica is asked whether it answers again. It is
	// longer than callTimeout, so that one question at a time is under way.
	askInterval = 750 * time.Millisecond
	// askAtOnce bounds how many are asked in that time: reports are dear, and replicas that
	// went silent together mostly come back together.
	askAtOnce = 4
)

// silent returns the replicas to ask now whether they answer again: some of those behind
// where this host left the lease because none of them answered, and no other host has taken
// it since. Without that, replicas that come back wait until the lease has run out, 3.3 s,
// and 2.4 s more where no other host wants it.
func (l *Loader) silent(behind []target, now time.Time) []target {
	if !l.lease.LastHeldHere() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 || l.left != l.term || !l.mayResume() || !l.allSilent(behind) {
		return nil
	}
	l.sortByAsked(behind)
	var out []target
	for _, t := range behind[:min(askAtOnce, len(behind))] {
		f := l.failed[t.server.ID]
		if l.busy[t.server.ID] != nil || now.Sub(f.asked) < askInterval {
			continue
		}
		f.asked = now
		l.failed[t.server.ID] = f
		out = append(out, t)
	}
	return out
}

// mayResume reports whether a replica has loaded since this host last went on after it had
// left the lease. A host that gets one answer in ten would otherwise keep the lease from
// hosts that get all. l.mu is held.
func (l *Loader) mayResume() bool {
	return l.resumed.IsZero() || l.progress.at.After(l.resumed)
}

// allSilent reports whether every target was tried, and answered nothing when it was tried
// last. l.mu is held.
func (l *Loader) allSilent(behind []target) bool {
	for _, t := range behind {
		if f, failed := l.failure(t); !failed || f.answered {
			return false
		}
	}
	return true
}

// sortByAsked puts those first that were asked longest ago. l.mu is held.
func (l *Loader) sortByAsked(behind []target) {
	sort.SliceStable(behind, func(i, j int) bool {
		return l.failed[behind[i].server.ID].asked.Before(l.failed[behind[j].server.ID].asked)
	})
}

// ask asks a replica for a report, and goes on with the lease if it answers.
func (l *Loader) ask(ctx context.Context, t target) {
	report, err := l.report(ctx, t)
	if err != nil {
		l.log.WithError(err).WithField("replica", t.server.ID).Debug("replica does not answer yet")
		return
	}
	l.holds(t, report)
	l.resume(t, time.Now())
}

// resume takes back that this host left the lease.
func (l *Loader) resume(t target, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.failed, t.server.ID)
	if l.left == 0 {
		return
	}
	l.left, l.resumed, l.progress = 0, now, progress{at: now}
	l.log.WithFields(logrus.Fields{"replica": t.server.ID, "fencing": l.term}).Info("lease for weights kept after all: a replica answers again")
}
