package rollout

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
)

const testModel = "m"

// fakeFleet is the replicas of one model, their orders and what hosts know.
type fakeFleet struct {
	mu      sync.Mutex
	actual  map[string]*fakeReplica
	known   map[string]int64
	wanted  int64
	loading map[string]time.Time
	waiting map[string]int
	fault   string
	// down replicas are thought so by the host, and answer nothing.
	down map[string]bool
	// suspected are those that another host thinks down.
	suspected map[string]bool
	unsure    map[string]bool
	atOnce    int
	mostOnce  int
	// thrown counts orders that a replica got while it was reading prompts.
	thrown int
}

type fakeReplica struct {
	version  int64
	sequence int64
	busy     bool
	// started is the time of its start.
	started int64
}

func newFakeFleet(n int) *fakeFleet {
	f := &fakeFleet{actual: map[string]*fakeReplica{}, known: map[string]int64{}, loading: map[string]time.Time{}, waiting: map[string]int{}, wanted: 1}
	for i := range n {
		id := fmt.Sprint("i-", i)
		f.actual[id] = &fakeReplica{version: 1}
		f.known[id] = 1
	}
	return f
}

func (f *fakeFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFleet) Servers(time.Time) []replica.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []replica.Server
	for id, version := range f.known {
		out = append(out, replica.Server{ID: id, Address: id, Started: f.actual[id].started, Weights: map[string]int64{testModel: version}, Down: f.down[id], Suspected: f.suspected[id]})
	}
	return out
}

func (f *fakeFleet) Lagging(now time.Time) []replica.Server { return f.Servers(now) }

func (f *fakeFleet) Wanted(string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wanted
}

func (f *fakeFleet) Holds(id, _ string, version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := f.known[id] < version
	f.known[id] = max(f.known[id], version)
	return newer
}

func (f *fakeFleet) HoldsOlder(id, _ string, believed, version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known[id] != believed {
		return false
	}
	f.known[id] = version
	return true
}

func (f *fakeFleet) Loading(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loading[id] = until
}

func (f *fakeFleet) Waiting(id string, _ time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting[id]
}

func (f *fakeFleet) Unsure(now time.Time) []replica.Server {
	var out []replica.Server
	for _, s := range f.Servers(now) {
		if f.unsure[s.ID] {
			out = append(out, s)
		}
	}
	return out
}

func (f *fakeFleet) Report(_ context.Context, address, _ string) (platform.EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.actual[address]
	if f.down[address] {
		return platform.EngineReport{}, errLost
	}
	return platform.EngineReport{Weights: map[string]int64{testModel: r.version}, Loading: r.busy, Sequence: r.sequence, Started: r.started}, nil
}

// Order plays the fault in force: an answer that is lost, an order that is
// carried out late, or one that never arrives.
func (f *fakeFleet) Order(_ context.Context, address string, o platform.LoadOrder) (platform.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[address] {
		return platform.OrderLost, errLost
	}
	if f.waiting[address] > 0 {
		f.thrown++
	}
	switch f.fault {
	case "lost":
		return platform.OrderLost, errLost
	case "late":
		time.AfterFunc(2500*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.carryOut(address, o)
		})
		return platform.OrderLost, errLost
	case "answer lost":
		f.carryOut(address, o)
		return platform.OrderLost, errLost
	default:
		return f.carryOut(address, o), nil
	}
}

func (f *fakeFleet) carryOut(address string, o platform.LoadOrder) platform.OrderResult {
	r := f.actual[address]
	switch {
	case r.version == o.Version:
		return platform.OrderHolds
	case r.busy || r.sequence != o.Sequence:
		return platform.OrderConflict
	}
	r.sequence++
	r.busy = true
	start := r.started
	f.atOnce++
	f.mostOnce = max(f.mostOnce, f.atOnce)
	time.AfterFunc(600*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.atOnce--
		if r.started != start {
			return
		}
		if o.Version < r.version {
			f.thrown += 1000
		}
		r.version, r.busy = o.Version, false
	})
	return platform.OrderAccepted
}

