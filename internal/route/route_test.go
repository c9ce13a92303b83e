package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/prefix"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

func drawSnapshot(t *rapid.T) Snapshot {
	var snap Snapshot
	for i := range rapid.IntRange(0, 8).Draw(t, "replicas") {
		snap.Replicas = append(snap.Replicas, Replica{
			ID: fmt.Sprint("r", i), Number: prefix.Replica(i), Model: "m",
			Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
			Serving: rapid.Bool().Draw(t, "serving"),
			// Few values, so that ties are common.
			Queued:  float64(10 * rapid.IntRange(0, 2).Draw(t, "queued")),
			Prefill: time.Duration(10*rapid.IntRange(1, 2).Draw(t, "prefill")) * time.Millisecond,
		})
	}
	return snap
}

func drawRequest(t *rapid.T) *Request {
	req := &Request{
		Model: "m", Version: "v1", Pieces: 10, Affinity: rapid.Uint64().Draw(t, "affinity"),
		Bounds: Bounds{FirstToken: time.Duration(rapid.IntRange(0, 2000).Draw(t, "first")) * time.Millisecond},
	}
	for i := range 8 {
		if depth := 5 * rapid.IntRange(0, 2).Draw(t, "depth"); depth > 0 {
			req.Matches = append(req.Matches, prefix.Match{Replica: prefix.Replica(i), Depth: depth})
		}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "tried") {
		req.Exclude = append(req.Exclude, fmt.Sprint("r", i))
	}
	return req
}

// cost is the oracle's price of a replica, and whether it may be used at all.
func cost(p Policy, req *Request, r *Replica) (score float64, first time.Duration, ok bool) {
	cached := 0.0
	for _, m := range req.Matches {
		if m.Replica == r.Number {
			cached = float64(m.Depth)
		}
	}
	wait := r.Queued * r.Prefill.Seconds()
	prefill := (req.Pieces - cached) * r.Prefill.Seconds()
	first = time.Duration((wait + prefill) * float64(time.Second))
	ok = r.Serving && r.Version == req.Version && !slices.Contains(req.Exclude, r.ID)
	return (1-p.RecomputeWeight)*wait + prefill, first, ok
}

// TestDecisionAgainstOracle compares with the plain search for the lowest price.
func TestDecisionAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap, req := drawSnapshot(t), drawRequest(t)
		policy := Policy{RecomputeWeight: float64(rapid.IntRange(0, 10).Draw(t, "weight")) / 10}
		got, err := NewPipeline(policy).Decide(req, snap)
		usable, best, found := 0, 0.0, false
		for i := range snap.Replicas {
			score, first, ok := cost(policy, req, &snap.Replicas[i])
			if !ok {
				continue
			}
			usable++
			if req.Bounds.FirstToken > 0 && first > req.Bounds.FirstToken+time.Microsecond {
				continue
			}
			if !found || score < best {
				best, found = score, true
			}
		}
		switch {
		case usable == 0:
			if !errkind.Is(err, errkind.NoBackend) {
				t.Fatalf("no usable replica: %v", err)
			}
		case !found:
			if !errkind.Is(err, errkind.Overloaded) {
				t.Fatalf("all too late: %v", err)
			}
		case err != nil:
			t.Fatal(err)
		default:
			score, _, ok := cost(policy, req, &got.Replica)
			if !ok || score > best+1e-6 {
				t.Fatalf("picked %s at %g, best %g, usable %v", got.Replica.ID, score, best, ok)
			}
		}
	})
}

// TestDecisionIgnoresOrder shuffles the snapshot: hosts must agree.
func TestDecisionIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap, req := drawSnapshot(t), drawRequest(t)
		p := NewPipeline(DefaultPolicy())
		first, err1 := p.Decide(req, snap)
		shuffled := Snapshot{Replicas: slices.Clone(snap.Replicas)}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(shuffled.Replicas), func(i, j int) {
			shuffled.Replicas[i], shuffled.Replicas[j] = shuffled.Replicas[j], shuffled.Replicas[i]
		})
		second, err2 := p.Decide(req, shuffled)
		if first.Replica.ID != second.Replica.ID || (err1 == nil) != (err2 == nil) {
			t.Fatalf("%s, then %s", first.Replica.ID, second.Replica.ID)
		}
	})
}
