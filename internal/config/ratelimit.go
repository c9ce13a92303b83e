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
	// Tokens counts a request by its prompt tokens plus the maximum number of output tokens.
	Tokens
)

// String returns the unit's name as shown to operators.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

const (
	// maxPerSecond is the maximum of rates and bursts. It is far beyond what any fleet serves,
	// and low enough that sums over a window do not overflow integers.
	maxPerSecond = 1e12
	// maxRequestTokens limits the tokens counted for one request, whatever its caller
	// declares, so that sums do not overflow integers.
	maxRequestTokens = 1_000_000_000
)

// RateLimit limits what an organisation may send to all hosts together: a steady rate, and
// bursts beyond it after a pause.
type RateLimit struct {
	Unit Unit
	// PerSecond is the steady rate, and Burst the amount that may arrive at once beyond it,
	// both in units.
	PerSecond float64
	Burst     float64
	// DefaultTokens is the cost of a request that does not declare its tokens.
	DefaultTokens int
}

// String returns the limit as shown to operators.
func (l *RateLimit) String() string {
	return fmt.Sprintf("%.0f %s a second, burst %.0f", l.PerSecond, l.Unit, l.Burst)
}

// Check returns an error if the limit is invalid.
func (l *RateLimit) Check() error {
	switch {
	case !usable(l.PerSecond):
		return errors.Errorf("invalid rate of %g a second", l.PerSecond)
	case !usable(l.Burst):
		return errors.Errorf("invalid burst of %g", l.Burst)
	case l.DefaultTokens < 0 || l.DefaultTokens > maxRequestTokens:
		return errors.Errorf("invalid default of %d tokens for a request that does not declare its tokens", l.DefaultTokens)
	}
	return nil
}

func usable(v float64) bool { return !math.IsNaN(v) && v >= 0 && v <= maxPerSecond }

// Cost returns what a request counts against the limit, in its unit. declared says whether
// the request declares its tokens.
func (l *RateLimit) Cost(promptTokens, outputTokens int, declared bool) int64 {
	switch {
	case l.Unit == Requests:
		return 1
	case !declared:
		return int64(l.DefaultTokens)
	default:
		return int64(min(promptTokens, maxRequestTokens)) + int64(min(outputTokens, maxRequestTokens))
	}
}
