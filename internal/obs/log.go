// Package obs sets up logs and metrics.
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
	// queueLines bounds the lines that wait for the output. A line is some 400 bytes,
	// so that the queue mostly holds about 400 kB at most.
	queueLines = 1000
	// lineBytes is what a line may have to count as one; a longer one counts as several.
	// A caller chooses its request's ID, of as much as a request's head takes, so that a
	// rate of lines alone would bound no bytes. Lines on requests with several attempts
	// are shorter.
	lineBytes = 2 << 10
	// queueBytes bounds the bytes that wait for the output.
	queueBytes = queueLines * lineBytes
)

// NewLogger returns a structured logger to w that never waits for it. Close the
// closer to write what is queued.
func NewLogger(s *pb.LogSettings, w io.Writer) (*logrus.Logger, *Writer) {
	out := newWriter(w, s.LinesPerSecond)
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		logger.SetLevel(level)
	}
	logger.AddHook(out)
	return logger, out
}

// Writer queues lines and writes them in the background. Lines beyond a rate, or
// beyond the queue, in number or in bytes, are dropped and counted; lines of level info go first, so
// that those on failed requests are the last to be lost.
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
	// queued is the number of bytes that wait.
	queued int
	// urgent is set by Fire for the line that is about to be written.
	urgent bool
	began  time.Time
}

func newWriter(w io.Writer, rate int64) *Writer {
	out := &Writer{w: w, lines: make(chan []byte, queueLines), done: make(chan struct{}), rate: rate, began: time.Now()}
	go out.run()
	return out
}

// Levels implements logrus.Hook.
func (o *Writer) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook: it notes whether the next line is urgent. The
// logger holds no lock between Fire and Write, so that two lines at once may
// swap their urgency; both are then still counted.
func (o *Writer) Fire(e *logrus.Entry) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.urgent = e.Level <= logrus.WarnLevel
	return nil
}

// urgentShare is how far beyond the rate urgent lines may go.
const urgentShare = 2

// Write implements io.Writer. It never blocks and always takes the line.
func (o *Writer) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return len(line), nil
	}
	if second := int64(time.Since(o.began) / time.Second); second != o.second {
		o.second, o.written = second, 0
	}
	limit := o.rate
	if o.urgent {
		limit *= urgentShare
	}
	if o.written >= limit {
		o.dropped++
		return len(line), nil
	}
	if o.queued+len(line) > queueBytes {
		o.dropped++
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
		o.written += 1 + int64(len(line)/lineBytes)
		o.queued += len(line)
	default:
		o.dropped++
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (o *Writer) Dropped() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

func (o *Writer) run() {
	defer close(o.done)
	for line := range o.lines {
		if _, err := o.w.Write(line); err != nil {
			// There is nowhere to tell of a log that cannot be written; it is counted.
			o.mu.Lock()
			o.dropped++
			o.mu.Unlock()
		}
		o.taken(len(line))
	}
}

// taken notes that the output has taken bytes off the queue.
func (o *Writer) taken(bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queued -= bytes
}

// Close writes what is queued and ends the writer.
func (o *Writer) Close() error {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return errors.New("the log was closed before")
	}
	o.closed = true
	close(o.lines)
	o.mu.Unlock()
	<-o.done
	return nil
}
