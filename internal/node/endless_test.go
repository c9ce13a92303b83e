package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
)

// hostileServer registers a server that answers whatever it is asked with bytes without end, until its connection is
// closed: first, and then line after line.
func (s *site) hostileServer(id, service, first, line string) {
	s.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, first)
				for err == nil {
					_, err = io.WriteString(c, line)
				}
			}()
		}
	}()
	e := engine.New(engine.Options{ID: id, Service: service, Address: listener.Addr().String(), Zone: "z1", Slots: 8, Model: map[bool]string{true: "m"}[service == "writer"]})
	put := func(key string, entry any) error { return s.store.PutJSON(platform.ReplicaTopic, key, entry) }
	if err := e.Register(put, false); err != nil {
		s.t.Fatal(err)
	}
}

// TestServersThatSendWithoutEndTakeNoMemory guards against servers that take a host's memory, and with it the service of all
// callers, with heads and bodies without end: several at once, to callers' requests, probes, reports and cache events.
func TestServersThatSendWithoutEndTakeNoMemory(t *testing.T) {
	const maxHeap = 64 << 20
	s := newSite(t)
	s.configure(1)
	s.backend(engine.Options{ID: "i-jobs-2", Service: "jobs", Slots: 64})
	long := strings.Repeat("x", 16<<10)
	for i, kind := range []struct{ first, line string }{
		{"HTTP/1.1 200 OK\r\nA: ", long},
		{"HTTP/1.1 200 OK\r\n", "A: " + long + "\r\n"},
		{"HTTP/1.1 103 X\r\n", "A: " + long + "\r\n"},
		{"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", long},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(long), long)},
	} {
		s.hostileServer(fmt.Sprint("i-hostile-jobs-", i), "jobs", kind.first, kind.line)
		s.hostileServer(fmt.Sprint("i-hostile-writer-", i), "writer", kind.first, kind.line)
	}
	h := s.host("a", s.address)
	eventually(t, "readiness", h.ready)
	var mu sync.Mutex
	served, sent := 0, 0
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			c := h.caller()
			for i := range 25 {
				r := caller.Request{ID: fmt.Sprintf("v-%d-%d", n, i), Method: "GET", Path: "/views/1", Deadline: 2 * time.Second}
				if i%2 == 0 {
					r = caller.Request{ID: fmt.Sprintf("r-%d-%d", n, i), Method: "POST", Path: "/reports/1", Model: "m", Prefix: "a1:800,b2:40", Tokens: "840,16", Deadline: 5 * time.Second}
				}
				answer, err := c.Send(t.Context(), r)
				mu.Lock()
				sent++
				if err == nil && answer.Status == http.StatusOK && answer.Whole {
					served++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	largest := uint64(0)
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		largest = max(largest, m.HeapAlloc)
	}
	t.Logf("%d of %d requests were served, the heap had %d MB at most", served, sent, largest>>20)
	if largest > maxHeap {
		t.Errorf("the heap had %d bytes, %d allowed", largest, maxHeap)
	}
	if float64(served) < 0.9*float64(sent) {
		t.Errorf("%d of %d requests were served beside servers that send without end", served, sent)
	}
}
