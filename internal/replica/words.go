package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/platform"
)

// Told takes what the head of an answer says of its server.
func (f *Flight) Told(a platform.ReplicaAnswer, _ time.Time) {
	t, e := f.table, f.entry
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Instance != "" && a.Instance != e.reg.ID {
		// Another server answers at this address.
		return
	}
	if a.Leaving && !e.saidLeaving {
		e.saidLeaving = true
		t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "state": e.machine.Current()}).Info("replica says that it leaves")
	}
}
