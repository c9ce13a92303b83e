package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/membudget"
)

const (
	// minMemoryRetryAfter and memoryRetrySpread give the Retry-After of a request without room. Slow
	// callers are ended after one to two seconds; the random part keeps callers from returning at once.
	minMemoryRetryAfter = 500 * time.Millisecond
	memoryRetrySpread   = 500 * time.Millisecond
	// writeSize is the size of the parts in which an answer is written, so that the progress of its
	// caller is known.
	writeSize = 8 << 10
)

// past is a deadline that ends a read or write in progress.
var past = time.Unix(1, 0)

// receiveBody reads the body into memory that is reserved first.
func (ex *exchange) receiveBody(limit int64) ([]byte, error) {
	body := &progressReader{http.MaxBytesReader(ex.w, ex.r.Body, limit), ex.memory}
	ex.memory.Start(membudget.Body, clock.Now())
	data, err := membudget.ReadAll(body, ex.r.ContentLength, ex.roomForBody)
	ex.memory.Stop()
	if ex.memory.Ended() {
		ex.w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.BodyTooSlow, "the body arrived too slowly while this host was short of memory")
	}
	return data, err
}

// roomForBody reserves memory for a part of the body, or refuses the request.
func (ex *exchange) roomForBody(bytes int64) error {
	if bytes < 0 {
		ex.memory.Return(membudget.Body, -bytes)
		return nil
	}
	if ex.memory.Reserve(membudget.Body, bytes) {
		return nil
	}
	// Otherwise the server would read the rest of the body before it answers.
	ex.w.Header().Set("Connection", "close")
	return errkind.New(errkind.Overloaded, fmt.Sprintf("this host has no memory for %d bytes of the body", bytes)).
		After(minMemoryRetryAfter + rand.N(memoryRetrySpread))
}

// endTransfer ends a transfer in progress: a blocked read or write fails at once.
func (ex *exchange) endTransfer(kind membudget.Kind) {
	control := http.NewResponseController(ex.w)
	set := control.SetWriteDeadline
	if kind == membudget.Body {
		set = control.SetReadDeadline
	}
	if err := set(past); err != nil {
		ex.s.Log.WithError(err).Debug("a slow caller's connection was not ended")
	}
}

// explainEnd returns the error of a request whose caller read its answer too slowly.
func (ex *exchange) explainEnd(err error) error {
	if err == nil || !ex.memory.Ended() || errkind.Is(err, errkind.BodyTooSlow) {
		return err
	}
	return errkind.Wrap(errkind.CallerGone, err, slowReaderReason)
}

// slowReaderReason is part of the line of a request whose answer was aborted.
const slowReaderReason = "the answer was aborted: its caller read it too slowly while this host was short of memory"

// write writes a part of the answer and measures the caller's progress.
func (ex *exchange) write(data []byte) error {
	if ex.memory == nil {
		_, err := ex.w.Write(data)
		return err
	}
	ex.memory.Start(membudget.Answer, clock.Now())
	defer func() { ex.memory.Pause(clock.Now()) }()
	for len(data) > 0 {
		n, err := ex.w.Write(data[:min(writeSize, len(data))])
		ex.memory.Moved(n)
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// flush flushes a part of the answer, which may wait for the caller too.
func (ex *exchange) flush() error {
	ex.memory.Start(membudget.Answer, clock.Now())
	defer func() { ex.memory.Pause(clock.Now()) }()
	return http.NewResponseController(ex.w).Flush()
}

// progressReader counts what a caller sends.
type progressReader struct {
	io.Reader
	memory *membudget.Hold
}

// Read implements io.Reader.
func (r *progressReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	r.memory.Moved(n)
	return n, err
}
