package state

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/platform"
)

// Submitter writes changes to the log and waits until this host has folded them.
type Submitter struct {
	store *Store
	log   platform.Log
	// settle bounds the wait for a change whose append had no answer.
	settle time.Duration
}

// NewSubmitter returns a submitter; settle bounds how long an append without
// an answer is looked for on the log.
func NewSubmitter(store *Store, log platform.Log, settle time.Duration) *Submitter {
	return &Submitter{store: store, log: log, settle: settle}
}

// Submit appends change and returns its outcome as folded by this host. Where
// the outcome cannot be known the error is OutcomeUnknown and names the change
// ID; asking later by that ID is safe, and so is submitting it again.
func (s *Submitter) Submit(ctx context.Context, change *pb.Change) (*pb.ChangeOutcome, error) {
	cur := s.store.Current()
	if cur == nil {
		return nil, errkind.New(errkind.NotReady, "this host has no configuration yet")
	}
	if out := cur.Outcome(change.ChangeId); out != nil {
		return out, nil
	}
	if change.ReadOffset == 0 {
		change.ReadOffset = cur.Next
	}
	if reason := Check(change); reason != "" {
		return nil, errkind.New(errkind.InvalidRequest, reason)
	}
	payload, err := proto.Marshal(&pb.ConfigRecord{Kind: &pb.ConfigRecord_Change{Change: change}})
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "the change cannot be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, s.settle)
	defer cancel()
	// The error is not needed: only the log itself tells whether the record is there.
	_, _ = s.log.Append(ctx, platform.ConfigStream, payload)
	return s.await(ctx, change.ChangeId)
}

func (s *Submitter) await(ctx context.Context, changeID string) (*pb.ChangeOutcome, error) {
	var out *pb.ChangeOutcome
	err := s.store.Await(ctx, func(st *State) bool {
		if st != nil {
			out = st.Outcome(changeID)
		}
		return out != nil
	})
	if err != nil {
		return nil, errkind.Wrap(errkind.OutcomeUnknown, err,
			"the log did not confirm change "+changeID+"; ask for it by this ID or submit it again unchanged")
	}
	return out, nil
}
