package member

import (
	"strings"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const testDead = time.Second

func newTestTable(id string) *Table {
	return NewTable(&pb.Heartbeat{Host: id, PeerAddress: id + ":1", CallerAddress: id}, testDead)
}

func beat(host string, incarnation, sequence uint64) *pb.Heartbeat {
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
	table.Heard(beat("b", 1, 1), now.Add(-testDead))
	table.View(now.Add(-testDead))
	table.Heard(beat("a", 1, 1), now)
	leaving := beat("c", 1, 1)
	leaving.Leaving = true
	table.Heard(leaving, now)
	starting := beat("d", 1, 1)
	starting.Ready = false
	table.Heard(starting, now)
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

// TestOldHeartbeatsChangeNothing: datagrams may come late or twice, and others may
// pass on what is older than what is known.
func TestOldHeartbeatsChangeNothing(t *testing.T) {
	table := newTestTable("self")
	now := time.Now()
	table.Heard(beat("a", 1, 5), now)
	late := beat("a", 1, 4)
	late.Ready = false
	if _, fresh := table.Heard(late, now); fresh || servingOf(table, now) != "a" {
		t.Error("an older heartbeat was taken")
	}
	passed := beat("b", 1, 1)
	passed.Members = []*pb.MemberState{{Host: "a", Incarnation: 9, Sequence: 99, AgeMs: 500, PeerAddress: "a:1"}}
	table.Heard(passed, now)
	if got := servingOf(table, now); got != "a,b" && got != "b,a" {
		t.Errorf("serving %q after an old word", got)
	}
	if _, fresh := table.Heard(beat("a", 2, 1), now); !fresh {
		t.Error("a new start of the host was not taken")
	}
}

// TestNobodyDiesOfWhatOneIsNotMeantToHear: standby hosts that tell others are heard
// of through them, rarely; a routing host of which nobody passes on a word is dead
// soon.
func TestNobodyDiesOfWhatOneIsNotMeantToHear(t *testing.T) {
	table := newTestTable("self")
	now := time.Now()
	relay := func() *pb.Heartbeat {
		b := beat("relay", 1, uint64(now.UnixNano()))
		b.Routing, b.Cores = true, 0.8
		return b
	}
	b := relay()
	b.Members = []*pb.MemberState{
		{Host: "standby", Incarnation: 1, Sequence: 1, Ready: true, PeerAddress: "standby:1", Cores: 0.2},
		{Host: "routing", Incarnation: 1, Sequence: 1, Ready: true, Routing: true, PeerAddress: "routing:1", Cores: 0.8},
	}
	table.Heard(b, now)
	var died []string
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		table.Heard(relay(), now)
		died = append(died, table.Expire(now)...)
	}
	if strings.Join(died, ",") != "routing" {
		t.Errorf("died in 5 s: %v, want the routing host alone", died)
	}
}

// TestDeadHostsAreStillTried: one that was cut off, or restarted while the store is
// down, learns of the others from their heartbeats.
func TestDeadHostsAreStillTried(t *testing.T) {
	table := newTestTable("self")
	now := time.Now()
	table.Heard(beat("a", 1, 1), now)
	table.View(now)
	now = now.Add(2 * testDead)
	table.Expire(now)
	tried := 0
	for tick := range 20 {
		tried += len(table.Tick(tick, false, now).Ask)
		now = now.Add(100 * time.Millisecond)
	}
	if tried < 3 || tried > 5 {
		t.Errorf("tried %d times in 2 s", tried)
	}
	now = now.Add(forgetAfter)
	table.Expire(now)
	if got := table.Tick(0, false, now).Ask; len(got) != 0 {
		t.Errorf("still tried: %v", got)
	}
}

func BenchmarkHeard(b *testing.B) {
	table := newTestTable("self")
	now := time.Now()
	n := uint64(0)
	for b.Loop() {
		n++
		table.Heard(beat("a", 1, n), now)
	}
}
