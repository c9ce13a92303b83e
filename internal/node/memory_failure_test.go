package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
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

// TestConnectionsWithoutRoomAreRefused guards against callers that hold all of the budget by open connections, and that get
// no answer then.
func TestConnectionsWithoutRoomAreRefused(t *testing.T) {
	s := newSite(t)
	s.configure(1)
	h := s.hostWith("a", s.address, func(set *pb.Settings) { set.Host.MemoryMb, set.Overload.MemoryShare = 1, 0.5 })
	eventually(t, "readiness", h.ready)
	address := h.settings.Listen.Caller
	const room = (1 << 19) / (32 << 10)
	var open []io.Closer
	for range room {
		conn, err := connect(t, address)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
	}
	eventually(t, "all of the budget in use", func() bool { return h.node.memory.Held()[membudget.Socket] == 1<<19 })
	resp, leave := requestAnswer(t, address, "refused", 0)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || s.jobs.Ran("refused") != 0 {
		t.Errorf("answer %v, ran %d times", resp, s.jobs.Ran("refused"))
	}
	leave()
	for _, conn := range open {
		conn.Close()
	}
	eventually(t, "the room of closed connections", func() bool { return h.node.memory.Held()[membudget.Socket] == 0 })
	if resp, _ := requestAnswer(t, address, "served", 0); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %v once there is room", resp)
	}
}
