package node

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/config"
)

// limits returns the limits of the configuration, or zeros without one.
func (n *Node) limits() config.Limits {
	if c := n.config.Load(); c != nil {
		return c.Limits
	}
	return config.Limits{}
}

// idleTimeout returns how long callers may keep an idle connection: the limit of the configuration, or that
// of the settings where the configuration sets none.
func (n *Node) idleTimeout() time.Duration {
	if limit := n.limits().IdleTimeout; limit > 0 {
		return limit
	}
	return n.settings.Request.IdleTimeout.AsDuration()
}

// headerTimeout returns how long callers may take to send a request's headers.
func (n *Node) headerTimeout() time.Duration {
	return max(minHeaderTimeout, n.limits().HeaderTimeout)
}

// callerListener accepts connections whose timeouts may change while they are open. Its server must have both
// timeouts set, and markIdle as its ConnState.
type callerListener struct {
	net.Listener
	idleTimeout, headerTimeout func() time.Duration
}

// withTimeouts returns a listener whose connections use the timeouts in force, or nil without a listener.
func (n *Node) withTimeouts(l net.Listener) net.Listener {
	if l == nil {
		return nil
	}
	return &callerListener{l, n.idleTimeout, n.headerTimeout}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, listener: l}, nil
}

// States of a callerConn. The server sets the idle deadline just after it has marked the connection as idle, and
// that of the headers when the next request has begun to arrive.
const (
	connBusy int32 = iota
	connIdle
	connAwaitingRequest
)

// callerConn replaces the server's deadlines with those of the timeouts in force.
type callerConn struct {
	net.Conn
	listener *callerListener
	state    atomic.Int32
	// idleSince is when the connection became idle. Only the server's goroutine uses it.
	idleSince time.Time
}

// markIdle is the ConnState of servers with a callerListener.
func markIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.state.Store(connIdle)
	}
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.Before(now) {
		// No deadline, or one that ends a read in progress.
		return c.Conn.SetReadDeadline(t)
	}
	if c.state.CompareAndSwap(connIdle, connAwaitingRequest) {
		c.idleSince = now
		return c.Conn.SetReadDeadline(now.Add(c.listener.idleTimeout()))
	}
	c.state.Store(connBusy)
	return c.Conn.SetReadDeadline(now.Add(c.listener.headerTimeout()))
}

// Read implements net.Conn. An idle connection whose deadline has passed stays open if the timeout in force
// has become longer meanwhile.
func (c *callerConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if n > 0 || c.state.Load() != connAwaitingRequest || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		deadline := c.idleSince.Add(c.listener.idleTimeout())
		if !time.Now().Before(deadline) {
			return n, err
		}
		if err := c.Conn.SetReadDeadline(deadline); err != nil {
			return n, err
		}
	}
}

// CloseWrite lets the server end an answer to a caller that is still sending.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
