package topic

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
)

// TestMergesAtOnceAreToldInOrder: a read of the store and another host's records are
// merged at once where a host starts, or is just behind. While the first was told record
// by record, the second told its newer record of a later key, and then the first its older
// one: the newest came first, and the oldest stayed in force. Each merge told its own
// records, and nothing kept two of them in order.
func TestMergesAtOnceAreToldInOrder(t *testing.T) {
	first := []platform.Record{put("a", 0), put("b", 1)}
	newer := []platform.Record{put("b", 2)}
	// Each record comes with what its own merge knew.
	want := []string{"0 {Trusted:true First:true}", "1 {Trusted:true First:true}", "2 {Trusted:false First:false}"}
	for name, take := range map[string]func(*Table){
		"read": func(table *Table) { table.Merge(newer, 3, false) },
		"listed": func(table *Table) {
			table.Snapshot(platform.Page{Records: append(first[:1:1], newer...), End: 3}, false)
		},
		"by another host": func(table *Table) { table.MergeAll(newer, 3, false) },
	} {
		telling, goOn := make(chan struct{}), make(chan struct{})
		var mu sync.Mutex
		var told []string
		table := NewTable("keyed.x", func(rec platform.Record, from Origin) {
			if rec.Key == "a" {
				telling <- struct{}{}
				<-goOn
			}
			mu.Lock()
			defer mu.Unlock()
			told = append(told, fmt.Sprintf("%d %+v", rec.Offset, from))
		})
		var wg sync.WaitGroup
		wg.Go(func() { table.Snapshot(platform.Page{Records: first, End: 2}, true) })
		<-telling
		take(table)
		if table.Synced() {
			t.Errorf("%s: synced while records are told", name)
		}
		close(goOn)
		wg.Wait()
		if !slices.Equal(told, want) {
			t.Errorf("%s: told %q, want %q", name, told, want)
		}
		if !table.Synced() {
			t.Errorf("%s: not synced once all are told", name)
		}
	}
}

// TestOrderHoldsWhateverMergesMeet lets further merges of any kind begin at any
// record that is being told, as those of other goroutines would. What is told of a key
// only moves on, one record at a time, and in the end
// all is told.
func TestOrderHoldsWhateverMergesMeet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var truth history
		for offset := range rapid.IntRange(1, 30).Draw(t, "records") {
			truth = append(truth, platform.Record{
				Key: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), Offset: int64(offset),
				Removed: rapid.Bool().Draw(t, "removed"), Value: []byte{1},
			})
		}
		told := map[string]platform.Record{}
		telling := false
		var table *Table
		merge := func() {
			end := rapid.IntRange(0, len(truth)).Draw(t, "end")
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0:
				from := min(int(table.End()), end)
				table.Merge(truth[from:end], int64(end), true)
			case 1:
				table.Snapshot(platform.Page{Records: truth.newest(end, false), End: int64(end)}, true)
			default:
				table.MergeAll(truth.newest(end, true), int64(end), true)
			}
		}
		table = NewTable("keyed.x", func(rec platform.Record, _ Origin) {
			if telling {
				t.Fatalf("key %s is told while another record is", rec.Key)
			}
			if old, ok := told[rec.Key]; ok && rec.Offset <= old.Offset {
				t.Fatalf("key %s went from offset %d to %d", rec.Key, old.Offset, rec.Offset)
			}
			told[rec.Key] = rec
			telling = true
			defer func() { telling = false }()
			for range rapid.IntRange(0, 2).Draw(t, "meanwhile") {
				merge()
			}
		})
		merge()
		table.MergeAll(truth.newest(len(truth), true), int64(len(truth)), true)
		if !table.Synced() {
			t.Fatal("not synced once all is told")
		}
		for _, want := range truth.newest(len(truth), true) {
			got, ok := told[want.Key]
			// A removal that only a listing showed has the listing's offset.
			if !ok && !want.Removed || ok && got.Removed != want.Removed || ok && !want.Removed && got.Offset != want.Offset {
				t.Fatalf("key %s: told %+v, want %+v", want.Key, got, want)
			}
		}
	})
}
