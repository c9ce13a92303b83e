package bandwidth

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentSendersDoNotHoldUpOthers: a replica that has just started keeps the call waiting;
// the histories behind it must not wait as long.
func TestSilentSendersDoNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(10)
		began := time.Now()
		for range 10 {
			defer b.Begin(t.Context())()
		}
		if took := time.Since(began); took < answerWait || took > 10*answerWait {
			t.Errorf("ten silent reads began within %v", took)
		}
	})
}

// TestBytesOfAllReadsAreSpent: reads larger than the budget are paid for by those after them.
func TestBytesOfAllReadsAreSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(24)
		b.Spend(4 << 20)
		began := time.Now()
		b.Wait(t.Context())
		if took := time.Since(began); took < 4*time.Second || took > 5*time.Second || b.Spent() != 4<<20 {
			t.Errorf("%d bytes are paid for after %v, want a megabyte a second", b.Spent(), took)
		}
	})
}

// TestBudgetIsLeftAtTheEnd: a host that stops to route gives up reads that wait, and what they
// held.
func TestBudgetIsLeftAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(1)
		b.Spend(10 << 20)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		b.Begin(ctx)()
		if !b.reads.TryAcquire(1) {
			t.Error("a read that was given up is still counted")
		}
	})
}

// TestLinkOfUnknownSpeedIsNotBounded as it was before hosts were told of theirs.
func TestLinkOfUnknownSpeedIsNotBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(0)
		began := time.Now()
		for range 1000 {
			defer b.Begin(t.Context())()
			b.Spend(1 << 20)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("reads waited %v", took)
		}
	})
}
