package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
)

// engineIDs returns the IDs of n engines.
func engineIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("engine-%04d", i)
	}
	return ids
}

// TestManyEnginesKeepPrefixAffinity checks that a decision among 1,500 engines, of which it
// considers 160, still sends a prompt to the engine that holds its prefix, and that
// different prompts are sent to different engines.
func TestManyEnginesKeepPrefixAffinity(t *testing.T) {
	s, _, _ := newScheduler(engineIDs(1500)...)
	now := time.Now()
	used := map[string]bool{}
	for i := range 100 {
		block := fmt.Sprint("p", i)
		first := pick(t, s, request(open, block), now)
		first.Flight.End(replica.Answered, now)
		used[first.ID] = true
		later := now.Add(time.Second)
		if again := pick(t, s, request(open, block), later); again.ID != first.ID || again.Cached != 13_000 {
			t.Errorf("%s went to %s, and then to %s with %d cached", block, first.ID, again.ID, again.Cached)
		} else {
			again.Flight.End(replica.Answered, later)
		}
	}
	if len(used) < 80 {
		t.Errorf("100 different prompts went to only %d engines", len(used))
	}
}

// TestBusyEnginesOverflowToOthers covers prompts with the same short prefix. They consider
// the same engines and would overload them for little shared work; other engines must take
// over before requests wait for long.
func TestBusyEnginesOverflowToOthers(t *testing.T) {
	s, _, _ := newScheduler(engineIDs(1500)...)
	now := time.Now()
	used := map[string]bool{}
	for i := range 600 {
		req := request(open, "p")
		req.Blocks = []platform.Block{{ID: "p", Tokens: 40}, {ID: fmt.Sprint("own", i), Tokens: 16_960}}
		c := pick(t, s, req, now)
		used[c.ID] = true
	}
	if len(used) < 200 {
		t.Errorf("600 simultaneous requests went to only %d engines", len(used))
	}
}

// TestOnlyUsableEngineOfManyIsFound checks that all engines are considered if none of the
// first selection can accept a request.
func TestOnlyUsableEngineOfManyIsFound(t *testing.T) {
	ids := engineIDs(1500)
	s, _, table := newScheduler(ids...)
	now := time.Now()
	for i, id := range ids[:1499] {
		table.Register(platform.Registration{ID: id, Service: "s", Address: id, AvailabilityZone: "z", Slots: 64, Draining: true}, int64(2000+i))
	}
	for i := range 20 {
		c := pick(t, s, request(open, fmt.Sprint("p", i)), now)
		if c.ID != ids[1499] {
			t.Errorf("went to %s, want the only engine that is not draining", c.ID)
		}
		c.Flight.End(replica.Answered, now)
	}
}

// BenchmarkPickAmongMany measures a decision among 3,000 engines.
func BenchmarkPickAmongMany(b *testing.B) {
	s, _, _ := newScheduler(engineIDs(3000)...)
	now := time.Now()
	for b.Loop() {
		c, err := s.Pick(request(open, "p"), now)
		if err != nil {
			b.Fatal(err)
		}
		c.Flight.End(replica.Answered, now)
	}
}
