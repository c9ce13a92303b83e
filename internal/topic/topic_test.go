package topic

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// history is the truth: every record of a topic.
type history []platform.Record

// newest returns the newest record of each key before an offset, removals left
// out unless asked for.
func (h history) newest(end int, removals bool) []platform.Record {
	last := map[string]platform.Record{}
	for _, rec := range h[:end] {
		last[rec.Key] = rec
	}
	var out []platform.Record
	for _, rec := range last {
		if removals || !rec.Removed {
			out = append(out, rec)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Offset < out[j].Offset })
	return out
}

// TestViewNeverGoesBack merges reads, stale reads, snapshots of any age and other
// hosts' records in any order. What is told of a key only moves on, and in the
// end equals the truth.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var truth history
		told := map[string]platform.Record{}
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) {
			if old, ok := told[rec.Key]; ok && rec.Offset <= old.Offset {
				t.Fatalf("key %s went from offset %d to %d", rec.Key, old.Offset, rec.Offset)
			}
			told[rec.Key] = rec
		})
		read := func() {
			from := int(table.End())
			to := rapid.IntRange(from, len(truth)).Draw(t, "to")
			table.Merge(truth[from:to], int64(to), true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
				removed := rapid.Bool().Draw(t, "removed")
				truth = append(truth, platform.Record{Key: key, Offset: int64(len(truth)), Removed: removed, Value: []byte{1}})
			},
			"read": func(*rapid.T) { read() },
			"snapshot of any age": func(t *rapid.T) {
				end := rapid.IntRange(0, len(truth)).Draw(t, "age")
				before := table.End()
				took := table.Snapshot(platform.Page{Records: truth.newest(end, false), End: int64(end)}, true)
				if took != (int64(end) >= before) {
					t.Fatalf("snapshot up to %d taken: %v, applied up to %d", end, took, before)
				}
			},
			"records of another host": func(t *rapid.T) {
				end := rapid.IntRange(0, len(truth)).Draw(t, "its end")
				other := NewTable("keyed.x", func(platform.Record, Origin) {})
				other.Merge(truth[:end], int64(end), true)
				records, otherEnd := other.From(table.End())
				table.MergeAll(records, otherEnd, true)
			},
		})
		table.Merge(truth[table.End():], int64(len(truth)), true)
		for _, want := range truth.newest(len(truth), true) {
			got, ok := told[want.Key]
			// A removal that only a snapshot showed has the snapshot's offset.
			if !ok && !want.Removed || ok && got.Removed != want.Removed || ok && !want.Removed && got.Offset != want.Offset {
				t.Fatalf("key %s: told %+v, want %+v", want.Key, got, want)
			}
		}
	})
}

// TestSyncedOnceAllIsTold: a host is ready once its topics are synced. Were it so
// before each record is told, it would refuse requests for want of servers that it
// has read; of two merges at once, the later must not end the wait for the first.
func TestSyncedOnceAllIsTold(t *testing.T) {
	records := []platform.Record{put("a", 0), put("b", 1)}
	for name, take := range map[string]func(*Table){
		"read":            func(table *Table) { table.Snapshot(platform.Page{Records: records, End: 2}, true) },
		"by another host": func(table *Table) { table.MergeAll(records, 2, true) },
	} {
		telling, goOn := make(chan struct{}), make(chan struct{})
		table := NewTable("keyed.x", func(platform.Record, Origin) {
			telling <- struct{}{}
			<-goOn
		})
		var wg sync.WaitGroup
		wg.Go(func() { take(table) })
		for range records {
			<-telling
			table.MergeAll(records, 2, true)
			table.Merge(nil, 2, true)
			if table.Synced() {
				t.Errorf("%s: synced while records are told", name)
			}
			goOn <- struct{}{}
		}
		wg.Wait()
		if !table.Synced() {
			t.Errorf("%s: not synced once all are told", name)
		}
	}
}

// fakeReader plays a topic whose calls fail while down.
type fakeReader struct {
	mu    sync.Mutex
	truth history
	first int64
	down  bool
	reads int
}

