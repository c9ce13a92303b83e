package topic

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/platform"
)

// Reader is the part of the store that a Follower uses.
type Reader interface {
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

const (
	// firstBackoff and maxBackoff limit the pause after a failed call. With maxBackoff, a host is
	// less than a second behind once the store has recovered.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// skipCheckInterval is how often a host that skips reads checks whether it still may. A random
	// addition keeps hosts from reading at the same time.
	skipCheckInterval = 40 * time.Millisecond
	// lostReadInterval is how often a host that has lost the store reads although reports of other
	// hosts would let it skip the read, because it cannot learn otherwise that the store has
	// recovered. If the store refuses only this host, it costs the store one call per interval.
	lostReadInterval = 2 * time.Second
)

// Follower keeps a table up to date from the store.
type Follower struct {
	Store  Reader
	Table  *Table
	Access *Access
	// Wait is how long a read waits at the store for a record. With 0 the follower polls.
	Wait time.Duration
	// NextWait, if set, replaces Wait: it returns the wait for the next read.
	NextWait func() time.Duration
	// Gap is the pause between two reads. It limits the number of calls for a busy topic, and
	// delays records by as much.
	Gap time.Duration
	// SkipRead, if set, reports whether the next read is unnecessary because other hosts read the
	// topic. A host that skips reads receives the records from those that do not.
	SkipRead func() bool
	// DelayFirstRead, if set, reports whether to delay the first read because other hosts may send
	// the records.
	DelayFirstRead func() bool
	// StoreEra, if set, returns the highest era that the store stated in any answer.
	StoreEra func() int64
	// OnRead, if set, is called after each read.
	OnRead func()
	Log    *logrus.Logger
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := firstBackoff
	for f.DelayFirstRead != nil && f.DelayFirstRead() && !f.Table.Synced() && ctx.Err() == nil {
		clock.Sleep(ctx, skipCheckInterval)
	}
	synced := f.Table.Synced()
	var lastRead time.Time
	for ctx.Err() == nil {
		if synced && f.skipsRead(lastRead) {
			clock.Sleep(ctx, skipCheckInterval+rand.N(skipCheckInterval))
			continue
		}
		var err error
		synced, err = f.step(ctx, synced)
		lastRead = clock.Now()
		pause := f.Gap
		if err != nil {
			pause = jitter(backoff)
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = firstBackoff
		}
		clock.Sleep(ctx, pause)
	}
}

// skipsRead reports whether reports of other hosts make a read unnecessary. A host that has lost
// the store still reads every lostReadInterval.
func (f *Follower) skipsRead(lastRead time.Time) bool {
	if f.SkipRead == nil || !f.SkipRead() {
		return false
	}
	return !f.Access.Lost() || clock.Since(lastRead) < lostReadInterval
}

// jitter returns a random pause between half of backoff and all of it, so that hosts that lost the
// store together do not retry at the same time and none waits longer than backoff.
func jitter(backoff time.Duration) time.Duration {
	return backoff - rand.N(backoff/2)
}

// step reads once and returns whether the next read may continue from the end of the table.
func (f *Follower) step(ctx context.Context, synced bool) (bool, error) {
	if !synced || f.StoreEra != nil && f.StoreEra() > f.Table.Position().Era {
		// In a later era, a read could wait at an offset that the store has assigned again.
		return f.snapshot(ctx)
	}
	from := f.Table.Position()
	page, err := f.read(ctx, from.Offset)
	if errors.Is(err, errRegained) {
		return true, nil
	}
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		f.Access.Succeeded(clock.Now())
		f.Log.WithFields(logrus.Fields{"topic": f.Table.Name(), "offset": f.Table.End(), "first": trimmed.First, "era": trimmed.Era}).
			Info("records were trimmed before they were read; reading the newest of each key")
		return false, nil
	}
	if err != nil {
		f.recordFailure(ctx, err)
		return true, err
	}
	f.Access.Succeeded(clock.Now())
	if page.Era != from.Era {
		// In a later era, the offsets before from were assigned again. An answer of an earlier era
		// arrives late.
		return page.Era < from.Era, nil
	}
	if f.Table.Position().Era != from.Era {
		// Records of another host have begun a later era, which this read does not cover.
		return true, nil
	}
	f.noteUnreadable(page)
	f.Table.NoteRead(clock.Now())
	end := Position{from.Era, from.Offset + int64(len(page.Records)+page.Unreadable)}
	f.Table.Merge(page.Records, end, f.Access.Stable(clock.Now()))
	f.notifyRead()
	return true, nil
}

