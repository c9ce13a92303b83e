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

// history is every record of a topic, in the order of writing.
type history []platform.Record

// newest returns the newest record of each key before an offset. Removals are included only on
// request.
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

// TestViewNeverGoesBack applies reads, stale reads, snapshots of any age and other hosts' records
// in any order. The offsets passed to onRecord for a key must only increase, and in the end match
// the records written.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var written history
		notified := map[string]platform.Record{}
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) {
			if old, ok := notified[rec.Key]; ok && rec.Offset <= old.Offset {
				t.Fatalf("key %s went from offset %d to %d", rec.Key, old.Offset, rec.Offset)
			}
			notified[rec.Key] = rec
		})
		read := func() {
			from := int(table.End())
			to := rapid.IntRange(from, len(written)).Draw(t, "to")
			table.Merge(written[from:to], Position{Offset: int64(to)}, true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
				removed := rapid.Bool().Draw(t, "removed")
				written = append(written, platform.Record{Key: key, Offset: int64(len(written)), Removed: removed, Value: []byte{1}})
			},
			"read": func(*rapid.T) { read() },
			"snapshot of any age": func(t *rapid.T) {
				end := rapid.IntRange(0, len(written)).Draw(t, "age")
				before := table.End()
				applied := table.Snapshot(platform.Page{Records: written.newest(end, false), End: int64(end)}, true)
				if applied != (int64(end) >= before) {
					t.Fatalf("snapshot up to %d applied: %v, table applied up to %d", end, applied, before)
				}
			},
			"records of another host": func(t *rapid.T) {
				end := rapid.IntRange(0, len(written)).Draw(t, "its end")
				other := NewTable("keyed.x", func(platform.Record, Origin) {})
				other.Merge(written[:end], Position{Offset: int64(end)}, true)
				records, otherEnd, _ := other.RecordsFrom(table.Position())
				table.MergeFetched(Fetched{Records: records, At: Position{Offset: otherEnd.Offset}, Extent: Changes, Since: table.Position(), Trusted: true})
			},
		})
		table.Merge(written[table.End():], Position{Offset: int64(len(written))}, true)
		for _, want := range written.newest(len(written), true) {
			got, ok := notified[want.Key]
			// A removal that only a snapshot showed has the snapshot's offset.
			if !ok && !want.Removed || ok && got.Removed != want.Removed || ok && !want.Removed && got.Offset != want.Offset {
				t.Fatalf("key %s: onRecord called with %+v, want %+v", want.Key, got, want)
			}
		}
	})
}

// TestSyncedAfterAllNotifications guards against a host that becomes ready too early: a host is
// ready once its topics are synced, and if that were before onRecord has been called for every
// record, it would refuse requests for which it has already read a backend server. If two merges
// run at once, the later one must not mark the table synced while the first is still making calls.
func TestSyncedAfterAllNotifications(t *testing.T) {
	records := []platform.Record{put("a", 0), put("b", 1)}
	for name, apply := range map[string]func(*Table){
		"read": func(table *Table) { table.Snapshot(platform.Page{Records: records, End: 2}, true) },
		"by another host": func(table *Table) {
			table.MergeFetched(Fetched{Records: records, At: Position{Offset: 2}, Extent: Changes, Since: table.Position(), Trusted: true})
		},
	} {
		notifying, resume := make(chan struct{}), make(chan struct{})
		table := NewTable("keyed.x", func(platform.Record, Origin) {
			notifying <- struct{}{}
			<-resume
		})
		var wg sync.WaitGroup
		wg.Go(func() { apply(table) })
		for range records {
			<-notifying
			table.MergeFetched(Fetched{Records: records, At: Position{Offset: 2}, Extent: Changes, Since: table.Position(), Trusted: true})
			table.Merge(nil, Position{Offset: 2}, true)
			if table.Synced() {
				t.Errorf("%s: synced while onRecord is called", name)
			}
			resume <- struct{}{}
		}
		wg.Wait()
		if !table.Synced() {
			t.Errorf("%s: not synced after all calls of onRecord", name)
		}
	}
}

// fakeReader simulates a topic of a store whose calls fail while down is set.
type fakeReader struct {
	mu      sync.Mutex
	written history
	first   int64
	down    bool
	reads   int
	// era is the store's era; it rises when written is replaced.
	era int64
}