// change alters what later calls see.
func (f *fakeReader) change(alter func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	alter()
}

// called counts a call and returns what it sees.
func (f *fakeReader) called() (truth history, first int64, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return f.truth, f.first, f.down
}

func (f *fakeReader) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

var errDown = errors.New("down")

func (f *fakeReader) Newest(context.Context, string) (platform.Page, error) {
	truth, _, down := f.called()
	if down {
		return platform.Page{}, errDown
	}
	return platform.Page{Records: truth.newest(len(truth), false), End: int64(len(truth))}, nil
}

func (f *fakeReader) Read(ctx context.Context, _ string, from int64, wait time.Duration) (platform.Page, error) {
	truth, first, down := f.called()
	if down {
		return platform.Page{}, errDown
	}
	if from < first {
		return platform.Page{}, &platform.TrimmedError{First: first}
	}
	if from >= int64(len(truth)) {
		select {
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-time.After(wait):
		}
	}
	return platform.Page{Records: truth[from:], End: int64(len(truth)), First: first}, nil
}

// start runs a follower and returns what ends it.
func start(f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// notes is a map that a follower's callback may fill beside its test.
type notes struct {
	mu sync.Mutex
	m  map[string]bool
}

func (n *notes) set(key string, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.m == nil {
		n.m = map[string]bool{}
	}
	n.m[key] = value
}

func (n *notes) get(key string) (value, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	value, ok = n.m[key]
	return value, ok
}

func (n *notes) is(key string) bool {
	value, _ := n.get(key)
	return value
}

func put(key string, offset int) platform.Record {
	return platform.Record{Key: key, Offset: int64(offset), Value: []byte{1}}
}

// TestRemovalsAfterAnOutageAreNotTrusted: entries may have lapsed while the store
// was away.
func TestRemovalsAfterAnOutageAreNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 2 * time.Second
		reader := &fakeReader{truth: history{put("a", 0), put("b", 1)}}
		var trust notes
		table := NewTable("keyed.x", func(rec platform.Record, from Origin) {
			if rec.Removed {
				trust.set(rec.Key, from.Trusted)
			}
		})
		access := NewAccess(grace, quietLog())
		defer start(&Follower{Store: reader, Table: table, Access: access, Gap: 100 * time.Millisecond, Log: quietLog()})()
		time.Sleep(time.Second)
		reader.change(func() { reader.down = true })
		time.Sleep(3 * time.Second)
		if access.Stable(time.Now()) {
			t.Error("stable in an outage")
		}
		reader.change(func() { reader.truth = append(reader.truth, platform.Record{Key: "a", Offset: 2, Removed: true}) })
		reader.change(func() { reader.down = false })
		time.Sleep(time.Second)
		if trusted, told := trust.get("a"); !told || trusted {
			t.Errorf("removal right after the outage: told %v, trusted %v", told, trusted)
		}
		time.Sleep(grace)
		reader.change(func() { reader.truth = append(reader.truth, platform.Record{Key: "b", Offset: 3, Removed: true}) })
		time.Sleep(time.Second)
		if !trust.is("b") {
			t.Error("a removal long after the outage is not trusted")
		}
	})
}

// TestTrimmedHistoryIsReadAnew: keys that went away meanwhile are removed.
func TestTrimmedHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{truth: history{put("a", 0), put("b", 1)}}
		var held notes
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { held.set(rec.Key, !rec.Removed) })
		log, lines := logtest.NewNullLogger()
		defer start(&Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Gap: 100 * time.Millisecond, Log: log})()
		time.Sleep(time.Second)
		reader.change(func() {
			reader.truth = append(reader.truth, platform.Record{Key: "a", Offset: 2, Removed: true}, put("c", 3))
			reader.first = 4
		})
		time.Sleep(time.Second)
		if held.is("a") || !held.is("b") || !held.is("c") {
			t.Errorf("held: %v", held.m)
		}
		if n := len(lines.AllEntries()); n != 1 {
			t.Errorf("%d lines, want the one that says that records were trimmed", n)
		}
	})
}

