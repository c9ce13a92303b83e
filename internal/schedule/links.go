package schedule

import (
	"sync"
	"time"
)

// links estimates until when each link for KV cache is busy with the transfers
// that this host asked for; they run one after another. It is safe for
// concurrent use.
type links struct {
	mu   sync.Mutex
	busy map[string]time.Time
}

// expected returns when a transfer that takes d would be over.
func (l *links) expected(from, to string, d time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.start(from, to, now).Sub(now) + d
}

func (l *links) start(from, to string, now time.Time) time.Time {
	start := now
	for _, end := range []string{from, to} {
		if l.busy[end].After(start) {
			start = l.busy[end]
		}
	}
	return start
}

// wait returns how long a link is still busy.
func (l *links) wait(end string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.busy[end].Sub(now))
}

// use books a transfer that takes d on both links.
func (l *links) use(from, to string, d time.Duration, now time.Time) {
	if from == "" || d <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.busy) > linkSweep {
		for end, until := range l.busy {
			if until.Before(now) {
				delete(l.busy, end)
			}
		}
	}
	over := l.start(from, to, now).Add(d)
	l.busy[from] = over
	l.busy[to] = over
}

// linkSweep is the number of links from which idle ones are dropped.
const linkSweep = 64
