package rollout

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// unresponsiveTimeout and stalledTimeout are how long the lease holder keeps trying a
	// replica without success. When that time is over for all outdated replicas, it yields the
	// lease. unresponsiveTimeout applies to a replica that does not answer and leaves time for
	// two more calls. stalledTimeout applies to one that answers and leaves time for a few more
	// orders, since orders may get lost. The next host takes over when the lease has ended,
	// 3.3 s later.
	unresponsiveTimeout = 1500 * time.Millisecond
	stalledTimeout      = 5 * time.Second
	// slowHostTimeout is how long the holder keeps the lease while no replica loads and half
	// of its calls or more go without an answer: a host that has become slow still renews
	// the lease in time, but fails at everything else. The first replicas of a rollout load
	// within 2 s. If only orders get lost, reports are still answered, and another host
	// would do no better.
	slowHostTimeout = 2500 * time.Millisecond
	// yieldDelay postpones the turn of a host that has yielded the lease until all hosts that
	// follow the lease's log have had theirs.
	yieldDelay = 16 * rankDelay
)

// failure records one or more failed attempts in a row to load a replica.
type failure struct {
	// firstEnd is when the first of them ended, lastEnd when the last one did.
	firstEnd, lastEnd time.Time
	version           int64
	// answered is whether the replica answered any call of the last attempt.
	answered bool
	// lastProbe is when the replica was last probed, answersAgain whether it has answered a
	// probe since the last attempt.
	lastProbe    time.Time
	answersAgain bool
}

// timeout returns how long a host keeps trying the replica without success.
func (f failure) timeout() time.Duration {
	if f.answered {
		return stalledTimeout
	}
	return unresponsiveTimeout
}

// progress records when a replica was last seen loading, or none was outdated, and how many
// calls this host has made since, with and without an answer.
type progress struct {
	since                time.Time
	answered, unanswered int
}

// count counts a call.
func (p *progress) count(answered bool) {
	if answered {
		p.answered++
	} else {
		p.unanswered++
	}
}

// hostSlow reports whether this host appears to be too slow to load anything.
func (p *progress) hostSlow(now time.Time) bool {
	return now.Sub(p.since) >= slowHostTimeout && p.unanswered >= p.answered
}

// cutOffFromAll reports whether this host reaches no replica of any service with outdated ones. It then
// leaves the lease to the others: it does not take it, and does not renew it.
func (l *Loader) cutOffFromAll(outdated []loadTarget) bool {
	for _, t := range outdated {
		if !l.IsCutOff(t.server.Service) {
			return false
		}
	}
	return len(outdated) > 0
}

// isTurn reports whether it is this host's turn to take or renew the lease. The turns follow
// each other by rank, from when replicas became outdated or the lease became vacant,
// whichever is later. A host that has yielded the lease does not renew it, and takes it again
// after all others.
func (l *Loader) isTurn(eligibleSince time.Time, yielded bool, now time.Time) bool {
	delay := time.Duration(l.Rank()) * rankDelay
	vacantSince := l.lease.VacantSince(now)
	if vacantSince.IsZero() {
		return !yielded && now.Sub(eligibleSince) >= delay
	}
	if yielded {
		delay += yieldDelay
	}
	if vacantSince.After(eligibleSince) {
		eligibleSince = vacantSince
	}
	return l.lease.Follows() && now.Sub(eligibleSince) >= delay
}

// updateYield yields the lease if this host fails to load the outdated replicas, or resumes
// if it has yielded a lease that it still holds and a replica can be loaded after all. It
// reports whether the lease is yielded. l.mu is held.
func (l *Loader) updateYield(outdated []loadTarget, held bool, now time.Time) bool {
	l.resetForNewVersion(outdated, now)
	if !held {
		return l.hasYielded()
	}
	failing := l.allFailing(outdated, now)
	// Built only for the rare log messages: updateYield runs every 60 ms.
	entry := func() *logrus.Entry {
		return l.log.WithFields(logrus.Fields{
			"fencing": l.leaseTerm, "replicas": len(outdated), "in_vain": len(l.failed), "progress_ms": now.Sub(l.progress.since).Milliseconds(),
		})
	}
	switch {
	case !l.hasYielded() && (failing || l.progress.hostSlow(now)):
		l.yieldedTerm, l.yieldedAfterFailures = l.leaseTerm, failing
		entry().Warn("lease for weights left to another host: the replicas that lack them are not loaded")
	case l.hasYielded() && l.yieldedAfterFailures && !failing && l.mayResume():
		resumeEntry := entry()
		l.yieldedTerm, l.resumedAt, l.progress = 0, now, progress{since: now}
		resumeEntry.Info("lease for weights kept after all: a replica may be loaded")
	}
	return l.hasYielded()
}

// hasYielded reports whether this host has yielded the lease since it last took it. l.mu is
// held.
func (l *Loader) hasYielded() bool { return l.leaseTerm != 0 && l.yieldedTerm == l.leaseTerm }

// mayResume reports whether this host may keep a lease that it has yielded: once, and again
// only after a replica was seen loading since. A host that had only some of the calls of an
// attempt answered does not resume: an answer does not show that it can load the replica, and
// by resuming it could keep the lease for 40 s from a host whose calls are all answered. l.mu
// is held.
func (l *Loader) mayResume() bool {
	return !l.partlyReachable && (l.resumedAt.IsZero() || l.progress.since.After(l.resumedAt))
}

// resetForNewVersion cancels the yielding of the lease when a newer version is wanted: a host
// that yielded it because of a few replicas may well load the others. l.mu is held.
func (l *Loader) resetForNewVersion(outdated []loadTarget, now time.Time) {
	for _, t := range outdated {
		if t.version > l.newestWanted[t.model] {
			l.newestWanted[t.model] = t.version
			l.progress, l.yieldedTerm, l.resumedAt = progress{since: now}, 0, time.Time{}
		}
	}
}

// allFailing reports whether there are outdated replicas and this host has tried all of them
// without success until their timeouts. Another host may reach them; if this one kept the
// lease they would keep their old weights. l.mu is held.
func (l *Loader) allFailing(outdated []loadTarget, now time.Time) bool {
	for _, t := range outdated {
		f, failed := l.lastFailure(t)
		if !failed || f.answersAgain || now.Sub(f.firstEnd) < f.timeout() {
			return false
		}
	}
	return len(outdated) > 0
}

// lastFailure returns the failed attempts to load a target's version. l.mu is held.
func (l *Loader) lastFailure(t loadTarget) (failure, bool) {
	f, failed := l.failed[t.server.ID]
	return f, failed && f.version == t.version
}

// resetForNewTerm resets what was recorded under an earlier term if the lease has been taken
// again. If another host held it in between, that host may have sent orders, and the recorded
// counts of orders are out of date.
func (l *Loader) resetForNewTerm(now time.Time) {
	term, tookFromOther := l.lease.Term()
	l.mu.Lock()
	defer l.mu.Unlock()
	if term == l.leaseTerm {
		return
	}
	l.leaseTerm, l.progress, l.resumedAt, l.partlyReachable = term, progress{since: now}, time.Time{}, false
	clear(l.failed)
	if tookFromOther {
		clear(l.orderSequences)
	}
}
