package route

import (
	"time"

	"github.com/briarlink/briarlink/internal/mechanism"
)

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
