package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

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
	// discardTimeout is how long the rest of a body is received of a request that was refused before it was read. A
	// connection on which nothing is missing then serves further requests.
	discardTimeout = 500 * time.Millisecond
)

// past is a deadline that ends a read or write in progress.
var past = time.Unix(1, 0)

// receiveBody reads the body into memory that is reserved first, until the request's deadline at the latest.
func (ex *exchange) receiveBody(limit int64) ([]byte, error) {
	if ex.r.ContentLength == 0 {
		return nil, nil
	}
	ex.setReadDeadline(time.Now().Add(clock.Until(ex.deadline())))
	body := &progressReader{http.MaxBytesReader(ex.w, ex.r.Body, limit), ex.memory}
	ex.memory.Start(membudget.Body, clock.Now())
	data, err := membudget.ReadAll(body, ex.r.ContentLength, ex.roomForBody)
	ex.memory.Stop()
	switch {
	case ex.memory.Ended():
		ex.w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.BodyTooSlow, "the body arrived too slowly while this host was short of memory or connections")
	case errors.Is(err, os.ErrDeadlineExceeded):
		ex.w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.BodyTooSlow, "the body did not arrive before the request's deadline")
	}
	// From the end of the body on, the server reads on to notice a caller that leaves.
	ex.setReadDeadline(time.Time{})
	return data, err
}

// limitDiscard limits the time for which the server receives the rest of a body that was not read.
func (ex *exchange) limitDiscard() {
	if ex.r.ContentLength != 0 && !ex.isRead {
		ex.setReadDeadline(time.Now().Add(discardTimeout))
	}
}

func (ex *exchange) setReadDeadline(t time.Time) {
	if err := http.NewResponseController(ex.w).SetReadDeadline(t); err != nil {
		ex.s.Log.WithError(err).Debug("a deadline for reading from a caller was not set")
	}
}

// extendWriteDeadline gives the caller time to take the next part of its answer.
func (ex *exchange) extendWriteDeadline() {
	now := time.Now()
	if ex.s.StallTimeout <= 0 || now.Sub(ex.deadlineSet) < ex.s.StallTimeout/4 {
		return
	}
	ex.deadlineSet = now
	if err := http.NewResponseController(ex.w).SetWriteDeadline(now.Add(ex.s.StallTimeout)); err != nil {
		ex.s.Log.WithError(err).Debug("a deadline for writing to a caller was not set")
	}
}

const (
	// bytesPerBlock is what a prefix block of a request uses beside its text in the head.
	bytesPerBlock = 96
	// usualBlocks is the number of blocks up to which a request reserves no memory for them.
	usualBlocks = 64
)

// roomForBlocks reserves memory for the request's prefix blocks, or refuses the request.
func (ex *exchange) roomForBlocks() error {
	blocks := len(ex.caller.Blocks)
	if blocks <= usualBlocks || ex.memory.Reserve(membudget.Head, int64(blocks)*bytesPerBlock) {
		return nil
	}
	return noRoom(fmt.Sprintf("%d prefix blocks", blocks))
}

// noRoom returns the error of a request without room.
func noRoom(what string) error {
	return errkind.New(errkind.Overloaded, "this host has no memory for "+what).After(minMemoryRetryAfter + rand.N(memoryRetrySpread))
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
	return noRoom(fmt.Sprintf("%d bytes of the body", bytes))
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
	for len(data) > 0 {
		n, err := ex.writePart(data[:min(writeSize, len(data))])
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// writePart writes a part for which the deadline is extended first: an answer that is being written may be ended
// meanwhile, which a later deadline would undo.
func (ex *exchange) writePart(data []byte) (int, error) {
	ex.extendWriteDeadline()
	ex.memory.Start(membudget.Answer, clock.Now())
	defer func() { ex.memory.Pause(clock.Now()) }()
	n, err := ex.w.Write(data)
	ex.memory.Moved(n)
	return n, err
}

// flush flushes a part of the answer, which may wait for the caller too.
func (ex *exchange) flush() error {
	ex.extendWriteDeadline()
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
