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

// Reader is what a follower needs of the store.
type Reader interface {
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

const (
	// firstBackoff and maxBackoff bound the pause after a failed call. The longest
	// keeps the view less than a second behind once the store is back.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// freshCheck is how often a skipped read is thought over; a random part keeps
	// hosts from reading in step.
	freshCheck = 40 * time.Millisecond
	// lostCheck is how often a host that has lost the store reads by itself while other
	// hosts' word would spare it that: nothing else tells it that the store is back. Turned
	// away alone, it costs the store a call in this time.
	lostCheck = 2 * time.Second
)

// Follower keeps a table up to date from the store.
type Follower struct {
	Store  Reader
	Table  *Table
	Access *Access
	// Wait is how long a read waits for a record at the store; 0 polls.
	Wait time.Duration
	// WaitNow is Wait for the next read; it may be nil.
	WaitNow func() time.Duration
	// Gap is the pause between two reads: it bounds the calls that a busy topic
	// costs, and adds to the age of what is known.
	Gap time.Duration
	// Fresh reports whether other hosts' word makes a read needless now; it may be
	// nil. A host that skips reads learns from those that do not.
	Fresh func() bool
	// Hold reports whether the first read should wait: other hosts may tell. It may be
	// nil.
	Hold func() bool
	// OnRead is called after each read; it may be nil.
	OnRead func()
	Log    *logrus.Logger
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := firstBackoff
	for f.Hold != nil && f.Hold() && !f.Table.Synced() && ctx.Err() == nil {
		clock.Sleep(ctx, freshCheck)
	}
	synced := f.Table.Synced()
	var last time.Time
	for ctx.Err() == nil {
		if synced && f.spared(last) {
			clock.Sleep(ctx, freshCheck+rand.N(freshCheck))
			continue
		}
		var err error
		synced, err = f.step(ctx, synced)
		last = clock.Now()
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

// spared reports whether other hosts' word makes a read needless now. A host that has lost
// the store reads all the same after lostCheck.
func (f *Follower) spared(last time.Time) bool {
	if f.Fresh == nil || !f.Fresh() {
		return false
	}
	return !f.Access.Lost() || clock.Since(last) < lostCheck
}

// jitter returns a pause between half of backoff and all of it: hosts that lost
// the store together do not come back in step, and none waits longer than backoff.
func jitter(backoff time.Duration) time.Duration {
	return backoff - rand.N(backoff/2)
}

// step reads once and returns whether reads may go on from the table's end.
func (f *Follower) step(ctx context.Context, synced bool) (bool, error) {
	if !synced {
		return f.snapshot(ctx)
	}
	from := f.Table.End()
	page, err := f.read(ctx, from)
	if errors.Is(err, errRegained) {
		return true, nil
	}
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		f.Access.Succeeded(clock.Now())
		f.Log.WithFields(logrus.Fields{"topic": f.Table.Name(), "offset": f.Table.End()}).
			Info("records were trimmed before they were read; reading the newest of each key")
		return false, nil
	}
	if err != nil {
		f.failed(ctx, err)
		return true, err
	}
	f.noteUnreadable(page)
	f.Access.Succeeded(clock.Now())
	f.Table.Read(clock.Now())
	f.Table.Merge(page.Records, from+int64(len(page.Records)+page.Unreadable), f.Access.Stable(clock.Now()))
	f.tell()
	return true, nil
}

func (f *Follower) wait() time.Duration {
	if f.WaitNow != nil {
		return f.WaitNow()
	}
	return f.Wait
}

// errRegained ends a waiting read when the store is back after an outage: the
// read may hang on a connection that the outage has silenced.
var errRegained = errors.New("the store is back")

// read reads once; a read that waits is given up when the store is regained.
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
	page, err := f.Store.Read(ctx, f.Table.Name(), from, f.wait())
	if err != nil && errors.Is(context.Cause(ctx), errRegained) {
		return platform.Page{}, errRegained
	}
	return page, err
}

func (f *Follower) snapshot(ctx context.Context) (bool, error) {
	page, err := f.Store.Newest(ctx, f.Table.Name())
	if err != nil {
		f.failed(ctx, err)
		return false, err
	}
	f.noteUnreadable(page)
	f.Access.Succeeded(clock.Now())
	if !f.Table.Snapshot(page, f.Access.Stable(clock.Now())) {
		return false, errors.New("the store's view is older than this host's")
	}
	f.Table.Read(clock.Now())
	f.tell()
	return true, nil
}

// noteUnreadable says that a page left records out. Each is read once, and again
// after trimmed history, so that such writes bound the lines.
func (f *Follower) noteUnreadable(page platform.Page) {
	if page.Unreadable > 0 {
		f.Log.WithFields(logrus.Fields{"topic": f.Table.Name(), "records": page.Unreadable}).Warn("records that cannot be read were left out")
	}
}

func (f *Follower) tell() {
	if f.OnRead != nil {
		f.OnRead()
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Access.Failed(clock.Now(), err)
}

// Access is whether this host reaches the store. It is safe for concurrent use.
type Access struct {
	// grace is how long after an outage removals may still be its trace.
	grace time.Duration
	log   *logrus.Logger

	mu sync.Mutex
	// lost is when the present outage began, or zero.
	lost time.Time
	// regained is when the last outage ended.
	regained time.Time
	// success is when the store last answered.
	success Freshness
	// back is closed and replaced when an outage ends.
	back chan struct{}
}

// NewAccess returns access that counts as good until a call fails.
func NewAccess(grace time.Duration, log *logrus.Logger) *Access {
	return &Access{grace: grace, log: log, back: make(chan struct{})}
}

// Regained returns a channel that is closed when the next outage ends.
func (a *Access) Regained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.back
}

// Succeeded records a call that the store answered.
func (a *Access) Succeeded(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.success.Note(now)
	if a.lost.IsZero() {
		return
	}
	a.log.WithField("outage_ms", now.Sub(a.lost).Milliseconds()).Info("store regained")
	a.lost = time.Time{}
	a.regained = now
	close(a.back)
	a.back = make(chan struct{})
}

// Failed records a call that the store refused or did not answer.
func (a *Access) Failed(now time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost.IsZero() {
		a.lost = now
		a.log.WithError(err).Warn("store lost")
	}
}

// Lost reports whether the store has not answered since a call to it failed.
func (a *Access) Lost() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lost.IsZero()
}

// Stable reports whether the store is reached and was for the grace time.
func (a *Access) Stable(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lost.IsZero() && (a.regained.IsZero() || now.Sub(a.regained) > a.grace)
}

// Age returns the time since the store last answered.
func (a *Access) Age(now time.Time) time.Duration { return a.success.Age(now) }
