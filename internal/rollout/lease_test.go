package rollout

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

const testTTL = 3 * time.Second

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

var errLost = errors.New("no answer")

// fakeLog is the lease's topic, with faults for each host.
type fakeLog struct {
	mu      sync.Mutex
	records []platform.Record
	changed chan struct{}
	// conflicts counts refused appends.
	conflicts int
}

func newFakeLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

func (f *fakeLog) add(rec platform.Record, at int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at >= 0 && at != int64(len(f.records)) {
		f.conflicts++
		return 0, platform.ErrConflict
	}
	rec.Offset = int64(len(f.records))
	f.records = append(f.records, rec)
	close(f.changed)
	f.changed = make(chan struct{})
	return rec.Offset, nil
}

func (f *fakeLog) refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conflicts
}

// view is one host's way to the log.
type view struct {
	log *fakeLog

	mu sync.Mutex
	faults
}

type faults struct {
	// down refuses every call; lossy loses answers of appends; late carries an
	// append out after a delay; swallows lets reads that wait go without an answer.
	down     bool
	lossy    bool
	late     time.Duration
	swallows bool
}

func (v *view) set(f faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

func (v *view) now() faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults
}

func (v *view) Read(ctx context.Context, _ string, from int64, wait time.Duration) (platform.Page, error) {
	deadline := time.After(wait)
	for {
		if v.now().down {
			return platform.Page{}, errLost
		}
		v.log.mu.Lock()
		changed := v.log.changed
		end := int64(len(v.log.records))
		var records []platform.Record
		if from < end {
			records = append(records, v.log.records[from:]...)
		}
		v.log.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			return platform.Page{Records: records, End: end}, nil
		}
		select {
		case <-changed:
			if v.now().swallows {
				return v.swallow(ctx, deadline)
			}
		case <-deadline:
			wait = 0
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}
}

// swallow ends a read whose answer is lost when its caller gives it up.
func (v *view) swallow(ctx context.Context, deadline <-chan time.Time) (platform.Page, error) {
	select {
	case <-deadline:
		return platform.Page{}, errLost
	case <-ctx.Done():
		return platform.Page{}, ctx.Err()
	}
}

func (v *view) Append(_ context.Context, _ string, rec platform.Record, at int64) (int64, error) {
	time.Sleep(5 * time.Millisecond)
	f := v.now()
	switch {
	case f.down:
		return 0, errLost
	case f.late > 0:
		late := f.late
		go func() {
			time.Sleep(late)
			_, _ = v.log.add(rec, at)
		}()
		return 0, errLost
	case f.lossy:
		_, _ = v.log.add(rec, at)
		return 0, errLost
	default:
		return v.log.add(rec, at)
	}
}

