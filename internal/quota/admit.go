package quota

import (
	"time"

	"github.com/briarlink/briarlink/internal/config"
)

// Decision is what became of a request that asked to be let in.
type Decision struct {
	// Admitted requests are charged Cost.
	Admitted bool
	Cost     int64
	// RetryAfter is when a refused request may come back, Limit what refused it.
	RetryAfter time.Duration
	Limit      config.RateLimit
	// First is set for the first refusal of an episode.
	First bool
}

// Size says what a request counts.
type Size struct {
	PromptTokens, OutputTokens int
	// Said is whether the request names its tokens.
	Said bool
}

const (
	// leastRetry is the shortest time after which a refused request is asked back.
	leastRetry = 100 * time.Millisecond
	// episodeEnds is how long nothing may be refused for an episode of refusals to be over.
	episodeEnds = 2 * time.Second
)

// refusals are an organisation's.
type refusals struct {
	// refused counts all, inEpisode those of the present episode; last is when the last was.
	refused, inEpisode int64
	last               time.Time
}

// Admit lets a request of an organisation in and charges it, or refuses it.
func (l *Limiter) Admit(organisation string, size Size, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key(organisation)]
	if a == nil || a.limit == nil {
		return Decision{Admitted: true}
	}
	l.drain(a, now)
	cost := a.limit.Cost(size.PromptTokens, size.OutputTokens, size.Said)
	if l.hasRoom(a, float64(cost), now) {
		a.charge(cost)
		return Decision{Admitted: true, Cost: cost}
	}
	return l.refuse(a, cost, now)
}

// hasRoom reports whether a request may be let in: below the threshold, unless no window
// could hold it.
func (l *Limiter) hasRoom(a *account, cost float64, now time.Time) bool {
	return a.level < l.threshold(a.limit, now) && cost <= l.windowAllows(a.limit)+l.tolerance(a.limit)
}

// threshold is the level from which nothing is let in here: hosts that do not hear each other
// share the burst, and a host that does not know what was let in before its start has its
// part of what such hosts may let in beyond it.
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

// refuse asks the caller back for when there is room, behind those that were asked back
// before: they would otherwise all come at the same moment, and all but one in vain.
func (l *Limiter) refuse(a *account, cost int64, now time.Time) Decision {
	rate := l.rate(a.limit, now)
	wait := time.Duration(0)
	if rate > 0 {
		over := max(0, a.level-l.threshold(a.limit, now)) + a.askedBack/l.ownShare()
		wait = time.Duration(min(over/rate, l.terms.Window.Seconds()) * float64(time.Second))
	}
	if a.askedBack += float64(cost); a.askedBack > l.windowAllows(a.limit)*l.ownShare() {
		a.askedBack = l.windowAllows(a.limit) * l.ownShare()
	}
	first := a.inEpisode == 0
	a.refused++
	a.inEpisode++
	a.last = now
	return Decision{Cost: cost, RetryAfter: max(leastRetry, wait), Limit: *a.limit, First: first}
}

// Charge counts a further run of a request that was let in, such as the rest of a stream
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

// Return gives back what a request was charged that has not run and never will.
func (l *Limiter) Return(organisation string, cost int64, now time.Time) {
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

// Episode is a span in which requests of an organisation were refused.
type Episode struct {
	Organisation string
	Refused      int64
}

// Ended returns the episodes of refusals that are over since the last call.
func (l *Limiter) Ended(now time.Time) []Episode {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Episode
	for _, a := range l.accounts {
		if a.inEpisode > 0 && now.Sub(a.last) >= episodeEnds {
			out = append(out, Episode{a.name, a.inEpisode})
			a.inEpisode = 0
		}
	}
	return out
}

// Status is an organisation's limit as this host sees it.
type Status struct {
	Organisation  string
	Limit         config.RateLimit
	Level         float64
	Used, Refused int64
}

// Status returns the organisations that have a limit, in no order.
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
