package replica

import (
	"time"

	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/platform"
)

// Work describes the load that a request puts on a server.
type Work struct {
	// Prefill is the number of tokens to prefill, Memory the number of tokens that stay in
	// memory until the request ends.
	Prefill int
	Memory  int
	// Expected is the time to the first event; PrefillTime is the part of it that is spent on
	// the prefill of the request itself.
	Expected    time.Duration
	PrefillTime time.Duration
	// ServiceTime is the expected service time of the request alone at a server of slowdown 1, and
	// Slowdown the slowdown that Expected was computed with. Engine is set if the server is an
	// engine.
	ServiceTime time.Duration
	Slowdown    float64
	Engine      bool
	// Fingerprint identifies the request and its prefix blocks.
	Fingerprint quarantine.Fingerprint
}

// Flight is a request in flight at a server. It is safe for concurrent use.
type Flight struct {
	table         *Table
	entry         *entry
	start         time.Time
	work          Work
	answerStarted bool
	// progressAt is when the last part of the answer arrived, as AnswerStarted records it. stallChecked is set once
	// contact was checked because of the pause since.
	progressAt   time.Time
	stallChecked bool
	ended        bool
	// broken is set if the connection broke before the complete answer.
	broken bool
	// headReceived is set once the head of the server's answer has arrived: this host reached the server.
	headReceived bool
	// ratio is the measured time to the start of the answer divided by the expected one, or
	// 0.
	ratio float64
	// presumedLost is set once a later request was answered while this one was long overdue.
	presumedLost bool
	// discounted is the part of the server's silences for which the answer does not count as overdue.
	discounted time.Duration
}

// Begin records a request that is about to be sent. It returns nil if the server may no
// longer be given requests.
func (t *Table) Begin(id string, work Work, now time.Time) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.begin(id, work, now)
}

// BeginIfRoom is like Begin, but also returns nil, and full, if a brittle server has no room: other requests may
// have been sent to it since it was chosen.
func (t *Table) BeginIfRoom(id string, work Work, now time.Time) (f *Flight, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && !t.hasRoom(e, now) {
		return nil, true
	}
	return t.begin(id, work, now), false
}

func (t *Table) begin(id string, work Work, now time.Time) *Flight {
	e := t.entries[id]
	if e == nil || e.is(StateDraining) {
		return nil
	}
	if _, trial := e.health.state(now); trial {
		e.health.trialRunning = true
	}
	f := &Flight{table: t, entry: e, start: now, work: work}
	if e.flights == nil {
		e.flights = map[*Flight]bool{}
	}
	e.flights[f] = true
	t.track(t.active, e)
	e.countCall(platform.CallRequest)
	t.recordBorrowed(e, now)
	t.recordBusy(e, now)
	return f
}

// AnswerStarted records the head of the answer or an event of a stream. With the first, the prefill is done.
func (f *Flight) AnswerStarted(now time.Time) {
	f.table.mu.Lock()
	defer f.table.unlockAndNotify()
	f.entry.recordData(now)
	f.progressAt, f.stallChecked = now, false
	f.table.contactOf(f.entry.reg.Service).heardAt = now
	if f.answerStarted {
		return
	}
	f.answerStarted = true
	f.ratio = float64(now.Sub(f.start)) / float64(max(f.work.Expected, minTimedExpectation))
	f.table.clearBroken(f.entry, f.start)
	f.table.updateHealth(f.entry, "an answer began", now, func(h *health) { h.recordAnswer(f.start) })
	if f.entry.recordSlowdown(f, now.Sub(f.start)) {
		f.table.track(f.table.withSlowdown, f.entry)
	}
	f.entry.health.observe(now.Sub(f.start), f.work.Expected, now)
	f.entry.markSeen(now)
	f.table.recordAnswered(f.entry, f.start, now)
	f.table.detectLostAnswers(f, now)
}

