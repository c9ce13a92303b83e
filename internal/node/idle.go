package node

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// idleTimeout returns how long callers may keep an idle connection: the limit of the configuration, or that
// of the settings where the configuration sets none.
func (n *Node) idleTimeout() time.Duration {
	if c := n.config.Load(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return n.settings.Request.IdleTimeout.AsDuration()
}

// idleListener accepts connections whose idle timeout may change while they are open.
type idleListener struct {
	net.Listener
	timeout func() time.Duration
}

// withIdleTimeout returns a listener whose connections use the idle timeout in force, or nil without a
// listener. Its server must have an idle timeout of its own and markIdle as its ConnState.
func withIdleTimeout(l net.Listener, timeout func() time.Duration) net.Listener {
	if l == nil {
		return nil
	}
	return &idleListener{l, timeout}
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, timeout: l.timeout}, nil
}

// States of an idleConn. The server sets the idle deadline just after it has marked the connection as idle, and
// the next deadline when the next request has begun to arrive.
const (
	connBusy int32 = iota
	connIdle
	connAwaitingRequest
)

// idleConn replaces the server's idle deadline with that of the timeout in force.
type idleConn struct {
	net.Conn
	timeout func() time.Duration
	state   atomic.Int32
	// idleSince is when the connection became idle. Only the server's goroutine uses it.
	idleSince time.Time
}

// markIdle is the ConnState of servers with an idleListener.
func markIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*idleConn); ok && state == http.StateIdle {
		c.state.Store(connIdle)
	}
}

// SetReadDeadline implements net.Conn.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.Before(now) {
		// No deadline, or one that ends a read in progress.
		return c.Conn.SetReadDeadline(t)
	}
	if c.state.CompareAndSwap(connIdle, connAwaitingRequest) {
		c.idleSince = now
		t = now.Add(c.timeout())
	} else {
		c.state.Store(connBusy)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. An idle connection whose deadline has passed stays open if the timeout in force
// has become longer meanwhile.
func (c *idleConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if n > 0 || c.state.Load() != connAwaitingRequest || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		deadline := c.idleSince.Add(c.timeout())
		if !time.Now().Before(deadline) {
			return n, err
		}
		if err := c.Conn.SetReadDeadline(deadline); err != nil {
			return n, err
		}
	}
}

// CloseWrite lets the server end an answer to a caller that is still sending.
func (c *idleConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
