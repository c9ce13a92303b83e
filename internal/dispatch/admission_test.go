package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/mechanism"
)

// runUnderLoad dispatches a streaming request while every replica has pending prefill of other
// hosts' requests, as in a burst or after the loss of a quarter of the replicas.
func runUnderLoad(t *testing.T, pendingPrefill int32, priority int, off mechanism.Off) (err error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := &fleet{ranAt: map[string]bool{}}
		d, table := newDispatcher(f)
		d.Off = off
		var work []*pb.ReplicaLoad
		for _, r := range table.Snapshot(testService, "", 0, time.Now()) {
			work = append(work, &pb.ReplicaLoad{Replica: r.ID, Requests: 5, PrefillTokens: pendingPrefill})
		}
		table.SetLoads("other", work, time.Now())
		req := testRequest(config.Streaming, false, 1)
		req.Route.LatencyTarget = 800 * time.Millisecond
		req.Route.Priority = priority
		req.Service.Engine = &config.Engine{Slots: 64, CacheTokens: 280_000}
		req.Service.UrgentTarget = 400 * time.Millisecond
		req.Caller.PromptTokens, req.Caller.OutputTokens = 9000, 80
		_, err = d.Run(context.Background(), req, &recorder{})
		synctest.Wait()
	})
	return err
}

// TestLessUrgentRequestsAreRejectedFirst guards against late answers to all urgent requests
// because long, less urgent ones are admitted while the queue already takes up the urgent
// latency target. The less urgent ones must be rejected at once, with the expected wait as
// Retry-After, and the urgent ones served.
func TestLessUrgentRequestsAreRejectedFirst(t *testing.T) {
	const pendingPrefill = 30_000 // 0.6 s of prefill
	err := runUnderLoad(t, pendingPrefill, 1, nil)
	if !errkind.Is(err, errkind.Overloaded) {
		t.Fatalf("a less urgent request: %v", err)
	}
	if after := errkind.From(err).Retry(); after < 500*time.Millisecond || after > 700*time.Millisecond {
		t.Errorf("Retry-After of %v, but 600 ms of prefill are pending", after)
	}
	if err := runUnderLoad(t, pendingPrefill, 0, nil); err != nil {
		t.Errorf("an urgent request: %v", err)
	}
	if err := runUnderLoad(t, pendingPrefill/2, 1, nil); err != nil {
		t.Errorf("a less urgent request behind half the pending prefill: %v", err)
	}
	if err := runUnderLoad(t, pendingPrefill, 1, mechanism.Off{mechanism.UrgentRefusal: true}); err != nil {
		t.Errorf("with urgent-refusal disabled: %v", err)
	}
}

// TestRequestExpectedTooLateIsRejected: after more than three latency targets most callers have
// left before the first event.
func TestRequestExpectedTooLateIsRejected(t *testing.T) {
	const pendingPrefill = 150_000 // 3 s of prefill
	if err := runUnderLoad(t, pendingPrefill, 0, nil); !errkind.Is(err, errkind.Overloaded) || errkind.From(err).Retry() <= 0 {
		t.Errorf("first event expected after 3 s, with a target of 0.8 s: %v", err)
	}
}
