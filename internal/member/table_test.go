package member

import (
	"strings"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const testDeadAfter = time.Second

func newTestTable(id string) *Table {
	return NewTable(&pb.Heartbeat{Host: id, PeerAddress: id + ":1", CallerAddress: id}, testDeadAfter)
}

func newHeartbeat(host string, incarnation, sequence uint64) *pb.Heartbeat {
	return &pb.Heartbeat{Host: host, Incarnation: incarnation, Sequence: sequence, Ready: true, CallerAddress: host, PeerAddress: host + ":1"}
}

func servingOf(t *Table, now time.Time) string {
	var out []string
	for _, b := range t.View(now).Serving {
		out = append(out, b.Host)
	}
	return strings.Join(out, ",")
}

func TestOnlyLiveReadyHostsServe(t *testing.T) {
	table := newTestTable("self")
	now := time.Now()
	table.ApplyHeartbeat(newHeartbeat("b", 1, 1), now.Add(-testDeadAfter))
	table.View(now.Add(-testDeadAfter))
	table.ApplyHeartbeat(newHeartbeat("a", 1, 1), now)
	leaving := newHeartbeat("c", 1, 1)
	leaving.Leaving = true
	table.ApplyHeartbeat(leaving, now)
	starting := newHeartbeat("d", 1, 1)
	starting.Ready = false
	table.ApplyHeartbeat(starting, now)
	if got := servingOf(table, now); got != "a" {
		t.Errorf("serving %q, want a", got)
	}
	if died := table.Expire(now); len(died) != 1 || died[0] != "b" {
		t.Errorf("died: %v", died)
	}
	if died := table.Expire(now); len(died) != 0 {
		t.Errorf("died twice: %v", died)
	}
}

// TestOldHeartbeatsChangeNothing covers datagrams that arrive late or twice, and relayed
// states that are older than the recorded ones.
func TestOldHeartbeatsChangeNothing(t *testing.T) {
	table := newTestTable("self")
	now := time.Now()
	table.ApplyHeartbeat(newHeartbeat("a", 1, 5), now)
	late := newHeartbeat("a", 1, 4)
	late.Ready = false
	if _, newer := table.ApplyHeartbeat(late, now); newer || servingOf(table, now) != "a" {
		t.Error("an older heartbeat was applied")
	}
	relayed := newHeartbeat("b", 1, 1)
	relayed.Members = []*pb.MemberState{{Host: "a", Incarnation: 9, Sequence: 99, AgeMs: 500, PeerAddress: "a:1"}}
	table.ApplyHeartbeat(relayed, now)
	if got := servingOf(table, now); got != "a,b" && got != "b,a" {
		t.Errorf("serving %q after an older relayed state", got)
	}
	if _, newer := table.ApplyHeartbeat(newHeartbeat("a", 2, 1), now); !newer {
		t.Error("the heartbeat of a new incarnation was not applied")
	}
}

// TestRelayedStandbyHostsStayAlive checks timeouts of hosts that are only seen through a
// relay. A standby host whose state is relayed rarely must stay alive, whereas a routing
// host that is no longer relayed must soon be declared dead.
func TestRelayedStandbyHostsStayAlive(t *testing.T) {
	table := newTestTable("self")
	now := time.Now()
	relay := func() *pb.Heartbeat {
		b := newHeartbeat("relay", 1, uint64(now.UnixNano()))
		b.Routing, b.Cores = true, 0.8
		return b
	}
	b := relay()
	b.Members = []*pb.MemberState{
		{Host: "standby", Incarnation: 1, Sequence: 1, Ready: true, PeerAddress: "standby:1", Cores: 0.2},
		{Host: "routing", Incarnation: 1, Sequence: 1, Ready: true, Routing: true, PeerAddress: "routing:1", Cores: 0.8},
	}
	table.ApplyHeartbeat(b, now)
	var died []string
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		table.ApplyHeartbeat(relay(), now)
		died = append(died, table.Expire(now)...)
	}
	if strings.Join(died, ",") != "routing" {
		t.Errorf("died in 5 s: %v, want only the routing host", died)
	}
}

// TestAddressesOfDeadHostsAreProbed checks that addresses of dead hosts are probed until
// probeTTL. A host that was partitioned, or that restarts while the store is down, finds the
// others only through their heartbeats.
func TestAddressesOfDeadHostsAreProbed(t *testing.T) {
	table := newTestTable("self")
	now := time.Now()
	table.ApplyHeartbeat(newHeartbeat("a", 1, 1), now)
	table.View(now)
	now = now.Add(2 * testDeadAfter)
	table.Expire(now)
	probed := 0
	for tick := range 20 {
		probed += len(table.IntervalAudience(tick, false, now).Ask)
		now = now.Add(100 * time.Millisecond)
	}
	if probed < 3 || probed > 5 {
		t.Errorf("probed %d times in 2 s, want 3 to 5", probed)
	}
	now = now.Add(probeTTL)
	table.Expire(now)
	if got := table.IntervalAudience(0, false, now).Ask; len(got) != 0 {
		t.Errorf("still probed: %v", got)
	}
}

func BenchmarkApplyHeartbeat(b *testing.B) {
	table := newTestTable("self")
	now := time.Now()
	n := uint64(0)
	for b.Loop() {
		n++
		table.ApplyHeartbeat(newHeartbeat("a", 1, n), now)
	}
}