func (f *Follower) readWait() time.Duration {
	if f.NextWait != nil {
		return f.NextWait()
	}
	return f.Wait
}

// errRegained ends a waiting read when the store has recovered from an outage, because the read may
// hang on a connection that the outage broke without closing it.
var errRegained = errors.New("the store has recovered")

// read reads once. A waiting read is cancelled when the store is regained.
func (f *Follower) read(ctx context.Context, from int64) (platform.Page, error) {
	if f.Wait == 0 {
		return f.Store.Read(ctx, f.Table.Name(), from, 0)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	regained := f.Access.Regained()
	go func() {
		select {
		case <-regained:
			cancel(errRegained)
		case <-ctx.Done():
		}
	}()
	page, err := f.Store.Read(ctx, f.Table.Name(), from, f.readWait())
	if err != nil && errors.Is(context.Cause(ctx), errRegained) {
		return platform.Page{}, errRegained
	}
	return page, err
}

func (f *Follower) snapshot(ctx context.Context) (bool, error) {
	page, err := f.Store.Newest(ctx, f.Table.Name())
	if err != nil {
		f.recordFailure(ctx, err)
		return false, err
	}
	f.noteUnreadable(page)
	f.Access.Succeeded(clock.Now())
	if !f.Table.Snapshot(page, f.Access.Stable(clock.Now())) {
		f.Log.WithFields(logrus.Fields{"topic": f.Table.Name(), "offset": f.Table.End(), "end": page.End, "era": page.Era}).
			Debug("listing that ends before the records already applied ignored")
		return false, errors.New("the snapshot is older than the records already applied")
	}
	f.Table.NoteRead(clock.Now())
	f.notifyRead()
	return true, nil
}

// noteUnreadable logs that records of a page were skipped. Each record is read once, and once more
// after the topic was trimmed, so the number of such writes limits the number of log lines.
func (f *Follower) noteUnreadable(page platform.Page) {
	if page.Unreadable > 0 {
		f.Log.WithFields(logrus.Fields{"topic": f.Table.Name(), "records": page.Unreadable}).Warn("records that cannot be read were left out")
	}
}

func (f *Follower) notifyRead() {
	if f.OnRead != nil {
		f.OnRead()
	}
}

func (f *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Access.Failed(clock.Now(), err)
}

// Access tracks whether this host can reach the store. It is safe for concurrent use.
type Access struct {
	// grace is how long after an outage a removal may still be a consequence of it.
	grace time.Duration
	log   *logrus.Logger

	mu sync.Mutex
	// lostSince is when the current outage began, or zero.
	lostSince time.Time
	// regainedAt is when the last outage ended, or when the store was last restored from a copy.
	regainedAt time.Time
	// lastSuccess is when the store last answered.
	lastSuccess Freshness
	// recovered is closed and replaced when an outage ends or the store was restored.
	recovered chan struct{}
}

// NewAccess returns an Access that assumes the store to be reachable until a call fails.
func NewAccess(grace time.Duration, log *logrus.Logger) *Access {
	return &Access{grace: grace, log: log, recovered: make(chan struct{})}
}

// Regained returns a channel that is closed when the next outage ends or the store was restored.
func (a *Access) Regained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recovered
}

// Succeeded records a call that the store answered.
func (a *Access) Succeeded(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSuccess.Note(now)
	if a.lostSince.IsZero() {
		return
	}
	a.log.WithField("outage_ms", now.Sub(a.lostSince).Milliseconds()).Info("store regained")
	a.lostSince = time.Time{}
	a.regainedAt = now
	close(a.recovered)
	a.recovered = make(chan struct{})
}

// Failed records a call that the store refused or did not answer.
func (a *Access) Failed(now time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lostSince.IsZero() {
		a.lostSince = now
		a.log.WithError(err).Warn("store lost")
	}
}

// Lost reports whether the store has not answered since a call to it failed.
func (a *Access) Lost() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lostSince.IsZero()
}

// Restored records that the store was restored from a copy: until the grace period is over, records
// may be missing that are about to be written again. Pending reads are cancelled, as they wait at an
// offset of the era before.
func (a *Access) Restored(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.regainedAt = now
	close(a.recovered)
	a.recovered = make(chan struct{})
}

// Stable reports whether the store is reachable and has been for the grace period.
func (a *Access) Stable(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lostSince.IsZero() && (a.regainedAt.IsZero() || now.Sub(a.regainedAt) > a.grace)
}

// Age returns the time since the store last answered.
func (a *Access) Age(now time.Time) time.Duration { return a.lastSuccess.Age(now) }
