package rollout

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/platform"
)

// rolloutHost is a host that may take the lease and roll out weights.
type rolloutHost struct {
	lease  *Lease
	loader *Loader
}

// rolloutFleet is one host's view of a fleet, and its calls to the replicas.
type rolloutFleet interface {
	Engine
	Replicas
}

// newRolloutHost returns a host that follows the lease's log until the test ends.
func newRolloutHost(t *testing.T, name string, incarnation uint64, log *fakeLog, fleet rolloutFleet) rolloutHost {
	lease := NewLease(&logClient{log: log}, quietLog(), name, incarnation, testTTL)
	go lease.Follow(t.Context())
	return rolloutHost{lease, NewLoader(lease, fleet, fleet, quietLog(), name, platform.LoadQueue, 2)}
}

// runAlone lets this host alone roll out a version and returns how long that took, or a
// minute.
func (h rolloutHost) runAlone(fleet *fakeFleet, version int64) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.loader.Run(ctx) })
	fleet.set(func() { fleet.wanted = version })
	began := time.Now()
	for fleet.outdatedCount() > 0 && time.Since(began) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	cancel()
	wg.Wait()
	return took
}

// TestRolloutAfterOrdersOfAnotherHost checks that a rollout takes no longer if another host
// has rolled out the version before it. The host's recorded counts of orders were then
// outdated, every order was rejected, and the host waited 4 s for each replica as if the order
// might still take effect: some replicas had outdated weights for four times as long as a
// rollout takes.
func TestRolloutAfterOrdersOfAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		fleet := newFakeFleet(12)
		first := newRolloutHost(t, "a", 1, log, fleet)
		second := newRolloutHost(t, "b", 2, log, fleet)
		baseline := first.runAlone(fleet, 2)
		time.Sleep(2 * testTTL)
		second.runAlone(fleet, 3)
		time.Sleep(2 * testTTL)
		if took := first.runAlone(fleet, 4); took > baseline*5/4 {
			t.Errorf("the rollout took %v, but %v before another host sent orders", took, baseline)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestVoidOrderIsSentAgain checks that a new order is sent at once if the last one got no
// answer and can no longer take effect: the replica has accepted another one since, which
// loaded older weights.
func TestVoidOrderIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(1)
		host := newRolloutHost(t, "a", 1, newFakeLog(), fleet)
		host.loader.setOrderSequence("i-0", 0)
		fleet.set(func() {
			fleet.fault = "lost"
			fleet.actual["i-0"].sequence = 1
		})
		time.AfterFunc(500*time.Millisecond, func() { fleet.set(func() { fleet.fault = "" }) })
		if took := host.runAlone(fleet, 2); took > 2*time.Second {
			t.Errorf("loaded after %v", took)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestLeaseOfALostHolderIsTakenInOrder checks that hosts try to take the lease one after the
// other if its holder is lost while replicas have outdated weights. Every host that follows
// the lease needs it when it ends; if all tried at once, all but one would cost the store a
// rejected append.
func TestLeaseOfALostHolderIsTakenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		fleet := newFakeFleet(12)
		ctx, cancel := context.WithCancel(t.Context())
		holderCtx, stopHolder := context.WithCancel(ctx)
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
		stopHolder()
		time.Sleep(15 * time.Second)
		if outdated := fleet.outdatedCount(); outdated > 0 {
			t.Errorf("%d of 12 replicas have outdated weights", outdated)
		}
		if refused := log.refusedAppends(); refused > 1 {
			t.Errorf("%d appends to the lease's log were refused", refused)
		}
		cancel()
		wg.Wait()
		time.Sleep(10 * time.Second)
	})
}