// TestOriginTellsFirstViews: what came before the topic was known whole may have been
// written at any time; what came later was written since, however it was read.
func TestOriginTellsFirstViews(t *testing.T) {
	for name, take := range map[string]func(*Table, history){
		"store":                        func(table *Table, h history) { table.Snapshot(platform.Page{Records: h, End: 1}, true) },
		"another host":                 func(table *Table, h history) { table.MergeAll(h, 1, true) },
		"another host, from the start": func(table *Table, h history) { table.Merge(h, 1, true); table.MergeAll(nil, 1, true) },
	} {
		first := map[string]bool{}
		table := NewTable("keyed.x", func(rec platform.Record, from Origin) { first[rec.Key] = from.First })
		take(table, history{put("found", 0)})
		table.Merge(history{put("read", 1)}, 2, true)
		table.MergeAll(history{put("fetched", 2)}, 3, true)
		// History that was trimmed is read anew.
		table.Snapshot(platform.Page{Records: history{put("found", 0), put("read", 1), put("fetched", 2), put("listed", 3)}, End: 4}, true)
		for key, want := range map[string]bool{"found": true, "read": false, "fetched": false, "listed": false} {
			if got, told := first[key]; !told || got != want {
				t.Errorf("%s: %s is told as first: %v, told: %v, want %v", name, key, got, told, want)
			}
		}
	}
}

// TestFailedReadsBackOff bounds what an outage costs in calls.
func TestFailedReadsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{down: true}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		defer start(&Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Log: quietLog()})()
		time.Sleep(10 * time.Second)
		if reader.calls() > 40 {
			t.Errorf("%d reads in 10 s", reader.calls())
		}
	})
}

// TestReturnOfTheStoreIsSeenInTime: whatever the jitter, no pause in an outage is
// longer than maxBackoff, so that what was written is known less than a second
// after the store is back.
func TestReturnOfTheStoreIsSeenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{down: true}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		defer start(&Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Log: quietLog()})()
		synctest.Wait()
		// Off the beat of whole milliseconds, so that no read coincides with a look.
		time.Sleep(time.Microsecond)
		const step = 10 * time.Millisecond
		calls, quiet, longest := reader.calls(), time.Duration(0), time.Duration(0)
		for range 5 * time.Minute / step {
			time.Sleep(step)
			quiet += step
			if now := reader.calls(); now != calls {
				calls, quiet = now, 0
			}
			longest = max(longest, quiet)
		}
		if longest > maxBackoff {
			t.Errorf("no read for %v in an outage, want %v at the most", longest, maxBackoff)
		}
	})
}

// TestOtherHostsReadsSpareCalls: only while their word says so.
func TestOtherHostsReadsSpareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{truth: history{put("a", 0)}}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		var fresh atomic.Bool
		fresh.Store(true)
		f := &Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Gap: 100 * time.Millisecond, Log: quietLog()}
		f.Fresh = fresh.Load
		defer start(f)()
		time.Sleep(5 * time.Second)
		if reader.calls() != 1 {
			t.Errorf("%d reads while others read, want the first", reader.calls())
		}
		fresh.Store(false)
		time.Sleep(time.Second)
		if reader.calls() < 8 {
			t.Errorf("%d reads once nobody does", reader.calls())
		}
	})
}

