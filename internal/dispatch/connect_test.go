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

// testDialTimeout is how long a connection attempt without an answer takes.
const testDialTimeout = 400 * time.Millisecond

// fakeNetwork is a network in which the first connection attempts time out, or all are
// refused, with the errors of a real dialer. Every server behind it is healthy.
type fakeNetwork struct {
	timeouts  int64
	refuseAll bool
	dials     atomic.Int64
}

func (s *fakeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	nth := s.dials.Add(1)
	if s.refuseAll {
		return nil, dialError(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	if nth <= s.timeouts {
		return nil, dialTimeout(ctx)
	}
	near, far := net.Pipe()
	go serveRequests(far)
	return near, nil
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp4", Err: err} }

// dialTimeout blocks for testDialTimeout, or until ctx ends, and returns the dialer's error.
func dialTimeout(ctx context.Context) error {
	select {
	case <-time.After(testDialTimeout):
		return dialError(os.ErrDeadlineExceeded)
	case <-ctx.Done():
		return dialError(ctx.Err())
	}
}

// serveRequests answers the requests on a connection one after the other.
func serveRequests(c net.Conn) {
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

// newNetworkDispatcher returns a dispatcher with that many servers behind a fake network.
func newNetworkDispatcher(s *fakeNetwork, servers int) (*Dispatcher, *replica.Table) {
	d, table := newDispatcher(&fleet{})
	for _, r := range table.Snapshot(testService, "", 0, time.Now())[servers:] {
		table.Remove(r.ID, true)
	}
	d.pool.Dial = s.dial
	return d, table
}

// outcome is the result of one request.
type outcome struct {
	err  error
	body string
	took time.Duration
}

// sendRequest dispatches a request with a deadline of two seconds, as callers of plain services
// set it.
func sendRequest(d *Dispatcher) outcome {
	req := nonIdempotent()
	req.Deadline = time.Now().Add(2 * time.Second)
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	began := time.Now()
	out := &recorder{}
	_, err := d.Run(ctx, req, out)
	return outcome{err, out.body, time.Since(began)}
}

// TestSingleConnectTimeoutRejectsNoRequest guards against requests that are rejected as "1 down
// or leaving" although the only server of a plain service is healthy and their callers have
// most of two seconds left. It happened when one connection attempt exceeded the dial timeout on
// a host without free CPU: the server was marked down, and this request and the following ones
// were rejected without another attempt. Unlike a refused connection, a timeout does not prove
// that the server is down: the host itself may be slow, or one packet may be lost. In this test
// one attempt takes the whole timeout in virtual time, and nothing else indicates a failure.
func TestSingleConnectTimeoutRejectsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeNetwork{timeouts: 1}
		d, table := newNetworkDispatcher(s, 1)
		defer d.pool.Close()
		first := sendRequest(d)
		if first.err != nil || first.body != wholeBody {
			t.Errorf("the request whose connection timed out: %v after %v", first.err, first.took)
		}
		if got := sendRequest(d); got.err != nil || got.took > 0 {
			t.Errorf("the next request: %v after %v", got.err, got.took)
		}
		if r := table.Snapshot(testService, "", 0, time.Now())[0]; !r.Usable || r.Suspected {
			t.Errorf("after an answer: %+v", r)
		}
	})
}

// TestConcurrentConnectTimeoutsRejectNoRequest covers requests that arrive while the first
// one's connection attempt is pending, and those that arrive right after it has timed out.
func TestConcurrentConnectTimeoutsRejectNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const concurrent = 5
		s := &fakeNetwork{timeouts: concurrent}
		d, _ := newNetworkDispatcher(s, 1)
		defer d.pool.Close()
		got := make(chan outcome, 2*concurrent)
		for range concurrent {
			go func() { got <- sendRequest(d) }()
		}
		time.Sleep(testDialTimeout + testDialTimeout/10)
		for range concurrent {
			go func() { got <- sendRequest(d) }()
		}
		for range 2 * concurrent {
			if o := <-got; o.err != nil {
				t.Errorf("%v after %v", o.err, o.took)
			}
		}
	})
}

// TestUnreachableServerFailsFast: two consecutive connect timeouts mark the only server down;
// later requests fail without waiting for it.
func TestUnreachableServerFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeNetwork{timeouts: 1000}
		d, _ := newNetworkDispatcher(s, 1)
		first := sendRequest(d)
		if !errkind.Is(first.err, errkind.NoBackend) || first.took > 2*testDialTimeout {
			t.Errorf("the first request: %v after %v", first.err, first.took)
		}
		next := sendRequest(d)
		if !errkind.Is(next.err, errkind.NoBackend) || next.took > 0 || s.dials.Load() != 2 {
			t.Errorf("the next request: %v after %v, %d attempts to connect", next.err, next.took, s.dials.Load())
		}
	})
}

// TestRefusedConnectionIsNotRetried: a refused connection proves that the server is down.
func TestRefusedConnectionIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeNetwork{refuseAll: true}
		d, _ := newNetworkDispatcher(s, 1)
		for range 2 {
			if got := sendRequest(d); !errkind.Is(got.err, errkind.NoBackend) || got.took > 0 || s.dials.Load() != 1 {
				t.Errorf("%v after %v, %d attempts to connect", got.err, got.took, s.dials.Load())
			}
		}
	})
}

// TestOtherServersAreTriedBeforeConnectRetry: if another server answers, the one whose
// connection timed out is not tried again, and it is suspected from then on.
func TestOtherServersAreTriedBeforeConnectRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeNetwork{timeouts: 1}
		d, table := newNetworkDispatcher(s, 2)
		defer d.pool.Close()
		if got := sendRequest(d); got.err != nil || got.took != testDialTimeout || s.dials.Load() != 2 {
			t.Errorf("%v after %v, %d attempts to connect", got.err, got.took, s.dials.Load())
		}
		suspected := 0
		for _, r := range table.Snapshot(testService, "", 0, time.Now()) {
			if r.Suspected {
				suspected++
			}
		}
		if suspected != 1 {
			t.Errorf("%d servers are suspected, want 1", suspected)
		}
	})
}
