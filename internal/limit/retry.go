package limit

import "sync"

const (
	// retryBurst is how many retries an organisation may save up.
	retryBurst = 10
)

// RetryBudget bounds retries to a share of each organisation's requests, so
// that retries cannot multiply an overload. It is safe for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	ratio float64
	saved map[string]float64
}

// NewRetryBudget returns a budget in which each request earns ratio retries.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, saved: map[string]float64{}}
}

// Request credits one request.
func (b *RetryBudget) Request(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[organisation] = min(b.balance(organisation)+b.ratio, retryBurst)
}

// Retry takes one retry and reports whether there was one.
func (b *RetryBudget) Retry(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.balance(organisation)
	if have < 1 {
		return false
	}
	b.saved[organisation] = have - 1
	return true
}

func (b *RetryBudget) balance(organisation string) float64 {
	if v, ok := b.saved[organisation]; ok {
		return v
	}
	return retryBurst
}
