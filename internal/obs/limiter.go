package obs

import (
	"sync"
	"time"
)

// limiterPause is the pause between two lines that a Limiter lets through: a
// reader sees that something goes on, and the log stays bounded however often it
// does.
const limiterPause = time.Second

// Limiter lets one line a second through and counts the others. Its zero value is
// ready to use; it is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

// Allow reports whether a line may be written now, and how many were left out
// since the one before.
func (l *Limiter) Allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < limiterPause {
		l.skipped++
		return 0, false
	}
	skipped, l.skipped = l.skipped, 0
	l.last = now
	return skipped, true
}
