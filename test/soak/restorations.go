package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/store"
)

const (
	// restorationSeeds is the first of the seeds, below and above fleetSeeds, in which the store is
	// away for a moment and comes back from a copy some seconds old.
	restorationSeeds = 9500
	// maxCopies is the number of copies that are kept, one each heartbeat of the servers.
	maxCopies = 12
	// maxAway is the longest time for which the store is away.
	maxAway = 1500 * time.Millisecond
	// writeAgainDelay is how long after the restoration operators write their lost records again.
	// The entries of servers that are gone are removed again after entryTimeout.
	writeAgainDelay = 300 * time.Millisecond
	entryTimeout    = 3 * heartbeat
)

func hasRestorations(seed uint64) bool {
	return seed%fleetSeeds >= restorationSeeds && hasSharedFaults(seed)
}

// withRestorations adds restorations of the store.
func withRestorations(series []fault, rng *rand.Rand, length time.Duration) []fault {
	for at := time.Duration(rng.Int64N(int64(4 * meanGap))); at < length; at += time.Duration(rng.Int64N(int64(12*meanGap))) + maxAway {
		age, away := rng.IntN(maxCopies), time.Duration(rng.Int64N(int64(maxAway)))
		series = append(series, fault{
			at: at, name: fmt.Sprintf("the store is away for %v and comes back from copy %d", away, age),
			do: func(fx *fixture) { fx.restoreStore(age, away) },
		})
	}
	slices.SortStableFunc(series, func(a, b fault) int { return int(a.at - b.at) })
	return series
}

// storeCopies holds recent copies of the store. It is safe for concurrent use.
type storeCopies struct {
	mu   sync.Mutex
	list []store.Copy
	// restoring is held during a restoration.
	restoring sync.Mutex
}

func (c *storeCopies) add(s store.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, s)
	c.list = c.list[max(0, len(c.list)-maxCopies):]
}

// before returns the copy that is followed by the given number of newer ones, or the oldest.
func (c *storeCopies) before(newer int) store.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list[max(0, len(c.list)-1-newer)]
}

// restoreStore restores the store from a copy. Operators and servers write again what is lost.
func (fx *fixture) restoreStore(newer int, away time.Duration) {
	fx.copies.restoring.Lock()
	defer fx.copies.restoring.Unlock()
	end := fx.faults.begin("store", nil, false)
	copied := fx.copies.before(newer)
	fx.store.SetMode(store.Down)
	time.Sleep(away)
	operators, servers := fx.store.RestoreAndReport(copied, platform.OperatorTopic, platform.ReplicaTopic)
	fx.store.SetMode(store.Up)
	end()
	time.Sleep(writeAgainDelay)
	fx.store.WriteAgain(operators)
	time.Sleep(entryTimeout - writeAgainDelay)
	fx.store.WriteAgain(servers)
}
