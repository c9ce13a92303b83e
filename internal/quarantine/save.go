package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/briarlink/briarlink/platform"
)

// keepFrom is the number of crashes under a request from which the store keeps them: hosts
// that lose power together before the last one that is reason to refuse it must not begin
// anew. Most of the requests that were beside it have fewer.
const keepFrom = 2

// Unsaved returns what is to be kept in the store, or removed from it, by this host: a
// fleet that loses power would otherwise let as many servers crash as before.
func (t *Table) Unsaved() []platform.QuarantineRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.QuarantineRecord
	for _, d := range slices.Sorted(maps.Keys(t.unsaved)) {
		out = append(out, t.toKeep(d))
	}
	return out
}

// toKeep returns what the store is to hold of a request: nothing while one crash may be put
// down to many others.
func (t *Table) toKeep(d Digest) platform.QuarantineRecord {
	q := platform.QuarantineRecord{Digest: uint64(d)}
	r := t.records[d]
	if r == nil || len(r.crashes) < keepFrom {
		return q
	}
	for server, at := range r.crashes {
		q.Crashes = append(q.Crashes, platform.CrashRecord{Server: uint64(server), AtMs: at.UnixMilli()})
	}
	return q
}

// Saved records that the store has taken a record of a request. What was seen meanwhile is
// still to be kept.
func (t *Table) Saved(q platform.QuarantineRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Digest(q.Digest)
	delete(t.unsaved, d)
	if len(t.toKeep(d).Crashes) != len(q.Crashes) {
		t.unsave(d)
	}
}

// Load takes a record of the store, and reports whether it is too old to matter. The time
// of day may differ between hosts, and jump: no crash is taken for a later one than now.
func (t *Table) Load(q platform.QuarantineRecord, now time.Time) (old bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old = len(q.Crashes) > 0
	for _, c := range q.Crashes {
		age := max(0, now.Sub(time.UnixMilli(c.AtMs)))
		if age < forgetAfter {
			t.add(Digest(q.Digest), Server(c.Server), now.Add(-age), now)
			old = false
		}
	}
	return old
}

// Remove has this host remove a request's record from the store.
func (t *Table) Remove(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsave(d)
}

// save has this host keep what is known of a request in the store. Only those hosts do that
// have just seen a crash under it, or an answer.
func (t *Table) save(d Digest) {
	if t.fresh[d] != nil {
		t.unsave(d)
	}
}

func (t *Table) unsave(d Digest) {
	t.unsaved[d] = true
	select {
	case t.Dirty <- struct{}{}:
	default:
	}
}
