package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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

// serve listens on a local port, runs f on each accepted connection, and returns the address.
func serve(t *testing.T, f func(net.Conn, *bufio.Reader)) string {
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

// unusedAddress returns an address that refuses connections. Its port stays bound until the test
// ends, so that no other process can listen there.
func unusedAddress(t *testing.T) string {
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

// readRequest reads a request with its body and returns its ID and the body.
func readRequest(r *bufio.Reader) (id, body string, err error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", err
	}
	data, err := io.ReadAll(req.Body)
	return req.Header.Get(wire.Attempt), string(data), err
}

// answer returns an answer in wire format.
func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + wire.Attempt + ": " + id + "\r\n" + wire.Seal + ": s\r\nContent-Length: " +
		itoa(len(body)) + "\r\n\r\n" + body
}

// itoa formats a number below 100 with two digits.
func itoa(n int) string {
	return strings.TrimSpace(string([]byte{byte('0' + n/10%10), byte('0' + n%10)}))
}

func request(id, body string) *Request {
	h := http.Header{}
	h.Set(wire.Attempt, id)
	return &Request{ID: id, Method: http.MethodPost, Target: "/x?q=%2f", Host: "h.example", Header: h, Body: []byte(body)}
}

// roundTrip sends a request and returns the body of its answer.
func roundTrip(t *testing.T, p *Pool, address string, req *Request) (string, error) {
	t.Helper()
	resp, err := p.Send(context.Background(), address, req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	return string(body), err
}

// newTestPool returns a pool with a given dial timeout. The default is so short that a busy
// machine may exceed it.
func newTestPool(timeout time.Duration) *Pool {
	p := NewPool()
	dialer := netdial.New(timeout)
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
	return p
}

// TestAbandonedRequestIsDiscarded guards against a request that was given up and reaches its server later, when
// a partition ends: the connection must be reset, as the system goes on sending what a closed one has left.
func TestAbandonedRequestIsDiscarded(t *testing.T) {
	for _, answered := range []bool{false, true} {
		ended := make(chan error, 1)
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
			id, _, err := readRequest(r)
			if err == nil && answered {
				_, err = io.WriteString(c, strings.TrimSuffix(answer(id, "body"), "y"))
			}
			if err == nil {
				_, err = r.ReadByte()
			}
			ended <- err
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		resp, err := newTestPool(time.Minute).Send(ctx, address, request("r-1", "x"))
		if answered {
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(resp.Body)
			resp.Finish(false)
		}
		if err == nil {
			t.Error("an abandoned exchange succeeded")
		}
		if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("answered %v: the server's connection ended with %v, want a reset", answered, err)
		}
	}
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
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
		if got, err := roundTrip(t, p, address, request(body, body)); err != nil || got != "to "+body {
			t.Errorf("%q, %v", got, err)
		}
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections", p.Opened())
	}
}

// TestExtraBytesAfterAnswerAreDiscarded: data that follows a complete answer, at once or later,
// must not be taken for the answer to the next request.
func TestExtraBytesAfterAnswerAreDiscarded(t *testing.T) {
	for name, later := range map[string]bool{"at once": false, "later": true} {
		write := make(chan struct{}, 9)
		wrote := make(chan struct{}, 9)
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
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
		first, err := roundTrip(t, p, address, request("1", ""))
		if err != nil || first != "mine" {
			t.Fatalf("%s: %q, %v", name, first, err)
		}
		write <- struct{}{}
		<-wrote
		second, err := roundTrip(t, p, address, request("2", ""))
		if err == nil && second != "mine" {
			t.Errorf("%s: the second answer is %q", name, second)
		}
		p.Close()
	}
}

// TestAnswersThatMayBeAnothersAreNotOwn guards against an answer without an ID that is taken for certain although its
// connection carried another request, or an answer to one.
func TestAnswersThatMayBeAnothersAreNotOwn(t *testing.T) {
	const unnamed = "HTTP/1.1 503 X\r\n" + wire.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name    string
		answers []string
		fresh   bool
		want    bool
	}{
		{"the first on its connection", []string{unnamed}, false, true},
		{"after another request", []string{answer("1", "x"), unnamed}, false, false},
		{"after another request, on a new connection", []string{unnamed, unnamed}, true, true},
		{"after another request, with its ID", []string{answer("1", "x"), answer("2", "x")}, false, true},
		{"after an answer to another request", []string{answer("other", "x") + unnamed}, false, false},
	} {
		address := serve(t, func(conn net.Conn, r *bufio.Reader) {
			for _, text := range c.answers {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, text)
			}
		})
		p := newTestPool(time.Minute)
		own := false
		for i := range c.answers {
			req := request(itoa(i + 1)[1:], "")
			req.NewConnection = c.fresh
			resp, err := p.Send(context.Background(), address, req)
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			own = resp.Own
			resp.Discard()
		}
		if own != c.want {
			t.Errorf("%s: own %t, want %t", c.name, own, c.want)
		}
		p.Close()
	}
}

