package node

import (
	"testing"
	"time"
)

// TestRequestedHeartbeatsLeaveTheLink guards against a host that fills its link with heartbeats between
// intervals, and against news that waits longer than for an interval.
func TestRequestedHeartbeatsLeaveTheLink(t *testing.T) {
	const interval = 150 * time.Millisecond
	for _, c := range []struct {
		bytes    int
		linkMbps float64
		want     time.Duration
	}{
		{1200, 0, minHeartbeatGap},
		{1200, 200, minHeartbeatGap},
		{31_250, 25, 40 * time.Millisecond},
		{115_000, 10, interval / 2},
	} {
		if got := heartbeatGap(c.bytes, c.linkMbps, interval); got != c.want {
			t.Errorf("%d bytes at %v Mbit/s: %v, want %v", c.bytes, c.linkMbps, got, c.want)
		}
	}
}
