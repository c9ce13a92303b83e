package rollout

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
)

// TestHolderThatWasSuspendedGivesNoOrders guards against orders under a lease that ended while
// the machine was suspended. The monotonic clock stops with the machine: by it the lease had
// most of its time left, while another host had long taken it over.
func TestHolderThatWasSuspendedGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, suspended := time.Now(), time.Duration(0)
		defer clock.Replace(func() time.Duration { return time.Since(began) + suspended })()
		ctx, cancel := context.WithCancel(context.Background())
		lease := NewLease(&logClient{log: newFakeLog()}, quietLog(), "a", 1, testTTL)
		var wg sync.WaitGroup
		wg.Go(func() { lease.Follow(ctx) })
		synctest.Wait()
		if !lease.Try(ctx) {
			t.Fatal("a free lease was not granted")
		}
		suspended = 2 * testTTL
		time.Sleep(50 * time.Millisecond)
		if lease.Valid() {
			t.Error("orders may be given under a lease that ended while the machine was suspended")
		}
		cancel()
		wg.Wait()
	})
}