// roll starts a loader over the fleet and runs f beside it.
func roll(fleet *fakeFleet, f func()) {
	ctx, cancel := context.WithCancel(context.Background())
	lease := NewLease(&view{log: newFakeLog()}, quietLog(), "a", 1, testTTL)
	loader := NewLoader(lease, fleet, fleet, quietLog(), "a", platform.LoadQueue, 2)
	var wg sync.WaitGroup
	wg.Go(func() { lease.Follow(ctx) })
	wg.Go(func() { loader.Run(ctx) })
	f()
	cancel()
	wg.Wait()
	time.Sleep(10 * time.Second)
}

// TestReplicaThatStartsAgainWhileLoadingIsOrderedAnew: its count of orders began
// anew and the one under way is void. Waited for to the end, it would stay on the
// old weights for four seconds more.
func TestReplicaThatStartsAgainWhileLoadingIsOrderedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(1)
		fleet.actual["i-0"].started = 1000
		roll(fleet, func() {
			time.Sleep(time.Second)
			fleet.set(func() { fleet.wanted = 2 })
			for !fleet.loads("i-0") {
				time.Sleep(time.Millisecond)
			}
			fleet.set(func() { *fleet.actual["i-0"] = fakeReplica{version: 1, started: 2000} })
			time.Sleep(2500 * time.Millisecond)
			if n := fleet.behind(); n != 0 {
				t.Errorf("%d replicas lack the weights 2.5 s after the restart", n)
			}
		})
	})
}

// loads reports whether a replica is loading weights.
func (f *fakeFleet) loads(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.actual[id].busy
}

// behind returns how many replicas lack the wanted weights.
func (f *fakeFleet) behind() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.actual {
		if r.version != f.wanted {
			n++
		}
	}
	return n
}

// TestEveryReplicaIsBrought to the newest version, whatever becomes of orders, and
// none ever goes back.
func TestEveryReplicaIsBrought(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plan []string
		for i := range rapid.IntRange(1, 5).Draw(rt, "steps") {
			plan = append(plan, rapid.SampledFrom([]string{"", "lost", "late", "answer lost"}).Draw(rt, fmt.Sprint("fault", i)))
		}
		left, thrown := 0, 0
		synctest.Test(t, func(*testing.T) {
			fleet := newFakeFleet(4)
			roll(fleet, func() {
				for _, fault := range plan {
					fleet.set(func() { fleet.fault, fleet.wanted = fault, fleet.wanted+1 })
					time.Sleep(1500 * time.Millisecond)
				}
				fleet.set(func() { fleet.fault = "" })
				time.Sleep(12 * time.Second)
			})
			left, thrown = fleet.behind(), fleet.thrown
		})
		if left > 0 {
			rt.Fatalf("%d replicas were left behind", left)
		}
		if thrown >= 1000 {
			rt.Fatal("a replica went back to older weights")
		}
	})
}

// TestPromptsAreReadBeforeAnOrder, but not waited for without end.
func TestPromptsAreReadBeforeAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(1)
		fleet.waiting["i-0"] = 1
		roll(fleet, func() {
			fleet.set(func() { fleet.wanted = 2 })
			time.Sleep(500 * time.Millisecond)
			if fleet.set(func() { fleet.waiting["i-0"] = 0 }); fleet.thrown > 0 {
				t.Error("ordered while a prompt was being read")
			}
			time.Sleep(2 * time.Second)
			if fleet.behind() > 0 {
				t.Error("not ordered after the prompt was read")
			}
			fleet.set(func() { fleet.wanted, fleet.waiting["i-0"] = 3, 1 })
			time.Sleep(4 * time.Second)
			if fleet.behind() > 0 {
				t.Error("a prompt that is never read held the order up")
			}
		})
	})
}

