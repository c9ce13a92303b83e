package replica

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// maxTotalLoads is the maximum number of servers whose total load one heartbeat reports: at some 20
// bytes each they fit into two datagrams.
const maxTotalLoads = 64

// relayed is the name under which the loads of hosts that do not report to this one are recorded, as
// the sum that a relay reports. No host has an empty ID.
const relayed = ""

// HostsWithRequests returns the IDs of the other hosts that reported requests in flight.
func (t *Table) HostsWithRequests() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for host, servers := range t.otherLoads.byHost {
		if host != relayed && len(servers) > 0 {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// TotalLoads returns the loads of all hosts at the most loaded servers.
func (t *Table) TotalLoads(now time.Time) []*pb.ReplicaLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	type server struct {
		id       string
		requests int32
		prefill  int32
	}
	servers := make([]server, 0, len(t.otherLoads.sums)+len(t.active))
	for id, sum := range t.otherLoads.sums {
		if t.active[id] == nil {
			servers = append(servers, server{id, sum.Requests, sum.PrefillTokens})
		}
	}
	for id, e := range t.active {
		if l := t.totalLoad(e, now); t.otherLoads.sums[id] != nil || l.requests > 0 {
			servers = append(servers, server{id, l.requests, l.prefill})
		}
	}
	slices.SortFunc(servers, func(a, b server) int {
		return cmp.Or(cmp.Compare(b.requests, a.requests), cmp.Compare(b.prefill, a.prefill), cmp.Compare(a.id, b.id))
	})
	var out []*pb.ReplicaLoad
	for _, s := range servers[:min(len(servers), maxTotalLoads)] {
		total := &pb.ReplicaLoad{Replica: s.id}
		if sum := t.otherLoads.sums[s.id]; sum != nil {
			addLoad(total, sum, 1)
		}
		if e := t.active[s.id]; e != nil {
			addLoad(total, t.ownReport(e, now), 1)
		}
		out = append(out, total)
	}
	return out
}

// SetTotalLoads records the loads of all hosts at some servers, as a relay reports them. What this host
// and those that report to it contribute is subtracted when the report arrives: it was sent shortly
// before, and later the own load may be another one. The newest report counts, from whichever relay; it
// expires like other loads.
func (t *Table) SetTotalLoads(totals []*pb.ReplicaLoad, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var others []*pb.ReplicaLoad
	for _, total := range totals {
		t.otherLoads.drop(relayed, total.Replica)
		rest := &pb.ReplicaLoad{Replica: total.Replica}
		addLoad(rest, total, 1)
		if sum := t.otherLoads.sums[total.Replica]; sum != nil {
			addLoad(rest, sum, -1)
		}
		if e := t.entries[total.Replica]; e != nil {
			addLoad(rest, t.ownReport(e, now), -1)
		}
		for _, v := range []*int32{&rest.Requests, &rest.PrefillTokens, &rest.MemoryTokens, &rest.Waiting, &rest.Ended, &rest.Failed} {
			*v = max(0, *v)
		}
		others = append(others, rest)
	}
	t.otherLoads.set(relayed, others, now)
}

// DropTotalLoads drops what relays reported: this host now receives the loads of each host.
func (t *Table) DropTotalLoads() { t.DropLoads(relayed) }
