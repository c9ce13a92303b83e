package route

import (
	"time"

	"github.com/briarlink/briarlink/internal/mechanism"
)

// Policy holds the parameters of the latency estimate and of the scoring. Prices are given in
// milliseconds, or in multiples of the request's latency target.
type Policy struct {
	// PrefillTokensPerMs is how many prompt tokens an engine prefills in a millisecond.
	PrefillTokensPerMs float64
	// AttentionPairsPerMs is how many pairs of prompt tokens attention covers in a
	// millisecond. With it the estimate grows quadratically for long prompts.
	AttentionPairsPerMs float64
	// RecomputePrice is the price of recomputing shared prompt tokens, in latency targets for
	// a prompt that is all shared. Some replica has them in its KV cache, or will have them
	// after the first prefill.
	RecomputePrice float64
	// CrossZonePrice is the price of leaving the availability zone, in milliseconds.
	CrossZonePrice float64
	// OutdatedWeightsPrice is the price of an answer from outdated weights, in latency
	// targets. Such an answer loses a fifth of its value, where a late one loses two thirds;
	// a long-running request loses another fifth, as its replica changes weights meanwhile.
	// With a price of 0.15, a third more of all work was done on weights that had been replaced.
	OutdatedWeightsPrice float64
	// OutdatedWeightsGrace is how long after newer weights were requested the outdated ones
	// have no price.
	OutdatedWeightsGrace time.Duration
	// WeightsDeadline is how long after newer weights were requested a request may still
	// begin on outdated ones.
	WeightsDeadline time.Duration
	// NonRepeatableFailurePrice is the price, in latency targets, of a failure that is certain,
	// for a request that must not be retried. The request loses its whole value, where a late
	// answer loses two thirds.
	NonRepeatableFailurePrice float64
	// RepeatableFailurePrice is the same for a request that may be retried. The loss is
	// detected after about one latency target, and the retry mostly succeeds.
	RepeatableFailurePrice float64
	// MemoryTurnover is how long a loaded replica takes to free its whole memory: about
	// the time of a large request from its first to its last event.
	MemoryTurnover time.Duration
	// AffinityTolerance is the score difference, in latency targets, within which affinity
	// decides. It keeps requests with the same prefix at one replica even if many hosts route
	// them and receive each other's reports of sent requests late.
	AffinityTolerance float64
}

// DefaultPolicy returns the default parameters.
func DefaultPolicy() Policy {
	return Policy{
		PrefillTokensPerMs:        50,
		AttentionPairsPerMs:       2.7e6,
		RecomputePrice:            1,
		CrossZonePrice:            3,
		OutdatedWeightsPrice:      0.4,
		OutdatedWeightsGrace:      1200 * time.Millisecond,
		WeightsDeadline:           8 * time.Second,
		NonRepeatableFailurePrice: 1.4,
		RepeatableFailurePrice:    0.4,
		MemoryTurnover:            4 * time.Second,
		AffinityTolerance:         0.04,
	}
}

// Without returns the policy with the parameters of disabled mechanisms set to zero.
func (p Policy) Without(off mechanism.Off) Policy {
	if off[mechanism.Affinity] {
		p.AffinityTolerance = 0
	}
	if off[mechanism.RereadPrice] {
		p.RecomputePrice = 0
	}
	if off[mechanism.OldWeightsPrice] {
		p.OutdatedWeightsPrice = 0
	}
	if off[mechanism.FailurePrice] {
		p.NonRepeatableFailurePrice, p.RepeatableFailurePrice = 0, 0
	}
	if off[mechanism.MemoryWait] {
		p.MemoryTurnover = 0
	}
	return p
}
