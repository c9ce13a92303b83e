package member

import (
	"strings"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const testDead = time.Second

func beat(host string, incarnation, sequence uint64) *pb.Heartbeat {
	return &pb.Heartbeat{Host: host, Incarnation: incarnation, Sequence: sequence, Ready: true, CallerAddress: host, PeerAddress: host + ":1"}
}

func serving(t *Table, now time.Time) string {
	var out []string
	for _, b := range t.Serving(now) {
		out = append(out, b.Host)
	}
	return strings.Join(out, ",")
}

func TestOnlyLiveReadyHostsServe(t *testing.T) {
	table := NewTable(testDead)
	now := time.Now()
	table.Heard(beat("a", 1, 1), now)
	table.Heard(beat("b", 1, 1), now.Add(-testDead))
	leaving := beat("c", 1, 1)
	leaving.Leaving = true
	table.Heard(leaving, now)
	starting := beat("d", 1, 1)
	starting.Ready = false
	table.Heard(starting, now)
	if got := serving(table, now); got != "a" {
		t.Errorf("serving %q, want a", got)
	}
	if died := table.Expire(now); len(died) != 1 || died[0] != "b" {
		t.Errorf("died: %v", died)
	}
}

// TestOldHeartbeatsChangeNothing: datagrams may come late or twice.
func TestOldHeartbeatsChangeNothing(t *testing.T) {
	table := NewTable(testDead)
	now := time.Now()
	table.Heard(beat("a", 1, 5), now)
	late := beat("a", 1, 4)
	late.Ready = false
	if _, fresh := table.Heard(late, now); fresh || serving(table, now) != "a" {
		t.Error("an older heartbeat was taken")
	}
	if _, fresh := table.Heard(beat("a", 2, 1), now); !fresh {
		t.Error("a new start of the host was not taken")
	}
}

// TestSilentAddressesAreStillTried: a host that restarts while the store is down
// learns of the others from their heartbeats.
func TestSilentAddressesAreStillTried(t *testing.T) {
	table := NewTable(testDead)
	now := time.Now()
	table.Heard(beat("a", 1, 1), now)
	now = now.Add(time.Minute)
	tried := 0
	for range 20 {
		tried += len(table.Targets(now))
		now = now.Add(100 * time.Millisecond)
	}
	if tried < 3 || tried > 5 {
		t.Errorf("tried %d times in 2 s", tried)
	}
	if got := table.Targets(now.Add(forgetAfter)); len(got) != 0 {
		t.Errorf("still tried: %v", got)
	}
}

func BenchmarkHeard(b *testing.B) {
	table := NewTable(testDead)
	now := time.Now()
	n := uint64(0)
	for b.Loop() {
		n++
		table.Heard(beat("a", 1, n), now)
	}
}
