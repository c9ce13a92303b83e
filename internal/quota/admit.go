package quota

import (
	"time"

	"github.com/briarlink/briarlink/internal/config"
)

// Decision is the outcome of an admission check.
type Decision struct {
	// An admitted request is charged Cost.
	Admitted bool
	Cost     int64
	// RetryAfter is how long the caller of a refused request should wait. Limit is the limit that
	// refused it.
	RetryAfter time.Duration
	Limit      config.RateLimit
	// First is set for the first refusal of an episode.
	First bool
}

// Size is the size of a request, from which its cost is calculated.
type Size struct {
	PromptTokens, OutputTokens int
	// HasTokenCount is set if the request states its number of tokens.
	HasTokenCount bool
}

const (
	// minRetryAfter is the lower limit of RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	// episodeTimeout is the time without a refusal after which an episode of refusals ends.
	episodeTimeout = 2 * time.Second
)

// refusals counts the refused requests of one organisation.
type refusals struct {
	// refused counts all of them, inEpisode those of the current episode. lastRefusal is the time
	// of the latest.
	refused, inEpisode int64
	lastRefusal        time.Time
}

// Admit admits a request of an organisation and charges its cost, or refuses it.
func (l *Limiter) Admit(organisation string, size Size, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key(organisation)]
	if a == nil || a.limit == nil {
		return Decision{Admitted: true}
	}
	l.drain(a, now)
	cost := a.limit.Cost(size.PromptTokens, size.OutputTokens, size.HasTokenCount)
	if l.hasRoom(a, float64(cost), now) {
		a.charge(cost)
		return Decision{Admitted: true, Cost: cost}
	}
	return l.refuse(a, cost, now)
}

// hasRoom reports whether a request may be admitted: the level is below the threshold, and the
// request is not larger than what any window may hold.
func (l *Limiter) hasRoom(a *account, cost float64, now time.Time) bool {
	return a.level < l.threshold(a.limit, now) && cost <= l.windowLimit(a.limit)+l.tolerance(a.limit)
}

// threshold returns the level at which this host refuses requests. Hosts that cannot reach each
// other divide the capacity by their shares. A host without a record of usage from before its start
// may admit only its part of startShare beyond the burst.
func (l *Limiter) threshold(limit *config.RateLimit, now time.Time) float64 {
	if !l.informed {
		return max(1, limit.Burst+startShare*l.tolerance(limit)*l.share(now))
	}
	return max(1, l.capacity(limit)*l.share(now))
}

func (a *account) charge(cost int64) {
	a.level += float64(cost)
	a.used += cost
}

// refuse records a refusal and returns the time after which to retry. That time includes the cost
// of the requests refused before: if all callers came back at the same moment, only one of them
// would be admitted.
func (l *Limiter) refuse(a *account, cost int64, now time.Time) Decision {
	rate := l.rate(a.limit, now)
	wait := time.Duration(0)
	if rate > 0 {
		excess := max(0, a.level-l.threshold(a.limit, now)) + a.pendingRetries/l.ownShare()
		wait = time.Duration(min(excess/rate, l.terms.Window.Seconds()) * float64(time.Second))
	}
	if a.pendingRetries += float64(cost); a.pendingRetries > l.windowLimit(a.limit)*l.ownShare() {
		a.pendingRetries = l.windowLimit(a.limit) * l.ownShare()
	}
	first := a.inEpisode == 0
	a.refused++
	a.inEpisode++
	a.lastRefusal = now
	return Decision{Cost: cost, RetryAfter: max(minRetryAfter, wait), Limit: *a.limit, First: first}
}

// Charge records a further run of an admitted request, such as the rest of a stream that continues
// at another replica.
func (l *Limiter) Charge(organisation string, cost int64, now time.Time) {
	if cost == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[key(organisation)]; a != nil {
		l.drain(a, now)
		a.charge(cost)
	}
}

// Refund refunds the cost of a request that has not run and never will.
func (l *Limiter) Refund(organisation string, cost int64, now time.Time) {
	if cost == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[key(organisation)]; a != nil {
		l.drain(a, now)
		a.level = max(0, a.level-float64(cost))
		a.used -= cost
	}
}

// Episode is a time span in which requests of an organisation were refused.
type Episode struct {
	Organisation string
	Refused      int64
}

// EndedEpisodes returns the episodes of refusals that have ended since the last call.
func (l *Limiter) EndedEpisodes(now time.Time) []Episode {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Episode
	for _, a := range l.accounts {
		if a.inEpisode > 0 && now.Sub(a.lastRefusal) >= episodeTimeout {
			out = append(out, Episode{a.name, a.inEpisode})
			a.inEpisode = 0
		}
	}
	return out
}

// Status is the state of an organisation's limit on this host.
type Status struct {
	Organisation  string
	Limit         config.RateLimit
	Level         float64
	Used, Refused int64
}

// Status returns the state of each organisation that has a limit, in no particular order.
func (l *Limiter) Status(now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Status
	for _, a := range l.accounts {
		if a.limit == nil {
			continue
		}
		l.drain(a, now)
		out = append(out, Status{a.name, *a.limit, a.level, a.used, a.refused})
	}
	return out
}
