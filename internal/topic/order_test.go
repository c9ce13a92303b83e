package topic

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
)

// TestConcurrentMergesNotifyInOrder guards against an old record that stays in force when a read of
// the store and another host's records are merged concurrently, as on a host that starts or is
// slightly behind. When each merge called onRecord for its own records, the second could do so for
// a newer record of a key before the first did for its older one.
func TestConcurrentMergesNotifyInOrder(t *testing.T) {
	first := []platform.Record{put("a", 0), put("b", 1)}
	newer := []platform.Record{put("b", 2)}
	// Each record keeps the Origin of the merge that applied it.
	want := []string{"0 {Trusted:true First:true}", "1 {Trusted:true First:true}", "2 {Trusted:false First:false}"}
	for name, apply := range map[string]func(*Table){
		"read": func(table *Table) { table.Merge(newer, Position{Offset: 3}, false) },
		"listed": func(table *Table) {
			table.Snapshot(platform.Page{Records: append(first[:1:1], newer...), End: 3}, false)
		},
		"by another host": func(table *Table) {
			table.MergeFetched(Fetched{Records: newer, At: Position{Offset: 3}, Extent: Changes, Since: table.Position(), Trusted: false})
		},
	} {
		notifying, resume := make(chan struct{}), make(chan struct{})
		var mu sync.Mutex
		var notified []string
		table := NewTable("keyed.x", func(rec platform.Record, origin Origin) {
			if rec.Key == "a" {
				notifying <- struct{}{}
				<-resume
			}
			mu.Lock()
			defer mu.Unlock()
			notified = append(notified, fmt.Sprintf("%d %+v", rec.Offset, origin))
		})
		var wg sync.WaitGroup
		wg.Go(func() { table.Snapshot(platform.Page{Records: first, End: 2}, true) })
		<-notifying
		apply(table)
		if table.Synced() {
			t.Errorf("%s: synced while onRecord is called", name)
		}
		close(resume)
		wg.Wait()
		if !slices.Equal(notified, want) {
			t.Errorf("%s: onRecord called with %q, want %q", name, notified, want)
		}
		if !table.Synced() {
			t.Errorf("%s: not synced after all calls of onRecord", name)
		}
	}
}

// TestReentrantMergesNotifyInOrder starts further merges of any kind during any call of onRecord,
// as other goroutines would. The offsets of a key must only increase from call to call, no two
// calls may overlap, and in the end onRecord must have been called for all records.
func TestReentrantMergesNotifyInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var written history
		for offset := range rapid.IntRange(1, 30).Draw(t, "records") {
			written = append(written, platform.Record{
				Key: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), Offset: int64(offset),
				Removed: rapid.Bool().Draw(t, "removed"), Value: []byte{1},
			})
		}
		notified := map[string]platform.Record{}
		notifying := false
		var table *Table
		merge := func() {
			end := rapid.IntRange(0, len(written)).Draw(t, "end")
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0:
				from := min(int(table.End()), end)
				table.Merge(written[from:end], Position{Offset: int64(end)}, true)
			case 1:
				table.Snapshot(platform.Page{Records: written.newest(end, false), End: int64(end)}, true)
			default:
				table.MergeFetched(Fetched{Records: written.newest(end, true), At: Position{Offset: int64(end)}, Extent: Changes, Since: table.Position(), Trusted: true})
			}
		}
		table = NewTable("keyed.x", func(rec platform.Record, _ Origin) {
			if notifying {
				t.Fatalf("onRecord called for key %s during another call", rec.Key)
			}
			if old, ok := notified[rec.Key]; ok && rec.Offset <= old.Offset {
				t.Fatalf("key %s went from offset %d to %d", rec.Key, old.Offset, rec.Offset)
			}
			notified[rec.Key] = rec
			notifying = true
			defer func() { notifying = false }()
			for range rapid.IntRange(0, 2).Draw(t, "meanwhile") {
				merge()
			}
		})
		merge()
		table.MergeFetched(Fetched{Records: written.newest(len(written), true), At: Position{Offset: int64(len(written))}, Extent: Changes, Since: table.Position(), Trusted: true})
		if !table.Synced() {
			t.Fatal("not synced after all calls of onRecord")
		}
		for _, want := range written.newest(len(written), true) {
			got, ok := notified[want.Key]
			// A removal that only a snapshot showed has the snapshot's offset.
			if !ok && !want.Removed || ok && got.Removed != want.Removed || ok && !want.Removed && got.Offset != want.Offset {
				t.Fatalf("key %s: onRecord called with %+v, want %+v", want.Key, got, want)
			}
		}
	})
}
