package prefix

import (
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

func testPrompt(salt string, ids ...string) Prompt {
	var parts []platform.Part
	for _, id := range ids {
		parts = append(parts, platform.Part{ID: id, Tokens: 100})
	}
	return NewPrompt(salt, append(parts, platform.Part{ID: "own", Tokens: 50}))
}

// TestSaltsShareNothing: another weights version or an isolated organisation has
// another salt.
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

// TestPartsBeingReadAreNoSource: they count for the same replica only.
func TestPartsBeingReadAreNoSource(t *testing.T) {
	x := NewIndex()
	now := time.Now()
	p := testPrompt("s", "a", "b")
	x.Add("r", p, 10000, now.Add(time.Second))
	if held, read := x.Held("r", p, now); held != 200 || read != 0 {
		t.Errorf("held %d, read %d", held, read)
	}
	if held, read := x.Held("r", p, now.Add(time.Second)); held != 200 || read != 200 {
		t.Errorf("later: held %d, read %d", held, read)
	}
}

// TestFailedReadingIsUnlearned, but not what an event has told of.
func TestFailedReadingIsUnlearned(t *testing.T) {
	x := NewIndex()
	now := time.Now()
	p := testPrompt("s", "a", "b")
	x.Add("r", p, 10000, now)
	x.Stored("r", p.Parts[0], 100, 10000, now)
	x.Unlearn("r", p)
	if held, _ := x.Held("r", p, now); held != 100 {
		t.Errorf("held %d, want the confirmed part", held)
	}
}

// TestEventsAgreeWithAnOracle plays stores and evictions told by events.
func TestEventsAgreeWithAnOracle(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex()
		now := time.Now()
		truth := map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "part")
				stored := rapid.SampledFrom([]int{0, 48, 100}).Draw(t, "tokens")
				truth[id] = stored
				x.Stored("r", HashOf("s", id), stored, 10000, now)
			},
			"": func(t *rapid.T) {
				want := 0
				for _, id := range ids {
					want += truth[id]
					if truth[id] < 100-blockTokens {
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

// BenchmarkBytesOfAPart reports the memory that one believed part takes: it bounds
// how many a host can know of.
func BenchmarkBytesOfAPart(b *testing.B) {
	const parts = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := NewIndex()
		now := time.Now()
		for i := range parts {
			x.Stored("holder", Hash(i), blockTokens, parts*blockTokens, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/parts, "B/part")
		runtime.KeepAlive(x)
	}
}

// BenchmarkStored is the cost of one cache event.
func BenchmarkStored(b *testing.B) {
	x := NewIndex()
	now := time.Now()
	i := 0
	for b.Loop() {
		i++
		x.Stored("holder", Hash(i%50_000), blockTokens, 1<<30, now)
	}
}
