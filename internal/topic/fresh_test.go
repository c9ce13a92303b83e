package topic

import (
	"testing"
	"time"
)

// TestFreshnessPassesOnFromHostToHost: a standby host knows through its relay how
// old the newest read of another host is, and no word makes a view younger than it
// is, or one that lacks records.
func TestFreshnessPassesOnFromHostToHost(t *testing.T) {
	start := time.Unix(1000, 0)
	var relay, standby Freshness
	if relay.Age(start) != NeverFresh {
		t.Error("fresh without any word")
	}
	relay.Heard(5, 5, 100*time.Millisecond, start)
	later := start.Add(300 * time.Millisecond)
	standby.Heard(5, 5, relay.Age(later), later)
	if got := standby.Age(later); got != 400*time.Millisecond {
		t.Errorf("age %v at the standby host, want 400ms", got)
	}
	standby.Heard(6, 5, 0, later)
	standby.Heard(5, 5, time.Second, later)
	standby.Heard(5, 5, NeverFresh, later)
	standby.Heard(5, 5, -time.Second, later)
	if got := standby.Age(later); got != 400*time.Millisecond {
		t.Errorf("age %v after words that say nothing newer", got)
	}
	standby.Heard(6, 6, 50*time.Millisecond, later)
	if got := standby.Age(later); got != 50*time.Millisecond {
		t.Errorf("age %v once the records are known", got)
	}
}