// change modifies the state that later calls return.
func (f *fakeReader) change(alter func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	alter()
}

// recordCall counts a call and returns the state for it.
func (f *fakeReader) recordCall() (written history, first int64, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return f.written, f.first, f.down
}

func (f *fakeReader) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

var errDown = errors.New("down")

func (f *fakeReader) Newest(context.Context, string) (platform.Page, error) {
	written, _, down := f.recordCall()
	if down {
		return platform.Page{}, errDown
	}
	return platform.Page{Records: written.newest(len(written), false), End: int64(len(written)), Era: f.currentEra()}, nil
}

func (f *fakeReader) currentEra() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

func (f *fakeReader) Read(ctx context.Context, _ string, from int64, wait time.Duration) (platform.Page, error) {
	written, first, down := f.recordCall()
	if down {
		return platform.Page{}, errDown
	}
	if from < first || from > int64(len(written)) {
		return platform.Page{}, &platform.TrimmedError{First: first, Era: f.currentEra()}
	}
	if from >= int64(len(written)) {
		select {
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-time.After(wait):
		}
	}
	return platform.Page{Records: written[from:], End: int64(len(written)), First: first, Era: f.currentEra()}, nil
}

// start runs a follower and returns a function that stops it.
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

// flags is a map for use by a follower's callback and its test at the same time.
type flags struct {
	mu sync.Mutex
	m  map[string]bool
}

func (n *flags) set(key string, value bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.m == nil {
		n.m = map[string]bool{}
	}
	n.m[key] = value
}

func (n *flags) get(key string) (value, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	value, ok = n.m[key]
	return value, ok
}

func (n *flags) is(key string) bool {
	value, _ := n.get(key)
	return value
}

func put(key string, offset int) platform.Record {
	return platform.Record{Key: key, Offset: int64(offset), Value: []byte{1}}
}

// TestRemovalsAfterAnOutageAreNotTrusted checks that removals are trusted only after the grace
// period: right after an outage, entries may have expired because of it.
func TestRemovalsAfterAnOutageAreNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 2 * time.Second
		reader := &fakeReader{written: history{put("a", 0), put("b", 1)}}
		var trust flags
		table := NewTable("keyed.x", func(rec platform.Record, origin Origin) {
			if rec.Removed {
				trust.set(rec.Key, origin.Trusted)
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
		reader.change(func() { reader.written = append(reader.written, platform.Record{Key: "a", Offset: 2, Removed: true}) })
		reader.change(func() { reader.down = false })
		time.Sleep(time.Second)
		if trusted, notified := trust.get("a"); !notified || trusted {
			t.Errorf("removal right after the outage: onRecord called %v, trusted %v; want true, false", notified, trusted)
		}
		time.Sleep(grace)
		reader.change(func() { reader.written = append(reader.written, platform.Record{Key: "b", Offset: 3, Removed: true}) })
		time.Sleep(time.Second)
		if !trust.is("b") {
			t.Error("a removal long after the outage is not trusted")
		}
	})
}

// TestTrimmedHistoryIsReadAnew checks that keys whose removal was trimmed before it was read are
// removed.
func TestTrimmedHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{written: history{put("a", 0), put("b", 1)}}
		var present flags
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { present.set(rec.Key, !rec.Removed) })
		log, lines := logtest.NewNullLogger()
		defer start(&Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Gap: 100 * time.Millisecond, Log: log})()
		time.Sleep(time.Second)
		reader.change(func() {
			reader.written = append(reader.written, platform.Record{Key: "a", Offset: 2, Removed: true}, put("c", 3))
			reader.first = 4
		})
		time.Sleep(time.Second)
		if present.is("a") || !present.is("b") || !present.is("c") {
			t.Errorf("keys present: %v, want b and c", present.m)
		}
		if n := len(lines.AllEntries()); n != 1 {
			t.Errorf("%d log lines, want the one on trimmed records", n)
		}
	})
}

