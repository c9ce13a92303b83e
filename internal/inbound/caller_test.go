package inbound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/internal/membudget"
)

const testBuffer = 16 << 10

// server serves callers with a budget, and returns its address.
func server(t testing.TB, b *membudget.Budget, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ConnState: ConnState, MaxHeaderBytes: 32 << 10}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// It ends with the listener.
		_ = s.Serve(LimitCallers(l, b, testBuffer))
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return l.Addr().String()
}

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func awaitNothingHeld(t testing.TB, b *membudget.Budget) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); b.Held() != [membudget.Kinds]int64{} || b.Connections() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%v held by %d connections after the end", b.Held(), b.Connections())
		}
	}
}

// FuzzConnection guards against what a caller writes that makes a host panic, hang, exceed its budget, or keep what it
// reserved.
func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\nT: 1\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9999999\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 2000), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	const limit = 1 << 20
	b := membudget.New(limit)
	b.LimitConnections(8)
	address := server(f, b, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err == nil {
			_, _ = w.Write(data)
		}
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := dial(t, address)
		go func() {
			// The host may close the connection before it has read all.
			_, _ = conn.Write(data)
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
		_, _ = io.Copy(io.Discard, conn)
		held := int64(0)
		for _, bytes := range b.Held() {
			held += bytes
		}
		if held > limit {
			t.Fatalf("%d bytes reserved", held)
		}
		conn.Close()
		awaitNothingHeld(t, b)
	})
}

// TestHeadsCountUntilTheirRequestEnds guards against heads that use memory which is not counted, is counted twice on a
// kept connection, or is not returned.
func TestHeadsCountUntilTheirRequestEnds(t *testing.T) {
	b := membudget.New(16 << 20)
	running, finish := make(chan struct{}), make(chan struct{})
	address := server(t, b, func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-finish
	})
	const fields = 1000
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: 1\r\n", fields) + "\r\n"
	conn := dial(t, address)
	first := int64(0)
	for range 3 {
		if _, err := io.WriteString(conn, head); err != nil {
			t.Fatal(err)
		}
		<-running
		held := b.Held()[membudget.Head]
		if first == 0 {
			first = held
		}
		if held < fields*bytesPerHeadLine || held != first {
			t.Errorf("%d bytes are reserved for a head of %d fields, %d for the first one", held, fields, first)
		}
		finish <- struct{}{}
		if _, err := io.ReadFull(conn, make([]byte, len("HTTP/1.1 200 OK\r\n"))); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(10 * time.Second); b.Held()[membudget.Head] != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the memory of a head is kept after its request has ended")
			}
		}
		// The rest of the answer.
		if _, err := conn.Read(make([]byte, 1024)); err != nil {
			t.Fatal(err)
		}
	}
	conn.Close()
	awaitNothingHeld(t, b)
}

// TestHeadWithoutRoomIsRefused guards against heads that exceed the budget, and against their refusal without an answer.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	b := membudget.New(256 << 10)
	address := server(t, b, func(http.ResponseWriter, *http.Request) {})
	conn := dial(t, address)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: 1\r\n", 1000)); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(conn)
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 503 ")) {
		t.Errorf("answer %q", answer)
	}
	awaitNothingHeld(t, b)
}

// TestConnectionsMakeRoomForOthers guards against connections without a request that keep others out: under pressure
// silent ones are ended first, and one that carries a request is not.
func TestConnectionsMakeRoomForOthers(t *testing.T) {
	const most = 8
	b := membudget.New(16 << 20)
	b.LimitConnections(most)
	running, finish := make(chan struct{}), make(chan struct{})
	address := server(t, b, func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-finish
	})
	busy := dial(t, address)
	if _, err := io.WriteString(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-running
	var silent []net.Conn
	for range most - 1 {
		silent = append(silent, dial(t, address))
	}
	for end := time.Now().Add(10 * time.Second); b.Connections() < most; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connections are not counted")
		}
	}
	refused := dial(t, address)
	answer, _ := io.ReadAll(refused)
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 503 ")) {
		t.Errorf("answer %q of a host without room", answer)
	}
	// Transfers are slow if nothing was received for a second or more.
	now := time.Now()
	for range 10 {
		now = now.Add(time.Second)
		b.Reclaim(now)
	}
	for end := time.Now().Add(10 * time.Second); b.Connections() >= most; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("silent connections are not ended")
		}
	}
	close(finish)
	if _, err := io.ReadFull(busy, make([]byte, len("HTTP/1.1 200 OK"))); err != nil {
		t.Errorf("the connection with a request was ended: %v", err)
	}
	for _, conn := range silent {
		conn.Close()
	}
}
