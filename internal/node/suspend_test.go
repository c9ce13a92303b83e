package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
)

// TestBeliefsAgeWhileTheMachineIsSuspended: a host that wakes knows that its configuration,
// and the time since newer weights were wanted, are older than the monotonic clock says. It
// denies nobody for a key that may be new, and sends nothing to weights whose time is over.
func TestBeliefsAgeWhileTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, suspended := time.Now(), time.Duration(0)
		defer clock.Replace(func() time.Duration { return time.Since(began) + suspended })()
		n := idle(t, "a")
		n.holding("i-1", 1)
		n.operators.Read(clock.Now())
		n.replicas.Want("m", 2, clock.Now())
		const long = 6 * time.Second
		suspended = long
		time.Sleep(30 * time.Millisecond)
		if age := n.view().Age; age < long {
			t.Errorf("the configuration's age is %v", age)
		}
		for _, r := range n.replicas.Snapshot("writer", "m", 0, clock.Now()) {
			if r.Behind < long {
				t.Errorf("newer weights have been wanted for %v", r.Behind)
			}
		}
	})
}
