package fairshare

import "time"

const (
	// minRetryAfter is the shortest Retry-After. Within it, other hosts learn of the refusal.
	minRetryAfter = 200 * time.Millisecond
	// maxWaitShare limits Retry-After, as a share of the caller's remaining time: callers honour no
	// more.
	maxWaitShare = 1.0 / 3
	// minAdmitRate is the rate, per second, at which a host is assumed to admit requests at least.
	minAdmitRate = 1
)

// refuse remembers a refused request and returns when its caller should come back: behind those
// refused before, at the rate at which this host admits requests of the service. Where the caller's
// remaining time allows for less, it is a random time, so that callers do not return together.
func (t *Table) refuse(s *service, r Request, now time.Time) time.Duration {
	s.refused++
	s.episodeRefused++
	t.refused.add(r.Digest, refusalReports, now)
	gap := time.Duration(float64(time.Second) / max(minAdmitRate, s.admitted.perSecond(now)))
	earliest := now.Add(minRetryAfter)
	at := s.nextReturn.Add(gap)
	if at.Before(earliest) {
		at = earliest
	}
	wait := at.Sub(now)
	limit := max(0, time.Duration(maxWaitShare*float64(r.Deadline.Sub(now))))
	if wait > limit {
		return limit/2 + t.upTo(limit/2)
	}
	s.nextReturn = at
	// Hosts that refuse at the same time would otherwise all name the same times.
	return min(limit, wait+t.upTo(gap))
}

// upTo returns a random duration up to d.
func (t *Table) upTo(d time.Duration) time.Duration {
	return time.Duration(t.rng.Float64() * float64(d))
}
