package route

import "time"

const (
	// stepMs is the duration of one step of an engine. stepsToFirstEvent is the number of steps
	// until the first event, which may hold several tokens.
	stepMs            = 6.0
	stepsToFirstEvent = 4
	// stepMsPerRequest is what each running request adds to the duration of a step.
	stepMsPerRequest = 0.04
	// queuedPriceMs is the price of each request in excess of a replica's slots.
	queuedPriceMs = 40.0
	// fullMemoryPriceMs is the price of using the whole memory. The memory for a request is
	// taken from cached prefix blocks, which are evicted.
	fullMemoryPriceMs = 60.0
	// memoryWaitThreshold is the estimated memory use above which requests wait for memory.
	memoryWaitThreshold = 0.95
	// plainServiceMs is the assumed service time of a request to a plain service.
	plainServiceMs = 30.0
	// unresponsivePriceThreshold is the UnresponsiveFor above which a replica may be hanging, and
	// above which it is added to the score.
	unresponsivePriceThreshold = 300 * time.Millisecond
	// trialPriceMs is the price of probing a replica that failed recently.
	trialPriceMs = 250.0
	// deadlineMargin is kept before Policy.WeightsDeadline in addition to the expected time,
	// as a request only begins once its replica has prefilled the prompt.
	deadlineMargin = 1800 * time.Millisecond
	// retryAfter is the shortest Retry-After of a request that no replica can take.
	retryAfter = 300 * time.Millisecond
)

// fits reports whether the request is not larger than the replica's whole memory.
func fits(req *Request, c *Candidate) bool {
	return c.CacheTokens == 0 || req.PromptTokens+req.OutputTokens <= c.CacheTokens
}

// expected returns Decision.Expected in milliseconds.
func (p Policy) expected(req *Request, c *Candidate) float64 {
	serviceTime := p.serviceTime(req, c)
	if c.CacheTokens == 0 {
		queued := float64(max(0, c.Requests+1-c.Slots))
		return c.slowdown() * serviceTime * (1 + queued/float64(max(1, c.Slots)))
	}
	return c.slowdown()*serviceTime + millis(c.FetchTime) + max(millis(c.AwaitTime+c.HeldAhead), p.waiting(req, c))
}

// serviceTime returns Decision.ServiceTime in milliseconds: the time to the first event, or to a
// plain service's answer, with a slowdown of 1 and without queueing.
func (p Policy) serviceTime(req *Request, c *Candidate) float64 {
	if c.CacheTokens == 0 {
		return plainServiceMs
	}
	prefill := millis(p.PrefillTime(req.PromptTokens - c.Cached - c.Fetched))
	return prefill + stepsToFirstEvent*(stepMs+stepMsPerRequest*float64(c.Requests))
}

// slowdown returns the ratio of the replica's actual to its expected service time.
func (r *Replica) slowdown() float64 { return r.baseSlowdown() * max(1, r.RecentSlowdown) }

func (r *Replica) baseSlowdown() float64 {
	if r.Slowdown <= 0 {
		return 1
	}
	return r.Slowdown
}

// waiting returns the time, in milliseconds, that the request is expected to be queued behind
// others.
func (p Policy) waiting(req *Request, c *Candidate) float64 {
	if c.CacheTokens == 0 {
		return 0
	}
	return c.slowdown()*float64(c.PrefillTokens)/p.PrefillTokensPerMs + p.memoryWait(req, c)
}

// score returns the score of a candidate in milliseconds: the expected time plus the prices of
// everything that counts against the candidate.
func (p Policy) score(req *Request, c *Candidate, expected float64) float64 {
	score := expected
	score += float64(max(0, c.Requests-c.Slots)) * queuedPriceMs
	recomputed := float64(max(0, req.SharedTokens-c.Cached-c.Fetched)) / float64(max(1, req.PromptTokens))
	score += p.RecomputePrice * recomputed * millis(req.LatencyTarget)
	score += p.failurePrice(req) * c.ErrorRate
	if c.AvailabilityZone != req.AvailabilityZone {
		score += p.CrossZonePrice
	}
	if c.OutdatedFor > p.OutdatedWeightsGrace {
		score += p.OutdatedWeightsPrice * millis(req.LatencyTarget)
	}
	if c.UnresponsiveFor > unresponsivePriceThreshold {
		score += millis(c.UnresponsiveFor)
	}
	if c.Trial {
		score += trialPriceMs
	}
	return score + memoryPrice(req, c)
}

// failurePrice returns the price, in milliseconds, of a failure that is certain.
func (p Policy) failurePrice(req *Request) float64 {
	targets := p.NonRepeatableFailurePrice
	if req.Repeatable {
		targets = p.RepeatableFailurePrice
	}
	return targets * millis(req.LatencyTarget)
}

// memoryWait returns how long, in milliseconds, the request is expected to wait for memory that
// earlier requests hold.
func (p Policy) memoryWait(req *Request, c *Candidate) float64 {
	over := memoryUse(req, c) - memoryWaitThreshold
	return max(0, over) * millis(p.MemoryTurnover)
}

// memoryUse returns the fraction of the replica's memory that is needed including this request.
func memoryUse(req *Request, c *Candidate) float64 {
	if c.CacheTokens == 0 {
		return 0
	}
	return float64(c.MemoryTokens+req.PromptTokens+req.OutputTokens) / float64(c.CacheTokens)
}

// memoryPrice returns the price of evicting cached prefix blocks for the request's memory.
func memoryPrice(req *Request, c *Candidate) float64 {
	return fullMemoryPriceMs * memoryUse(req, c)
}
