package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/mechanism"
)

// Started returns the start time of the known incarnation of a server, as in platform.Registration.
func (t *Table) Started(id string) (started int64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return e.reg.Started, true
	}
	return 0, false
}

// MarkLoadingLonger is MarkLoading, except that it does not shorten an earlier mark: reports that a relay passes
// on are older than those that this host receives itself.
func (t *Table) MarkLoadingLonger(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && t.isOutdated(e) && until.After(e.loadingUntil) {
		e.loadingUntil = until
	}
}

// SuspectUntil records a report that a server is down, which was made at a time and passed on by another host. A
// later liveness signal that this host has received outweighs it, and so does a recent one, as for Suspect.
func (t *Table) SuspectUntil(host, id string, reportedAt, until, now time.Time) {
	if t.Off[mechanism.PeerDoubts] {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || now.Sub(e.lastSeen) <= recentlySeenThreshold || e.lastSeen.After(reportedAt) || !until.After(e.health.suspectedUntil) {
		return
	}
	if !now.Before(e.health.suspectedUntil) {
		t.log.WithFields(logrus.Fields{"replica": id, "relay": host}).Info("replica avoided: a relay reports that another host finds it down")
	}
	e.health.suspectedUntil = until
}
