package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspensionsCount: the monotonic clock stands still while the machine is suspended,
// and Now does not. Small differences between the two clocks count for nothing.
func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, suspended := time.Now(), time.Duration(0)
		defer Replace(func() time.Duration { return time.Hour + time.Since(began) + suspended })()
		before := Now()
		for _, step := range []struct{ passes, suspended, want time.Duration }{
			{lookEvery, 0, lookEvery},
			{lookEvery, leastSuspended / 2, 2 * lookEvery},
			{lookEvery, 3 * time.Second, 3*lookEvery + 3*time.Second + leastSuspended/2},
			{time.Second, 5 * time.Second, time.Second + 3*lookEvery + 8*time.Second + leastSuspended/2},
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

// TestTimeRunsOnWithoutSuspensions on the clocks of this machine.
func TestTimeRunsOnWithoutSuspensions(t *testing.T) {
	before, real := Now(), time.Now()
	for range 10 {
		time.Sleep(lookEvery)
		if gap := Since(before) - time.Since(real); gap.Abs() > leastSuspended {
			t.Fatalf("%v apart from the monotonic clock", gap)
		}
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