// Ratio returns the measured time to the start of the answer divided by the expected one, or
// 0 before the answer starts.
func (f *Flight) Ratio() float64 {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	return f.ratio
}

// minPendingShare is the minimum share of a prompt that counts as pending prefill until the
// first event, which may come later than expected.
const minPendingShare = 0.1

// pendingPrefill estimates the tokens still to be prefilled: the prefill starts after the
// requests ahead of it and proceeds at the expected speed.
func (f *Flight) pendingPrefill(now time.Time) float64 {
	if f.answerStarted {
		return 0
	}
	total := float64(f.work.Prefill)
	prefillStart := f.start.Add(f.work.Expected - f.work.PrefillTime)
	if f.work.PrefillTime <= 0 || now.Before(prefillStart) {
		return total
	}
	done := float64(now.Sub(prefillStart)) / float64(f.work.PrefillTime)
	return total * max(minPendingShare, 1-done)
}

// End records the end of the exchange; only the first call counts.
func (f *Flight) End(r Result, now time.Time) {
	f.table.mu.Lock()
	defer f.table.unlockAndNotify()
	if f.ended {
		return
	}
	f.ended = true
	byCut := f.table.failedByCut(f.entry, r, f.start)
	unresponsive := !f.answerStarted && f.entry.unresponsiveFor(now) > unresponsiveThreshold && (r == Cancelled || r == Lost)
	if byCut && f.start.Before(f.table.contactOf(f.entry.reg.Service).regainedAt) {
		// It says nothing about the server now that the cut is over.
		r, unresponsive = Cancelled, false
	}
	if r == Answered || r == Failed || r == Refused {
		f.entry.recordData(now)
	}
	delete(f.entry.flights, f)
	switch {
	case r == Answered:
		f.entry.failures.record(false, now)
	case !f.presumedLost && !byCut && (r == Failed || r == Lost || r == Unreachable || r == ConnectTimeout):
		f.table.recordFailure(f.entry, now)
	}
	f.table.updateHealth(f.entry, r.String(), now, func(h *health) {
		h.recordResult(r, f.start, now)
		if f.broken && !f.answerStarted && !byCut && !unresponsive {
			h.recordBroken(f.start, now)
		}
		// Each request that had been waiting when the server was marked down would double the time.
		if unresponsive && (h.downTime == 0 || !f.start.Before(h.downSince)) {
			h.markDown(now)
		}
	})
	switch r {
	case Answered, Failed, Refused:
		f.entry.markSeen(now)
		f.table.recordAnswered(f.entry, f.start, now)
	case Unreachable:
		f.table.recordNotReached(f.entry, false, now, now)
	case ConnectTimeout:
		f.table.recordNotReached(f.entry, false, f.start, now)
	case Lost, Cancelled:
		if f.broken && !f.answerStarted && !f.headReceived {
			// The connection was open until it broke.
			f.table.recordNotReached(f.entry, false, now, now)
		} else if unresponsive {
			f.table.recordHang(f.entry.reg.Service, now)
		} else if r == Lost {
			f.table.contactOf(f.entry.reg.Service).doubt(now)
		}
	}
}

// UnresponsiveFor returns how long the server has owed an answer without any liveness signal.
func (f *Flight) UnresponsiveFor(now time.Time) time.Duration {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	return f.entry.unresponsiveFor(now)
}

// markSeen records a liveness signal: unresponsiveFor then counts from it.
func (e *entry) markSeen(now time.Time) { e.lastSeen = now }

// unresponsiveFor returns how long the oldest unanswered request has waited beyond its
// expected time, counted from the last liveness signal if that is later.
func (e *entry) unresponsiveFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for f := range e.flights {
		if f.answerStarted {
			continue
		}
		due := f.start.Add(f.work.Expected)
		if e.lastSeen.After(due) {
			due = e.lastSeen
		}
		longest = max(longest, now.Sub(due))
	}
	return longest
}
