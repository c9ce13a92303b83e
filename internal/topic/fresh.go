package topic

import (
	"sync"
	"time"
)

// Freshness is the latest time at which something was confirmed: that the store answers, or that
// all records of a topic were applied. Records written later may be missing. It advances with the
// reads of this host, and with reports of hosts that have applied no more of the topic than this
// one. It is safe for concurrent use.
type Freshness struct {
	mu sync.Mutex
	at time.Time
}

// Note advances the time of the last confirmation.
func (f *Freshness) Note(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.at) {
		f.at = at
	}
}

// ApplyReport applies a report of another host: the position up to which it has applied the topic,
// and how long ago it had applied all of it. The report is ignored if this host has applied less of
// the topic, or if the other one has not applied the current era of the store.
func (f *Freshness) ApplyReport(peer, applied Position, age time.Duration, now time.Time) {
	if peer.Era != applied.Era || peer.Offset > applied.Offset || age < 0 || age >= NeverFresh {
		return
	}
	f.Note(now.Add(-age))
}

// NeverFresh is the age of something that was never confirmed.
const NeverFresh = 24 * time.Hour

// Age returns the time since the last confirmation.
func (f *Freshness) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.IsZero() {
		return NeverFresh
	}
	return now.Sub(f.at)
}
