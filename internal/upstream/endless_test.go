package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/briarlink/briarlink/test/standin/wire"
)

// maxTaken is what a server may get rid of before its answer is ended: the limit, and what buffers hold.
const maxTaken = maxHeadBytes + 8<<20

// repeat writes text without end, and returns the bytes that were taken.
func repeat(c net.Conn, text string) int64 {
	taken := int64(0)
	for {
		n, err := io.WriteString(c, text)
		taken += int64(n)
		if err != nil {
			return taken
		}
	}
}

// TestHeadsWithoutEndAreEnded guards against servers that take a host's memory with a head without end: all lines of a
// head were kept, however many and however long.
func TestHeadsWithoutEndAreEnded(t *testing.T) {
	line := strings.Repeat("x", 1<<10)
	for name, h := range map[string]struct{ first, then string }{
		"one line":                    {"HTTP/1.1 200 OK\r\nA: ", line},
		"a status line":               {"HTTP/1.1 200 ", line},
		"header lines":                {"HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n"},
		"informational heads":         {"", "HTTP/1.1 103 X\r\nA: " + line + "\r\n\r\n"},
		"long informational heads":    {"HTTP/1.1 103 X\r\n", "A: " + line + "\r\n"},
		"trailers of a late answer":   {"HTTP/1.1 200 OK\r\n" + wire.Attempt + ": other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + line + "\r\n"},
		"the body of a late answer":   {"HTTP/1.1 200 OK\r\n" + wire.Attempt + ": other\r\n\r\n", line},
		"a chunk header":              {"HTTP/1.1 200 OK\r\n" + wire.Attempt + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", line},
		"bytes that are no HTTP":      {"", line},
		"a rejection's head":          {"HTTP/1.1 503 X\r\n" + wire.NotRun + ": 1\r\n", "A: " + line + "\r\n"},
		"late answers without bodies": {"", "HTTP/1.1 200 OK\r\n" + wire.Attempt + ": other\r\nContent-Length: 0\r\nA: " + line + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int64, 1)
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, h.first)
				taken <- repeat(c, h.then)
			})
			p := newTestPool(time.Minute)
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			began := time.Now()
			resp, err := p.Send(ctx, address, request("1", "x"))
			if err == nil {
				resp.Finish(false)
				t.Fatalf("accepted as an answer with status %d", resp.Status)
			}
			if took := time.Since(began); ctx.Err() != nil || took > 5*time.Second {
				t.Errorf("ended after %v: %v", took, err)
			}
			if n := <-taken; n > maxTaken {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}

// TestDiscardedBodiesAreEnded guards against rejections whose bodies never end, fast or slow: the request was held until
// its deadline, although the head had said that it did not run.
func TestDiscardedBodiesAreEnded(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var taken atomic.Int64
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				id, _, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\n"+wire.Attempt+": "+id+"\r\n"+wire.NotRun+": 1\r\nTransfer-Encoding: chunked\r\n\r\n")
				for err == nil {
					var n int
					n, err = io.WriteString(c, "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n")
					taken.Add(int64(n))
					time.Sleep(pause)
				}
			})
			p := newTestPool(time.Minute)
			defer p.Close()
			resp, err := p.Send(t.Context(), address, request("1", "x"))
			if err != nil || !resp.Answer.NotRun {
				t.Fatalf("%v", err)
			}
			began := time.Now()
			resp.Discard()
			if took := time.Since(began); took > 4*discardTime {
				t.Errorf("the connection is kept for %v", took)
			}
			if p.HasOpen(address) {
				t.Error("the connection is kept for another request")
			}
			if n := taken.Load(); n > maxTaken {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}
