package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// limitMemory sets a budget, whose memory it reclaims until the test ends.
func (f *fixture) limitMemory(t *testing.T, limit int64) *membudget.Budget {
	t.Helper()
	b := membudget.New(limit)
	f.deps.Memory, f.deps.MaxBodyBytes = b, 16<<20
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case now := <-ticker.C:
				b.Reclaim(now)
			}
		}
	}()
	return b
}

// withhold sends a request's head with a declared length and a part of its body.
func (f *fixture) withhold(t *testing.T, id string, declared, sent int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", f.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /notes/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: m\r\nContent-Length: %d\r\n\r\n%s",
		testHost, wire.Attempt, id, wire.Key, testKey, wire.Model, declared, strings.Repeat("x", sent))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// answerOf reads the status and headers of an answer.
func answerOf(t *testing.T, conn net.Conn, within time.Duration) *http.Response {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return resp
}

// eventuallyHeld waits until memory of a kind is held.
func eventuallyHeld(t *testing.T, b *membudget.Budget, kind membudget.Kind) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); b.Held()[kind] == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no memory is held for a %v", kind)
		}
	}
}

// eventuallyFree waits until nothing is held.
func eventuallyFree(t *testing.T, b *membudget.Budget) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); b.Held() != [membudget.Kinds]int64{}; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%v bytes are still held", b.Held())
		}
	}
}

// TestWithheldBodiesAreEndedForOthers guards against callers that declare large bodies and hold the
// budget: a request without room is refused at once and has not run, and the slow one is ended with 408.
func TestWithheldBodiesAreEndedForOthers(t *testing.T) {
	f := newFixture(t)
	b := f.limitMemory(t, 16<<20)
	slow := f.withhold(t, "slow", 4<<20, 4<<20-1)
	eventuallyHeld(t, b, membudget.Body)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the slow caller was not ended")
		}
		next := f.withhold(t, "next", 4<<20, 100)
		if b.Held()[membudget.Body] > 10<<20 {
			t.Fatalf("%v held", b.Held())
		}
		if small, _, _ := f.post(t, "/notes/1", testKey, "x"); small == nil || small.StatusCode != http.StatusOK {
			t.Fatalf("a small request: %v", small)
		}
		if b.Counts().Ended[membudget.Body] > 0 {
			next.Close()
			break
		}
		resp := answerOf(t, next, 5*time.Second)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || f.engine.Ran("next") != 0 {
			t.Fatalf("answer %v, ran %d", resp, f.engine.Ran("next"))
		}
		next.Close()
	}
	if resp := answerOf(t, slow, 5*time.Second); resp.StatusCode != http.StatusRequestTimeout || !resp.Close || f.engine.Ran("slow") != 0 {
		t.Errorf("the slow caller got %v, ran %d", resp, f.engine.Ran("slow"))
	}
	eventuallyFree(t, b)
}

// TestSlowCallerAloneIsLeftAlone guards against ending slow callers on an idle host.
func TestSlowCallerAloneIsLeftAlone(t *testing.T) {
	f := newFixture(t)
	b := f.limitMemory(t, 32<<20)
	conn := f.withhold(t, "slow", 8<<20, 8<<20-1)
	time.Sleep(2500 * time.Millisecond)
	if _, err := io.WriteString(conn, "x"); err != nil {
		t.Fatal(err)
	}
	if resp := answerOf(t, conn, 5*time.Second); resp.StatusCode != http.StatusOK || f.engine.Ran("slow") != 1 {
		t.Errorf("answer %v, ran %d", resp, f.engine.Ran("slow"))
	}
	conn.Close()
	eventuallyFree(t, b)
}

// TestMemoryOfCallersThatLeaveIsReturned guards against memory that stays reserved after its caller
// left in the middle of its body, or its server cut the answer.
func TestMemoryOfCallersThatLeaveIsReturned(t *testing.T) {
	f := newFixture(t)
	b := f.limitMemory(t, 16<<20)
	conn := f.withhold(t, "gone", 4<<20, 1<<20)
	eventuallyHeld(t, b, membudget.Body)
	conn.Close()
	eventuallyFree(t, b)
	if f.engine.Ran("gone") != 0 {
		t.Error("a request without its whole body ran")
	}
}

// TestBodiesWithoutLengthAreCounted guards against chunked bodies that are read beyond the budget.
func TestBodiesWithoutLengthAreCounted(t *testing.T) {
	f := newFixture(t)
	b := f.limitMemory(t, 4<<20)
	for size, want := range map[int]int{500 << 10: http.StatusOK, 3 << 20: http.StatusServiceUnavailable} {
		req, err := http.NewRequest(http.MethodPost, f.URL+"/notes/1", struct{ io.Reader }{strings.NewReader(strings.Repeat("x", size))})
		if err != nil {
			t.Fatal(err)
		}
		req.Host = testHost
		req.Header.Set(wire.Key, testKey)
		req.Header.Set(wire.Model, "m")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%d bytes: %v, want %d", size, resp, want)
		}
	}
	eventuallyFree(t, b)
}

// TestSoundCallersWithLargeBodiesAreServed guards against ending or refusing sound callers: five bodies of 2 MB that
// arrive at a megabyte per second find room and are served, also while a caller without room causes pressure.
func TestSoundCallersWithLargeBodiesAreServed(t *testing.T) {
	f := newFixture(t)
	b := f.limitMemory(t, 32<<20)
	const size, part = 2 << 20, 64 << 10
	var conns []net.Conn
	for i := range 5 {
		conns = append(conns, f.withhold(t, fmt.Sprint("sound-", i), size, part))
	}
	for sent := part; sent < size; sent += part {
		for _, conn := range conns {
			if _, err := conn.Write(make([]byte, part)); err != nil {
				t.Fatal(err)
			}
		}
		if sent == size/2 {
			f.withhold(t, "refused", 9<<20, 1)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for i, conn := range conns {
		if resp := answerOf(t, conn, 10*time.Second); resp.StatusCode != http.StatusOK {
			t.Errorf("caller %d got %v", i, resp)
		}
		conn.Close()
	}
	if c := b.Counts(); c.Refused[membudget.Body] != 1 || c.Ended != [membudget.Kinds]int64{} {
		t.Errorf("%+v", c)
	}
	eventuallyFree(t, b)
}
