package schedule

import (
	"sync"
	"time"

	"github.com/briarlink/briarlink/internal/prefix"
)

const (
	// reuseWindow is the period within which a prefix must be requested again to be worth
	// saving. After that, the replicas, and usually the store, have evicted it.
	reuseWindow = 10 * time.Second
	// reuseWeight is the weight of one request in the moving average of the reuse rate.
	reuseWeight = 0.05
	// minReuseRate is the reuse rate of a sharing scope from which all its prefixes are saved.
	// Below it, saving would fill the store's link with prefixes that are not requested again.
	minReuseRate = 0.1
	// reuseSweepThreshold is the number of prefixes above which old ones are removed.
	reuseSweepThreshold = 4096
)

// reuseTracker records how often prefixes are requested again. It is safe for concurrent
// use.
type reuseTracker struct {
	mu          sync.Mutex
	lastRequest map[prefix.Hash]time.Time
	rate        map[uint64]float64
}

func newReuseTracker() *reuseTracker {
	return &reuseTracker{lastRequest: map[prefix.Hash]time.Time{}, rate: map[uint64]float64{}}
}

// record notes a request with the given prefix in a sharing scope.
func (r *reuseTracker) record(scope uint64, hash prefix.Hash, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	repeated := 0.0
	if r.requestedLately(hash, now) {
		repeated = 1
	}
	r.rate[scope] += reuseWeight * (repeated - r.rate[scope])
	r.lastRequest[hash] = now
	if len(r.lastRequest) > reuseSweepThreshold {
		r.sweep(now)
	}
}

func (r *reuseTracker) requestedLately(hash prefix.Hash, now time.Time) bool {
	at, ok := r.lastRequest[hash]
	return ok && now.Sub(at) < reuseWindow
}

func (r *reuseTracker) sweep(now time.Time) {
	for hash, at := range r.lastRequest {
		if now.Sub(at) >= reuseWindow {
			delete(r.lastRequest, hash)
		}
	}
}

// likely reports whether a prefix will probably be requested again soon: because it was
// requested lately, or because many prefixes in its sharing scope are requested again.
func (r *reuseTracker) likely(scope uint64, hash prefix.Hash, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requestedLately(hash, now) || r.rate[scope] >= minReuseRate
}
