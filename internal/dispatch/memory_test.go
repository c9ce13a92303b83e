package dispatch

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/membudget"
)

// TestLargeEventsAskForRoom guards against an event of a stream that is held without memory reserved for it, and
// against memory that is reserved beyond the event's end.
func TestLargeEventsAskForRoom(t *testing.T) {
	const limit = 8 << 20
	b := membudget.New(limit)
	hold := b.Open(func(membudget.Kind) {})
	x := &exchange{run: &run{req: &Request{Memory: hold}}}
	room := x.streamRoom(t.Context())
	if err := room.open(); err != nil {
		t.Fatal(err)
	}
	events := newEventReader(strings.NewReader("id: 1\ndata: small\n\nid: 2\ndata: " + strings.Repeat("x", 300<<10) + "\n\n"))
	events.room = room.grow
	for _, most := range []int64{streamBytes, streamBytes + 5*membudget.Step} {
		ev, err := events.next()
		held := b.Held()[membudget.Answer]
		if err != nil || held > most || held+usualEvent-streamBytes < int64(len(ev.data)) {
			t.Errorf("event of %d bytes: %v, %d held", len(ev.data), err, held)
		}
		room.forwarded()
	}
	if held := b.Held()[membudget.Answer]; held != streamBytes {
		t.Errorf("%d bytes held between events", held)
	}
	if _, err := events.next(); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	room.release()
	room.release()
	if held := b.Held()[membudget.Answer]; held != 0 {
		t.Errorf("%d bytes held after the stream", held)
	}
}