// TestRejectionsAreRememberedWithinBounds guards against state that grows with the requests that a server rejects on one
// connection, and against a new connection for each of them.
func TestRejectionsAreRememberedWithinBounds(t *testing.T) {
	address := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\n"+wire.NotRun+": 1\r\n"+wire.Attempt+": "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	for i := range 3 * maxRejected {
		resp, err := p.Send(context.Background(), address, request(fmt.Sprint(i), ""))
		if err != nil {
			t.Fatal(err)
		}
		if n := len(resp.conn.rejected); n > maxRejected {
			t.Errorf("a connection knows of %d rejections", n)
		}
		resp.Discard()
	}
	if p.Opened() != 3 {
		t.Errorf("%d rejections took %d connections, want 3", 3*maxRejected, p.Opened())
	}
}

// TestLateAnswersToOthersAreSkipped: a late answer to an earlier request carries that request's ID
// and is skipped.
func TestLateAnswersToOthersAreSkipped(t *testing.T) {
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		id, _, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("other", "not yours")+answer(id, "yours"))
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	if got, err := roundTrip(t, p, address, request("1", "")); err != nil || got != "yours" {
		t.Errorf("%q, %v", got, err)
	}
}

// TestErrorReportsWhetherAnythingWasSent: the request may have run only if something was sent.
func TestErrorReportsWhetherAnythingWasSent(t *testing.T) {
	unused := unusedAddress(t)
	cut := serve(t, func(_ net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
	garbage := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, "no answer at all\r\n\r\n")
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	for name, c := range map[string]struct {
		address string
		sent    bool
	}{"nobody listens": {unused, false}, "cut after reading": {cut, true}, "garbage": {garbage, true}} {
		_, err := roundTrip(t, p, c.address, request("1", strings.Repeat("x", 10_000)))
		var failed *Error
		if !errors.As(err, &failed) || failed.Sent != c.sent {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestTimeoutIsDistinguishedFromRefusal, with the errors of the real dialer: only a refusal proves
// that nothing listens.
func TestTimeoutIsDistinguishedFromRefusal(t *testing.T) {
	unused := unusedAddress(t)
	for name, c := range map[string]struct {
		dialTimeout time.Duration
		timeout     bool
	}{"no time at all": {time.Nanosecond, true}, "refused": {time.Minute, false}} {
		p := newTestPool(c.dialTimeout)
		_, err := roundTrip(t, p, unused, request("1", ""))
		p.Close()
		var failed *Error
		if !errors.As(err, &failed) || failed.Sent || failed.Timeout() != c.timeout {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEarlyAnswerEndsTheConnection: after an answer that comes before the whole body was sent, the
// connection is not reused, or the server would take the next request for the rest of the body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	const size = 20 << 20
	got := make(chan int, 1)
	address := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("1", "early"))
		rest, _ := io.Copy(io.Discard, r)
		got <- int(rest)
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	body, err := roundTrip(t, p, address, request("1", strings.Repeat("x", size)))
	if err != nil || body != "early" {
		t.Fatalf("%q, %v", body, err)
	}
	if rest := <-got; rest > size {
		t.Errorf("the server read %d bytes of a body of %d", rest, size)
	}
	if c := p.take(address, &Request{}); c != nil {
		t.Error("the connection was kept")
	}
}

// TestAnswerWithoutLength: an answer without a length is complete only if the connection ends
// cleanly.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+wire.Attempt+": 1\r\n\r\nall of it")
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		p := newTestPool(time.Minute)
		body, err := roundTrip(t, p, address, request("1", "x"))
		if !reset && (err != nil || body != "all of it") {
			t.Errorf("clean end: %q, %v", body, err)
		}
		if reset && err == nil {
			t.Error("an answer cut off by a reset was accepted as complete")
		}
		p.Close()
	}
}

// TestIdleConnectionsAreRetiredInTime: idle connections are not used shortly before the server's
// idle timeout, and only up to Request.MaxIdle for requests that must not be repeated.
func TestIdleConnectionsAreRetiredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(time.Minute)
		defer p.Close()
		client, server := net.Pipe()
		defer server.Close()
		put := func(age, timeout time.Duration) {
			c := &conn{Conn: client, address: "a", reader: bufio.NewReader(client)}
			p.put(c, timeout)
			c.idleSince = time.Now().Add(-age)
		}
		put(1500*time.Millisecond, 2*time.Second)
		if p.take("a", &Request{}) == nil {
			t.Error("a connection within its idle limit was not reused")
		}
		put(1700*time.Millisecond, 2*time.Second)
		if p.take("a", &Request{}) != nil {
			t.Error("a connection was reused too close to the idle timeout")
		}
		put(1500*time.Millisecond, 5*time.Second)
		if p.take("a", &Request{MaxIdle: time.Second}) != nil {
			t.Error("a connection idle for longer than MaxIdle was reused")
		}
	})
}

