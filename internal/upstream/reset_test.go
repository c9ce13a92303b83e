package upstream

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// earlyAnswer is a connection whose server answers while a long request is being written, and then ends it.
type earlyAnswer struct {
	net.Conn
	answer io.Reader
	// writeErr is what the system reports to the pending write as the connection ends, nil if the write stays pending.
	writeErr error
	writes   int
	// ended is closed once the reader has been told of the end, stopped once this side ends the write.
	ended, stopped chan struct{}
	end, stop      func()
}

func newEarlyAnswer(answer string, writeErr error) *earlyAnswer {
	c := &earlyAnswer{answer: strings.NewReader(answer), writeErr: writeErr, ended: make(chan struct{}), stopped: make(chan struct{})}
	c.end, c.stop = sync.OnceFunc(func() { close(c.ended) }), sync.OnceFunc(func() { close(c.stopped) })
	return c
}

func (c *earlyAnswer) Write(p []byte) (int, error) {
	c.writes++
	if c.writes == 1 {
		return len(p), nil
	}
	ended := c.ended
	if c.writeErr == nil {
		ended = nil
	}
	select {
	case <-ended:
		// The reader is told of the end before the writer has returned.
		time.Sleep(time.Millisecond)
		return 0, os.NewSyscallError("write", c.writeErr)
	case <-c.stopped:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *earlyAnswer) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if err != nil {
		c.end()
	}
	return n, err
}

func (c *earlyAnswer) SetWriteDeadline(time.Time) error {
	select {
	case <-c.ended:
		if c.writeErr != nil {
			// The write has its result.
			return nil
		}
	default:
	}
	c.stop()
	return nil
}

func (c *earlyAnswer) Close() error {
	c.stop()
	return nil
}

// TestBodyIsNotWholeIfTheWriterLearnsOfTheReset guards against a part of an answer that looks complete: the system reports a
// connection's error once, so that a reset that ends the writing of the request is a clean end to the reader of the answer.
func TestBodyIsNotWholeIfTheWriterLearnsOfTheReset(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + wire.Attempt + ": r\r\n"
	for name, c := range map[string]struct {
		writeErr error
		answer   string
		whole    bool
	}{
		"a reset":                         {syscall.ECONNRESET, head + "\r\npart", false},
		"a reset before the first byte":   {syscall.ECONNRESET, head + "\r\n", false},
		"a connection that timed out":     {syscall.ETIMEDOUT, head + "\r\npart", false},
		"an end":                          {nil, head + "\r\nwhole", true},
		"an end and then a reset":         {syscall.EPIPE, head + "\r\nwhole", true},
		"a reset after a declared length": {syscall.ECONNRESET, head + "Content-Length: 5\r\n\r\nwhole", true},
		"a reset after the last chunk":    {syscall.ECONNRESET, head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := newEarlyAnswer(c.answer, c.writeErr)
				p := NewPool()
				defer p.Close()
				p.Dial = func(context.Context, string) (net.Conn, error) { return conn, nil }
				resp, err := p.Send(t.Context(), "a", request("r", strings.Repeat("x", 2*maxInlineWrite)))
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				again, againErr := io.ReadAll(resp.Body)
				resp.Finish(err == nil)
				// The write has ended by then.
				time.Sleep(time.Second)
				if (err == nil) != c.whole || c.whole && string(body) != "whole" {
					t.Errorf("read %q, %v", body, err)
				}
				if (againErr == nil) != c.whole || len(again) > 0 {
					t.Errorf("read again: %q, %v", again, againErr)
				}
				if err != nil && !IsConnectionBroken(err) && c.writeErr == syscall.ECONNRESET {
					t.Errorf("a reset that is no broken connection: %v", err)
				}
				if p.HasOpen("a") {
					t.Error("the connection is kept for another request")
				}
			})
		})
	}
}
