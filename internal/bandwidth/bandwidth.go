// Package bandwidth limits a host's bulk transfers to a share of its link, so that heartbeats,
// configurations, the lease and callers' answers are not delayed by them.
package bandwidth

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

const (
	// bulkShare is the share of the link, in each direction, for bulk transfers.
	bulkShare = 1.0 / 3
	// maxQueueDelay limits the bulk reads in flight, given as the time that the link takes to
	// carry them: other traffic may have to wait that long behind them.
	maxQueueDelay = 50 * time.Millisecond
	// typicalReadBytes is the typical size of a bulk read.
	typicalReadBytes = 32 << 10
	// unansweredTimeout is how long a read without an answer occupies its slot: a
	// sender that has nothing to send holds the call open.
	unansweredTimeout = 100 * time.Millisecond
	bitsPerByte       = 8
)

// Budget limits the bulk transfers of one host in one direction: Begin limits the number of
// concurrent reads; Wait, Spend and TrySpend limit the bytes per second. A nil budget does not
// limit reads. It is safe for concurrent use.
type Budget struct {
	readSlots *semaphore.Weighted
	byteRate  *rate.Limiter
	// spent is the number of bytes spent so far.
	spent atomic.Int64
}

// NewBudget returns the budget for a link with a speed in Mbit/s. A speed of 0 is unknown, and
// the budget then sets no limits.
func NewBudget(linkMbps float64) *Budget {
	if linkMbps <= 0 {
		return &Budget{readSlots: semaphore.NewWeighted(math.MaxInt64), byteRate: rate.NewLimiter(rate.Inf, math.MaxInt32)}
	}
	bytesPerSecond := linkMbps * 1e6 / bitsPerByte
	maxQueuedBytes := bytesPerSecond * maxQueueDelay.Seconds()
	return &Budget{
		readSlots: semaphore.NewWeighted(1 + int64(maxQueuedBytes)/typicalReadBytes),
		byteRate:  rate.NewLimiter(rate.Limit(bytesPerSecond*bulkShare), 1+int(maxQueuedBytes)),
	}
}

// Wait waits until the rate limit covers the bytes spent so far, or ctx ends.
func (b *Budget) Wait(ctx context.Context) {
	if b != nil {
		// It fails only if ctx ends first, which the caller checks itself.
		_ = b.byteRate.Wait(ctx)
	}
}

// Begin waits until a bulk read may start, or ctx ends. The returned function must be called when
// the read has ended. After unansweredTimeout the read no longer counts towards the concurrent
// reads.
func (b *Budget) Begin(ctx context.Context) (end func()) {
	if b == nil || b.readSlots.Acquire(ctx, 1) != nil {
		return func() {}
	}
	b.Wait(ctx)
	release := sync.OnceFunc(func() { b.readSlots.Release(1) })
	releaseTimer := time.AfterFunc(unansweredTimeout, release)
	return func() {
		releaseTimer.Stop()
		release()
	}
}

// Spend charges the bytes of a transfer. They may exceed the budget: later transfers then wait
// until the rate limit covers them.
func (b *Budget) Spend(bytes int) {
	if b == nil {
		return
	}
	b.spent.Add(int64(bytes))
	now := time.Now()
	for bytes > 0 {
		charge := min(bytes, b.byteRate.Burst())
		b.byteRate.ReserveN(now, charge)
		bytes -= charge
	}
}

// TrySpend reports whether the rate limit covers the bytes spent so far, and if so spends the given
// bytes too.
func (b *Budget) TrySpend(bytes int) bool {
	if !b.byteRate.AllowN(time.Now(), 1) {
		return false
	}
	// AllowN has already spent the first byte.
	b.Spend(bytes - 1)
	return true
}

// Spent returns the bytes spent so far.
func (b *Budget) Spent() int64 { return b.spent.Load() }
