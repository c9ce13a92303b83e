package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/platform"
)

// backoffOverrideThreshold is how long newer weights must have been wanted before a server
// is commanded to load them even during its backoff, which may last longer than the server
// may keep serving with older weights.
const backoffOverrideThreshold = 3 * time.Second

// RecordNotice applies what the head of an answer to this request says about its server.
func (f *Flight) RecordNotice(a platform.ReplicaAnswer, now time.Time) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.headReceived = f.headReceived || a.Sealed
	f.table.applyNotice(f.entry, a, f.start, now)
}

// RecordNoticeAt applies what an answer to another call than a request says about the server at an
// address. It ignores servers that registered after the call began.
func (t *Table) RecordNoticeAt(address string, a platform.ReplicaAnswer, began time.Time) {
	if !a.Leaving && a.RetryAfter == 0 && !a.LimitsRequests && !a.Brittle {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.reg.Address == address && e.firstSeen.Before(began) {
			t.applyNotice(e, a, began, clock.Now())
		}
	}
}

// applyNotice applies a server's notice that it leaves, its requested backoff and its request
// limit, from the answer to a call that began at the given time. The notice takes effect before
// the server's entry says the same, since the store may be unavailable or slow.
func (t *Table) applyNotice(e *entry, a platform.ReplicaAnswer, began, now time.Time) {
	if a.Instance != "" && a.Instance != e.reg.ID {
		// Another server answers at this address.
		return
	}
	t.applyLimit(e, a, began, now)
	t.applyBrittleness(e, a, began, now)
	if a.Leaving && !e.leaveNoticeReceived {
		e.leaveNoticeReceived = true
		t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "state": e.state}).Info("replica says that it leaves")
		t.fire(e, eventDrain, "an answer says that it leaves")
	}
	if until := now.Add(a.RetryAfter); a.RetryAfter > 0 && until.After(e.backoffUntil) {
		if !now.Before(e.backoffUntil) {
			t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "ms": a.RetryAfter.Milliseconds()}).Info("replica asks this host to back off")
		}
		e.backoffUntil = until
	}
}

// backoff returns the remaining backoff that a server requested from this host. It is counted
// from the arrival of the answer, and so ends slightly late.
func (e *entry) backoff(now time.Time) time.Duration { return max(0, e.backoffUntil.Sub(now)) }

// Backoff returns the remaining backoff that a server requested from this host.
func (t *Table) Backoff(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return e.backoff(now)
	}
	return 0
}

// commandsDeferred reports whether commands to a server wait for the end of its backoff.
func (t *Table) commandsDeferred(e *entry, now time.Time) bool {
	if e.backoff(now) == 0 {
		return false
	}
	for model, version := range e.weights {
		if first, newer := t.firstNewer(model, version); newer && now.Sub(first.since) >= backoffOverrideThreshold {
			return false
		}
	}
	return true
}
