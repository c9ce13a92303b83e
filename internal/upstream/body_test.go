package upstream

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/netdial"
)

// TestBodiesOfAllSizesArriveWhole guards against a body that is written in two parts and arrives incomplete or
// reordered, also through socket buffers of a fixed size, which must not stall it.
func TestBodiesOfAllSizesArriveWhole(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, body, err := readRequest(r)
			if err != nil {
				return
			}
			text := strings.Replace(answer(id, body), "Content-Length: "+itoa(len(body)), "Content-Length: "+strconv.Itoa(len(body)), 1)
			if _, err := c.Write([]byte(text)); err != nil {
				return
			}
		}
	})
	fixed := netdial.New(20 * time.Second)
	netdial.LimitBuffers(fixed, 16<<10)
	for name, p := range map[string]*Pool{"usual": newTestPool(20 * time.Second), "fixed": newPool(fixed)} {
		for _, size := range []int{0, 1, maxInlineWrite - 200, maxInlineWrite, maxInlineWrite + 1, 20_000} {
			body := strings.Repeat("0123456789", size/10+1)[:size]
			quickest := time.Hour
			for range 5 {
				began := time.Now()
				got, err := roundTrip(t, p, address, request("r", body))
				if err != nil || got != body {
					t.Fatalf("%s buffers, %d bytes: got %d, %v", name, size, len(got), err)
				}
				quickest = min(quickest, time.Since(began))
			}
			if quickest > 150*time.Millisecond {
				t.Errorf("%s buffers, %d bytes: the quickest of five took %v", name, size, quickest)
			}
		}
		p.Close()
	}
}
