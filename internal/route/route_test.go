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
	return Candidate{Replica: Replica{ID: id, AvailabilityZone: "z", Usable: true, Weights: 1, Slots: 64, CacheTokens: 165_000, RecentSlowdown: 1}}
}

func longRequest() *Request {
	return &Request{AvailabilityZone: "z", PromptTokens: 17_000, OutputTokens: 120, SharedTokens: 13_300, LatencyTarget: 800 * time.Millisecond}
}

// TestFilters: a candidate with any of these properties is never chosen.
func TestFilters(t *testing.T) {
	policy := DefaultPolicy()
	for name, modify := range map[string]func(*Candidate){
		"not usable":          func(c *Candidate) { c.Usable = false },
		"loading weights":     func(c *Candidate) { c.Loading = true },
		"beyond the deadline": func(c *Candidate) { c.OutdatedFor = policy.WeightsDeadline },
		"just before it":      func(c *Candidate) { c.OutdatedFor = policy.WeightsDeadline - time.Second },
		"queue up to it":      func(c *Candidate) { c.OutdatedFor, c.PrefillTokens = policy.WeightsDeadline-3*time.Second, 80_000 },
		"memory too small":    func(c *Candidate) { c.CacheTokens = 10_000 },
		"asked to back off":   func(c *Candidate) { c.Backoff = time.Millisecond },
		"tried before":        func(c *Candidate) { c.ID = "tried" },
	} {
		c := engine("a")
		modify(&c)
		req := longRequest()
		req.Exclude = map[string]bool{"tried": true}
		_, err := policy.Decide(req, []Candidate{c})
		if !errkind.Is(err, errkind.NoBackend) || errkind.From(err).Retry() <= 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestSuspectedReplicasAreTheLastResort: a suspected replica is never preferred to one that is
// not, whatever their scores. If all are suspected, the last one to give a liveness signal is
// tried.
func TestSuspectedReplicasAreTheLastResort(t *testing.T) {
	policy := DefaultPolicy()
	healthy, unresponsive, longUnresponsive, unusable := engine("sound"), engine("silent"), engine("long silent"), engine("gone")
	healthy.PrefillTokens, healthy.ErrorRate = 200_000, 0.9
	unresponsive.Suspected, unresponsive.UnresponsiveFor = true, time.Second
	longUnresponsive.Suspected, longUnresponsive.UnresponsiveFor = true, 4*time.Second
	unusable.Suspected, unusable.Usable = true, false
	loading := engine("loading")
	loading.Loading = true
	for want, candidates := range map[string][]Candidate{
		"sound":  {longUnresponsive, unresponsive, healthy, unusable},
		"silent": {longUnresponsive, unresponsive, unusable},
		"":       {unusable},
		// The replica that loads weights will be available shortly, so the suspected one is not tried.
		"nobody yet": {unresponsive, loading},
	} {
		d, _ := policy.Decide(longRequest(), candidates)
		if d.ID != strings.TrimPrefix(want, "nobody yet") {
			t.Errorf("chose %q, want %q", d.ID, want)
		}
	}
}

// TestPreferences: of two candidates that differ in one property, the better one is chosen.
func TestPreferences(t *testing.T) {
	for name, modify := range map[string]func(better, worse *Candidate){
		"held prompt":             func(b, _ *Candidate) { b.Cached = 13_300 },
		"fetched prompt":          func(b, _ *Candidate) { b.Fetched, b.FetchTime = 13_300, 40*time.Millisecond },
		"held over fetched":       func(b, w *Candidate) { b.Cached, w.Fetched, w.FetchTime = 13_300, 13_300, 100*time.Millisecond },
		"shorter queue":           func(_, w *Candidate) { w.PrefillTokens = 5_000 },
		"queue against reading":   func(b, w *Candidate) { b.Cached, b.PrefillTokens = 13_300, 10_000; w.PrefillTokens = 0 },
		"idle over a long queue":  func(_, w *Candidate) { w.Cached, w.PrefillTokens = 13_300, 90_000 },
		"new weights":             func(_, w *Candidate) { w.OutdatedFor = 3 * time.Second },
		"free memory":             func(_, w *Candidate) { w.MemoryTokens = 160_000 },
		"normal speed":            func(_, w *Candidate) { w.RecentSlowdown = 7 },
		"no failures":             func(_, w *Candidate) { w.ErrorRate = 0.1 },
		"signs of life":           func(_, w *Candidate) { w.UnresponsiveFor = 500 * time.Millisecond },
		"no trial":                func(_, w *Candidate) { w.Trial = true },
		"same zone, all the same": func(_, w *Candidate) { w.AvailabilityZone = "y"; w.PrefillTokens = 2_000 },
	} {
		better, worse := engine("a"), engine("b")
		modify(&better, &worse)
		for _, order := range [][]Candidate{{better, worse}, {worse, better}} {
			got, err := DefaultPolicy().Decide(longRequest(), order)
			if err != nil || got.ID != "a" {
				t.Errorf("%s: chose %q, %v", name, got.ID, err)
			}
		}
	}
}

// TestRolloutPrefersNewWeights covers a rollout in which only a few replicas hold the new
// weights. They are preferred until their queue exceeds that of the others by about a third of
// the latency target. Beyond that, replicas with outdated weights serve, so that the new ones are
// not overloaded.
func TestRolloutPrefersNewWeights(t *testing.T) {
	policy := DefaultPolicy()
	for queue, want := range map[int]string{0: "new", 10_000: "new", 14_000: "new", 22_000: "old"} {
		fresh, old := engine("new"), engine("old")
		fresh.PrefillTokens = queue
		old.OutdatedFor = 2 * time.Second
		if d, err := policy.Decide(longRequest(), []Candidate{old, fresh}); err != nil || d.ID != want {
			t.Errorf("%d tokens of queue on the new weights: chose %q, %v, want %q", queue, d.ID, err, want)
		}
	}
}

// TestDecisionIsIndependentOfCandidateOrder: without affinity, the same candidates in reverse
// order lead to the same choice, the replica with the shortest queue.
func TestDecisionIsIndependentOfCandidateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "replicas")
		shortest := 1 << 30
		var forward, backward []Candidate
		for i := range n {
			c := engine(string(rune('a' + i)))
			c.PrefillTokens = 500 * rapid.IntRange(0, 4).Draw(t, "queue")
			shortest = min(shortest, c.PrefillTokens)
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
		if err != nil || a.ID != b.ID || a.PrefillTokens != shortest {
			t.Fatalf("chose %s with a queue of %d and %s, %v; the shortest is %d", a.ID, a.PrefillTokens, b.ID, err, shortest)
		}
	})
}

