package replica

import (
	"time"

	"github.com/briarlink/briarlink/internal/mechanism"
)

const (
	// failureWindow is half of the time over which answers count: a fault that lasts
	// some seconds is known in its first, and forgotten a few after its end.
	failureWindow = 2 * time.Second
	// priorAnswers is the number of good answers that every server is thought to
	// have given: one loss of few requests says little.
	priorAnswers = 6
)

// failures counts how a host's exchanges with a server ended, lately.
type failures struct {
	// began is the start of the window that present counts; past is the one before.
	began         time.Time
	present, past outcomes
}

// outcomes counts exchanges that ended, and those of them that failed.
type outcomes struct{ ended, failed int32 }

func (f *failures) note(failed bool, now time.Time) {
	f.roll(now)
	f.present.ended++
	if failed {
		f.present.failed++
	}
}

// roll begins a new window where the present one is over.
func (f *failures) roll(now time.Time) {
	age := now.Sub(f.began)
	if age < failureWindow {
		return
	}
	f.past = f.present
	if age >= 2*failureWindow {
		f.past = outcomes{}
	}
	f.present = outcomes{}
	f.began = now
}

// lately returns the counts of the last two to four seconds.
func (f *failures) lately(now time.Time) outcomes {
	f.roll(now)
	return outcomes{f.present.ended + f.past.ended, f.present.failed + f.past.failed}
}

// share returns the part of exchanges that failed.
func (o outcomes) share() float64 {
	return float64(o.failed) / float64(o.ended+priorAnswers)
}

// overdue is how long, beyond what was expected of it, an answer must be missing to
// be thought lost when a later request of the server is answered: requests overtake
// each other by urgency and size, mostly by less than half a second.
const overdue = 700 * time.Millisecond

// overtake notes that a later request of the server was answered while others
// wait: those that were overtaken long after they were due have lost their answer.
// Their callers would only leave in the end, which says nothing of the server.
func (t *Table) overtake(answered *Flight, now time.Time) {
	if t.Off[mechanism.LostAnswers] {
		return
	}
	e := answered.entry
	for f := range e.flights {
		if f.answered || f.lost || !f.began.Before(answered.began) || now.Sub(f.began) < f.work.Expected+overdue {
			continue
		}
		f.lost = true
		e.failures.note(true, now)
		t.log.WithField("replica", e.reg.ID).WithField("waited_ms", now.Sub(f.began).Milliseconds()).Info("answer thought lost: later requests were answered")
	}
}

// Lost reports whether the flight's answer is thought lost although its server
// answers others.
func (f *Flight) Lost() bool {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	return f.lost
}
