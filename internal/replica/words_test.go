package replica

import (
	"testing"
	"time"

	"github.com/briarlink/briarlink/platform"
)

var leaves = platform.ReplicaAnswer{Leaving: true}

// takes reports whether requests may go to server a, and orders.
func takes(t *testing.T, table *Table) (requests, orders bool) {
	t.Helper()
	now := time.Now()
	snapshot := table.Snapshot(testService, testModel, 1000, now)
	if len(snapshot) != 1 {
		t.Fatalf("%d servers", len(snapshot))
	}
	flight := table.Begin("a", Work{}, now)
	if flight != nil {
		flight.End(Cancelled, now)
	}
	if snapshot[0].Usable != (flight != nil) {
		t.Errorf("usable: %v, takes requests: %v", snapshot[0].Usable, flight != nil)
	}
	return snapshot[0].Usable, len(table.Servers(now)) == 1
}

// TestServersOwnWordThatItLeavesHolds from the answer on, whatever its entry says: the store
// may take minutes to say the same. A later start of the ID is another server.
func TestServersOwnWordThatItLeavesHolds(t *testing.T) {
	table := NewTable(quietLog(), func(string, string) {})
	table.Register(startOf(1000, 1), 0)
	earlier := table.Begin("a", Work{}, time.Now())
	flight := table.Begin("a", Work{}, time.Now())
	flight.Told(platform.ReplicaAnswer{})
	if requests, orders := takes(t, table); !requests || !orders {
		t.Error("taken for leaving without a word")
	}
	flight.Told(leaves)
	table.Register(startOf(1000, 1), 1)
	if requests, orders := takes(t, table); requests || orders {
		t.Errorf("after its word: requests %v, orders %v", requests, orders)
	}
	table.Register(startOf(2000, 1), 2)
	earlier.Told(leaves)
	if requests, orders := takes(t, table); !requests || !orders {
		t.Error("a later start is taken for leaving at the word of the one before")
	}
}

// TestWhoseWordItIs: an answer may come from another server at the same address, or have
// been asked of the start before.
func TestWhoseWordItIs(t *testing.T) {
	table := NewTable(quietLog(), func(string, string) {})
	before := time.Now()
	table.Register(startOf(1000, 1), 0)
	other := leaves
	other.Instance = "b"
	table.Begin("a", Work{}, time.Now()).Told(other)
	table.ToldAt(crashAddress, leaves, before)
	table.ToldAt("10.0.0.9:1", leaves, time.Now())
	table.ToldAt(crashAddress, platform.ReplicaAnswer{}, time.Now())
	if requests, _ := takes(t, table); !requests {
		t.Error("taken for leaving at another one's word")
	}
	own := leaves
	own.Instance = "a"
	table.ToldAt(crashAddress, own, time.Now())
	if requests, _ := takes(t, table); requests {
		t.Error("its word in an answer to another call than a request was not heard")
	}
}
