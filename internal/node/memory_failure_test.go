package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/test/standin/engine"
)

// requestAnswer requests an answer of a size in bytes over a connection of its own, and returns its head.
func requestAnswer(t *testing.T, address, id string, size int) (resp *http.Response, leave func()) {
	t.Helper()
	conn, err := connect(t, address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, rawRequest("GET", fmt.Sprintf("/views/1?bytes=%d", size), id, 0)); err != nil {
		t.Fatal(err)
	}
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp, func() { conn.Close() }
}

// TestMemoryIsReturnedAfterFailures guards against memory that stays reserved after a caller left in the middle of its
// answer, or a server cut an answer.
func TestMemoryIsReturnedAfterFailures(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.hostWith("a", s.address, smallHost)
	eventually(t, "readiness", h.ready)
	b := h.node.memory
	address := h.settings.Listen.Caller
	held := func(kind membudget.Kind) int64 { return b.Held()[kind] }

	resp, leave := requestAnswer(t, address, "left", 4<<20)
	if resp.StatusCode != http.StatusOK || held(membudget.Answer) != 4<<20 || held(membudget.Socket) == 0 {
		t.Errorf("status %d, %v held", resp.StatusCode, b.Held())
	}
	leave()
	eventually(t, "the memory of a caller that left", func() bool { return held(membudget.Answer) == 0 && held(membudget.Socket) == 0 })

	s.jobs.Next(engine.Cut, engine.Cut)
	resp, leave = requestAnswer(t, address, "cut", 4<<20)
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("a cut answer was answered with %d", resp.StatusCode)
	}
	eventually(t, "the memory of a cut answer", func() bool { return held(membudget.Answer) == 0 })
	leave()
}

// TestMemoryIsReturnedWhenTheHostStops guards against an answer that looks complete although its host stopped, and
// against memory that stays reserved.
func TestMemoryIsReturnedWhenTheHostStops(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.hostWith("a", s.address, smallHost)
	eventually(t, "readiness", h.ready)
	b := h.node.memory
	resp, leave := requestAnswer(t, h.settings.Listen.Caller, "stopped", 4<<20)
	defer leave()
	if resp.StatusCode != http.StatusOK || b.Held()[membudget.Answer] != 4<<20 {
		t.Errorf("status %d, %v held", resp.StatusCode, b.Held())
	}
	h.stop()
	select {
	case <-h.done:
	case <-time.After(waitLimit):
		t.Fatal("the host does not stop")
	}
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("the answer of a host that stopped looks complete")
	}
	eventually(t, "the memory of a stopped host", func() bool { return b.Held() == [membudget.Kinds]int64{} })
}

// TestSlowReaderAloneGetsItsAnswer guards against ending a slow reader on an idle host: its answer of 128 KB takes some
// seconds and is complete.
func TestSlowReaderAloneGetsItsAnswer(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.hostWith("a", s.address, smallHost)
	eventually(t, "readiness", h.ready)
	const size = 128 << 10
	resp, leave := requestAnswer(t, h.settings.Listen.Caller, "slow", size)
	defer leave()
	got, part := int64(0), make([]byte, 1<<10)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		n, err := resp.Body.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		got += int64(n)
	}
	if h.node.memory.Held()[membudget.Answer] == 0 {
		t.Error("the answer was not slow")
	}
	rest, err := io.Copy(io.Discard, resp.Body)
	if err != nil || got+rest != size || h.node.memory.Counts() != (membudget.Counts{}) {
		t.Errorf("%d of %d bytes, %v; %+v", got+rest, size, err, h.node.memory.Counts())
	}
}
