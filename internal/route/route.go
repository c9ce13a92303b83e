// Package route decides which replica serves a request. The decision is a pure
// function of a request and a snapshot: replicas are filtered, scored, and the
// best is picked.
package route

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/prefix"
)

// Replica is one backend server in a snapshot.
type Replica struct {
	ID          string
	Number      prefix.Replica
	Address     string
	Incarnation uint64
	Zone        string
	// Model and Version are what the engine itself reports to run.
	Model   string
	Version string
	// Serving is false when the replica takes no new work.
	Serving bool
	// Queued is the number of uncached pieces expected to wait for prefill now.
	Queued float64
	// Prefill is the time to compute one uncached piece.
	Prefill time.Duration
}

// Snapshot is the immutable set of replicas a decision is made on.
type Snapshot struct {
	Replicas []Replica
}

// Request is what the decision needs to know of a request.
type Request struct {
	Model   string
	Version string
	// Pieces is the length of the prompt in pieces, the incomplete last one included.
	Pieces float64
	// Matches tells which replicas are believed to hold the prompt's beginning.
	Matches []prefix.Match
	// Affinity breaks ties, alike on every host.
	Affinity uint64
	// Exclude lists replicas already tried.
	Exclude []string
	// Bounds limits what is accepted.
	Bounds Bounds
}

// Bounds limits the replicas a request may be sent to. Zero fields do not.
type Bounds struct {
	// FirstToken is the time left for the first token.
	FirstToken time.Duration
	// Wait is the longest mean queue over the replicas, in time, at which a
	// request beyond its organisation's guarantee is still admitted.
	Wait time.Duration
}

// Decision names the replica and what is expected of it.
type Decision struct {
	Replica Replica
	// Cached is the number of leading pieces expected in its cache.
	Cached float64
	// FirstToken is the expected time to first token.
	FirstToken time.Duration
}

// Policy weighs the parts of the decision.
type Policy struct {
	// RecomputeWeight moves from latency alone (0) to recomputation alone (1).
	RecomputeWeight float64
	// BeliefLife is the age at which a belief is worth 1/e of a fresh one; 0
	// means beliefs do not age.
	BeliefLife time.Duration
}

// DefaultPolicy is the policy of a host whose settings say nothing else.
func DefaultPolicy() Policy {
	return Policy{RecomputeWeight: 0.5, BeliefLife: beliefLife}
}

// beliefLife is the age at which a belief is worth 1/e of a fresh one.
const beliefLife = 100 * time.Second

// Candidate is a replica under consideration.
type Candidate struct {
	Replica *Replica
	Cached  float64
	Wait    time.Duration
	Prefill time.Duration
}

// Filter removes candidates.
type Filter interface {
	Name() string
	Keep(req *Request, c *Candidate) bool
}

// Scorer prices a candidate in seconds; lower is better.
type Scorer interface {
	Name() string
	Score(req *Request, c *Candidate) float64
}

// Pipeline is filters, then scorers, then the pick of the lowest sum.
type Pipeline struct {
	policy  Policy
	filters []Filter
	scorers []Scorer
}

// NewPipeline returns the pipeline of the policy.
func NewPipeline(p Policy) *Pipeline {
	return &Pipeline{
		policy:  p,
		filters: []Filter{servingFilter{}, weightsFilter{}, excludeFilter{}},
		scorers: []Scorer{waitScorer{1 - p.RecomputeWeight}, prefillScorer{}},
	}
}

// Decide picks a replica. It fails with NoBackend when none can take the
// request, and with Overloaded when its bounds cannot be met.
func (p *Pipeline) Decide(req *Request, snap Snapshot) (Decision, error) {
	// Both live outside the loop, so that a decision does not allocate once a
	// replica.
	var best, c Candidate
	bestScore := math.Inf(1)
	soonest := time.Duration(math.MaxInt64)
	var waits, kept time.Duration
	for i := range snap.Replicas {
		c = p.candidate(req, &snap.Replicas[i])
		if !p.keep(req, &c) {
			continue
		}
		waits += c.Wait
		kept++
		if late := c.Wait + c.Prefill - req.Bounds.FirstToken; req.Bounds.FirstToken > 0 && late > 0 {
			soonest = min(soonest, late)
			continue
		}
		score := p.score(req, &c)
		if score < bestScore || score == bestScore && p.prefer(req, &c, &best) {
			best, bestScore = c, score
		}
	}
	switch {
	case best.Replica == nil && soonest == math.MaxInt64:
		return Decision{}, errkind.New(errkind.NoBackend, "no backend server serves this model version")
	case best.Replica == nil:
		return Decision{}, errkind.New(errkind.Overloaded, "the first token is expected later than the deadline").
			After(soonest + time.Second)
	case req.Bounds.Wait > 0 && waits/kept > req.Bounds.Wait:
		return Decision{}, errkind.New(errkind.Overloaded, "there is no room beyond the organisation's guarantee").
			After(waits/kept - req.Bounds.Wait + time.Second)
	default:
		return Decision{*best.Replica, best.Cached, best.Wait + best.Prefill}, nil
	}
}

func (p *Pipeline) candidate(req *Request, r *Replica) Candidate {
	c := Candidate{Replica: r}
	for _, m := range req.Matches {
		if m.Replica == r.Number {
			c.Cached = float64(m.Depth) * p.confidence(m.Oldest)
		}
	}
	c.Wait = time.Duration(r.Queued * float64(r.Prefill))
	c.Prefill = time.Duration(max(0, req.Pieces-c.Cached) * float64(r.Prefill))
	return c
}

func (p *Pipeline) confidence(age time.Duration) float64 {
	if p.policy.BeliefLife <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(p.policy.BeliefLife))
}

func (p *Pipeline) keep(req *Request, c *Candidate) bool {
	for _, f := range p.filters {
		if !f.Keep(req, c) {
			return false
		}
	}
	return true
}

func (p *Pipeline) score(req *Request, c *Candidate) float64 {
	sum := 0.0
	for _, s := range p.scorers {
		sum += s.Score(req, c)
	}
	return sum
}

// prefer orders candidates of equal score by rendezvous hashing.
func (p *Pipeline) prefer(req *Request, a, b *Candidate) bool {
	return xxh3.HashStringSeed(a.Replica.ID, req.Affinity) > xxh3.HashStringSeed(b.Replica.ID, req.Affinity)
}

type servingFilter struct{}

func (servingFilter) Name() string                       { return "serving" }
func (servingFilter) Keep(_ *Request, c *Candidate) bool { return c.Replica.Serving }

// weightsFilter trusts only the version that the engine itself reports.
type weightsFilter struct{}

func (weightsFilter) Name() string { return "weights" }

func (weightsFilter) Keep(req *Request, c *Candidate) bool {
	return c.Replica.Model == req.Model && c.Replica.Version == req.Version
}

type excludeFilter struct{}

func (excludeFilter) Name() string { return "exclude" }

func (excludeFilter) Keep(req *Request, c *Candidate) bool {
	for _, id := range req.Exclude {
		if id == c.Replica.ID {
			return false
		}
	}
	return true
}

// waitScorer prices the queue ahead of the request.
type waitScorer struct{ weight float64 }

func (waitScorer) Name() string { return "wait" }

func (s waitScorer) Score(_ *Request, c *Candidate) float64 { return s.weight * c.Wait.Seconds() }

// prefillScorer prices the pieces that would be computed again.
type prefillScorer struct{}

func (prefillScorer) Name() string { return "prefill" }

func (prefillScorer) Score(_ *Request, c *Candidate) float64 { return c.Prefill.Seconds() }
