package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitsEndWithTheirContext: Sleep waits for its duration, but not beyond the end of its
// context, and Every makes no call after the end of its context.
func TestWaitsEndWithTheirContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began := time.Now()
		Sleep(ctx, time.Second)
		if slept := time.Since(began); slept != time.Second {
			t.Errorf("slept for %v, want 1s", slept)
		}
		calls := 0
		Every(ctx, time.Second, func() { calls++ })
		Sleep(ctx, time.Minute)
		if took := time.Since(began); calls != 3 || took != 3500*time.Millisecond {
			t.Errorf("%d calls in %v, want 3 in 3.5s", calls, took)
		}
	})
}
