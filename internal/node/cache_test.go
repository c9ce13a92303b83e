package node

import (
	"fmt"
	"testing"

	"github.com/briarlink/briarlink/internal/cachesync"
)

// TestReadersOfCacheEvents checks that a holder gets as many readers as it serves, and that
// hosts share the holders evenly if there are more hosts than readers.
func TestReadersOfCacheEvents(t *testing.T) {
	const holders = 400
	for _, c := range []struct{ hosts, readers int }{{9, 12}, {8, 8}, {10, 8}, {64, 8}} {
		followed := make([]int, c.hosts)
		for i := range holders {
			n := 0
			for rank := range c.hosts {
				if shouldFollow(rank, c.hosts, fmt.Sprintf("i-%d", i), c.readers) {
					followed[rank]++
					n++
				}
			}
			if n != min(c.hosts, c.readers) {
				t.Fatalf("%d hosts follow a holder of %d readers", n, c.readers)
			}
		}
		mean := holders * min(c.hosts, c.readers) / c.hosts
		for rank, n := range followed {
			if n < mean/2 || n > mean*3/2 {
				t.Errorf("%d hosts: rank %d follows %d of %d holders, mean %d", c.hosts, rank, n, holders, mean)
			}
		}
	}
}

// TestFollowedHoldersAreBounded guards against the number of followed replicas growing with the
// fleet. With 9,560 replicas each of 60 hosts followed 1,275 of them and read each every 42 s, each
// time over a new connection: nearly ten connections per request. A host now follows a limited
// number, those that hold most tokens.
func TestFollowedHoldersAreBounded(t *testing.T) {
	for _, n := range []int{400, 1600} {
		var holders []cachesync.Holder
		for i := range n {
			holders = append(holders, cachesync.Holder{Name: fmt.Sprintf("i-%04d", i)})
		}
		held := map[string]int{}
		tokens := func(name string) int { return held[name] }
		noneFollowed := func(cachesync.Holder) bool { return false }
		if got := selectHolders(holders, tokens, noneFollowed); len(got) != 0 {
			t.Errorf("%d of %d replicas with empty caches are followed", len(got), n)
		}
		for i, h := range holders[:n/2] {
			held[h.Name] = minFollowedTokens + i
		}
		first := selectHolders(holders, tokens, noneFollowed)
		if len(first) != maxFollowed || held[first[0].Name] != minFollowedTokens+n/2-1 {
			t.Errorf("%d of %d replicas are followed, the first with %d tokens", len(first), n, held[first[0].Name])
		}
		lowest := first[maxFollowed-1]
		for _, h := range holders[n/2:] {
			held[h.Name] = 100 * minFollowedTokens
		}
		selected := selectHolders(holders, tokens, func(h cachesync.Holder) bool { return h == lowest })
		if selected[0] != lowest {
			t.Errorf("a followed replica that still holds %d tokens was dropped for others", held[lowest.Name])
		}
	}
}
