package dispatch

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent limits the size of one event of a stream, in bytes.
const maxEvent = 1 << 20

var (
	errEventTooLarge = errors.New("event exceeds the size limit")
	// errEventTruncated counts as a broken connection: a stream without length or chunks ends like this
	// if its server crashes.
	errEventTruncated = errors.Wrap(io.ErrUnexpectedEOF, "stream ended within an event")
	errEventOrder     = errors.New("event without an ID or out of order")
)

// event is one server-sent event of a stream.
type event struct {
	// data is the whole event as received.
	data []byte
	// number is the event's ID, 0 without one.
	number int64
}

// checkOrder returns an error unless the event directly follows the last one, which is 0 before the first.
func (ev event) checkOrder(last int64) error {
	if ev.number == 0 || last > 0 && ev.number != last+1 {
		return errEventOrder
	}
	return nil
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
	// room asks for memory for an event of a size before it is used.
	room func(size int) error
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{bufio.NewReader(body), func(int) error { return nil }}
}

// next returns the next complete event, or io.EOF if the stream ends between two events.
func (er *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := er.r.ReadSlice('\n')
		if err := er.room(len(ev.data) + len(line)); err != nil {
			return ev, err
		}
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
			return ev, errEventTruncated
		case err != nil:
			return ev, errors.Wrap(err, "read an event")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(ev.data)) > 0 {
			ev.number = eventNumber(ev.data)
			return ev, nil
		}
	}
}

// firstEvent returns the first event of data, or all of it.
func firstEvent(data []byte) []byte {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(data, []byte(end)); i >= 0 {
			data = data[:i+len(end)]
		}
	}
	return data
}

// eventNumber returns the value of an event's id field, 0 without a valid one.
func eventNumber(data []byte) int64 {
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
