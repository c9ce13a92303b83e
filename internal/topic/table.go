// Package topic keeps the newest records of the store's keyed topics. Records come from the store
// and, while it is unreachable, from other hosts. They are merged by position, so that a newer record
// is never replaced by an older one. A store that is restored from a copy begins a new era and
// assigns offsets again, so that a position is an era and an offset.
package topic

import (
	"cmp"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
)

// Position is a position in a topic.
type Position struct{ Era, Offset int64 }

// Compare compares two positions: any of a later era comes after all of the one before.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

func positionOf(rec platform.Record) Position { return Position{rec.Era, rec.Offset} }

// Origin describes how a record was received.
type Origin struct {
	// Trusted means that a removal cannot be a consequence of an outage of the store.
	Trusted bool
	// First means that the record was received before this host had applied the whole topic once,
	// so it may have been written at any time. Other records were written after those that this
	// host had applied before.
	First bool
}

// Table holds the newest record of each key of one topic. It is safe for concurrent use. mu is its
// only lock; it is not held while onRecord runs, which may call the table.
type Table struct {
	name     string
	onRecord func(rec platform.Record, origin Origin)
	// RetainLost keeps records in force that are missing from a restored store, until their writers write
	// them again. Otherwise they count as removed by an outage. It is set before use.
	RetainLost bool
	// IsOlder, if set, reports whether a record is older than another one of its key by what they
	// say. A host may not have seen the older one, which a restored store has from its copy. It is
	// set before use.
	IsOlder func(rec, than platform.Record) bool
	// OnRewritten, if set, is called in place of onRecord for a record of a later era with the value
	// that its key had before. It is set before use.
	OnRewritten func(rec platform.Record)
	// OnRestored, if set, is called without the lock when a new era begins, before onRecord is
	// called for its records. It is set before use.
	OnRestored func(era int64)

	// maxRemoved limits the removals that are kept. Above it, only the newer half is kept.
	maxRemoved int

	mu      sync.Mutex
	records map[string]platform.Record
	// end is the first offset of the era that is not applied yet.
	end int64
	// era is the store's era that end belongs to.
	era int64
	// eras tracks what the change from one era to the next leaves open.
	eras eraChange
	// coverage tracks since which positions of the era the table has all changes.
	coverage coverage
	// complete is set once the whole topic has been merged, synced once onRecord has also been
	// called for its records.
	complete, synced bool
	// pending holds records that were merged but not passed to onRecord yet, in the order of the
	// calls. notifying is set while a merge calls onRecord.
	pending   []update
	notifying bool
	// lastRead is when this host last read the topic from the store itself.
	lastRead Freshness
}

// update is a merged record to be passed to onRecord.
type update struct {
	rec    platform.Record
	origin Origin
	// rewritten is set if OnRewritten is to be called.
	rewritten bool
}

// defaultMaxRemoved limits the removals that are kept for other hosts.
const defaultMaxRemoved = 4096

// NewTable returns an empty table. onRecord is called for each newer record, never concurrently, in
// the order of offsets within one merge and merge by merge. It is therefore never called with an
// older record of a key after a newer one, even if several sources are merged at once. Otherwise
// the older record would replace a newer one that the callback had already applied, and would stay.
func NewTable(name string, onRecord func(rec platform.Record, origin Origin)) *Table {
	return &Table{name: name, onRecord: onRecord, records: map[string]platform.Record{}, eras: newEraChange(), maxRemoved: defaultMaxRemoved}
}

// Name returns the topic's name.
func (t *Table) Name() string { return t.name }

// End returns the first offset that is not applied yet.
func (t *Table) End() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// Synced reports whether the whole topic was merged once and onRecord was called for its records.
func (t *Table) Synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// NoteRead records that this host has just read the topic from the store.
func (t *Table) NoteRead(now time.Time) { t.lastRead.Note(now) }

// Age returns the time since this host itself last read the topic.
func (t *Table) Age(now time.Time) time.Duration { return t.lastRead.Age(now) }

// Merge applies the records of a read, which must be all readable ones up to end that are not applied
// yet. They are ignored if another era has begun meanwhile. It returns how many were newer. If another
// merge is calling onRecord, that merge also makes the calls for these records and Merge does not wait
// for them. The same holds for MergeFetched and Snapshot.
func (t *Table) Merge(records []platform.Record, end Position, trusted bool) int {
	t.mu.Lock()
	if end.Era != t.era {
		t.mu.Unlock()
		return 0
	}
	newer := t.merge(t.notSuperseded(inEra(records, end.Era)), trusted)
	t.end = max(t.end, end.Offset)
	t.mu.Unlock()
	t.notify()
	return newer
}

// notSuperseded leaves out the records before the position that is applied, which come from answers that arrive late: their keys
// may have been removed since by records that were never seen, only listed as missing. Where the key's record is of an
// earlier era, it is not known what the store has. The slice is reused.
func (t *Table) notSuperseded(records []platform.Record) []platform.Record {
	if !t.complete {
		return records
	}
	return slices.DeleteFunc(records, func(rec platform.Record) bool {
		old, known := t.records[rec.Key]
		retained := known && old.Era < t.era
		return !retained && rec.Era == t.era && rec.Offset < t.end
	})
}

// inEra returns the records as read in an era.
func inEra(records []platform.Record, era int64) []platform.Record {
	out := make([]platform.Record, len(records))
	for i, rec := range records {
		rec.Era = era
		out[i] = rec
	}
	return out
}

