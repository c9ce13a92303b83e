package fairshare

import (
	"math"
	"time"
)

const (
	// minPause and maxPause limit the mean time after which a waiting request looks for room again. A
	// shorter one costs processor time, and with a longer one a request looks once within a usual
	// latency target of 300 ms.
	minPause = 10 * time.Millisecond
	maxPause = 50 * time.Millisecond
	// pauseJitter is how far a pause is from its mean at most, as a share of it, so that requests that
	// were rejected together are not sent again together.
	pauseJitter = 0.5
	// maxNoRoom limits how long a host expects no room at a server that rejected a request, where few
	// requests are answered.
	maxNoRoom = 100 * time.Millisecond
)

// AwaitRoom decides whether a request that no server has room for waits, and for how long until it
// looks for room again. It must be refused instead if its organisation is above its share, if the
// service is not short of capacity, if it could not be answered within its latency target and its
// deadline any more, or if as many requests wait as servers answer to this host within a latency
// target. The wait must be ended with EndWait. again is set if the request has waited before: it then
// keeps its place.
func (t *Table) AwaitRoom(r Request, again bool, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(r.Service)
	left := min(r.Target.Sub(now), r.Deadline.Sub(now)) - r.Expected
	if r.Above || left <= 0 || !t.short(s, now) {
		return 0, false
	}
	rate := s.served.perSecond(now) / r.Cost
	if !again && float64(s.waiting) >= max(1, math.Ceil(rate*r.LatencyTarget.Seconds())) {
		return 0, false
	}
	s.waiting++
	s.lastWait = now
	// Places become free for this host as fast as servers answer to it: each waiting request looks once
	// in the time in which all could have got one.
	mean := maxPause
	if rate > 0 {
		mean = min(maxPause, max(minPause, time.Duration(float64(s.waiting)/rate*float64(time.Second))))
	}
	pause := time.Duration((1-pauseJitter)*float64(mean)) + t.upTo(time.Duration(2*pauseJitter*float64(mean)))
	return min(left, pause), true
}

// MayRetry reports whether a request that a server rejected may be sent to another one at once. Retries
// are limited: while requests below their share wait for room, those above it get none.
func (t *Table) MayRetry(r Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !r.Above || now.Sub(t.service(r.Service).lastWait) >= shortTime
}

// EndWait ends a wait that AwaitRoom granted.
func (t *Table) EndWait(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).waiting--
}

// ExpectsRoom reports whether a server is expected to have room: it has not rejected a request of this
// host, or the time in which it answers one request to any host has passed since.
func (t *Table) ExpectsRoom(service, server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.service(service).fullUntil[server])
}

// Full returns the servers of a service that are not expected to have room.
func (t *Table) Full(service string, now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]bool{}
	for server, until := range t.service(service).fullUntil {
		if now.Before(until) {
			out[server] = true
		}
	}
	return out
}

// markFull records that a server, one of several, rejected a request.
func (t *Table) markFull(s *service, r Request, server string, servers int, now time.Time) {
	gap := maxNoRoom
	if served := t.currentPlan(s, now).served; served > 0 {
		gap = min(gap, time.Duration(float64(servers)*r.Cost/served*float64(time.Second)))
	}
	s.fullUntil[server] = now.Add(gap)
}
