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

// answer plays an answer of a server: its own time by the policy, what was expected of it
// in all, and what it took.
func answer(t *testing.T, table *Table, id string, own, expected, took time.Duration, now time.Time) {
	t.Helper()
	f := table.Begin(id, Work{Prefill: 1000, Expected: expected, Own: own, Pace: 1, Engine: true}, now)
	if f == nil {
		t.Fatal("not taken")
	}
	f.First(now.Add(took))
	f.End(Answered, now.Add(took))
}

func paceNow(table *Table, id string, now time.Time) float64 {
	table.JoinPaces()
	for _, r := range table.Snapshot(testService, testModel, 1000, now) {
		if r.ID == id {
			return r.Pace
		}
	}
	return 0
}

// TestKindsOfServersAreToldApart: on a fleet of 60 engines a third took 1.3 times as long
// as the others, and all of them 1.22 times what was expected. Logs of one day show the
// medians of 40 engines between 1.17 and 1.28 and of 20 between 1.52 and 1.66. With answers
// spread by 5 %, and one in fifteen three times as late, each engine is told after ten.
func TestKindsOfServersAreToldApart(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprintf("engine-%02d", i))
	}
	table, now := newTestTable(ids...), time.Now()
	paces := []float64{1.22, 1.22, 1.59}
	for i, id := range ids {
		for range 10 {
			own := time.Duration(150+rng.IntN(600)) * time.Millisecond
			ratio := paces[i%3] * (1 + 0.05*rng.NormFloat64())
			if rng.IntN(15) == 0 {
				ratio *= 3
			}
			answer(t, table, id, own, own, time.Duration(ratio*float64(own)), now)
		}
	}
	for i, id := range ids {
		if got := paceNow(table, id, now); math.Abs(got/paces[i%3]-1) > 0.15 {
			t.Errorf("%s: pace %.2f, want %.2f", id, got, paces[i%3])
		}
	}
}

// TestWaitsSayNothingOfThePace: what was mostly spent behind other requests, or is too
// short to tell, does not count; an unknown server is thought to be like the others.
func TestWaitsSayNothingOfThePace(t *testing.T) {
	table, now := newTestTable("a", "b"), time.Now()
	answer(t, table, "a", 200*time.Millisecond, 700*time.Millisecond, 3*time.Second, now)
	answer(t, table, "a", 20*time.Millisecond, 20*time.Millisecond, 300*time.Millisecond, now)
	if got := paceNow(table, "a", now); got != 1 {
		t.Errorf("pace %.2f", got)
	}
	answer(t, table, "a", 200*time.Millisecond, 210*time.Millisecond, 300*time.Millisecond, now)
	if a, b := paceNow(table, "a", now), paceNow(table, "b", now); a != 1.5 || b != 1.5 {
		t.Errorf("paces %.2f and %.2f, want 1.5", a, b)
	}
}

// TestPlainServicesHaveTheirTime: a service whose calls take 60 ms where 30 are reckoned
// with is known after its first answers.
func TestPlainServicesHaveTheirTime(t *testing.T) {
	table, now := NewTable(quietLog(), func(string, string) {}), time.Now()
	table.Register(platform.Registration{ID: "jobs", Service: "jobs", Address: "10.0.0.1:1", Slots: 6}, 0)
	for range 4 {
		f := table.Begin("jobs", Work{Expected: 30 * time.Millisecond, Own: 30 * time.Millisecond, Pace: 1}, now)
		f.First(now.Add(60 * time.Millisecond))
		f.End(Answered, now.Add(60*time.Millisecond))
	}
	table.JoinPaces()
	if got := table.Snapshot("jobs", "", 0, now)[0].Pace; got != 2 {
		t.Errorf("pace %.2f, want 2", got)
	}
}

// TestHostsTellWhatTheyFound: each in turn, whatever their number, and what a host found of
// a start of a server is forgotten with it.
func TestHostsTellWhatTheyFound(t *testing.T) {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("engine-%02d", i))
	}
	here, there, now := newTestTable(ids...), newTestTable(ids...), time.Now()
	for i, id := range ids {
		own := 200 * time.Millisecond
		answer(t, here, id, own, own, own+time.Duration(i)*10*time.Millisecond, now)
	}
	beats := 0
	for told := map[string]bool{}; len(told) < len(ids); beats++ {
		words := here.Paces()
		if len(words) > pacesTold || beats > len(ids) {
			t.Fatalf("%d paces in a heartbeat, %d told in %d", len(words), len(told), beats)
		}
		for _, w := range words {
			told[w.Replica] = true
		}
		there.HeardPaces("here", words)
	}
	if got := paceNow(there, "engine-19", now); math.Abs(got-1.95) > 1e-6 {
		t.Errorf("pace %.3f, want 1.95", got)
	}
	there.HeardPaces("here", []*pb.ReplicaPace{{Replica: "engine-19", Ratio: 1e9, Samples: 8}, {Replica: "nobody", Ratio: 2, Samples: 8}})
	if got := paceNow(there, "engine-19", now); math.Abs(got-1.95) > 1e-6 {
		t.Errorf("pace %.3f after an absurd word", got)
	}
	there.Register(platform.Registration{ID: "engine-19", Service: testService, Address: "10.0.0.1:1", Slots: 4, Started: 1}, 30)
	there.Register(platform.Registration{ID: "engine-19", Service: testService, Address: "10.0.0.1:1", Slots: 4, Started: 2}, 31)
	if got := paceNow(there, "engine-19", now); got > 1.9 {
		t.Errorf("pace %.3f of a new start", got)
	}
}
