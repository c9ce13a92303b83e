package dispatch

import (
	"context"
	"io"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/upstream"
)

// streamBytes is what a stream uses beside its events: the buffers of the connection to the server, of
// the reader that splits it into events, and an event of usual size.
const streamBytes = 16 << 10

// usualEvent is the size in bytes of an event that streamBytes includes.
const usualEvent = 4 << 10

// readAnswer reads an answer into memory that is reserved first. If there is no room, the answer
// stays at the server until there is, or ctx ends. whole is false if it is longer than
// maxBufferedAnswer: the rest remains to be read.
func (x *exchange) readAnswer(ctx context.Context, resp *upstream.Response) (body []byte, whole bool, err error) {
	if resp.Length() > maxBufferedAnswer {
		return nil, false, nil
	}
	if x.req.Memory != nil && resp.Length() > membudget.Step {
		// How long it takes to read a large answer depends on this host's memory.
		x.choice.Flight.AnswerStarted(clock.Now())
	}
	reserved := int64(0)
	beginning := &io.LimitedReader{R: resp.Body, N: maxBufferedAnswer}
	body, err = membudget.ReadAll(beginning, resp.Length(), func(bytes int64) error {
		err := x.awaitMemory(ctx, bytes)
		if err == nil {
			reserved += bytes
		}
		return err
	})
	if err != nil {
		x.req.Memory.Return(membudget.Answer, reserved)
	}
	return body, resp.Length() >= 0 || beginning.N > 0, err
}

// awaitMemory reserves memory for the answer as soon as there is room.
func (x *exchange) awaitMemory(ctx context.Context, bytes int64) error {
	if bytes < 0 {
		x.req.Memory.Return(membudget.Answer, -bytes)
		return nil
	}
	return x.req.Memory.Await(ctx, membudget.Answer, bytes, func() {
		// The server has answered: what follows is this host's delay.
		x.choice.Flight.AnswerStarted(clock.Now())
		x.hangWatch.stop()
		x.takeover.suspend()
	})
}

// streamRoom is the memory of a stream and of the event that is being forwarded.
type streamRoom struct {
	x   *exchange
	ctx context.Context
	// opened is set once the stream's own memory is reserved; event is reserved for the event.
	opened bool
	event  int64
}

func (x *exchange) streamRoom(ctx context.Context) *streamRoom { return &streamRoom{x: x, ctx: ctx} }

// open reserves the stream's own memory.
func (r *streamRoom) open() error {
	err := r.x.awaitMemory(r.ctx, streamBytes)
	r.opened = err == nil
	return err
}

// grow reserves memory for an event of a size.
func (r *streamRoom) grow(size int) error {
	for usualEvent+r.event < int64(size) {
		if err := r.x.awaitMemory(r.ctx, membudget.Step); err != nil {
			return err
		}
		r.event += membudget.Step
	}
	return nil
}

// forwarded returns the memory of an event.
func (r *streamRoom) forwarded() {
	if r.event > 0 {
		r.x.req.Memory.Return(membudget.Answer, r.event)
		r.event = 0
	}
}

// release returns all memory of the stream.
func (r *streamRoom) release() {
	r.forwarded()
	if r.opened {
		r.x.req.Memory.Return(membudget.Answer, streamBytes)
		r.opened = false
	}
}
