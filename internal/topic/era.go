package topic

import (
	"bytes"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/platform"
)

const (
	// maxSuperseded limits the values of a key that are remembered as superseded.
	maxSuperseded = 32
	// withheldTime is how long an entry of a copy that was removed before is not applied. The
	// platform removes the entry of a server that does not renew it sooner; one that is still there
	// belongs to a server that registered again.
	withheldTime = 6 * time.Second
)

// eraChange tracks, by key, what a table needs to distinguish the records of a restored store that come
// from its copy from those that were written again: a copy has records that newer ones had
// superseded, and whatever was written after the copy is written again, with other offsets.
type eraChange struct {
	// superseded holds hashes of the values that a newer record replaced, the newest last.
	superseded map[string][]uint64
	// retained holds the keys whose record of an earlier era is still in force.
	retained map[string]bool
	// withheld holds records that were not applied because their values are superseded, with the
	// time at which they were read.
	withheld map[string]withheldRecord
}

type withheldRecord struct {
	rec platform.Record
	at  time.Time
}

func newEraChange() eraChange {
	return eraChange{superseded: map[string][]uint64{}, retained: map[string]bool{}, withheld: map[string]withheldRecord{}}
}

// Position returns the first position that is not applied yet.
func (t *Table) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Position{t.era, t.end}
}

// Retained returns the number of records of earlier eras that are still in force although the store
// has none or older ones.
func (t *Table) Retained() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.eras.retained)
}

// Extent says which records of a topic another host sent.
type Extent int

// Extents of what another host sent.
const (
	// Partial means that records may be missing, removals in particular.
	Partial Extent = iota
	// Changes means all changes since a position that this host had applied.
	Changes
	// Whole means all of the host's records. What is missing was removed.
	Whole
)

// Fetched is what another host sent of a topic.
type Fetched struct {
	Records []platform.Record
	// At is the position up to which the other host has applied the topic.
	At     Position
	Extent Extent
	// Since is the position that the changes begin at.
	Since Position
	// Trusted has the same meaning as in Origin.
	Trusted bool
}

// MergeFetched applies the records that another host sent, and returns how many were newer. Partial ones
// don't move this host's position, so that it reads or fetches what is missing. Records of an earlier era
// than this host's are ignored, and a later era begins only with the whole topic.
func (t *Table) MergeFetched(f Fetched) int {
	t.mu.Lock()
	whole := f.Extent == Whole
	if f.At.Era < t.era || f.At.Era > t.era && !whole {
		t.mu.Unlock()
		return 0
	}
	began := t.beginEra(f.Records, f.At)
	records := f.Records
	switch f.Extent {
	case Whole:
		t.dropCovered(records, f.At)
		records = t.listed(records, f.At, began)
	case Changes:
		// Records after that position may have come from elsewhere, and been removed since.
		records = slices.Concat(records, t.missing(records, f.Since, f.At))
	}
	newer := t.merge(t.notSuperseded(slices.Clone(records)), f.Trusted && !began)
	if f.Extent != Partial {
		t.end = max(t.end, f.At.Offset)
		t.complete = true
	}
	t.mu.Unlock()
	t.notifyRestored(began, f.At.Era)
	t.notify()
	return newer
}

// listed returns all records of another host with the removals that follow from them, unless they are older than
// what this host has applied. It must be called before the table's position is moved.
func (t *Table) listed(records []platform.Record, at Position, began bool) []platform.Record {
	if at.Offset < t.end {
		return records
	}
	if !began {
		records = slices.Concat(records, t.missing(records, Position{}, at))
	}
	t.coverage.list(t.complete, t.end, at.Offset)
	return records
}

