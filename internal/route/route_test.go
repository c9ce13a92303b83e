package route

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/mechanism"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

func engine(id string) Candidate {
	return Candidate{Replica: Replica{ID: id, AvailabilityZone: "z", Usable: true, Weights: 1, Slots: 64, CacheTokens: 165_000, Slow: 1}}
}

func longRequest() *Request {
	return &Request{AvailabilityZone: "z", PromptTokens: 17_000, OutputTokens: 120, SharedTokens: 13_300, LatencyTarget: 800 * time.Millisecond}
}

// TestFilters: none of these is ever chosen.
func TestFilters(t *testing.T) {
	policy := DefaultPolicy()
	for name, spoil := range map[string]func(*Candidate){
		"not usable":          func(c *Candidate) { c.Usable = false },
		"loading weights":     func(c *Candidate) { c.Loading = true },
		"beyond the deadline": func(c *Candidate) { c.Behind = policy.WeightsDeadline },
		"just before it":      func(c *Candidate) { c.Behind = policy.WeightsDeadline - time.Second },
		"queue up to it":      func(c *Candidate) { c.Behind, c.PrefillTokens = policy.WeightsDeadline-3*time.Second, 80_000 },
		"memory too small":    func(c *Candidate) { c.CacheTokens = 10_000 },
		"asked to back off":   func(c *Candidate) { c.Backoff = time.Millisecond },
		"tried before":        func(c *Candidate) { c.ID = "tried" },
	} {
		c := engine("a")
		spoil(&c)
		req := longRequest()
		req.Exclude = map[string]bool{"tried": true}
		_, err := policy.Decide(req, []Candidate{c})
		if !errkind.Is(err, errkind.NoBackend) || errkind.From(err).Retry() <= 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestDoubtedReplicasAreTheLastResort: however good they look, and however bad the
// others; alone, the one that was heard of last is tried.
func TestDoubtedReplicasAreTheLastResort(t *testing.T) {
	policy := DefaultPolicy()
	sound, silent, longSilent, gone := engine("sound"), engine("silent"), engine("long silent"), engine("gone")
	sound.PrefillTokens, sound.Errors = 200_000, 0.9
	silent.Doubted, silent.Silence = true, time.Second
	longSilent.Doubted, longSilent.Silence = true, 4*time.Second
	gone.Doubted, gone.Usable = true, false
	loading := engine("loading")
	loading.Loading = true
	for want, candidates := range map[string][]Candidate{
		"sound":  {longSilent, silent, sound, gone},
		"silent": {longSilent, silent, gone},
		"":       {gone},
		// One that loads weights will be there in a moment.
		"nobody yet": {silent, loading},
	} {
		d, _ := policy.Decide(longRequest(), candidates)
		if d.ID != strings.TrimPrefix(want, "nobody yet") {
			t.Errorf("chose %q, want %q", d.ID, want)
		}
	}
}

// TestPreferences: the first of each pair is chosen.
func TestPreferences(t *testing.T) {
	for name, spoil := range map[string]func(better, worse *Candidate){
		"held prompt":             func(b, _ *Candidate) { b.Cached = 13_300 },
		"fetched prompt":          func(b, _ *Candidate) { b.Fetched, b.FetchTime = 13_300, 40*time.Millisecond },
		"held over fetched":       func(b, w *Candidate) { b.Cached, w.Fetched, w.FetchTime = 13_300, 13_300, 100*time.Millisecond },
		"shorter queue":           func(_, w *Candidate) { w.PrefillTokens = 5_000 },
		"queue against reading":   func(b, w *Candidate) { b.Cached, b.PrefillTokens = 13_300, 10_000; w.PrefillTokens = 0 },
		"idle over a long queue":  func(_, w *Candidate) { w.Cached, w.PrefillTokens = 13_300, 90_000 },
		"new weights":             func(_, w *Candidate) { w.Behind = 3 * time.Second },
		"free memory":             func(_, w *Candidate) { w.MemoryTokens = 160_000 },
		"normal speed":            func(_, w *Candidate) { w.Slow = 7 },
		"no failures":             func(_, w *Candidate) { w.Errors = 0.1 },
		"signs of life":           func(_, w *Candidate) { w.Silence = 500 * time.Millisecond },
		"no trial":                func(_, w *Candidate) { w.Trial = true },
		"same zone, all the same": func(_, w *Candidate) { w.AvailabilityZone = "y"; w.PrefillTokens = 2_000 },
	} {
		better, worse := engine("a"), engine("b")
		spoil(&better, &worse)
		for _, order := range [][]Candidate{{better, worse}, {worse, better}} {
			got, err := DefaultPolicy().Decide(longRequest(), order)
			if err != nil || got.ID != "a" {
				t.Errorf("%s: chose %q, %v", name, got.ID, err)
			}
		}
	}
}

// TestRolloutFillsNewWeightsFirst: the load while weights are brought to a fleet, of
// which a few replicas hold the new ones. These take requests up to a third of a
// latency target of queue more than the others; beyond that the old ones serve, so
// that the new ones are not overrun.
func TestRolloutFillsNewWeightsFirst(t *testing.T) {
	policy := DefaultPolicy()
	for queue, want := range map[int]string{0: "new", 10_000: "new", 14_000: "new", 22_000: "old"} {
		fresh, old := engine("new"), engine("old")
		fresh.PrefillTokens = queue
		old.Behind = 2 * time.Second
		if d, err := policy.Decide(longRequest(), []Candidate{old, fresh}); err != nil || d.ID != want {
			t.Errorf("%d tokens of queue on the new weights: chose %q, %v, want %q", queue, d.ID, err, want)
		}
	}
}

// TestDecisionIsOrderFree: the same candidates in another order give a choice
// that is as good within the tolerance, and equal candidates the same choice. Without
// affinity it is the cheapest.
func TestDecisionIsOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "replicas")
		least := 1 << 30
		var forward, backward []Candidate
		for i := range n {
			c := engine(string(rune('a' + i)))
			c.PrefillTokens = 500 * rapid.IntRange(0, 4).Draw(t, "queue")
			least = min(least, c.PrefillTokens)
			forward = append(forward, c)
			backward = append([]Candidate{c}, backward...)
		}
		req := longRequest()
		req.Affinity = rapid.Uint64().Draw(t, "affinity")
		policy := DefaultPolicy().Without(mechanism.Off{mechanism.Affinity: true})
		a, err := policy.Decide(req, forward)
		if err != nil {
			t.Fatal(err)
		}
		b, err := policy.Decide(req, backward)
		if err != nil || a.ID != b.ID || a.PrefillTokens != least {
			t.Fatalf("chose %s with a queue of %d and %s, %v; the shortest is %d", a.ID, a.PrefillTokens, b.ID, err, least)
		}
	})
}