// Snapshot applies the newest record of every key. Keys that are older than the snapshot and
// missing from it were removed. It ignores a snapshot that is older than the records already
// applied and returns false. One of a later era begins that era.
func (t *Table) Snapshot(page platform.Page, trusted bool) bool {
	t.mu.Lock()
	at := Position{page.Era, page.End}
	if at.Compare(Position{t.era, t.end}) < 0 {
		t.mu.Unlock()
		return false
	}
	records := inEra(page.Records, page.Era)
	began := t.beginEra(records, at)
	if !began {
		records = append(records, t.missing(records, Position{}, at)...)
	}
	t.coverage.list(t.complete, t.end, page.End)
	t.merge(records, trusted && !began)
	t.end = page.End
	t.complete = true
	t.mu.Unlock()
	t.notifyRestored(began, page.Era)
	t.notify()
	return true
}

// missing returns removals for the keys that are missing from a listing, or from the changes since a position. A removal in the listing that is older than this
// host's record does not explain it: a later removal is not listed. With RetainLost, records of earlier eras are not
// removed.
func (t *Table) missing(records []platform.Record, since, at Position) []platform.Record {
	listed := make(map[string]platform.Record, len(records))
	for _, rec := range records {
		listed[rec.Key] = rec
	}
	var out []platform.Record
	for key, rec := range t.records {
		other, known := listed[key]
		explained := known && (!other.Removed || positionOf(other).Compare(positionOf(rec)) >= 0)
		retained := t.RetainLost && rec.Era < at.Era
		inRange := positionOf(rec).Compare(since) >= 0 && positionOf(rec).Compare(at) < 0
		if inRange && !explained && !rec.Removed && !retained {
			out = append(out, platform.Record{Key: key, Era: at.Era, Offset: at.Offset - 1, Removed: true})
		}
	}
	return out
}

// merge stores those of the records that are newer, appends them to pending, and returns their
// number.
func (t *Table) merge(records []platform.Record, trusted bool) int {
	var newer []platform.Record
	for _, rec := range records {
		old, known := t.records[rec.Key]
		if known && positionOf(old).Compare(positionOf(rec)) >= 0 {
			continue
		}
		if known && old.Era < rec.Era && !t.changes(old, rec) {
			continue
		}
		t.store(rec)
		newer = append(newer, rec)
	}
	t.trimRemovals()
	t.queue(newer, trusted)
	return len(newer)
}

// queue appends records to pending, in the order of their positions.
func (t *Table) queue(records []platform.Record, trusted bool) {
	sort.SliceStable(records, func(i, j int) bool { return positionOf(records[i]).Compare(positionOf(records[j])) < 0 })
	origin := Origin{Trusted: trusted, First: !t.complete}
	for _, rec := range records {
		t.pending = append(t.pending, update{rec: rec, origin: origin})
	}
}

// trimRemovals drops the oldest removals once there are more than maxRemoved, and keeps
// maxRemoved/2 of them. Those after the position that is applied are always kept.
func (t *Table) trimRemovals() {
	var removed []platform.Record
	if len(t.records) <= t.maxRemoved {
		return
	}
	applied := Position{t.era, t.end}
	for _, rec := range t.records {
		if rec.Removed && positionOf(rec).Compare(applied) < 0 {
			removed = append(removed, rec)
		}
	}
	if len(removed) <= t.maxRemoved {
		return
	}
	sort.Slice(removed, func(i, j int) bool { return positionOf(removed[i]).Compare(positionOf(removed[j])) < 0 })
	for _, rec := range removed[:len(removed)-t.maxRemoved/2] {
		delete(t.records, rec.Key)
		delete(t.eras.superseded, rec.Key)
		if rec.Era == t.era {
			t.coverage.forgetUpTo(rec.Offset)
		}
	}
}

// notify calls onRecord for the pending records, unless another merge is doing so.
func (t *Table) notify() {
	for first := true; ; first = false {
		batch := t.takePending(first)
		if len(batch) == 0 {
			return
		}
		for _, u := range batch {
			t.deliver(u)
		}
	}
}

func (t *Table) deliver(u update) {
	switch {
	case !u.rewritten:
		t.onRecord(u.rec, u.origin)
	case t.OnRewritten != nil:
		t.OnRewritten(u.rec)
	}
}

// takePending returns the records for which the caller must call onRecord: none if another merge is
// making the calls, or if none are left. Only in the latter case does the table become synced.
func (t *Table) takePending(first bool) []update {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first && t.notifying {
		return nil
	}
	batch := t.pending
	t.pending = nil
	t.notifying = len(batch) > 0
	t.synced = t.synced || t.complete && !t.notifying
	return batch
}

// RecordsFrom returns the newest records from a position on, or all from offset 0 or a position in
// another era than the table's, and the table's position. covered reports whether these are all
// changes since that position; otherwise, removals may be missing.
func (t *Table) RecordsFrom(from Position) (records []platform.Record, at Position, covered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := from.Offset == 0 || from.Era != t.era
	for _, rec := range t.records {
		if all || rec.Era == t.era && rec.Offset >= from.Offset {
			records = append(records, rec)
		}
	}
	sort.Slice(records, func(i, j int) bool { return positionOf(records[i]).Compare(positionOf(records[j])) < 0 })
	return records, Position{t.era, t.end}, t.covers(from)
}

// Covers reports whether the table has all changes since a position.
func (t *Table) Covers(from Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.covers(from)
}

func (t *Table) covers(from Position) bool {
	return from.Era == t.era && t.coverage.has(from.Offset)
}
