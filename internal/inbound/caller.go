// Package inbound accepts connections from outside and limits what they make this host hold: those of callers by a
// budget of memory and connections, and those to listeners for other purposes by a fixed number.
package inbound

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/membudget"
	"github.com/briarlink/briarlink/internal/netdial"
)

const (
	// connectionBytes is what a connection uses beside its socket buffer: the server's buffers, the stacks of the
	// goroutines that serve it, and a head of usual size.
	connectionBytes = 16 << 10
	// A received head has its text, and a map entry with two strings for each of its lines. There is a second copy of
	// both while the request is sent to a server.
	bytesPerHeadByte = 4
	bytesPerHeadLine = 256
	// usualHead is the size of a head that connectionBytes includes.
	usualHead = 8 << 10
)

// past is a deadline that ends a read in progress.
var past = time.Unix(1, 0)

// Callers is a listener for callers' connections, which count towards a budget. Its ConnState must be set as that of the
// http.Server that serves them.
type Callers struct {
	net.Listener
	budget *membudget.Budget
	// cost is what a connection reserves.
	cost int64
	// refusing counts the connections that are being refused.
	refusing atomic.Int64
}

// LimitCallers returns a listener whose connections count towards the budget. Their socket buffers have a fixed size in bytes, 0
// for that of the system.
func LimitCallers(l net.Listener, b *membudget.Budget, socketBuffer int) *Callers {
	if c, ok := l.(syscall.Conn); ok && socketBuffer > 0 {
		netdial.LimitListener(c, socketBuffer)
	}
	// A connection has one full socket buffer at a time: a caller that sends a request does not read an answer yet.
	return &Callers{Listener: l, budget: b, cost: int64(socketBuffer) + connectionBytes}
}

// Accept implements net.Listener. Connections without room are refused at once.
func (l *Callers) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &callerConn{Conn: accepted}
		conn.hold = l.budget.Open(conn.end)
		if !conn.hold.ReserveConnection(l.cost) {
			conn.hold.Release()
			l.refuse(accepted)
			continue
		}
		conn.receivesHead.Store(true)
		conn.hold.Start(membudget.Head, clock.Now())
		return conn, nil
	}
}

const (
	// refuseTime is how long a refused caller may take to read the answer, and maxRefusing limits the
	// connections that wait for it. Others are closed without an answer.
	refuseTime  = 500 * time.Millisecond
	maxRefusing = 64
)

// refuse answers a connection without room, whose request is not read, with 503, and closes it.
func (l *Callers) refuse(conn net.Conn) {
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		defer conn.Close()
		// An error ends the following calls too, and the caller is gone then.
		_ = conn.SetDeadline(time.Now().Add(refuseTime))
		_, _ = io.WriteString(conn, noRoomAnswer)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		// Closing a connection with unread data would reset it, and the caller might lose the answer.
		_, _ = io.Copy(io.Discard, conn)
	}()
}

// noRoomAnswer is the answer to a connection or a head without room.
var noRoomAnswer = func() string {
	kind := errkind.Overloaded.Answer()
	body := fmt.Sprintf(`{"error":{"type":%q,"message":"this host has no memory for another connection","run_state":%q}}`, kind.Name, kind.Run)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %.3f\r\nConnection: close\r\n\r\n%s",
		kind.Status, http.StatusText(kind.Status), len(body), kind.RetryAfter.Seconds(), body)
}()

// ConnState follows the states of callers' connections. It is for http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The head has been read. Its memory stays reserved until the request has ended.
		c.receivesHead.Store(false)
		c.hold.Stop()
	case http.StateIdle:
		c.hold.Return(membudget.Head, c.reserved)
		c.headCost, c.reserved = 0, 0
		c.receivesHead.Store(true)
		c.hold.Start(membudget.Socket, clock.Now())
	}
}

// callerConn is a caller's connection. It counts towards the budget until it is closed.
type callerConn struct {
	net.Conn
	hold *membudget.Hold
	// receivesHead is set while a head is awaited or received, which may be ended under pressure.
	receivesHead atomic.Bool
	// headCost is what the head has used so far, and reserved is what is reserved for it. Only the goroutine that
	// serves the connection uses them.
	headCost, reserved int64
}

// end ends the read of a head that is in progress.
func (c *callerConn) end(membudget.Kind) {
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(past)
}

// Read implements net.Conn. It fails if a head was ended or has no room; net/http closes a connection whose read
// times out without an answer.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 || !c.receivesHead.Load() {
		return n, err
	}
	if !c.hold.Continue(membudget.Head, n, clock.Now()) {
		return 0, os.ErrDeadlineExceeded
	}
	if !c.reserveHead(data[:n]) {
		// The deadline keeps a caller that reads nothing from blocking this host.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTime))
		_, _ = io.WriteString(c.Conn, noRoomAnswer)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// reserveHead reserves memory for a part of a head, and reports whether there was room.
func (c *callerConn) reserveHead(data []byte) bool {
	c.headCost += int64(bytesPerHeadByte*len(data) + bytesPerHeadLine*bytes.Count(data, newline))
	lacking := c.headCost - usualHead - c.reserved
	if lacking <= 0 {
		return true
	}
	if !c.hold.Reserve(membudget.Head, lacking) {
		return false
	}
	c.reserved += lacking
	return true
}

var newline = []byte{'\n'}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	defer c.hold.Release()
	return c.Conn.Close()
}

// SetWriteDeadline implements net.Conn. A deadline in the past aborts the answer: the system then drops what
// it has not sent, which a slow caller would keep in memory.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !t.IsZero() && t.Before(time.Now()) {
		// An error means that the connection is closed.
		_ = tcp.SetLinger(0)
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite ends the answer of a caller whose request was not read to its end.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
