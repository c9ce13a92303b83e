package state

import (
	"context"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/platform"
)

// Store holds the newest state of one host. Readers never lock; writers take mu.
type Store struct {
	mu      sync.Mutex
	cur     atomic.Pointer[State]
	known   atomic.Uint64
	changed chan struct{}
}

// NewStore returns a store that holds no state yet.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Current returns the state in force, or nil before the first one. The caller
// must not change it.
func (s *Store) Current() *State { return s.cur.Load() }

// Next returns the first offset not yet folded, 0 without a state.
func (s *Store) Next() uint64 {
	if cur := s.Current(); cur != nil {
		return cur.Next
	}
	return 0
}

// Known returns the highest stream end this host has heard of.
func (s *Store) Known() uint64 { return max(s.known.Load(), s.Next()) }

// SetKnown raises the highest stream end heard of.
func (s *Store) SetKnown(end uint64) {
	for {
		old := s.known.Load()
		if end <= old || s.known.CompareAndSwap(old, end) {
			return
		}
	}
}

// Offer replaces the state by st iff st reaches further, so a store never moves
// backwards. It reports whether it did.
func (s *Store) Offer(st *State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur := s.cur.Load(); cur != nil && st.Next <= cur.Next {
		return false
	}
	s.publish(st)
	return true
}

// Apply folds the records that continue the present state and ignores those it
// already holds. It stops at a gap and reports whether it met none.
func (s *Store) Apply(records []platform.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.cur.Load()
	if cur == nil {
		return false
	}
	next := cur.clone()
	complete := true
	for _, rec := range records {
		if rec.Offset < next.Next {
			continue
		}
		if rec.Offset > next.Next {
			complete = false
			break
		}
		next.fold(decodeRecord(rec.Payload), rec.Time)
	}
	if next.Next != cur.Next {
		s.publish(next)
	}
	return complete
}

func (s *Store) publish(st *State) {
	s.cur.Store(st)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of state.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Await returns once cond holds for the state, or with ctx's error. cond may be
// given nil.
func (s *Store) Await(ctx context.Context, cond func(*State) bool) error {
	for {
		changed := s.Changed()
		if cond(s.Current()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// decodeRecord returns an empty record for bytes that do not parse: a record
// nobody can read must still move every host's offset alike.
func decodeRecord(payload []byte) *pb.ConfigRecord {
	rec := &pb.ConfigRecord{}
	if err := proto.Unmarshal(payload, rec); err != nil {
		return &pb.ConfigRecord{}
	}
	return rec
}
