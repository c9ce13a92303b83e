package replica

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// requestsAt returns the number of requests of all hosts at a server, as a routing decision counts them.
func requestsAt(t *Table, id string, now time.Time) int32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totalLoad(t.entries[id], now).requests
}

// TestStandbyHostCountsAllLoadsOnce guards against standby hosts that send requests to the busiest servers, as they
// know their own load only, and against counting that load twice, or the same sum from two relays.
func TestStandbyHostCountsAllLoadsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, other, standby := newTestTable("x", "y"), newTestTable("x", "y"), newTestTable("x", "y")
	begin := func(host *Table, server string, n int) {
		for range n {
			host.Begin(server, Work{Prefill: 100}, now)
		}
	}
	begin(relay, "x", 2)
	begin(other, "x", 3)
	begin(standby, "x", 1)
	begin(standby, "y", 4)
	for _, r := range []*Table{relay, other} {
		r.SetLoads("standby", standby.Loads(now), now)
	}
	relay.SetLoads("other", other.Loads(now), now)
	other.SetLoads("relay", relay.Loads(now), now)
	if got := fmt.Sprint(relay.HostsWithRequests()); got != "[other standby]" {
		t.Errorf("hosts with requests: %s", got)
	}
	for _, r := range []*Table{relay, other, relay} {
		standby.SetTotalLoads(r.TotalLoads(now), now)
		if x, y := requestsAt(standby, "x", now), requestsAt(standby, "y", now); x != 6 || y != 4 {
			t.Fatalf("the standby host counts %d and %d requests, want 6 and 4", x, y)
		}
	}
	// A host that reports to the standby host directly is not counted a second time.
	standby.SetLoads("other", other.Loads(now), now)
	standby.SetTotalLoads(relay.TotalLoads(now), now)
	if x := requestsAt(standby, "x", now); x != 6 {
		t.Errorf("the standby host counts %d requests, want 6", x)
	}
	standby.DropTotalLoads()
	if x := requestsAt(standby, "x", now); x != 4 {
		t.Errorf("as a routing host it counts %d requests, want its own and 3 of the other host", x)
	}
}

// TestTotalLoadsExpireWithTheRelay guards against a standby host that avoids servers because of loads reported by a
// relay that was lost long ago.
func TestTotalLoadsExpireWithTheRelay(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable("x")
	table.SetTotalLoads([]*pb.ReplicaLoad{{Replica: "x", Requests: 5}}, now)
	table.DropLoads("relay")
	table.ExpireLoads(now.Add(loadTimeout - time.Millisecond))
	if got := requestsAt(table, "x", now); got != 5 {
		t.Errorf("%d requests before the sum expires, want 5", got)
	}
	table.ExpireLoads(now.Add(loadTimeout))
	if got := requestsAt(table, "x", now); got != 0 {
		t.Errorf("%d requests after 2.5 s, want 0", got)
	}
}

// TestTotalLoadsNameTheMostLoadedServers guards against heartbeats that grow with the number of servers, and against
// sums below zero where the own load has grown since the relay last heard of it.
func TestTotalLoadsNameTheMostLoadedServers(t *testing.T) {
	now := time.Unix(1000, 0)
	relay, standby := newTestTable(), newTestTable("s-99")
	var loads []*pb.ReplicaLoad
	for i := range 100 {
		loads = append(loads, &pb.ReplicaLoad{Replica: fmt.Sprint("s-", i), Requests: int32(i)})
	}
	relay.SetLoads("other", loads, now)
	totals := relay.TotalLoads(now)
	if len(totals) != maxTotalLoads || totals[0].Replica != "s-99" || totals[maxTotalLoads-1].Requests != 100-maxTotalLoads {
		t.Errorf("%d servers are reported, from %v on", len(totals), totals[0])
	}
	for range 120 {
		standby.Begin("s-99", Work{}, now)
	}
	standby.SetTotalLoads(totals, now)
	if got := requestsAt(standby, "s-99", now); got != 120 {
		t.Errorf("%d requests are counted, want the own 120", got)
	}
}
