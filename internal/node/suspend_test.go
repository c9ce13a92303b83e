package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
)

// TestAgesIncludeMachineSuspension checks that after a suspension of the machine a host knows
// that its configuration, and the time since newer weights were wanted, are older than the
// monotonic clock says. It must not deny a key that may be new, nor send requests to weights
// whose deadline has passed.
func TestAgesIncludeMachineSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, suspended := time.Now(), time.Duration(0)
		defer clock.Replace(func() time.Duration { return time.Since(began) + suspended })()
		n := newIdleNode(t, "a")
		n.registerReplica("i-1", 1)
		n.operators.NoteRead(clock.Now())
		n.replicas.Want("m", 2, clock.Now())
		const suspension = 6 * time.Second
		suspended = suspension
		time.Sleep(30 * time.Millisecond)
		if age := n.entryView().Age; age < suspension {
			t.Errorf("the configuration's age is %v", age)
		}
		for _, r := range n.replicas.Snapshot("writer", "m", 0, clock.Now()) {
			if r.OutdatedFor < suspension {
				t.Errorf("newer weights have been wanted for %v", r.OutdatedFor)
			}
		}
	})
}
