package prefix

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

func testPrompt(salt string, ids ...string) Prompt {
	var blocks []platform.Block
	for _, id := range ids {
		blocks = append(blocks, platform.Block{ID: id, Tokens: 100})
	}
	return NewPrompt(salt, append(blocks, platform.Block{ID: "own", Tokens: 50}))
}

// TestSaltsShareNothing: a different weights version, or an isolated organisation, has a different
// salt.
func TestSaltsShareNothing(t *testing.T) {
	x := NewIndex()
	now := time.Now()
	x.Add("r", testPrompt("w1", "a", "b"), 10000, now)
	if got, _ := x.Held("r", testPrompt("w1", "a", "b"), now); got != 200 {
		t.Errorf("held %d, want 200", got)
	}
	for _, salt := range []string{"w2", "w1/o", ""} {
		if got, _ := x.Held("r", testPrompt(salt, "a", "b"), now); got != 0 {
			t.Errorf("salt %q: held %d", salt, got)
		}
	}
}

// TestPendingPrefillIsNotFetchable: blocks whose prefill is pending count as held, for requests at
// the same replica, but not as prefilled, so that other replicas do not fetch them.
func TestPendingPrefillIsNotFetchable(t *testing.T) {
	x := NewIndex()
	now := time.Now()
	p := testPrompt("s", "a", "b")
	x.Add("r", p, 10000, now.Add(time.Second))
	if held, prefilled := x.Held("r", p, now); held != 200 || prefilled != 0 {
		t.Errorf("held %d, prefilled %d", held, prefilled)
	}
	if held, prefilled := x.Held("r", p, now.Add(time.Second)); held != 200 || prefilled != 200 {
		t.Errorf("after the prefill: held %d, prefilled %d", held, prefilled)
	}
}

// TestFailedPrefillIsRemoved: after a failed prefill only the blocks that a cache event has
// reported remain.
func TestFailedPrefillIsRemoved(t *testing.T) {
	x := NewIndex()
	now := time.Now()
	p := testPrompt("s", "a", "b")
	x.Add("r", p, 10000, now)
	x.Stored("r", p.Blocks[0], 100, 10000, now)
	x.RemoveFailed("r", p)
	if held, _ := x.Held("r", p, now); held != 100 {
		t.Errorf("held %d, want the confirmed block", held)
	}
}

// TestCacheEventsUpdateIndex applies drawn cache events and compares Held with a simple model.
func TestCacheEventsUpdateIndex(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex()
		now := time.Now()
		expected := map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "part")
				stored := rapid.SampledFrom([]int{0, 48, 100}).Draw(t, "tokens")
				expected[id] = stored
				x.Stored("r", HashOf("s", id), stored, 10000, now)
			},
			"": func(t *rapid.T) {
				want := 0
				for _, id := range ids {
					want += expected[id]
					if expected[id] < 100-cacheBlockTokens {
						break
					}
				}
				if got, _ := x.Held("r", testPrompt("s", ids...), now); got != want {
					t.Fatalf("held %d, want %d", got, want)
				}
			},
		})
	})
}

func TestLeastRecentlyUsedGoesFirst(t *testing.T) {
	x := NewIndex()
	now := time.Now()
	x.Add("r", testPrompt("s", "a"), 250, now)
	x.Add("r", testPrompt("s", "b"), 250, now)
	x.Add("r", testPrompt("s", "a"), 250, now)
	x.Add("r", testPrompt("s", "c"), 250, now)
	for id, want := range map[string]int{"a": 100, "b": 0, "c": 100} {
		if got, _ := x.Held("r", testPrompt("s", id), now); got != want {
			t.Errorf("%s: held %d, want %d", id, got, want)
		}
	}
}

func BenchmarkHeld(b *testing.B) {
	x := NewIndex()
	now := time.Now()
	p := testPrompt("s", "a", "b", "c", "d")
	x.Add("r", p, 10000, now)
	for b.Loop() {
		x.Held("r", p, now)
	}
}

// BenchmarkBytesPerBlock reports the memory use per indexed block, which limits how many blocks a
// host can index.
func BenchmarkBytesPerBlock(b *testing.B) {
	const blocks = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := NewIndex()
		now := time.Now()
		for i := range blocks {
			x.Stored("holder", Hash(i), cacheBlockTokens, blocks*cacheBlockTokens, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/blocks, "B/part")
		runtime.KeepAlive(x)
	}
}

// BenchmarkStored measures the cost of one cache event.
func BenchmarkStored(b *testing.B) {
	x := NewIndex()
	now := time.Now()
	i := 0
	for b.Loop() {
		i++
		x.Stored("holder", Hash(i%50_000), cacheBlockTokens, 1<<30, now)
	}
}

// TestSmallBlocksTakeNoMoreThanTheCapacity guards against an index that grows without end, or far beyond what servers hold,
// because callers name blocks of few or no tokens.
func TestSmallBlocksTakeNoMoreThanTheCapacity(t *testing.T) {
	const capacity = 16_000
	for tokens := range 3 {
		x := NewIndex()
		for n := range 50 {
			var blocks []platform.Block
			for i := range 1000 {
				blocks = append(blocks, platform.Block{ID: fmt.Sprint(n, "-", i), Tokens: tokens})
			}
			x.Add("i", NewPrompt("", blocks), capacity, time.Time{})
		}
		if n := len(x.holders["i"].blocks); n > capacity/cacheBlockTokens {
			t.Errorf("%d blocks of %d tokens at a server of %d tokens", n, tokens, capacity)
		}
	}
}
