package schedule

import (
	"sync"
	"time"
)

// links estimates until when the links of KV cache endpoints are busy with known transfers,
// which are assumed to run one after another. It is safe for concurrent use.
type links struct {
	mu        sync.Mutex
	busyUntil map[string]time.Time
}

// expected returns how long it would take until a transfer of duration d is complete,
// including the wait for both links.
func (l *links) expected(from, to string, d time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.earliestStart(from, to, now).Sub(now) + d
}

func (l *links) earliestStart(from, to string, now time.Time) time.Time {
	start := now
	for _, endpoint := range []string{from, to} {
		if l.busyUntil[endpoint].After(start) {
			start = l.busyUntil[endpoint]
		}
	}
	return start
}

// wait returns for how long a link is still busy.
func (l *links) wait(endpoint string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.busyUntil[endpoint].Sub(now))
}

// reserve books a transfer of duration d on both links.
func (l *links) reserve(from, to string, d time.Duration, now time.Time) {
	if from == "" || d <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.busyUntil) > linkSweepThreshold {
		for endpoint, until := range l.busyUntil {
			if until.Before(now) {
				delete(l.busyUntil, endpoint)
			}
		}
	}
	finish := l.earliestStart(from, to, now).Add(d)
	l.busyUntil[from] = finish
	l.busyUntil[to] = finish
}

// linkSweepThreshold is the number of links above which idle ones are removed.
const linkSweepThreshold = 64
