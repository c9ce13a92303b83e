// Package obs sets up structured logging and metrics.
package obs

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// maxQueuedLines is the maximum number of lines queued for the output. A typical line has
	// about 400 bytes, so a full queue usually holds about 400 kB.
	maxQueuedLines = 1000
	// bytesPerLine is the number of bytes that count as one line of the rate limit; a longer
	// line counts as several. Callers choose their request IDs, up to the size limit of a
	// request's header, so a limit in lines alone would not limit bytes. Even the line of
	// a request with several attempts is shorter than this.
	bytesPerLine = 2 << 10
	// maxQueuedBytes is the maximum number of bytes queued for the output.
	maxQueuedBytes = maxQueuedLines * bytesPerLine
)

// NewLogger returns a structured logger that writes to w in the background and never
// blocks on it. Closing the Writer flushes the queue.
func NewLogger(s *pb.LogSettings, w io.Writer) (*logrus.Logger, *Writer) {
	out := newWriter(w, s.LinesPerSecond)
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&limitedFormatter{out: out, json: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		logger.SetLevel(level)
	}
	logger.AddHook(out)
	return logger, out
}

// limitedFormatter formats no line that the rate limit drops: while a host rejects requests by the
// hundred, formatting their lines is a third of what a rejection costs.
type limitedFormatter struct {
	out  *Writer
	json logrus.JSONFormatter
}

// Format implements logrus.Formatter. It returns no bytes for a line that is dropped.
func (f *limitedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	if f.out.dropAtLimit(e.Level <= logrus.WarnLevel) {
		return nil, nil
	}
	return f.json.Format(e)
}

// Writer queues lines and writes them in the background. Lines over the rate limit, or
// over the queue's limits in lines or bytes, are dropped and counted. Lines at level
// warning and above have a higher rate limit, so that those of failed requests are the
// last to be dropped.
type Writer struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	rate    int64
	second  int64
	written int64
	dropped int64
	// queued is the number of bytes in the queue.
	queued int
	// urgent is set by Fire: the line about to be written is at level warning or above.
	urgent  bool
	started time.Time
}

func newWriter(w io.Writer, rate int64) *Writer {
	out := &Writer{w: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), rate: rate, started: time.Now()}
	go out.run()
	return out
}

// Levels implements logrus.Hook.
func (o *Writer) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook: it records whether the next line is urgent. The logger
// holds no lock between Fire and Write, so two concurrent lines may swap their urgency;
// both are still counted.
func (o *Writer) Fire(e *logrus.Entry) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.urgent = e.Level <= logrus.WarnLevel
	return nil
}

// urgentRateFactor is the rate limit of urgent lines, as a multiple of the configured rate.
const urgentRateFactor = 2

// Write implements io.Writer. It never blocks, and reports success also for a line that
// it drops.
func (o *Writer) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(line) == 0 {
		return len(line), nil
	}
	if o.atLimit(o.urgent) {
		o.dropped++
		return len(line), nil
	}
	if o.queued+len(line) > maxQueuedBytes {
		o.dropped++
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
		o.written += 1 + int64(len(line)/bytesPerLine)
		o.queued += len(line)
	default:
		o.dropped++
	}
	return len(line), nil
}

// atLimit reports whether a line is over the rate limit. The lock must be held.
func (o *Writer) atLimit(urgent bool) bool {
	if second := int64(time.Since(o.started) / time.Second); second != o.second {
		o.second, o.written = second, 0
	}
	limit := o.rate
	if urgent {
		limit *= urgentRateFactor
	}
	return o.written >= limit
}

// dropAtLimit reports whether a line is over the rate limit, and counts it as dropped if so.
func (o *Writer) dropAtLimit(urgent bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || !o.atLimit(urgent) {
		return false
	}
	o.dropped++
	return true
}

// Dropped returns the number of lines dropped so far.
func (o *Writer) Dropped() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

func (o *Writer) run() {
	defer close(o.done)
	for line := range o.lines {
		if _, err := o.w.Write(line); err != nil {
			// A failing log output cannot be reported in the log, so the line counts as
			// dropped.
			o.mu.Lock()
			o.dropped++
			o.mu.Unlock()
		}
		o.dequeued(len(line))
	}
}

// dequeued accounts for bytes that have left the queue.
func (o *Writer) dequeued(bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queued -= bytes
}

// Close flushes the queue and stops the writer.
func (o *Writer) Close() error {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return errors.New("log writer already closed")
	}
	o.closed = true
	close(o.lines)
	o.mu.Unlock()
	<-o.done
	return nil
}
