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

// stuck is an output that never takes a line.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestLogNeverBlocks, however many lines there are for an output that is stuck.
func TestLogNeverBlocks(t *testing.T) {
	out := stuck{make(chan struct{})}
	log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: 1e6}, out)
	const wrote = 5000
	for range wrote {
		log.Info("line")
	}
	if dropped := lines.Dropped(); dropped < wrote-queueLines-1 || dropped >= wrote {
		t.Errorf("%d of %d lines dropped", dropped, wrote)
	}
	close(out.release)
	if err := lines.Close(); err != nil {
		t.Error(err)
	}
}

// TestLogRateIsBounded, and lines on failures have room of their own.
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

// TestLogBytesAreBounded: a caller may send an ID of 32 kB, which stands in the line that
// ends its request. Lines were counted, whatever their length: 26 MB a second of those on
// failures at the rate of 400 lines, and as much in the queue of an output that is stuck.
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
		if most := seconds * (urgentShare*rate*lineBytes + 2*id); buf.Len() > most {
			t.Errorf("%d bytes in %d s, want %d at the most", buf.Len(), seconds, most)
		}
		t.Logf("%d bytes in %d s", buf.Len(), seconds)
		if buf.Len() < seconds*rate*lineBytes {
			t.Errorf("only %d bytes", buf.Len())
		}
	})
	out := stuck{make(chan struct{})}
	log, lines := NewLogger(&pb.LogSettings{Level: "info", LinesPerSecond: 1e6}, out)
	for range 1000 {
		log.WithField("request", strings.Repeat("x", id)).Warn("request")
	}
	if most := int64(queueBytes / id); 1000-lines.Dropped() > most {
		t.Errorf("%d lines of %d bytes wait, want %d at the most", 1000-lines.Dropped(), id, most)
	}
	close(out.release)
	if err := lines.Close(); err != nil {
		t.Error(err)
	}
}
