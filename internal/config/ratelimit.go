package config

import (
	"fmt"
	"math"

	"github.com/pkg/errors"
)

// Unit is what a rate limit counts.
type Unit int

// Units of rate limits.
const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts a request by its prompt's tokens and the most it may generate.
	Tokens
)

// String returns the unit's name for operators.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

const (
	// maxPerSecond bounds rates and bursts. It lies far beyond what any fleet serves, and
	// keeps sums over a window within whole numbers.
	maxPerSecond = 1e12
	// maxRequestTokens bounds what one request counts, whatever its caller claims, so
	// that sums stay within whole numbers.
	maxRequestTokens = 1_000_000_000
)

// RateLimit bounds what an organisation may send, over all hosts: at a steady rate,
// and a burst beyond it after a pause.
type RateLimit struct {
	Unit Unit
	// PerSecond is the steady rate and Burst what may come beyond it at once, in units.
	PerSecond float64
	Burst     float64
	// DefaultTokens is what a request counts that does not say its tokens.
	DefaultTokens int
}

// String returns the limit for operators.
func (l *RateLimit) String() string {
	return fmt.Sprintf("%.0f %s a second, burst %.0f", l.PerSecond, l.Unit, l.Burst)
}

// Check returns what makes the limit unusable.
func (l *RateLimit) Check() error {
	switch {
	case !usable(l.PerSecond):
		return errors.Errorf("a rate of %g a second", l.PerSecond)
	case !usable(l.Burst):
		return errors.Errorf("a burst of %g", l.Burst)
	case l.DefaultTokens < 0 || l.DefaultTokens > maxRequestTokens:
		return errors.Errorf("%d tokens for a request that does not say its tokens", l.DefaultTokens)
	}
	return nil
}

func usable(v float64) bool { return !math.IsNaN(v) && v >= 0 && v <= maxPerSecond }

// Cost returns what a request counts. Said is whether it names its tokens.
func (l *RateLimit) Cost(promptTokens, outputTokens int, said bool) int64 {
	switch {
	case l.Unit == Requests:
		return 1
	case !said:
		return int64(l.DefaultTokens)
	default:
		return int64(min(promptTokens, maxRequestTokens)) + int64(min(outputTokens, maxRequestTokens))
	}
}
