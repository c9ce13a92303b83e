package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/platform"
)

// Told takes what the head of an answer to the flight says of its server.
func (f *Flight) Told(a platform.ReplicaAnswer) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	f.table.told(f.entry, a)
}

// ToldAt takes what an answer to a call other than a request says of the server at an
// address. A server that has registered there since the call began is another one.
func (t *Table) ToldAt(address string, a platform.ReplicaAnswer, began time.Time) {
	if !a.Leaving {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.reg.Address == address && e.since.Before(began) {
			t.told(e, a)
		}
	}
}

// told takes a server's own word that it leaves as its entry's: the store may be silent,
// or slow to take it.
func (t *Table) told(e *entry, a platform.ReplicaAnswer) {
	if a.Instance != "" && a.Instance != e.reg.ID {
		// Another server answers at this address.
		return
	}
	if a.Leaving && !e.saidLeaving {
		e.saidLeaving = true
		t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "state": e.machine.Current()}).Info("replica says that it leaves")
		t.fire(e, eventDrain, "an answer says that it leaves")
	}
}
