package schedule

import (
	"sync"
	"time"

	"github.com/briarlink/briarlink/internal/prefix"
)

const (
	// reuseWindow is how soon a prefix must be asked for again to be worth keeping:
	// later it has been dropped by the replicas, and mostly by the store.
	reuseWindow = 10 * time.Second
	// reuseWeight is the weight of one request in the share of reuse.
	reuseWeight = 0.05
	// reuseShare is the share from which every prefix of some sharers is kept. Below
	// it, saving would fill the store's link with prefixes that nobody asks for.
	reuseShare = 0.1
	// reuseSweep is the number of prefixes from which old ones are dropped.
	reuseSweep = 4096
)

// reuse tracks how often prefixes are asked for again. It is safe for concurrent
// use.
type reuse struct {
	mu    sync.Mutex
	seen  map[prefix.Hash]time.Time
	share map[uint64]float64
}

func newReuse() *reuse {
	return &reuse{seen: map[prefix.Hash]time.Time{}, share: map[uint64]float64{}}
}

// note records that sharers ask for a prefix.
func (r *reuse) note(sharers uint64, last prefix.Hash, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := 0.0
	if r.again(last, now) {
		again = 1
	}
	r.share[sharers] += reuseWeight * (again - r.share[sharers])
	r.seen[last] = now
	if len(r.seen) > reuseSweep {
		r.sweep(now)
	}
}

func (r *reuse) again(last prefix.Hash, now time.Time) bool {
	at, ok := r.seen[last]
	return ok && now.Sub(at) < reuseWindow
}

func (r *reuse) sweep(now time.Time) {
	for part, at := range r.seen {
		if now.Sub(at) >= reuseWindow {
			delete(r.seen, part)
		}
	}
}

// likely reports whether a prefix will probably be asked for again soon: it was a
// moment ago, or many among its sharers are.
func (r *reuse) likely(sharers uint64, last prefix.Hash, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.again(last, now) || r.share[sharers] >= reuseShare
}
