package topic

import (
	"sync"
	"time"
)

// Freshness is the moment up to which something is known: that the store answers, or
// a topic whole. Since then a record may have been missed. It moves on with this
// host's own reads, or with the word of hosts that have applied no more than this one. It is safe for concurrent use.
type Freshness struct {
	mu sync.Mutex
	at time.Time
}

// Note records that it is known up to a moment.
func (f *Freshness) Note(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.at) {
		f.at = at
	}
}

// Heard takes another host's word: how far it has applied the topic, and how long
// ago it knew it whole. It says nothing of a topic that this host has applied less
// far.
func (f *Freshness) Heard(theirs, ours int64, age time.Duration, now time.Time) {
	if theirs > ours || age < 0 || age >= NeverFresh {
		return
	}
	f.Note(now.Add(-age))
}

// NeverFresh is the age of what was never known.
const NeverFresh = 24 * time.Hour

// Age returns the time since it was known.
func (f *Freshness) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.IsZero() {
		return NeverFresh
	}
	return now.Sub(f.at)
}
