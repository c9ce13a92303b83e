// Package topic keeps the newest records of the store's keyed topics. Records
// come from the store and, while it cannot be reached, from other hosts; they
// are merged by offset, so that a view never goes back.
package topic

import (
	"sort"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
)

// Origin is how a record came to be known.
type Origin struct {
	// Trusted means that a removal is no trace of an outage of the store.
	Trusted bool
	// First means that the record came before this host knew the topic whole: it may
	// have been written at any time. Others were written since what was known before.
	First bool
}

// Table holds the newest record of each key of one topic. It is safe for
// concurrent use; mu is its only lock and is not held while onRecord runs, which may
// call the table.
type Table struct {
	name     string
	onRecord func(rec platform.Record, from Origin)

	mu      sync.Mutex
	records map[string]platform.Record
	// end is the first offset not yet applied.
	end int64
	// whole is whether the whole topic was merged once; synced whether its records
	// were told too.
	whole, synced bool
	// untold are the records that were merged and not told yet, in the order in which
	// they are told; telling is whether a merge is telling them.
	untold  []news
	telling bool
	// read is up to when this host itself has read the topic.
	read Freshness
}

// news is a record that is newer than what was known.
type news struct {
	rec  platform.Record
	from Origin
}

// maxRemoved bounds the removals that are remembered for other hosts.
const maxRemoved = 4096

// NewTable returns an empty table. onRecord is called for each newer record, for one
// at a time, in the order of offsets within one merge and merge by merge: of a key it is
// told of no older record after a newer one, however many sources are merged at once. What
// it has put in force would else be replaced by what that had overtaken, for good.
func NewTable(name string, onRecord func(rec platform.Record, from Origin)) *Table {
	return &Table{name: name, onRecord: onRecord, records: map[string]platform.Record{}}
}

// Name returns the topic's name.
func (t *Table) Name() string { return t.name }

// End returns the first offset that is not applied.
func (t *Table) End() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// Synced reports whether the whole topic was read once and onRecord was told of it.
func (t *Table) Synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// Read records that this host has just read the topic from the store.
func (t *Table) Read(now time.Time) { t.read.Note(now) }

// Age returns how long ago this host itself read the topic.
func (t *Table) Age(now time.Time) time.Duration { return t.read.Age(now) }

// Merge takes records of a read, which must be all up to end. It returns how
// many were new. Where another merge is just telling of its records, it tells of these
// too, and Merge does not wait for it; the same holds for MergeAll and Snapshot.
func (t *Table) Merge(records []platform.Record, end int64, trusted bool) int {
	return t.take(records, end, false, trusted)
}

// MergeAll takes every record that another host knows from an offset on that
// this host has applied up to, or from 0.
func (t *Table) MergeAll(records []platform.Record, end int64, trusted bool) int {
	return t.take(records, end, true, trusted)
}

// take takes records, whole where with them the whole topic is known.
func (t *Table) take(records []platform.Record, end int64, whole, trusted bool) int {
	t.mu.Lock()
	fresh := t.merge(records, trusted)
	t.end = max(t.end, end)
	t.whole = t.whole || whole
	t.mu.Unlock()
	t.tell()
	return fresh
}

// Snapshot takes the newest record of every key. Keys that are missing and older
// than the snapshot were removed. A snapshot older than what was applied is not
// taken; it returns false.
func (t *Table) Snapshot(page platform.Page, trusted bool) bool {
	t.mu.Lock()
	if page.End < t.end {
		t.mu.Unlock()
		return false
	}
	t.merge(append(page.Records, t.missing(page)...), trusted)
	t.end = page.End
	t.whole = true
	t.mu.Unlock()
	t.tell()
	return true
}

// missing returns removals for the keys that a snapshot lacks.
func (t *Table) missing(page platform.Page) []platform.Record {
	present := make(map[string]bool, len(page.Records))
	for _, rec := range page.Records {
		present[rec.Key] = true
	}
	var out []platform.Record
	for key, rec := range t.records {
		if !present[key] && !rec.Removed && rec.Offset < page.End {
			out = append(out, platform.Record{Key: key, Offset: page.End - 1, Removed: true})
		}
	}
	return out
}

// merge takes the newer ones of these records, leaves them to be told, and returns how
// many they are.
func (t *Table) merge(records []platform.Record, trusted bool) int {
	var fresh []platform.Record
	for _, rec := range records {
		old, known := t.records[rec.Key]
		if known && old.Offset >= rec.Offset {
			continue
		}
		t.records[rec.Key] = rec
		fresh = append(fresh, rec)
	}
	t.forget()
	sort.SliceStable(fresh, func(i, j int) bool { return fresh[i].Offset < fresh[j].Offset })
	from := Origin{Trusted: trusted, First: !t.whole}
	for _, rec := range fresh {
		t.untold = append(t.untold, news{rec, from})
	}
	return len(fresh)
}

// forget drops the oldest removals beyond maxRemoved.
func (t *Table) forget() {
	var removed []platform.Record
	if len(t.records) <= maxRemoved {
		return
	}
	for _, rec := range t.records {
		if rec.Removed {
			removed = append(removed, rec)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	sort.Slice(removed, func(i, j int) bool { return removed[i].Offset < removed[j].Offset })
	for _, rec := range removed[:len(removed)-maxRemoved/2] {
		delete(t.records, rec.Key)
	}
}

// tell tells of what was merged and not told yet, unless another merge is telling.
func (t *Table) tell() {
	for first := true; ; first = false {
		batch := t.takeUntold(first)
		if len(batch) == 0 {
			return
		}
		for _, n := range batch {
			t.onRecord(n.rec, n.from)
		}
	}
}

// takeUntold returns the records that the caller is to tell: none while another merge is
// telling, or once all are told. Only then is the table synced.
func (t *Table) takeUntold(first bool) []news {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first && t.telling {
		return nil
	}
	batch := t.untold
	t.untold = nil
	t.telling = len(batch) > 0
	t.synced = t.synced || t.whole && !t.telling
	return batch
}

// From returns the newest records from an offset on and the table's end.
func (t *Table) From(offset int64) ([]platform.Record, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Record
	for _, rec := range t.records {
		if rec.Offset >= offset {
			out = append(out, rec)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Offset < out[j].Offset })
	return out, t.end
}
