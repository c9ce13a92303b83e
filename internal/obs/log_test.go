package obs

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct{ release chan struct{} }

func (o blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

// TestLogNeverBlocks: with a blocked output, lines beyond the queue's limit are dropped and
// counted, and the logger returns at once.
func TestLogNeverBlocks(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: 1e6}, out)
	const wrote = 5000
	for range wrote {
		log.Info("line")
	}
	if dropped := lines.Dropped(); dropped < wrote-maxQueuedLines-1 || dropped >= wrote {
		t.Errorf("%d of %d lines dropped", dropped, wrote)
	}
	close(out.release)
	if err := lines.Close(); err != nil {
		t.Error(err)
	}
}

// TestLogRateIsBounded: lines at level info stay within the configured rate, and lines at
// level warning may use up to twice that rate.
func TestLogRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var buf bytes.Buffer
		log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: 100}, &buf)
		for range 3 {
			for range 500 {
				log.Info("fine")
			}
			for range 500 {
				log.Warn("failed")
			}
			time.Sleep(time.Second)
		}
		if err := lines.Close(); err != nil {
			t.Error(err)
		}
		fine, failed := strings.Count(buf.String(), "fine"), strings.Count(buf.String(), "failed")
		if fine != 300 || failed != 300 {
			t.Errorf("%d lines of success and %d of failure in 3 s", fine, failed)
		}
		if lines.Dropped() != 3000-600 {
			t.Errorf("%d dropped", lines.Dropped())
		}
	})
}

// TestDroppedLinesAreNotFormatted: a line over the rate limit costs no formatting, which would use the
// CPU time that a host lacks while it rejects many requests.
func TestDroppedLinesAreNotFormatted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: 1}, io.Discard)
		formatted := 0
		entry := log.WithField("value", encodeCounter{&formatted})
		for range 100 {
			entry.Info("line")
		}
		if err := lines.Close(); err != nil {
			t.Error(err)
		}
		if formatted != 1 || lines.Dropped() != 99 {
			t.Errorf("%d lines formatted, %d dropped", formatted, lines.Dropped())
		}
	})
}

// encodeCounter counts how often it is encoded as JSON.
type encodeCounter struct{ n *int }

// MarshalJSON implements json.Marshaler.
func (c encodeCounter) MarshalJSON() ([]byte, error) {
	*c.n++
	return []byte("1"), nil
}

func TestLinesAreJSON(t *testing.T) {
	var buf bytes.Buffer
	log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: 10}, &buf)
	log.WithField("request", "r-1").Info("request")
	if err := lines.Close(); err != nil {
		t.Fatal(err)
	}
	var line map[string]any
	if err := json.Unmarshal(buf.Bytes(), &line); err != nil || line["request"] != "r-1" {
		t.Errorf("%v: %s", err, buf.String())
	}
}

func BenchmarkLine(b *testing.B) {
	log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: 1e6}, io.Discard)
	defer lines.Close()
	for b.Loop() {
		log.WithField("request", "9c41d07be2a35f68").WithField("replica", "i-7f3a91c2").Info("request")
	}
}

// TestLogBytesAreBounded: the line that ends a request contains its ID, which may have 32 kB.
// With limits in lines alone, failed requests could write 26 MB a second at a rate of 400 lines,
// and fill the queue of a blocked output with as much.
func TestLogBytesAreBounded(t *testing.T) {
	const (
		rate    = 400
		seconds = 3
		id      = 32 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		var buf bytes.Buffer
		log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: rate}, &buf)
		for range seconds {
			for range 1000 {
				log.WithField("request", strings.Repeat("x", id)).Warn("request")
				synctest.Wait()
			}
			time.Sleep(time.Second)
		}
		if err := lines.Close(); err != nil {
			t.Error(err)
		}
		if limit := seconds * (urgentRateFactor*rate*bytesPerLine + 2*id); buf.Len() > limit {
			t.Errorf("%d bytes in %d s, want at most %d", buf.Len(), seconds, limit)
		}
		t.Logf("%d bytes in %d s", buf.Len(), seconds)
		if buf.Len() < seconds*rate*bytesPerLine {
			t.Errorf("only %d bytes", buf.Len())
		}
	})
	out := blockedOutput{make(chan struct{})}
	log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: 1e6}, out)
	for range 1000 {
		log.WithField("request", strings.Repeat("x", id)).Warn("request")
	}
	if limit := int64(maxQueuedBytes / id); 1000-lines.Dropped() > limit {
		t.Errorf("%d lines of %d bytes queued, want at most %d", 1000-lines.Dropped(), id, limit)
	}
	close(out.release)
	if err := lines.Close(); err != nil {
		t.Error(err)
	}
}