// TestOriginMarksInitialRecords checks that records received before the whole topic was applied,
// which may have been written at any time, have First set, and that later ones do not, from
// whatever source.
func TestOriginMarksInitialRecords(t *testing.T) {
	for name, apply := range map[string]func(*Table, history){
		"store": func(table *Table, h history) { table.Snapshot(platform.Page{Records: h, End: 1}, true) },
		"another host": func(table *Table, h history) {
			table.MergeFetched(Fetched{Records: h, At: Position{Offset: 1}, Extent: Changes, Since: table.Position(), Trusted: true})
		},
		"another host, from the start": func(table *Table, h history) {
			table.Merge(h, Position{Offset: 1}, true)
			table.MergeFetched(Fetched{Records: nil, At: Position{Offset: 1}, Extent: Changes, Since: table.Position(), Trusted: true})
		},
	} {
		first := map[string]bool{}
		table := NewTable("keyed.x", func(rec platform.Record, origin Origin) { first[rec.Key] = origin.First })
		apply(table, history{put("found", 0)})
		table.Merge(history{put("read", 1)}, Position{Offset: 2}, true)
		table.MergeFetched(Fetched{Records: history{put("fetched", 2)}, At: Position{Offset: 3}, Extent: Changes, Since: table.Position(), Trusted: true})
		// A topic that was trimmed is listed again.
		table.Snapshot(platform.Page{Records: history{put("found", 0), put("read", 1), put("fetched", 2), put("listed", 3)}, End: 4}, true)
		for key, want := range map[string]bool{"found": true, "read": false, "fetched": false, "listed": false} {
			if got, notified := first[key]; !notified || got != want {
				t.Errorf("%s: %s has First %v, onRecord called: %v, want First %v", name, key, got, notified, want)
			}
		}
	}
}

// TestFailedReadsBackOff checks that the number of calls during an outage is limited.
func TestFailedReadsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{down: true}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		defer start(&Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Log: quietLog()})()
		time.Sleep(10 * time.Second)
		if reader.calls() > 40 {
			t.Errorf("%d reads in 10 s, want at most 40", reader.calls())
		}
	})
}

// TestStoreRecoveryIsDetectedInTime checks that no pause in an outage is longer than maxBackoff,
// whatever the jitter, so that a host receives new records less than a second after the store has
// recovered.
func TestStoreRecoveryIsDetectedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{down: true}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		defer start(&Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Log: quietLog()})()
		synctest.Wait()
		// An offset from whole milliseconds, so that no read coincides with a check.
		time.Sleep(time.Microsecond)
		const step = 10 * time.Millisecond
		calls, sinceLastCall, longest := reader.calls(), time.Duration(0), time.Duration(0)
		for range 5 * time.Minute / step {
			time.Sleep(step)
			sinceLastCall += step
			if now := reader.calls(); now != calls {
				calls, sinceLastCall = now, 0
			}
			longest = max(longest, sinceLastCall)
		}
		if longest > maxBackoff {
			t.Errorf("no read for %v in an outage, want at most %v", longest, maxBackoff)
		}
	})
}

// TestReadsAreSkippedWhileOtherHostsRead checks that reads are skipped only while SkipRead allows
// it.
func TestReadsAreSkippedWhileOtherHostsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{written: history{put("a", 0)}}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		var fresh atomic.Bool
		fresh.Store(true)
		f := &Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Gap: 100 * time.Millisecond, Log: quietLog()}
		f.SkipRead = fresh.Load
		defer start(f)()
		time.Sleep(5 * time.Second)
		if reader.calls() != 1 {
			t.Errorf("%d reads while others read, want only the first", reader.calls())
		}
		fresh.Store(false)
		time.Sleep(time.Second)
		if reader.calls() < 8 {
			t.Errorf("%d reads in 1 s once no other host reads, want at least 8", reader.calls())
		}
	})
}

// TestStoreIsRegainedWhileOthersRead guards against a host that counts the store as lost as long as
// other hosts read for it. After a failed read it never called the store again, and did not process
// entries that had expired during the outage. It must call the store now and then, rarely enough
// for a store that refuses a part of the fleet.
func TestStoreIsRegainedWhileOthersRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = time.Minute
		reader := &fakeReader{written: history{put("a", 0)}}
		table := NewTable("keyed.x", func(platform.Record, Origin) {})
		access := NewAccess(0, quietLog())
		var fresh atomic.Bool
		f := &Follower{Store: reader, Table: table, Access: access, Gap: 100 * time.Millisecond, Log: quietLog()}
		f.SkipRead = fresh.Load
		defer start(f)()
		time.Sleep(time.Second)
		reader.change(func() { reader.down = true })
		time.Sleep(time.Second)
		fresh.Store(true)
		before := reader.calls()
		time.Sleep(outage)
		if calls := reader.calls() - before; calls > int(outage/lostReadInterval)+1 {
			t.Errorf("%d reads in %v while others read", calls, outage)
		}
		reader.change(func() { reader.down = false })
		time.Sleep(2 * lostReadInterval)
		if !access.Stable(time.Now()) {
			t.Errorf("the store still counts as lost %v after its recovery", 2*lostReadInterval)
		}
		before = reader.calls()
		time.Sleep(outage)
		if calls := reader.calls() - before; calls > 0 {
			t.Errorf("%d reads in %v after the store was regained, want none", calls, outage)
		}
	})
}

