package rollout

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/platform"
)

// rolloutHost is a host that may take the lease and roll weights out.
type rolloutHost struct {
	lease  *Lease
	loader *Loader
}

// rolloutFleet is what a host sees of a fleet, and how it reaches it.
type rolloutFleet interface {
	Engine
	Replicas
}

// newRolloutHost returns a host that follows the lease's log until the test ends.
func newRolloutHost(t *testing.T, name string, incarnation uint64, log *fakeLog, fleet rolloutFleet) rolloutHost {
	lease := NewLease(&view{log: log}, quietLog(), name, incarnation, testTTL)
	go lease.Follow(t.Context())
	return rolloutHost{lease, NewLoader(lease, fleet, fleet, quietLog(), name, platform.LoadQueue, 2)}
}

// rollOut lets a host alone bring the fleet to a version and returns how long that took.
func (h rolloutHost) rollOut(fleet *fakeFleet, version int64) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.loader.Run(ctx) })
	fleet.set(func() { fleet.wanted = version })
	began := time.Now()
	for fleet.behind() > 0 && time.Since(began) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	cancel()
	wg.Wait()
	return took
}

// TestLeaseThatComesBackFindsOrdersOfAnotherHost: some replicas lacked a version four times
// as long as a rollout takes. The host that rolled it out had rolled out the version before
// the last, and another one that in between. Every order named an old count and was turned
// down; the host then waited 4 s for each replica, as if the order might yet be carried out.
// The third rollout is to take no longer than the first.
func TestLeaseThatComesBackFindsOrdersOfAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		fleet := newFakeFleet(12)
		first := newRolloutHost(t, "a", 1, log, fleet)
		second := newRolloutHost(t, "b", 2, log, fleet)
		usual := first.rollOut(fleet, 2)
		time.Sleep(2 * testTTL)
		second.rollOut(fleet, 3)
		time.Sleep(2 * testTTL)
		if took := first.rollOut(fleet, 4); took > usual*5/4 {
			t.Errorf("the rollout took %v, %v before another host gave orders", took, usual)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestOrderThatCannotHoldAnyMoreIsGivenAgain: an order got no answer, and the replica has
// accepted another one since, which loaded older weights. The first order's condition
// cannot come true again; nothing is left to wait for.
func TestOrderThatCannotHoldAnyMoreIsGivenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(1)
		host := newRolloutHost(t, "a", 1, newFakeLog(), fleet)
		host.loader.setSequence("i-0", 0)
		fleet.set(func() {
			fleet.fault = "lost"
			fleet.actual["i-0"].sequence = 1
		})
		time.AfterFunc(500*time.Millisecond, func() { fleet.set(func() { fleet.fault = "" }) })
		if took := host.rollOut(fleet, 2); took > 2*time.Second {
			t.Errorf("loaded after %v", took)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestLeaseOfALostHolderIsTakenInOrder: replicas lack weights when the holder is lost, so
// that every host that follows the lease wants it at the moment at which it ends. They try
// one after the other; all at once they would cost the store a refused call each.
func TestLeaseOfALostHolderIsTakenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		fleet := newFakeFleet(12)
		ctx, cancel := context.WithCancel(t.Context())
		holderCtx, lose := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for rank := range 8 {
			host := newRolloutHost(t, string(rune('a'+rank)), uint64(rank+1), log, fleet)
			host.loader.Rank = func() int { return rank }
			run := ctx
			if rank == 0 {
				run = holderCtx
			}
			wg.Go(func() { host.loader.Run(run) })
		}
		fleet.set(func() { fleet.wanted = 2 })
		time.Sleep(time.Second)
		lose()
		time.Sleep(15 * time.Second)
		if left := fleet.behind(); left > 0 {
			t.Errorf("%d of 12 replicas lack the weights", left)
		}
		if refused := log.refused(); refused > 1 {
			t.Errorf("%d appends to the lease's log were refused", refused)
		}
		cancel()
		wg.Wait()
		time.Sleep(10 * time.Second)
	})
}