// TestMoreWorkNeverLowersTheExpectation.
func TestMoreWorkNeverLowersTheExpectation(t *testing.T) {
	policy := DefaultPolicy()
	rapid.Check(t, func(t *rapid.T) {
		c := engine("a")
		c.PrefillTokens = rapid.IntRange(0, 100_000).Draw(t, "queue")
		c.MemoryTokens = rapid.IntRange(0, 300_000).Draw(t, "memory")
		c.Requests = rapid.IntRange(0, 64).Draw(t, "requests")
		less, err := policy.Decide(longRequest(), []Candidate{c})
		if err != nil {
			t.Fatal(err)
		}
		c.PrefillTokens += rapid.IntRange(0, 1000).Draw(t, "more queue")
		c.MemoryTokens += rapid.IntRange(0, 1000).Draw(t, "more memory")
		more, err := policy.Decide(longRequest(), []Candidate{c})
		if err != nil || more.Expected < less.Expected || more.Score < less.Score {
			t.Fatalf("%v after %v, %v", more.Expected, less.Expected, err)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{12, 72, 400} {
		candidates := make([]Candidate, n)
		for i := range candidates {
			candidates[i] = engine(string(rune('a'+i%26)) + string(rune('a'+i/26)))
		}
		b.Run(time.Duration(n).String()[:len(time.Duration(n).String())-2], func(b *testing.B) {
			for b.Loop() {
				if _, err := DefaultPolicy().Decide(longRequest(), candidates); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestAffinityKeepsAPrefixTogether: equal replicas give the same choice for the same
// leading part in any order, whichever host decides.
func TestAffinityKeepsAPrefixTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var forward, backward []Candidate
		for i := range rapid.IntRange(1, 6).Draw(t, "replicas") {
			c := engine(string(rune('a' + i)))
			forward = append(forward, c)
			backward = append([]Candidate{c}, backward...)
		}
		req := longRequest()
		req.Affinity = rapid.Uint64().Draw(t, "affinity")
		a, err := DefaultPolicy().Decide(req, forward)
		if err != nil {
			t.Fatal(err)
		}
		b, err := DefaultPolicy().Decide(req, backward)
		if err != nil || a.ID != b.ID {
			t.Fatalf("chose %s and %s, %v", a.ID, b.ID, err)
		}
	})
}

// TestLongPromptsGoToFastEngines: two engines in three take 1.22 times as long as is
// expected of any, the third kind 1.59 times: a prompt of 25,000 unread tokens is on time
// against 0.8 s on the fast kind alone. A busy fast engine is left for an idle slow one once
// its queue costs more than the difference.
func TestLongPromptsGoToFastEngines(t *testing.T) {
	policy := DefaultPolicy()
	slow, fast := engine("slow"), engine("fast")
	slow.Pace, fast.Pace = 1.59, 1.22
	req := &Request{AvailabilityZone: "z", PromptTokens: 25_000, OutputTokens: 120, LatencyTarget: 800 * time.Millisecond}
	for prefill, want := range map[int]string{0: "fast", 6_000: "fast", 15_000: "slow"} {
		fast.PrefillTokens = prefill
		d, err := policy.Decide(req, []Candidate{slow, fast})
		if err != nil || d.ID != want {
			t.Errorf("behind %d tokens: chose %q, %v", prefill, d.ID, err)
		}
		if prefill == 0 && (d.Expected > 800*time.Millisecond || d.Expected < 700*time.Millisecond) {
			t.Errorf("expected after %v", d.Expected)
		}
	}
}

// TestCallersComeBackAfterTheBackoff: where every replica that may serve asked to back off,
// callers are told the time until the first of them may be asked. While one is only busy
// otherwise it is a short while; replicas that are gone play no part. One that is doubted and
// not backed off from is still the last resort.
func TestCallersComeBackAfterTheBackoff(t *testing.T) {
	policy := DefaultPolicy()
	at := func(backoff time.Duration) Candidate {
		c := engine(backoff.String())
		c.Backoff = backoff
		return c
	}
	loading, gone, doubted := engine("loading"), engine("gone"), engine("doubted")
	loading.Loading, gone.Usable, doubted.Doubted = true, false, true
	for want, candidates := range map[time.Duration][]Candidate{
		2 * time.Second: {at(4 * time.Second), at(2 * time.Second), gone},
		retryAfter:      {at(4 * time.Second), loading},
	} {
		_, err := policy.Decide(longRequest(), candidates)
		if got := errkind.From(err).Retry(); !errkind.Is(err, errkind.NoBackend) || got != want {
			t.Errorf("%v, come back after %v, want %v", err, got, want)
		}
	}
	if d, err := policy.Decide(longRequest(), []Candidate{at(time.Second), doubted}); err != nil || d.ID != "doubted" {
		t.Errorf("%v, %v", d.ID, err)
	}
}
