// Package route decides which replica a request is sent to. The decision is a pure function
// of the request and of a snapshot of the candidates: filters drop candidates that must not be
// used, a score in milliseconds is computed for the others (the expected latency plus the
// prices of the Policy), and the candidate with the lowest score is picked.
package route

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/errkind"
)

// Replica is the state of a replica when a request is routed.
type Replica struct {
	ID               string
	Address          string
	AvailabilityZone string
	// Software is the version of the replica's software.
	Software string
	// Usable is set if the replica is registered, not leaving and not known to be unreachable.
	Usable bool
	// Suspected is set if the replica is suspected to be down: it gives no liveness signal, or
	// it was marked down, possibly on another host's report.
	Suspected bool
	// Trial is set if the replica failed recently and is probed with a single request.
	Trial bool
	// Loading is set while the replica loads weights and refuses requests.
	Loading bool
	// Backoff is how long the replica still asks this host to send it no requests.
	Backoff time.Duration
	// Limited is set if the replica limits how many requests it takes from all hosts together. A
	// request to it needs a permit. LimitWait is how long this host gets none.
	Limited   bool
	LimitWait time.Duration
	// Brittle is set if the replica falls over if it has to reject many requests. NoRoom is set if this
	// host may send it no further request for now.
	Brittle bool
	NoRoom  bool
	// Weights is the version of the weights of the request's model, 0 without one. OutdatedFor
	// is how long ago a newer version was requested, 0 if there is none.
	Weights     int64
	OutdatedFor time.Duration
	// Requests is the number of unfinished requests of all hosts; Slots is how many of them
	// run concurrently.
	Requests int
	Slots    int
	// PrefillTokens is the pending prefill of all hosts' requests.
	PrefillTokens int
	// MemoryTokens is the memory that unfinished requests need; CacheTokens is the whole
	// memory, 0 for plain services.
	MemoryTokens int
	CacheTokens  int
	// Slowdown is the ratio of the replica's measured to its expected service time.
	// RecentSlowdown is the ratio by which its recent answers took longer than that. 1 is
	// normal, 0 is unknown.
	Slowdown       float64
	RecentSlowdown float64
	// ErrorRate is the recent share of requests, from all hosts, that failed or were lost.
	ErrorRate float64
	// UnresponsiveFor is how long the most overdue request has waited since its expected time, or
	// since the replica's last liveness signal if that was later.
	UnresponsiveFor time.Duration
}

// Candidate is a replica together with the data that depend on the request.
type Candidate struct {
	Replica
	// Cached is the number of prompt tokens in the replica's own KV cache. It includes
	// Prefilling, the tokens that the replica is prefilling for another request.
	Cached     int
	Prefilling int
	// Fetched is the number of further prompt tokens that the replica would fetch from
	// Source. The fetch takes FetchTime, of which TransferTime is spent on network links.
	Fetched      int
	Source       string
	FetchTime    time.Duration
	TransferTime time.Duration
	// AwaitTime is how long the request is held before it is sent to the replica, which works
	// off its queue meanwhile: until the replica or, with AwaitsSource, its source has prefilled
	// the blocks. It is 0 if the request is sent at once. HeldAhead is the prefill time of other
	// requests that are held for the replica.
	AwaitTime    time.Duration
	HeldAhead    time.Duration
	AwaitsSource bool
}

// Request holds the properties of a request that the decision depends on.
type Request struct {
	AvailabilityZone string
	// PromptTokens and OutputTokens are the size of the request, 0 for plain services.
	PromptTokens int
	OutputTokens int
	// SharedTokens is the number of prompt tokens that other requests may share.
	SharedTokens  int
	LatencyTarget time.Duration
	// Repeatable is set if the request may be retried at another replica.
	Repeatable bool
	// NotSilent excludes replicas that are suspected, or have been unresponsive for a moment, also as a last resort.
	NotSilent bool
	// Exclude holds the IDs of replicas that were already tried.
	Exclude map[string]bool
	// Affinity is equal for requests with the same prefix.
	Affinity uint64
}

// Decision is the chosen candidate with the latency estimate.
type Decision struct {
	Candidate
	// Expected is the time to the first event, or to a plain service's answer.
	Expected time.Duration
	// QueueTime is the part of Expected that the request is queued behind others. ServiceTime is
	// the service time of the request itself at a replica with a slowdown of 1.
	QueueTime   time.Duration
	ServiceTime time.Duration
	// Considered is the number of candidates that passed the filters.
	Considered int
	// Score is the score of the chosen candidate in milliseconds; the lowest one wins.
	Score float64
}

// Decide picks a candidate, or fails with an error that carries a Retry-After. Suspected
// replicas are the last resort, considered only if no other is usable: the suspicion may be
// wrong, and if all replicas of a service are suspected, rejecting its requests would have the
// same effect as if all were down.
func (p Policy) Decide(req *Request, candidates []Candidate) (Decision, error) {
	if best := p.cheapest(req, candidates, allSuspected(candidates)); best.ID != "" {
		return best, nil
	}
	if p.anyWithoutRoom(req, candidates) {
		return Decision{}, errkind.Wrap(errkind.Overloaded, ErrNoRoom, p.rejectReason(req, candidates))
	}
	return Decision{}, errkind.New(errkind.NoBackend, p.rejectReason(req, candidates)).After(retryDelay(candidates))
}

