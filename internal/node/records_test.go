package node

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestFetchesAreALineASecond: while the store is lost, each heartbeat of a host that knows
// more makes one that lags fetch from it, 174 a second at 300 hosts. Where the other host
// cannot be reached either, each fetch ended in a line: half of what the log takes, when
// it is needed most. Topics are told apart, as entries change more often than the
// configuration.
func TestFetchesAreALineASecond(t *testing.T) {
	const (
		heard   = 174
		seconds = 10
	)
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := idle(t, "a")
		n.log.SetOutput(&out)
		for range heard * seconds {
			n.fetch(n.servers, "b", "nowhere")
			time.Sleep(time.Second / heard)
		}
		n.fetch(n.operators, "b", "nowhere")
		if got := strings.Count(out.String(), "records not fetched from another host"); got < seconds || got > seconds+1 {
			t.Errorf("%d lines in %d s", got, seconds)
		}
		if !strings.Contains(out.String(), n.operators.Name()) {
			t.Error("the other topic's line is missing")
		}
		out.Reset()
		for i := range heard * seconds {
			n.fetched(n.servers, "b", 1, int64(i))
			time.Sleep(time.Second / heard)
		}
		if got := strings.Count(out.String(), "records taken from another host"); got < seconds-1 || got > seconds {
			t.Errorf("%d lines of records taken in %d s", got, seconds)
		}
	})
}
