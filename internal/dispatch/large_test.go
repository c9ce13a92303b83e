package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// counter is a caller that counts the bytes of its answer.
type counter struct {
	bytes  int64
	length string
	starts int
}

func (c *counter) Buffered(_ int, _ http.Header, body []byte) error {
	c.bytes += int64(len(body))
	c.starts++
	return nil
}

func (c *counter) Start(_ int, h http.Header) error {
	c.length = h.Get("Content-Length")
	c.starts++
	return nil
}

func (c *counter) Event(data []byte) error {
	c.bytes += int64(len(data))
	return nil
}

// framing is how a server states the end of its answer.
type framing string

const (
	byLength framing = "by its length"
	byChunks framing = "by chunks"
	byClose  framing = "by closing the connection"
)

// largeServer answers each request with size bytes in pieces, and stops after sent of them if that is less.
type largeServer struct {
	framing    framing
	size, sent int64
	pause      time.Duration
	runs       int
}

func (s *largeServer) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *largeServer) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.runs++
	head := "HTTP/1.1 200 OK\r\n" + wire.Attempt + ": " + req.Header.Get(wire.Attempt) + "\r\n" + wire.Seal + ": s\r\n"
	switch s.framing {
	case byLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", s.size)
	case byChunks:
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, err = io.WriteString(c, head+"\r\n")
	piece := strings.Repeat("x", 64<<10)
	for left := min(s.size, s.sent); left > 0 && err == nil; left -= int64(len(piece)) {
		piece = piece[:min(int64(len(piece)), left)]
		if s.framing == byChunks {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		} else {
			_, err = io.WriteString(c, piece)
		}
		time.Sleep(s.pause)
	}
	if err == nil && s.framing == byChunks && s.sent >= s.size {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

func (s *largeServer) run(t *testing.T, out Answer, deadline time.Duration) error {
	d, _ := newDispatcher(&fleet{ranAt: map[string]bool{}})
	d.pool.Dial = s.dial
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	_, err := d.Run(ctx, testRequest(config.Idempotent, false, 3), out)
	d.pool.Close()
	return err
}

// TestLargeAnswersArriveWhole guards against answers that are cut at a size limit and look complete: one of 17 MiB was
// delivered as a complete one of 16 MiB. One that breaks off is neither complete nor begun again.
func TestLargeAnswersArriveWhole(t *testing.T) {
	for _, framing := range []framing{byLength, byChunks, byClose} {
		for _, size := range []int64{maxBufferedAnswer - 1, maxBufferedAnswer, maxBufferedAnswer + 1, 40 << 20} {
			synctest.Test(t, func(t *testing.T) {
				s := &largeServer{framing: framing, size: size, sent: size}
				out := &counter{}
				if err := s.run(t, out, 5*time.Second); err != nil || out.bytes != size || out.starts != 1 {
					t.Errorf("%d bytes that end %s: %v, %d bytes in %d answers", size, framing, err, out.bytes, out.starts)
				}
				if out.length != "" && out.length != fmt.Sprint(size) {
					t.Errorf("%d bytes that end %s are said to be %s", size, framing, out.length)
				}
			})
		}
		if framing == byClose {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			s := &largeServer{framing: framing, size: 40 << 20, sent: 30 << 20}
			out := &counter{}
			if err := s.run(t, out, 5*time.Second); err == nil || out.starts != 1 || s.runs != 1 {
				t.Errorf("cut within an answer that ends %s: %v, %d answers begun, %d runs", framing, err, out.starts, s.runs)
			}
		})
	}
}

// TestBodyWithoutEndIsBounded guards against servers that take a host's memory, or look complete, with a body that
// never ends: it ends with the request's deadline, as one that was cut.
func TestBodyWithoutEndIsBounded(t *testing.T) {
	for _, framing := range []framing{byChunks, byClose, byLength} {
		synctest.Test(t, func(t *testing.T) {
			const endless = 1 << 50
			s := &largeServer{framing: framing, size: endless, sent: endless, pause: time.Millisecond}
			out := &counter{}
			const deadline = 2 * time.Second
			began := time.Now()
			err := s.run(t, out, deadline)
			var after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&after)
			if took := time.Since(began); err == nil || took > deadline+100*time.Millisecond {
				t.Errorf("ended %s after %v: %v", framing, took, err)
			}
			if out.bytes < 2*maxBufferedAnswer || after.HeapAlloc > 4*maxBufferedAnswer {
				t.Errorf("%d bytes were forwarded with a heap of %d", out.bytes, after.HeapAlloc)
			}
			// The server notices the end with its next piece.
			time.Sleep(time.Second)
		})
	}
}