// TestSomeServeWhileOthersLoad: with two replicas one loads at a time.
func TestSomeServeWhileOthersLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(2)
		roll(fleet, func() {
			fleet.set(func() { fleet.wanted = 2 })
			time.Sleep(8 * time.Second)
		})
		if fleet.behind() > 0 || fleet.mostOnce > 1 {
			t.Errorf("%d left behind, %d at once", fleet.behind(), fleet.mostOnce)
		}
	})
}

// TestDownReplicasHoldNobodyUp: others are ordered meanwhile, and they themselves
// once they are back.
func TestDownReplicasHoldNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(6)
		fleet.down = map[string]bool{"i-0": true, "i-1": true}
		roll(fleet, func() {
			fleet.set(func() { fleet.wanted = 2 })
			time.Sleep(3 * time.Second)
			if left := fleet.behind(); left != 2 {
				t.Errorf("%d left behind, want the two that are down", left)
			}
			fleet.set(func() { fleet.down = nil })
			time.Sleep(3 * time.Second)
		})
		if fleet.behind() > 0 {
			t.Errorf("%d left behind", fleet.behind())
		}
	})
}

// TestSuspectedReplicasComeLast, and they come: a suspicion may outlive its cause.
func TestSuspectedReplicasComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(6)
		fleet.suspected = map[string]bool{"i-0": true, "i-1": true}
		roll(fleet, func() {
			fleet.set(func() { fleet.wanted = 2 })
			for fleet.behind() > 2 {
				time.Sleep(10 * time.Millisecond)
			}
			fleet.set(func() {
				if fleet.actual["i-0"].version != 1 || fleet.actual["i-1"].version != 1 {
					t.Error("a suspected replica came before others")
				}
			})
			time.Sleep(4 * time.Second)
		})
		if fleet.behind() > 0 {
			t.Errorf("%d left behind", fleet.behind())
		}
	})
}

// TestFewLoadAtOnce: more would only take longer each.
func TestFewLoadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(6)
		roll(fleet, func() {
			fleet.set(func() { fleet.wanted = 2 })
			time.Sleep(8 * time.Second)
		})
		if fleet.behind() > 0 || fleet.mostOnce > 2 {
			t.Errorf("%d left behind, %d at once", fleet.behind(), fleet.mostOnce)
		}
	})
}

// verified returns a loader that has looked, for a second, after a replica which refused
// the weights it was believed to hold.
func verified(t *testing.T, fleet *fakeFleet, unsure string) *Loader {
	fleet.unsure = map[string]bool{unsure: true}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	loader := NewLoader(nil, fleet, fleet, quietLog(), "a", platform.LoadQueue, 2)
	loader.Verify(ctx)
	return loader
}

// TestUnexpectedWeightsAreAskedFor: a replica carried out an order late, so that it
// holds weights between those believed and those wanted.
func TestUnexpectedWeightsAreAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(2)
		fleet.wanted = 3
		fleet.actual["i-0"].version = 2
		loader := verified(t, fleet, "i-0")
		if fleet.known["i-0"] != 2 || fleet.known["i-1"] != 1 {
			t.Errorf("believed: %v", fleet.known)
		}
		told := map[string]int64{}
		loader.Recent(time.Now(), func(id, _ string, version int64) { told[id] = version })
		if told["i-0"] != 2 {
			t.Errorf("other hosts are told %v", told)
		}
	})
}

// TestReplicaThatWentBackIsLoadedAgain: an order was carried out after a newer one, as one
// that outlives a replica's start may be. The replica refuses requests for the weights that
// it is believed to hold; its own report outweighs that belief, for otherwise nobody would
// order it again.
func TestReplicaThatWentBackIsLoadedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(2)
		fleet.wanted = 3
		for id := range fleet.actual {
			fleet.actual[id].version, fleet.known[id] = 3, 3
		}
		fleet.actual["i-0"].version = 2
		verified(t, fleet, "i-0")
		if fleet.known["i-0"] != 2 || fleet.known["i-1"] != 3 {
			t.Errorf("believed: %v", fleet.known)
		}
	})
}
