// Package route decides which replica a request is sent to. The decision is a
// pure function of the request and of candidates described at one moment: filters
// drop what must not be used, scorers price the rest in milliseconds, and the
// cheapest is picked.
package route

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/mechanism"
)

// Replica is what is known of a replica when a request is routed.
type Replica struct {
	ID               string
	Address          string
	AvailabilityZone string
	// Usable replicas are registered, not leaving and can be reached as far as is
	// known. Doubted ones of them give no sign of life, or are avoided at another
	// host's word.
	Usable  bool
	Doubted bool
	// Trial replicas failed a moment ago and are tried with one request.
	Trial bool
	// Loading replicas refuse requests until their weights are loaded.
	Loading bool
	// Weights is the version of the request's model, 0 without one. Behind is how
	// long a newer one has been wanted, 0 without one.
	Weights int64
	Behind  time.Duration
	// Requests of all hosts are not finished; Slots run at once.
	Requests int
	Slots    int
	// PrefillTokens of all hosts' requests are still to be read.
	PrefillTokens int
	// MemoryTokens are needed by requests that are not finished; CacheTokens is
	// the whole memory, 0 for plain services.
	MemoryTokens int
	CacheTokens  int
	// Slow is the time that answers take against what was expected; 1 is normal.
	Slow float64
	// Errors is the share of requests that failed or were lost, lately, at all hosts.
	Errors float64
	// Silence is how long the oldest request has waited without any answer of
	// the replica since.
	Silence time.Duration
}

// Candidate is a replica with what it would mean for one request.
type Candidate struct {
	Replica
	// Cached tokens of the prompt are held by the replica itself; Reading of them it
	// is just reading for another request.
	Cached  int
	Reading int
	// Fetched tokens beyond these would come from Source within FetchTime, of which
	// Transfer is spent on the links.
	Fetched   int
	Source    string
	FetchTime time.Duration
	Transfer  time.Duration
}

// Request is what the decision must know of a request.
type Request struct {
	AvailabilityZone string
	// PromptTokens and OutputTokens size the request; 0 for plain services.
	PromptTokens int
	OutputTokens int
	// SharedTokens of the prompt are worth keeping in some cache.
	SharedTokens  int
	LatencyTarget time.Duration
	// Repeatable requests may run again at another replica.
	Repeatable bool
	// Exclude holds replicas that were tried.
	Exclude map[string]bool
	// Affinity is equal for requests with the same leading part.
	Affinity uint64
}

// Decision is the chosen candidate and what is expected of it.
type Decision struct {
	Candidate
	// Expected is the time to the first event, or to a plain service's answer.
	Expected time.Duration
	// Waiting is the part of it that is spent behind other requests.
	Waiting time.Duration
	// Considered is the number of candidates that passed the filters.
	Considered int
	// Score is the chosen candidate's price in milliseconds.
	Score float64
}

// Policy holds the weights of the decision.
type Policy struct {
	// PrefillPerMs is how many prompt tokens an engine reads in a millisecond.
	PrefillPerMs float64
	// PairsPerMs is how many pairs of prompt tokens attention covers in a
	// millisecond: long prompts take more than their share.
	PairsPerMs float64
	// Reread is the price of reading shared tokens, in latency targets for a prompt
	// that is all shared: some cache keeps them, or will after the first reading.
	Reread float64
	// OtherZone is the price in milliseconds of leaving the availability zone.
	OtherZone float64
	// OldWeights is the price of an answer on older weights, in latency targets: a
	// fifth of its worth against the two thirds that a late one loses, and as much
	// again for a long run, whose replica changes weights under it. With the price
	// at 0.15 a third more of all work was done on weights that had been replaced.
	OldWeights float64
	// OldWeightsAfter is how long older weights cost nothing.
	OldWeightsAfter time.Duration
	// WeightsDeadline is when older weights may no longer begin a request.
	WeightsDeadline time.Duration
	// Lost is the price of a certain failure, in latency targets, of a request that may
	// not be repeated: its whole worth against the two thirds of it that a late answer
	// loses. Again is that of one that may: a loss is noticed after about a target,
	// and mostly made good.
	Lost  float64
	Again float64
	// MemoryTurn is how long a loaded replica takes to free its whole memory: about
	// the time of a large request from its first to its last event.
	MemoryTurn time.Duration
	// Tolerance is the part of the latency target within which affinity decides. Where
	// many hosts route and know each other's sends late, it keeps a prefix together.
	Tolerance float64
}

// DefaultPolicy returns the weights that are in use.
func DefaultPolicy() Policy {
	return Policy{
		PrefillPerMs:    50,
		PairsPerMs:      2.7e6,
		Reread:          1,
		OtherZone:       3,
		OldWeights:      0.4,
		OldWeightsAfter: 1200 * time.Millisecond,
		WeightsDeadline: 8 * time.Second,
		Lost:            1.4,
		Again:           0.4,
		MemoryTurn:      4 * time.Second,
		Tolerance:       0.04,
	}
}

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