// TestStoreIsRegainedWhileOthersRead: other hosts read for this one, so that it never asked
// the store again after a read of its own had failed, and counted it as lost for as long as
// they told: it settled nothing that had lapsed in the outage. It is to ask now and then,
// rarely enough for a store that turns a part of the fleet away.
func TestStoreIsRegainedWhileOthersRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = time.Minute
		reader := &fakeReader{truth: history{put("a", 0)}}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		access := NewAccess(0, quietLog())
		var fresh atomic.Bool
		f := &Follower{Store: reader, Table: table, Access: access, Gap: 100 * time.Millisecond, Log: quietLog()}
		f.Fresh = fresh.Load
		defer start(f)()
		time.Sleep(time.Second)
		reader.change(func() { reader.down = true })
		time.Sleep(time.Second)
		fresh.Store(true)
		before := reader.calls()
		time.Sleep(outage)
		if calls := reader.calls() - before; calls > int(outage/lostCheck)+1 {
			t.Errorf("%d reads in %v while others read", calls, outage)
		}
		reader.change(func() { reader.down = false })
		time.Sleep(2 * lostCheck)
		if !access.Stable(time.Now()) {
			t.Errorf("the store counts as lost %v after it was back", 2*lostCheck)
		}
		before = reader.calls()
		time.Sleep(outage)
		if calls := reader.calls() - before; calls > 0 {
			t.Errorf("%d reads in %v once it was regained", calls, outage)
		}
	})
}

// TestStartingHostWaitsToBeTold: where other hosts tell all records meanwhile, the
// store is asked for nothing; where nobody does, it is asked once the wait is over.
func TestStartingHostWaitsToBeTold(t *testing.T) {
	for name, told := range map[string]bool{"told": true, "alone": false} {
		synctest.Test(t, func(t *testing.T) {
			reader := &fakeReader{truth: history{put("a", 0)}}
			table := NewTable("keyed.x", func(platform.Record, Origin) {})
			began := time.Now()
			f := &Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Gap: 100 * time.Millisecond, Log: quietLog()}
			f.Hold = func() bool { return time.Since(began) < time.Second }
			f.Fresh = func() bool { return told }
			defer start(f)()
			time.Sleep(500 * time.Millisecond)
			if told {
				table.MergeAll(reader.truth, 1, true)
			}
			if reader.calls() != 0 {
				t.Errorf("%s: asked while it waits", name)
			}
			time.Sleep(time.Second)
			if asked := reader.calls() > 0; asked == told {
				t.Errorf("%s: %d calls after the wait", name, reader.calls())
			}
		})
	}
}

// unreadable is a reader of a topic with records that nobody can read.
type unreadable struct{ *fakeReader }

func (u unreadable) Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error) {
	page, err := u.fakeReader.Read(ctx, topic, from, wait)
	if from == 1 && err == nil && len(page.Records) > 0 {
		page.Records, page.Unreadable = page.Records[1:], 1
	}
	return page, err
}

// TestUnreadableRecordsArePassedOver, with a line that says so: what stands after them
// is read, and they are not read again.
func TestUnreadableRecordsArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := logtest.NewNullLogger()
		reader := &fakeReader{truth: history{put("a", 0)}}
		var held notes
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { held.set(rec.Key, true) })
		defer start(&Follower{Store: unreadable{reader}, Table: table, Access: NewAccess(0, quietLog()), Gap: 100 * time.Millisecond, Log: log})()
		time.Sleep(time.Second)
		reader.change(func() { reader.truth = append(reader.truth, put("?", 1), put("b", 2)) })
		time.Sleep(time.Second)
		if !held.is("b") || table.End() != 3 {
			t.Errorf("held %v up to %d, want b up to 3", held.m, table.End())
		}
		if n := len(lines.AllEntries()); n != 1 {
			t.Errorf("%d lines, want one", n)
		}
	})
}

// TestWaitingReadEndsWithTheOutage: it may hang on a connection that the outage
// has silenced, while another call shows that the store is back.
func TestWaitingReadEndsWithTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{truth: history{put("a", 0)}}
		var held notes
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { held.set(rec.Key, true) })
		access := NewAccess(0, quietLog())
		defer start(&Follower{Store: reader, Table: table, Access: access, Wait: time.Minute, Log: quietLog()})()
		time.Sleep(time.Second)
		// The waiting read does not see the new record, as it hangs.
		reader.change(func() { reader.truth = append(reader.truth, put("b", 1)) })
		access.Failed(time.Now(), errDown)
		time.Sleep(time.Second)
		access.Succeeded(time.Now())
		time.Sleep(time.Second)
		if !held.is("b") {
			t.Error("the record was not read after the outage")
		}
	})
}
