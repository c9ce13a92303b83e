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
}

// patience is how long a host goes on in vain.
func (f failure) patience() time.Duration {
	if f.answered {
		return stalledAfter
	}
	return silentAfter
}

// due reports whether it is this host's turn to hold the lease. Hosts that may need it
// follow each other by rank from when replicas came to lack weights, or it became vacant,
// whichever is later. A holder that is stalled does not renew it, and comes last then.
func (l *Loader) due(needed time.Time, stalled bool, now time.Time) bool {
	delay := time.Duration(l.Rank()) * rankDelay
	vacant := l.lease.VacantSince(now)
	if vacant.IsZero() {
		if stalled && l.lease.HeldEnd() != 0 {
			l.noteLeft()
		}
		return !stalled && now.Sub(needed) >= delay
	}
	if stalled {
		delay += standBack
	}
	if vacant.After(needed) {
		needed = vacant
	}
	return l.lease.Follows() && now.Sub(needed) >= delay
}

// stalled reports whether this host has for a while tried all replicas that are left in
// vain. Another host may reach them; by the view of one host alone they would keep their old
// weights. l.mu is held.
func (l *Loader) stalled(behind []target, now time.Time) bool {
	for _, t := range behind {
		f, failed := l.failure(t)
		if !failed || now.Sub(f.since) < f.patience() {
			return false
		}
	}
	return len(behind) > 0
}

// noteLeft says once for each term that the lease is left to another host.
func (l *Loader) noteLeft() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left == l.term {
		return
	}
	l.left = l.term
	l.log.WithFields(logrus.Fields{"fencing": l.term, "replicas": len(l.failed)}).Warn("lease for weights left to another host: the replicas that lack them are tried in vain")
}

// failure returns the tries of a target that failed. l.mu is held.
func (l *Loader) failure(t target) (failure, bool) {
	f, failed := l.failed[t.server.ID]
	return f, failed && f.version == t.version
}

// noteTerm begins anew where the lease was taken anew. Where another host held it before,
// that one has given orders, and the counts of them are out of date.
func (l *Loader) noteTerm() {
	term, fromOther := l.lease.Term()
	l.mu.Lock()
	defer l.mu.Unlock()
	if term == l.term {
		return
	}
	l.term = term
	clear(l.failed)
	if fromOther {
		clear(l.sequences)
	}
}