// noRoom is the reason for which a brittle replica is not used.
const noRoom = "brittle and without room"

// ErrNoRoom is the cause of an error about a request that only brittle replicas could take, which have
// no room for it now.
var ErrNoRoom = errors.New("no room at brittle replicas")

// anyWithoutRoom reports whether some candidate could take the request but for its missing room.
func (p Policy) anyWithoutRoom(req *Request, candidates []Candidate) bool {
	for i := range candidates {
		if c := candidates[i]; p.filterReason(req, &c) == noRoom {
			return true
		}
	}
	return false
}

// retryDelay returns the Retry-After of a request that no candidate can take: retryAfter, or
// the shortest wait if every usable candidate backs off or is at its request limit and it is
// longer.
func retryDelay(candidates []Candidate) time.Duration {
	first := time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.Usable:
		case c.unavailableFor() == 0:
			return retryAfter
		case first == 0 || c.unavailableFor() < first:
			first = c.unavailableFor()
		}
	}
	return max(retryAfter, first)
}

// unavailableFor returns how long the replica takes no requests of this host, by its own word.
func (r *Replica) unavailableFor() time.Duration { return max(r.Backoff, r.LimitWait) }

// allSuspected reports whether there is no candidate that is usable, not suspected, not backing
// off and not at its request limit.
func allSuspected(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Usable && !candidates[i].Suspected && candidates[i].unavailableFor() == 0 {
			return false
		}
	}
	return true
}

// cheapest picks the best candidate that passes the filters, either only among the suspected
// ones or only among the others.
func (p Policy) cheapest(req *Request, candidates []Candidate, suspected bool) Decision {
	best := Decision{}
	bestRank := uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Suspected != suspected || p.filterReason(req, c) != "" {
			continue
		}
		best.Considered++
		expected := p.expected(req, c)
		score := p.score(req, c, expected)
		rank := affinityRank(req.Affinity, c.ID)
		if best.ID == "" || p.better(req, score, rank, best.Score, bestRank) {
			best = Decision{
				Candidate: *c, Expected: duration(expected), QueueTime: duration(p.waiting(req, c)), ServiceTime: duration(p.serviceTime(req, c)),
				Considered: best.Considered, Score: score,
			}
			bestRank = rank
		}
	}
	return best
}

// better reports whether a candidate is preferred to the best one so far: by score, or by
// affinity rank if the scores are within the tolerance.
func (p Policy) better(req *Request, score float64, rank uint64, bestScore float64, bestRank uint64) bool {
	tolerance := p.AffinityTolerance * millis(req.LatencyTarget)
	if score < bestScore-tolerance {
		return true
	}
	return score <= bestScore+tolerance && rank > bestRank
}

// affinityRank ranks replicas for a prefix by rendezvous hashing.
func affinityRank(prefix uint64, id string) uint64 { return xxh3.HashStringSeed(id, prefix) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// PrefillTime returns the prefill time of that many tokens at an engine without slowdown.
func (p Policy) PrefillTime(tokens int) time.Duration {
	n := float64(tokens)
	return time.Duration((n/p.PrefillTokensPerMs + n*n/2/p.AttentionPairsPerMs) * float64(time.Millisecond))
}

// filterReason applies the filters. It returns why a candidate must not be used, or "".
func (p Policy) filterReason(req *Request, c *Candidate) string {
	switch {
	case !c.Usable:
		return "down or leaving"
	case c.Backoff > 0:
		return "asked to back off"
	case c.LimitWait > 0:
		return "at its request limit"
	case c.NoRoom, c.Brittle && overfills(req, c):
		return noRoom
	case c.Loading:
		return "loading weights"
	case req.Exclude[c.ID]:
		return "tried"
	case req.NotSilent && (c.Suspected || c.UnresponsiveFor > unresponsivePriceThreshold):
		return "silent"
	case !fits(req, c):
		return "too small"
	case c.OutdatedFor > 0 && c.OutdatedFor+duration(p.expected(req, c)) >= p.WeightsDeadline-deadlineMargin:
		return "on old weights"
	default:
		return ""
	}
}

// overfills reports whether a request would have to wait for memory at an engine.
func overfills(req *Request, c *Candidate) bool {
	return c.CacheTokens > 0 && c.Requests > 0 && c.MemoryTokens+req.PromptTokens+req.OutputTokens > c.CacheTokens
}

// rejectReason states why no candidate can take the request: the number of candidates for each
// reason.
func (p Policy) rejectReason(req *Request, candidates []Candidate) string {
	counts := map[string]int{}
	for i := range candidates {
		reason := p.filterReason(req, &candidates[i])
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
