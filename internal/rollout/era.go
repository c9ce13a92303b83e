package rollout

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/topic"
)

// eraShift leaves room for the offsets of an era in a fencing token: a store that was restored
// from a copy assigns offsets again, and tokens must not decrease.
const eraShift = 24

// Restored records that the store was restored from a copy, which may have no records of the
// current holder. This process reads the log anew. If it held the lease it may take it again at
// once; another one waits until the orders of the holder have ended.
func (l *Lease) Restored(era int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beginEra(era)
}

func (l *Lease) beginEra(era int64) {
	if era <= l.era {
		return
	}
	held := l.machine.Is(StateHeld)
	l.era, l.eraKnown, l.end = era, true, 0
	l.unconfirmedSince = time.Time{}
	l.notBefore = time.Time{}
	if held {
		l.log.WithFields(logrus.Fields{"lease": l.Purpose, "fencing": l.fencing, "era": era}).Warn("lease lost: the store was restored from a copy")
	} else {
		l.notBefore = clock.Now().Add(l.ttl + takeoverMargin)
	}
	statemachine.Fire(l.machine, eventRestored)
	if l.cancelRead != nil {
		l.cancelRead()
	}
}

// token returns the fencing token of the process that took the lease with the record at an offset.
// Offsets begin at 0, fencing tokens at 1.
func (l *Lease) token(offset int64) int64 { return l.era<<eraShift + offset + 1 }

// position returns the position in the log up to which it has been read. l.mu is held.
func (l *Lease) position() topic.Position { return topic.Position{Era: l.era, Offset: l.end} }

// isCurrent reports whether a call that was sent at a position was sent in the current era. l.mu is
// held.
func (l *Lease) isCurrent(sent topic.Position) bool { return sent.Era == l.era }

// readsEra reports whether a page belongs to the current era. A later one begins with it, and an
// answer of an earlier one is too late.
func (l *Lease) readsEra(era int64) bool {
	l.adoptEra(era)
	current := era == l.era
	l.beginEra(era)
	return current
}

// adoptEra records the era of the first read. The store may have lost the record of a holder before
// this process started.
func (l *Lease) adoptEra(era int64) {
	if l.eraKnown {
		return
	}
	l.era, l.eraKnown = era, true
	if era > 0 {
		l.notBefore = clock.Now().Add(l.ttl + takeoverMargin)
	}
}

// LogEra returns the era of the store that LogEndIfHeld belongs to.
func (l *Lease) LogEra() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}
