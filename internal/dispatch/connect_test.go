package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/replica"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// testDialTimeout is what a connection attempt that gets no answer takes.
const testDialTimeout = 400 * time.Millisecond

// slowDials is a network in which the first attempts to connect time out, or all are
// refused, with the errors of a real dialer. All servers behind it serve.
type slowDials struct {
	timeouts int64
	refuses  bool
	dials    atomic.Int64
}

func (s *slowDials) dial(ctx context.Context, address string) (net.Conn, error) {
	nth := s.dials.Add(1)
	if s.refuses {
		return nil, dialError(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	if nth <= s.timeouts {
		return nil, dialTimesOut(ctx)
	}
	near, far := net.Pipe()
	go serveAll(far)
	return near, nil
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp4", Err: err} }

// dialTimesOut waits as long as an attempt to connect that gets no answer, and returns
// its error.
func dialTimesOut(ctx context.Context) error {
	select {
	case <-time.After(testDialTimeout):
		return dialError(os.ErrDeadlineExceeded)
	case <-ctx.Done():
		return dialError(ctx.Err())
	}
}

// serveAll answers one request after the other on a connection.
func serveAll(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n"+wire.Attempt+": %s\r\n"+wire.Seal+": s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get(wire.Attempt), len(wholeBody), wholeBody)
	}
}

// newSlowDispatcher returns a dispatcher over some servers behind a network.
func newSlowDispatcher(s *slowDials, servers int) (*Dispatcher, *replica.Table) {
	d, table := newDispatcher(&fleet{})
	for _, r := range table.Snapshot(testService, "", 0, time.Now())[servers:] {
		table.Remove(r.ID, true)
	}
	d.pool.Dial = s.dial
	return d, table
}

// outcome is how one request ended, and after how long.
type outcome struct {
	err  error
	body string
	took time.Duration
}

// ask sends a request of two seconds, which is what callers of plain services leave.
func ask(d *Dispatcher) outcome {
	req := nonIdempotent()
	req.Deadline = time.Now().Add(2 * time.Second)
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	began := time.Now()
	out := &recorder{}
	_, err := d.Run(ctx, req, out)
	return outcome{err, out.body, time.Since(began)}
}

// TestOneConnectTimeoutRefusesNobody. Seen: the only server of a plain service served,
// but a request was refused as "1 down or leaving" although its caller had most of two
// seconds left. How: one attempt to connect took longer than the dial timeout, on a host
// whose processors were all taken; the table held the server for unreachable, and both
// that request and those that followed were refused without another attempt. Cause: a
// timeout, which may be the host's own slowness or one lost packet, was taken for the
// certainty that a refused connection gives. Proof: a network of which one attempt in
// virtual time takes the whole timeout; nothing else speaks against the server.
func TestOneConnectTimeoutRefusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowDials{timeouts: 1}
		d, table := newSlowDispatcher(s, 1)
		defer d.pool.Close()
		first := ask(d)
		if first.err != nil || first.body != wholeBody {
			t.Errorf("the request whose connection timed out: %v after %v", first.err, first.took)
		}
		if got := ask(d); got.err != nil || got.took > 0 {
			t.Errorf("the next request: %v after %v", got.err, got.took)
		}
		if r := table.Snapshot(testService, "", 0, time.Now())[0]; !r.Usable || r.Doubted {
			t.Errorf("after an answer: %+v", r)
		}
	})
}

// TestRequestsBesideAConnectTimeoutAreNotRefused: those that come while the first one's
// connection is slow, and those that come right after it has timed out.
func TestRequestsBesideAConnectTimeoutAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const beside = 5
		s := &slowDials{timeouts: beside}
		d, _ := newSlowDispatcher(s, 1)
		defer d.pool.Close()
		got := make(chan outcome, 2*beside)
		for range beside {
			go func() { got <- ask(d) }()
		}
		time.Sleep(testDialTimeout + testDialTimeout/10)
		for range beside {
			go func() { got <- ask(d) }()
		}
		for range 2 * beside {
			if o := <-got; o.err != nil {
				t.Errorf("%v after %v", o.err, o.took)
			}
		}
	})
}

// TestDarkServerIsRefusedQuickly: two attempts one after the other are enough to hold the
// only server for unreachable; from then on nobody waits for it.
func TestDarkServerIsRefusedQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowDials{timeouts: 1000}
		d, _ := newSlowDispatcher(s, 1)
		first := ask(d)
		if !errkind.Is(first.err, errkind.NoBackend) || first.took > 2*testDialTimeout {
			t.Errorf("the first request: %v after %v", first.err, first.took)
		}
		next := ask(d)
		if !errkind.Is(next.err, errkind.NoBackend) || next.took > 0 || s.dials.Load() != 2 {
			t.Errorf("the next request: %v after %v, %d attempts to connect", next.err, next.took, s.dials.Load())
		}
	})
}

// TestRefusedConnectionIsCertain: it is not tried a second time.
func TestRefusedConnectionIsCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowDials{refuses: true}
		d, _ := newSlowDispatcher(s, 1)
		for range 2 {
			if got := ask(d); !errkind.Is(got.err, errkind.NoBackend) || got.took > 0 || s.dials.Load() != 1 {
				t.Errorf("%v after %v, %d attempts to connect", got.err, got.took, s.dials.Load())
			}
		}
	})
}

// TestOtherServersComeBeforeASecondAttempt: where another server serves, none is tried
// twice, and the one that did not answer gets nothing more.
func TestOtherServersComeBeforeASecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowDials{timeouts: 1}
		d, table := newSlowDispatcher(s, 2)
		defer d.pool.Close()
		if got := ask(d); got.err != nil || got.took != testDialTimeout || s.dials.Load() != 2 {
			t.Errorf("%v after %v, %d attempts to connect", got.err, got.took, s.dials.Load())
		}
		doubted := 0
		for _, r := range table.Snapshot(testService, "", 0, time.Now()) {
			if r.Doubted {
				doubted++
			}
		}
		if doubted != 1 {
			t.Errorf("%d servers are doubted, want 1", doubted)
		}
	})
}
