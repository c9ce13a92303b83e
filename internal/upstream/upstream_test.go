package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/netdial"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// script serves each accepted connection with f.
func script(t *testing.T, f func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				f(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// heldAddress returns an address at which nobody listens, and nobody else can until
// the test ends: its port is bound.
func heldAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	at := bound.(*syscall.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)).String()
}

// readRequest reads a whole request and returns its ID and body.
func readRequest(r *bufio.Reader) (id, body string, err error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", err
	}
	data, err := io.ReadAll(req.Body)
	return req.Header.Get(wire.Attempt), string(data), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + wire.Attempt + ": " + id + "\r\n" + wire.Seal + ": s\r\nContent-Length: " +
		itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return strings.TrimSpace(string([]byte{byte('0' + n/10%10), byte('0' + n%10)}))
}

func request(id, body string) *Request {
	h := http.Header{}
	h.Set(wire.Attempt, id)
	return &Request{ID: id, Method: http.MethodPost, Target: "/x?q=%2f", Host: "h.example", Header: h, Body: []byte(body)}
}

// exchange sends a request and returns the body of its answer.
func exchange(t *testing.T, p *Pool, address string, req *Request) (string, error) {
	t.Helper()
	resp, err := p.Send(context.Background(), address, req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	return string(body), err
}

// newTestPool returns a pool whose attempts to connect end after limit. That of the product
// is short enough for a busy machine to pass it.
func newTestPool(limit time.Duration) *Pool {
	p := NewPool()
	dialer := netdial.New(limit)
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
	return p
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, body, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, "to "+body))
		}
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	for _, body := range []string{"a", "b", "c"} {
		if got, err := exchange(t, p, address, request(body, body)); err != nil || got != "to "+body {
			t.Errorf("%q, %v", got, err)
		}
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections", p.Opened())
	}
}

// TestBytesAfterAnAnswerBelongToNobody: whatever follows a whole answer, at once
// or later, is never taken for the next one.
func TestBytesAfterAnAnswerBelongToNobody(t *testing.T) {
	for name, later := range map[string]bool{"at once": false, "later": true} {
		write := make(chan struct{}, 9)
		wrote := make(chan struct{}, 9)
		address := script(t, func(c net.Conn, r *bufio.Reader) {
			for {
				id, _, err := readRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, answer(id, "mine"))
				if later {
					<-write
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+wire.Seal+": s\r\nContent-Length: 5\r\n\r\nextra")
				wrote <- struct{}{}
			}
		})
		p := newTestPool(time.Minute)
		first, err := exchange(t, p, address, request("1", ""))
		if err != nil || first != "mine" {
			t.Fatalf("%s: %q, %v", name, first, err)
		}
		write <- struct{}{}
		<-wrote
		second, err := exchange(t, p, address, request("2", ""))
		if err == nil && second != "mine" {
			t.Errorf("%s: the second answer is %q", name, second)
		}
		p.Close()
	}
}

// TestLateAnswersToOthersAreSkipped: the ID tells whose an answer is.
func TestLateAnswersToOthersAreSkipped(t *testing.T) {
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		id, _, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("other", "not yours")+answer(id, "yours"))
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	if got, err := exchange(t, p, address, request("1", "")); err != nil || got != "yours" {
		t.Errorf("%q, %v", got, err)
	}
}

