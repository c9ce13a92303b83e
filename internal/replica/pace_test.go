package replica

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/platform"
)

// recordAnswer simulates an answer of a server: the service time that the policy expects,
// the expected time including the queue, and the measured time.
func recordAnswer(t *testing.T, table *Table, id string, own, expected, took time.Duration, now time.Time) {
	t.Helper()
	f := table.Begin(id, Work{Prefill: 1000, Expected: expected, ServiceTime: own, Slowdown: 1, Engine: true}, now)
	if f == nil {
		t.Fatal("request not accepted")
	}
	f.AnswerStarted(now.Add(took))
	f.End(Answered, now.Add(took))
}

func slowdownNow(table *Table, id string, now time.Time) float64 {
	table.MergeSlowdowns()
	for _, r := range table.Snapshot(testService, testModel, 1000, now) {
		if r.ID == id {
			return r.Slowdown
		}
	}
	return 0
}

// TestSlowdownDistinguishesServerTypes checks that slow engines are recognised. In a fleet of
// 60 engines, a third took 1.3 times as long as the others, and all of them 1.22 times the
// expected time. Over one day, the median slowdown of 40 engines was between 1.17 and 1.28,
// and of 20 between 1.52 and 1.66. With answer times spread by 5 %, and one in fifteen three
// times as long, the slowdown of each engine must be known after ten answers.
func TestSlowdownDistinguishesServerTypes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprintf("engine-%02d", i))
	}
	table, now := newTestTable(ids...), time.Now()
	slowdowns := []float64{1.22, 1.22, 1.59}
	for i, id := range ids {
		for range 10 {
			own := time.Duration(150+rng.IntN(600)) * time.Millisecond
			ratio := slowdowns[i%3] * (1 + 0.05*rng.NormFloat64())
			if rng.IntN(15) == 0 {
				ratio *= 3
			}
			recordAnswer(t, table, id, own, own, time.Duration(ratio*float64(own)), now)
		}
	}
	for i, id := range ids {
		if got := slowdownNow(table, id, now); math.Abs(got/slowdowns[i%3]-1) > 0.15 {
			t.Errorf("%s: slowdown %.2f, want %.2f", id, got, slowdowns[i%3])
		}
	}
}

// TestQueueingDoesNotCountAsSlowdown checks that an answer does not count if its time was
// mostly spent queued behind other requests, or is too short. A server without samples is
// assumed to have the slowdown of the others.
func TestQueueingDoesNotCountAsSlowdown(t *testing.T) {
	table, now := newTestTable("a", "b"), time.Now()
	recordAnswer(t, table, "a", 200*time.Millisecond, 700*time.Millisecond, 3*time.Second, now)
	recordAnswer(t, table, "a", 20*time.Millisecond, 20*time.Millisecond, 300*time.Millisecond, now)
	if got := slowdownNow(table, "a", now); got != 1 {
		t.Errorf("slowdown %.2f", got)
	}
	recordAnswer(t, table, "a", 200*time.Millisecond, 210*time.Millisecond, 300*time.Millisecond, now)
	if a, b := slowdownNow(table, "a", now), slowdownNow(table, "b", now); a != 1.5 || b != 1.5 {
		t.Errorf("slowdowns %.2f and %.2f, want 1.5", a, b)
	}
}

// TestSlowdownOfServicesWithoutEngine checks that a service whose calls take 60 ms instead
// of the expected 30 is known to be slow after its first answers.
func TestSlowdownOfServicesWithoutEngine(t *testing.T) {
	table, now := NewTable(quietLog(), func(string, string) {}), time.Now()
	table.Register(platform.Registration{ID: "jobs", Service: "jobs", Address: "10.0.0.1:1", Slots: 6}, 0)
	for range 4 {
		f := table.Begin("jobs", Work{Expected: 30 * time.Millisecond, ServiceTime: 30 * time.Millisecond, Slowdown: 1}, now)
		f.AnswerStarted(now.Add(60 * time.Millisecond))
		f.End(Answered, now.Add(60*time.Millisecond))
	}
	table.MergeSlowdowns()
	if got := table.Snapshot("jobs", "", 0, now)[0].Slowdown; got != 2 {
		t.Errorf("slowdown %.2f, want 2", got)
	}
}

// TestHostsShareSlowdowns checks that a host reports the slowdowns of all servers in turn,
// however many there are, and that those of an incarnation are dropped with it.
func TestHostsShareSlowdowns(t *testing.T) {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("engine-%02d", i))
	}
	here, there, now := newTestTable(ids...), newTestTable(ids...), time.Now()
	for i, id := range ids {
		own := 200 * time.Millisecond
		recordAnswer(t, here, id, own, own, own+time.Duration(i)*10*time.Millisecond, now)
	}
	heartbeats := 0
	for reported := map[string]bool{}; len(reported) < len(ids); heartbeats++ {
		reports := here.Slowdowns()
		if len(reports) > slowdownsPerHeartbeat || heartbeats > len(ids) {
			t.Fatalf("%d slowdowns in a heartbeat, %d reported in %d", len(reports), len(reported), heartbeats)
		}
		for _, w := range reports {
			reported[w.Replica] = true
		}
		there.ApplySlowdowns("here", reports)
	}
	if got := slowdownNow(there, "engine-19", now); math.Abs(got-1.95) > 1e-6 {
		t.Errorf("slowdown %.3f, want 1.95", got)
	}
	there.ApplySlowdowns("here", []*pb.ReplicaPace{{Replica: "engine-19", Ratio: 1e9, Samples: 8}, {Replica: "nobody", Ratio: 2, Samples: 8}})
	if got := slowdownNow(there, "engine-19", now); math.Abs(got-1.95) > 1e-6 {
		t.Errorf("slowdown %.3f after an implausible report", got)
	}
	there.Register(platform.Registration{ID: "engine-19", Service: testService, Address: "10.0.0.1:1", Slots: 4, Started: 1}, 30)
	there.Register(platform.Registration{ID: "engine-19", Service: testService, Address: "10.0.0.1:1", Slots: 4, Started: 2}, 31)
	if got := slowdownNow(there, "engine-19", now); got > 1.9 {
		t.Errorf("slowdown %.3f of a new incarnation", got)
	}
}