// beginEra begins the era of a position, if it is later, with all records that the store or another
// host has at that position. What is missing there is retained or removed. It reports whether an era
// known before has ended.
func (t *Table) beginEra(records []platform.Record, at Position) bool {
	if at.Era <= t.era {
		return false
	}
	rose := t.complete || len(t.records) > 0
	t.era, t.end = at.Era, 0
	t.coverage = coverage{from: at.Offset}
	if !rose {
		return false
	}
	present := map[string]bool{}
	for _, rec := range records {
		present[rec.Key] = true
		if rec.Era < at.Era && t.records[rec.Key].Key != "" {
			t.eras.retained[rec.Key] = true
		}
	}
	for key, rec := range t.records {
		switch {
		case present[key] || rec.Removed:
		case t.RetainLost:
			t.eras.retained[key] = true
		default:
			removal := platform.Record{Key: key, Era: at.Era, Offset: at.Offset - 1, Removed: true}
			t.store(removal)
			t.queue([]platform.Record{removal}, false)
		}
	}
	return true
}

func (t *Table) notifyRestored(began bool, era int64) {
	if began && t.OnRestored != nil {
		t.OnRestored(era)
	}
}

// dropCovered removes this host's records that another host, which sent all of its records, has
// read and found superseded: it still has a record of an earlier era for the key. That one then
// applies here too.
func (t *Table) dropCovered(records []platform.Record, at Position) {
	for _, rec := range records {
		old, known := t.records[rec.Key]
		if known && rec.Era < at.Era && old.Era == at.Era && old.Offset < at.Offset && !sameValue(old, rec) {
			t.eras.supersede(old)
			delete(t.records, rec.Key)
		}
	}
}

// changes reports whether a record of a later era changes the value of its key. It does not if it
// has the same value, or a superseded one, which the restored store has from its copy.
func (t *Table) changes(old, rec platform.Record) bool {
	if sameValue(old, rec) {
		t.records[rec.Key] = rec
		delete(t.eras.retained, rec.Key)
		t.pending = append(t.pending, update{rec: rec, rewritten: true})
		return false
	}
	if rec.Removed || !t.isSuperseded(old, rec) {
		return true
	}
	w, withheld := t.eras.withheld[rec.Key]
	if withheld && !t.RetainLost && w.rec.Era == rec.Era && w.rec.Offset < rec.Offset {
		// The copy had the withheld record as the newest, so this one was written since.
		return true
	}
	t.eras.retained[rec.Key] = true
	if !withheld || positionOf(w.rec) != positionOf(rec) {
		t.eras.withheld[rec.Key] = withheldRecord{rec, clock.Now()}
	}
	return false
}

// isSuperseded reports whether a record of a later era has a value that an earlier one than old had.
func (t *Table) isSuperseded(old, rec platform.Record) bool {
	if slices.Contains(t.eras.superseded[rec.Key], valueHash(rec)) {
		return true
	}
	return t.IsOlder != nil && !old.Removed && t.IsOlder(rec, old)
}

// store makes a record the newest of its key.
func (t *Table) store(rec platform.Record) {
	if old, known := t.records[rec.Key]; known {
		t.eras.supersede(old)
	}
	t.records[rec.Key] = rec
	delete(t.eras.withheld, rec.Key)
	delete(t.eras.retained, rec.Key)
	if rec.Era < t.era {
		t.eras.retained[rec.Key] = true
	}
}

// ReleaseWithheld applies records of the store that were withheld because the copy may have had
// them, and that are still there after withheldTime.
func (t *Table) ReleaseWithheld(now time.Time) {
	t.mu.Lock()
	var released []platform.Record
	for key, w := range t.eras.withheld {
		if !t.RetainLost && now.Sub(w.at) >= withheldTime {
			delete(t.eras.superseded, key)
			released = append(released, w.rec)
		}
	}
	t.merge(released, true)
	t.mu.Unlock()
	t.notify()
}

func (e *eraChange) supersede(old platform.Record) {
	if old.Removed {
		return
	}
	hashes := append(e.superseded[old.Key], valueHash(old))
	e.superseded[old.Key] = hashes[max(0, len(hashes)-maxSuperseded):]
}

func sameValue(a, b platform.Record) bool {
	return a.Removed == b.Removed && bytes.Equal(a.Value, b.Value)
}

func valueHash(rec platform.Record) uint64 { return xxh3.Hash(rec.Value) }
