package await

import (
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/prefix"
)

const ms = time.Millisecond

// TestPlannedFetchesShareTheSourcesLink guards against more fetches from one source at a moment than its
// link carries, and against a count of fetches that are over or are the same.
func TestPlannedFetchesShareTheSourcesLink(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	limits := Limits{Margin: 25 * ms, MaxHold: 500 * ms, MaxFetch: 100 * ms}
	fetch := func(replica string) Fetch {
		return Fetch{Source: "a", Replica: replica, Last: 1, ReadyAt: now.Add(300 * ms), LinksFree: now.Add(345 * ms), Transfer: 30 * ms}
	}
	for i, replica := range []string{"b", "c", "c", "b"} {
		want := []time.Duration{50 * ms, 80 * ms, 80 * ms, 50 * ms}[i]
		p, ok := table.Plan(fetch(replica), limits, now)
		if !ok || p.Hold != 325*ms || p.FetchTime != want {
			t.Fatalf("%s: held for %v, fetch takes %v, want %v", replica, p.Hold, p.FetchTime, want)
		}
		table.Hold(fetch(replica), 40*ms, p.Hold, now)
	}
	if _, ok := table.Plan(fetch("d"), limits, now); ok {
		t.Error("a fetch that takes longer than allowed is planned")
	}
	if ahead := table.HeldAhead("c", now); ahead != 80*ms {
		t.Errorf("held for c: %v", ahead)
	}
	later := fetch("d")
	now = now.Add(325 * ms)
	later.ReadyAt = now.Add(ms)
	if p, ok := table.Plan(later, limits, now); !ok || p.FetchTime != 30*ms || table.HeldAhead("c", now) != 0 {
		t.Errorf("after the holds a fetch takes %v", p.FetchTime)
	}
	later.ReadyAt = now.Add(limits.MaxHold)
	if _, ok := table.Plan(later, limits, now); ok {
		t.Error("a request is held for longer than allowed")
	}
}

// TestUnfinishedPrefillIsNotDone guards against a fetch of blocks that are late, and against a record that
// stays for ever where the end of a prefill is never reported.
func TestUnfinishedPrefillIsNotDone(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	p := prefix.Prompt{Blocks: []prefix.Hash{1, 2}, Tokens: []int{100, 50}}
	expected := now.Add(400 * ms)
	table.Begin("a", p.Blocks[1:], expected, now)
	late := expected.Add(100 * ms)
	if done := table.Done("a", p, late); done != 100 {
		t.Errorf("%d tokens done, want 100", done)
	}
	if at := table.ReadyAt("a", p, expected, 25*ms, late); at != late.Add(125*ms) {
		t.Errorf("expected %v later, want a quarter of the time so far", at.Sub(late))
	}
	if done := table.Done("a", p, expected.Add(maxOverdue)); done != 150 {
		t.Errorf("%d tokens done after the limit, want all", done)
	}
	table.End("a", p.Blocks)
	if done, at := table.Done("a", p, late), table.ReadyAt("a", p, expected, 25*ms, late); done != 150 || at != expected {
		t.Errorf("%d tokens done after the end", done)
	}
}
