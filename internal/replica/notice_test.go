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
	flight.Told(platform.ReplicaAnswer{}, time.Now())
	if requests, orders := takes(t, table); !requests || !orders {
		t.Error("taken for leaving without a word")
	}
	flight.Told(leaves, time.Now())
	table.Register(startOf(1000, 1), 1)
	if requests, orders := takes(t, table); requests || orders {
		t.Errorf("after its word: requests %v, orders %v", requests, orders)
	}
	table.Register(startOf(2000, 1), 2)
	earlier.Told(leaves, time.Now())
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
	table.Begin("a", Work{}, time.Now()).Told(other, time.Now())
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

// TestBackoff: a server gets no requests until its backoff is over, nor orders, unless newer
// weights have been wanted of it for long. The longest backoff that it asked for holds.
func TestBackoff(t *testing.T) {
	table := NewTable(quietLog(), func(string, string) {})
	table.Register(startOf(1000, 1), 0)
	now := time.Now()
	table.Begin("a", Work{}, now).Told(platform.ReplicaAnswer{RetryAfter: 5 * time.Second}, now)
	table.Begin("a", Work{}, now).Told(platform.ReplicaAnswer{RetryAfter: time.Second}, now)
	table.Begin("a", Work{}, now).Told(platform.ReplicaAnswer{}, now)
	for after, want := range map[time.Duration]time.Duration{0: 5 * time.Second, 4 * time.Second: time.Second, 5 * time.Second: 0, time.Minute: 0} {
		at := now.Add(after)
		if got := table.Snapshot(testService, testModel, 1000, at)[0].Backoff; got != want || table.Backoff("a", at) != want {
			t.Errorf("after %v: %v left, want %v", after, got, want)
		}
		if orders := len(table.Servers(at)) == 1; orders != (want == 0) {
			t.Errorf("after %v: takes orders: %v", after, orders)
		}
	}
	table.Want(testModel, 2, now)
	for after, want := range map[time.Duration]int{backoffYields - time.Millisecond: 0, backoffYields: 1} {
		if got := len(table.Lagging(now.Add(after))); got != want {
			t.Errorf("%v after newer weights were named: %d servers to be ordered, want %d", after, got, want)
		}
	}
	table.Register(startOf(2000, 1), 1)
	if table.Backoff("a", now) != 0 || table.Backoff("gone", now) != 0 {
		t.Error("the backoff of an earlier start holds")
	}
}