// resetOnSecondRequest answers a connection's first request and resets the connection at the
// second.
func resetOnSecondRequest(c net.Conn, r *bufio.Reader) {
	id, body, err := readRequest(r)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, answer(id, body))
	if _, _, err := readRequest(r); err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// TestDroppedConnectionsShortenIdleLimit: if a server drops idle connections, only one request
// fails, not one per connection.
func TestDroppedConnectionsShortenIdleLimit(t *testing.T) {
	address := serve(t, resetOnSecondRequest)
	p := newTestPool(time.Minute)
	p.maxResetDelay = time.Hour
	defer p.Close()
	// sendAfterIdle sends a request on a connection that has been idle for d. The times that the
	// pool compares are about a second apart, so that a slow machine does not change the result.
	sendAfterIdle := func(d time.Duration) error {
		c, err := p.dial(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		p.put(c, 0)
		if _, err := roundTrip(t, p, address, request("a", "")); err != nil {
			t.Fatal(err)
		}
		p.idle[address][0].idleSince = time.Now().Add(-d)
		_, err = roundTrip(t, p, address, request("b", ""))
		p.Forget(address)
		return err
	}
	if sendAfterIdle(2*time.Second) == nil {
		t.Fatal("the server did not drop its connection")
	}
	if err := sendAfterIdle(1500 * time.Millisecond); err != nil {
		t.Errorf("a connection that had been idle for nearly as long was reused: %v", err)
	}
	if sendAfterIdle(90*time.Millisecond) == nil {
		t.Error("a connection that had been idle for a moment was not reused")
	}
}

// TestLateResetsDoNotShortenIdleLimit: a server that ends while it runs a request resets the
// connection too, but has not dropped it while idle.
func TestLateResetsDoNotShortenIdleLimit(t *testing.T) {
	address := serve(t, resetOnSecondRequest)
	p := newTestPool(time.Minute)
	// Every reset comes later than this.
	p.maxResetDelay = time.Nanosecond
	defer p.Close()
	if _, err := roundTrip(t, p, address, request("a", "")); err != nil {
		t.Fatal(err)
	}
	if _, err := roundTrip(t, p, address, request("b", "")); err == nil {
		t.Fatal("the server did not end")
	}
	if now := time.Now(); p.idleLimit(time.Second, now) != time.Second {
		t.Errorf("idle limit %v", p.idleLimit(time.Second, now))
	}
}

// TestCrashesDoNotShortenIdleLimit: a server that crashes just after it was sent a request on a
// reused connection resets it as if it had dropped it while idle. The limit learned from the
// reset is removed once the server's address refuses connections; otherwise each crash would
// cost every service its idle connections for ten seconds.
func TestCrashesDoNotShortenIdleLimit(t *testing.T) {
	address := serve(t, resetOnSecondRequest)
	p := newTestPool(time.Minute)
	p.maxResetDelay = time.Hour
	defer p.Close()
	if _, err := roundTrip(t, p, address, request("a", "")); err != nil {
		t.Fatal(err)
	}
	if _, err := roundTrip(t, p, address, request("b", "")); err == nil {
		t.Fatal("the server did not reset its connection")
	}
	now := time.Now()
	if p.idleLimit(time.Second, now) == time.Second {
		t.Fatal("a dropped connection did not shorten the idle limit")
	}
	p.Dial = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	if err := p.CheckReachable(context.Background(), "127.0.0.1:9"); !IsConnectionRefused(err) || p.idleLimit(time.Second, now) == time.Second {
		t.Errorf("refusal of another server: %v, idle limit %v", err, p.idleLimit(time.Second, now))
	}
	if err := p.CheckReachable(context.Background(), address); !IsConnectionRefused(err) || p.idleLimit(time.Second, now) != time.Second {
		t.Errorf("refusal of the server: %v, idle limit %v", err, p.idleLimit(time.Second, now))
	}
}

// TestEndingContextEndsTheExchange: the end of the context closes the connection at once.
func TestEndingContextEndsTheExchange(t *testing.T) {
	received := make(chan struct{})
	closed := make(chan struct{})
	address := serve(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		close(received)
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	})
	p := newTestPool(time.Minute)
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	_, err := p.Send(ctx, address, request("1", ""))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	<-closed
}
