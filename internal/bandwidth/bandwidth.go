// Package bandwidth keeps what a host reads or sends in bulk to a part of its link, so that
// heartbeats, configurations, the lease and callers' answers find room beside it.
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
	// bulkShare of the link, in each direction, is for bulk transfers.
	bulkShare = 1.0 / 3
	// maxQueued is how much bulk reads may have on their way at once, in time of the link:
	// anything else waits behind it.
	maxQueued = 50 * time.Millisecond
	// usualRead is the usual size of a bulk read, in bytes.
	usualRead = 32 << 10
	// answerWait is how long a bulk read may go without an answer before another one may
	// begin: a sender that has nothing to tell keeps the call waiting.
	answerWait = 100 * time.Millisecond
	bitsOfByte = 8
)

// Budget bounds the bulk transfers of one host in one direction: Begin how many reads are on
// their way at once, Wait, Spend and Afford how many bytes pass a second. A nil budget bounds no
// reads. It is safe for concurrent use.
type Budget struct {
	reads *semaphore.Weighted
	bytes *rate.Limiter
	spent atomic.Int64
}

// NewBudget returns the budget of a link of so many Mbit/s. One of unknown speed, 0, is not
// bounded.
func NewBudget(linkMbps float64) *Budget {
	if linkMbps <= 0 {
		return &Budget{reads: semaphore.NewWeighted(math.MaxInt64), bytes: rate.NewLimiter(rate.Inf, math.MaxInt32)}
	}
	link := linkMbps * 1e6 / bitsOfByte
	queued := link * maxQueued.Seconds()
	return &Budget{
		reads: semaphore.NewWeighted(1 + int64(queued)/usualRead),
		bytes: rate.NewLimiter(rate.Limit(link*bulkShare), 1+int(queued)),
	}
}

// Wait waits until what was read so far is paid for, or ctx ends.
func (b *Budget) Wait(ctx context.Context) {
	if b != nil {
		// It fails only where ctx ends first, which the caller sees.
		_ = b.bytes.Wait(ctx)
	}
}

// Begin waits until a bulk read may begin, or ctx ends. The read's end must be told to the
// function that it returns.
func (b *Budget) Begin(ctx context.Context) (end func()) {
	if b == nil || b.reads.Acquire(ctx, 1) != nil {
		return func() {}
	}
	b.Wait(ctx)
	release := sync.OnceFunc(func() { b.reads.Release(1) })
	unanswered := time.AfterFunc(answerWait, release)
	return func() {
		unanswered.Stop()
		release()
	}
}

// Spend takes the bytes of a read, which may be more than there is budget for: later reads
// wait for them.
func (b *Budget) Spend(bytes int) {
	if b == nil {
		return
	}
	b.spent.Add(int64(bytes))
	now := time.Now()
	for bytes > 0 {
		n := min(bytes, b.bytes.Burst())
		b.bytes.ReserveN(now, n)
		bytes -= n
	}
}

// Afford reports whether what was sent so far is paid for, and spends the bytes if so.
func (b *Budget) Afford(bytes int) bool {
	if !b.bytes.AllowN(time.Now(), 1) {
		return false
	}
	// The first byte is spent already.
	b.Spend(bytes - 1)
	return true
}

// Spent returns the bytes of all reads so far.
func (b *Budget) Spent() int64 { return b.spent.Load() }
