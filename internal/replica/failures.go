package replica

import (
	"time"

	"github.com/briarlink/briarlink/internal/mechanism"
)

const (
	// failureWindow is half of the maximum time for which answers count: a fault that lasts a
	// few seconds shows within its first second and stops counting a few seconds after its
	// end.
	failureWindow = 2 * time.Second
	// priorAnswers is the number of successful answers credited to every server, so that one
	// failure among few requests has little weight.
	priorAnswers = 6
)

// failures counts how a host's recent exchanges with a server ended.
type failures struct {
	// failedAt is when the last exchange failed, and unconfirmed how many failed since this host last
	// reached any server of the service, as of then.
	failedAt    time.Time
	unconfirmed int32
	// windowStart is the start of the current window; previous counts the window before it.
	windowStart       time.Time
	current, previous outcomes
}

// outcomes counts ended exchanges and how many of them failed.
type outcomes struct{ ended, failed int32 }

func (f *failures) record(failed bool, now time.Time) {
	f.rotate(now)
	f.current.ended++
	if failed {
		f.current.failed++
	}
}

// rotate begins a new window if the current one is over.
func (f *failures) rotate(now time.Time) {
	age := now.Sub(f.windowStart)
	if age < failureWindow {
		return
	}
	f.previous = f.current
	if age >= 2*failureWindow {
		f.previous = outcomes{}
	}
	f.current = outcomes{}
	f.windowStart = now
}

// recent returns the counts of the last two to four seconds.
func (f *failures) recent(now time.Time) outcomes {
	f.rotate(now)
	return outcomes{f.current.ended + f.previous.ended, f.current.failed + f.previous.failed}
}

// recordFailure records an exchange that failed.
func (t *Table) recordFailure(e *entry, now time.Time) {
	f := &e.failures
	if t.reachedSince(e, f.failedAt) {
		f.unconfirmed = 0
	}
	f.unconfirmed++
	f.failedAt = now
	f.record(true, now)
}

// reportedFailures returns how many recent exchanges with a server failed, as reported to other hosts:
// those after which this host has reached some server of the service.
func (t *Table) reportedFailures(e *entry, recent outcomes) int32 {
	if t.reachedSince(e, e.failures.failedAt) {
		return recent.failed
	}
	return max(0, recent.failed-e.failures.unconfirmed)
}

// share returns the share of exchanges that failed, with priorAnswers added to the
// successes.
func (o outcomes) share() float64 {
	return float64(o.failed) / float64(o.ended+priorAnswers)
}

// overdueThreshold is how far an answer must exceed its expected time to be presumed lost
// when a later request to the same server is answered. Servers may answer requests out of
// order, by urgency and size, mostly by less than half a second.
const overdueThreshold = 700 * time.Millisecond

// maxCountedSilence is how much of a server's silence counts towards overdueThreshold. After a silence a sound
// server may go on with its requests in any order.
const maxCountedSilence = 200 * time.Millisecond

// recordData records that data of any answer arrived from the server.
func (e *entry) recordData(now time.Time) {
	if now.Sub(e.dataAt) > maxCountedSilence {
		e.discountSilence(now)
	}
	e.dataAt = now
}

// discountSilence excludes the silence that ends now from the time for which unanswered requests are overdue. Several
// must be overdue: if a single one is, its answer may be lost.
func (e *entry) discountSilence(now time.Time) {
	var overdue []*Flight
	for f := range e.flights {
		if !f.answerStarted && !f.presumedLost && e.overdueFor(f, now) > maxCountedSilence {
			overdue = append(overdue, f)
		}
	}
	if len(overdue) < 2 {
		return
	}
	for _, f := range overdue {
		f.discounted += e.overdueFor(f, now) - maxCountedSilence
	}
}

// overdueFor returns how long a request's answer has been overdue, counted from when data last arrived from the
// server if that is later.
func (e *entry) overdueFor(f *Flight, now time.Time) time.Duration {
	due := f.start.Add(f.work.Expected)
	if e.dataAt.After(due) {
		due = e.dataAt
	}
	return now.Sub(due)
}

// detectLostAnswers is called when a request is answered. It presumes lost the answers to
// earlier requests to the same server that are long overdue, silences of the server aside.
// Otherwise such a request would only end when its caller leaves, which says nothing about the
// server.
func (t *Table) detectLostAnswers(answered *Flight, now time.Time) {
	if t.Off[mechanism.LostAnswers] {
		return
	}
	e := answered.entry
	for f := range e.flights {
		if f.answerStarted || f.presumedLost || !f.start.Before(answered.start) || now.Sub(f.start) < f.work.Expected+overdueThreshold+f.discounted {
			continue
		}
		f.presumedLost = true
		t.recordFailure(e, now)
		t.log.WithField("replica", e.reg.ID).WithField("waited_ms", now.Sub(f.start).Milliseconds()).Info("answer thought lost: later requests were answered")
	}
}

// PresumedLost reports whether the answer is presumed lost although the server answers other
// requests.
func (f *Flight) PresumedLost() bool {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	return f.presumedLost
}
