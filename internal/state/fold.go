// Package state folds the configuration stream of the platform's log into the
// configuration in force, the same on every entry host.
//
// Fold is a pure function of a state and a record. Store holds the newest state
// and hands out immutable views. Tailer reads the log. Checkpoints are encoded
// states written back to the same stream.
package state

import (
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/uuid7"
)

// window is how many log offsets a change may lie behind its author's read
// offset, and so how long outcomes are remembered for de-duplication. Two
// records with one change ID share one read offset, so the second is either
// within the window of the first, and recognised, or stale.
//
// It is the same on every host; only tests change it.
var window uint64 = 16384

// maxChangeAge is how old a change ID that tells its time (UUIDv7) may be. It
// catches a change that is submitted again, with a fresh read offset, after its
// first outcome was forgotten.
const maxChangeAge = time.Hour

// State is the fold of the configuration stream up to an offset. It is
// immutable once published by a Store.
type State struct {
	// Next is the first offset not yet folded.
	Next uint64
	// Objects in force.
	Objects map[Ref]*pb.Object
	// Outcomes in offset order, within window of Next.
	Outcomes []*pb.ChangeOutcome
	byID     map[string]*pb.ChangeOutcome

	viewOnce sync.Once
	view     *View
}

// Ref identifies an object.
type Ref struct {
	Kind pb.ObjectKind
	ID   string
}

// RefOf converts the wire form.
func RefOf(r *pb.ObjectRef) Ref { return Ref{Kind: r.GetKind(), ID: r.GetId()} }

// NewState returns the empty state before offset 0.
func NewState() *State {
	return &State{Objects: map[Ref]*pb.Object{}, byID: map[string]*pb.ChangeOutcome{}}
}

// Outcome returns what became of a change ID, or nil.
func (s *State) Outcome(changeID string) *pb.ChangeOutcome { return s.byID[changeID] }

// clone returns a copy whose containers can be changed.
func (s *State) clone() *State {
	c := &State{
		Next:     s.Next,
		Objects:  make(map[Ref]*pb.Object, len(s.Objects)),
		Outcomes: append([]*pb.ChangeOutcome(nil), s.Outcomes...),
		byID:     make(map[string]*pb.ChangeOutcome, len(s.byID)),
	}
	for k, v := range s.Objects {
		c.Objects[k] = v
	}
	for k, v := range s.byID {
		c.byID[k] = v
	}
	return c
}

// fold applies the record at offset s.Next in place. A change is accepted iff
// its object's version still is the one it names. Anything but a change only
// moves the offset.
func (s *State) fold(rec *pb.ConfigRecord, at time.Time) *pb.ChangeOutcome {
	offset := s.Next
	s.forget()
	s.Next++
	change := rec.GetChange()
	if change == nil {
		return nil
	}
	if first := s.byID[change.ChangeId]; first != nil {
		return first
	}
	out := &pb.ChangeOutcome{
		ChangeId: change.ChangeId,
		Offset:   offset,
		Ref:      change.Ref,
		Author:   change.Author,
		TimeMs:   at.UnixMilli(),
	}
	s.judge(change, out)
	s.Outcomes = append(s.Outcomes, out)
	s.byID[out.ChangeId] = out
	return out
}

// judge sets the verdict and applies an accepted change.
func (s *State) judge(change *pb.Change, out *pb.ChangeOutcome) {
	ref := RefOf(change.Ref)
	current := s.Objects[ref]
	out.FromVersion = current.GetVersion()
	if reason := Check(change); reason != "" {
		out.Verdict = pb.Verdict_VERDICT_INVALID
		out.Reason = reason
		return
	}
	if change.ReadOffset > out.Offset || out.Offset-change.ReadOffset > window {
		out.Verdict = pb.Verdict_VERDICT_STALE
		out.Reason = "the change was written too long before it reached the log; an earlier record of it may have been accepted"
		return
	}
	if made, ok := uuid7.Time(change.ChangeId); ok && time.UnixMilli(out.TimeMs).Sub(made) > maxChangeAge {
		out.Verdict = pb.Verdict_VERDICT_STALE
		out.Reason = "the change ID was made too long before it reached the log; an earlier record of it may have been accepted"
		return
	}
	if current.GetVersion() != change.ExpectedVersion {
		out.Verdict = pb.Verdict_VERDICT_CONFLICT
		out.Reason = "another change was accepted first"
		return
	}
	if current == nil && change.Spec == nil {
		out.Verdict = pb.Verdict_VERDICT_CONFLICT
		out.Reason = "the object does not exist"
		return
	}
	out.Verdict = pb.Verdict_VERDICT_ACCEPTED
	if change.Spec == nil {
		delete(s.Objects, ref)
		return
	}
	out.ToVersion = out.Offset + 1
	s.Objects[ref] = &pb.Object{Ref: change.Ref, Spec: change.Spec, Version: out.ToVersion}
}

// forget drops outcomes that have left the window of the record about to be
// folded. One just as old as the window is still needed: a copy of its change may
// be that old and not stale.
func (s *State) forget() {
	drop := 0
	for drop < len(s.Outcomes) && s.Outcomes[drop].Offset+window < s.Next {
		delete(s.byID, s.Outcomes[drop].ChangeId)
		drop++
	}
	s.Outcomes = s.Outcomes[drop:]
}

// Encode returns the wire form, the same for equal states.
func (s *State) Encode() *pb.ConfigState {
	out := &pb.ConfigState{NextOffset: s.Next, Outcomes: s.Outcomes}
	for _, o := range s.Objects {
		out.Objects = append(out.Objects, o)
	}
	sort.Slice(out.Objects, func(i, j int) bool {
		a, b := out.Objects[i].Ref, out.Objects[j].Ref
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Id < b.Id
	})
	return out
}

// Decode returns the state of a wire form.
func Decode(in *pb.ConfigState) *State {
	s := NewState()
	s.Next = in.NextOffset
	s.Outcomes = in.Outcomes
	for _, o := range in.Objects {
		s.Objects[RefOf(o.Ref)] = o
	}
	for _, out := range in.Outcomes {
		s.byID[out.ChangeId] = out
	}
	return s
}

// marshal encodes deterministically within one build of this program.
func marshal(s *State) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.Encode())
}
