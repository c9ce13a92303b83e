package route

import "time"

const (
	// stepMs is the time of one step of an engine, and firstSteps the steps until
	// the first event, which may hold several tokens.
	stepMs     = 6.0
	firstSteps = 4
	// perRequestMs is what each running request adds to a step's time.
	perRequestMs = 0.04
	// queuedMs is the price of each request beyond a replica's slots.
	queuedMs = 40.0
	// memoryMs is the price of a full memory: what a request needs is taken from
	// cached parts.
	memoryMs = 60.0
	// memoryFull is the use of memory, as it is counted, from which requests wait.
	memoryFull = 0.95
	// plainMs is the work of a plain service's request, for its queue.
	plainMs = 30.0
	// silenceAfter is the silence from which a replica may hang.
	silenceAfter = 300 * time.Millisecond
	// trialMs is the price of trying a replica that failed.
	trialMs = 250.0
	// deadlineMargin is kept before the weights' deadline, beside the expected time:
	// a request begins when its replica has read the prompt.
	deadlineMargin = 1800 * time.Millisecond
	// retryAfter is how long a caller waits when no replica can take a request.
	retryAfter = 300 * time.Millisecond
)

// fits reports whether the replica's whole memory holds the request.
func fits(req *Request, c *Candidate) bool {
	return c.CacheTokens == 0 || req.PromptTokens+req.OutputTokens <= c.CacheTokens
}

// expected returns the expected time to the first event in milliseconds.
func (p Policy) expected(req *Request, c *Candidate) float64 {
	own := p.own(req, c)
	if c.CacheTokens == 0 {
		queued := float64(max(0, c.Requests+1-c.Slots))
		return c.slowness() * own * (1 + queued/float64(max(1, c.Slots)))
	}
	return c.slowness()*own + millis(c.FetchTime) + p.waiting(req, c)
}

// own returns the time, in milliseconds, that a replica of pace 1 needs for the request
// alone.
func (p Policy) own(req *Request, c *Candidate) float64 {
	if c.CacheTokens == 0 {
		return plainMs
	}
	read := millis(p.Reading(req.PromptTokens - c.Cached - c.Fetched))
	return read + firstSteps*(stepMs+perRequestMs*float64(c.Requests))
}

// slowness is how long the replica takes for its work, as a multiple of what is expected
// of any.
func (r *Replica) slowness() float64 { return r.pace() * max(1, r.Slow) }

func (r *Replica) pace() float64 {
	if r.Pace <= 0 {
		return 1
	}
	return r.Pace
}

// waiting returns the time that a request is expected to spend behind others, in
// milliseconds.
func (p Policy) waiting(req *Request, c *Candidate) float64 {
	if c.CacheTokens == 0 {
		return 0
	}
	return c.slowness()*float64(c.PrefillTokens)/p.PrefillPerMs + p.memoryWait(req, c)
}

// score prices a candidate in milliseconds.
func (p Policy) score(req *Request, c *Candidate, expected float64) float64 {
	score := expected
	score += float64(max(0, c.Requests-c.Slots)) * queuedMs
	reread := float64(max(0, req.SharedTokens-c.Cached-c.Fetched)) / float64(max(1, req.PromptTokens))
	score += p.Reread * reread * millis(req.LatencyTarget)
	score += p.failurePrice(req) * c.Errors
	if c.AvailabilityZone != req.AvailabilityZone {
		score += p.OtherZone
	}
	if c.Behind > p.OldWeightsAfter {
		score += p.OldWeights * millis(req.LatencyTarget)
	}
	if c.Silence > silenceAfter {
		score += millis(c.Silence)
	}
	if c.Trial {
		score += trialMs
	}
	return score + memoryPrice(req, c)
}

// failurePrice returns the price of a certain failure in milliseconds.
func (p Policy) failurePrice(req *Request) float64 {
	targets := p.Lost
	if req.Repeatable {
		targets = p.Again
	}
	return targets * millis(req.LatencyTarget)
}

// memoryWait returns how long, in milliseconds, a request waits for memory that
// requests before it hold.
func (p Policy) memoryWait(req *Request, c *Candidate) float64 {
	over := memoryUse(req, c) - memoryFull
	return max(0, over) * millis(p.MemoryTurn)
}

// memoryUse is the part of a replica's memory that is needed with this request.
func memoryUse(req *Request, c *Candidate) float64 {
	if c.CacheTokens == 0 {
		return 0
	}
	return float64(c.MemoryTokens+req.PromptTokens+req.OutputTokens) / float64(c.CacheTokens)
}

// memoryPrice is the price of memory that cached parts lose to a request.
func memoryPrice(req *Request, c *Candidate) float64 {
	return memoryMs * memoryUse(req, c)
}
