// Package cachesync keeps the prefix index in step with what the holders of KV
// cache, replicas and stores, say of themselves: it reads their cache events, and
// lists what they hold where events are missing.
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
	// eventsWait is how long a call for cache events waits; calls under 200 ms are
	// dear.
	eventsWait = 900 * time.Millisecond
	// backlog is the number of events in one answer from which more are thought to
	// wait: a busy replica makes some fifty a second, and answers hold up to five
	// hundred. A host that starts then reads a replica's history in some twenty
	// milliseconds in place of half a second, in which it would send prompts where
	// they have to be read again.
	backlog = 200
	// retryPause follows a failed call.
	retryPause = 400 * time.Millisecond
	// listPause is the shortest time between two lists of one holder: a list stalls
	// its work.
	listPause = 3 * time.Second
	// behindAfter is the time since the last answer after which as much may wait as for a host
	// that starts: after a cut or a suspension all holders are read anew at once.
	behindAfter = 2 * eventsWait
	// confirmWithin is how long after its reading an event must tell of a part.
	confirmWithin = 1500 * time.Millisecond
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
	// Started tells the starts of one name apart; what was read of an earlier one
	// does not count. 0 where the holder does not say.
	Started int64
	// Capacity is its memory in tokens.
	Capacity int
	// Store is set for stores of kept KV cache.
	Store bool
}

// Follower follows one holder.
type Follower struct {
	Engine Engine
	Index  *prefix.Index
	Holder Holder
	Log    *logrus.Logger
	// Budget is what this host may read in bulk.
	Budget *bandwidth.Budget
	// Gap returns the pause between two calls at a busy holder.
	Gap func() time.Duration
	// Backoff returns for how long the holder wants no calls from this host; it may be nil.
	Backoff func() time.Duration
	// NoLists keeps the follower from listing what the holder holds.
	NoLists bool
	// Up is told whether the holder answers, after each call.
	Up func(err error)

	// epoch is the holder's start that next belongs to; next is the position from
	// which events are still to be read.
	epoch  int64
	next   int64
	listed time.Time
	// more is set while more events wait than one answer holds; answered is when the last
	// answer came.
	more     bool
	answered time.Time
}

// Run follows the holder until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, f.step(ctx))
	}
}

// step reads once and returns how long to wait before the next read.
func (f *Follower) step(ctx context.Context) time.Duration {
	end := f.admit(ctx)
	// The holder may have asked for a pause while the call waited for the link.
	if backoff := f.backoff(); backoff > 0 {
		end()
		return backoff
	}
	events, err := f.Engine.CacheEvents(ctx, f.Holder.Address, f.next, eventsWait)
	f.Budget.Spend(events.Bytes)
	end()
	if ctx.Err() != nil {
		return 0
	}
	f.Up(err)
	if err != nil {
		return retryPause
	}
	f.answered = clock.Now()
	f.more = len(events.Events) >= backlog
	if f.epoch != 0 && events.Epoch != f.epoch {
		f.line().Info("holder of KV cache restarted; what it held is forgotten")
		f.Index.Clear(f.Holder.Name)
		f.epoch, f.next, f.more = events.Epoch, 0, true
		return 0
	}
	f.epoch = events.Epoch
	if events.Lost && !f.NoLists && f.list(ctx) {
		return 0
	}
	if events.Lost {
		// Removals may be among what is missing: only what is told again counts.
		f.line().Info("cache events were lost; what was held is forgotten")
		f.Index.Clear(f.Holder.Name)
	}
	for _, ev := range events.Events {
		f.take(ev.HeldPart)
	}
	f.next = events.Next
	if f.more {
		return 0
	}
	if !f.Holder.Store {
		f.Index.Unconfirmed(f.Holder.Name, clock.Now().Add(-confirmWithin))
	}
	return f.Gap()
}

// admit waits until the link has room for a call, and returns what to call at its end.
func (f *Follower) admit(ctx context.Context) (end func()) {
	if f.more || clock.Now().Sub(f.answered) > behindAfter {
		return f.Budget.Begin(ctx)
	}
	f.Budget.Wait(ctx)
	return func() {}
}

func (f *Follower) backoff() time.Duration {
	if f.Backoff == nil {
		return 0
	}
	return f.Backoff()
}

// list takes everything that the holder holds. It reports whether the next step goes on from
// there, or is to try again.
func (f *Follower) list(ctx context.Context) bool {
	now := clock.Now()
	if !f.listed.IsZero() && now.Sub(f.listed) < listPause {
		return false
	}
	defer f.Budget.Begin(ctx)()
	if f.backoff() > 0 {
		// After the pause the same events tell of the gap again.
		return true
	}
	f.listed = now
	list, err := f.Engine.CacheList(ctx, f.Holder.Address)
	f.Budget.Spend(list.Bytes)
	if err != nil {
		f.line().WithError(err).Info("what a holder of KV cache holds was not listed")
		return false
	}
	f.Index.Clear(f.Holder.Name)
	for _, held := range list.Held {
		f.take(held)
	}
	f.epoch, f.next = list.Epoch, list.Next
	f.line().WithFields(logrus.Fields{"parts": len(list.Held), "next": list.Next}).Info("cache events were lost; what is held was listed")
	return true
}

func (f *Follower) take(held platform.HeldPart) {
	f.Index.Stored(f.Holder.Name, prefix.HashOf(held.Salt, held.Part), held.Tokens, f.Holder.Capacity, clock.Now())
}

func (f *Follower) line() *logrus.Entry { return f.Log.WithField("holder", f.Holder.Name) }
