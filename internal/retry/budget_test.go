package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/briarlink/briarlink/test/fixedseed"
)

// TestBudgetHoldsInEveryWindow draws requests and retries at several hosts and checks the retries
// of every window against the requests of this window and the previous one.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		hosts  = 3
		ratio  = 0.2
		slack  = 12.0
		window = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		now := start
		var budgets []*Budget
		for range hosts {
			budgets = append(budgets, NewBudget(ratio, window, slack, hosts, start))
		}
		var requests, retries []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"requests": func(t *rapid.T) {
				h := rapid.IntRange(0, hosts-1).Draw(t, "host")
				for range rapid.IntRange(1, 30).Draw(t, "n") {
					budgets[h].RecordRequest("s", now)
					requests = append(requests, now)
				}
			},
			"repeats": func(t *rapid.T) {
				h := rapid.IntRange(0, hosts-1).Draw(t, "host")
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					if budgets[h].Allow("s", now) {
						retries = append(retries, now)
					}
				}
			},
		})
		for _, end := range retries {
			begin := end.Add(-window)
			got := count(retries, begin, end)
			// A host's retries depend on its requests of up to one window before. The hosts'
			// requests may be spread over two windows, so the requests of both limit the sum.
			allowed := ratio*float64(count(requests, begin.Add(-window), end)) + slack
			if float64(got) > allowed+1e-9 {
				t.Fatalf("%d retries in a window that allows %.1f", got, allowed)
			}
		}
	})
}

func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	now := time.Now()
	b := NewBudget(0, time.Second, 1, 1, now)
	if !b.Allow("a", now) || b.Allow("a", now) || !b.Allow("b", now) {
		t.Error("want one retry for each service")
	}
	if !b.Allow("a", now.Add(2*time.Second)) {
		t.Error("want another retry after the window")
	}
}
