package replica

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"pgregory.net/rapid"

	_ "github.com/briarlink/briarlink/test/fixedseed"
)

// TestReportedLoadsConverge checks that another host has the right loads a few rounds after
// the last change, whatever changed and even if some reports are lost.
func TestReportedLoadsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reporter LoadReporter
		received := newLoads()
		now := time.Unix(1000, 0)
		work := map[string]*pb.ReplicaLoad{}
		send := func(round, lost bool) {
			var list []*pb.ReplicaLoad
			for _, w := range work {
				list = append(list, w)
			}
			changes := reporter.Changes(list, round)
			if !lost {
				received.set("there", changes, now)
			}
			received.expire(now)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "server"))
			if n := rapid.Int32Range(0, 3).Draw(t, "requests"); n > 0 {
				work[id] = &pb.ReplicaLoad{Replica: id, Requests: n, PrefillTokens: 1000 * n}
			} else {
				delete(work, id)
			}
			round := rapid.Bool().Draw(t, "round")
			send(round, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
			if round {
				now = now.Add(150 * time.Millisecond)
			}
		}
		for range 20 {
			send(true, false)
			now = now.Add(150 * time.Millisecond)
		}
		for i := range 10 {
			id := fmt.Sprint("i-", i)
			if got, want := received.sums[id].GetRequests(), work[id].GetRequests(); got != want {
				t.Fatalf("%s: %d requests recorded, want %d", id, got, want)
			}
		}
	})
}

// testHeartbeatInterval is the usual interval of heartbeats.
const testHeartbeatInterval = 150 * time.Millisecond

// TestChangesDoNotGrowWithTheReplicas checks that one more request adds one entry, with
// 5,300 replicas as with ten. A round resends a fourteenth of the unchanged loads, or a
// fourth if there are few: each is resent before other hosts drop it.
func TestChangesDoNotGrowWithTheReplicas(t *testing.T) {
	const replicas = 5300
	var reporter LoadReporter
	var work []*pb.ReplicaLoad
	for i := range replicas {
		work = append(work, &pb.ReplicaLoad{Replica: fmt.Sprint("i-", i), Requests: 1})
	}
	reporter.Changes(work, true)
	work[7] = &pb.ReplicaLoad{Replica: work[7].Replica, Requests: 2}
	if n := len(reporter.Changes(work, false)); n != 1 {
		t.Errorf("%d entries for one request", n)
	}
	if n := len(reporter.Changes(work, true)); n < replicas/18 || n > replicas/11 {
		t.Errorf("a round resends %d entries of %d", n, replicas)
	}
	if n := len(reporter.Changes(work[:300], true)) - (replicas - 300); n < 300/5 || n > 300/3 {
		t.Errorf("a round resends %d entries of 300", n)
	}
	if maxResendRounds*testHeartbeatInterval >= loadTimeout {
		t.Errorf("loads resent after %v expire after %v", maxResendRounds*testHeartbeatInterval, loadTimeout)
	}
}
