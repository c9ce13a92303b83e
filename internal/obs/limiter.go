package obs

import (
	"sync"
	"time"
)

// minLineInterval is the minimum time between two log lines that a Limiter allows: a
// frequent event stays visible in the log without flooding it.
const minLineInterval = time.Second

// Limiter allows one log line a second and counts the suppressed ones. Its zero value
// is ready to use; it is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

// Allow reports whether a line may be written now, and how many were suppressed
// since the last line that was allowed.
func (l *Limiter) Allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < minLineInterval {
		l.skipped++
		return 0, false
	}
	skipped, l.skipped = l.skipped, 0
	l.last = now
	return skipped, true
}
