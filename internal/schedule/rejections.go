package schedule

import (
	"sync"
	"time"

	"github.com/briarlink/briarlink/internal/errkind"
)

const (
	// permitWindow is the span over which this host's permits for a service are counted.
	permitWindow = 2 * time.Second
	// minPermitRate is the lowest rate of permits that is assumed for this host, in permits a
	// second: one may have come before the window.
	minPermitRate = 0.25
	// maxRetryWait limits the Retry-After of requests rejected because of request limits. Callers
	// wait for a part of their deadline at the most.
	maxRetryWait = 4 * time.Second
)

// rejectionQueue spaces the retries of callers whose requests were rejected because all servers of
// a service are at their request limits. If all were asked to come back for the next permit, all
// but one would be rejected again. It is safe for concurrent use.
type rejectionQueue struct {
	mu       sync.Mutex
	services map[string]*serviceQueue
}

type serviceQueue struct {
	// next is when the caller that was rejected last is to come back.
	next time.Time
	// permits counts this host's permits since windowStart, and earlier those in the window before.
	permits, earlier int
	windowStart      time.Time
}

func newRejectionQueue() *rejectionQueue {
	return &rejectionQueue{services: map[string]*serviceQueue{}}
}

func (q *rejectionQueue) service(name string, now time.Time) *serviceQueue {
	s := q.services[name]
	if s == nil {
		s = &serviceQueue{windowStart: now}
		q.services[name] = s
	}
	switch elapsed := now.Sub(s.windowStart); {
	case elapsed >= 2*permitWindow:
		s.permits, s.earlier, s.windowStart = 0, 0, now
	case elapsed >= permitWindow:
		s.permits, s.earlier, s.windowStart = 0, s.permits, s.windowStart.Add(permitWindow)
	}
	return s
}

// recordPermit counts a permit that this host got for a service.
func (q *rejectionQueue) recordPermit(name string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.service(name, now).permits++
}

// retryAfter returns when the caller of a rejected request is to come back: after those rejected
// before it, at the rate at which this host got permits, and not before the first is expected.
func (q *rejectionQueue) retryAfter(name string, first time.Duration, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(name, now)
	span := now.Sub(s.windowStart) + permitWindow
	rate := max(minPermitRate, float64(s.permits+s.earlier)/span.Seconds())
	next := s.next.Add(time.Duration(float64(time.Second) / rate))
	if earliest := now.Add(first); next.Before(earliest) {
		next = earliest
	}
	if latest := now.Add(maxRetryWait); next.After(latest) {
		next = latest
	}
	s.next = next
	return next.Sub(now)
}

// spaceRetries sets the Retry-After of a rejected request if all servers of its service are at their
// request limits.
func (s *Scheduler) spaceRetries(service string, err error, now time.Time) error {
	if !errkind.Is(err, errkind.NoBackend) || !s.replicas.AllAtLimit(service, now) {
		return err
	}
	e := errkind.From(err)
	return e.After(s.rejections.retryAfter(service, e.Retry(), now))
}
