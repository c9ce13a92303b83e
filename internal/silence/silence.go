// Package silence decides whether a host has lost contact with the servers of a service although
// connections to them open: none answers anything. It has no network or clock of its own.
package silence

import "time"

const (
	// AnswerTime is how long a server may take to answer a health check before it counts as
	// silent. A sound server may answer nothing for a second.
	AnswerTime = 1500 * time.Millisecond
	// AskTimeout is how long an answer is waited for at all. A server is not asked again before.
	AskTimeout = 3 * time.Second
	// Asks is the number of servers, chosen at random, that are asked at a time. Fewer are asked if
	// the service has fewer.
	Asks = 4
	// minSilent is the number of silent servers that count for all of a service.
	minSilent = 4
)

// Watch follows the silence of the servers of one service: the time from a request that hangs to the
// next answer of any server. Its zero value is not silent.
type Watch struct {
	since time.Time
	asked map[string]ask
}

// ask says when a server was asked first and last.
type ask struct{ first, last time.Time }

// Begin records that a request hangs. Only the first call of a silence counts.
func (w *Watch) Begin(now time.Time) {
	if w.since.IsZero() {
		w.since = now
	}
}

// End records an answer, which ends the silence.
func (w *Watch) End() { *w = Watch{} }

// Active reports whether no answer has arrived since a request hung.
func (w *Watch) Active() bool { return !w.since.IsZero() }

// Since returns when the silence began, or the zero time.
func (w *Watch) Since() time.Time { return w.since }

// MayAsk reports whether a server may be asked now: it was not, or its answer is no longer waited for.
func (w *Watch) MayAsk(id string, now time.Time) bool {
	a, asked := w.asked[id]
	return !asked || now.Sub(a.last) >= AskTimeout
}

// Asked records that a server was sent a health check.
func (w *Watch) Asked(id string, now time.Time) {
	if !w.Active() {
		return
	}
	if w.asked == nil {
		w.asked = map[string]ask{}
	}
	a, asked := w.asked[id]
	if !asked {
		a.first = now
	}
	a.last = now
	w.asked[id] = a
}

// Unanswered returns the number of servers that were asked and are silent.
func (w *Watch) Unanswered(now time.Time) int {
	n := 0
	for id := range w.asked {
		if w.silent(id, now) {
			n++
		}
	}
	return n
}

func (w *Watch) silent(id string, now time.Time) bool {
	a, asked := w.asked[id]
	return asked && now.Sub(a.first) >= AnswerTime
}

// Total reports whether the whole service is silent: minSilent servers are, or all of the given ones.
func (w *Watch) Total(servers []string, now time.Time) bool {
	n := w.Unanswered(now)
	if n == 0 || n >= minSilent {
		return n > 0
	}
	for _, id := range servers {
		if !w.silent(id, now) {
			return false
		}
	}
	return true
}
