package bandwidth

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestUnansweredReadsDoNotBlockOthers: a replica that has just started holds the call for its
// events open. The reads that wait behind it must not wait until that call ends.
func TestUnansweredReadsDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(10)
		began := time.Now()
		for range 10 {
			defer b.Begin(t.Context())()
		}
		if took := time.Since(began); took < unansweredTimeout || took > 10*unansweredTimeout {
			t.Errorf("ten unanswered reads started within %v", took)
		}
	})
}

// TestLargeReadsDelayLaterOnes: a read larger than the budget makes the reads after it wait.
func TestLargeReadsDelayLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(24)
		b.Spend(4 << 20)
		began := time.Now()
		b.Wait(t.Context())
		if took := time.Since(began); took < 4*time.Second || took > 5*time.Second || b.Spent() != 4<<20 {
			t.Errorf("%d bytes took %v, want a megabyte a second", b.Spent(), took)
		}
	})
}

// TestCancelledReadReleasesItsSlot: a host that stops routing cancels the reads that wait for the
// budget, which must release their slots.
func TestCancelledReadReleasesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(1)
		b.Spend(10 << 20)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		b.Begin(ctx)()
		if !b.readSlots.TryAcquire(1) {
			t.Error("a cancelled read still holds its slot")
		}
	})
}

// TestLinkOfUnknownSpeedIsNotBounded: a host whose link speed is unknown reads without limits.
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
