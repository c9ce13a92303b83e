package dispatch

import (
	"io"

	"github.com/briarlink/briarlink/internal/clock"
)

// EventReader reads the events of a stream that another host forwards.
type EventReader struct {
	events *eventReader
	// last is the number of the previous event, 0 before the first.
	last int64
}

// NewEventReader returns a reader of the events that follow the given one, or of any that follow each other if it is 0.
// It calls room before it uses memory for an event of a size.
func NewEventReader(body io.Reader, last int64, room func(size int) error) *EventReader {
	events := newEventReader(body)
	events.room = room
	return &EventReader{events, last}
}

// Next returns the next whole event, or io.EOF if the stream ends between two events.
func (er *EventReader) Next() ([]byte, error) {
	ev, err := er.events.next()
	if err == nil {
		err = ev.checkOrder(er.last)
	}
	if err != nil {
		return nil, err
	}
	er.last = ev.number
	return ev.data, nil
}

// Last returns the number of the last event that Next returned, or the one that NewEventReader was given.
func (er *EventReader) Last() int64 { return er.last }

// AllowRetry charges the retry budget for one more arrival of a request that was passed on, and reports whether it
// allows that.
func (d *Dispatcher) AllowRetry(service string) bool { return d.budget.Allow(service, clock.Now()) }