func TestMoreWorkNeverLowersExpectedLatency(t *testing.T) {
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

// TestAffinityKeepsAPrefixTogether: among equal replicas, requests with the same prefix go to
// the same one in whatever order a host lists them.
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

// TestLongPromptsGoToFastEngines: two of three engines have a slowdown of 1.22, the third one of
// 1.59. A prompt with 25,000 tokens to prefill meets a target of 0.8 s on the fast kind only. An
// idle slow engine is preferred to a busy fast one once the queue outweighs the difference.
func TestLongPromptsGoToFastEngines(t *testing.T) {
	policy := DefaultPolicy()
	slow, fast := engine("slow"), engine("fast")
	slow.Slowdown, fast.Slowdown = 1.59, 1.22
	req := &Request{AvailabilityZone: "z", PromptTokens: 25_000, OutputTokens: 120, LatencyTarget: 800 * time.Millisecond}
	for prefill, want := range map[int]string{0: "fast", 6_000: "fast", 15_000: "slow"} {
		fast.PrefillTokens = prefill
		d, err := policy.Decide(req, []Candidate{slow, fast})
		if err != nil || d.ID != want {
			t.Errorf("behind %d tokens: chose %q, %v", prefill, d.ID, err)
		}
		if prefill == 0 && (d.Expected > 800*time.Millisecond || d.Expected < 700*time.Millisecond) {
			t.Errorf("expected the first event after %v", d.Expected)
		}
	}
}

// TestRetryAfterCoversBackoff: if every usable replica asked to back off, the Retry-After is the
// shortest remaining backoff. If one of them is unavailable for another reason, it is the default.
// Replicas that are not usable have no influence. A suspected replica that did not ask to back
// off is still the last resort.
func TestRetryAfterCoversBackoff(t *testing.T) {
	policy := DefaultPolicy()
	at := func(backoff time.Duration) Candidate {
		c := engine(backoff.String())
		c.Backoff = backoff
		return c
	}
	loading, unusable, suspected := engine("loading"), engine("gone"), engine("doubted")
	loading.Loading, unusable.Usable, suspected.Suspected = true, false, true
	for want, candidates := range map[time.Duration][]Candidate{
		2 * time.Second: {at(4 * time.Second), at(2 * time.Second), unusable},
		retryAfter:      {at(4 * time.Second), loading},
	} {
		_, err := policy.Decide(longRequest(), candidates)
		if got := errkind.From(err).Retry(); !errkind.Is(err, errkind.NoBackend) || got != want {
			t.Errorf("%v, Retry-After %v, want %v", err, got, want)
		}
	}
	if d, err := policy.Decide(longRequest(), []Candidate{at(time.Second), suspected}); err != nil || d.ID != "doubted" {
		t.Errorf("%v, %v", d.ID, err)
	}
}
