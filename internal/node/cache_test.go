package node

import (
	"fmt"
	"testing"
)

// TestReadersOfCacheEvents: a holder has as many as it serves, and where there
// are more hosts they share the holders evenly.
func TestReadersOfCacheEvents(t *testing.T) {
	const holders = 400
	for _, c := range []struct{ hosts, readers int }{{9, 12}, {8, 8}, {10, 8}, {64, 8}} {
		followed := make([]int, c.hosts)
		for i := range holders {
			n := 0
			for rank := range c.hosts {
				if follows(rank, c.hosts, fmt.Sprintf("i-%d", i), c.readers) {
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
