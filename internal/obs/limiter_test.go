package obs

import (
	"testing"
	"time"
)

// TestLimiterBoundsLines: of ten lines a second over ten seconds, ten are allowed, and
// each of the others is counted.
func TestLimiterBoundsLines(t *testing.T) {
	var l Limiter
	now := time.Unix(0, 0).Add(time.Hour)
	lines, counted := 0, 0
	for range 100 {
		if skipped, ok := l.Allow(now); ok {
			lines++
			counted += 1 + skipped
		}
		now = now.Add(100 * time.Millisecond)
	}
	if lines != 10 || counted != 91 {
		t.Errorf("%d lines that count %d, want 10 and 91", lines, counted)
	}
}