// TestStartingHostDelaysFirstRead checks that a starting host does not call the store if other
// hosts send all records while it waits, and calls it after the wait if they do not.
func TestStartingHostDelaysFirstRead(t *testing.T) {
	for name, reported := range map[string]bool{"told": true, "alone": false} {
		synctest.Test(t, func(t *testing.T) {
			reader := &fakeReader{written: history{put("a", 0)}}
			table := NewTable("keyed.x", func(platform.Record, Origin) {})
			startedAt := time.Now()
			f := &Follower{Store: reader, Table: table, Access: NewAccess(0, quietLog()), Gap: 100 * time.Millisecond, Log: quietLog()}
			f.DelayFirstRead = func() bool { return time.Since(startedAt) < time.Second }
			f.SkipRead = func() bool { return reported }
			defer start(f)()
			time.Sleep(500 * time.Millisecond)
			if reported {
				table.MergeFetched(Fetched{Records: reader.written, At: Position{Offset: 1}, Extent: Changes, Since: table.Position(), Trusted: true})
			}
			if reader.calls() != 0 {
				t.Errorf("%s: called the store while waiting", name)
			}
			time.Sleep(time.Second)
			if called := reader.calls() > 0; called == reported {
				t.Errorf("%s: %d calls after the wait", name, reader.calls())
			}
		})
	}
}

// unreadable is a reader of a topic that contains a record that cannot be decoded.
type unreadable struct{ *fakeReader }

func (u unreadable) Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error) {
	page, err := u.fakeReader.Read(ctx, topic, from, wait)
	if from == 1 && err == nil && len(page.Records) > 0 {
		page.Records, page.Unreadable = page.Records[1:], 1
	}
	return page, err
}

// TestUnreadableRecordsArePassedOver checks that an unreadable record is logged and not read again,
// and that the records after it are read.
func TestUnreadableRecordsArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := logtest.NewNullLogger()
		reader := &fakeReader{written: history{put("a", 0)}}
		var present flags
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { present.set(rec.Key, true) })
		defer start(&Follower{Store: unreadable{reader}, Table: table, Access: NewAccess(0, quietLog()), Gap: 100 * time.Millisecond, Log: log})()
		time.Sleep(time.Second)
		reader.change(func() { reader.written = append(reader.written, put("?", 1), put("b", 2)) })
		time.Sleep(time.Second)
		if !present.is("b") || table.End() != 3 {
			t.Errorf("keys present: %v, end %d, want b and end 3", present.m, table.End())
		}
		if n := len(lines.AllEntries()); n != 1 {
			t.Errorf("%d log lines, want one", n)
		}
	})
}

// TestWaitingReadEndsWithTheOutage guards against a waiting read that hangs on a connection that
// the outage broke without closing it, while another call shows that the store has recovered.
func TestWaitingReadEndsWithTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &fakeReader{written: history{put("a", 0)}}
		var present flags
		table := NewTable("keyed.x", func(rec platform.Record, _ Origin) { present.set(rec.Key, true) })
		access := NewAccess(0, quietLog())
		defer start(&Follower{Store: reader, Table: table, Access: access, Wait: time.Minute, Log: quietLog()})()
		time.Sleep(time.Second)
		// The waiting read hangs and does not return the new record.
		reader.change(func() { reader.written = append(reader.written, put("b", 1)) })
		access.Failed(time.Now(), errDown)
		time.Sleep(time.Second)
		access.Succeeded(time.Now())
		time.Sleep(time.Second)
		if !present.is("b") {
			t.Error("the record was not read after the outage")
		}
	})
}
