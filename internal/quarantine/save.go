package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/briarlink/briarlink/platform"
)

// minSavedCrashes is the number of crashes of a request from which they are saved in the
// store. It is below maxCrashes, so that hosts that lose power together before the request is
// refused need not count from zero again. Most requests that only ran beside the cause have
// fewer crashes.
const minSavedCrashes = 2

// maxSavedCrashes is the number of crashes beyond which further ones are not saved: with it, a
// request or block is refused.
const maxSavedCrashes = max(maxCrashes, minAnsweredBlockEpisodes)

// Unsaved returns the records that this host is to write to the store or remove from it.
// Without them, a fleet that lost power would let as many servers crash as before.
func (t *Table) Unsaved() []platform.QuarantineRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []platform.QuarantineRecord
	for _, d := range slices.Sorted(maps.Keys(t.unsaved)) {
		records = append(records, t.storeRecord(d))
	}
	return records
}

// storeRecord returns the record of a request for the store. It holds no crashes while there
// are fewer than minSavedCrashes, as any of many requests may have caused each of them.
func (t *Table) storeRecord(d Digest) platform.QuarantineRecord {
	q := platform.QuarantineRecord{Digest: uint64(d)}
	r := t.records[d]
	if r == nil || len(r.crashes) < minSavedCrashes {
		return q
	}
	q.Block, q.Refused, q.Answered = r.block, r.block && r.refusing, !r.block && r.everAnswered()
	for server, at := range r.crashes {
		q.Crashes = append(q.Crashes, platform.CrashRecord{Server: uint64(server), AtMs: at.UnixMilli()})
	}
	return q
}

// Saved records that the store has accepted a record. If more has been observed meanwhile,
// the request remains unsaved.
func (t *Table) Saved(q platform.QuarantineRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Digest(q.Digest)
	delete(t.unsaved, d)
	if len(t.storeRecord(d).Crashes) != len(q.Crashes) {
		t.markUnsaved(d)
	}
}

// Load applies a record from the store, and reports whether it has expired. Clocks may
// differ between hosts, and jump: a crash time in the future counts as now.
func (t *Table) Load(q platform.QuarantineRecord, now time.Time) (expired bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired = len(q.Crashes) > 0
	for _, c := range q.Crashes {
		age := max(0, now.Sub(time.UnixMilli(c.AtMs)))
		if age < crashRetention {
			t.add(Digest(q.Digest), q.Block, Server(c.Server), now.Add(-age), now)
			expired = false
		}
	}
	if r := t.records[Digest(q.Digest)]; r != nil && q.Answered && !r.everAnswered() {
		t.clear(Digest(q.Digest), r, answeredBefore(q, now), now)
	}
	if q.Refused {
		t.adoptRefusal(Digest(q.Digest), now)
	}
	return expired
}

// answeredBefore returns a time before the crashes of a record: at some such time, the request was answered.
func answeredBefore(q platform.QuarantineRecord, now time.Time) time.Time {
	oldest := now
	for _, c := range q.Crashes {
		if at := time.UnixMilli(c.AtMs); at.Before(oldest) {
			oldest = at
		}
	}
	return oldest.Add(-time.Millisecond)
}

// adoptRefusal refuses a block that another host refuses, or that was refused when its record was
// saved: this host may have started since, and not remember which blocks were answered.
func (t *Table) adoptRefusal(d Digest, now time.Time) {
	r := t.records[d]
	if r == nil || len(r.crashes) == 0 || r.refusedBefore {
		return
	}
	r.refusedBefore = true
	t.setRefusing(d, r, t.refused(d, r, now))
}

// SaveAgain makes this host save the records again whose last crash was after a time: the store may
// have lost them.
func (t *Table) SaveAgain(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d, r := range t.records {
		if len(r.crashes) < minSavedCrashes {
			continue
		}
		for _, at := range r.crashes {
			if at.After(since) {
				t.markUnsaved(d)
				break
			}
		}
	}
}

// Remove makes this host remove a request's record from the store.
func (t *Table) Remove(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markUnsaved(d)
}

// markUnsavedIfObserved makes this host save a request's record if it has itself just
// observed a crash of the request or an answer to it. Other hosts save nothing.
func (t *Table) markUnsavedIfObserved(d Digest) {
	if t.updates[d] != nil {
		t.markUnsaved(d)
	}
}

func (t *Table) markUnsaved(d Digest) {
	t.unsaved[d] = true
	select {
	case t.Dirty <- struct{}{}:
	default:
	}
}
