// Package schedule joins the prefix index, the table of backend servers and the
// routing decision: it picks a replica for a prompt and learns from what the
// replica then reports. It is the whole of what a routing benchmark must drive.
package schedule

import (
	"time"

	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/internal/route"
)

// Prompt is what a request asks a replica to hold or compute.
type Prompt struct {
	Model   string
	Version string
	// Chain names the whole pieces.
	Chain []prefix.Hash
	// Pieces is the length in pieces, the incomplete last one included.
	Pieces float64
}

// Scheduler picks replicas. It is safe for concurrent use.
type Scheduler struct {
	replicas *replica.Table
	index    *prefix.Index
	pipeline *route.Pipeline
}

// New returns a scheduler over the two tables.
func New(replicas *replica.Table, index *prefix.Index, pipeline *route.Pipeline) *Scheduler {
	return &Scheduler{replicas, index, pipeline}
}

// Replicas returns the table of backend servers.
func (s *Scheduler) Replicas() *replica.Table { return s.replicas }

// Pick chooses a replica within bounds and counts the work as sent to it.
func (s *Scheduler) Pick(p *Prompt, exclude []string, bounds route.Bounds, now time.Time) (route.Decision, error) {
	req := route.Request{
		Model:   p.Model,
		Version: p.Version,
		Pieces:  p.Pieces,
		Matches: s.index.Lookup(p.Chain, now),
		Exclude: exclude,
		Bounds:  bounds,
	}
	if len(p.Chain) > 0 {
		req.Affinity = uint64(p.Chain[0])
	}
	decision, err := s.pipeline.Decide(&req, s.replicas.Snapshot(p.Model, now))
	if err != nil {
		return decision, err
	}
	chosen := &decision.Replica
	s.replicas.Sent(chosen.ID, p.Pieces-decision.Cached, now)
	// Pieces about to be computed count as held, so that the next request with
	// the same prompt follows this one.
	s.index.Add(chosen.Number, chosen.Incarnation, now, p.Chain...)
	return decision, nil
}

// Learn records that an incarnation of a replica has answered the prompt, and
// so holds all its pieces.
func (s *Scheduler) Learn(p *Prompt, number prefix.Replica, incarnation uint64, now time.Time) {
	s.index.Add(number, incarnation, now, p.Chain...)
}