// Decide picks a candidate, or fails with an error that says when to come back.
// Doubted replicas are the last resort: doubts may be wrong, and where all of a
// service's replicas are doubted, refusing would make it as if they were right.
func (p Policy) Decide(req *Request, candidates []Candidate) (Decision, error) {
	if best := p.cheapest(req, candidates, allDoubted(candidates)); best.ID != "" {
		return best, nil
	}
	return Decision{}, errkind.New(errkind.NoBackend, p.whyNone(req, candidates)).After(retryAfter)
}

// allDoubted reports whether no candidate is usable without a doubt.
func allDoubted(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Usable && !candidates[i].Doubted {
			return false
		}
	}
	return true
}

// cheapest picks among the candidates that are doubted, or among the others.
func (p Policy) cheapest(req *Request, candidates []Candidate, doubted bool) Decision {
	best := Decision{}
	bestRank := uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Doubted != doubted || p.unfit(req, c) != "" {
			continue
		}
		best.Considered++
		expected := p.expected(req, c)
		score := p.score(req, c, expected)
		rank := affinity(req.Affinity, c.ID)
		if best.ID == "" || p.better(req, score, rank, best.Score, bestRank) {
			best = Decision{
				Candidate: *c, Expected: duration(expected), Waiting: duration(p.waiting(req, c)),
				Considered: best.Considered, Score: score,
			}
			bestRank = rank
		}
	}
	return best
}

// better compares two candidates: by score, and by affinity where the scores
// are close.
func (p Policy) better(req *Request, score float64, rank uint64, bestScore float64, bestRank uint64) bool {
	tolerance := p.Tolerance * millis(req.LatencyTarget)
	if score < bestScore-tolerance {
		return true
	}
	return score <= bestScore+tolerance && rank > bestRank
}

// affinity ranks replicas for a leading part by rendezvous hashing.
func affinity(part uint64, id string) uint64 { return xxh3.HashStringSeed(id, part) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Reading returns how long an engine takes to read tokens.
func (p Policy) Reading(tokens int) time.Duration {
	n := float64(tokens)
	return time.Duration((n/p.PrefillPerMs + n*n/2/p.PairsPerMs) * float64(time.Millisecond))
}

// unfit applies the filters: it returns why a candidate may not be used, or "".
func (p Policy) unfit(req *Request, c *Candidate) string {
	switch {
	case !c.Usable:
		return "down or leaving"
	case c.Loading:
		return "loading weights"
	case req.Exclude[c.ID]:
		return "tried"
	case !fits(req, c):
		return "too small"
	case c.Behind > 0 && c.Behind+duration(p.expected(req, c)) >= p.WeightsDeadline-deadlineMargin:
		return "on old weights"
	default:
		return ""
	}
}

// whyNone counts the candidates by the reason that ruled them out.
func (p Policy) whyNone(req *Request, candidates []Candidate) string {
	counts := map[string]int{}
	for i := range candidates {
		reason := p.unfit(req, &candidates[i])
		if reason == "" {
			reason = "silent"
		}
		counts[reason]++
	}
	var parts []string
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, reason))
	}
	sort.Strings(parts)
	return fmt.Sprintf("no replica can take the request; known: %d (%s)", len(candidates), strings.Join(parts, ", "))
}

// fits reports whether the replica's whole memory holds the request.
func fits(req *Request, c *Candidate) bool {
	return c.CacheTokens == 0 || req.PromptTokens+req.OutputTokens <= c.CacheTokens
}

// expected returns the expected time to the first event in milliseconds.
func (p Policy) expected(req *Request, c *Candidate) float64 {
	slow := max(1, c.Slow)
	if c.CacheTokens == 0 {
		queued := float64(max(0, c.Requests+1-c.Slots))
		return slow * plainMs * (1 + queued/float64(max(1, c.Slots)))
	}
	read := millis(p.Reading(req.PromptTokens - c.Cached - c.Fetched))
	step := firstSteps * (stepMs + perRequestMs*float64(c.Requests))
	return slow*(read+step) + millis(c.FetchTime) + p.waiting(req, c)
}

// waiting returns the time that a request is expected to spend behind others, in
// milliseconds.
func (p Policy) waiting(req *Request, c *Candidate) float64 {
	if c.CacheTokens == 0 {
		return 0
	}
	return max(1, c.Slow)*float64(c.PrefillTokens)/p.PrefillPerMs + p.memoryWait(req, c)
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

// Without returns the policy without the mechanisms that are switched off.
func (p Policy) Without(off mechanism.Off) Policy {
	if off[mechanism.Affinity] {
		p.Tolerance = 0
	}
	if off[mechanism.RereadPrice] {
		p.Reread = 0
	}
	if off[mechanism.OldWeightsPrice] {
		p.OldWeights = 0
	}
	if off[mechanism.FailurePrice] {
		p.Lost, p.Again = 0, 0
	}
	if off[mechanism.MemoryWait] {
		p.MemoryTurn = 0
	}
	return p
}
