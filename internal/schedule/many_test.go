package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/platform"
)

// many returns the IDs of so many engines.
func many(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("engine-%04d", i)
	}
	return ids
}

// TestPromptsFollowTheirPartsAmongMany: a decision among 1,500 engines looks at 160 of
// them, and still sends a prompt to the engine that holds its parts, while different prompts
// go to different engines.
func TestPromptsFollowTheirPartsAmongMany(t *testing.T) {
	s, _, _ := newScheduler(many(1500)...)
	now := time.Now()
	used := map[string]bool{}
	for i := range 100 {
		part := fmt.Sprint("p", i)
		first := pick(t, s, request(open, part), now)
		first.Flight.End(replica.Answered, now)
		used[first.ID] = true
		later := now.Add(time.Second)
		if again := pick(t, s, request(open, part), later); again.ID != first.ID || again.Cached != 13_000 {
			t.Errorf("%s went to %s, and then to %s with %d cached", part, first.ID, again.ID, again.Cached)
		} else {
			again.Flight.End(replica.Answered, later)
		}
	}
	if len(used) < 80 {
		t.Errorf("100 prompts went to %d engines", len(used))
	}
}

// TestBusyEnginesAreLeftForOthers: what begins alike is looked for at the same engines, and
// overruns them where little of it is shared; others take the work before it waits for long.
func TestBusyEnginesAreLeftForOthers(t *testing.T) {
	s, _, _ := newScheduler(many(1500)...)
	now := time.Now()
	used := map[string]bool{}
	for i := range 600 {
		req := request(open, "p")
		req.Parts = []platform.Part{{ID: "p", Tokens: 40}, {ID: fmt.Sprint("own", i), Tokens: 16_960}}
		c := pick(t, s, req, now)
		used[c.ID] = true
	}
	if len(used) < 200 {
		t.Errorf("600 requests at once went to %d engines", len(used))
	}
}

// TestTheLastEngineOfManyIsFound: where none of those that are looked at can take a
// request, all are.
func TestTheLastEngineOfManyIsFound(t *testing.T) {
	ids := many(1500)
	s, _, table := newScheduler(ids...)
	now := time.Now()
	for i, id := range ids[:1499] {
		table.Register(platform.Registration{ID: id, Service: "s", Address: id, AvailabilityZone: "z", Slots: 64, Draining: true}, int64(2000+i))
	}
	for i := range 20 {
		c := pick(t, s, request(open, fmt.Sprint("p", i)), now)
		if c.ID != ids[1499] {
			t.Errorf("went to %s", c.ID)
		}
		c.Flight.End(replica.Answered, now)
	}
}

// BenchmarkPickAmongMany is a decision among 3,000 engines.
func BenchmarkPickAmongMany(b *testing.B) {
	s, _, _ := newScheduler(many(3000)...)
	now := time.Now()
	for b.Loop() {
		c, err := s.Pick(request(open, "p"), now)
		if err != nil {
			b.Fatal(err)
		}
		c.Flight.End(replica.Answered, now)
	}
}
