package dispatch

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

var (
	errEventTooLarge = errors.New("an event is too large")
	errEventCut      = errors.New("the stream ended within an event")
	errEventNumber   = errors.New("an event without a number, or out of order")
)

// event is one event of a stream, as its bytes.
type event struct {
	data []byte
	// number is the event's ID; 0 without one.
	number int64
}

// eventReader reads whole events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(body io.Reader) *eventReader { return &eventReader{bufio.NewReader(body)} }

// next returns the next whole event, or io.EOF where the stream ends cleanly
// between two events.
func (er *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := er.r.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		if len(ev.data) > maxEvent {
			return ev, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(ev.data) == 0:
			return ev, io.EOF
		case errors.Is(err, io.EOF):
			return ev, errEventCut
		case err != nil:
			return ev, errors.Wrap(err, "read an event")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(ev.data)) > 0 {
			ev.number = numberOf(ev.data)
			return ev, nil
		}
	}
}

// numberOf returns the number in an event's id field, or 0.
func numberOf(data []byte) int64 {
	for _, line := range bytes.Split(data, []byte("\n")) {
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) != "id" {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || n < 0 {
			return 0
		}
		return n
	}
	return 0
}