// TestOneHostGivesOrders lets hosts want the lease at any time while calls fail,
// answers are lost and appends take effect late. Orders of two hosts never lie
// closer together than the successor's wait, and fencing tokens only grow.
func TestOneHostGivesOrders(t *testing.T) {
	const hosts = 3
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			host  int
			fault string
			run   time.Duration
		}
		n := rapid.IntRange(1, 12).Draw(rt, "steps")
		var steps []step
		for i := range n {
			steps = append(steps, step{
				host:  rapid.IntRange(0, hosts-1).Draw(rt, fmt.Sprint("host", i)),
				fault: rapid.SampledFrom([]string{"none", "down", "lossy", "late", "frozen"}).Draw(rt, fmt.Sprint("fault", i)),
				run:   time.Duration(rapid.IntRange(50, 5000).Draw(rt, fmt.Sprint("ms", i))) * time.Millisecond,
			})
		}
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			log := newFakeLog()
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			var leases [hosts]*Lease
			var views [hosts]*view
			var frozen [hosts]atomic.Bool
			var lastOrder time.Time
			lastHost, lastFencing := -1, int64(0)
			var mu sync.Mutex
			for i := range hosts {
				views[i] = &view{log: log}
				leases[i] = NewLease(views[i], quietLog(), fmt.Sprint("host-", i), uint64(i+1), testTTL)
				wg.Go(func() { leases[i].Follow(ctx) })
				wg.Go(func() {
					for ctx.Err() == nil {
						if !frozen[i].Load() && leases[i].Try(ctx) && leases[i].Valid() {
							mu.Lock()
							now := time.Now()
							fencing := leases[i].Fencing()
							if lastHost >= 0 && lastHost != i && now.Sub(lastOrder) < testTTL/2 {
								wrong = fmt.Sprintf("orders of hosts %d and %d %v apart", lastHost, i, now.Sub(lastOrder))
							}
							if fencing < lastFencing {
								wrong = fmt.Sprintf("fencing token %d after %d", fencing, lastFencing)
							}
							lastHost, lastOrder, lastFencing = i, now, fencing
							mu.Unlock()
						}
						time.Sleep(40 * time.Millisecond)
					}
				})
			}
			for _, s := range steps {
				f := faults{down: s.fault == "down", lossy: s.fault == "lossy"}
				if s.fault == "late" {
					f.late = 2 * time.Second
				}
				views[s.host].set(f)
				frozen[s.host].Store(s.fault == "frozen")
				time.Sleep(s.run)
			}
			cancel()
			wg.Wait()
			time.Sleep(5 * time.Second)
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// TestLeaseIsTakenOver within the time that new weights leave.
func TestLeaseIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		first := NewLease(&view{log: log}, quietLog(), "a", 1, testTTL)
		second := NewLease(&view{log: log}, quietLog(), "b", 2, testTTL)
		wg.Go(func() { first.Follow(ctx) })
		wg.Go(func() { second.Follow(ctx) })
		synctest.Wait()
		if !first.Try(ctx) {
			t.Fatal("a free lease was not granted")
		}
		synctest.Wait()
		if second.Try(ctx) {
			t.Fatal("a held lease was granted again")
		}
		began := time.Now()
		for !second.Try(ctx) {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(began); took < testTTL || took > testTTL+time.Second {
			t.Errorf("taken over after %v", took)
		}
		if first.Valid() || second.Fencing() <= first.Fencing() {
			t.Errorf("first valid: %v; fencing tokens %d and %d", first.Valid(), first.Fencing(), second.Fencing())
		}
		cancel()
		wg.Wait()
	})
}

// TestHoldersWordSparesReads, and its silence ends that.
func TestHoldersWordSparesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		holder := NewLease(&view{log: log}, quietLog(), "a", 1, testTTL)
		other := NewLease(&view{log: log}, quietLog(), "b", 2, testTTL)
		wg.Go(func() { holder.Follow(ctx) })
		wg.Go(func() { other.Follow(ctx) })
		synctest.Wait()
		for range 100 {
			holder.Try(ctx)
			other.Heard("a", holder.HeldEnd())
			if other.Try(ctx) {
				t.Fatal("taken over from a holder that renews")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if name, _, here := other.Holder(); name != "a" || here {
			t.Errorf("the other host thinks that %q holds it", name)
		}
		began := time.Now()
		for !other.Try(ctx) {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(began); took > testTTL+2*time.Second {
			t.Errorf("taken over after %v", took)
		}
		cancel()
		wg.Wait()
	})
}

// TestSwallowedReadDoesNotHideTheLeasesLog: the store swallowed a read that waits, and the
// holder renewed the lease and died before it told of that. The next host then tries to
// take the lease where the log no longer ends; it must not wait for the read to time out
// before it looks again.
func TestSwallowedReadDoesNotHideTheLeasesLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		way := &view{log: log}
		holder := NewLease(&view{log: log}, quietLog(), "a", 1, testTTL)
		other := NewLease(way, quietLog(), "b", 2, testTTL)
		wg.Go(func() { holder.Follow(ctx) })
		wg.Go(func() { other.Follow(ctx) })
		synctest.Wait()
		holder.Try(ctx)
		synctest.Wait()
		way.set(faults{swallows: true})
		time.Sleep(time.Second)
		holder.Try(ctx)
		synctest.Wait()
		way.set(faults{})
		began := time.Now()
		for !other.Try(ctx) && time.Since(began) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(began); took > 3*testTTL {
			t.Errorf("taken over after %v", took)
		}
		cancel()
		wg.Wait()
	})
}
