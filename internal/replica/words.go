package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/platform"
)

// restYields is how long newer weights have been wanted of a server from which it is
// ordered to load them in its rest too: a server may rest for longer than it may go on with
// older ones.
const restYields = 3 * time.Second

// Told takes what the head of an answer to the flight says of its server.
func (f *Flight) Told(a platform.ReplicaAnswer, now time.Time) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.table.told(f.entry, a, now)
}

// ToldAt takes what an answer to a call other than a request says of the server at an
// address. A server that has registered there since the call began is another one.
func (t *Table) ToldAt(address string, a platform.ReplicaAnswer, began time.Time) {
	if !a.Leaving && a.Rest == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.reg.Address == address && e.since.Before(began) {
			t.told(e, a, clock.Now())
		}
	}
}

// told takes a server's own word that it leaves as its entry's: the store may be silent,
// or slow to take it.
func (t *Table) told(e *entry, a platform.ReplicaAnswer, now time.Time) {
	if a.Instance != "" && a.Instance != e.reg.ID {
		// Another server answers at this address.
		return
	}
	if a.Leaving && !e.saidLeaving {
		e.saidLeaving = true
		t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "state": e.machine.Current()}).Info("replica says that it leaves")
		t.fire(e, eventDrain, "an answer says that it leaves")
	}
	if until := now.Add(a.Rest); a.Rest > 0 && until.After(e.restUntil) {
		if !now.Before(e.restUntil) {
			t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "ms": a.Rest.Milliseconds()}).Info("replica asks this host for rest")
		}
		e.restUntil = until
	}
}

// rest returns for how long a server wants nothing from this host. It is counted from its
// answer's arrival, thus to a little after its end.
func (e *entry) rest(now time.Time) time.Duration { return max(0, e.restUntil.Sub(now)) }

// Rest returns for how long a server wants nothing from this host.
func (t *Table) Rest(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return e.rest(now)
	}
	return 0
}

// ordersWait reports whether orders wait for the end of a server's rest.
func (t *Table) ordersWait(e *entry, now time.Time) bool {
	if e.rest(now) == 0 {
		return false
	}
	for model, version := range e.weights {
		if first, newer := t.firstNewer(model, version); newer && now.Sub(first.since) >= restYields {
			return false
		}
	}
	return true
}
