// Package cachesync keeps the prefix index up to date with what the holders of KV cache, which
// are replicas and KV cache stores, hold. It polls their cache events, and reads a full list from
// a holder when events were lost.
package cachesync

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/bandwidth"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/platform"
)

const (
	// eventsPollTimeout is how long a holder without new events keeps a call for them open.
	// Calls that wait for less than 200 ms are expensive.
	eventsPollTimeout = 900 * time.Millisecond
	// backlogThreshold is the number of events in one answer at which more are assumed to be
	// waiting, so that the next call follows at once. A busy replica produces some fifty events
	// a second, and an answer holds up to five hundred. A host that starts thus reads a
	// replica's backlog in some twenty milliseconds instead of half a second. Until then it
	// sends prompts to replicas that have to recompute prefix blocks which others hold.
	backlogThreshold = 200
	// retryDelay is the pause after a failed call.
	retryDelay = 400 * time.Millisecond
	// minListInterval is the minimum time between two lists from one holder, because answering
	// one stalls its work.
	minListInterval = 3 * time.Second
	// behindThreshold is the time since the last answer after which as many events may be
	// waiting as for a host that starts: after a network partition or a suspension of the host,
	// all holders are read again at the same time.
	behindThreshold = 2 * eventsPollTimeout
	// confirmTimeout is how long after its prefill a cache event must confirm a prefix block.
	confirmTimeout = 1500 * time.Millisecond
)

// Engine calls holders of KV cache. platform.Engines implements it.
type Engine interface {
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (platform.CacheEvents, error)
	CacheList(ctx context.Context, address string) (platform.CacheList, error)
}

// Holder is a replica or store whose cache events are followed.
type Holder struct {
	// Name is its name in the index: a replica's ID, or a store's address.
	Name    string
	Address string
	// Started distinguishes the incarnations of a holder: what was read from an earlier one is
	// not valid for the next. It is 0 if the holder does not report it.
	Started int64
	// Capacity is the size of its KV cache in tokens.
	Capacity int
	// Store is set for KV cache stores.
	Store bool
}

// Follower polls one holder's cache events and applies them to the index.
type Follower struct {
	Engine Engine
	Index  *prefix.Index
	Holder Holder
	Log    *logrus.Logger
	// Budget limits this host's bulk reads.
	Budget *bandwidth.Budget
	// PollInterval returns the pause between two calls to a holder.
	PollInterval func() time.Duration
	// Backoff returns for how much longer the holder has asked this host not to call it. It may
	// be nil.
	Backoff func() time.Duration
	// NoLists turns off lists: after lost events, the index's records of the holder are cleared.
	NoLists bool
	// OnResult is called after each call for events, with nil if the holder answered.
	OnResult func(err error)

	// epoch is the incarnation of the holder that next belongs to; next is the position of the
	// first event that has not been read.
	epoch int64
	next  int64
	// lastList is when the holder was last listed.
	lastList time.Time
	// hasMore is set while events are assumed to be waiting beyond the last answer, which came at
	// lastAnswer.
	hasMore    bool
	lastAnswer time.Time
}

// Run polls the holder until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, f.poll(ctx))
	}
}

// poll makes one call for events and returns how long to wait before the next.
func (f *Follower) poll(ctx context.Context) time.Duration {
	end := f.acquireBudget(ctx)
	// The holder may have asked for a backoff while the call waited for the budget.
	if backoff := f.backoff(); backoff > 0 {
		end()
		return backoff
	}
	events, err := f.Engine.CacheEvents(ctx, f.Holder.Address, f.next, eventsPollTimeout)
	f.Budget.Spend(events.Bytes)
	end()
	if ctx.Err() != nil {
		return 0
	}
	f.OnResult(err)
	if err != nil {
		return retryDelay
	}
	f.lastAnswer = clock.Now()
	f.hasMore = len(events.Events) >= backlogThreshold
	if f.epoch != 0 && events.Epoch != f.epoch {
		f.logger().Info("holder of KV cache restarted; what it held is forgotten")
		f.Index.Clear(f.Holder.Name)
		f.epoch, f.next, f.hasMore = events.Epoch, 0, true
		return 0
	}
	f.epoch = events.Epoch
	if events.Lost && !f.NoLists && f.listHeld(ctx) {
		return 0
	}
	if events.Lost {
		// The lost events may include removals, so that only blocks in later events count as
		// held.
		f.logger().Info("cache events were lost; what was held is forgotten")
		f.Index.Clear(f.Holder.Name)
	}
	for _, ev := range events.Events {
		f.record(ev.HeldBlock)
	}
	f.next = events.Next
	if f.hasMore {
		return 0
	}
	if !f.Holder.Store {
		f.Index.RemoveUnconfirmed(f.Holder.Name, clock.Now().Add(-confirmTimeout))
	}
	return f.PollInterval()
}

// acquireBudget waits until the budget has room for a call. The returned function must be called
// when the call has ended. A call that may return many events counts as a bulk read.
func (f *Follower) acquireBudget(ctx context.Context) (end func()) {
	if f.hasMore || clock.Now().Sub(f.lastAnswer) > behindThreshold {
		return f.Budget.Begin(ctx)
	}
	f.Budget.Wait(ctx)
	return func() {}
}

// backoff returns for how much longer the holder is not to be called.
func (f *Follower) backoff() time.Duration {
	if f.Backoff == nil {
		return 0
	}
	return f.Backoff()
}

// listHeld replaces the index's records of the holder by a full list. It returns false if the last
// list was too recent or the call failed. It returns true after a list, from which the next poll
// continues, and also if the holder asked for a backoff, after which the next poll tries again.
func (f *Follower) listHeld(ctx context.Context) bool {
	now := clock.Now()
	if !f.lastList.IsZero() && now.Sub(f.lastList) < minListInterval {
		return false
	}
	defer f.Budget.Begin(ctx)()
	if f.backoff() > 0 {
		// After the backoff, the next answer reports the lost events again.
		return true
	}
	f.lastList = now
	list, err := f.Engine.CacheList(ctx, f.Holder.Address)
	f.Budget.Spend(list.Bytes)
	if err != nil {
		f.logger().WithError(err).Info("what a holder of KV cache holds was not listed")
		return false
	}
	f.Index.Clear(f.Holder.Name)
	for _, held := range list.Held {
		f.record(held)
	}
	f.epoch, f.next = list.Epoch, list.Next
	f.logger().WithFields(logrus.Fields{"parts": len(list.Held), "next": list.Next}).Info("cache events were lost; what is held was listed")
	return true
}

// record records in the index how much of a prefix block the holder holds.
func (f *Follower) record(held platform.HeldBlock) {
	f.Index.Stored(f.Holder.Name, prefix.HashOf(held.Salt, held.Block), held.Tokens, f.Holder.Capacity, clock.Now())
}

func (f *Follower) logger() *logrus.Entry { return f.Log.WithField("holder", f.Holder.Name) }
