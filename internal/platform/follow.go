package platform

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	followWait    = time.Second
	followBackoff = 200 * time.Millisecond
)

// Follower reads one stream to its end, for ever, and hands each page on in
// offset order. It does not skip records itself: a page whose First lies beyond
// the position asked for tells the handler that the log forgot records.
type Follower struct {
	log    Log
	stream string
	// position returns the next offset wanted.
	position func() uint64
	handle   func(Page)
	touched  atomic.Int64
}

// NewFollower returns a follower of stream that asks position where to read and
// gives every page to handle. Both are called from the goroutine of Run only.
func NewFollower(log Log, stream string, position func() uint64, handle func(Page)) *Follower {
	return &Follower{log: log, stream: stream, position: position, handle: handle}
}

// Run follows the stream until ctx ends. The first read does not wait, so that a
// host that starts before an empty stream knows so at once.
func (f *Follower) Run(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if err := f.Step(ctx, wait); err != nil {
			sleep(ctx, followBackoff)
			continue
		}
		wait = followWait
	}
}

// Step reads one page, waiting at most wait for its first record.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	page, err := f.log.Read(ctx, f.stream, f.position(), wait)
	if err != nil {
		return err
	}
	f.touched.Store(time.Now().UnixNano())
	f.handle(page)
	return nil
}

// Touched returns when the stream was last read, or the zero time.
func (f *Follower) Touched() time.Time {
	ns := f.touched.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
