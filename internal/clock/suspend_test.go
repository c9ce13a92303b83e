package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspensionsCount: the monotonic clock stops while the machine is suspended, and Now
// continues. Differences between the two clocks below minSuspension are ignored.
func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, suspended := time.Now(), time.Duration(0)
		defer Replace(func() time.Duration { return time.Hour + time.Since(began) + suspended })()
		before := Now()
		for _, step := range []struct{ passes, suspended, want time.Duration }{
			{checkInterval, 0, checkInterval},
			{checkInterval, minSuspension / 2, 2 * checkInterval},
			{checkInterval, 3 * time.Second, 3*checkInterval + 3*time.Second + minSuspension/2},
			{time.Second, 5 * time.Second, time.Second + 3*checkInterval + 8*time.Second + minSuspension/2},
		} {
			suspended += step.suspended
			time.Sleep(step.passes)
			if got := Since(before); got != step.want {
				t.Errorf("after %v and a suspension of %v: %v, want %v", step.passes, step.suspended, got, step.want)
			}
			if left := Until(before.Add(time.Minute)); left != time.Minute-step.want {
				t.Errorf("left %v, want %v", left, time.Minute-step.want)
			}
		}
	})
}

// TestNowFollowsTheMonotonicClock: without suspensions, Now runs like the monotonic clock. It
// uses the real clocks of the machine.
func TestNowFollowsTheMonotonicClock(t *testing.T) {
	before, real := Now(), time.Now()
	for range 10 {
		time.Sleep(checkInterval)
		if difference := Since(before) - time.Since(real); difference.Abs() > minSuspension {
			t.Fatalf("%v apart from the monotonic clock", difference)
		}
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
