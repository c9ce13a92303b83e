package rollout

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// silentAfter and stalledAfter are how long a holder tries a replica in vain before it
	// leaves the lease to another host, if none is left that it could load: two calls more
	// without an answer; where the replica answers, a few orders more, for orders may get
	// lost. The next host takes over once the lease has ended, 3.3 s later.
	silentAfter  = 1500 * time.Millisecond
	stalledAfter = 5 * time.Second
	// slowAfter is how long a holder keeps the lease while it gets nothing loaded, although
	// replicas are left, and half of its calls or more go without an answer: a host that has
	// become slow renews it in time, and fails at all else. The first replicas of a
	// rollout load within 2 s. Where orders get lost on their way, reports are answered, and
	// another host would fare no better.
	slowAfter = 2500 * time.Millisecond
	// standBack is how much later than its turn such a host wants the lease again, so that
	// others come first: as many as follow the lease's log.
	standBack = 16 * rankDelay
)

// failure is one or more tries in a row that failed.
type failure struct {
	// since is when the first of them ended, at when the last one did.
	since, at time.Time
	version   int64
	// answered is whether the replica answered any call of the last one.
	answered bool
	// asked is when the replica was asked since whether it answers, back whether it did.
	asked time.Time
	back  bool
}

// patience is how long a host goes on in vain.
func (f failure) patience() time.Duration {
	if f.answered {
		return stalledAfter
	}
	return silentAfter
}

// progress is when a replica was last seen to load, or there was none to load, and how many
// calls this host has made since, with and without an answer.
type progress struct {
	at               time.Time
	answered, silent int
}

// note counts a call.
func (p *progress) note(answered bool) {
	if answered {
		p.answered++
	} else {
		p.silent++
	}
}

// slow reports whether this host gets nothing done, as far as its calls tell.
func (p *progress) slow(now time.Time) bool {
	return now.Sub(p.at) >= slowAfter && p.silent >= p.answered
}

// due reports whether it is this host's turn to hold the lease. Hosts that may need it
// follow each other by rank from when replicas came to lack weights, or it became vacant,
// whichever is later. A host that has left the lease does not renew it, and comes last then.
func (l *Loader) due(needed time.Time, left bool, now time.Time) bool {
	delay := time.Duration(l.Rank()) * rankDelay
	vacant := l.lease.VacantSince(now)
	if vacant.IsZero() {
		return !left && now.Sub(needed) >= delay
	}
	if left {
		delay += standBack
	}
	if vacant.After(needed) {
		needed = vacant
	}
	return l.lease.Follows() && now.Sub(needed) >= delay
}

// leaves notes whether this host leaves the lease to others, or goes on while it still holds
// it, and reports whether it has left it since it took it last. l.mu is held.
func (l *Loader) leaves(behind []target, held bool, now time.Time) bool {
	l.noteNewest(behind, now)
	if !held {
		return l.hasLeft()
	}
	inVain := l.inVain(behind, now)
	// Built for a line alone: this is asked each 60 ms, and lines are rare.
	line := func() *logrus.Entry {
		return l.log.WithFields(logrus.Fields{
			"fencing": l.term, "replicas": len(behind), "in_vain": len(l.failed), "progress_ms": now.Sub(l.progress.at).Milliseconds(),
		})
	}
	switch {
	case !l.hasLeft() && (inVain || l.progress.slow(now)):
		l.left, l.leftInVain = l.term, inVain
		line().Warn("lease for weights left to another host: the replicas that lack them are not loaded")
	case l.hasLeft() && l.leftInVain && !inVain && l.mayResume():
		before := line()
		l.left, l.resumed, l.progress = 0, now, progress{at: now}
		before.Info("lease for weights kept after all: a replica may be loaded")
	}
	return l.hasLeft()
}

// hasLeft reports whether this host has left the lease to others since it took it last.
// l.mu is held.
func (l *Loader) hasLeft() bool { return l.term != 0 && l.left == l.term }

// mayResume reports whether this host may go on after it has left the lease: once, and again
// only after a replica has loaded since. One that gets a part of its calls answered never
// does: it would keep the lease for 40 s from a host that gets all, and a replica's answer
// says nothing to it. l.mu is held.
func (l *Loader) mayResume() bool {
	return !l.patchy && (l.resumed.IsZero() || l.progress.at.After(l.resumed))
}

// noteNewest begins anew when a newer version is wanted: a host that left the lease in vain
// of a few replicas may well load the others. l.mu is held.
func (l *Loader) noteNewest(behind []target, now time.Time) {
	for _, t := range behind {
		if t.version > l.newest[t.model] {
			l.newest[t.model] = t.version
			l.progress, l.left, l.resumed = progress{at: now}, 0, time.Time{}
		}
	}
}

// inVain reports whether this host has for a while tried all replicas that are left in
// vain. Another host may reach them; by the view of one host alone they would keep their old
// weights. l.mu is held.
func (l *Loader) inVain(behind []target, now time.Time) bool {
	for _, t := range behind {
		f, failed := l.failure(t)
		if !failed || f.back || now.Sub(f.since) < f.patience() {
			return false
		}
	}
	return len(behind) > 0
}

// failure returns the tries of a target that failed. l.mu is held.
func (l *Loader) failure(t target) (failure, bool) {
	f, failed := l.failed[t.server.ID]
	return f, failed && f.version == t.version
}

// noteTerm begins anew where the lease was taken anew. Where another host held it before,
// that one has given orders, and the counts of them are out of date.
func (l *Loader) noteTerm(now time.Time) {
	term, fromOther := l.lease.Term()
	l.mu.Lock()
	defer l.mu.Unlock()
	if term == l.term {
		return
	}
	l.term, l.progress, l.resumed, l.patchy = term, progress{at: now}, time.Time{}, false
	clear(l.failed)
	if fromOther {
		clear(l.sequences)
	}
}