// TestWhetherAnythingWasSent: only then may the request have run.
func TestWhetherAnythingWasSent(t *testing.T) {
	nobody := heldAddress(t)
	cut := script(t, func(_ net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
	garbage := script(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, "no answer at all\r\n\r\n")
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	for name, c := range map[string]struct {
		address string
		sent    bool
	}{"nobody listens": {nobody, false}, "cut after reading": {cut, true}, "garbage": {garbage, true}} {
		_, err := exchange(t, p, c.address, request("1", strings.Repeat("x", 10_000)))
		var failed *Error
		if !errors.As(err, &failed) || failed.Sent != c.sent {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestTimeoutIsToldFromRefusal by the errors of the dialer in use: only one of them is sure
// that nobody listens.
func TestTimeoutIsToldFromRefusal(t *testing.T) {
	nobody := heldAddress(t)
	for name, c := range map[string]struct {
		limit   time.Duration
		timeout bool
	}{"no time at all": {time.Nanosecond, true}, "refused": {time.Minute, false}} {
		p := newTestPool(c.limit)
		_, err := exchange(t, p, nobody, request("1", ""))
		p.Close()
		var failed *Error
		if !errors.As(err, &failed) || failed.Sent || failed.Timeout() != c.timeout {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEarlyAnswerEndsTheConnection: the rest of the body must not be taken for
// another request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	const size = 20 << 20
	got := make(chan int, 1)
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("1", "early"))
		rest, _ := io.Copy(io.Discard, r)
		got <- int(rest)
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	body, err := exchange(t, p, address, request("1", strings.Repeat("x", size)))
	if err != nil || body != "early" {
		t.Fatalf("%q, %v", body, err)
	}
	if rest := <-got; rest > size {
		t.Errorf("%d bytes where %d were due", rest, size)
	}
	if c := p.take(address, 0); c != nil {
		t.Error("the connection was kept")
	}
}

// TestAnswerWithoutLength is whole only after a clean end.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address := script(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+wire.Attempt+": 1\r\n\r\nall of it")
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		p := newTestPool(time.Minute)
		body, err := exchange(t, p, address, request("1", "x"))
		if !reset && (err != nil || body != "all of it") {
			t.Errorf("clean end: %q, %v", body, err)
		}
		if reset && err == nil {
			t.Error("a reset connection gave a whole answer")
		}
		p.Close()
	}
}

// TestIdleConnectionsAreRetiredInTime: before the server closes them, and sooner
// for what may not be repeated.
func TestIdleConnectionsAreRetiredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(time.Minute)
		defer p.Close()
		near, far := net.Pipe()
		defer far.Close()
		put := func(age, timeout time.Duration) {
			c := &conn{Conn: near, address: "a", reader: bufio.NewReader(near)}
			p.put(c, timeout)
			c.idleSince = time.Now().Add(-age)
		}
		put(1500*time.Millisecond, 2*time.Second)
		if p.take("a", 0) == nil {
			t.Error("a connection within its time was not used")
		}
		put(1700*time.Millisecond, 2*time.Second)
		if p.take("a", 0) != nil {
			t.Error("a connection was used too near its end")
		}
		put(1500*time.Millisecond, 5*time.Second)
		if p.take("a", time.Second) != nil {
			t.Error("an old connection was used for what may not be repeated")
		}
	})
}

// resetSecond answers a connection's first request and resets it at the second.
func resetSecond(c net.Conn, r *bufio.Reader) {
	id, body, err := readRequest(r)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, answer(id, body))
	if _, _, err := readRequest(r); err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// TestDroppedConnectionsTeachHowLongTheyAreKept: a server that forgets a rested
// connection loses one request, not one a connection.
func TestDroppedConnectionsTeachHowLongTheyAreKept(t *testing.T) {
	address := script(t, resetSecond)
	p := newTestPool(time.Minute)
	p.resetWithin = time.Hour
	defer p.Close()
	// rest sends a request on a connection that has rested that long. What the pool
	// compares lies a second or nearly one apart, so that a slow machine changes no verdict.
	rest := func(d time.Duration) error {
		c, err := p.dial(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		p.put(c, 0)
		if _, err := exchange(t, p, address, request("a", "")); err != nil {
			t.Fatal(err)
		}
		p.idle[address][0].idleSince = time.Now().Add(-d)
		_, err = exchange(t, p, address, request("b", ""))
		p.Forget(address)
		return err
	}
	if rest(2*time.Second) == nil {
		t.Fatal("the server did not drop its connection")
	}
	if err := rest(1500 * time.Millisecond); err != nil {
		t.Errorf("a connection that rested nearly as long was used: %v", err)
	}
	if rest(90*time.Millisecond) == nil {
		t.Error("a connection that rested for a moment was not used")
	}
}

// TestEndsOfServersTeachNothing: a server that ends while it works on a request
// resets the connection too.
func TestEndsOfServersTeachNothing(t *testing.T) {
	address := script(t, resetSecond)
	p := newTestPool(time.Minute)
	// Any reset comes later than this.
	p.resetWithin = time.Nanosecond
	defer p.Close()
	if _, err := exchange(t, p, address, request("a", "")); err != nil {
		t.Fatal(err)
	}
	if _, err := exchange(t, p, address, request("b", "")); err == nil {
		t.Fatal("the server did not end")
	}
	if now := time.Now(); p.rest(time.Second, now) != time.Second {
		t.Errorf("connections are kept for %v", p.rest(time.Second, now))
	}
}

// TestCrashesTeachNothing: a server that crashes a moment after it was sent a request on a
// kept connection resets it as one does that had dropped it. Its address tells them apart;
// without that, each crash cost every service its kept connections for ten seconds.
func TestCrashesTeachNothing(t *testing.T) {
	address := script(t, resetSecond)
	p := newTestPool(time.Minute)
	p.resetWithin = time.Hour
	defer p.Close()
	if _, err := exchange(t, p, address, request("a", "")); err != nil {
		t.Fatal(err)
	}
	if _, err := exchange(t, p, address, request("b", "")); err == nil {
		t.Fatal("the server did not reset its connection")
	}
	now := time.Now()
	if p.rest(time.Second, now) == time.Second {
		t.Fatal("a dropped connection taught nothing")
	}
	p.Dial = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	if err := p.Look(context.Background(), "127.0.0.1:9"); !Refused(err) || p.rest(time.Second, now) == time.Second {
		t.Errorf("another server's end: %v, connections are kept for %v", err, p.rest(time.Second, now))
	}
	if err := p.Look(context.Background(), address); !Refused(err) || p.rest(time.Second, now) != time.Second {
		t.Errorf("the server's own end: %v, connections are kept for %v", err, p.rest(time.Second, now))
	}
}

// TestEndingContextEndsTheExchange at once.
func TestEndingContextEndsTheExchange(t *testing.T) {
	reached := make(chan struct{})
	gone := make(chan struct{})
	address := script(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		close(reached)
		_, _ = io.Copy(io.Discard, r)
		close(gone)
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-reached
		cancel()
	}()
	_, err := p.Send(ctx, address, request("1", ""))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	<-gone
}
