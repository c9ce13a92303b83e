package replica

import (
	"slices"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// laggards are the servers that lack wanted weights, in order, if they are known: mostly
// there are none. Each host looks for them some 20 times a second, a routing host 30
// times; looking at each of 1,000 servers took 80 us, with this it takes 25 ns
// (BenchmarkLagging).
type laggards struct {
	ids   []string
	known bool
}

// laggards returns the IDs of the servers that lack wanted weights, in order. What changes
// weights, wanted versions or the servers makes them unknown.
func (t *Table) laggards() []string {
	if t.lagging.known {
		return t.lagging.ids
	}
	t.lagging.ids = t.lagging.ids[:0]
	for id, e := range t.entries {
		if t.lacks(e) {
			t.lagging.ids = append(t.lagging.ids, id)
		}
	}
	slices.Sort(t.lagging.ids)
	t.lagging.known = true
	return t.lagging.ids
}

// Lagging returns those of the servers that lack the wanted weights, by ID.
func (t *Table) Lagging(now time.Time) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Server
	for _, id := range t.laggards() {
		if e := t.entries[id]; t.takesOrders(e) && !t.ordersWait(e, now) {
			out = append(out, t.server(id, e, now))
		}
	}
	return out
}

// Lacking returns how many servers lack the wanted weights, and the longest time for
// which one of them is known to.
func (t *Table) Lacking(now time.Time) (servers int, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.laggards() {
		e := t.entries[id]
		if !t.takesOrders(e) {
			continue
		}
		servers++
		for model, version := range e.weights {
			if first, newer := t.firstNewer(model, version); newer {
				longest = max(longest, now.Sub(first.since))
			}
		}
	}
	return servers, longest
}

// Named returns the versions that some server lacks and of which it is known when
// they were named, for other hosts: one that has just started cannot know.
func (t *Table) Named(now time.Time) []*pb.NamedWeights {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.NamedWeights
	for model, least := range t.oldestLagging() {
		for _, w := range t.wanted[model] {
			if w.version > least && w.dated {
				out = append(out, &pb.NamedWeights{Model: model, Version: w.version, AgeMs: now.Sub(w.since).Milliseconds()})
			}
		}
	}
	return out
}

// oldestLagging returns the oldest version of each model that servers hold which lack
// wanted weights.
func (t *Table) oldestLagging() map[string]int64 {
	oldest := map[string]int64{}
	for _, id := range t.laggards() {
		e := t.entries[id]
		if !t.takesOrders(e) {
			continue
		}
		for model, version := range e.weights {
			if least, ok := oldest[model]; !ok || version < least {
				oldest[model] = version
			}
		}
	}
	return oldest
}
