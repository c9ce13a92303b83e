package state

import (
	"context"
	"sync/atomic"

	"github.com/briarlink/briarlink/internal/platform"
)

// Tailer keeps a Store at the end of the configuration stream. While the log
// has forgotten records that the store lacks, it holds back what it reads until
// a checkpoint, or a state from a peer, reaches past the gap.
type Tailer struct {
	store    *Store
	follower *platform.Follower
	// held starts at heldFrom and continues without a gap.
	held     []platform.Record
	heldFrom uint64
	gap      atomic.Bool
	parts    *assembler
	// lastCheckpoint is the state offset of the newest complete checkpoint seen.
	lastCheckpoint atomic.Uint64
}

// NewTailer returns a tailer of log's configuration stream into store.
func NewTailer(store *Store, log platform.Log) *Tailer {
	t := &Tailer{store: store, parts: newAssembler()}
	t.follower = platform.NewFollower(log, platform.ConfigStream, t.position, t.ingest)
	return t
}

// Run tails until ctx ends.
func (t *Tailer) Run(ctx context.Context) { t.follower.Run(ctx) }

// Follower returns the underlying follower.
func (t *Tailer) Follower() *platform.Follower { return t.follower }

// Gap reports whether the log has forgotten records that the store lacks.
func (t *Tailer) Gap() bool { return t.gap.Load() }

// LastCheckpoint returns the state offset of the newest checkpoint seen on the log.
func (t *Tailer) LastCheckpoint() uint64 { return t.lastCheckpoint.Load() }

func (t *Tailer) position() uint64 {
	if t.gap.Load() {
		return t.heldFrom + uint64(len(t.held))
	}
	return t.store.Next()
}

func (t *Tailer) ingest(page platform.Page) {
	t.store.SetKnown(page.End)
	if t.store.Current() == nil && page.First == 0 {
		t.store.Offer(NewState())
	}
	if page.First > t.position() || t.store.Current() == nil && !t.gap.Load() {
		t.openGap(page.First)
	}
	if !t.gap.Load() {
		t.watchCheckpoints(page.Records)
		t.store.Apply(page.Records)
		return
	}
	t.hold(page.Records)
	t.closeGap()
}

func (t *Tailer) openGap(first uint64) {
	t.gap.Store(true)
	t.held = nil
	t.heldFrom = first
	t.parts = newAssembler()
}

func (t *Tailer) hold(records []platform.Record) {
	for _, rec := range records {
		if rec.Offset != t.heldFrom+uint64(len(t.held)) {
			continue
		}
		t.held = append(t.held, rec)
	}
	if st := t.watchCheckpoints(records); st != nil && st.Next >= t.heldFrom {
		t.store.Offer(st)
	}
}

// closeGap folds what is held once the store reaches past the gap.
func (t *Tailer) closeGap() {
	if t.store.Current() == nil || t.store.Next() < t.heldFrom {
		return
	}
	t.store.Apply(t.held)
	t.held = nil
	t.gap.Store(false)
}

// watchCheckpoints feeds chunks to the assembler and returns the newest state completed.
func (t *Tailer) watchCheckpoints(records []platform.Record) *State {
	var newest *State
	for _, rec := range records {
		chunk := decodeRecord(rec.Payload).GetCheckpoint()
		if chunk == nil {
			continue
		}
		st := t.parts.add(chunk)
		if st == nil {
			continue
		}
		if newest == nil || st.Next > newest.Next {
			newest = st
		}
		t.lastCheckpoint.Store(max(t.lastCheckpoint.Load(), st.Next))
	}
	return newest
}
